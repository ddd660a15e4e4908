//! The command `briarladder completions`: writes a shell completion script.

use std::process::ExitCode;

use clap_complete::Shell;

const EXAMPLES: &str = "\
Examples:
  briarladder completions bash > /etc/bash_completion.d/briarladder
  briarladder completions zsh > ~/.zfunc/_briarladder
  briarladder completions fish > ~/.config/fish/completions/briarladder.fish";

/// Writes a shell completion script to standard output.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// The shell for which the script is written.
    shell: Shell,
}

/// Runs the command.
pub fn run(args: &Args, mut command: clap::Command) -> ExitCode {
    let name = command.get_name().to_owned();
    let mut stdout = std::io::stdout();
    clap_complete::generate(args.shell, &mut command, name, &mut stdout);
    ExitCode::SUCCESS
}
