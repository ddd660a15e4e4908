use super::*;

const MIB: usize = 1 << 20;

fn memory(budget_bytes: usize, max_connections: usize) -> CallerMemory {
    CallerMemory::new(CallerMemoryLimits { budget_bytes, max_connections })
}

/// Opens a connection that receives a body.
fn receive(memory: &mut CallerMemory, now: Instant) -> ConnectionId {
    let id = memory.open(now);
    memory.set_activity(now, id, Activity::Receiving);
    id
}

/// Guards against a crowd of stalled bodies, of which none is dismissed or
/// all are, and against a total above the budget.
#[test]
fn charge_stalled_crowd() {
    let mut memory = memory(16 * MIB, 1000);
    let mut now = Instant::now();
    let mut evicted = Vec::new();
    for _ in 0..100 {
        let id = receive(&mut memory, now);
        let victims = memory.charge(now, id, 4 * MIB).unwrap();
        for victim in victims {
            memory.release(victim, 4 * MIB);
            memory.close(victim);
            evicted.push(victim);
        }
        assert!(memory.held_bytes() <= 16 * MIB);
        now += STALL_TIME;
    }
    let expected: Vec<_> = (0..98).map(ConnectionId).collect();
    assert_eq!(evicted, expected, "those that stalled first go first");
}

/// Guards against a small request that is turned away for a large one, or
/// because large ones have used up the budget.
#[test]
fn charge_small_before_large() {
    let mut memory = memory(16 * MIB, 1000);
    let start = Instant::now();
    let small = receive(&mut memory, start);
    memory.charge(start, small, 1000).unwrap();
    let now = start + STALL_TIME * 4;
    let first = receive(&mut memory, now);
    memory.charge(now, first, 11 * MIB).unwrap();
    let second = receive(&mut memory, now);
    let result = memory.charge(now, second, 4 * MIB);
    assert_eq!(result, Err(CallerMemoryExhausted));
    let other = receive(&mut memory, now);
    assert_eq!(memory.charge(now, other, 100_000), Ok(vec![]));
    assert!(!memory.is_evicted(small));
}

/// Guards against a large body that counts as progressing because single
/// bytes of it arrive.
#[test]
fn record_received_single_bytes() {
    let mut memory = memory(8 * MIB, 1000);
    let start = Instant::now();
    let dripping = receive(&mut memory, start);
    memory.charge(start, dripping, 2 * MIB).unwrap();
    let flowing = receive(&mut memory, start);
    memory.charge(start, flowing, 2 * MIB).unwrap();
    let now = start + STALL_TIME;
    memory.record_received(now, dripping, 1);
    memory.record_received(now, flowing, PROGRESS_STEP_BYTES);
    let next = receive(&mut memory, now);
    assert_eq!(memory.charge(now, next, 3 * MIB), Ok(vec![dripping]));
}

/// Guards against a request that is closed while it runs, unless its caller
/// does not read the reply.
#[test]
fn charge_spares_running() {
    let mut memory = memory(8 * MIB, 1000);
    let start = Instant::now();
    let running = receive(&mut memory, start);
    memory.charge(start, running, 5 * MIB).unwrap();
    memory.set_activity(start, running, Activity::Running);
    let now = start + STALL_TIME * 10;
    let next = receive(&mut memory, now);
    assert_eq!(memory.charge(now, next, 2 * MIB), Err(CallerMemoryExhausted));
    memory.set_blocked(start, running, true);
    assert_eq!(memory.charge(now, next, 2 * MIB), Ok(vec![running]));
}

/// Guards against requests under way that are not counted, or that leave no
/// room for connections whose requests are then refused.
#[test]
fn charge_run_leaves_connections() {
    let mut memory = memory(8 * MIB, 1000);
    let now = Instant::now();
    let mut running = 0;
    loop {
        let id = receive(&mut memory, now);
        if memory.charge_run(now, id, RUN_BYTES).is_err() {
            memory.close(id);
            break;
        }
        memory.set_activity(now, id, Activity::Running);
        running += 1;
    }
    let run_bytes = running * (CONNECTION_BYTES + RUN_BYTES);
    assert_eq!(memory.held_bytes(), run_bytes);
    assert!(run_bytes > 6 * MIB, "{running} requests run");
    let room = memory.make_connection_room(now);
    assert_eq!(room, ConnectionRoom::Available);
    let free_bytes = 8 * MIB - memory.held_bytes();
    assert!(free_bytes >= MIB, "{free_bytes} bytes");
}

/// Guards against a small body that counts as large because its request runs.
#[test]
fn charge_run_keeps_small() {
    let mut memory = memory(16 * MIB, 1000);
    let now = Instant::now();
    let large = receive(&mut memory, now);
    memory.charge(now, large, 11 * MIB + MIB / 8).unwrap();
    memory.set_activity(now, large, Activity::Running);
    let other = receive(&mut memory, now);
    memory.charge(now, other, MIB / 2).unwrap();
    memory.set_activity(now, other, Activity::Running);
    let small = receive(&mut memory, now);
    memory.charge(now, small, SMALL_REQUEST_BYTES).unwrap();
    let next = receive(&mut memory, now);
    memory.charge(now, next, SMALL_REQUEST_BYTES).unwrap();
    assert!(
        memory.held_bytes() >= 12 * MIB,
        "the part for large ones is used up"
    );
    assert_eq!(memory.charge_run(now, next, RUN_BYTES), Ok(vec![]));
    assert_eq!(memory.charge_run(now, small, RUN_BYTES), Ok(vec![]));
    assert_eq!(
        memory.charge_run(now, other, RUN_BYTES),
        Err(CallerMemoryExhausted)
    );
}

/// Guards against idle connections that are closed for a request that runs
/// although there is room for it.
#[test]
fn charge_run_spares_idle() {
    let mut memory = memory(64_000_000, 1950);
    let start = Instant::now();
    for _ in 0..1949 {
        memory.open(start);
    }
    let id = receive(&mut memory, start);
    let now = start + STALL_TIME * 2;
    assert_eq!(memory.charge_run(now, id, RUN_BYTES), Ok(vec![]));
}

/// Guards against callers that don't read, for which others that could run are
/// refused, and against bytes that stay counted after they were closed.
#[test]
fn charge_run_evicts_unread() {
    let mut memory = memory(MIB, 1000);
    let start = Instant::now();
    let mut running = Vec::new();
    let refused = loop {
        let id = receive(&mut memory, start);
        if memory.charge_run(start, id, RUN_BYTES).is_err() {
            break id;
        }
        memory.set_activity(start, id, Activity::Running);
        memory.set_blocked(start, id, true);
        running.push(id);
    };
    let now = start + STALL_TIME;
    let victims = memory.charge_run(now, refused, RUN_BYTES);
    assert_eq!(victims, Ok(vec![running[0]]));
    let running_bytes = running.len() * (CONNECTION_BYTES + RUN_BYTES);
    assert_eq!(memory.running_bytes, running_bytes);
    for id in running.into_iter().chain([refused]) {
        memory.close(id);
        memory.release_run(id, RUN_BYTES);
    }
    assert_eq!(memory.running_bytes, 0);
    assert_eq!(memory.held_bytes(), 0);
    assert_eq!(memory.evicted_bytes, 0);
    assert!(memory.connections.is_empty());
}

/// Guards against replies that are passed on and take the room in which further
/// requests run, or are accepted and refused.
#[test]
fn charge_relay_leaves_room() {
    for (callers, runs_more) in [(700, true), (2000, false)] {
        let mut memory = memory(64_000_000, 3000);
        let start = Instant::now();
        let mut running = Vec::new();
        for _ in 0..callers {
            let id = receive(&mut memory, start);
            if memory.charge_run(start, id, RUN_BYTES).is_ok() {
                memory.set_activity(start, id, Activity::Running);
                running.push(id);
            } else {
                memory.close(id);
            }
        }
        let now = start + STALL_TIME;
        for id in running {
            // One without room is passed on nevertheless.
            let _ = memory.charge_relay(now, id);
        }
        let room = memory.make_connection_room(now + STALL_TIME);
        assert_eq!(room, ConnectionRoom::Available, "{callers}");
        let next = receive(&mut memory, now);
        let runs = memory.charge_run(now, next, RUN_BYTES).is_ok();
        assert_eq!(runs, runs_more, "{callers}");
    }
}

/// Guards against the end of an answer that is lost while unused connections
/// are spared.
#[test]
fn charge_unwritten_after_idle() {
    let mut memory = memory(8 * MIB, 1000);
    let start = Instant::now();
    let unwritten = memory.open(start);
    memory.set_blocked(start, unwritten, true);
    let idle: Vec<_> = (0..230).map(|_| memory.open(start)).collect();
    let now = start + STALL_TIME * 3;
    let id = receive(&mut memory, now);
    let victims = memory.charge(now, id, MIB).unwrap();
    assert_eq!(victims[0], idle[0]);
    assert!(!memory.is_evicted(unwritten));
}

/// Guards against silent connections that keep ordinary callers out, and
/// against a connection with a request that makes way for another one.
#[test]
fn connection_room_idle_first() {
    let mut memory = memory(64 * MIB, 3);
    let start = Instant::now();
    let busy = receive(&mut memory, start);
    let idle = memory.open(start + Duration::from_millis(1));
    let later = memory.open(start + Duration::from_millis(2));
    let now = start + Duration::from_millis(3);
    let room = memory.make_connection_room(now);
    assert_eq!(room, ConnectionRoom::AfterClosing(idle));
    memory.close(idle);
    assert_eq!(memory.make_connection_room(now), ConnectionRoom::Available);
    let fourth = receive(&mut memory, now);
    let room = memory.make_connection_room(now);
    assert_eq!(room, ConnectionRoom::AfterClosing(later));
    memory.set_activity(now, busy, Activity::Running);
    assert_eq!(memory.make_connection_room(now), ConnectionRoom::None);
    let room = memory.make_connection_room(now + STALL_TIME);
    assert_eq!(room, ConnectionRoom::AfterClosing(fourth));
}

/// Guards against bytes that stay charged, or are released twice, when they
/// outlive an evicted connection.
#[test]
fn release_after_close() {
    let mut memory = memory(4 * MIB, 10);
    let start = Instant::now();
    let id = receive(&mut memory, start);
    memory.charge(start, id, 2 * MIB).unwrap();
    let now = start + STALL_TIME;
    let next = receive(&mut memory, now);
    assert_eq!(memory.charge(now, next, 2 * MIB), Ok(vec![id]));
    memory.close(id);
    assert_eq!(memory.held_bytes(), 4 * MIB + CONNECTION_BYTES);
    memory.release(id, 2 * MIB);
    memory.release(next, 2 * MIB);
    memory.close(next);
    assert_eq!(memory.held_bytes(), 0);
    assert_eq!(memory.evicted_bytes, 0);
    assert!(memory.connections.is_empty());
}

/// Guards against limits that the smallest machine can't bear, or that its
/// ordinary callers meet.
#[test]
fn limits_of_smallest_machine() {
    let memory_bytes = Some(160_000_000);
    let limits =
        CallerMemoryLimits::of_process(memory_bytes, Some(4100), Some(64));
    assert_eq!(limits.budget_bytes, 64_000_000);
    assert_eq!(limits.max_connections, 1950);
    let few = CallerMemoryLimits::of_process(None, None, Some(10));
    assert_eq!(few.budget_bytes, DEFAULT_BUDGET_BYTES);
    assert_eq!(few.max_connections, MIN_CONNECTIONS);
}

/// Guards against a connection that is closed at once to make room while the
/// end of its answer, for which nothing is charged any more, is unwritten.
#[test]
fn connection_room_spares_unwritten_answer() {
    let mut memory = memory(MIB, 1);
    let now = Instant::now();
    let id = memory.open(now);
    memory.set_activity(now, id, Activity::Idle);
    memory.set_blocked(now, id, true);
    let room = memory.make_connection_room(now + STALL_TIME / 2);
    assert_eq!(room, ConnectionRoom::None);
    let room = memory.make_connection_room(now + STALL_TIME);
    assert_eq!(room, ConnectionRoom::AfterClosing(id));
}
