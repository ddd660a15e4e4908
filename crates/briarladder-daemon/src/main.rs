//! The binary `briarladderd`: the daemon of an entry VM.

use briarladder_daemon::{process, settings::Settings};
use clap::Parser;

fn main() -> anyhow::Result<()> {
    process::run(Settings::parse())
}
