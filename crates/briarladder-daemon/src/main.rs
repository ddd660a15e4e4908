//! The binary `briarladderd`: the daemon of an entry VM.

fn main() {}
