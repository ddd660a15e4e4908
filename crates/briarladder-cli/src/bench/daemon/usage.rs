//! CPU time and memory of a process, from `/proc`.

use std::{fs, time::Duration};

use anyhow::Context;

/// Length of a clock tick of `/proc`, the same on every Linux platform that
/// Rust supports as a host.
const TICK: Duration = Duration::from_millis(10);

/// CPU time and memory that a process has used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Usage {
    /// CPU time of all threads, in user mode and in the kernel.
    pub(super) cpu: Duration,
    /// CPU time of all threads in the kernel.
    pub(super) kernel_cpu: Duration,
    /// Current resident memory.
    pub(super) resident_kib: u64,
    /// Peak resident memory.
    pub(super) peak_kib: u64,
}

/// Reads the CPU time and memory of a process.
pub(super) fn read(process_id: u32) -> anyhow::Result<Usage> {
    let read = |file: &str| {
        let path = format!("/proc/{process_id}/{file}");
        fs::read_to_string(&path).with_context(|| format!("can't read {path}"))
    };
    parse(&read("stat")?, &read("status")?)
        .context("the stat or status file in /proc has an unknown format")
}

fn parse(stat: &str, status: &str) -> Option<Usage> {
    // The name is in parentheses and may itself contain spaces and
    // parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // Fields 14 and 15 of proc(5); index 0 here is field 3, the state.
    let ticks = |index: usize| fields.get(index)?.parse::<u32>().ok();
    let kib = |key: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(key))?;
        line.trim().strip_suffix("kB")?.trim().parse().ok()
    };
    Some(Usage {
        cpu: TICK * (ticks(11)? + ticks(12)?),
        kernel_cpu: TICK * ticks(12)?,
        resident_kib: kib("VmRSS:")?,
        peak_kib: kib("VmHWM:")?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against reading the wrong field, for example when the name of the
    /// process contains a parenthesis and a space.
    #[test]
    fn parse_takes_fields_after_name() {
        let stat = "7 (a) b) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 3 0";
        let status = "Name:\ta\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n";
        let usage = Usage {
            cpu: Duration::from_secs(3),
            kernel_cpu: Duration::from_millis(500),
            resident_kib: 1024,
            peak_kib: 2048,
        };
        assert_eq!(parse(stat, status), Some(usage));
        assert_eq!(parse("7 a S 1", status), None);
        assert_eq!(parse(stat, "VmRSS:\t 1 kB\n"), None);
    }
}
