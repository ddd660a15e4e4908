use super::*;

const CALL_MS: u64 = 150;
const ITEM_MS: u64 = 16;

fn spec() -> PieceSpec {
    PieceSpec {
        slots: 1,
        batch: 8,
        call: Duration::from_millis(CALL_MS),
        item: Duration::from_millis(ITEM_MS),
        room_bytes: 42_000_000,
        result_lifetime: Duration::from_secs(4),
    }
}

fn order(id: u64, now: Instant, due_ms: u64) -> Order {
    Order {
        id,
        rank: 0,
        due: now + Duration::from_millis(due_ms),
        deadline: now + Duration::from_secs(8),
        result_bytes: 3_000_000,
        avoid: None,
    }
}

fn queue(servers: &[&str]) -> PieceQueue {
    let mut queue = PieceQueue::new(spec());
    queue.set_servers(servers.iter().map(|name| Arc::from(*name)));
    queue
}

/// Guards against a second call to a server that works on one.
#[test]
fn next_call_one_at_a_time() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    queue.push(order(1, now, 900));
    assert!(queue.next_call(now).is_some());
    queue.push(order(2, now, 900));
    assert!(queue.next_call(now).is_none());
    queue.call_ended(now, "a", CallEnd::Worked, 3_000_000, &["h".into()]);
    assert_eq!(queue.next_call(now).unwrap().ids, [2]);
}

/// Guards against the load of unbatched calls: at 75 pieces a second five
/// servers keep up only if waiting pieces share calls.
#[test]
fn next_call_keeps_up_with_burst() {
    let start = Instant::now();
    let mut queue = queue(&["a", "b", "c", "d", "e"]);
    let mut running: Vec<(Instant, Call)> = Vec::new();
    let mut pushed = std::collections::VecDeque::new();
    let mut worst = Duration::ZERO;
    for step in 0..4000_u64 {
        let now = start + Duration::from_millis(step);
        if step.is_multiple_of(9) {
            let mut order = order(step, now, 1000);
            order.result_bytes = 8000;
            queue.push(order);
            pushed.push_back((step, now));
        }
        let (ended, rest) =
            running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        let ended: Vec<(Instant, Call)> = ended;
        for (_, call) in ended {
            let bytes = 8000 * u64::try_from(call.ids.len()).unwrap();
            queue.call_ended(now, &call.server, CallEnd::Worked, bytes, &[]);
            for id in call.ids {
                let at = start + Duration::from_millis(id);
                worst = worst.max(now - at);
            }
        }
        while let Some(call) = queue.next_call(now) {
            running.push((now + call.expected, call));
        }
    }
    assert!(worst < Duration::from_millis(800), "{worst:?}");
    assert!(queue.waiting() < 40, "{} waiting", queue.waiting());
}

/// Guards against results that overflow the room of their maker.
#[test]
fn next_call_room() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..20 {
        queue.push(order(id, now, 900));
    }
    let first = queue.next_call(now).unwrap();
    assert_eq!(first.ids.len(), 8);
    let results: Vec<Arc<str>> =
        (0..8).map(|at| Arc::from(format!("h{at}"))).collect();
    queue.call_ended(now, "a", CallEnd::Worked, 24_000_000, &results);
    // 42 MB at nine tenths hold 12 results of 3 MB.
    let second = queue.next_call(now).unwrap();
    assert_eq!(second.ids.len(), 4);
    queue.call_ended(
        now,
        "a",
        CallEnd::Worked,
        12_000_000,
        &["x".into(), "y".into()],
    );
    assert!(queue.next_call(now).is_none());
    for result in &results {
        queue.released("a", result);
    }
    assert_eq!(queue.next_call(now).unwrap().ids.len(), 8);
}

/// Guards against a server that stays unused because results that nobody
/// released count for ever.
#[test]
fn next_call_results_expire() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    queue.push(order(1, now, 900));
    queue.next_call(now).unwrap();
    queue.call_ended(now, "a", CallEnd::Worked, 42_000_000, &["h".into()]);
    queue.push(order(2, now, 900));
    assert!(queue.next_call(now).is_none());
    let later = now + Duration::from_millis(4001);
    assert!(queue.next_call(later).is_some());
}

/// Guards against late work that delays work that can still be on time, and
/// against a less urgent kind that never has its turn.
#[test]
fn next_call_order() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    let mut urgent = order(1, now, 900);
    urgent.rank = 0;
    let mut usual = order(2, now, 800);
    usual.rank = 2;
    let mut overdue = order(3, now, 10);
    overdue.rank = 0;
    let mut waited = order(4, now, 300);
    waited.rank = 2;
    for order in [usual, overdue, urgent, waited] {
        queue.push(order);
    }
    assert_eq!(queue.next_call(now).unwrap().ids, [4, 1, 2, 3]);
}

/// Guards against work for a request whose caller gets nothing any more.
#[test]
fn take_late_deadline() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    let mut hopeless = order(1, now, 10);
    hopeless.deadline = now + Duration::from_millis(CALL_MS);
    queue.push(hopeless);
    queue.push(order(2, now, 10));
    assert_eq!(queue.take_late(now), [1]);
    assert_eq!(queue.waiting(), 1);
}

/// Guards against a call to the server that has just refused it.
#[test]
fn next_call_avoids() {
    let now = Instant::now();
    let mut queue = queue(&["a", "b"]);
    let mut order = order(1, now, 900);
    order.avoid = Some(Arc::from("a"));
    queue.push(order);
    assert_eq!(&*queue.next_call(now).unwrap().server, "b");
}

/// Guards against a queue that stops when its servers are replaced.
#[test]
fn set_servers_replaced() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    queue.push(order(1, now, 900));
    queue.next_call(now).unwrap();
    queue.set_servers([Arc::from("b")]);
    queue.push(order(2, now, 900));
    assert_eq!(&*queue.next_call(now).unwrap().server, "b");
}

/// Guards against new work for a server that leaves while it works.
#[test]
fn set_servers_leaving_while_busy() {
    let now = Instant::now();
    let mut spec = spec();
    spec.slots = 2;
    let mut queue = PieceQueue::new(spec);
    queue.set_servers([Arc::from("a")]);
    queue.push(order(1, now, 900));
    queue.next_call(now).unwrap();
    queue.set_servers([]);
    queue.push(order(2, now, 900));
    assert!(queue.next_call(now).is_none());
}

/// Guards against a dead server that takes the work of a live one again and
/// again.
#[test]
fn call_ended_refusals_pause_longer() {
    let start = Instant::now();
    let mut queue = queue(&["a"]);
    let mut calls = 0;
    for ms in 0..4000 {
        let now = start + Duration::from_millis(ms);
        if queue.waiting() == 0 {
            queue.push(order(ms, now, 900));
        }
        if let Some(call) = queue.next_call(now) {
            calls += 1;
            let bytes = call.result_bytes;
            queue.call_ended(now, "a", CallEnd::Refused, bytes, &[]);
        }
    }
    assert!(calls <= 8, "{calls} calls to a server that refuses all");
}

/// Guards against estimates that keep a collector out for good.
#[test]
fn wait_fades() {
    let now = Instant::now();
    let (service, zone) = (Arc::from("s"), Arc::from("z"));
    let mut estimates = WaitEstimates::default();
    estimates.heard(now, &service, &zone, Duration::from_secs(1));
    assert_eq!(estimates.wait(now, &service, &zone), Duration::from_secs(1));
    let later = now + ESTIMATE_LIFETIME;
    assert_eq!(estimates.wait(later, &service, &zone), Duration::ZERO);
}
