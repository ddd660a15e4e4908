use super::*;

const CALL_TIME: Duration = Duration::from_millis(280);

fn throughput(_: &str) -> Throughput {
    Throughput { pieces_per_s: 100.0, call_time: CALL_TIME }
}

fn demand(service: &str, pieces: u32, lead_ms: u64) -> StageDemand {
    StageDemand {
        service: Arc::from(service),
        pieces,
        lead_time: Duration::from_millis(lead_ms),
    }
}

fn request(id: u64, now: Instant, demand: Vec<StageDemand>) -> QueuedRequest {
    QueuedRequest {
        id,
        rank: 1,
        demand,
        stages_time: Duration::from_millis(600),
        target_at: now + Duration::from_secs(2),
        deadline: now + Duration::from_secs(8),
        arrived_at: now,
    }
}

fn admitted(queue: &mut StageAdmissionQueue, now: Instant) -> Vec<u64> {
    let admissions = std::iter::from_fn(|| queue.admit(now, &throughput));
    admissions.map(|admission| admission.id).collect()
}

fn admit_one(queue: &mut StageAdmissionQueue, now: Instant) -> Option<u64> {
    queue.admit(now, &throughput).map(|admission| admission.id)
}

/// Guards against a burst that starts all its first stages at once: their
/// results wait for the slowest service, fill the memory of their servers and
/// expire.
#[test]
fn admit_bounds_started_work() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    for id in 0..200 {
        let demand = vec![demand("fast", 1, 0), demand("slow", 6, 200)];
        queue.push(request(id, now, demand));
    }
    let first = admitted(&mut queue, now);
    // The slow service may have 0.28 + 0.4 + 0.2 s of started work, which is
    // 88 pieces.
    assert_eq!(first.len(), 15);
    assert_eq!(queue.len(), 185);
    assert!(admitted(&mut queue, now).is_empty());
    queue.record_pieces_done(&demand("slow", 6, 200));
    assert_eq!(admitted(&mut queue, now).len(), 1);
}

/// Guards against a wait for a service that is free, because another one has a
/// backlog, and against a wait for a service without servers that looks short.
#[test]
fn expected_wait_for_each_service() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    for id in 0..40 {
        queue.push(request(id, now, vec![demand("slow", 6, 0)]));
    }
    admitted(&mut queue, now);
    let wait = |service: &str, rate: f64| {
        let throughput = Throughput { pieces_per_s: rate, ..throughput("") };
        queue.expected_wait_for(now, service, &throughput)
    };
    assert_eq!(wait("fast", 100.0), Duration::ZERO);
    assert!(wait("slow", 100.0) > Duration::from_secs(1));
    assert_eq!(wait("fast", 0.0), Duration::MAX);
}

/// Guards against servers that idle because finished work still counts as
/// started.
#[test]
fn record_pieces_done_frees_all() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    for round in 0..50 {
        queue.push(request(round, now, vec![demand("s", 500, 10)]));
        assert_eq!(admit_one(&mut queue, now), Some(round));
        queue.record_pieces_done(&demand("s", 500, 10));
    }
    assert!(queue.expected_wait(now, &throughput).is_zero());
}

/// Guards against late or less urgent requests that start before requests that
/// can be on time.
#[test]
fn admit_order() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    let mut late = request(1, now, vec![demand("s", 1, 0)]);
    late.target_at = now;
    late.rank = 0;
    let standard = request(2, now, vec![demand("s", 1, 0)]);
    let mut urgent = request(3, now, vec![demand("s", 1, 0)]);
    urgent.rank = 0;
    let mut earlier_target = request(4, now, vec![demand("s", 1, 0)]);
    earlier_target.target_at -= Duration::from_millis(100);
    for (at, mut request) in
        [late, standard, urgent, earlier_target].into_iter().enumerate()
    {
        // Equal arrival times, so that the reserved admission doesn't change
        // the order.
        request.arrived_at = now;
        assert_eq!(at, queue.len());
        queue.push(request);
    }
    queue.admissions_to_turn = 7;
    assert_eq!(admitted(&mut queue, now), [3, 4, 2, 1]);
}

/// Guards against a flood of the most urgent rank that starves other ranks.
#[test]
fn admit_oldest_in_turn() {
    let start = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    let mut standard = request(0, start, vec![demand("s", 10, 0)]);
    standard.rank = 2;
    queue.push(standard);
    queue.admissions_to_turn = 7;
    let now = start + Duration::from_millis(10);
    let mut admitted = Vec::new();
    for id in 1..40 {
        let mut urgent = request(id, now, vec![demand("s", 10, 0)]);
        urgent.rank = 0;
        queue.push(urgent);
        while let Some(id) = admit_one(&mut queue, now) {
            admitted.push(id);
        }
        queue.record_pieces_done(&demand("s", 10, 0));
    }
    let at = admitted.iter().position(|&id| id == 0);
    assert!(at.is_some_and(|at| at <= 8), "{admitted:?}");
}

/// Guards against a request that can't start and blocks requests that need
/// other services.
#[test]
fn admit_passes_blocked() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    queue.push(request(1, now, vec![demand("full", 1000, 0)]));
    assert_eq!(admit_one(&mut queue, now), Some(1));
    queue.push(request(2, now, vec![demand("full", 1, 0)]));
    queue.push(request(3, now, vec![demand("free", 1, 0)]));
    assert_eq!(admitted(&mut queue, now), [3]);
}

/// Guards against requests that are kept although they can't meet their
/// deadline behind the backlog.
#[test]
fn shed_infeasible_behind_backlog() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    for id in 0..300 {
        let mut request = request(id, now, vec![demand("s", 6, 0)]);
        request.target_at = now + Duration::from_secs(9);
        queue.push(request);
    }
    let refused = queue.shed_infeasible(now, &throughput);
    // 6 pieces take 60 ms; 7.4 s remain before the deadline, without the
    // request's own time.
    assert!((165..=180).contains(&refused.len()), "{}", refused.len());
    assert!(refused.iter().all(|refused| refused.id > 100));
    assert!(refused[0].wait > Duration::from_secs(7));
    assert!(queue.shed_infeasible(now, &throughput).is_empty());
}

/// Guards against requests that have missed their target and wait behind newer
/// ones until their callers disconnect.
#[test]
fn shed_infeasible_late() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    for id in 0..100 {
        let mut request = request(id, now, vec![demand("s", 6, 0)]);
        request.target_at = now;
        queue.push(request);
    }
    let kept = 100 - queue.shed_infeasible(now, &throughput).len();
    // With the wait tripled, a third of the 7.4 s is available.
    assert!((40..=55).contains(&kept), "{kept}");
}

/// Guards against a request that starts after its caller has disconnected.
#[test]
fn cancel_waiting() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    queue.push(request(1, now, vec![demand("s", 1, 0)]));
    queue.cancel(1);
    assert!(queue.is_empty());
    assert_eq!(queue.admit(now, &throughput), None);
}

/// Guards against requests that wait for ever for a service without servers,
/// whose throughput is zero.
#[test]
fn shed_infeasible_without_servers() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    let no_servers =
        |_: &str| Throughput { pieces_per_s: 0.0, call_time: CALL_TIME };
    queue.push(request(1, now, vec![demand("s", 1, 0)]));
    queue.push(request(2, now, vec![demand("s", 1, 0)]));
    let admission = queue.admit(now, &no_servers);
    assert_eq!(admission.map(|admission| admission.id), Some(1));
    assert_eq!(queue.shed_infeasible(now, &no_servers).len(), 1);
}

/// Guards against log lines that don't tell why a request starts before
/// others, or for which service a refused one would wait.
#[test]
fn admit_reports_turn() {
    let now = Instant::now();
    let mut queue = StageAdmissionQueue::default();
    let next_turn = |queue: &mut StageAdmissionQueue, target_ms| {
        let mut request = request(1, now, vec![demand("s", 35, 0)]);
        request.target_at = now + Duration::from_millis(target_ms);
        queue.push(request);
        queue.admit(now, &throughput).map(|admission| admission.turn)
    };
    assert_eq!(next_turn(&mut queue, 2000), Some(AdmissionTurn::Oldest));
    assert_eq!(next_turn(&mut queue, 2000), Some(AdmissionTurn::InOrder));
    assert_eq!(next_turn(&mut queue, 2000), None);
    assert_eq!(next_turn(&mut queue, 700), Some(AdmissionTurn::HeadStart));
    let refused =
        queue.shed_infeasible(now + Duration::from_secs(8), &throughput);
    assert_eq!(refused[0].service.as_deref(), Some("s"));
}

/// Requests of one service that arrive for some seconds, and the service that
/// processes what has started.
struct Overload {
    queue: StageAdmissionQueue,
    now: Instant,
    /// Requests that have arrived, by id.
    arrived: Vec<QueuedRequest>,
    /// When each of them started, by id.
    started_at: Vec<Option<Instant>>,
    unfinished: std::collections::VecDeque<StageDemand>,
}

impl Overload {
    const STEP: Duration = Duration::from_millis(10);

    fn new(now: Instant) -> Overload {
        Overload {
            queue: StageAdmissionQueue::default(),
            now,
            arrived: Vec::new(),
            started_at: Vec::new(),
            unfinished: std::collections::VecDeque::new(),
        }
    }

    /// Adds a request of one piece.
    fn push(&mut self, rank: u8, target_ms: u64, deadline_ms: u64) {
        let id = u64::try_from(self.arrived.len()).unwrap();
        let mut request = request(id, self.now, vec![demand("s", 1, 0)]);
        request.rank = rank;
        request.target_at = self.now + Duration::from_millis(target_ms);
        request.deadline = self.now + Duration::from_millis(deadline_ms);
        self.arrived.push(request.clone());
        self.started_at.push(None);
        self.queue.push(request);
    }

    /// Starts what may start, and processes one piece: 100 a second, which is
    /// the throughput.
    fn step(&mut self) {
        self.queue.shed_infeasible(self.now, &throughput);
        for id in admitted(&mut self.queue, self.now) {
            let at = usize::try_from(id).unwrap();
            self.started_at[at] = Some(self.now);
            self.unfinished.extend(self.arrived[at].demand.clone());
        }
        if let Some(done) = self.unfinished.pop_front() {
            self.queue.record_pieces_done(&done);
        }
        self.now += Overload::STEP;
    }

    /// Returns how many requests of a rank have started.
    fn started(&self, rank: u8) -> usize {
        let requests = self.arrived.iter().zip(&self.started_at);
        requests.filter(|(r, at)| r.rank == rank && at.is_some()).count()
    }
}

/// Guards against requests without time to wait that arrive faster than a
/// service works: the others start only when the backlog is shorter than those
/// leave it, which is never.
#[test]
fn admit_head_starts_bounded() {
    let mut overload = Overload::new(Instant::now());
    for step in 0..1000 {
        overload.push(1, 700, 1500);
        if step % 5 == 0 {
            overload.push(0, 1400, 3000);
        }
        if step % 4 == 0 {
            overload.push(2, 3000, 8000);
        }
        overload.step();
    }
    let started = [0, 1, 2].map(|rank| overload.started(rank));
    let all: usize = started.iter().sum();
    assert!(started[0] >= 190, "the most urgent wait: {started:?}");
    // One admission in eight goes to the longest wait.
    assert!(started[2] >= all / 8 - 10, "the last rank starves: {started:?}");
    assert!(started[1] >= all / 8, "head starts are lost: {started:?}");
}

/// Guards against turns of the longest wait that go to requests which are late
/// already, while one that can still be on time waits behind more urgent ones.
#[test]
fn admit_oldest_on_time() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut queue = StageAdmissionQueue::default();
    for id in 0..10 {
        let mut late = request(id, start, vec![demand("s", 1, 0)]);
        late.rank = 1;
        queue.push(late);
    }
    let mut on_time = request(10, now, vec![demand("s", 1, 0)]);
    on_time.arrived_at = start + Duration::from_secs(1);
    on_time.rank = 2;
    queue.push(on_time);
    for id in 11..20 {
        let mut urgent = request(id, now, vec![demand("s", 1, 0)]);
        urgent.rank = 0;
        queue.push(urgent);
    }
    assert_eq!(admit_one(&mut queue, now), Some(10));
}

/// Guards against requests that will be late, as those before them were, and
/// go before less urgent ones that would be on time.
#[test]
fn admit_order_learned_duration() {
    let now = Instant::now();
    let mut queue =
        StageAdmissionQueue { admissions_to_turn: 7, ..Default::default() };
    let expected = Duration::from_millis(600);
    for _ in 0..50 {
        queue.record_duration(expected, expected * 2);
    }
    let mut urgent = request(1, now, vec![demand("s", 1, 0)]);
    urgent.rank = 0;
    urgent.target_at = now + Duration::from_millis(1100);
    queue.push(urgent);
    queue.push(request(2, now, vec![demand("s", 1, 0)]));
    assert_eq!(admitted(&mut queue, now), [2, 1]);
}
