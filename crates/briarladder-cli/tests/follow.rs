//! Following a request through logs, in the library and as a command.

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

/// Guards against lines of other requests, lines out of order, and the loss
/// of what became of the servers meanwhile.
#[test]
fn follow_over_processes() {
    let mut lines: Vec<LogLine> =
        LogLine::parse_log("front-1", FRONT_1).collect();
    lines.extend(LogLine::parse_log("front-2", FRONT_2));
    let found: Vec<String> =
        trace_request("a1", &lines).iter().map(|l| format!("{l:?}")).collect();
    let order =
        ["failure=broken", "inputs_gone", "i-1 state=Gone", "answered"];
    assert_eq!(found.len(), order.len(), "{found:#?}");
    for (line, part) in found.iter().zip(order) {
        assert!(line.contains(part), "{line}");
    }
}

/// Guards against the source of a line that is lost when the logs of all
/// processes come in one file.
#[test]
fn read_source_before_time() {
    let text = "  0.06 front-7 2026-12-04T06:00:00.100Z INFO request: id=a1";
    let lines: Vec<LogLine> = LogLine::parse_log("all", text).collect();
    assert!(format!("{:?}", lines[0]).contains("front-7"));
}

/// Guards against a command that says nothing where it found nothing, and
/// against an unreadable log that passes for an empty one.
#[test]
fn command_exit_codes() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("front-1.log");
    std::fs::write(&log, FRONT_1).unwrap();
    let run = |id: &str, log: &std::path::Path| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_briarladder"));
        command.arg("follow").arg(id).arg(log).output().unwrap()
    };
    let found = run("a1", &log);
    assert!(found.status.success());
    let text = String::from_utf8(found.stdout).unwrap();
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
