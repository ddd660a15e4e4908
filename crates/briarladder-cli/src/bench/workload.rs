//! The arrivals of a run, generated in advance from a seed, so that every
//! system receives the same requests at the same times.

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    ids::RequestId,
    objects::{Object, Workspace},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::value::RawValue;

use super::{
    deployment::{Deployment, ResolvedPipeline},
    scenario::{Scenario, Window},
};

/// Length of the warm-up window, in which daemons measure service times and
/// fill their load view.
const WARM_UP: Duration = Duration::from_secs(1);

/// Callers of each workspace.
const CALLERS_PER_WORKSPACE: usize = 4;

/// Arrival rate of a flood, as a multiple of capacity.
const FLOOD_FACTOR: f64 = 10.0;

/// Arrival rate of the large caller, as a multiple of its steady rate.
const LARGE_CALLER_FACTOR: f64 = 20.0;

/// Workspace and index of the large caller in [`Scenario::LargeCallers`].
const LARGE_CALLER: (&str, usize) = ("tour-operators", 0);

/// Interval between copies of the poison request.
const POISON_INTERVAL: Duration = Duration::from_millis(150);

/// Text in the body of a poison request, by which the stand-ins recognize it.
pub(super) const POISON_MARKER: &str = "poison-sheet";

/// Filler in each body, which brings it to the size of a short question.
const FILLER_BYTES: usize = 160;

/// The ranks, most urgent first.
pub(super) const RANKS: [&str; 3] = ["urgent", "standard", "bulk"];

/// One type of request in the steady mix.
struct MixEntry {
    pipeline: &'static str,
    rank: usize,
    /// Share of all engines' slot time that these requests take at steady
    /// load.
    load: f64,
}

/// The steady mix, which takes 70% of the engines' time. The urgent and
/// standard ranks stay below their guaranteed shares; bulk exceeds its own.
const MIX: [MixEntry; 4] = [
    MixEntry { pipeline: "fold-plan", rank: 0, load: 0.28 },
    MixEntry { pipeline: "book-tour-map", rank: 0, load: 0.04 },
    MixEntry { pipeline: "fold-plan-stable", rank: 1, load: 0.20 },
    MixEntry { pipeline: "caption-archive", rank: 2, load: 0.18 },
];

/// Pipeline of status lookups, which use no engine.
const STATUS_PIPELINE: &str = "order-status";

/// Arrival rate of status lookups, relative to that of the standard
/// generation.
const STATUS_RATE_FACTOR: f64 = 0.5;

/// Sum of the loads in [`MIX`].
const STEADY_LOAD: f64 = 0.7;

/// A request to send during the run.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Time from the start of the run at which the request is due.
    pub(super) offset: Duration,
    pub(super) window: Window,
    pub(super) pipeline: Arc<ResolvedPipeline>,
    /// Index in [`RANKS`].
    pub(super) rank: usize,
    pub(super) workspace: Arc<str>,
    pub(super) caller: Arc<str>,
    pub(super) from_large_caller: bool,
    pub(super) is_poison: bool,
    /// Selects the daemon that receives the request, modulo their number.
    pub(super) entry_index: usize,
    pub(super) id: RequestId,
    pub(super) input: Arc<RawValue>,
}

/// The arrivals of a run, ordered by their offset, and its windows.
#[derive(Debug)]
pub(super) struct Workload {
    pub(super) arrivals: Vec<Arc<Arrival>>,
    pub(super) windows: Vec<WindowSpan>,
}

/// Start and end of a window, from the start of the run.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSpan {
    pub(super) window: Window,
    pub(super) start: Duration,
    pub(super) end: Duration,
}

impl Workload {
    pub(super) fn new(
        deployment: &Deployment,
        scenario: Scenario,
        seed: u64,
        window_time: Duration,
    ) -> anyhow::Result<Workload> {
        let mut builder = WorkloadBuilder {
            deployment,
            rng: StdRng::seed_from_u64(seed),
            arrivals: Vec::new(),
        };
        let mut windows = Vec::new();
        let mut start = Duration::ZERO;
        for &window in scenario.windows() {
            let time = match window {
                Window::WarmUp => WARM_UP,
                _ => window_time,
            };
            let span = WindowSpan { window, start, end: start + time };
            builder.add_window(scenario, span)?;
            windows.push(span);
            start = span.end;
        }
        let mut arrivals = builder.arrivals;
        arrivals.sort_by_key(|arrival| arrival.offset);
        let arrivals = arrivals.into_iter().map(Arc::new).collect();
        Ok(Workload { arrivals, windows })
    }

    /// Returns the time from the start of the run to the event window.
    pub(super) fn event_offset(&self) -> Duration {
        let event = self.windows.iter().find(|s| s.window == Window::Event);
        event.map_or(Duration::MAX, |span| span.start)
    }
}

/// A caller that may send one type of request. `weight` determines its share
/// of the arrivals.
struct Sender {
    workspace: Arc<str>,
    caller: usize,
    weight: u32,
}

struct WorkloadBuilder<'a> {
    deployment: &'a Deployment,
    rng: StdRng,
    arrivals: Vec<Arrival>,
}

impl WorkloadBuilder<'_> {
    fn add_window(
        &mut self,
        scenario: Scenario,
        span: WindowSpan,
    ) -> anyhow::Result<()> {
        let load_factor = match span.window {
            Window::Capacity => 1.0 / STEADY_LOAD,
            _ => 1.0,
        };
        let event = span.window == Window::Event;
        for mix_entry in &MIX {
            let flooded = event
                && match scenario {
                    Scenario::FloodLeastUrgent => mix_entry.rank == 2,
                    Scenario::FloodUrgent => {
                        mix_entry.pipeline == MIX[0].pipeline
                    }
                    _ => false,
                };
            let load = if flooded {
                FLOOD_FACTOR
            } else {
                mix_entry.load * load_factor
            };
            let rate = self.requests_per_s(mix_entry.pipeline, load)?;
            let senders = self.senders(mix_entry.pipeline);
            self.add_poisson_arrivals(span, mix_entry, rate, &senders)?;
            if event && scenario == Scenario::LargeCallers {
                self.add_large_caller(span, mix_entry, rate, senders)?;
            }
        }
        let status =
            MixEntry { pipeline: STATUS_PIPELINE, rank: 1, load: 0.0 };
        let rate = self.requests_per_s(
            MIX[2].pipeline,
            MIX[2].load * STATUS_RATE_FACTOR,
        )?;
        let senders = self.senders(STATUS_PIPELINE);
        self.add_poisson_arrivals(
            span,
            &status,
            rate * load_factor,
            &senders,
        )?;
        if event && scenario == Scenario::Poison {
            self.add_poison_requests(span)?;
        }
        Ok(())
    }

    /// Returns the arrival rate at which requests of a pipeline take a share
    /// of the engines' time.
    fn requests_per_s(
        &self,
        pipeline: &str,
        load: f64,
    ) -> anyhow::Result<f64> {
        let time = self.deployment.pipeline(pipeline)?.engine_time();
        let slots = f64::from(self.deployment.engine_slots_requests());
        Ok(load * slots / time.as_secs_f64())
    }

    fn senders(&self, pipeline: &str) -> Vec<Sender> {
        let allowed = |workspace: &&Workspace| {
            workspace.pipelines.iter().any(|p| p.as_str() == pipeline)
        };
        let objects = self.deployment.objects().iter();
        let workspaces = objects.filter_map(|object| match object {
            Object::Workspace(workspace) => Some(workspace),
            _ => None,
        });
        let senders = workspaces.filter(allowed).flat_map(|workspace| {
            (0..CALLERS_PER_WORKSPACE).map(|caller| Sender {
                workspace: Arc::from(workspace.name.as_str()),
                caller,
                weight: workspace.weight,
            })
        });
        senders.collect()
    }

    /// Adds Poisson arrivals at `rate` requests per second: the gaps are
    /// exponentially distributed.
    fn add_poisson_arrivals(
        &mut self,
        span: WindowSpan,
        mix_entry: &MixEntry,
        rate: f64,
        senders: &[Sender],
    ) -> anyhow::Result<()> {
        let total_weight: u32 = senders.iter().map(|s| s.weight).sum();
        let mut offset = span.start;
        loop {
            // `uniform` is below 1, so the logarithm is finite.
            let uniform: f64 = self.rng.random();
            offset += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if offset >= span.end {
                return Ok(());
            }
            let mut draw = self.rng.random_range(0..total_weight);
            let sender = senders.iter().find(|sender| {
                let found = draw < sender.weight;
                draw = draw.saturating_sub(sender.weight);
                found
            });
            // OK because the draw is below the sum of the weights.
            let sender = sender.unwrap();
            self.push_arrival(span, mix_entry, offset, sender)?;
        }
    }

    /// Adds the arrivals of the large caller beyond its steady rate.
    fn add_large_caller(
        &mut self,
        span: WindowSpan,
        mix_entry: &MixEntry,
        rate: f64,
        senders: Vec<Sender>,
    ) -> anyhow::Result<()> {
        let total_weight: u32 = senders.iter().map(|s| s.weight).sum();
        let large: Vec<Sender> = senders
            .into_iter()
            .filter(|s| {
                *s.workspace == *LARGE_CALLER.0 && s.caller == LARGE_CALLER.1
            })
            .collect();
        let weight: u32 = large.iter().map(|s| s.weight).sum();
        if weight == 0 {
            return Ok(());
        }
        let own = rate * f64::from(weight) / f64::from(total_weight);
        self.add_poisson_arrivals(
            span,
            mix_entry,
            own * (LARGE_CALLER_FACTOR - 1.0),
            &large,
        )
    }

    fn add_poison_requests(&mut self, span: WindowSpan) -> anyhow::Result<()> {
        let sender = Sender {
            workspace: Arc::from("park-office"),
            caller: 0,
            weight: 1,
        };
        let mut offset = span.start;
        while offset < span.end {
            self.push_arrival(span, &MIX[0], offset, &sender)?;
            if let Some(arrival) = self.arrivals.last_mut() {
                arrival.is_poison = true;
                let body = format!("{{\"sheet\":\"{POISON_MARKER}\"}}");
                arrival.input = Arc::from(RawValue::from_string(body)?);
            }
            offset += POISON_INTERVAL;
        }
        Ok(())
    }

    fn push_arrival(
        &mut self,
        span: WindowSpan,
        mix_entry: &MixEntry,
        offset: Duration,
        sender: &Sender,
    ) -> anyhow::Result<()> {
        let id = RequestId(self.rng.random());
        let filler = "x".repeat(FILLER_BYTES);
        let body = format!("{{\"sheet\":\"{id}\",\"text\":\"{filler}\"}}");
        self.arrivals.push(Arrival {
            offset,
            window: span.window,
            pipeline: Arc::clone(
                self.deployment.pipeline(mix_entry.pipeline)?,
            ),
            rank: mix_entry.rank,
            workspace: Arc::clone(&sender.workspace),
            caller: format!("caller-{}", sender.caller).into(),
            from_large_caller: *sender.workspace == *LARGE_CALLER.0
                && sender.caller == LARGE_CALLER.1,
            is_poison: false,
            entry_index: self.rng.random_range(0..usize::MAX),
            id,
            input: Arc::from(RawValue::from_string(body)?),
        });
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn workload(scenario: Scenario, seed: u64) -> Workload {
        let deployment = Deployment::new(0.25).unwrap();
        let time = Duration::from_secs(4);
        Workload::new(&deployment, scenario, seed, time).unwrap()
    }

    /// Guards against runs that can't be reproduced from their seed.
    #[test]
    fn new_depends_on_seed_only() {
        let ids = |seed| -> Vec<RequestId> {
            let workload = workload(Scenario::Steady, seed);
            workload.arrivals.iter().map(|a| a.id).collect()
        };
        assert_eq!(ids(1), ids(1));
        assert_ne!(ids(1), ids(2));
    }

    /// Guards against a flood that is not at ten times capacity.
    #[test]
    fn new_floods_at_ten_times_capacity() {
        let deployment = Deployment::new(0.25).unwrap();
        let pipeline = deployment.pipeline("caption-archive").unwrap();
        let workload = workload(Scenario::FloodLeastUrgent, 1);
        let flood = workload
            .arrivals
            .iter()
            .filter(|a| a.window == Window::Event && a.rank == 2)
            .count();
        let work = pipeline.engine_time() * u32::try_from(flood).unwrap();
        let capacity =
            Duration::from_secs(4) * deployment.engine_slots_requests();
        let factor = work.as_secs_f64() / capacity.as_secs_f64();
        assert!((9.5..10.5).contains(&factor), "{factor}");
    }
}
