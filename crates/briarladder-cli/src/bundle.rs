//! The command `briarladder bundle`: writes an object set (the configuration
//! as JSON files) in the form in which daemons fetch it: chunks of objects and
//! a manifest that lists the chunks.

use std::{
    fs,
    io::ErrorKind,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context, Result, bail};
use briarladder_core::config::{Bundle, Manifest};

use crate::{EXIT_VALIDATION_ERRORS, object_set::ObjectSet};

const MANIFEST_FILE: &str = "manifest.json";
const CHUNKS_FOLDER: &str = "chunks";

const EXAMPLES: &str = "\
Examples:
  briarladder bundle samples/dobradura --epoch 1 --out out/

Writes out/manifest.json and out/chunks/DIGEST. Existing chunks are not
rewritten, and chunks of earlier epochs are kept.

Exit codes: 0 if the files are written; 1 if the set has faults, in which
case nothing is written; 2 for wrong usage, an epoch that is not above the one
in --out, or files that can't be read or written.";

/// Checks an object set and writes its manifest and chunks for publication.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// The file with the objects, or a folder; all .json files below it form
    /// the set.
    path: PathBuf,

    /// The epoch of the set. It must be above all epochs published before.
    #[arg(
        long,
        value_name = "N",
        env = "BRIARLADDER_EPOCH",
        value_parser = clap::value_parser!(u64).range(1..)
    )]
    epoch: u64,

    /// The folder to which the manifest and the chunks are written.
    #[arg(long, value_name = "DIR", env = "BRIARLADDER_OUT")]
    out: PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<ExitCode> {
    let set = ObjectSet::read(&args.path)?;
    if !set.errors.is_empty() {
        for error in set.errors.to_lines() {
            eprintln!("{error}");
        }
        return Ok(ExitCode::from(EXIT_VALIDATION_ERRORS));
    }
    let objects: Vec<_> = set.objects.into_iter().map(|o| o.object).collect();
    let bundle = Bundle::new(args.epoch, &objects)?;
    bundle.manifest.validate()?;
    check_epoch(&args.out, &bundle.manifest)?;
    let (new_chunks, new_bytes) = write_bundle(&args.out, &bundle)?;
    println!(
        "epoch {}: {} chunks, {new_chunks} new with {new_bytes} bytes",
        args.epoch,
        bundle.chunks.len()
    );
    Ok(ExitCode::SUCCESS)
}

/// Checks that the epoch is above the one in the output folder. Daemons ignore
/// a lower epoch and reject a different set with the same epoch, so only an
/// unchanged set may be written again with its epoch.
fn check_epoch(out: &Path, manifest: &Manifest) -> Result<()> {
    let path = out.join(MANIFEST_FILE);
    let name = path.display();
    let text = match fs::read(&path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
        result => result.with_context(|| format!("can't read {name}"))?,
    };
    let old: Manifest = serde_json::from_slice(&text).with_context(|| {
        format!("{name} is not a manifest; pass another folder with --out")
    })?;
    let (old, new) = (old.id(), manifest.id());
    if old != new && new.epoch <= old.epoch {
        bail!(
            "--epoch {} is not above epoch {} in {name}; pass a higher epoch",
            new.epoch,
            old.epoch
        );
    }
    Ok(())
}

/// Writes the chunks, then the manifest, so that the manifest never lists a
/// chunk that does not exist. Returns the number of chunks and of bytes that
/// were written.
fn write_bundle(out: &Path, bundle: &Bundle) -> Result<(usize, usize)> {
    let folder = out.join(CHUNKS_FOLDER);
    fs::create_dir_all(&folder)
        .with_context(|| format!("can't create {}", folder.display()))?;
    let (mut new_chunks, mut new_bytes) = (0, 0);
    for chunk in &bundle.chunks {
        let path = folder.join(chunk.digest.to_string());
        // The content is compared because an interrupted run may have left an
        // incomplete file.
        if fs::read(&path).is_ok_and(|bytes| bytes == chunk.bytes[..]) {
            continue;
        }
        write_file(&path, &chunk.bytes)?;
        new_chunks += 1;
        new_bytes += chunk.bytes.len();
    }
    let manifest = serde_json::to_vec(&bundle.manifest)?;
    write_file(&out.join(MANIFEST_FILE), &manifest)?;
    Ok((new_chunks, new_bytes))
}

/// Writes a file atomically: writes a temporary file and renames it, so that
/// readers never see partial content.
fn write_file(path: &Path, bytes: &[u8]) -> Result<()> {
    let temporary = path.with_extension("part");
    fs::write(&temporary, bytes)
        .and_then(|()| fs::rename(&temporary, path))
        .with_context(|| format!("can't write {}", path.display()))
}
