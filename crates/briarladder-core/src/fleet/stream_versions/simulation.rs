//! Simulations of fleets in which streams break off and are taken up.
//!
//! | part | what the model covers |
//! | --- | --- |
//! | store | changes that daemons see up to 2 s late, each at its own lag |
//! | servers | start, drain, leave with or without notice and serve on, crash, come back under their name, also with another version; two services with versions named alike |
//! | daemons | kills of one, some or all between any two steps, starts again, cuts from store and other daemons with and without missed changes |
//! | messages | records of streams and summaries of versions, which are late or lost |
//! | streams | break off, go on within the answer, are taken up over several tries at any daemon |
//!
//! It doesn't cover ids of attempts that are used twice, configurations that
//! lead a route to another service, servers of an unknown version, more
//! records than a daemon holds, and the loss of changes by a restored store.
//! A check of [`Protocol`] takes no time, and a machine is cut off from the
//! store and from other daemons at once.

mod daemon;
mod fleet;
mod store;
mod streams;

use std::ops::Range;

use fleet::Fleet;

/// Histories that are played unless `BRIARLADDER_STREAM_SEEDS` says otherwise.
const DEFAULT_SEEDS: u64 = 1000;

/// What daemons check beyond the decisions of this module.
#[derive(Clone, Copy, Debug)]
struct Protocol {
    /// Before a daemon infers the version of a stream from the only one, it
    /// applies all changes that the store has acknowledged.
    confirms_view: bool,
    /// A daemon takes the coverage of another one only if that one has seen
    /// the revision of its own listing.
    compares_revisions: bool,
    /// A request reaches only the process whose entry the daemon knows, not a
    /// later one of its name.
    checks_process: bool,
}

const ALL_CHECKS: Protocol = Protocol {
    confirms_view: true,
    compares_revisions: true,
    checks_process: true,
};

/// What has happened in some histories at daemons that run for a while.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    begin_tries: usize,
    begun: usize,
    /// Streams that are taken up while two servers of their version serve.
    take_ups: usize,
    /// Those that have gone on, at one try or another.
    taken_up: usize,
    /// Take-ups of one version while another daemon was covered.
    informed: usize,
    /// Those at a daemon that wasn't.
    uncovered: usize,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        self.begin_tries += other.begin_tries;
        self.begun += other.begun;
        self.take_ups += other.take_ups;
        self.taken_up += other.taken_up;
        self.informed += other.informed;
        self.uncovered += other.uncovered;
    }

    /// Returns whether take-ups go on at least half as often as streams begin.
    fn is_sound(self) -> bool {
        2 * self.taken_up * self.begin_tries >= self.begun * self.take_ups
    }
}

/// Plays histories. Returns what has happened, and the histories that break
/// an invariant.
fn play(
    seeds: Range<u64>,
    protocol: Protocol,
    versions: usize,
) -> (Counts, Vec<String>) {
    let mut sum = Counts::default();
    let mut faults = Vec::new();
    for seed in seeds {
        match Fleet::new(seed, protocol, versions).run() {
            Ok(counts) => sum.add(counts),
            Err(fault) => faults.push(format!("seed {seed} {fault}")),
        }
    }
    (sum, faults)
}

fn all_seeds() -> Range<u64> {
    let seeds = std::env::var("BRIARLADDER_STREAM_SEEDS");
    0..seeds.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().unwrap())
}

/// Guards against a stream that holds events of two versions, after any order
/// of kills, cuts, delays and losses, and against streams that are mostly
/// refused when they are taken up while versions are mixed.
#[test]
fn streams_keep_version() {
    let (counts, faults) = play(all_seeds(), ALL_CHECKS, 3);
    assert!(faults.is_empty(), "{faults:?}");
    assert!(counts.is_sound(), "{counts:?}");
}

/// Guards against a refused take-up while there is only one version, and
/// against daemons that don't learn from the others that there is only one.
#[test]
fn take_ups_go_on_sole_version() {
    let (counts, faults) = play(all_seeds(), ALL_CHECKS, 1);
    assert!(faults.is_empty(), "{faults:?}");
    assert!(counts.uncovered * 50 <= counts.informed, "{counts:?}");
}

/// Guards against a model that no longer meets the faults which the checks of
/// [`Protocol`] prevent.
#[test]
fn each_check_needed() {
    let without = [
        (0..10, Protocol { checks_process: false, ..ALL_CHECKS }),
        (190..200, Protocol { confirms_view: false, ..ALL_CHECKS }),
        (770..775, Protocol { compares_revisions: false, ..ALL_CHECKS }),
    ];
    for (seeds, protocol) in without {
        let (_, faults) = play(seeds, protocol, 3);
        assert!(!faults.is_empty(), "{protocol:?}");
    }
}
