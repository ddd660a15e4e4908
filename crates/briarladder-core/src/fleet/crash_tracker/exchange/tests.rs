use crate::fleet::crash_tracker::{Feature, ServerIncarnation};

use super::*;

/// A time at which a crash is no longer news.
const OLD: Duration = Duration::from_secs(8);

/// The bytes a second that a daemon may spend on all control messages.
const CONTROL_BYTES_PER_S: usize = 12_000;

fn incarnation(number: u64) -> ServerIncarnation {
    ServerIncarnation::of("s", number)
}

fn request(number: u64) -> Feature {
    Feature::whole_request("/a", None, &number.to_le_bytes())
}

/// Records crashes of a feature, half a second apart, and returns the time
/// after the last one.
fn crash(
    tracker: &mut CrashTracker,
    mut now: Instant,
    feature: Feature,
    crashes: u64,
) -> Instant {
    for number in 0..crashes {
        tracker.record_crash(now, &[feature], incarnation(number));
        now += Duration::from_millis(500);
    }
    now
}

/// Plays a comparison that `from` begins, and returns its messages' bytes.
fn compare(
    now: Instant,
    from: &mut CrashTracker,
    to: &mut CrashTracker,
) -> Vec<usize> {
    let summary = from.summarize(now);
    let difference = to.compare(now, &summary);
    let merged = from.merge_difference(now, &difference);
    to.merge_compared(now, &merged.replies);
    let bytes = |encoded: postcard::Result<Vec<u8>>| encoded.unwrap().len();
    vec![
        bytes(postcard::to_stdvec(&summary)),
        bytes(postcard::to_stdvec(&difference)),
        bytes(postcard::to_stdvec(&merged.replies)),
    ]
}

/// Guards against a daemon that starts when the news of a crash is over, and
/// sends a request that all others refuse.
#[test]
fn compare_with_started_daemon() {
    let now = Instant::now();
    let mut knows = CrashTracker::default();
    let now = crash(&mut knows, now, request(1), 3) + OLD;
    assert!(knows.notices(now).is_empty());
    for starts_comparison in [true, false] {
        let mut started = CrashTracker::default();
        assert_ne!(started.digest(now).sum, knows.digest(now).sum);
        if starts_comparison {
            compare(now, &mut started, &mut knows);
        } else {
            compare(now, &mut knows, &mut started);
        }
        assert!(started.refused_for(now, &[request(1)]).is_some());
        assert_eq!(started.digest(now).sum, knows.digest(now).sum);
    }
}

/// Guards against a daemon that missed a clearance and refuses a sound
/// request, or whose report of the crashes reverts the clearance at others.
#[test]
fn compare_cleared_wins() {
    let now = Instant::now();
    for starts_comparison in [true, false] {
        let mut was_cut_off = CrashTracker::default();
        let crashed = crash(&mut was_cut_off, now, request(1), 3);
        let mut knows = was_cut_off.clone();
        assert!(knows.record_survival(crashed, &[request(1)]));
        let later = crashed + Duration::from_mins(1);
        knows.record_crash(later, &[request(2)], incarnation(9));
        if starts_comparison {
            compare(later, &mut was_cut_off, &mut knows);
        } else {
            compare(later, &mut knows, &mut was_cut_off);
        }
        for tracker in [&was_cut_off, &knows] {
            assert!(tracker.refused_for(later, &[request(1)]).is_none());
        }
        let end = later + OLD;
        assert_eq!(was_cut_off.digest(end).sum, knows.digest(end).sum);
    }
}

/// Guards against a learner that refuses what the other daemon doesn't, since
/// it learns a feature without the one that explains its crashes.
#[test]
fn compare_keeps_reasons() {
    let mut now = Instant::now();
    let (popular, bad) =
        (Feature::prompt_part("popular", 0), Feature::prompt_part("bad", 1));
    let mut knows = CrashTracker::default();
    for number in 0..3 {
        knows.record_crash(now, &[popular, bad], incarnation(number));
        now += Duration::from_millis(500);
    }
    // Requests that were at one crash each, many more than fit.
    for number in 0..1500 {
        knows.record_crash(now, &[request(number)], incarnation(7));
    }
    now += OLD;
    let mut learner = CrashTracker::default();
    compare(now, &mut learner, &mut knows);
    assert!(learner.refused_for(now, &[bad]).is_some());
    assert!(learner.refused_for(now, &[popular]).is_none());
}

/// Guards against crashes that daemons bring back to each other for ever.
#[test]
fn compare_ends_with_refusal() {
    let start = Instant::now();
    let mut trackers = [CrashTracker::default(), CrashTracker::default()];
    let mut now = crash(&mut trackers[0], start, request(1), 3);
    let end = now + REFUSAL_DURATION;
    while now < end + Duration::from_mins(5) {
        let digests = [0, 1].map(|at| trackers[at].digest(now));
        for at in [0, 1] {
            if !trackers[at].begin_comparison(now, digests[1 - at]) {
                continue;
            }
            let [first, second] = &mut trackers;
            let (from, to) =
                if at == 0 { (first, second) } else { (second, first) };
            // Each message takes some time.
            compare(now + Duration::from_millis(20), from, to);
        }
        now += Duration::from_millis(500);
    }
    assert!(trackers.iter().all(|t| t.refused_count(now) == 0));
}

/// Guards against messages that grow with the number of crashes, and against
/// daemons that know more than fits and compare without end.
#[test]
fn compare_bounded() {
    let start = Instant::now();
    let mut trackers = [CrashTracker::default(), CrashTracker::default()];
    for (at, tracker) in (0_u64..).zip(&mut trackers) {
        for number in 0..4000 {
            let feature = request(2 * number + at);
            tracker.record_crash(start, &[feature], incarnation(number));
        }
    }
    let mut now = start + OLD;
    let mut most = 0;
    let mut comparisons = 0;
    for _ in 0..20 {
        now += Duration::from_millis(500);
        let [first, second] = &mut trackers;
        if first.begin_comparison(now, second.digest(now)) {
            comparisons += 1;
            let bytes = compare(now, first, second);
            most = most.max(bytes.iter().sum::<usize>());
        }
    }
    println!("{comparisons} comparisons, up to {most} bytes");
    assert!(comparisons <= 10, "at most one a second: {comparisons}");
    assert!(most <= 5 * CONTROL_BYTES_PER_S, "{most} bytes");
    let [first, second] = &trackers;
    assert_eq!(first.digest(now).sum, second.digest(now).sum);
}

/// Guards against a daemon that says it is ready before it has asked one that
/// knows, and against one that asks each daemon without a pause.
#[test]
fn begin_comparison_when_needed() {
    let now = Instant::now();
    let mut started = CrashTracker::default();
    let mut synced = CrashTracker::default();
    assert!(synced.set_synced());
    assert!(!synced.set_synced());
    assert!(
        !started.begin_comparison(now, CrashTracker::default().digest(now))
    );
    assert!(started.begin_comparison(now, synced.digest(now)), "not synced");
    started.set_synced();
    assert!(!started.begin_comparison(now, synced.digest(now)), "equal");
    let later = crash(&mut synced, now, request(1), 1) + OLD;
    let digest = synced.digest(later);
    assert!(started.begin_comparison(later, digest), "different");
    assert!(!started.begin_comparison(later, digest), "too soon");
    let again = later + MIN_COMPARISON_INTERVAL;
    assert!(started.begin_comparison(again, digest));
}
