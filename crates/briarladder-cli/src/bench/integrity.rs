//! Duplicates, losses and false refusals, from the journal of the stand-ins
//! and the checked answers.

use briarladder_core::{ids::RequestId, sorted::SortedMap};
use briarladder_standins::journal::Entry;
use briarladder_wire::callers::Outcome;
use serde::Serialize;

use super::callers::{Ending, Sample};

/// Whether each request had exactly its own effect and answer.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Integrity {
    /// Requests whose stage that may run once ran more often.
    pub(super) duplicates: usize,
    /// Wrong answers, and answers to requests that did not run.
    pub(super) losses: usize,
    /// Requests that ran although their caller was told "not run".
    pub(super) false_not_run: usize,
    /// Requests that ran and whose caller got no answer.
    pub(super) unconfirmed: usize,
}

/// Compares what callers were told with what ran.
pub(super) fn integrity(samples: &[Sample], journal: &[Entry]) -> Integrity {
    let mut runs: SortedMap<RequestId, u32> = SortedMap::new();
    let mut once: Vec<_> =
        samples.iter().filter_map(|s| s.arrival.plan.once()).collect();
    once.sort_unstable();
    once.dedup();
    for entry in journal {
        if once.contains(&&entry.stage) {
            *runs.get_or_insert_with(entry.request_id, || 0) += 1;
        }
    }
    let mut integrity = Integrity {
        duplicates: runs.values().filter(|runs| **runs > 1).count(),
        ..Integrity::default()
    };
    for sample in samples {
        let may_run_once = sample.arrival.plan.once().is_some();
        let ran = runs.contains_key(&sample.arrival.id);
        match &sample.ending {
            Ending::WrongAnswer => integrity.losses += 1,
            Ending::Answered if may_run_once && !ran => integrity.losses += 1,
            Ending::Answered => {}
            Ending::Refused { outcome: Outcome::NotRun, .. } if ran => {
                integrity.false_not_run += 1;
            }
            _ if ran => integrity.unconfirmed += 1,
            _ => {}
        }
    }
    integrity
}

#[cfg(test)]
mod tests {
    use std::{sync::Arc, time::Duration};

    use briarladder_core::{ids::Incarnation, names::ServerName};
    use briarladder_standins::journal::ExecutionStatus;

    use super::*;
    use crate::bench::{
        deployment::Deployment,
        scenario::Scenario,
        workload::{Arrival, Workload},
    };

    fn booking() -> Arc<Arrival> {
        let deployment = Deployment::new(0.25).unwrap();
        let time = Duration::from_secs(4);
        let workload =
            Workload::new(&deployment, Scenario::Steady, 1, time).unwrap();
        let mut arrivals = workload.arrivals.into_iter();
        arrivals.find(|a| a.plan.once().is_some()).unwrap()
    }

    fn sample(arrival: &Arc<Arrival>, ending: Ending) -> Sample {
        let (latency, lag) = (Duration::ZERO, Duration::ZERO);
        Sample { arrival: Arc::clone(arrival), latency, lag, ending }
    }

    fn charge(arrival: &Arrival) -> Entry {
        Entry {
            request_id: arrival.id,
            stage: arrival.plan.once().unwrap().clone(),
            attempt: 0,
            idempotency_key: None,
            epoch: 1,
            server: ServerName::new("booking-1").unwrap(),
            incarnation: Incarnation(1),
            leaving_for: None,
            started_at: Duration::ZERO,
            sent_tokens: 0,
            status: ExecutionStatus::Completed,
        }
    }

    /// Guards against a report of 0 for faults that happened.
    #[test]
    fn integrity_sees_each_fault() {
        let arrival = booking();
        let run = charge(&arrival);
        let of = |ending, journal: &[Entry]| {
            integrity(&[sample(&arrival, ending)], journal)
        };
        let runs = std::slice::from_ref(&run);
        let clean = of(Ending::Answered, runs);
        assert_eq!((clean.duplicates, clean.losses), (0, 0));
        let twice = [run.clone(), run.clone()];
        assert_eq!(of(Ending::Answered, &twice).duplicates, 1);
        assert_eq!(of(Ending::Answered, &[]).losses, 1);
        assert_eq!(of(Ending::WrongAnswer, runs).losses, 1);
        assert_eq!(of(Ending::TimedOut, runs).unconfirmed, 1);
        let (kind, outcome) = ("overloaded".to_owned(), Outcome::NotRun);
        let refused = Ending::Refused { kind, outcome };
        assert_eq!(of(refused.clone(), runs).false_not_run, 1);
        assert_eq!(of(refused, &[]).false_not_run, 0);
    }
}
