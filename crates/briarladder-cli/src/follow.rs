//! The command `briarladder follow`: shows one request in the logs of all
//! processes.
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

/// The exit code if the logs have no line of the request.
const EXIT_NOT_FOUND: u8 = 1;

/// The path that stands for standard input.
const STDIN: &str = "-";

const EXAMPLES: &str = "\
Examples:
  briarladder follow 8f21c0 front-*.log
  cat front-*.log | briarladder follow 8f21c0

Exit codes: 0 if the request was found, 1 if no line has its id, 2 for wrong
usage or a log that can't be read.";

/// Shows the log lines of a request in order of time, and the state changes
/// meanwhile of the backend servers to which it was sent.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// The id of the caller's attempt: the value of id= in the logs.
    id: String,

    /// The log files of all processes; - stands for standard input.
    #[arg(default_value = STDIN)]
    logs: Vec<PathBuf>,
}

/// A log line that has a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// The process or file that the line comes from.
    source: String,
    /// The time in UTC as it was written. Times in this format compare as
    /// text.
    time: String,
    /// The text after the time.
    text: String,
}

impl LogLine {
    /// Parses the lines of a log that have a time. The word before the time,
    /// which log collectors add, names the source; `source` is used if there
    /// is none.
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

    /// Returns whether the line reports the start of a process.
    fn is_process_start(&self) -> bool {
        self.text.contains("process: event=started")
    }

    /// Returns the value of `name=value` in the text.
    fn field(&self, name: &str) -> Option<&str> {
        self.text
            .split_whitespace()
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Returns whether a word looks like a UTC time in the RFC 3339 format. Only
/// the length, two separators and the final `Z` are compared.
fn is_time(word: &str) -> bool {
    let bytes = word.as_bytes();
    bytes.len() >= "2026-01-01T00:00:00Z".len()
        && bytes[4] == b'-'
        && bytes[10] == b'T'
        && bytes.ends_with(b"Z")
}

/// Returns the lines of a request in order of time, and the state changes of
/// its backend servers between the first and the last of these lines.
#[must_use]
pub fn trace_request<'a>(id: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let times = || request_lines.iter().map(|line| line.time.as_str());
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let servers: Vec<&str> =
        request_lines.iter().filter_map(|line| line.field("server")).collect();
    let server_changes = lines.iter().filter(|line| {
        line.field("id").is_none()
            && line.text.contains("servers: ")
            && line.field("server").is_some_and(|name| servers.contains(&name))
            && (first..=last).contains(&line.time.as_str())
    });
    let mut all: Vec<&LogLine> =
        request_lines.iter().copied().chain(server_changes).collect();
    all.sort_by(|a, b| a.time.cmp(&b.time));
    all
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when a log can't be read.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let mut lines = Vec::new();
    for path in &args.logs {
        let source = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(LogLine::parse_log(&source, &read_log(path)?));
    }
    let found = trace_request(&args.id, &lines);
    if found.is_empty() {
        eprintln!(
            "no line of {} logs has id={}; pass the logs of all processes and \
             the id of the attempt, not of the workspace. A killed process \
             logs nothing about its open requests; the process starts are:",
            args.logs.len(),
            args.id
        );
        for line in lines.iter().filter(|line| line.is_process_start()) {
            eprintln!("{} {} {}", line.time, line.source, line.text);
        }
        return Ok(ExitCode::from(EXIT_NOT_FOUND));
    }
    for line in found {
        println!("{} {} {}", line.time, line.source, line.text);
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads a log. Invalid UTF-8 is replaced.
fn read_log(path: &Path) -> anyhow::Result<String> {
    let mut log = Vec::new();
    if path == Path::new(STDIN) {
        io::stdin()
            .read_to_end(&mut log)
            .context("can't read standard input")?;
    } else {
        log = fs::read(path).with_context(|| {
            format!("can't read {}; pass a readable log file", path.display())
        })?;
    }
    Ok(String::from_utf8_lossy(&log).into_owned())
}
