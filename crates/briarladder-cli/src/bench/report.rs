//! The figures of one run.

use std::time::Duration;

use briarladder_core::{ids::RequestId, objects::Object, sorted::SortedMap};
use briarladder_wire::callers::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    callers::{Ending, Sample},
    cpu::CpuTime,
    deployment::Deployment,
    integrity::{Integrity, integrity},
    run::Observed,
    scenario::{Scenario, System, Window},
    workload::{POISON_MARKER, RANKS, Span},
};

/// The longest lag of the load generator at the 99th percentile. Beyond it
/// the arrivals are no longer those of the seed, and the run is not valid.
const MAX_LAG: Duration = Duration::from_millis(20);

/// The time for which attainment is taken when looking for the recovery.
const RECOVERY_BIN: Duration = Duration::from_millis(250);

/// The attainment, relative to steady load, from which a bin counts as
/// recovered. A bin has about 30 requests.
const RECOVERED_RATIO: f64 = 0.9;

/// The fewest requests from which the attainment of a caller is taken.
const MIN_CALLER_REQUESTS: u32 = 5;

/// The longest time that a histogram holds; longer ones count as this.
const MAX_RECORDED_US: u64 = 60_000_000;

/// The figures of one run.
#[derive(Debug, Serialize)]
pub(super) struct RunReport {
    pub(super) system: System,
    pub(super) windows: Vec<WindowReport>,
    pub(super) stages: Vec<StageReport>,
    pub(super) cross_region_bytes_per_answer: f64,
    pub(super) integrity: Integrity,
    /// None where the scenario loses nothing.
    pub(super) recovery_ms: Option<u64>,
    /// How long servers that died were still sent work, if they were.
    pub(super) lost_server_work_ms: Option<u64>,
    /// Engine runs of the request that crashes engines.
    pub(super) poison_executions: usize,
    pub(super) load_lag_p99_ms: f64,
    pub(super) cpu: CpuTime,
    pub(super) elapsed_s: f64,
    pub(super) valid: bool,
}

/// The figures of one window.
#[derive(Debug, Serialize)]
pub(super) struct WindowReport {
    pub(super) window: Window,
    pub(super) requests: usize,
    /// Answered rightly before the deadline, as a share of all requests.
    pub(super) attainment: f64,
    pub(super) goodput_requests_per_s: f64,
    /// The share of the engines' time that went into answers in time.
    pub(super) goodput_load: f64,
    pub(super) ranks: Vec<RankReport>,
    pub(super) callers: CallersReport,
    pub(super) refusals: Vec<Refusals>,
}

/// The figures of one rank.
#[derive(Debug, Serialize)]
pub(super) struct RankReport {
    pub(super) rank: &'static str,
    pub(super) requests: usize,
    pub(super) attainment: f64,
    /// The same without the large caller.
    pub(super) small_attainment: f64,
    /// Served engine time over the lesser of guarantee and demand.
    pub(super) kept: f64,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
}

/// How callers fare beside one another, without the large caller.
#[derive(Debug, Serialize)]
pub(super) struct CallersReport {
    pub(super) attainment: f64,
    pub(super) jain: f64,
    pub(super) worst: f64,
}

/// Requests without an answer, by kind.
#[derive(Debug, Serialize)]
pub(super) struct Refusals {
    pub(super) kind: String,
    pub(super) requests: usize,
}

/// What one stage cost over the whole run.
#[derive(Debug, Serialize)]
pub(super) struct StageReport {
    pub(super) stage: String,
    pub(super) executions: usize,
    /// Executions for each request that needs the stage and was answered in
    /// time.
    pub(super) executions_per_answer: f64,
    pub(super) cross_region_bytes: u64,
}

/// Computes the figures.
pub(super) fn report(
    deployment: &Deployment,
    observed: &Observed,
) -> RunReport {
    let spans = observed.workload.windows.iter();
    let reported = spans.filter(|span| span.window != Window::WarmUp);
    let windows: Vec<WindowReport> =
        reported.map(|span| window(deployment, observed, *span)).collect();
    let answers = observed.samples.iter().filter(|s| on_time(s)).count();
    let bytes: u64 = observed.cross_region_bytes.values().sum();
    let lag = histogram(observed.samples.iter().map(|s| s.lag));
    let lag_p99_ms = quantile_ms(&lag, 0.99);
    RunReport {
        system: observed.system,
        recovery_ms: recovery_ms(observed),
        lost_server_work_ms: observed
            .lost_server_work
            .and_then(|time| u64::try_from(time.as_millis()).ok()),
        windows,
        stages: stages(deployment, observed),
        cross_region_bytes_per_answer: ratio(to_f64(bytes), count(answers)),
        integrity: integrity(&observed.samples, &observed.journal),
        poison_executions: poison_executions(observed),
        load_lag_p99_ms: lag_p99_ms,
        cpu: observed.cpu,
        elapsed_s: observed.elapsed.as_secs_f64(),
        valid: lag_p99_ms <= MAX_LAG.as_secs_f64() * 1e3,
    }
}

fn on_time(sample: &Sample) -> bool {
    sample.ending == Ending::Answered
        && sample.latency <= sample.arrival.plan.deadline
}

fn window(
    deployment: &Deployment,
    observed: &Observed,
    span: Span,
) -> WindowReport {
    let arrived: Vec<&Sample> = observed
        .samples
        .iter()
        .filter(|s| s.arrival.window == span.window && !s.arrival.poison)
        .collect();
    // Goodput counts what ends in the window, so that work left over at the
    // end of a flood is not counted.
    let completed: Vec<&Sample> = observed
        .samples
        .iter()
        .filter(|s| {
            let end = s.arrival.at + s.latency;
            on_time(s) && span.start <= end && end < span.end
        })
        .collect();
    let time_s = span.end.saturating_sub(span.start).as_secs_f64();
    let capacity = Capacity {
        engine_s: time_s * f64::from(deployment.engine_slots_requests()),
    };
    let ranks = (0..RANKS.len()).map(|rank| {
        let of_rank = |s: &&&Sample| s.arrival.rank == rank;
        let arrived: Vec<&Sample> =
            arrived.iter().filter(of_rank).copied().collect();
        let completed: Vec<&Sample> =
            completed.iter().filter(of_rank).copied().collect();
        rank_report(deployment, rank, &arrived, &completed, capacity)
    });
    WindowReport {
        window: span.window,
        requests: arrived.len(),
        attainment: attainment(&arrived),
        goodput_requests_per_s: count(completed.len()) / time_s,
        goodput_load: capacity.load(&completed),
        ranks: ranks.collect(),
        callers: callers(&arrived),
        refusals: refusals(&arrived),
    }
}

/// The time of all engines in a window.
#[derive(Clone, Copy)]
struct Capacity {
    engine_s: f64,
}

impl Capacity {
    fn load(self, samples: &[&Sample]) -> f64 {
        let times = samples.iter().map(|s| s.arrival.plan.engine_time());
        times.sum::<Duration>().as_secs_f64() / self.engine_s
    }
}

fn rank_report(
    deployment: &Deployment,
    rank: usize,
    arrived: &[&Sample],
    completed: &[&Sample],
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
    let answered = arrived.iter().filter(|s| s.ending == Ending::Answered);
    let latencies = histogram(answered.map(|s| s.latency));
    let small = arrived.iter().filter(|s| !s.arrival.large);
    let small: Vec<&Sample> = small.copied().collect();
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

fn attainment(samples: &[&Sample]) -> f64 {
    let good = samples.iter().filter(|s| on_time(s)).count();
    ratio(count(good), count(samples.len()))
}

fn callers(arrived: &[&Sample]) -> CallersReport {
    let small: Vec<&Sample> =
        arrived.iter().filter(|s| !s.arrival.large).copied().collect();
    let mut counts: SortedMap<(&str, &str), (u32, u32)> = SortedMap::new();
    for sample in &small {
        let arrival = &sample.arrival;
        let key = (&*arrival.workspace, &*arrival.caller);
        let entry = counts.get_or_insert_with(key, || (0, 0));
        entry.0 += u32::from(on_time(sample));
        entry.1 += 1;
    }
    let shares: Vec<f64> = counts
        .values()
        .filter(|(_, all)| *all >= MIN_CALLER_REQUESTS)
        .map(|(good, all)| f64::from(*good) / f64::from(*all))
        .collect();
    CallersReport {
        attainment: attainment(&small),
        jain: jain(&shares),
        worst: shares.iter().copied().fold(1.0, f64::min),
    }
}

/// Returns Jain's index: 1 if all are equal, 1/n if one has everything.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    ratio(sum * sum, count(shares.len()) * squares)
}

fn refusals(arrived: &[&Sample]) -> Vec<Refusals> {
    let mut counts: SortedMap<String, usize> = SortedMap::new();
    for sample in arrived {
        let kind = match &sample.ending {
            Ending::Answered if on_time(sample) => continue,
            Ending::Answered => "late".to_owned(),
            Ending::WrongAnswer => "wrong answer".to_owned(),
            Ending::Refused { kind, outcome: Outcome::NotRun } => kind.clone(),
            Ending::Refused { kind, .. } => format!("{kind} (started)"),
            Ending::Failed => "failed".to_owned(),
            Ending::TimedOut => "timed out".to_owned(),
        };
        *counts.get_or_insert_with(kind, || 0) += 1;
    }
    let refusals = counts.iter().map(|(kind, requests)| Refusals {
        kind: kind.clone(),
        requests: *requests,
    });
    refusals.collect()
}

fn stages(deployment: &Deployment, observed: &Observed) -> Vec<StageReport> {
    let stages = deployment.objects().iter().filter_map(|o| match o {
        Object::Stage(stage) => Some(stage),
        _ => None,
    });
    let reports = stages.map(|stage| {
        let runs = observed.journal.iter().filter(|e| e.stage == stage.name);
        let executions = runs.count();
        let needs = |sample: &&Sample| {
            let stages = &sample.arrival.plan.stages;
            on_time(sample) && stages.iter().any(|s| s.name == stage.name)
        };
        let answers = observed.samples.iter().filter(needs).count();
        StageReport {
            stage: stage.name.to_string(),
            executions,
            executions_per_answer: ratio(count(executions), count(answers)),
            cross_region_bytes: observed
                .cross_region_bytes
                .get(&stage.name)
                .copied()
                .unwrap_or_default(),
        }
    });
    reports.filter(|report| report.executions > 0).collect()
}

/// Returns the time from the event to the end of the last bin whose
/// attainment is low.
fn recovery_ms(observed: &Observed) -> Option<u64> {
    let loses = matches!(
        observed.scenario,
        Scenario::BackendLoss | Scenario::DaemonLoss | Scenario::SlowStage
    );
    let spans = &observed.workload.windows;
    let event = spans.iter().find(|s| s.window == Window::Event)?;
    if !loses {
        return None;
    }
    let samples = observed.samples.iter();
    let steady: Vec<&Sample> =
        samples.filter(|s| s.arrival.window == Window::Steady).collect();
    let enough = attainment(&steady) * RECOVERED_RATIO;
    let mut recovered = Duration::ZERO;
    let mut start = event.start;
    while start < event.end {
        let end = start + RECOVERY_BIN;
        let bin: Vec<&Sample> = observed
            .samples
            .iter()
            .filter(|s| start <= s.arrival.at && s.arrival.at < end)
            .collect();
        if !bin.is_empty() && attainment(&bin) < enough {
            recovered = end.saturating_sub(event.start);
        }
        start = end;
    }
    u64::try_from(recovered.as_millis()).ok()
}

fn poison_executions(observed: &Observed) -> usize {
    let mut ids: Vec<RequestId> = observed
        .samples
        .iter()
        .filter(|s| s.arrival.input.get().contains(POISON_MARKER))
        .map(|s| s.arrival.id)
        .collect();
    ids.sort_unstable();
    let runs = observed.journal.iter().filter(|entry| {
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

/// Returns 0 where nothing was asked for.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn count(items: usize) -> f64 {
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

    /// Guards against a histogram that cuts off long times, with which no
    /// lag of the load generator made a run invalid.
    #[test]
    fn histogram_holds_long_times() {
        let lag = histogram([Duration::from_secs(2)].into_iter());
        let lag_ms = quantile_ms(&lag, 0.99);
        assert!((1_990.0..2_010.0).contains(&lag_ms), "{lag_ms}");
    }

    /// Guards against an index that does not see an unfair share.
    #[test]
    fn jain_falls_with_unfairness() {
        assert!((jain(&[0.5, 0.5, 0.5]) - 1.0).abs() < 1e-9);
        assert!((jain(&[1.0, 0.0, 0.0, 0.0]) - 0.25).abs() < 1e-9);
    }
}
