//! Duplicates, losses and false refusals, found by comparing the results of
//! callers with the journal of the stand-ins.

use briarladder_core::{ids::RequestId, sorted::SortedMap};
use briarladder_standins::journal::Entry;
use briarladder_wire::callers::Outcome;
use serde::Serialize;

use super::callers::{RequestRecord, RequestResult};

/// Counts of requests whose result does not match what the stand-ins ran.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Integrity {
    /// Requests whose non-idempotent stage ran more than once.
    pub(super) duplicates: usize,
    /// Wrong responses, and correct responses to requests whose
    /// non-idempotent stage did not run.
    pub(super) losses: usize,
    /// Requests refused as "not run" although their non-idempotent stage ran.
    pub(super) false_not_run: usize,
    /// Requests whose non-idempotent stage ran, but whose caller got neither
    /// an output nor "not run".
    pub(super) unconfirmed: usize,
}

/// Compares the results of callers with the stages that ran.
pub(super) fn check_integrity(
    records: &[RequestRecord],
    journal: &[Entry],
) -> Integrity {
    let mut runs: SortedMap<RequestId, u32> = SortedMap::new();
    let mut non_idempotent_stages: Vec<_> = records
        .iter()
        .filter_map(|r| r.arrival.pipeline.non_idempotent_stage())
        .collect();
    non_idempotent_stages.sort_unstable();
    non_idempotent_stages.dedup();
    for entry in journal {
        if non_idempotent_stages.contains(&&entry.stage) {
            *runs.get_or_insert_with(entry.request_id, || 0) += 1;
        }
    }
    let mut integrity = Integrity {
        duplicates: runs.values().filter(|runs| **runs > 1).count(),
        ..Integrity::default()
    };
    for record in records {
        let needs_one_run =
            record.arrival.pipeline.non_idempotent_stage().is_some();
        let ran = runs.contains_key(&record.arrival.id);
        match &record.result {
            RequestResult::WrongResponse => integrity.losses += 1,
            RequestResult::Correct if needs_one_run && !ran => {
                integrity.losses += 1;
            }
            RequestResult::Correct => {}
            RequestResult::Refused { outcome: Outcome::NotRun, .. } if ran => {
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

    fn booking_arrival() -> Arc<Arrival> {
        let deployment = Deployment::new(0.25).unwrap();
        let time = Duration::from_secs(4);
        let workload =
            Workload::new(&deployment, Scenario::Steady, 1, time).unwrap();
        let mut arrivals = workload.arrivals.into_iter();
        arrivals.find(|a| a.pipeline.non_idempotent_stage().is_some()).unwrap()
    }

    fn record(arrival: &Arc<Arrival>, result: RequestResult) -> RequestRecord {
        let (latency, lag) = (Duration::ZERO, Duration::ZERO);
        RequestRecord { arrival: Arc::clone(arrival), latency, lag, result }
    }

    fn journal_entry(arrival: &Arrival) -> Entry {
        Entry {
            request_id: arrival.id,
            stage: arrival.pipeline.non_idempotent_stage().unwrap().clone(),
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

    /// Guards against integrity faults that occur but are reported as 0.
    #[test]
    fn check_integrity_counts_each_fault() {
        let arrival = booking_arrival();
        let entry = journal_entry(&arrival);
        let of = |result, journal: &[Entry]| {
            check_integrity(&[record(&arrival, result)], journal)
        };
        let runs = std::slice::from_ref(&entry);
        let clean = of(RequestResult::Correct, runs);
        assert_eq!((clean.duplicates, clean.losses), (0, 0));
        let twice = [entry.clone(), entry.clone()];
        assert_eq!(of(RequestResult::Correct, &twice).duplicates, 1);
        assert_eq!(of(RequestResult::Correct, &[]).losses, 1);
        assert_eq!(of(RequestResult::WrongResponse, runs).losses, 1);
        assert_eq!(of(RequestResult::TimedOut, runs).unconfirmed, 1);
        let (kind, outcome) = ("overloaded".to_owned(), Outcome::NotRun);
        let refused = RequestResult::Refused { kind, outcome };
        assert_eq!(of(refused.clone(), runs).false_not_run, 1);
        assert_eq!(of(refused, &[]).false_not_run, 0);
    }
}
