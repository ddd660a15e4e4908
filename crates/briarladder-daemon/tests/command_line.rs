//! Tests the command line of `briarladderd`.

use std::process::Command;

/// Guards against a daemon of the platform that asks for flags of the plain
/// daemon because one of its variables is set.
#[test]
fn platform_with_variables_of_plain_daemon() {
    for (variable, value) in [
        ("BRIARLADDER_PEER_KEY", "a-key-of-sufficient-length"),
        ("BRIARLADDER_ZONE", "zone-a"),
        ("BRIARLADDER_THREADS", "1"),
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_briarladderd"))
            .args(["platform", "--settings", "missing.toml"])
            .env(variable, value)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(text.contains("missing.toml"), "{variable}: {text}");
    }
}

/// Guards against a plain daemon that starts without its required flags, or
/// does not name them.
#[test]
fn plain_without_flags() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_briarladderd")).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{text}");
    assert!(text.contains("--vm <VM>"), "{text}");
}
