//! Tests `briarladder check` and `briarladder bundle` with the sample sets.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
    time::Instant,
};

use briarladder_core::config::{ConfigStore, Manifest, OfferOutcome};
use serde_json::Value;

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(name)
}

fn run(args: &[&str]) -> (i32, String, String) {
    let command = env!("CARGO_BIN_EXE_briarladder");
    let Output { status, stdout, stderr } =
        Command::new(command).args(args).output().expect("the command starts");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (status.code().expect("an exit code"), text(stdout), text(stderr))
}

/// Creates an empty folder for a test.
fn empty_test_folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Copies the dobradura sample and replaces text in one of its files.
fn edited_sample(test: &str, file: &str, from: &str, to: &str) -> PathBuf {
    let copy = empty_test_folder(test);
    for entry in fs::read_dir(sample("dobradura")).unwrap() {
        let path = entry.unwrap().path();
        fs::copy(&path, copy.join(path.file_name().unwrap())).unwrap();
    }
    let path = copy.join(file);
    let content = fs::read_to_string(&path).unwrap();
    assert!(content.contains(from), "{from} is not in {file}");
    fs::write(&path, content.replace(from, to)).unwrap();
    copy
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// Guards against exit codes that scripts would misinterpret.
#[test]
fn check_exit_codes() {
    let (code, out, _) = run(&["check", text(&sample("kandyan"))]);
    assert_eq!(code, 0, "{out}");
    assert!(out.ends_with(" 0 faults\n"), "{out}");
    let invalid_set = edited_sample(
        "exit_codes",
        "pipelines.json",
        "\"encode-query\"",
        "\"gone\"",
    );
    let (code, out, _) = run(&["check", text(&invalid_set)]);
    assert_eq!(code, 1);
    assert!(out.contains("add stage gone or change the reference"), "{out}");
    fs::write(invalid_set.join("ranks.json"), "[\n{\"kind\": 1}]").unwrap();
    let (code, out, _) = run(&["check", text(&invalid_set), "--json"]);
    assert_eq!(code, 1);
    let report: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(report["unreadable"][0]["line"], 2);
    assert_eq!(report["faults"].as_array().map(Vec::len), Some(0));
    for args in [&["check"][..], &["check", "no/such/path"], &["cheque"]] {
        let (code, _, error) = run(args);
        assert_eq!((code, error.is_empty()), (2, false), "{args:?}");
    }
}

/// Guards against changes whose effects are not reported to the operator.
#[test]
fn check_against_reports_effects() {
    let old = sample("dobradura");
    let new =
        edited_sample("against", "stages.json", "\"caption-1\"", "\"fold-3\"");
    let path = new.join("region-recife.json");
    let region = fs::read_to_string(&path).unwrap();
    fs::write(&path, region.replace("\"fold-2\",", "")).unwrap();
    let against = ["--against", text(&old)];
    let (code, out, _) = run(&["check", text(&new), against[0], against[1]]);
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("orphaned: no stage would use model version capt"));
    assert_eq!(out.matches("unload fold-2").count(), 8, "{out}");
    fs::remove_file(new.join("workspaces.json")).unwrap();
    let (_, out, _) = run(&["check", text(&new), against[0], against[1]]);
    assert!(out.contains("refused: all requests of workspace park-office"));
}

/// Guards against a bundle that daemons don't adopt, one that is written
/// despite faults, and an epoch that is reused for another set.
#[test]
fn bundle_is_adopted_by_daemon_store() {
    let out = empty_test_folder("bundle");
    let bundle = |set: &Path, epoch: &str| {
        run(&["bundle", text(set), "--epoch", epoch, "--out", text(&out)])
    };
    let (code, _, error) = bundle(&sample("dobradura"), "3");
    assert_eq!(code, 0, "{error}");
    let manifest = fs::read(out.join("manifest.json")).unwrap();
    let manifest: Manifest = serde_json::from_slice(&manifest).unwrap();
    let now = Instant::now();
    let mut store = ConfigStore::new();
    store.confirm_floor(now);
    let mut outcome = store.offer_manifest(manifest, now);
    for chunk in store.missing_chunks() {
        let path = out.join("chunks").join(chunk.digest.to_string());
        let bytes = fs::read(path).unwrap();
        outcome = store.offer_chunk(&chunk.digest, &bytes, now);
    }
    assert!(matches!(outcome, OfferOutcome::Adopted(s) if s.epoch == 3));
    // Writing the same bundle again succeeds and adds no chunks.
    let (code, output, _) = bundle(&sample("dobradura"), "3");
    assert_eq!((code, output.contains(" 0 new")), (0, true), "{output}");
    for epoch in ["3", "2", "0"] {
        let (code, _, error) = bundle(&sample("kandyan"), epoch);
        assert_eq!((code, error.contains("--epoch")), (2, true), "{error}");
    }
    let invalid_set = edited_sample("bad_bundle", "ranks.json", "50", "90");
    assert_eq!(bundle(&invalid_set, "4").0, 1);
    let manifest_text = fs::read_to_string(out.join("manifest.json")).unwrap();
    assert!(manifest_text.starts_with("{\"epoch\":3,"));
}
