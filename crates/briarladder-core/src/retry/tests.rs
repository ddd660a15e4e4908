use super::*;

const FAILURES: [AttemptFailure; 7] = [
    AttemptFailure::ConnectFailed,
    AttemptFailure::RefusedNotRun,
    AttemptFailure::Broken,
    AttemptFailure::TimedOut,
    AttemptFailure::ErrorStatus,
    AttemptFailure::MismatchedEcho,
    AttemptFailure::Leaving,
];

/// The only failures after which a non-repeatable call may go elsewhere.
const PROVEN: [AttemptFailure; 2] =
    [AttemptFailure::ConnectFailed, AttemptFailure::RefusedNotRun];

fn attempt(failure: AttemptFailure, repeat: Repeat) -> Attempt {
    Attempt {
        failure,
        earlier: Earlier::NotRun,
        repeat,
        tokens_received: 0,
        time_left: Duration::from_secs(1),
        estimate: Duration::from_millis(10),
    }
}

/// Decides with a budget that can pay.
fn decide_paid(attempt: &Attempt) -> Decision {
    let now = Instant::now();
    decide(now, attempt, &mut Budget::new(now))
}

/// Decides with a budget that is spent.
fn decide_unpaid(attempt: &Attempt) -> Decision {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    assert!(budget.try_spend(now));
    decide(now, attempt, &mut budget)
}

/// Guards against a second charge or order.
#[test]
fn decide_never_repeats_unproven() {
    for failure in FAILURES {
        let expected = if PROVEN.contains(&failure) {
            Decision::RetryElsewhere
        } else {
            Decision::FailUnknown
        };
        let decision = decide_paid(&attempt(failure, Repeat::Never));
        assert_eq!(decision, expected, "{failure:?}");
    }
}

/// Guards against giving up on work that may run again.
#[test]
fn decide_repeats_idempotent() {
    for failure in FAILURES {
        let mut attempt = attempt(failure, Repeat::Allowed);
        let decision = decide_paid(&attempt);
        assert_eq!(decision, Decision::RetryElsewhere, "{failure:?}");
        attempt.tokens_received = 3;
        assert_eq!(decide_paid(&attempt), Decision::Resume, "{failure:?}");
    }
}

/// Guards against an outcome `not_run` without proof, for each reason to
/// give up.
#[test]
fn decide_claims_not_run_only_if_proven() {
    for failure in FAILURES {
        for repeat in [Repeat::Allowed, Repeat::Never] {
            let expected = if PROVEN.contains(&failure) {
                Decision::FailNotRun
            } else {
                Decision::FailUnknown
            };
            let mut attempt = attempt(failure, repeat);
            assert_eq!(decide_unpaid(&attempt), expected, "{failure:?}");
            attempt.estimate = attempt.time_left;
            assert_eq!(decide_paid(&attempt), expected, "{failure:?}");
            attempt.earlier = Earlier::MayHaveRun;
            let unknown = Decision::FailUnknown;
            assert_eq!(decide_paid(&attempt), unknown, "{failure:?}");
            attempt.earlier = Earlier::NotRun;
            attempt.tokens_received = 1;
            assert_eq!(decide_paid(&attempt), unknown, "{failure:?}");
        }
    }
}

/// Guards against a repetition of a call whose first attempt may have run.
#[test]
fn decide_remembers_earlier_attempts() {
    let attempt = Attempt {
        earlier: Earlier::MayHaveRun,
        ..attempt(AttemptFailure::ConnectFailed, Repeat::Never)
    };
    assert_eq!(decide_paid(&attempt), Decision::FailUnknown);
}

/// Guards against failures that spend the budget without a retry.
#[test]
fn decide_charges_only_retries() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let refused = attempt(AttemptFailure::Broken, Repeat::Never);
    for _ in 0..10 {
        assert_eq!(decide(now, &refused, &mut budget), Decision::FailUnknown);
    }
    assert!(budget.try_spend(now));
    assert!(!budget.try_spend(now));
}

/// Guards against retries that multiply the load of an outage.
#[test]
fn budget_allows_a_tenth() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.request_started();
        retries += u32::from(budget.try_spend(now));
    }
    // One more comes from the floor.
    assert_eq!(retries, 101);
}

/// Guards against a burst of retries saved up over a quiet day.
#[test]
fn budget_saves_a_bounded_burst() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    for _ in 0..100_000 {
        budget.request_started();
    }
    let burst = (0..100).filter(|_| budget.try_spend(now)).count();
    assert_eq!(burst, 21);
}

/// Guards against a quiet daemon that may never retry.
#[test]
fn budget_has_a_floor() {
    let start = Instant::now();
    let mut budget = Budget::new(start);
    let retries = (0..100_u64)
        .map(|tenth| start + Duration::from_millis(tenth * 100))
        .filter(|now| budget.try_spend(*now));
    assert_eq!(retries.count(), 10);
}
