//! The binary `briarladder`: the operators' command.

fn main() {}
