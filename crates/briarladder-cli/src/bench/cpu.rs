//! CPU time of this process by group of threads, from `/proc`.

use std::fs;

use serde::Serialize;

/// Clock ticks per second in `/proc`, a constant of the Linux ABI.
const TICKS_PER_S: f64 = 100.0;

/// CPU time in seconds.
#[expect(clippy::struct_field_names, reason = "the names end in their unit")]
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct CpuTime {
    /// All threads of the process, including those that have ended.
    pub(super) process_s: f64,
    /// Threads of the load generator.
    pub(super) load_s: f64,
    /// Threads of the daemons.
    pub(super) daemons_s: f64,
}

impl CpuTime {
    /// Reads the times since the process started, or for a group of threads
    /// those of its live threads. They are 0 if `/proc` can't be read.
    pub(super) fn now() -> CpuTime {
        let read = |path: &str| fs::read_to_string(path).unwrap_or_default();
        let (_, process_s) = parse_stat(&read("/proc/self/stat"));
        let mut times = CpuTime { process_s, ..CpuTime::default() };
        let Ok(threads) = fs::read_dir("/proc/self/task") else {
            return times;
        };
        for thread in threads.flatten() {
            let stat = thread.path().join("stat");
            let text = read(&stat.to_string_lossy());
            match parse_stat(&text) {
                ("load", used_s) => times.load_s += used_s,
                ("daemon", used_s) => times.daemons_s += used_s,
                _ => {}
            }
        }
        times
    }

    /// Returns the time since an earlier reading. Groups of threads are at
    /// least 0: a thread of the previous run may end between the readings and
    /// take its time out of the sum.
    pub(super) fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime {
            process_s: self.process_s - earlier.process_s,
            load_s: (self.load_s - earlier.load_s).max(0.0),
            daemons_s: (self.daemons_s - earlier.daemons_s).max(0.0),
        }
    }
}

/// Returns the name of a thread and its CPU time in seconds.
fn parse_stat(stat: &str) -> (&str, f64) {
    // The name is in parentheses and may itself contain parentheses.
    let (Some(open), Some(close)) = (stat.find('('), stat.rfind(')')) else {
        return ("", 0.0);
    };
    let mut fields = stat[close + 1..].split_whitespace();
    let mut next = || -> f64 {
        fields.next().and_then(|f| f.parse().ok()).unwrap_or_default()
    };
    // User and system time are fields 14 and 15 of proc(5), the name field 2.
    let ticks = (3..=15).map(|field| (field, next()));
    let ticks: f64 =
        ticks.filter(|(field, _)| *field >= 14).map(|(_, t)| t).sum();
    (&stat[open + 1..close], ticks / TICKS_PER_S)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against reading the wrong fields, which would hide an overload
    /// of the machine.
    #[test]
    fn parse_stat_reads_user_and_system_time() {
        let stat = "7 (lo) ad) S 1 1 1 0 -1 4 10 0 0 0 150 50 9 9 20 0 3";
        let (name, time_s) = parse_stat(stat);
        assert_eq!(name, "lo) ad");
        assert!((time_s - 2.0).abs() < 1e-9, "{time_s}");
    }
}
