use std::time::Duration;

use super::simulation::{Demand, Design, Outcome, Scenario, run, to_f64};

const LIMITS_PER_S: [f64; 6] = [0.0, 0.3, 1.0, 2.5, 8.0, 40.0];

/// Daemons, zones, and seeds. The example `server_limits` runs more of both.
const SIZES: [(usize, usize, u64); 2] = [(9, 3, 8), (300, 6, 2)];

/// The same for daemons that ask each other for places.
const ASKING_SIZES: [(usize, usize, u64); 3] =
    [(9, 3, 4), (30, 3, 2), (300, 6, 1)];

fn run_checked(scenario: Scenario) -> Outcome {
    let outcome = run(scenario);
    assert!(outcome.is_kept(), "{scenario:?}: {outcome:?}");
    outcome
}

fn check_sizes(demand: Demand, design: Design) {
    let sizes = match design {
        Design::TurnsWithAsking => &ASKING_SIZES[..],
        _ => &SIZES[..],
    };
    for &(daemons, zones, seeds) in sizes {
        for limit_per_s in LIMITS_PER_S {
            for seed in 0..seeds {
                let scenario = Scenario {
                    daemons,
                    zones,
                    limit_per_s,
                    demand,
                    design,
                    faults: true,
                    ends_at: None,
                    duration: Duration::from_mins(1),
                    seed,
                };
                let outcome = run_checked(scenario);
                let saturated = demand == Demand::Saturating;
                let share = outcome.rate_per_s / limit_per_s.max(0.2);
                assert!(
                    !saturated || share >= 0.5,
                    "{scenario:?}: {outcome:?}"
                );
            }
        }
    }
}

/// Guards against daemons that exceed the limit of a server together while
/// each has more requests than it may send, and against a limit of which they
/// use too little.
#[test]
fn take_place_saturating_demand() {
    check_sizes(Demand::Saturating, Design::Turns);
}

/// Guards against unused tokens of many daemons that are used at once.
#[test]
fn take_place_sparse_demand() {
    check_sizes(Demand::Sparse, Design::Turns);
}

/// Guards against a limit that daemons exceed with places that were given to
/// them, while all of them have requests.
#[test]
fn take_place_asking_saturating_demand() {
    check_sizes(Demand::Saturating, Design::TurnsWithAsking);
}

/// Guards against places that are used when the turn of their owner is over,
/// together with those of the next turn.
#[test]
fn take_place_asking_sparse_demand() {
    check_sizes(Demand::Sparse, Design::TurnsWithAsking);
}

/// Guards against coordinators that follow each other and exceed the limit
/// while two of them call the same server.
#[test]
fn take_place_two_coordinators() {
    check_sizes(Demand::Saturating, Design::Coordinator);
}

/// Guards against a bound that holds in small fleets only.
#[test]
fn take_place_large_fleet() {
    run_checked(Scenario {
        daemons: 2500,
        zones: 12,
        limit_per_s: 1.0,
        demand: Demand::Saturating,
        design: Design::Turns,
        faults: true,
        ends_at: None,
        duration: Duration::from_secs(40),
        seed: 0,
    });
}

/// Guards against a limit that daemons keep after it has ended, because they
/// bring it back to each other.
#[test]
fn observe_end_reaches_all() {
    for (daemons, zones, seeds) in SIZES {
        for seed in 0..seeds {
            let scenario = Scenario {
                daemons,
                zones,
                limit_per_s: 1.0,
                demand: Demand::Saturating,
                design: Design::Turns,
                faults: true,
                ends_at: Some(Duration::from_secs(40)),
                duration: Duration::from_secs(50),
                seed,
            };
            let outcome = run(scenario);
            assert_eq!(outcome.limited_daemons, 0, "{scenario:?}");
        }
    }
}

fn sparse(daemons: usize, design: Design) -> Outcome {
    run(Scenario {
        daemons,
        zones: 3,
        limit_per_s: 1.0,
        demand: Demand::Sparse,
        design,
        faults: true,
        ends_at: None,
        duration: Duration::from_mins(1),
        seed: 0,
    })
}

/// Guards against daemons that ask for places and yet serve no more of a
/// sparse demand.
#[test]
fn run_asking_sparse_share() {
    for daemons in [9, 300] {
        let turns = sparse(daemons, Design::Turns).rate_per_s;
        let asking = sparse(daemons, Design::TurnsWithAsking).rate_per_s;
        assert!(asking > turns, "{asking} and {turns} a second");
    }
}

/// Guards against daemons that ask full holders ever again. Each daemon may
/// ask once at any time, and then all of them 100 times a second.
#[test]
fn run_asking_refused() {
    for daemons in [9, 30, 300] {
        let scenario = Scenario {
            daemons,
            zones: 3,
            limit_per_s: 1.0,
            demand: Demand::Saturating,
            design: Design::TurnsWithAsking,
            faults: false,
            ends_at: None,
            duration: Duration::from_mins(1),
            seed: 0,
        };
        let outcome = run_checked(scenario);
        let asks = outcome.asks;
        let named_s = 52.0;
        let first_asks_per_s = to_f64(daemons) / named_s;
        assert!(asks.refused_per_s <= first_asks_per_s + 100.0, "{asks:?}");
        // After a place that was given, a daemon may ask once more at once.
        let granted = outcome.allowed_requests;
        let refused_per_daemon = 1 + 1000 / (10 * daemons).max(100);
        let refused = to_f64(daemons * refused_per_daemon) + granted;
        assert!(to_f64(asks.most_refused) <= refused, "{asks:?}");
        assert!(to_f64(asks.most) <= refused + granted, "{asks:?}");
        let per_daemon = to_f64(refused_per_daemon) + 2.0 * granted;
        assert!(to_f64(asks.most_per_daemon) <= per_daemon, "{asks:?}");
    }
}

/// Guards against a simulation that doesn't find an excess: many daemons, each
/// with an equal part, have as many first requests.
#[test]
fn run_finds_excess() {
    let outcome = sparse(300, Design::EqualParts);
    assert!(!outcome.is_kept(), "{outcome:?}");
}

/// Guards against turns that serve no more of a sparse demand than a single
/// daemon would.
#[test]
fn run_sparse_share() {
    let turns = sparse(9, Design::Turns).rate_per_s;
    let one_home = sparse(9, Design::OneHome).rate_per_s;
    assert!(turns > one_home, "{turns} and {one_home} a second");
}
