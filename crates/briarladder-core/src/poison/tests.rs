use super::*;

fn hash(body: &str) -> ContentHash {
    let pipeline = PipelineName::new("plan").unwrap();
    let workspace = WorkspaceName::new("one").unwrap();
    ContentHash::of(&pipeline, &workspace, body.as_bytes())
}

fn is_refused(suspects: &mut Suspects, now: Instant) -> bool {
    matches!(suspects.start_attempt(now, hash("x")), Verdict::Refuse { .. })
}

/// Returns suspects among which request `x` is refused.
fn suspects_refusing_x(now: Instant) -> Suspects {
    let mut suspects = Suspects::new();
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    suspects.record_crash(now, hash("x"), Sharing::Exclusive);
    assert!(is_refused(&mut suspects, now));
    suspects
}

/// Guards against two requests with the same hash because their parts are
/// the same when joined; one workspace could get requests of another refused.
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

/// Guards against notices that a peer can't read, and against accepting a
/// malformed hash.
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

/// Guards against a third crash by the same request, whether or not others
/// ran on the server at the first one.
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

/// Guards against refusing a request because rack failures hit it twice.
#[test]
fn crashed_does_not_refuse_after_two_shared() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::RunExclusive);
}

/// Guards against copies of one suspect that each crash another server.
#[test]
fn start_runs_one_copy_at_a_time() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_crash(now, hash("x"), Sharing::Shared);
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::RunExclusive);
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::Wait);
    suspects.record_inconclusive(hash("x"));
    assert_eq!(suspects.start_attempt(now, hash("x")), Verdict::RunExclusive);
    // The end of this copy is never recorded.
    let later = now + EXCLUSIVE_RUN_TIMEOUT;
    assert_eq!(
        suspects.start_attempt(later, hash("x")),
        Verdict::RunExclusive
    );
}

/// Guards against a harmless request that remains a suspect, and against
/// clearing a request that crashed a server alone by one response.
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

/// Guards against a refusal that is lifted by a late response to an earlier
/// copy.
#[test]
fn succeeded_keeps_refusal() {
    let now = Instant::now();
    let mut suspects = suspects_refusing_x(now);
    for _ in 0..=REFUSAL_WEIGHT {
        assert!(suspects.record_success(now, hash("x")).is_none());
        assert!(is_refused(&mut suspects, now));
    }
}

/// Guards against a refusal that never ends, and against a request that runs
/// beside others right after its refusal has ended.
#[test]
fn refusal_ends_in_suspicion() {
    let now = Instant::now();
    let mut suspects = suspects_refusing_x(now);
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

/// Guards against a crash at each daemon that receives the resent request.
/// Notices may arrive repeatedly, late and in any order.
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

/// Guards against a request that is cleared at one daemon and remains a
/// suspect at others.
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

/// Guards against repeated notices that keep a request a suspect for ever.
#[test]
fn apply_notice_repeated_expires() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    let suspect = suspects.record_crash(now, hash("x"), Sharing::Shared);
    suspects.apply_notice(now + RETENTION / 2, &suspect);
    let verdict = suspects.start_attempt(now + RETENTION, hash("x"));
    assert_eq!(verdict, Verdict::Run);
}

/// Guards against notices with a refusal longer than [`RETENTION`] or a
/// weight out of range.
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

/// Guards against unbounded memory, and against a flood of weak suspects that
/// evicts a refused request.
#[test]
fn suspects_are_bounded() {
    let now = Instant::now();
    let mut suspects = suspects_refusing_x(now);
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

/// Guards against a suspect of low weight that evicts one of higher weight.
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
