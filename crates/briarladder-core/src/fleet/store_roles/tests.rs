//! Tests of the roles and of the sources of changes.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::*;

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|at| Arc::from(format!("vm-{at}"))).collect()
}

fn sources(name: &str, live: &[Arc<str>]) -> Vec<Arc<str>> {
    match role(name, "z", live) {
        Role::Reader => Vec::new(),
        Role::Follower { sources, .. } => sources,
    }
}

/// Guards against calls to the store that grow with the fleet, against a
/// daemon that serves all others of its zone, and against daemons that are
/// many hops from the store.
#[test]
fn role_one_reader() {
    for count in [6, 13, 50, 208] {
        let live = names(count);
        let mut readers = 0;
        let mut children: SortedMap<Arc<str>, usize> = SortedMap::new();
        for name in &live {
            let sources = sources(name, &live);
            let Some(source) = sources.first() else {
                readers += 1;
                continue;
            };
            let children =
                children.get_or_insert_with(Arc::clone(source), || 0);
            *children += 1;
            assert!(sources.len() <= 3 + STANDBY_COUNT, "{sources:?}");
        }
        assert_eq!(readers, 1, "of {count}");
        assert!(
            children.values().all(|&children| children <= CHILDREN_PER_DAEMON)
        );
    }
}

/// Guards against a daemon that learns of a restore later than its bound
/// for changes, and against more calls than the bound needs.
#[test]
fn reader_poll_timeout_within_bound() {
    let timeout =
        |bound_ms| reader_poll_timeout(Duration::from_millis(bound_ms), 1);
    assert_eq!(timeout(2500), Duration::from_millis(1875));
    assert_eq!(timeout(4000), LONE_READER_POLL_TIMEOUT);
    assert_eq!(timeout(17_000), LONE_READER_POLL_TIMEOUT);
}

/// Guards against a reader that changes when another daemon of its zone
/// ends.
#[test]
fn role_is_stable() {
    let live = names(13);
    let reader = |live: &[Arc<str>]| {
        live.iter().position(|name| sources(name, live).is_empty())
    };
    let before = live[reader(&live).unwrap()].clone();
    let ended = live.iter().find(|name| **name != before).unwrap();
    let after: Vec<Arc<str>> =
        live.iter().filter(|name| *name != ended).cloned().collect();
    assert_eq!(before, after[reader(&after).unwrap()]);
}

/// Guards against all daemons of a zone reading the store at once when
/// their reader is lost, and against none of them reading it.
#[test]
fn role_standbys_take_over_in_turn() {
    let live = names(33);
    let mut delays: Vec<Duration> = live
        .iter()
        .filter_map(|name| match role(name, "z", &live) {
            Role::Reader => None,
            Role::Follower { takeover_delay, .. } => Some(takeover_delay),
        })
        .collect();
    delays.sort_unstable();
    assert_eq!(delays[0], Duration::ZERO);
    assert_eq!(delays[1], TAKEOVER_STEP);
    assert!(delays.iter().all(|delay| *delay <= MAX_TAKEOVER_DELAY));
}

/// Guards against a follower that keeps polling a source that is silent or
/// has lost the store, and against one that takes too long to detect the
/// loss of two sources.
#[test]
fn is_fresh_ends() {
    let now = Instant::now();
    let sources = names(3);
    let mut tracker = SourceTracker::default();
    assert!(!tracker.is_fresh(now));
    assert_eq!(tracker.stale_for(now), None);
    let max_change_delay = Duration::from_millis(2500);
    let poll_timeout = follower_poll_timeout(max_change_delay);
    tracker.record_response(now, &sources[0], poll_timeout);
    let silent = now + poll_timeout + RESPONSE_GRACE;
    assert!(tracker.is_fresh(silent));
    let later = silent + Duration::from_millis(10);
    assert_eq!(tracker.stale_for(later), Some(Duration::from_millis(10)));
    tracker.record_failure(now, &sources[0], SOURCE_BACKOFF);
    assert_eq!(tracker.choose_source(now, &sources), Some(&sources[1]));
    tracker.record_failure(now, &sources[1], SOURCE_BACKOFF);
    assert_eq!(tracker.choose_source(now, &sources), Some(&sources[2]));
    let lost = 2 * (poll_timeout + RESPONSE_GRACE)
        + reader_poll_interval(max_change_delay);
    assert!(lost < max_change_delay, "{lost:?}");
    assert!(reader_poll_timeout(max_change_delay, 33) < max_change_delay / 4);
    let later = now + SOURCE_BACKOFF;
    assert_eq!(tracker.choose_source(later, &sources), Some(&sources[0]));
}

/// How far apart the daemons that were polling the store notice that it is
/// back, as their pauses differ.
const NOTICE_SPREAD: Duration = Duration::from_millis(500);

/// How long a daemon takes to list 10,000 servers in pages of 500.
const LIST_TIME: Duration = Duration::from_millis(800);

/// How long a daemon that has all items takes to feed one that polls it.
const FEED_TIME: Duration = Duration::from_millis(150);

/// Returns how many daemons of a zone list all items after a restore, and the
/// time until all have them. All were reading the store while it was away.
fn play_restore(rng: &mut StdRng, count: usize) -> (usize, Duration) {
    let live = names(count);
    let noticed_at: Vec<Duration> = live
        .iter()
        .map(|_| NOTICE_SPREAD.mul_f64(rng.random_range(0.0..1.0)))
        .collect();
    let index = |name: &Arc<str>| live.iter().position(|n| n == name).unwrap();
    // Daemons in the order in which they replace a reader.
    let order = rendezvous::order("store@z", &live);
    let mut has_items_at: Vec<Duration> = vec![Duration::MAX; count];
    let mut listings = 0;
    for name in order {
        let at = index(name);
        let (sources, delay) = match role(name, "z", &live) {
            Role::Reader => (Vec::new(), Duration::ZERO),
            Role::Follower { sources, takeover_delay } => {
                (sources, takeover_delay)
            }
        };
        let sources = sources.iter();
        let source_has = sources.map(|source| has_items_at[index(source)]);
        let source_has = source_has.min().unwrap_or(Duration::MAX);
        let fed_at = source_has.max(noticed_at[at]).saturating_add(FEED_TIME);
        let lists_at = noticed_at[at] + delay;
        listings += usize::from(lists_at < fed_at);
        has_items_at[at] = fed_at.min(lists_at + LIST_TIME);
    }
    (listings, has_items_at.into_iter().max().unwrap())
}

/// Guards against all daemons listing the store after a restore, since each
/// one had to read it while it was away, and against daemons that wait long
/// for one that lists it: at the target size, 12 zones of 208 daemons.
#[test]
fn role_few_listings_after_restore() {
    let mut rng = StdRng::seed_from_u64(1);
    let plays: Vec<(usize, Duration)> =
        (0..12).map(|_| play_restore(&mut rng, 208)).collect();
    let listings: usize = plays.iter().map(|play| play.0).sum();
    let slowest = plays.iter().map(|play| play.1).max().unwrap();
    println!("{listings} listings by 2,496 daemons, done after {slowest:?}");
    assert!(listings <= 12 * 12, "{listings} listings");
    assert!(slowest < Duration::from_millis(2500), "{slowest:?}");
}
