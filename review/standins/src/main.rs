//! Runs one case of the review: `review-standins CASE FOLDER RECORD`.
//!
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cut_stream;
mod deployment;
mod engine;
mod foreign_entries;
mod http;
mod left_clients;
mod missed_change;
mod mixed_results;
mod store;
mod wire;

use std::{env, io, path::Path, process::ExitCode};

use deployment::Record;

/// Whether a rule was broken.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn run() -> io::Result<Verdict> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [engine, mode, ip] = arguments.as_slice()
        && engine == "engine"
    {
        let is_faulty = mode == "unframed";
        let events = match mode.as_str() {
            "long" | "unframed" => cut_stream::EVENTS,
            _ => left_clients::EVENTS,
        };
        engine::run_process(ip, events, is_faulty)?;
    }
    let [case, folder, record] = arguments.as_slice() else {
        return Ok(Verdict::CouldNotRun);
    };
    let folder = Path::new(folder);
    let record = Record::create(Path::new(record))?;
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.add(&format!("case {case} trouble={trouble}"));
    match case.as_str() {
        "missed-change" => missed_change::run(folder, record, trouble),
        "cut-stream" => cut_stream::run(folder, record, trouble),
        "foreign-entries" => foreign_entries::run(folder, record, trouble),
        "left-clients" => left_clients::run(folder, record, trouble),
        "mixed-results" => mixed_results::run(folder, record, trouble),
        _ => Ok(Verdict::CouldNotRun),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::CouldNotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
