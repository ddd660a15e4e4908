use super::*;

/// The time between two crashes of a test.
const CRASH_GAP: Duration = Duration::from_millis(500);

fn incarnation(number: u64) -> ServerIncarnation {
    ServerIncarnation::of("s", number)
}

fn content(body: &[u8]) -> Feature {
    Feature::whole_request("/a/1", Some("w"), body)
}

/// Returns the features of a request with a body of its own and a prompt.
fn prompt(body: u64, parts: &[&str]) -> Vec<Feature> {
    let parts = parts.iter().enumerate();
    parts
        .map(|(position, id)| Feature::prompt_part(id, position))
        .chain([content(&body.to_le_bytes())])
        .collect()
}

fn is_refused(tracker: &CrashTracker, now: Instant, parts: &[&str]) -> bool {
    tracker.refused_for(now, &prompt(u64::MAX, parts)).is_some()
}

/// Guards against a request that crashes one server at each daemon and is
/// refused by none, and against one crash that is counted twice.
#[test]
fn crashes_add_up_over_daemons() {
    let mut now = Instant::now();
    let bad = content(b"bad");
    let mut daemons = [1, 2, 3].map(|number| {
        now += CRASH_GAP;
        let mut tracker = CrashTracker::default();
        tracker.record_crash(now, &[bad], incarnation(number));
        tracker.record_crash(now, &[bad], incarnation(number));
        tracker
    });
    assert!(daemons.iter().all(|d| d.refused_for(now, &[bad]).is_none()));
    for at in [0, 1, 1] {
        let notices = daemons[at].notices(now);
        daemons[at + 1].merge(now, &notices);
    }
    let last = &mut daemons[2];
    assert!(last.refused_for(now, &[bad]).is_some());
    assert!(last.refused_for(now, &[content(b"good")]).is_none());
    let later = now + REFUSAL_DURATION + Duration::from_millis(1);
    assert!(last.refused_for(later, &[bad]).is_none());
    assert!(
        last.record_crash(later, &[bad], incarnation(9)),
        "one more crash is enough"
    );
}

/// Guards against a prompt part that crashes servers and is not recognised
/// because each request with it is different, and against refusing requests
/// that share the caller or the other parts.
#[test]
fn prompt_part_of_different_requests_refused() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 0..3 {
        assert!(!is_refused(&tracker, now, &["first", "bad"]));
        let request = prompt(number, &["first", "bad"]);
        tracker.record_crash(now, &request, incarnation(number));
        now += CRASH_GAP;
    }
    assert!(is_refused(&tracker, now, &["first", "bad"]));
    assert!(is_refused(&tracker, now, &["bad", "other"]), "another position");
    assert!(!is_refused(&tracker, now, &["first", "good"]));
}

/// Guards against a first part that crashes servers and is not recognised
/// because the same part followed it at the first crashes.
#[test]
fn first_part_refused_after_another_crash() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    for (number, second) in ["x", "x", "x", "y"].into_iter().enumerate() {
        let number = u64::try_from(number).unwrap();
        let request = prompt(number, &["bad", second]);
        tracker.record_crash(now, &request, incarnation(number));
        now += CRASH_GAP;
    }
    assert!(is_refused(&tracker, now, &["bad", "z"]));
    assert!(!is_refused(&tracker, now, &["good", "x"]), "explained by bad");
}

/// Guards against a part that is not recognised because one request with it
/// was retried until it alone explained the first crashes.
#[test]
fn retried_request_does_not_hide_part() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    for (number, body) in [7, 7, 7, 8].into_iter().enumerate() {
        let number = u64::try_from(number).unwrap();
        let request = prompt(body, &["first", "bad"]);
        tracker.record_crash(now, &request, incarnation(number));
        now += CRASH_GAP;
    }
    assert!(is_refused(&tracker, now, &["first", "bad"]));
}

/// Guards against refusing popular parts, of which some request is at each
/// server that another request crashes.
#[test]
fn record_survival_clears_part() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 0..8 {
        let victim = prompt(number, &["popular", "session"]);
        tracker.record_crash(now, &victim, incarnation(number));
        now += CRASH_GAP;
        let sound = [Feature::prompt_part("popular", 0)];
        assert!(tracker.record_survival(now, &sound));
        assert!(!is_refused(&tracker, now, &["popular"]));
    }
    assert!(is_refused(&tracker, now, &["popular", "session"]));
}

/// Guards against a clearance that other daemons don't learn, or that a late
/// notice of the crash reverts.
#[test]
fn merge_cleared_wins() {
    let mut now = Instant::now();
    let part = [Feature::prompt_part("p", 0)];
    let mut daemons = [CrashTracker::default(), CrashTracker::default()];
    for number in 0..3 {
        daemons[0].record_crash(now, &part, incarnation(number));
        now += CRASH_GAP;
    }
    let late_notices = daemons[0].notices(now);
    assert!(daemons[1].merge(now, &late_notices) > 0);
    assert!(daemons[1].refused_for(now, &part).is_some());
    daemons[1].record_survival(now, &part);
    let notices = daemons[1].notices(now);
    assert!(daemons[0].merge(now, &notices) > 0);
    for daemon in &mut daemons {
        assert_eq!(daemon.merge(now, &late_notices), 0);
        assert!(daemon.refused_for(now, &part).is_none());
    }
}

/// Guards against refusing the requests of a daemon whose connections to
/// several servers were reset by one network fault.
#[test]
fn simultaneous_resets_not_counted() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 0..6 {
        let at = now + Duration::from_millis(20 * number);
        tracker.record_crash(at, &prompt(number, &["p"]), incarnation(number));
    }
    assert!(!is_refused(&tracker, now + CRASH_GAP, &["p"]));
}

/// Guards against a request that is refused because it ran on servers that
/// another request crashed.
#[test]
fn record_survival_clears_request() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    let request = [content(b"a")];
    for number in 0..2 {
        tracker.record_crash(now, &request, incarnation(number));
        now += CRASH_GAP;
    }
    tracker.record_survival(now, &request);
    for number in 2..4 {
        assert!(!tracker.record_crash(now, &request, incarnation(number)));
        now += CRASH_GAP;
    }
    assert!(tracker.record_crash(now, &request, incarnation(4)));
}

/// Guards against memory use and messages that grow with the number of
/// crashing requests, and against a flood that evicts a refused request.
#[test]
fn tracker_bounded() {
    let mut now = Instant::now();
    let bad = [content(b"bad")];
    let mut tracker = CrashTracker::default();
    for number in 0..20 {
        tracker.record_crash(now, &bad, incarnation(number));
        now += CRASH_GAP;
    }
    for number in 0..3000_u64 {
        let other = [content(&number.to_le_bytes())];
        tracker.record_crash(now, &other, incarnation(number));
    }
    assert!(tracker.suspects.len() <= MAX_SUSPECTS);
    assert!(tracker.refused_for(now, &bad).is_some());
    let notices = tracker.notices(now);
    assert_eq!(notices.len(), MAX_NOTICES);
    assert!(notices.iter().all(|notice| notice.crashes.len() <= 8));
}

/// Guards against features that are never told to others since newer ones
/// with as many crashes fill each message.
#[test]
fn notices_take_turns() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 0..40 {
        tracker.record_crash(now, &prompt(number, &[]), incarnation(number));
    }
    let mut told: Vec<Fingerprint> = (0..3)
        .flat_map(|_| tracker.notices(now))
        .map(|notice| notice.feature.fingerprint)
        .collect();
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 40);
}

/// Guards against suspects that are kept for ever, and against a clearance
/// that is forgotten while other daemons may report the crash.
#[test]
fn suspects_expire() {
    let mut now = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_crash(now, &[content(b"a")], incarnation(1));
    tracker.record_crash(now, &[content(b"b")], incarnation(1));
    tracker.record_survival(now, &[content(b"b")]);
    now += Duration::from_secs(30);
    tracker.record_crash(now, &[content(b"c")], incarnation(2));
    assert_eq!(tracker.suspects.len(), 3);
    now += REFUSAL_DURATION.saturating_sub(Duration::from_secs(30));
    tracker.record_crash(now, &[content(b"d")], incarnation(3));
    assert_eq!(tracker.suspects.len(), 2, "c and d");
}

/// Guards against a refusal that each daemon which learns of it prolongs.
#[test]
fn merge_keeps_end_of_refusal() {
    let crashed_at = Instant::now();
    let bad = [content(b"bad")];
    let mut teller = CrashTracker::default();
    for number in 0..3 {
        let at = crashed_at + CRASH_GAP * number;
        teller.record_crash(at, &bad, incarnation(number.into()));
    }
    let later = crashed_at + Duration::from_secs(100);
    let mut learner = CrashTracker::default();
    let summary = learner.summarize(later);
    let difference = teller.compare(later, &summary);
    assert_eq!(learner.merge_compared(later, &difference.notices), 1);
    for tracker in [&teller, &learner] {
        let wait = tracker.refused_for(later, &bad);
        assert_eq!(wait, Some(Duration::from_secs(21)));
    }
}

/// Guards against daemons that keep different crashes of one feature, and so
/// never agree, because they learned them in another order.
#[test]
fn merge_order_irrelevant() {
    let start = Instant::now();
    let bad = content(b"bad");
    let notice = |number: u32| CrashNotice {
        feature: bad,
        crashes: vec![CrashReport {
            incarnation: incarnation(number.into()),
            age_ms: 60_000 - 1000 * number,
            cleared: number.is_multiple_of(3),
        }],
    };
    let now = start + Duration::from_mins(1);
    let mut trackers = [CrashTracker::default(), CrashTracker::default()];
    for number in 0..20 {
        trackers[0].merge(now, &[notice(number)]);
        trackers[1].merge(now, &[notice(19 - number)]);
    }
    let [first, second] = trackers.map(|t| t.summarize(now));
    assert_eq!(first, second);
}
