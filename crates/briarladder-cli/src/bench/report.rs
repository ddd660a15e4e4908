//! Computes the figures of one run.
//!
//! A request is on time if its response was correct and arrived within its
//! deadline, counted from when the request was due. Attainment is the share of
//! requests that were on time. Names that end in `per_answer` are per on-time
//! response. Shares are from 0 to 1.

use std::time::Duration;

use briarladder_core::{ids::RequestId, objects::Object, sorted::SortedMap};
use briarladder_wire::callers::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    callers::{RequestRecord, RequestResult},
    cpu::CpuTime,
    deployment::Deployment,
    integrity::{Integrity, check_integrity},
    run::Observations,
    scenario::{Scenario, System, Window},
    workload::{POISON_MARKER, RANKS, WindowSpan},
};

/// Maximum 99th percentile of the load generator's lag, which is the time from
/// when a request is due until it is sent. Above it, the actual arrivals differ
/// too much from the generated ones and the run is not valid.
const MAX_LAG_P99: Duration = Duration::from_millis(20);

/// Length of the bins in which attainment is computed to find the recovery
/// time.
const RECOVERY_BIN: Duration = Duration::from_millis(250);

/// Minimum attainment of a bin that counts as recovered, divided by that of
/// the steady window. A bin has about 30 requests.
const RECOVERED_RATIO: f64 = 0.9;

/// Minimum requests of a caller for its attainment to count in the fairness
/// figures.
const MIN_CALLER_REQUESTS: u32 = 5;

/// Maximum time in a histogram, in microseconds; longer times are recorded as
/// this.
const MAX_RECORDED_US: u64 = 60_000_000;

/// The figures of one run.
#[derive(Debug, Serialize)]
pub(super) struct RunReport {
    pub(super) system: System,
    /// All windows except the warm-up.
    pub(super) windows: Vec<WindowReport>,
    /// The stages that ran at least once.
    pub(super) stages: Vec<StageReport>,
    /// Bytes sent between regions for all stages, over the whole run.
    pub(super) cross_region_bytes_per_answer: f64,
    pub(super) integrity: Integrity,
    /// Time from the start of the event to the end of the last bin whose
    /// attainment is below [`RECOVERED_RATIO`] of the steady window's; 0 if
    /// there is no such bin. `None` unless the scenario crashes servers or a
    /// daemon, or slows down a stage.
    pub(super) recovery_ms: Option<u64>,
    /// Time from the event to the daemons' last dispatch to a server that the
    /// event crashed. `None` if there was none after the event.
    pub(super) lost_server_work_ms: Option<u64>,
    /// Executions of poison requests on engines, each of which crashes its
    /// engine.
    pub(super) poison_executions: usize,
    /// 99th percentile of the load generator's lag.
    pub(super) load_lag_p99_ms: f64,
    /// CPU time of this process during the run.
    pub(super) cpu: CpuTime,
    /// Real time over which `cpu` was measured.
    pub(super) elapsed_s: f64,
    /// Whether the lag is at most [`MAX_LAG_P99`].
    pub(super) valid: bool,
}

/// The figures of one window. Requests belong to the window in which they are
/// due, except in the goodput, which counts them by when they end. Poison
/// requests are left out.
#[derive(Debug, Serialize)]
pub(super) struct WindowReport {
    pub(super) window: Window,
    pub(super) requests: usize,
    pub(super) attainment: f64,
    /// On-time responses that ended in the window, per second.
    pub(super) goodput_requests_per_s: f64,
    /// Engine time of the on-time responses that ended in the window, divided
    /// by the slot time of all engines.
    pub(super) goodput_load: f64,
    pub(super) ranks: Vec<RankReport>,
    pub(super) callers: CallersReport,
    /// Requests that were not on time, by reason.
    pub(super) refusals: Vec<Refusals>,
}

/// The figures of one rank.
#[derive(Debug, Serialize)]
pub(super) struct RankReport {
    pub(super) rank: &'static str,
    pub(super) requests: usize,
    pub(super) attainment: f64,
    /// Attainment without the large caller.
    pub(super) small_attainment: f64,
    /// How much of its guaranteed capacity the rank received: the engine time
    /// of its on-time responses that ended in the window, divided by the
    /// smaller of its guaranteed share and its demand.
    pub(super) kept: f64,
    /// Percentiles of the latency of correct responses, late ones included.
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
}

/// Fairness between callers, without the large caller.
#[derive(Debug, Serialize)]
pub(super) struct CallersReport {
    /// Attainment over the requests of all these callers.
    pub(super) attainment: f64,
    /// Jain's fairness index of the callers' attainments: 1 if all are equal.
    pub(super) jain: f64,
    /// Lowest attainment of one caller.
    pub(super) worst: f64,
}

/// Number of requests that failed or were late for one reason.
#[derive(Debug, Serialize)]
pub(super) struct Refusals {
    pub(super) kind: String,
    pub(super) requests: usize,
}

/// The cost of one stage over the whole run.
#[derive(Debug, Serialize)]
pub(super) struct StageReport {
    pub(super) stage: String,
    pub(super) executions: usize,
    /// Executions divided by the on-time requests that use the stage.
    pub(super) executions_per_answer: f64,
    /// Bytes sent between regions for this stage.
    pub(super) cross_region_bytes: u64,
}

/// Computes the figures of a run.
pub(super) fn build_report(
    deployment: &Deployment,
    observations: &Observations,
) -> RunReport {
    let spans = observations.workload.windows.iter();
    let reported = spans.filter(|span| span.window != Window::WarmUp);
    let windows: Vec<WindowReport> = reported
        .map(|span| window_report(deployment, observations, *span))
        .collect();
    let answers = observations.records.iter().filter(|r| on_time(r)).count();
    let bytes: u64 = observations.cross_region_bytes.values().sum();
    let lag = histogram(observations.records.iter().map(|r| r.lag));
    let lag_p99_ms = quantile_ms(&lag, 0.99);
    RunReport {
        system: observations.system,
        recovery_ms: recovery_ms(observations),
        lost_server_work_ms: observations
            .lost_server_work
            .and_then(|time| u64::try_from(time.as_millis()).ok()),
        windows,
        stages: stage_reports(deployment, observations),
        cross_region_bytes_per_answer: ratio(
            to_f64(bytes),
            usize_to_f64(answers),
        ),
        integrity: check_integrity(
            &observations.records,
            &observations.journal,
        ),
        poison_executions: poison_executions(observations),
        load_lag_p99_ms: lag_p99_ms,
        cpu: observations.cpu,
        elapsed_s: observations.elapsed.as_secs_f64(),
        valid: lag_p99_ms <= MAX_LAG_P99.as_secs_f64() * 1e3,
    }
}

fn on_time(record: &RequestRecord) -> bool {
    record.result == RequestResult::Correct
        && record.latency <= record.arrival.pipeline.deadline
}

fn window_report(
    deployment: &Deployment,
    observations: &Observations,
    span: WindowSpan,
) -> WindowReport {
    let arrived: Vec<&RequestRecord> = observations
        .records
        .iter()
        .filter(|r| r.arrival.window == span.window && !r.arrival.is_poison)
        .collect();
    // Goodput counts requests by when they end, so that those still queued at
    // the end of a flood are not counted.
    let completed: Vec<&RequestRecord> = observations
        .records
        .iter()
        .filter(|r| {
            let end = r.arrival.offset + r.latency;
            on_time(r) && span.start <= end && end < span.end
        })
        .collect();
    let time_s = span.end.saturating_sub(span.start).as_secs_f64();
    let capacity = Capacity {
        engine_s: time_s * f64::from(deployment.engine_slots_requests()),
    };
    let ranks = (0..RANKS.len()).map(|rank| {
        let of_rank = |r: &&&RequestRecord| r.arrival.rank == rank;
        let arrived: Vec<&RequestRecord> =
            arrived.iter().filter(of_rank).copied().collect();
        let completed: Vec<&RequestRecord> =
            completed.iter().filter(of_rank).copied().collect();
        rank_report(deployment, rank, &arrived, &completed, capacity)
    });
    WindowReport {
        window: span.window,
        requests: arrived.len(),
        attainment: attainment(&arrived),
        goodput_requests_per_s: usize_to_f64(completed.len()) / time_s,
        goodput_load: capacity.load(&completed),
        ranks: ranks.collect(),
        callers: callers_report(&arrived),
        refusals: count_refusals(&arrived),
    }
}

/// The slot time of all engines in a window.
#[derive(Clone, Copy)]
struct Capacity {
    engine_s: f64,
}

impl Capacity {
    /// Returns the share of the slot time that the requests take.
    fn load(self, records: &[&RequestRecord]) -> f64 {
        let times = records.iter().map(|r| r.arrival.pipeline.engine_time());
        times.sum::<Duration>().as_secs_f64() / self.engine_s
    }
}

fn rank_report(
    deployment: &Deployment,
    rank: usize,
    arrived: &[&RequestRecord],
    completed: &[&RequestRecord],
    capacity: Capacity,
) -> RankReport {
    let name = RANKS[rank];
    let guaranteed = deployment.objects().iter().find_map(|o| match o {
        Object::Rank(rank) if rank.name.as_str() == name => {
            Some(f64::from(rank.guaranteed_percent) / 100.0)
        }
        _ => None,
    });
    let entitled = capacity.load(arrived).min(guaranteed.unwrap_or(0.0));
    let answered =
        arrived.iter().filter(|r| r.result == RequestResult::Correct);
    let latencies = histogram(answered.map(|r| r.latency));
    let small = arrived.iter().filter(|r| !r.arrival.from_large_caller);
    let small: Vec<&RequestRecord> = small.copied().collect();
    RankReport {
        rank: name,
        requests: arrived.len(),
        attainment: attainment(arrived),
        small_attainment: attainment(&small),
        kept: ratio(capacity.load(completed), entitled),
        p50_ms: quantile_ms(&latencies, 0.5),
        p99_ms: quantile_ms(&latencies, 0.99),
    }
}

fn attainment(records: &[&RequestRecord]) -> f64 {
    let on_time_requests = records.iter().filter(|r| on_time(r)).count();
    ratio(usize_to_f64(on_time_requests), usize_to_f64(records.len()))
}

fn callers_report(arrived: &[&RequestRecord]) -> CallersReport {
    let small: Vec<&RequestRecord> = arrived
        .iter()
        .filter(|r| !r.arrival.from_large_caller)
        .copied()
        .collect();
    let mut counts: SortedMap<(&str, &str), (u32, u32)> = SortedMap::new();
    for record in &small {
        let arrival = &record.arrival;
        let key = (&*arrival.workspace, &*arrival.caller);
        let entry = counts.get_or_insert_with(key, || (0, 0));
        entry.0 += u32::from(on_time(record));
        entry.1 += 1;
    }
    let shares: Vec<f64> = counts
        .values()
        .filter(|(_, all)| *all >= MIN_CALLER_REQUESTS)
        .map(|(on_time_requests, all)| {
            f64::from(*on_time_requests) / f64::from(*all)
        })
        .collect();
    CallersReport {
        attainment: attainment(&small),
        jain: jain(&shares),
        worst: shares.iter().copied().fold(1.0, f64::min),
    }
}

/// Returns Jain's fairness index: 1 if all shares are equal, 1/n if only one
/// of n is not 0.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    ratio(sum * sum, usize_to_f64(shares.len()) * squares)
}

fn count_refusals(arrived: &[&RequestRecord]) -> Vec<Refusals> {
    let mut counts: SortedMap<String, usize> = SortedMap::new();
    for record in arrived {
        let kind = match &record.result {
            RequestResult::Correct if on_time(record) => continue,
            RequestResult::Correct => "late".to_owned(),
            RequestResult::WrongResponse => "wrong answer".to_owned(),
            RequestResult::Refused { kind, outcome: Outcome::NotRun } => {
                kind.clone()
            }
            RequestResult::Refused { kind, .. } => format!("{kind} (started)"),
            RequestResult::Failed => "failed".to_owned(),
            RequestResult::TimedOut => "timed out".to_owned(),
        };
        *counts.get_or_insert_with(kind, || 0) += 1;
    }
    let refusals = counts.iter().map(|(kind, requests)| Refusals {
        kind: kind.clone(),
        requests: *requests,
    });
    refusals.collect()
}

fn stage_reports(
    deployment: &Deployment,
    observations: &Observations,
) -> Vec<StageReport> {
    let stages = deployment.objects().iter().filter_map(|o| match o {
        Object::Stage(stage) => Some(stage),
        _ => None,
    });
    let reports = stages.map(|stage| {
        let runs =
            observations.journal.iter().filter(|e| e.stage == stage.name);
        let executions = runs.count();
        let needs = |record: &&RequestRecord| {
            let stages = &record.arrival.pipeline.stages;
            on_time(record) && stages.iter().any(|s| s.name == stage.name)
        };
        let answers = observations.records.iter().filter(needs).count();
        StageReport {
            stage: stage.name.to_string(),
            executions,
            executions_per_answer: ratio(
                usize_to_f64(executions),
                usize_to_f64(answers),
            ),
            cross_region_bytes: observations
                .cross_region_bytes
                .get(&stage.name)
                .copied()
                .unwrap_or_default(),
        }
    });
    reports.filter(|report| report.executions > 0).collect()
}

/// Returns the time from the event to the end of the last bin whose attainment
/// is below [`RECOVERED_RATIO`] of the steady one.
fn recovery_ms(observations: &Observations) -> Option<u64> {
    let expects_recovery = matches!(
        observations.scenario,
        Scenario::BackendLoss | Scenario::DaemonLoss | Scenario::SlowStage
    );
    let spans = &observations.workload.windows;
    let event_span = spans.iter().find(|s| s.window == Window::Event)?;
    if !expects_recovery {
        return None;
    }
    let records = observations.records.iter();
    let steady: Vec<&RequestRecord> =
        records.filter(|r| r.arrival.window == Window::Steady).collect();
    let recovered_attainment = attainment(&steady) * RECOVERED_RATIO;
    let mut recovery_time = Duration::ZERO;
    let mut start = event_span.start;
    while start < event_span.end {
        let end = start + RECOVERY_BIN;
        let bin: Vec<&RequestRecord> = observations
            .records
            .iter()
            .filter(|r| start <= r.arrival.offset && r.arrival.offset < end)
            .collect();
        if !bin.is_empty() && attainment(&bin) < recovered_attainment {
            recovery_time = end.saturating_sub(event_span.start);
        }
        start = end;
    }
    u64::try_from(recovery_time.as_millis()).ok()
}

fn poison_executions(observations: &Observations) -> usize {
    let mut ids: Vec<RequestId> = observations
        .records
        .iter()
        .filter(|r| r.arrival.input.get().contains(POISON_MARKER))
        .map(|r| r.arrival.id)
        .collect();
    ids.sort_unstable();
    let runs = observations.journal.iter().filter(|entry| {
        entry.stage.as_str() == "draft-fold-plan"
            && ids.binary_search(&entry.request_id).is_ok()
    });
    runs.count()
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    // OK because the bounds are in order and 3 digits are allowed.
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).unwrap();
    for time in times {
        let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(us);
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    to_f64(histogram.value_at_quantile(quantile)) / 1e3
}

/// Returns `part / whole`, or 0 if `whole` is 0.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn usize_to_f64(items: usize) -> f64 {
    to_f64(items as u64)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of a run are far below 2^52"
)]
fn to_f64(number: u64) -> f64 {
    number as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a histogram that truncates long times, so that no lag of
    /// the load generator makes a run invalid.
    #[test]
    fn histogram_holds_long_times() {
        let lag = histogram([Duration::from_secs(2)].into_iter());
        let lag_ms = quantile_ms(&lag, 0.99);
        assert!((1_990.0..2_010.0).contains(&lag_ms), "{lag_ms}");
    }

    /// Guards against an index that stays high for unequal shares.
    #[test]
    fn jain_falls_with_unfairness() {
        assert!((jain(&[0.5, 0.5, 0.5]) - 1.0).abs() < 1e-9);
        assert!((jain(&[1.0, 0.0, 0.0, 0.0]) - 0.25).abs() < 1e-9);
    }
}
