use super::*;

const FAILURES: [AttemptFailure; 7] = [
    AttemptFailure::ConnectFailed,
    AttemptFailure::RefusedNotRun,
    AttemptFailure::ConnectionLost,
    AttemptFailure::TimedOut,
    AttemptFailure::ErrorStatus,
    AttemptFailure::ResponseMismatch,
    AttemptFailure::Leaving,
];

/// The only failures after which a non-idempotent call may be retried.
const PROVES_NOT_RUN: [AttemptFailure; 2] =
    [AttemptFailure::ConnectFailed, AttemptFailure::RefusedNotRun];

fn attempt(
    failure: AttemptFailure,
    idempotency: Idempotency,
) -> FailedAttempt {
    FailedAttempt {
        failure,
        earlier_attempts: EarlierAttempts::NotRun,
        idempotency,
        tokens_received: 0,
        time_left: Duration::from_secs(1),
        estimate: Duration::from_millis(10),
    }
}

/// Decides with a budget that allows a retry.
fn decide_with_budget(attempt: &FailedAttempt) -> AttemptDecision {
    let now = Instant::now();
    decide(now, attempt, &mut Budget::new(now))
}

/// Decides with a budget that is used up.
fn decide_without_budget(attempt: &FailedAttempt) -> AttemptDecision {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    assert!(budget.try_spend(now));
    decide(now, attempt, &mut budget)
}

/// Guards against running a non-idempotent call twice, for example a charge.
#[test]
fn decide_never_repeats_unproven() {
    for failure in FAILURES {
        let expected = if PROVES_NOT_RUN.contains(&failure) {
            AttemptDecision::RetryElsewhere
        } else {
            AttemptDecision::FailUnknown
        };
        let decision =
            decide_with_budget(&attempt(failure, Idempotency::NonIdempotent));
        assert_eq!(decision, expected, "{failure:?}");
    }
}

/// Guards against giving up an idempotent stage that could be retried.
#[test]
fn decide_repeats_idempotent() {
    for failure in FAILURES {
        let mut attempt = attempt(failure, Idempotency::Idempotent);
        let decision = decide_with_budget(&attempt);
        assert_eq!(decision, AttemptDecision::RetryElsewhere, "{failure:?}");
        attempt.tokens_received = 3;
        assert_eq!(
            decide_with_budget(&attempt),
            AttemptDecision::Resume,
            "{failure:?}"
        );
    }
}

/// Guards against the outcome `not_run` without proof, for each reason to
/// give up.
#[test]
fn decide_claims_not_run_only_if_proven() {
    for failure in FAILURES {
        for idempotency in
            [Idempotency::Idempotent, Idempotency::NonIdempotent]
        {
            let expected = if PROVES_NOT_RUN.contains(&failure) {
                AttemptDecision::FailNotRun
            } else {
                AttemptDecision::FailUnknown
            };
            let mut attempt = attempt(failure, idempotency);
            assert_eq!(
                decide_without_budget(&attempt),
                expected,
                "{failure:?}"
            );
            attempt.estimate = attempt.time_left;
            assert_eq!(decide_with_budget(&attempt), expected, "{failure:?}");
            attempt.earlier_attempts = EarlierAttempts::MayHaveRun;
            let unknown = AttemptDecision::FailUnknown;
            assert_eq!(decide_with_budget(&attempt), unknown, "{failure:?}");
            attempt.earlier_attempts = EarlierAttempts::NotRun;
            attempt.tokens_received = 1;
            assert_eq!(decide_with_budget(&attempt), unknown, "{failure:?}");
        }
    }
}

/// Guards against retrying a non-idempotent call after the second attempt did
/// not run although the first one may have.
#[test]
fn decide_remembers_earlier_attempts() {
    let attempt = FailedAttempt {
        earlier_attempts: EarlierAttempts::MayHaveRun,
        ..attempt(AttemptFailure::ConnectFailed, Idempotency::NonIdempotent)
    };
    assert_eq!(decide_with_budget(&attempt), AttemptDecision::FailUnknown);
}

/// Guards against charging the budget for failures that are not retried.
#[test]
fn decide_charges_only_retries() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let refused =
        attempt(AttemptFailure::ConnectionLost, Idempotency::NonIdempotent);
    for _ in 0..10 {
        assert_eq!(
            decide(now, &refused, &mut budget),
            AttemptDecision::FailUnknown
        );
    }
    assert!(budget.try_spend(now));
    assert!(!budget.try_spend(now));
}

/// Guards against retries that multiply the load during an outage.
#[test]
fn budget_allows_a_tenth() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.try_spend(now));
    }
    // One more is allowed by the minimum rate.
    assert_eq!(retries, 101);
}

/// Guards against an unbounded burst of retries after a long time without
/// any.
#[test]
fn budget_saves_a_bounded_burst() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    for _ in 0..100_000 {
        budget.record_request();
    }
    let burst = (0..100).filter(|_| budget.try_spend(now)).count();
    assert_eq!(burst, 21);
}

/// Guards against a daemon with few requests that can never retry.
#[test]
fn budget_has_a_floor() {
    let start = Instant::now();
    let mut budget = Budget::new(start);
    let retries = (0..100_u64)
        .map(|tenth| start + Duration::from_millis(tenth * 100))
        .filter(|now| budget.try_spend(*now));
    assert_eq!(retries.count(), 10);
}
