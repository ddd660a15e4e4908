//! CPU time, resident memory, message framing and fitted slopes.

use std::{fs, time::Duration};

use anyhow::Context;
use serde::Serialize;

/// The HTTP head, the peer key and the JSON-RPC envelope of a call between
/// peers. The test `framing` compares it with captured bytes.
pub const RPC_REQUEST_BYTES: usize = 320;

/// The same for the answer.
pub const RPC_RESPONSE_BYTES: usize = 200;

/// The HTTP head of a read from a backend server or the platform.
pub const GET_REQUEST_BYTES: usize = 120;

/// The HTTP head of the answer to a read.
pub const GET_RESPONSE_BYTES: usize = 150;

/// The size of a memory page on the machines that run this.
const PAGE_BYTES: u64 = 4_096;

/// Returns the CPU time of this thread. It advances with the scheduler's
/// tick, so a measured stretch must last tens of milliseconds.
pub fn thread_cpu_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let ns = text.split_whitespace().next().context("schedstat is empty")?;
    Ok(Duration::from_nanos(ns.parse()?))
}

/// Returns the CPU time of all threads of this process. It counts in clock
/// ticks of 10 ms.
pub fn process_cpu_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/self/stat")?;
    // The command's name, in parentheses, may contain spaces.
    let (_, rest) = text.rsplit_once(')').context("stat has no name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(Duration::from_millis(ticks * 10))
}

/// Returns the resident memory of this process.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).context("statm is short")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Returns the resident memory of one copy of some state.
///
/// The copies are made in a thread of their own, whose allocator has no
/// space that earlier steps freed, and are never freed, so that later copies
/// can't reuse theirs. The first copies fill what the making of a copy frees.
pub fn bytes_per_copy<T>(
    copies: u32,
    create: impl Fn() -> T + Sync,
) -> anyhow::Result<f64> {
    let growth = std::thread::scope(|scope| {
        let thread = scope.spawn(|| {
            let create_all = || {
                let states: Vec<T> = (0..copies).map(|_| create()).collect();
                std::mem::forget(std::hint::black_box(states));
            };
            create_all();
            let before = resident_bytes()?;
            create_all();
            anyhow::Ok(resident_bytes()?.saturating_sub(before))
        });
        thread.join().map_err(|_| anyhow::anyhow!("making a copy failed"))
    })??;
    Ok(to_f64(growth) / f64::from(copies))
}

/// Runs something until it took enough CPU time to be measured, and returns
/// the time of one run in microseconds.
pub fn cpu_us_per_run(mut run: impl FnMut()) -> anyhow::Result<f64> {
    const MIN_CPU_TIME: Duration = Duration::from_millis(100);
    let (start, mut runs, mut batch) = (thread_cpu_time()?, 0_u32, 1_u32);
    loop {
        for _ in 0..batch {
            run();
        }
        runs += batch;
        let elapsed = thread_cpu_time()?.saturating_sub(start);
        if elapsed >= MIN_CPU_TIME {
            return Ok(elapsed.as_secs_f64() * 1e6 / f64::from(runs));
        }
        batch = batch.saturating_mul(2);
    }
}

/// What a figure grows with.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Driver {
    /// All daemons.
    Daemons,
    /// The daemons of one availability zone.
    ZoneDaemons,
    /// The backend servers.
    Servers,
    /// The backend servers and workspaces.
    Objects,
    /// The workspaces.
    Workspaces,
    /// Nothing; the mean counts.
    Fixed,
}

/// One figure of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// The part and what was measured.
    pub name: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// What it grows with.
    pub by: Driver,
    /// The value.
    pub value: f64,
}

/// Creates a figure.
pub fn figure(
    name: &'static str,
    unit: &'static str,
    by: Driver,
    value: f64,
) -> Figure {
    Figure { name, unit, by, value }
}

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// The value at 0.
    pub base: f64,
    /// The growth for each unit of the driver.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line by least squares. Points with one abscissa give their
    /// mean and no slope.
    pub fn fit(points: &[(f64, f64)]) -> LinearFit {
        let n = to_f64(points.len() as u64);
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let square = |x: f64| (x - mean_x) * (x - mean_x);
        let sum_squares_x: f64 = points.iter().map(|p| square(p.0)).sum();
        if sum_squares_x == 0.0 {
            return LinearFit { base: mean_y, slope: 0.0 };
        }
        let sum_products: f64 =
            points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = sum_products / sum_squares_x;
        LinearFit { base: mean_y - slope * mean_x, slope }
    }

    /// Returns the value at a point.
    pub fn predict(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Figures are rounded, so the lost bits of large counts do not matter.
#[allow(clippy::cast_precision_loss, reason = "figures are rounded")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an extrapolation that does not pass through points
    /// that lie on a line, and against a division by zero.
    #[test]
    fn fit_returns_line_and_mean() {
        let line = LinearFit::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
        assert!((line.predict(100.0) - 203.0).abs() < 1e-9, "{line:?}");
        let flat = LinearFit::fit(&[(1.0, 2.0), (1.0, 4.0)]);
        assert_eq!(flat, LinearFit { base: 3.0, slope: 0.0 });
    }
}
