use super::*;

fn hash(body: &str) -> ContentHash {
    let pipeline = PipelineName::new("plan").unwrap();
    let workspace = WorkspaceName::new("one").unwrap();
    ContentHash::of(&pipeline, &workspace, body.as_bytes())
}

fn is_refused(suspects: &mut Suspects, now: Instant) -> bool {
    matches!(suspects.start_attempt(now, hash("x")), Verdict::Refuse { .. })
}

/// Returns suspects that refuse the request `x`.
fn refusing(now: Instant) -> Suspects {
    let mut suspects = Suspects::new();
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    suspects.record_crash(now, hash("x"), Sharing::Exclusive);
    assert!(is_refused(&mut suspects, now));
    suspects
}

/// Guards against refusing one workspace's request for another's, and
/// against two requests that only look alike when joined.
#[test]
fn content_hash_separates_parts() {
    let of = |pipeline, workspace, body: &str| {
        let pipeline = PipelineName::new(pipeline).unwrap();
        let workspace = WorkspaceName::new(workspace).unwrap();
        ContentHash::of(&pipeline, &workspace, body.as_bytes())
    };
    let hashes = [
        of("ab", "c", "d"),
        of("a", "bc", "d"),
        of("a", "b", "cd"),
        of("ab", "c", "e"),
    ];
    let distinct: SortedMap<_, _> =
        hashes.into_iter().map(|hash| (hash, ())).collect();
    assert_eq!(distinct.len(), hashes.len());
    assert_eq!(of("ab", "c", "d"), hashes[0]);
}

/// Guards against notices that a peer can't read or that carry junk.
#[test]
fn notice_survives_json() {
    let state = NoticeState::Refused { left_ms: 5 };
    let notice = Notice { hash: hash("x"), state };
    let json = serde_json::to_string(&notice).unwrap();
    let read: Notice = serde_json::from_str(&json).unwrap();
    assert_eq!(read, notice);
    let junk = json.replace(&hash("x").to_string(), "+1");
    assert!(serde_json::from_str::<Notice>(&junk).is_err());
}

/// Guards against a third crash, whatever the first one was.
#[test]
fn crashed_refuses_after_second() {
    for first in [Sharing::Shared, Sharing::Exclusive] {
        let now = Instant::now();
        let mut suspects = Suspects::new();
        assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::Run);
        suspects.record_crash(now, hash("x"), first);
        assert_eq!(
            suspects.start_attempt(now, hash("x")),
            Verdict::RunExclusive
        );
        let notice = suspects.record_crash(now, hash("x"), Sharing::Exclusive);
        assert!(matches!(notice.state, NoticeState::Refused { .. }));
        assert!(is_refused(&mut suspects, now));
        assert_eq!(suspects.start_attempt(now, hash("y")), Verdict::Run);
    }
}

/// Guards against refusing a request because a rack failed under it twice.
#[test]
fn crashed_does_not_refuse_after_two_shared() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::RunExclusive);
}

/// Guards against a server lost to each copy of one suspect.
#[test]
fn start_runs_one_copy_at_a_time() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::RunExclusive);
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::Wait);
    suspects.record_inconclusive(hash("x"));
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::RunExclusive);
    // The end of this copy is lost.
    let later = now + TRIAL_TIMEOUT;
    assert_eq!(
        suspects.start_attempt(later, hash("x")),
        Verdict::RunExclusive
    );
}

/// Guards against an innocent request that stays suspect, and against a
/// strong suspect that is cleared as easily.
#[test]
fn succeeded_clears_by_weight() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    let notice = suspects.record_success(now, hash("x")).unwrap();
    assert_eq!(notice.state, NoticeState::Cleared);
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::Run);

    suspects.record_crash(now, hash("x"), Sharing::Exclusive);
    assert!(suspects.record_success(now, hash("x")).is_none());
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::RunExclusive);
    assert!(suspects.record_success(now, hash("x")).is_some());
    assert!(suspects.is_empty());
}

/// Guards against a late answer of an earlier copy that lifts a refusal.
#[test]
fn succeeded_keeps_refusal() {
    let now = Instant::now();
    let mut suspects = refusing(now);
    for _ in 0..=REFUSED_WEIGHT {
        assert!(suspects.record_success(now, hash("x")).is_none());
        assert!(is_refused(&mut suspects, now));
    }
}

/// Guards against a refusal that never ends, and against a request that
/// shares servers again right after it.
#[test]
fn refusal_ends_in_suspicion() {
    let now = Instant::now();
    let mut suspects = refusing(now);
    let before = now + RETENTION.saturating_sub(Duration::from_millis(1));
    assert!(is_refused(&mut suspects, before));
    let after = now + RETENTION;
    assert_eq!(
        suspects.start_attempt(after, hash("x")),
        Verdict::RunExclusive
    );
    suspects.record_crash(after, hash("x"), Sharing::Exclusive);
    assert!(is_refused(&mut suspects, after));
    let much_later = after + RETENTION + RETENTION;
    assert_eq!(suspects.start_attempt(much_later, hash("x")), Verdict::Run);
}

/// Guards against a crash for each daemon that the resent request reaches,
/// with notices that arrive repeatedly, late and in any order.
#[test]
fn apply_notice_merges() {
    let now = Instant::now();
    let (mut one, mut two) = (Suspects::new(), Suspects::new());
    let suspect = one.record_crash(now, hash("x"), Sharing::Shared);
    two.apply_notice(now, &suspect);
    two.apply_notice(now, &suspect);
    assert_eq!(two.start_attempt(now, hash("x")), Verdict::RunExclusive);
    let refused = two.record_crash(now, hash("x"), Sharing::Exclusive);
    one.apply_notice(now, &refused);
    assert!(is_refused(&mut one, now));
    let cleared = Notice { hash: hash("x"), state: NoticeState::Cleared };
    for late in [suspect, cleared] {
        one.apply_notice(now, &late);
        assert!(is_refused(&mut one, now), "{late:?}");
    }
}

/// Guards against a peer that keeps others suspicious of a cleared request.
#[test]
fn apply_notice_clears() {
    let now = Instant::now();
    let (mut one, mut two) = (Suspects::new(), Suspects::new());
    let suspect = one.record_crash(now, hash("x"), Sharing::Shared);
    two.apply_notice(now, &suspect);
    let cleared = one.record_success(now, hash("x")).unwrap();
    two.apply_notice(now, &cleared);
    assert_eq!(two.start_attempt(now, hash("x")), Verdict::Run);
}

/// Guards against repeated notices that keep a request suspect for ever.
#[test]
fn apply_notice_repeated_expires() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    let suspect = suspects.record_crash(now, hash("x"), Sharing::Shared);
    suspects.apply_notice(now + RETENTION / 2, &suspect);
    let verdict = suspects.start_attempt(now + RETENTION, hash("x"));
    assert_eq!(verdict, Verdict::Run);
}

/// Guards against notices that refuse for longer than the rule, or refuse
/// by a weight out of range.
#[test]
fn apply_notice_bounds_values() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    let state = NoticeState::Refused { left_ms: u64::MAX };
    suspects.apply_notice(now, &Notice { hash: hash("x"), state });
    let verdict = suspects.start_attempt(now, hash("x"));
    assert_eq!(verdict, Verdict::Refuse { retry_after: RETENTION });
    let state = NoticeState::Suspect { weight: u8::MAX };
    suspects.apply_notice(now, &Notice { hash: hash("y"), state });
    assert_eq!(suspects.start_attempt(now, hash("y")), Verdict::RunExclusive);
}

/// Guards against unbounded memory, and against a flood of weak suspects
/// that evicts a refusal.
#[test]
fn suspects_are_bounded() {
    let now = Instant::now();
    let mut suspects = refusing(now);
    for i in 0..MAX_SUSPECTS + 100 {
        let body = i.to_string();
        suspects.record_crash(now, hash(&body), Sharing::Shared);
    }
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert!(is_refused(&mut suspects, now));
    let newest = (MAX_SUSPECTS + 99).to_string();
    let verdict = suspects.start_attempt(now, hash(&newest));
    assert_eq!(verdict, Verdict::RunExclusive);
}

/// Guards against a weak suspect that evicts a stronger one.
#[test]
fn suspects_keep_the_strongest() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    for i in 0..MAX_SUSPECTS {
        suspects.record_crash(now, hash(&i.to_string()), Sharing::Exclusive);
    }
    suspects.record_crash(now, hash("weak"), Sharing::Shared);
    assert_eq!(suspects.start_attempt(now, hash("weak")), Verdict::Run);
    for i in 0..MAX_SUSPECTS {
        let verdict = suspects.start_attempt(now, hash(&i.to_string()));
        assert_eq!(verdict, Verdict::RunExclusive);
    }
}
