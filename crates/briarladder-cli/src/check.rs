//! The command `briarladder check`: reports all validation errors of an object
//! set (the configuration as JSON files).

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Result, bail};
use briarladder_core::objects::diff::ObjectSetDiff;
use serde::Serialize;

use crate::{
    EXIT_VALIDATION_ERRORS,
    object_set::{ObjectSet, ObjectSetErrors},
};

const EXAMPLES: &str = "\
Examples:
  briarladder check samples/dobradura
  briarladder check samples/dobradura --json
  briarladder check next/ --against published/

Exit codes: 0 if the set has no faults, 1 if it has, 2 for wrong usage or
files that can't be read.";

/// Reports all faults of an object set and how to correct them.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// The file with the objects, or a folder; all .json files below it form
    /// the set.
    path: PathBuf,

    /// Write one JSON object instead of text.
    #[arg(long)]
    json: bool,

    /// The object set in force. The effects of replacing it are shown.
    #[arg(long, value_name = "PATH", env = "BRIARLADDER_AGAINST")]
    against: Option<PathBuf>,
}

/// The result of the check, as it is written with `--json`.
#[derive(Serialize)]
struct Report {
    /// The number of files.
    files: usize,
    /// The number of objects that could be parsed.
    objects: usize,
    /// The validation errors, written as `unreadable` and `faults`.
    #[serde(flatten)]
    faults: ObjectSetErrors,
    /// The difference from the set in force; absent without `--against` or if
    /// an object is unreadable.
    change: Option<ObjectSetDiff>,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<ExitCode> {
    let set = ObjectSet::read(&args.path)?;
    let change = match &args.against {
        Some(path) => {
            let old = ObjectSet::read(path)?;
            if let Some(first) = old.errors.unreadable.first() {
                bail!("--against: {first}");
            }
            // Unreadable objects would be shown as removed.
            let readable = set.errors.unreadable.is_empty();
            readable
                .then(|| ObjectSetDiff::between(&old.objects, &set.objects))
        }
        None => None,
    };
    let report = Report {
        files: set.files,
        objects: set.objects.len(),
        faults: set.errors,
        change,
    };
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print_text(&report);
    }
    if report.faults.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_VALIDATION_ERRORS))
}

fn print_text(report: &Report) {
    let errors = report.faults.to_lines();
    for error in &errors {
        println!("{error}");
    }
    if let Some(change) = &report.change {
        print_change(change);
    }
    if !report.faults.unreadable.is_empty() {
        println!("references are not checked while objects are unreadable");
    }
    println!(
        "{} files, {} objects, {} faults",
        report.files,
        report.objects,
        errors.len()
    );
}

fn print_change(change: &ObjectSetDiff) {
    for object in &change.objects {
        println!("{object}");
    }
    for version in &change.orphaned_versions {
        println!("orphaned: no stage would use model version {version}");
    }
    for reload in &change.reloads {
        let names = |versions: &[_]| {
            let names = versions.iter().map(ToString::to_string);
            names.collect::<Vec<_>>().join(", ")
        };
        print!("reload: server {} of pool {}", reload.server, reload.pool);
        if !reload.load.is_empty() {
            print!(", load {}", names(&reload.load));
        }
        if !reload.unload.is_empty() {
            print!(", unload {}", names(&reload.unload));
        }
        println!();
    }
    for pipeline in &change.removed_pipelines {
        println!("refused: all requests to pipeline {pipeline}");
    }
    for workspace in &change.removed_workspaces {
        println!("refused: all requests of workspace {workspace}");
    }
    for revoked in &change.revoked {
        println!("refused: requests of {revoked}");
    }
}
