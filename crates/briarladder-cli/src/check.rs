//! `briarladder check`: reports every fault of a set.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Result, bail};
use briarladder_core::objects::diff::ObjectSetDiff;
use serde::Serialize;

use crate::{
    EXIT_FAULTS,
    set::{Set, SetFaults},
};

const EXAMPLES: &str = "\
Examples:
  briarladder check samples/dobradura
  briarladder check samples/dobradura --json
  briarladder check next/ --against published/

Exit codes: 0 no fault, 1 faults, 2 wrong usage or unreadable files.";

/// Reports every fault of a set of objects, and what to do about each.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// A file, or a folder whose .json files make up the set.
    path: PathBuf,

    /// Write one JSON object instead of lines of text.
    #[arg(long)]
    json: bool,

    /// The set in force, to show what replacing it would do.
    #[arg(long, value_name = "PATH", env = "BRIARLADDER_AGAINST")]
    against: Option<PathBuf>,
}

#[derive(Serialize)]
struct Report {
    files: usize,
    objects: usize,
    #[serde(flatten)]
    faults: SetFaults,
    change: Option<ObjectSetDiff>,
}

pub fn run(args: &Args) -> Result<ExitCode> {
    let set = Set::read(&args.path)?;
    let change = match &args.against {
        Some(path) => {
            let old = Set::read(path)?;
            if let Some(first) = old.faults.unreadable.first() {
                bail!("--against: {first}");
            }
            // Unreadable objects would show as removed.
            let readable = set.faults.unreadable.is_empty();
            readable
                .then(|| ObjectSetDiff::between(&old.objects, &set.objects))
        }
        None => None,
    };
    let report = Report {
        files: set.files,
        objects: set.objects.len(),
        faults: set.faults,
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
    Ok(ExitCode::from(EXIT_FAULTS))
}

fn print_text(report: &Report) {
    let faults = report.faults.lines();
    for fault in &faults {
        println!("{fault}");
    }
    if let Some(change) = &report.change {
        print_change(change);
    }
    if !report.faults.unreadable.is_empty() {
        println!("references are checked once every object can be read");
    }
    println!(
        "{} files, {} objects, {} faults",
        report.files,
        report.objects,
        faults.len()
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
