//! Tests `briarladder follow`, which traces a request through logs, as a
//! library and as a command.

use std::process::Command;

use briarladder_cli::follow::{LogLine, trace_request};

const FRONT_1: &str = "\
2026-12-04T05:59:00.000Z INFO process: event=started vm=front-1
2026-12-04T06:00:00.100Z INFO dispatch: id=a1 server=i-1 failure=broken
2026-12-04T06:00:00.900Z INFO request: id=a1 outcome=answered server=i-2
2026-12-04T06:00:00.950Z INFO request: id=a12 outcome=answered server=i-1
not a line with a time
";

const FRONT_2: &str = "\
2026-12-04T06:00:00.050Z INFO servers: server=i-1 state=Draining
2026-12-04T06:00:00.500Z INFO servers: server=i-1 state=Gone
2026-12-04T06:00:00.600Z INFO servers: server=i-9 state=Gone
2026-12-04T06:00:00.300Z INFO stages: id=a1 stage=0 outcome=inputs_gone
";

/// Guards against including lines of other requests, lines out of order, and
/// omitting the state changes of the servers involved.
#[test]
fn follow_merges_processes() {
    let mut lines: Vec<LogLine> =
        LogLine::parse_log("front-1", FRONT_1).collect();
    lines.extend(LogLine::parse_log("front-2", FRONT_2));
    let matched: Vec<String> =
        trace_request("a1", &lines).iter().map(|l| format!("{l:?}")).collect();
    let expected =
        ["failure=broken", "inputs_gone", "i-1 state=Gone", "answered"];
    assert_eq!(matched.len(), expected.len(), "{matched:#?}");
    for (line, fragment) in matched.iter().zip(expected) {
        assert!(line.contains(fragment), "{line}");
    }
}

/// Guards against losing the source of a line when the logs of all processes
/// are in one file.
#[test]
fn source_precedes_timestamp() {
    let text = "  0.06 front-7 2026-12-04T06:00:00.100Z INFO request: id=a1";
    let lines: Vec<LogLine> = LogLine::parse_log("all", text).collect();
    assert!(format!("{:?}", lines[0]).contains("front-7"));
}

/// Guards against a command that prints nothing when it finds no matching
/// line, and one that treats an unreadable log as empty.
#[test]
fn command_exit_codes() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("front-1.log");
    std::fs::write(&log, FRONT_1).unwrap();
    let run = |id: &str, log: &std::path::Path| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_briarladder"));
        command.arg("follow").arg(id).arg(log).output().unwrap()
    };
    let matched = run("a1", &log);
    assert!(matched.status.success());
    let text = String::from_utf8(matched.stdout).unwrap();
    assert_eq!(text.lines().count(), 2, "{text}");
    assert!(text.contains("front-1"), "{text}");
    let missing = run("b1", &log);
    assert_eq!(missing.status.code(), Some(1));
    let message = String::from_utf8_lossy(&missing.stderr);
    assert!(message.contains("id=b1"), "{message}");
    assert!(message.contains("event=started vm=front-1"), "{message}");
    let unreadable = run("a1", &folder.path().join("none.log"));
    assert_eq!(unreadable.status.code(), Some(2));
}
