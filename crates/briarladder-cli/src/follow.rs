//! `briarladder follow`: one request through the logs of all processes.
//!
//! # Example
//!
//! ```
//! use briarladder_cli::follow::{LogLine, trace_request};
//!
//! let text = "2026-12-04T06:00:00.100Z INFO request: id=a1 server=i-1";
//! let lines: Vec<LogLine> = LogLine::parse_log("vm-1", text).collect();
//! assert_eq!(trace_request("a1", &lines).len(), 1);
//! assert!(trace_request("a2", &lines).is_empty());
//! ```

use std::{
    fs,
    io::{self, Read},
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;

/// Exit code if the logs have no line of the request.
const EXIT_NOT_FOUND: u8 = 1;

/// Stands for standard input in the list of files.
const STDIN: &str = "-";

const EXAMPLES: &str = "\
Examples:
  briarladder follow 8f21c0 front-*.log
  cat front-*.log | briarladder follow 8f21c0

Exit codes: 0 the request was found, 1 no line has its id, 2 a log can't be
read.";

/// Shows all lines of a request in order of time, and the changes of the
/// backend servers that it was sent to meanwhile.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// The id of the caller's attempt.
    id: String,

    /// The logs of all processes; standard input without any.
    #[arg(default_value = STDIN)]
    logs: Vec<PathBuf>,
}

/// A line of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Where it comes from.
    source: String,
    /// The time in UTC as it was written, so that text order is time order.
    time: String,
    /// The rest of the line.
    text: String,
}

impl LogLine {
    /// Reads the lines of a log that have a time. What stands before the
    /// time, as a collector of logs writes it, tells the source.
    pub fn parse_log(
        source: &str,
        log: &str,
    ) -> impl Iterator<Item = LogLine> {
        log.lines().filter_map(move |line| LogLine::parse(source, line))
    }

    fn parse(source: &str, line: &str) -> Option<LogLine> {
        let words = line.split_whitespace();
        let time = words.clone().find(|word| is_time(word))?;
        let (before, text) = line.split_once(time)?;
        let source = before.split_whitespace().last().unwrap_or(source);
        Some(LogLine {
            source: source.to_owned(),
            time: time.to_owned(),
            text: text.trim().to_owned(),
        })
    }

    fn is_start(&self) -> bool {
        self.text.contains("process: event=started")
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.text
            .split_whitespace()
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Returns whether a word is a time of day in UTC.
fn is_time(word: &str) -> bool {
    let bytes = word.as_bytes();
    bytes.len() >= "2026-01-01T00:00:00Z".len()
        && bytes[4] == b'-'
        && bytes[10] == b'T'
        && bytes.ends_with(b"Z")
}

/// Returns the lines of a request in order of time, with the changes of its
/// servers between its first and its last line.
#[must_use]
pub fn trace_request<'a>(id: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let times = || own.iter().map(|line| line.time.as_str());
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let servers: Vec<&str> =
        own.iter().filter_map(|line| line.field("server")).collect();
    let changes = lines.iter().filter(|line| {
        line.field("id").is_none()
            && line.text.contains("servers: ")
            && line.field("server").is_some_and(|name| servers.contains(&name))
            && (first..=last).contains(&line.time.as_str())
    });
    let mut all: Vec<&LogLine> = own.iter().copied().chain(changes).collect();
    all.sort_by(|a, b| a.time.cmp(&b.time));
    all
}

/// Runs the command.
///
/// # Errors
///
/// If a log can't be read.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let mut lines = Vec::new();
    for path in &args.logs {
        let source = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(LogLine::parse_log(&source, &read_log(path)?));
    }
    let found = trace_request(&args.id, &lines);
    if found.is_empty() {
        eprintln!(
            "no line of {} logs has id={}: give the logs of all processes \
             and the id of the attempt, not of the workspace. A process \
             that was killed has no line of what it held; the starts are:",
            args.logs.len(),
            args.id
        );
        for line in lines.iter().filter(|line| line.is_start()) {
            eprintln!("{} {} {}", line.time, line.source, line.text);
        }
        return Ok(ExitCode::from(EXIT_NOT_FOUND));
    }
    for line in found {
        println!("{} {} {}", line.time, line.source, line.text);
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads a log; bytes that are not text are replaced.
fn read_log(path: &Path) -> anyhow::Result<String> {
    let mut log = Vec::new();
    if path == Path::new(STDIN) {
        io::stdin().read_to_end(&mut log).context("standard input")?;
    } else {
        log = fs::read(path).with_context(|| {
            format!("{}: give files that can be read", path.display())
        })?;
    }
    Ok(String::from_utf8_lossy(&log).into_owned())
}
