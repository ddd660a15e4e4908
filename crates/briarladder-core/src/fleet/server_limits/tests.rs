use std::iter;

use super::*;

const UNIX_TIME: Duration = Duration::from_secs(1_700_000_000);
const START_WAIT: Duration = Duration::from_secs(10);
const MS: Duration = Duration::from_millis(1);

fn server(name: &str, born_ms: u64) -> ListedServer {
    let address = "127.0.0.1:1".parse().unwrap();
    let mut server = ListedServer::new(name, "s", address);
    server.born_ms = born_ms;
    server
}

fn members(local: &str, count: usize) -> LimitMembers {
    let names: Vec<Arc<str>> =
        (0..count).map(|at| Arc::from(format!("vm-{at}"))).collect();
    LimitMembers::new(Arc::from(local), names, 1)
}

fn per_s(sent_at: Instant, limit_per_s: f64) -> Observation {
    let named = NamedLimit::PerS(limit_per_s);
    Observation { sent_at, named, is_own: true }
}

fn absent(sent_at: Instant) -> Observation {
    Observation { sent_at, named: NamedLimit::Absent, is_own: true }
}

fn before(now: Instant, time: Duration) -> Instant {
    now.checked_sub(time).unwrap()
}

/// A daemon that started long ago.
fn daemon() -> (ServerLimits, Instant) {
    let start = Instant::now();
    (ServerLimits::new(start), start + START_WAIT)
}

/// A daemon that knows the limit of the server "a".
fn limited_daemon(limit_per_s: f64) -> (ServerLimits, Instant) {
    let (mut limits, now) = daemon();
    limits.observe(now, &server("a", 1), per_s(now, limit_per_s));
    (limits, now)
}

/// The time some milliseconds after a turn has begun at `now`.
fn time(now: Instant, after_ms: u32) -> LimitTime {
    LimitTime { now, unix_time: UNIX_TIME }.after(MS * after_ms)
}

/// Takes as many places as there are in each millisecond of a time.
fn take_all(
    limits: &mut ServerLimits,
    now: Instant,
    times_ms: std::ops::Range<u32>,
    sharing: Sharing,
    members: &LimitMembers,
) -> usize {
    let server = server("a", 1);
    times_ms
        .map(|ms| {
            let at = time(now, ms);
            iter::repeat_with(|| {
                limits.take_place(at, &server, sharing, members)
            })
            .take_while(|&taken| taken)
            .count()
        })
        .sum()
}

/// The turn, counted from `UNIX_TIME`, that is the first of a daemon after a
/// turn of others, or the first of two that are.
fn turn_of(
    local: &str,
    count: usize,
    limit_per_s: f64,
    next_is_held: bool,
) -> u32 {
    let members = members(local, count);
    let holds = |turn: u32| {
        let (mut limits, now) = limited_daemon(limit_per_s);
        let at = time(now, turn * 4000);
        limits.take_place(at, &server("a", 1), Sharing::Turns, &members)
    };
    (1..200)
        .find(|&turn| {
            !holds(turn - 1)
                && holds(turn)
                && holds(turn + 1) == next_is_held
                && (next_is_held || !holds(turn + 2))
        })
        .unwrap()
}

/// Guards against a limit that isn't kept, and against changes that the log
/// doesn't show.
#[test]
fn observe_named_and_changed() {
    let (mut limits, now) = daemon();
    let a = server("a", 1);
    let change = limits.observe(now, &a, per_s(now, 2.5)).unwrap();
    assert_eq!(change.kind, LimitChangeKind::Named { limit_per_s: 2.5 });
    assert_eq!(change.source, LimitSource::Response);
    assert_eq!(limits.observe(now + MS, &a, per_s(now, 2.5)), None);
    let change = limits.observe(now + MS, &a, per_s(now, 0.0)).unwrap();
    let kind = LimitChangeKind::Changed { from_per_s: 2.5, to_per_s: 0.0 };
    assert_eq!(change.kind, kind);
    let known = limits.limited(now + MS).next().unwrap();
    assert_eq!((known.since, known.confirmed_at), (now + MS, now + MS));
}

/// Guards against a limit that outlives the need of the server, and against an
/// earlier response that ends it.
#[test]
fn observe_absent_by_sending_time() {
    let (mut limits, now) = limited_daemon(1.0);
    let a = server("a", 1);
    let later = now + MS * 50;
    assert_eq!(limits.observe(later, &a, absent(before(now, MS))), None);
    assert_eq!(limits.limit_per_s(later, &a), Some(1.0));
    let change = limits.observe(later, &a, absent(now)).unwrap();
    assert_eq!(change.kind, LimitChangeKind::Ended { limit_per_s: 1.0 });
    assert_eq!(limits.limit_per_s(later, &a), None);
    assert_eq!(limits.limited(later).count(), 0);
}

/// Guards against a copy of an earlier response that ends or raises a limit.
#[test]
fn observe_copy() {
    let (mut limits, now) = limited_daemon(1.0);
    let a = server("a", 1);
    let later = now + MS;
    let copy = |named| Observation { sent_at: later, named, is_own: false };
    assert_eq!(limits.observe(later, &a, copy(NamedLimit::Absent)), None);
    let higher = copy(NamedLimit::PerS(9.0));
    assert_eq!(limits.observe(later, &a, higher), None);
    assert_eq!(limits.limit_per_s(later, &a), Some(1.0));
    limits.observe(later, &a, copy(NamedLimit::PerS(0.5)));
    assert_eq!(limits.limit_per_s(later, &a), Some(0.5));
}

/// Guards against a header that can't be read and ends or sets a limit.
#[test]
fn observe_unreadable() {
    let (mut limits, now) = limited_daemon(1.0);
    let a = server("a", 1);
    let later = now + MS;
    let unreadable = NamedLimit::Unreadable;
    let numbers = [-1.0, f64::NAN, f64::INFINITY].map(NamedLimit::PerS);
    for named in numbers.into_iter().chain([unreadable]) {
        let answer = Observation { sent_at: later, named, is_own: true };
        assert_eq!(limits.observe(later, &a, answer), None);
        assert_eq!(limits.limit_per_s(later, &a), Some(1.0));
    }
}

/// Guards against a new process that inherits the limit of the one before it.
#[test]
fn observe_one_incarnation() {
    let (mut limits, now) = limited_daemon(0.0);
    assert_eq!(limits.limit_per_s(now, &server("a", 2)), None);
    assert_eq!(limits.limit_per_s(now, &server("b", 1)), None);
    // A late response of the new process says nothing about the old one.
    limits.observe(now, &server("a", 2), absent(now));
    assert_eq!(limits.limit_per_s(now, &server("a", 1)), Some(0.0));
}

/// Guards against limits of servers that are gone which are kept forever.
#[test]
fn observe_forgotten() {
    let (mut limits, now) = limited_daemon(1.0);
    let a = server("a", 1);
    let last = before(now + Duration::from_mins(10), MS);
    assert_eq!(limits.limit_per_s(last, &a), Some(1.0));
    assert_eq!(limits.limit_per_s(last + MS, &a), None);
    assert!(limits.notices(last + MS).is_empty());
}

/// Guards against unbounded memory.
#[test]
fn observe_many_servers() {
    let (mut limits, now) = daemon();
    for born_ms in 0..2100 {
        let at = now + MS * u32::try_from(born_ms).unwrap();
        limits.observe(at, &server("a", born_ms), per_s(now, 1.0));
    }
    let end = now + MS * 2100;
    assert_eq!(limits.limited(end).count(), 2048);
    assert_eq!(limits.limit_per_s(end, &server("a", 0)), None);
    assert_eq!(limits.limit_per_s(end, &server("a", 2099)), Some(1.0));
}

/// Guards against daemons that learn of a limit or of its end only from
/// responses to themselves.
#[test]
fn merge_limit_and_end() {
    let (mut from, now) = limited_daemon(1.0);
    let mut to = ServerLimits::new(before(now, START_WAIT));
    let a = server("a", 1);
    let changes = to.merge(now, &from.notices(now));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].kind, LimitChangeKind::Named { limit_per_s: 1.0 });
    assert_eq!(changes[0].source, LimitSource::Peer);
    assert!(to.merge(now, &from.notices(now)).is_empty());
    let end = now + Duration::from_secs(2);
    from.observe(end, &a, absent(end));
    let changes = to.merge(end, &from.notices(end));
    assert_eq!(changes[0].kind, LimitChangeKind::Ended { limit_per_s: 1.0 });
    assert_eq!(to.limit_per_s(end, &a), None);
}

/// Guards against the end of a limit that wins over a later response which
/// names it, because the message took some time.
#[test]
fn merge_end_with_transit_time() {
    let (mut from, now) = limited_daemon(1.0);
    let a = server("a", 1);
    from.observe(now, &a, absent(now));
    let notices = from.notices(now);
    let arrived = now + MS * 400;
    for received_ms in [0, 1, 399] {
        let mut to = ServerLimits::new(now);
        to.observe(now + MS * received_ms, &a, per_s(now, 1.0));
        to.merge(arrived, &notices);
        assert_eq!(to.limit_per_s(arrived, &a), Some(1.0));
    }
    let mut to = ServerLimits::new(now);
    let earlier = before(now, MS);
    to.observe(earlier, &a, per_s(earlier, 1.0));
    to.merge(arrived, &notices);
    assert_eq!(to.limit_per_s(arrived, &a), None);
}

/// Guards against older notices that bring back a limit that has ended.
#[test]
fn merge_older_limit_after_end() {
    let (mut from, now) = limited_daemon(1.0);
    let a = server("a", 1);
    let old = from.notices(now);
    let mut to = from.clone();
    let end = now + Duration::from_secs(1);
    to.observe(end, &a, absent(end));
    let arrived = end + MS * 400;
    let mut late = from.notices(arrived);
    assert_eq!(late[0].age_ms, 1400);
    late[0].age_ms -= 300;
    assert!(to.merge(arrived, &late).is_empty());
    assert!(to.merge(now + MS * 400, &old).is_empty());
    assert_eq!(to.limit_per_s(arrived, &a), None);
    // The end is still told after some seconds.
    let later = end + Duration::from_secs(20);
    assert_eq!(to.notices(later)[0].limit_per_s, None);
    // A later response that names the limit brings it back.
    from.observe(later, &a, per_s(end, 1.0));
    assert_eq!(to.merge(later, &from.notices(later)).len(), 1);
}

/// Guards against evidence that becomes newer while daemons tell it each
/// other, so that it is never forgotten.
#[test]
fn merge_back_and_forth() {
    let (mut one, start) = limited_daemon(1.0);
    let mut other = ServerLimits::new(start);
    let transit = MS * 400;
    let mut now = start;
    for _ in 0..700 {
        let notices = one.notices(now);
        now += transit;
        other.merge(now, &notices);
        let notices = other.notices(now);
        now += transit;
        one.merge(now, &notices);
        now += MS * 200;
    }
    assert_eq!(one.limit_per_s(now, &server("a", 1)), None);
    assert_eq!(other.limit_per_s(now, &server("a", 1)), None);
}

/// Guards against messages that grow with the number of limited servers, and
/// against limits that are never sent.
#[test]
fn notices_many_in_turn() {
    let (mut limits, now) = daemon();
    for born_ms in 0..60 {
        limits.observe(now, &server("a", born_ms), per_s(now, 1.0));
    }
    assert_eq!(limits.notices(now).len(), MAX_LIMIT_NOTICES);
    let later = now + Duration::from_secs(6);
    limits.observe(later, &server("b", 7), per_s(later, 1.0));
    let mut told = Vec::new();
    for _ in 0..4 {
        let notices = limits.notices(later);
        assert_eq!(notices.len(), MAX_LIMIT_NOTICES);
        assert_eq!(&*notices[0].server, "b");
        told.extend(notices[1..].iter().map(|notice| notice.born_ms));
    }
    told.sort_unstable();
    assert_eq!(told, (0..60).collect::<Vec<_>>());
}

/// Guards against waits for servers that have no limit.
#[test]
fn next_place_at_without_limit() {
    let (mut limits, now) = daemon();
    let (a, members) = (server("a", 1), members("vm-0", 9));
    let at = time(now, 0);
    let next = limits.next_place_at(at, &a, Sharing::Turns, &members);
    assert_eq!(next, None);
    assert!(limits.take_place(at, &a, Sharing::Turns, &members));
}

/// Guards against a turn that too many or too few daemons hold.
#[test]
fn take_place_holders_of_a_turn() {
    let cases = [(0.0, 1), (0.3, 1), (0.5, 2), (1.0, 3), (2.9, 4), (40.0, 9)];
    for (limit_per_s, holders) in cases {
        for turn in 0..20 {
            let takers = (0..9).filter(|at| {
                let (mut limits, now) = limited_daemon(limit_per_s);
                let members = members(&format!("vm-{at}"), 9);
                let a = server("a", 1);
                let at = time(now, turn * 4000);
                limits.take_place(at, &a, Sharing::Turns, &members)
            });
            assert_eq!(takers.count(), holders, "limit {limit_per_s}");
        }
    }
}

/// Guards against a holder that exceeds its part.
#[test]
fn take_place_part_of_a_turn() {
    let turn = turn_of("vm-0", 9, 2.5, false) * 4000;
    let (mut limits, now) = limited_daemon(2.5);
    let members = members("vm-0", 9);
    let turns = Sharing::Turns;
    // One token, and 0.7 * 2.5 / 4 a second.
    let times = turn..turn + 4000;
    assert_eq!(take_all(&mut limits, now, times, turns, &members), 2);
    let times = turn + 4000..turn + 8000;
    assert_eq!(take_all(&mut limits, now, times, turns, &members), 0);
}

/// Guards against a holder of two turns that begins the second one with a new
/// token.
#[test]
fn take_place_consecutive_turns() {
    let turn = turn_of("vm-0", 9, 2.5, true) * 4000;
    let (mut limits, now) = limited_daemon(2.5);
    let members = members("vm-0", 9);
    let times = turn..turn + 8000;
    let taken = take_all(&mut limits, now, times, Sharing::Turns, &members);
    assert_eq!(taken, 4);
}

/// Guards against a clock that jumps through many turns and gives a daemon a
/// new token in each.
#[test]
fn take_place_clock_jumps() {
    let turn = turn_of("vm-0", 9, 1.0, false) * 4000;
    let (mut limits, now) = limited_daemon(1.0);
    let (a, members) = (server("a", 1), members("vm-0", 9));
    let start = time(now, turn);
    let taken = (0..200)
        .filter(|&step| {
            let unix_time = start.unix_time + TURN * (step * 7 % 200);
            let at = LimitTime { now: start.now + MS * step, unix_time };
            limits.take_place(at, &a, Sharing::Turns, &members)
        })
        .count();
    assert_eq!(taken, 1);
}

/// Guards against a daemon that takes turns of others while its clock is wrong
/// for some seconds, and against one that never follows a corrected clock.
#[test]
fn take_place_clock_set_back() {
    let turn = turn_of("vm-0", 9, 1.0, false) * 4000;
    let (mut limits, now) = limited_daemon(1.0);
    let (a, members) = (server("a", 1), members("vm-0", 9));
    let start = time(now, turn);
    let is_held = |limits: &mut ServerLimits, after_s: u64, back: Duration| {
        let at = start.after(Duration::from_secs(after_s));
        let at =
            LimitTime { unix_time: at.unix_time.saturating_sub(back), ..at };
        limits.take_place(at, &a, Sharing::Turns, &members)
    };
    assert!(is_held(&mut limits, 0, Duration::ZERO));
    // Set back, the clock shows a turn of the daemon all the time.
    for after_s in [8, 16, 24, 36] {
        let back = Duration::from_secs(after_s);
        let taken = is_held(&mut limits, after_s, back);
        let expected = holds_turn_after(&members, start, after_s);
        assert_eq!(taken, expected, "after {after_s} s");
    }
    assert!(is_held(&mut limits, 40, Duration::from_secs(40)));
}

/// Returns whether a daemon holds the turn some seconds after another time.
fn holds_turn_after(
    members: &LimitMembers,
    from: LimitTime,
    after_s: u64,
) -> bool {
    let (mut limits, _) = limited_daemon(1.0);
    let at = from.after(Duration::from_secs(after_s));
    limits.take_place(at, &server("a", 1), Sharing::Turns, members)
}

/// Guards against a daemon that takes turns before it knows the members.
#[test]
fn take_place_after_start() {
    let start = Instant::now();
    let mut limits = ServerLimits::new(start);
    let (a, members) = (server("a", 1), members("vm-0", 1));
    limits.observe(start, &a, per_s(start, 8.0));
    for sharing in [Sharing::Turns, Sharing::Exclusive] {
        let at = time(start, 3999);
        assert!(!limits.take_place(at, &a, sharing, &members));
        let next = limits.next_place_at(at, &a, sharing, &members);
        assert_eq!(next, Some(start + TURN));
    }
    let at = time(start, 4000);
    assert!(limits.take_place(at, &a, Sharing::Turns, &members));
    let counts = limits.limited(at.now).next().unwrap();
    assert_eq!((counts.used_requests, counts.turned_away_requests), (1, 2));
}

/// Guards against a coordinator that takes turns or exceeds its part, and
/// against a server without places that is never asked again.
#[test]
fn take_place_exclusive() {
    // One token or a quarter of a second, and 0.7 of the limit.
    for (limit_per_s, expected) in [(0.0, 1), (1.0, 3), (40.0, 113)] {
        let (mut limits, now) = limited_daemon(limit_per_s);
        let members = members("vm-0", 9);
        let sharing = Sharing::Exclusive;
        let taken = take_all(&mut limits, now, 0..4001, sharing, &members);
        assert_eq!(taken, expected, "limit {limit_per_s}");
        let mut at = time(now, 4001);
        let a = server("a", 1);
        let next = limits.next_place_at(at, &a, sharing, &members);
        at.now = next.unwrap();
        assert!(limits.take_place(at, &a, sharing, &members));
    }
}

/// Guards against a daemon that shuts down and still takes turns that others
/// assign among themselves.
#[test]
fn take_place_not_a_member() {
    let (mut limits, now) = limited_daemon(40.0);
    let (a, members) = (server("a", 1), members("other", 9));
    for turn in 0..20 {
        let at = time(now, turn * 4000);
        assert!(!limits.take_place(at, &a, Sharing::Turns, &members));
    }
}

/// Guards against turns that stay as they were when the members change.
#[test]
fn take_place_new_members() {
    let (mut limits, now) = limited_daemon(0.0);
    let a = server("a", 1);
    let at = time(now, 0);
    let absent = members("vm-x", 9);
    assert!(!limits.take_place(at, &a, Sharing::Turns, &absent));
    let name: Arc<str> = Arc::from("vm-x");
    let alone = LimitMembers::new(Arc::clone(&name), vec![name], 2);
    assert!(limits.take_place(at, &a, Sharing::Turns, &alone));
}

/// Guards against a time of the next place at which there is none.
#[test]
fn next_place_at_is_a_place() {
    let a = server("a", 1);
    for (count, limit_per_s) in [(1, 0.0), (9, 1.0), (9, 8.0), (300, 8.0)] {
        let members = members("vm-0", count);
        let (mut limits, now) = limited_daemon(limit_per_s);
        let mut at = time(now, 1500);
        for _ in 0..50 {
            let sharing = Sharing::Turns;
            let next = limits.next_place_at(at, &a, sharing, &members);
            let wait = next.unwrap().saturating_duration_since(at.now);
            assert!(wait <= TURN * 9, "{wait:?}");
            at = at.after(wait);
            limits.observe(at.now, &a, per_s(at.now, limit_per_s));
            let next = limits.next_place_at(at, &a, sharing, &members);
            let has_place = next.unwrap() <= at.now;
            let taken = limits.take_place(at, &a, sharing, &members);
            assert_eq!(taken, has_place);
            // Nine turns of 300 daemons may all be held by others.
            assert!(taken || count == 300, "{count} members");
        }
    }
}
