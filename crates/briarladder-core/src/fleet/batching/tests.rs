use super::*;

const CALL_OVERHEAD_MS: u64 = 150;
const TIME_PER_PIECE_MS: u64 = 16;

fn spec() -> PieceServerSpec {
    PieceServerSpec {
        slots: 1,
        max_batch: 8,
        call_overhead: Duration::from_millis(CALL_OVERHEAD_MS),
        time_per_piece: Duration::from_millis(TIME_PER_PIECE_MS),
        result_capacity_bytes: 42_000_000,
        result_lifetime: Duration::from_secs(4),
        link_bytes_per_ms: 1_250_000,
    }
}

pub(super) fn piece(id: u64, now: Instant, due_ms: u64) -> QueuedPiece {
    QueuedPiece {
        id,
        group: id,
        rank: 0,
        pieces_done: 0,
        affinity: ZoneAffinity::Strong(Arc::from("z")),
        due: now + Duration::from_millis(due_ms),
        deadline: now + Duration::from_secs(8),
        result_bytes: 3_000_000,
        cross_zone_bytes: 3_000_000,
        input_producers: [].into(),
        avoid: None,
    }
}

pub(super) fn queue(servers: &[&str]) -> PieceQueue {
    let mut queue = PieceQueue::new(spec());
    queue.set_servers(
        servers.iter().map(|name| (Arc::from(*name), Arc::from("z"))),
    );
    queue
}

fn end_call(
    queue: &mut PieceQueue,
    now: Instant,
    server: &str,
    outcome: CallOutcome,
    result_bytes: u64,
    results: &[Arc<str>],
) {
    let expected = Duration::from_millis(CALL_OVERHEAD_MS);
    let elapsed = expected;
    let call = CallReport {
        server,
        outcome,
        elapsed,
        expected,
        result_bytes,
        results,
        load: None,
    };
    queue.record_call_end(now, &call);
}

/// Guards against a call to a server whose slots are all in use.
#[test]
fn next_call_one_at_a_time() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    queue.push(piece(1, now, 900));
    assert!(queue.next_call(now).is_some());
    queue.push(piece(2, now, 900));
    assert!(queue.next_call(now).is_none());
    end_call(
        &mut queue,
        now,
        "a",
        CallOutcome::Completed,
        3_000_000,
        &["h".into()],
    );
    assert_eq!(queue.next_call(now).unwrap().ids, [2]);
}

/// Guards against calls that are not batched: five servers can process 75
/// pieces a second only if waiting pieces share calls.
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
            let mut piece = piece(step, now, 1000);
            piece.result_bytes = 8000;
            queue.push(piece);
            pushed.push_back((step, now));
        }
        let (ended, rest) =
            running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        let ended: Vec<(Instant, Call)> = ended;
        for (_, call) in ended {
            let bytes = 8000 * u64::try_from(call.ids.len()).unwrap();
            end_call(
                &mut queue,
                now,
                &call.server,
                CallOutcome::Completed,
                bytes,
                &[],
            );
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
    assert!(queue.waiting_count() < 40, "{} waiting", queue.waiting_count());
}

/// Guards against results that exceed the memory of their server.
#[test]
fn next_call_result_capacity() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..24 {
        queue.push(piece(id, now, 900));
    }
    let first = queue.next_call(now).unwrap();
    assert_eq!(first.ids.len(), 8);
    let results: Vec<Arc<str>> =
        (0..8).map(|at| Arc::from(format!("h{at}"))).collect();
    end_call(
        &mut queue,
        now,
        "a",
        CallOutcome::Completed,
        24_000_000,
        &results,
    );
    // 97 hundredths of 42 MB hold 13 results of 3 MB.
    let second = queue.next_call(now).unwrap();
    assert_eq!(second.ids.len(), 5);
    end_call(
        &mut queue,
        now,
        "a",
        CallOutcome::Completed,
        15_000_000,
        &["x".into(), "y".into()],
    );
    assert!(queue.next_call(now).is_none());
    for result in &results {
        queue.record_release("a", result);
    }
    assert_eq!(queue.next_call(now).unwrap().ids.len(), 8);
}

/// Guards against a server that stays unused because unreleased results are
/// counted after they have expired.
#[test]
fn next_call_results_expire() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    queue.push(piece(1, now, 900));
    queue.next_call(now).unwrap();
    end_call(
        &mut queue,
        now,
        "a",
        CallOutcome::Completed,
        42_000_000,
        &["h".into()],
    );
    queue.push(piece(2, now, 900));
    assert!(queue.next_call(now).is_none());
    let later = now + Duration::from_millis(4001);
    assert!(queue.next_call(later).is_some());
}

/// Guards against late pieces that delay pieces that can still be on time, and
/// against less urgent pieces that go first because they have waited longer.
#[test]
fn next_call_order() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    let urgent = piece(1, now, 900);
    let mut standard = piece(2, now, 800);
    standard.rank = 2;
    let overdue = piece(3, now, 10);
    let mut earlier_due = piece(4, now, 300);
    earlier_due.rank = 2;
    let mut almost_done = piece(5, now, 20);
    almost_done.pieces_done = 2;
    for piece in [standard, overdue, urgent, earlier_due, almost_done] {
        queue.push(piece);
    }
    assert_eq!(queue.next_call(now).unwrap().ids, [1, 4, 2, 5, 3]);
}

/// Guards against a flood of the most urgent rank that starves other ranks.
#[test]
fn next_call_reserved_places() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..30 {
        let mut piece = piece(id, now, 900);
        piece.result_bytes = 10;
        queue.push(piece);
    }
    let mut standard = piece(99, now, 500);
    standard.rank = 2;
    queue.push(standard);
    assert!(queue.next_call(now).unwrap().ids.contains(&99));
}

/// Guards against large results that cross zones while a server in their own
/// zone is idle.
#[test]
fn next_call_same_zone() {
    let now = Instant::now();
    let mut queue = PieceQueue::new(spec());
    let zones = [("a", "z1"), ("b", "z2")];
    queue.set_servers(zones.map(|(a, z)| (Arc::from(a), Arc::from(z))));
    let mut far = piece(1, now, 900);
    far.affinity = ZoneAffinity::Strong(Arc::from("z2"));
    queue.push(far);
    let mut near = piece(2, now, 950);
    near.affinity = ZoneAffinity::Strong(Arc::from("z1"));
    queue.push(near);
    let first = queue.next_call(now).unwrap();
    assert_eq!((&*first.server, first.ids), ("b", vec![1]));
    let second = queue.next_call(now).unwrap();
    assert_eq!((&*second.server, second.ids), ("a", vec![2]));
}

/// Guards against inputs that cross zones although they are larger than the
/// result.
#[test]
fn next_call_zone_of_inputs() {
    let now = Instant::now();
    let mut queue = PieceQueue::new(spec());
    let zones = [("a", "z1"), ("b", "z2")];
    queue.set_servers(zones.map(|(a, z)| (Arc::from(a), Arc::from(z))));
    let mut piece = piece(1, now, 900);
    piece.result_bytes = 6_000;
    piece.cross_zone_bytes = 480_000;
    piece.affinity = ZoneAffinity::Strong(Arc::from("z2"));
    queue.push(piece);
    assert_eq!(&*queue.next_call(now).unwrap().server, "b");
}

/// Guards against pieces with large results that wait for a busy server of
/// their zone until they are late, or while their zone has more waiting than
/// it can process.
#[test]
fn next_call_leaves_zone() {
    let now = Instant::now();
    let mut queue = PieceQueue::new(spec());
    let zones = [("a", "z"), ("b", "z2")];
    queue.set_servers(zones.map(|(a, z)| (Arc::from(a), Arc::from(z))));
    queue.push(piece(1, now, 2000));
    assert_eq!(&*queue.next_call(now).unwrap().server, "a");
    queue.push(piece(2, now, 2000));
    assert!(
        queue.next_call(now).is_none(),
        "the piece can wait for a server of its zone"
    );
    let later = now + Duration::from_millis(1650);
    assert_eq!(&*queue.next_call(later).unwrap().server, "b");
    let mut queue = PieceQueue::new(spec());
    queue.set_servers(zones.map(|(a, z)| (Arc::from(a), Arc::from(z))));
    for id in 0..30 {
        queue.push(piece(id, now, 5000));
    }
    assert!(queue.next_call(now).is_some());
    assert_eq!(&*queue.next_call(now).unwrap().server, "b");
}

/// Guards against an estimated wait that assumes full calls although the
/// servers have memory for only part of one.
#[test]
fn expected_wait_without_capacity() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..200 {
        queue.push(piece(id, now, 60_000));
    }
    let full = queue.expected_wait();
    let mut at = now;
    for step in 0..40 {
        let Some(call) = queue.next_call(at) else {
            at += Duration::from_secs(1);
            continue;
        };
        at += call.expected;
        let results: Vec<Arc<str>> = (0..call.ids.len())
            .map(|piece| Arc::from(format!("{step}-{piece}")))
            .collect();
        let bytes = call.result_bytes;
        end_call(&mut queue, at, "a", CallOutcome::Completed, bytes, &results);
    }
    let left = u32::try_from(queue.waiting_count()).unwrap();
    assert!(queue.expected_wait() > full * left / 200);
}

/// Guards against pieces that are kept although they can't meet their deadline
/// behind the backlog.
#[test]
fn shed_infeasible_behind_backlog() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..400 {
        let mut piece = piece(id, now, 1000);
        piece.deadline = now + Duration::from_secs(4);
        queue.push(piece);
    }
    let shed = queue.shed_infeasible(now);
    // A full call of 8 takes 278 ms, so about 110 pieces can be done in time.
    assert!((270..=310).contains(&shed.len()), "{}", shed.len());
    assert!(!shed.contains(&0), "the first piece meets its deadline");
}

/// Guards against pieces that are started for requests that are already late,
/// whose remaining pieces never get a turn behind newer ones.
#[test]
fn shed_infeasible_misses_target() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..40 {
        let mut piece = piece(id, now, 10);
        piece.deadline = now + Duration::from_secs(3);
        piece.pieces_done = u32::from(id >= 30);
        queue.push(piece);
    }
    let shed = queue.shed_infeasible(now);
    // With the wait tripled, about three calls fit.
    assert!((8..=14).contains(&shed.len()), "{}", shed.len());
    assert!(!shed.contains(&39), "its request has results already");
}

/// Guards against work for a request that can't be answered in time.
#[test]
fn shed_infeasible_deadline() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    let mut infeasible = piece(1, now, 10);
    infeasible.deadline = now + Duration::from_millis(CALL_OVERHEAD_MS);
    queue.push(infeasible);
    queue.push(piece(2, now, 10));
    assert_eq!(queue.shed_infeasible(now), [1]);
    assert_eq!(queue.waiting_count(), 1);
}

/// Guards against sending a piece again to the server that has just refused
/// it.
#[test]
fn next_call_avoids() {
    let now = Instant::now();
    let mut queue = queue(&["a", "b"]);
    let mut piece = piece(1, now, 900);
    piece.avoid = Some(Arc::from("a"));
    queue.push(piece);
    assert_eq!(&*queue.next_call(now).unwrap().server, "b");
}

/// Guards against a queue that sends no calls after its servers are replaced.
#[test]
fn set_servers_replaced() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    queue.push(piece(1, now, 900));
    queue.next_call(now).unwrap();
    queue.set_servers([(Arc::from("b"), Arc::from("z"))]);
    queue.push(piece(2, now, 900));
    assert_eq!(&*queue.next_call(now).unwrap().server, "b");
}

/// Guards against new calls to a server that is no longer listed but still
/// runs a call.
#[test]
fn set_servers_leaving_while_busy() {
    let now = Instant::now();
    let mut spec = spec();
    spec.slots = 2;
    let mut queue = PieceQueue::new(spec);
    queue.set_servers([(Arc::from("a"), Arc::from("z"))]);
    queue.push(piece(1, now, 900));
    queue.next_call(now).unwrap();
    queue.set_servers([]);
    queue.push(piece(2, now, 900));
    assert!(queue.next_call(now).is_none());
}

/// Guards against a dead server that repeatedly takes work from live ones.
#[test]
fn record_call_end_refusals_pause_longer() {
    let start = Instant::now();
    let mut queue = queue(&["a"]);
    let mut calls = 0;
    for ms in 0..4000 {
        let now = start + Duration::from_millis(ms);
        if queue.waiting_count() == 0 {
            queue.push(piece(ms, now, 900));
        }
        if let Some(call) = queue.next_call(now) {
            calls += 1;
            let bytes = call.result_bytes;
            end_call(&mut queue, now, "a", CallOutcome::Refused, bytes, &[]);
        }
    }
    assert!(calls <= 8, "{calls} calls to a server that refuses all");
}

/// Guards against calls with free places while pieces wait, and against more
/// than one split group: the parts of a split group occupy memory until the
/// rest is done.
#[test]
fn next_call_splits_one_group() {
    let now = Instant::now();
    let mut queue = queue(&["a", "b"]);
    for id in 0..12 {
        let mut piece = piece(id, now, 900);
        piece.group = id / 3;
        queue.push(piece);
    }
    // Two whole groups fit; part of the third takes the last places.
    let first = queue.next_call(now).unwrap();
    assert_eq!(first.ids, [0, 1, 2, 3, 4, 5, 6, 7]);
    // Its remainder goes first in the next call.
    assert_eq!(queue.next_call(now).unwrap().ids, [8, 9, 10, 11]);
}

/// Guards against a split group when the server has memory for only part of
/// the first pieces.
#[test]
fn next_call_split_keeps_order() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..12 {
        let mut piece = piece(id, now, 900);
        piece.group = id / 4;
        piece.result_bytes = 9_000_000;
        queue.push(piece);
    }
    // 97 hundredths of 42 MB hold four results of 9 MB.
    assert_eq!(queue.next_call(now).unwrap().ids, [0, 1, 2, 3]);
}

/// Guards against inputs that are released while a slow or shared server has
/// not started its call.
#[test]
fn next_call_slow_starts_later() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    queue.push(piece(1, now, 900));
    assert!(queue.next_call(now).unwrap().starts_immediately);
    let expected = Duration::from_millis(CALL_OVERHEAD_MS);
    let before = queue.throughput().pieces_per_s;
    queue.record_call_end(
        now,
        &CallReport {
            server: "a",
            outcome: CallOutcome::Completed,
            elapsed: expected * 2,
            expected,
            result_bytes: 3_000_000,
            results: &[],
            load: None,
        },
    );
    queue.push(piece(2, now, 900));
    assert!(!queue.next_call(now).unwrap().starts_immediately);
    let after = queue.throughput().pieces_per_s;
    assert!(after < before * 0.9, "{after} of {before} pieces a second");
}

/// Guards against a split group whose remainder waits behind newer pieces.
#[test]
fn next_call_split_group_first() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..10 {
        let mut piece = piece(id, now, 10);
        piece.group = 7;
        piece.result_bytes = 10;
        queue.push(piece);
    }
    assert_eq!(queue.next_call(now).unwrap().ids.len(), 8);
    end_call(&mut queue, now, "a", CallOutcome::Completed, 80, &[]);
    queue.push(piece(50, now, 900));
    assert_eq!(queue.next_call(now).unwrap().ids, [8, 9, 50]);
}

/// Guards against calls with pieces whose inputs are lost: after one server
/// ended, 20 of 26 pieces of a call failed.
#[test]
fn take_with_lost_inputs_of_ended() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..40 {
        let producer = if id < 20 { "gone" } else { "kept" };
        let input_producers = [Arc::from(producer), Arc::from("other")].into();
        queue.push(QueuedPiece { input_producers, ..piece(id, now, 2000) });
    }
    let lost = queue.take_with_lost_inputs("gone");
    assert_eq!(lost, (0..20).collect::<Vec<u64>>());
    assert_eq!(queue.waiting_count(), 20);
    let call = queue.next_call(now).unwrap();
    assert!(call.ids.iter().all(|id| *id >= 20), "{:?}", call.ids);
    assert!(queue.take_with_lost_inputs("gone").is_empty());
}

/// Guards against memory that stays reserved for the lost results of a process
/// that has ended, once its server is back.
#[test]
fn record_process_end_frees_capacity() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..40 {
        queue.push(piece(id, now, 60_000));
    }
    for step in 0..2 {
        let call = queue.next_call(now).unwrap();
        let results = call.ids.iter().map(|id| format!("{step}-{id}").into());
        let results: Vec<Arc<str>> = results.collect();
        let bytes = call.result_bytes;
        end_call(
            &mut queue,
            now,
            "a",
            CallOutcome::Completed,
            bytes,
            &results,
        );
    }
    assert_eq!(queue.next_call(now), None, "13 results of 3 MB fit");
    queue.record_process_end("a");
    assert_eq!(queue.next_call(now).unwrap().ids.len(), 8);
}

/// Guards against pieces that are admitted although the limit of their server
/// leaves no time for them.
#[test]
fn expected_wait_limited_server() {
    let now = Instant::now();
    let mut queue = queue(&["a"]);
    for id in 0..80 {
        queue.push(piece(id, now, 5_000));
    }
    let unlimited = queue.throughput().pieces_per_s;
    let wait = queue.expected_wait();
    queue.set_call_limit("a", Some(0.5));
    // Half a call of eight pieces a second.
    assert!((queue.throughput().pieces_per_s - 4.0).abs() < 0.01);
    assert!(queue.expected_wait() >= Duration::from_secs(19));
    queue.set_call_limit("a", None);
    assert!((queue.throughput().pieces_per_s - unlimited).abs() < 0.01);
    assert_eq!(queue.expected_wait(), wait);
}

/// Guards against a call to a server that has just told that its machine is
/// slow while another one is idle, and against a figure that keeps calls away
/// from its server for longer than it holds.
#[test]
fn next_call_to_faster_server() {
    let now = Instant::now();
    let mut queue = queue(&["a", "b"]);
    let load = |work_percent| ServerLoad {
        running: 0,
        waiting: 0,
        slots: 1,
        work_percent: Some(work_percent),
    };
    for (server, work_percent) in [("a", 300), ("b", 90)] {
        let call = CallReport {
            server,
            outcome: CallOutcome::Completed,
            elapsed: Duration::from_millis(CALL_OVERHEAD_MS),
            expected: Duration::from_millis(CALL_OVERHEAD_MS),
            result_bytes: 0,
            results: &[],
            load: Some(load(work_percent)),
        };
        queue.record_call_end(now, &call);
    }
    let mut later = queue.clone();
    queue.push(piece(1, now, 900));
    assert_eq!(&*queue.next_call(now).unwrap().server, "b");
    let now = now + Duration::from_secs(1);
    later.push(piece(1, now, 900));
    assert_eq!(&*later.next_call(now).unwrap().server, "a");
}
