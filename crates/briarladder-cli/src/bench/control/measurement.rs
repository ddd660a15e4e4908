//! CPU time, resident memory, allowances for message framing, and linear fits.

use std::{fs, time::Duration};

use anyhow::Context;
use serde::Serialize;

/// Allowance in bytes for the HTTP head, the peer key and the JSON-RPC envelope of a
/// request between peers. The test `framing_fits_captured_messages` compares
/// the allowances with captured bytes.
pub const RPC_REQUEST_BYTES: usize = 320;

/// Allowance for the HTTP head and the JSON-RPC envelope of a response
/// between peers.
pub const RPC_RESPONSE_BYTES: usize = 200;

/// Allowance for the HTTP head of a GET request to a backend server or the
/// platform.
pub const GET_REQUEST_BYTES: usize = 120;

/// Allowance for the HTTP head of the response to a GET request.
pub const GET_RESPONSE_BYTES: usize = 150;

/// Size of a memory page on the supported machines.
const PAGE_BYTES: u64 = 4_096;

/// Returns the CPU time of the calling thread. It advances with the scheduler
/// tick, so a measurement must last tens of milliseconds.
pub fn thread_cpu_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let ns = text.split_whitespace().next().context("schedstat is empty")?;
    Ok(Duration::from_nanos(ns.parse()?))
}

/// Returns the CPU time of all threads of this process, in clock ticks of
/// 10 ms.
pub fn process_cpu_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/self/stat")?;
    // The command name, in parentheses, may contain spaces.
    let (_, rest) = text.rsplit_once(')').context("stat has no name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(Duration::from_millis(ticks * 10))
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).context("statm is short")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Returns the mean resident memory of one of the states that `create`
/// returns, in bytes.
///
/// The copies are created in a new thread, whose allocator has no memory freed
/// by earlier measurements, and are never freed, so that later ones can't reuse
/// it. A first round of copies uses up the memory that `create` itself frees.
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
        thread.join().map_err(|_| {
            anyhow::anyhow!("the thread that creates copies panicked")
        })
    })??;
    Ok(to_f64(growth) / f64::from(copies))
}

/// Runs a closure until it has used enough CPU time to measure, and returns
/// the mean CPU time of one run in microseconds.
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

/// The quantity with which a figure grows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Driver {
    /// Daemons of the fleet.
    Daemons,
    /// Daemons per availability zone.
    ZoneDaemons,
    /// Backend servers.
    Servers,
    /// Backend servers plus workspaces.
    Objects,
    /// Workspaces.
    Workspaces,
    /// None: the figure does not depend on the size of the fleet, and the
    /// mean over the runs is reported.
    Fixed,
}

/// A figure measured at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// The component and the quantity measured.
    pub name: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// The quantity with which the figure grows.
    pub by: Driver,
    /// The measured value; infinite if a simulation reached its limit.
    pub value: f64,
}

/// Returns a [`Figure`] with these fields.
pub fn figure(
    name: &'static str,
    unit: &'static str,
    by: Driver,
    value: f64,
) -> Figure {
    Figure { name, unit, by, value }
}

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// The value at 0.
    pub base: f64,
    /// The growth for each additional unit of the x axis, for example each
    /// daemon.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line by least squares. If all points have the same x, the slope
    /// is 0 and the base is the mean.
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

    /// Returns the value of the line at `x`.
    pub fn predict(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Converts a count to a float. Counts above 2^53 lose precision, which does not matter
/// for rounded figures.
#[allow(clippy::cast_precision_loss, reason = "figures are rounded")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a fit that misses points on a line, and against a
    /// division by zero if all points have the same x.
    #[test]
    fn fit_returns_line_and_mean() {
        let line = LinearFit::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
        assert!((line.predict(100.0) - 203.0).abs() < 1e-9, "{line:?}");
        let flat = LinearFit::fit(&[(1.0, 2.0), (1.0, 4.0)]);
        assert_eq!(flat, LinearFit { base: 3.0, slope: 0.0 });
    }
}
