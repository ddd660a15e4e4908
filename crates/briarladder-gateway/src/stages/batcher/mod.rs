//! Batches pieces of many requests into calls to backend servers.

use std::{
    cell::{Cell as StdCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    fleet::{
        batching::{Call, CallOutcome, CallReport, PieceQueue},
        cells::{Cell, CellName},
        config::{PieceServerSpec, ServiceWork},
        fetch_time::FetchTimeEstimator,
        server::Servers,
        stage_admission::Throughput,
        stages::ResultHandle,
    },
    sorted::SortedMap,
};
use tokio::sync::{Notify, mpsc};

use crate::{
    blackboard::{Blackboard, CellsVersion},
    dialect::{Dialect, PieceOutcome},
    metrics::Metrics,
    pool::ConnectionPool,
};

mod calls;
mod releases;

use self::calls::CallFailure;

use super::piece_group::{
    Piece, PieceGroup, StageEvent, StageFailure, StageTask,
};

/// How long the exit of a server's process is remembered: longer than the
/// lifetime of its results.
const ENDED_FOR: Duration = Duration::from_secs(10);

/// Attempts to produce a piece.
const MAX_TRIES: u32 = 4;

/// Identifies the queue of a service in a cell.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    cell: Cell,
    service: Arc<str>,
}

struct Queue {
    pieces: PieceQueue,
    jobs: SortedMap<u64, Piece>,
    /// The version that the servers of `pieces` were computed from.
    version: CellsVersion,
}

/// Batches pieces of many requests into calls to backend servers.
pub struct Batcher {
    blackboard: Rc<Blackboard>,
    dialect: Rc<dyn Dialect>,
    pool: Rc<ConnectionPool>,
    metrics: Rc<Metrics>,
    queues: RefCell<SortedMap<QueueKey, Queue>>,
    /// Estimates how long servers take to fetch the inputs of a call.
    fetch_times: RefCell<FetchTimeEstimator>,
    /// The servers whose process has exited, and when that was detected.
    ended: RefCell<SortedMap<Arc<str>, Instant>>,
    next_id: StdCell<u64>,
    released: RefCell<Vec<ResultHandle>>,
    released_some: Notify,
}

/// Removes the pieces of a stage from their queue on drop, when the requester
/// leaves.
pub struct CancelGuard {
    batcher: Rc<Batcher>,
    key: QueueKey,
    ids: Vec<u64>,
    batch: Rc<PieceGroup>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let made = self.batch.cancel();
        self.batcher.queue_release(made);
        let mut queues = self.batcher.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(&self.key) {
            queue.pieces.cancel(&self.ids);
            for id in &self.ids {
                queue.jobs.remove(id);
            }
        }
    }
}

impl Batcher {
    /// Creates a batcher with empty queues.
    #[must_use]
    pub fn new(
        blackboard: &Rc<Blackboard>,
        dialect: &Rc<dyn Dialect>,
        pool: &Rc<ConnectionPool>,
        metrics: &Rc<Metrics>,
    ) -> Rc<Batcher> {
        Rc::new(Batcher {
            blackboard: Rc::clone(blackboard),
            dialect: Rc::clone(dialect),
            pool: Rc::clone(pool),
            metrics: Rc::clone(metrics),
            queues: RefCell::default(),
            fetch_times: RefCell::default(),
            ended: RefCell::default(),
            next_id: StdCell::new(0),
            released: RefCell::default(),
            released_some: Notify::new(),
        })
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.blackboard.now()
    }

    /// Returns the listed servers.
    #[must_use]
    pub fn listed_servers(&self) -> &RefCell<Servers> {
        &self.blackboard.servers
    }

    /// Queues the pieces of a stage for the servers of a cell. Their progress
    /// is reported to `events` until the guard is dropped. Returns `None` if
    /// the service does not produce pieces.
    pub fn submit(
        self: &Rc<Self>,
        cell: &Cell,
        order: StageTask,
        events: mpsc::UnboundedSender<StageEvent>,
    ) -> Option<CancelGuard> {
        let service = Arc::clone(&order.service);
        let spec = self.spec(&service)?;
        let key = QueueKey { cell: cell.clone(), service };
        let guard = self.push(&key, spec, order, events);
        self.pump(&key);
        Some(guard)
    }

    fn push(
        self: &Rc<Self>,
        key: &QueueKey,
        spec: PieceServerSpec,
        order: StageTask,
        events: mpsc::UnboundedSender<StageEvent>,
    ) -> CancelGuard {
        let pieces = order.pieces;
        let batch = Rc::new(PieceGroup::new(self.next_id(), order, events));
        let mut ids = Vec::new();
        self.with_queue(key, spec, |queue| {
            for piece in 0..pieces {
                let id = self.next_id();
                let job = Piece::new(&batch, piece);
                queue.pieces.push(job.queued_piece(id, None));
                queue.jobs.insert(id, job);
                ids.push(id);
            }
        });
        let batcher = Rc::clone(self);
        CancelGuard { batcher, key: key.clone(), ids, batch }
    }

    fn with_queue<T>(
        &self,
        key: &QueueKey,
        spec: PieceServerSpec,
        use_queue: impl FnOnce(&mut Queue) -> T,
    ) -> T {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_or_insert_with(key.clone(), || Queue {
            pieces: PieceQueue::new(spec),
            jobs: SortedMap::new(),
            version: CellsVersion::default(),
        });
        queue.pieces.set_spec(spec);
        self.refresh(key, queue);
        use_queue(queue)
    }

    /// Returns the throughput of the servers of a service in a cell.
    #[must_use]
    pub fn throughput(&self, cell: &Cell, service: &str) -> Throughput {
        let key = QueueKey { cell: cell.clone(), service: Arc::from(service) };
        let Some(spec) = self.spec(service) else {
            return Throughput {
                pieces_per_s: 0.0,
                call_time: Duration::ZERO,
            };
        };
        self.with_queue(&key, spec, |queue| queue.pieces.throughput())
    }

    /// Returns the expected wait for a call to the servers of a service in a
    /// cell.
    #[must_use]
    pub fn expected_wait(&self, cell: &Cell, service: &Arc<str>) -> Duration {
        let service = Arc::clone(service);
        let key = QueueKey { cell: cell.clone(), service };
        let queues = self.queues.borrow();
        queues
            .get(&key)
            .map_or(Duration::ZERO, |queue| queue.pieces.expected_wait())
    }

    /// Returns the configured cost and capacity of a server of a service;
    /// `None` if the service does not produce pieces.
    #[must_use]
    pub fn spec(&self, service: &str) -> Option<PieceServerSpec> {
        match self.blackboard.config()?.services.get(service)?.work {
            ServiceWork::Pieces(spec) => Some(spec),
            ServiceWork::Requests => None,
        }
    }

    /// Updates the servers of a queue if the list has changed.
    fn refresh(&self, key: &QueueKey, queue: &mut Queue) {
        let version = self.blackboard.cells_version();
        if queue.version == version {
            return;
        }
        queue.version = version;
        let cells = self.blackboard.cells();
        let servers = self.blackboard.servers.borrow();
        let bars = self.blackboard.availability.borrow();
        let servers = servers
            .ready_in_service(&key.service)
            .filter(|server| cells.contains(&key.cell, server))
            .filter(|server| !bars.is_leaving(server));
        let names = servers.clone();
        let names = names.map(|s| (Arc::clone(&s.name), Arc::clone(&s.zone)));
        queue.pieces.set_servers(names);
        for server in servers {
            if let Some(until) = bars.paused_until(server) {
                queue.pieces.pause_until(&server.name, until);
            }
        }
    }

    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    fn waiting(&self, key: &QueueKey) -> usize {
        let queues = self.queues.borrow();
        queues.get(key).map_or(0, |queue| queue.pieces.waiting_count())
    }

    /// Checks all waiting pieces: fails those that cannot meet their deadline,
    /// and starts calls to servers whose pause is over.
    pub fn dispatch_all(self: &Rc<Self>) {
        let waiting: Vec<QueueKey> = self
            .queues
            .borrow()
            .iter()
            .filter(|(_, queue)| queue.pieces.waiting_count() > 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in waiting {
            self.pump(&key);
        }
    }

    /// Fails pieces that cannot meet their deadline and starts calls to idle
    /// servers.
    fn pump(self: &Rc<Self>, key: &QueueKey) {
        let now = self.blackboard.now();
        let mut late = Vec::new();
        let mut calls = Vec::new();
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            self.refresh(key, queue);
            for id in queue.pieces.shed_infeasible(now) {
                late.extend(queue.jobs.remove(&id));
            }
            while let Some(call) = queue.pieces.next_call(now) {
                let jobs: Vec<(u64, Piece)> = call
                    .ids
                    .iter()
                    .filter_map(|id| Some((*id, queue.jobs.get(id)?.clone())))
                    .collect();
                calls.push((call, jobs));
            }
        }
        for job in late {
            self.fail(&job, StageFailure::Late);
        }
        for (call, jobs) in calls {
            let batcher = Rc::clone(self);
            let key = key.clone();
            tokio::task::spawn_local(async move {
                batcher.run_call(key, call, jobs).await;
            });
        }
    }

    fn fail(&self, job: &Piece, failure: StageFailure) {
        self.queue_release(job.fail(failure));
    }

    async fn run_call(
        self: Rc<Self>,
        key: QueueKey,
        call: Call,
        jobs: Vec<(u64, Piece)>,
    ) {
        let began = self.blackboard.now();
        let server =
            self.blackboard.servers.borrow().get(&call.server).cloned();
        let outcomes = match server {
            Some(server) if self.blackboard.accepts_work(&server) => {
                self.call(&key, &server, &call, &jobs).await
            }
            _ => {
                let cause = "the server accepts no work".to_owned();
                Err(CallFailure::NotSent(cause))
            }
        };
        self.end_call(&key, &call, jobs, began, outcomes);
        self.pump(&key);
    }

    fn end_call(
        &self,
        key: &QueueKey,
        call: &Call,
        jobs: Vec<(u64, Piece)>,
        began: Instant,
        outcomes: Result<Vec<PieceOutcome>, CallFailure>,
    ) {
        let now = self.blackboard.now();
        let made: Vec<Arc<str>> = outcomes
            .iter()
            .flatten()
            .filter_map(|outcome| match outcome {
                PieceOutcome::Completed(reference) => {
                    Some(Arc::clone(reference))
                }
                _ => None,
            })
            .collect();
        log::info!(
            "collector: cell={} service={} server={} pieces={} made={} \
             expected_ms={} ms={} waiting={}",
            CellName(&key.cell),
            key.service,
            call.server,
            call.ids.len(),
            made.len(),
            call.expected.as_millis(),
            now.duration_since(began).as_millis(),
            self.waiting(key),
        );
        let end = match &outcomes {
            Ok(_) => CallOutcome::Completed,
            Err(_) => CallOutcome::Refused,
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            let ended = CallReport {
                server: &call.server,
                outcome: end,
                elapsed: now.duration_since(began),
                expected: call.expected,
                result_bytes: call.result_bytes,
                results: &made,
            };
            queue.pieces.record_call_end(now, &ended);
        }
        match outcomes {
            Ok(outcomes) => {
                self.ended.borrow_mut().remove(&*call.server);
                self.learn_fetching(&outcomes);
                for ((id, job), outcome) in jobs.into_iter().zip(outcomes) {
                    self.end_piece(key, &call.server, id, job, outcome);
                }
            }
            Err(failure) => {
                let cause = failure.to_string();
                log::info!(
                    "collector: service={} server={} pieces={} failed: {cause}",
                    key.service,
                    call.server,
                    call.ids.len()
                );
                Metrics::count(
                    &self.metrics.pieces,
                    &key.service,
                    "call_failed",
                );
                if let CallFailure::ServerExited(_) = failure {
                    self.process_ended(&call.server);
                }
                for (id, job) in jobs {
                    log_call_failed(key, &call.server, &job, &cause);
                    match failure {
                        CallFailure::ServerExited(_)
                        | CallFailure::NotSent(_) => {
                            self.put_back(key, &call.server, id, job);
                        }
                        CallFailure::Sent(_) => {
                            self.try_again(key, &call.server, id, job);
                        }
                    }
                }
            }
        }
    }

    /// Records whether inputs were released before a server had fetched them.
    fn learn_fetching(&self, outcomes: &[PieceOutcome]) {
        let mut times = self.fetch_times.borrow_mut();
        if outcomes.contains(&PieceOutcome::InputGone) {
            times.record_missing_input();
        } else {
            times.record_fetched();
        }
    }

    fn end_piece(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        job: Piece,
        outcome: PieceOutcome,
    ) {
        let maker = Arc::clone(server);
        match outcome {
            PieceOutcome::Completed(reference) => {
                let result = ResultHandle { reference, producer: maker };
                if job.is_finished() {
                    return self.queue_release(vec![result]);
                }
                Metrics::count(&self.metrics.pieces, &key.service, "made");
                self.forget(key, id);
                job.complete(result);
            }
            PieceOutcome::Late => {
                self.forget(key, id);
                self.fail(&job, StageFailure::Late);
            }
            PieceOutcome::InputGone => {
                log_failed(key, server, &job, "input_gone");
                self.forget(key, id);
                self.fail(&job, StageFailure::InputsGone);
            }
            PieceOutcome::NoRoom => {
                let now = self.blackboard.now();
                if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
                    queue.pieces.record_out_of_capacity(now, server);
                }
                Metrics::count(&self.metrics.pieces, &key.service, "no_room");
                self.try_again(key, server, id, job);
            }
            PieceOutcome::Failed => {
                log_failed(key, server, &job, "failed");
                Metrics::count(&self.metrics.pieces, &key.service, "failed");
                self.try_again(key, server, id, job);
            }
        }
    }

    fn forget(&self, key: &QueueKey, id: u64) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.jobs.remove(&id);
        }
    }

    /// Handles the exit of a server's process: pieces that need inputs held
    /// there fail, so that their requests restart from the lost inputs.
    fn process_ended(&self, server: &Arc<str>) {
        let now = self.blackboard.now();
        {
            let mut ended = self.ended.borrow_mut();
            ended.retain(|_, at| now.duration_since(*at) < ENDED_FOR);
            ended.insert(Arc::clone(server), now);
        }
        let mut lost = Vec::new();
        for (key, queue) in self.queues.borrow_mut().iter_mut() {
            queue.pieces.record_process_end(server);
            for id in queue.pieces.take_with_lost_inputs(server) {
                let job = queue.jobs.remove(&id);
                lost.extend(job.map(|job| (key.clone(), job)));
            }
        }
        for (key, job) in lost {
            log_failed(&key, server, &job, "input_maker_ended");
            self.fail(&job, StageFailure::InputsGone);
        }
    }

    /// Returns whether the last call to a server has shown that its process
    /// has exited.
    #[must_use]
    pub fn has_server_exited(&self, server: &str) -> bool {
        self.ended.borrow().contains_key(server)
    }

    /// Retries a piece if its attempts and the retry budget allow it.
    fn try_again(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        mut job: Piece,
    ) {
        if job.is_finished() {
            return;
        }
        job.attempts += 1;
        let allowed = job.attempts < MAX_TRIES;
        if !allowed || !self.blackboard.try_spend_retry(&key.service) {
            let outcome =
                if allowed { "no_retry_budget" } else { "tried_too_often" };
            log_failed(key, server, &job, outcome);
            self.forget(key, id);
            return self.fail(&job, StageFailure::Failed);
        }
        self.put_back(key, server, id, job);
    }

    /// Queues a piece again, to be produced by another server.
    fn put_back(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        job: Piece,
    ) {
        if job.is_finished() {
            return;
        }
        if job.inputs_released() {
            log_failed(key, server, &job, "inputs_released");
            self.forget(key, id);
            return self.fail(&job, StageFailure::InputsGone);
        }
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.pieces.push(job.queued_piece(id, Some(Arc::clone(server))));
            queue.jobs.insert(id, job);
        }
    }
}

/// Logs the failure of a call for one of its pieces, under the id of the
/// piece's request.
fn log_call_failed(
    key: &QueueKey,
    server: &Arc<str>,
    job: &Piece,
    cause: &str,
) {
    if !job.is_finished() {
        log::info!(
            "pieces: id={} stage={} piece={} service={} server={server} \
             outcome=call_failed tries={} cause={cause:?}",
            job.task().attempt,
            job.task().stage,
            job.number(),
            key.service,
            job.attempts
        );
    }
}

/// Logs the failure of a piece under the id of its request.
fn log_failed(
    key: &QueueKey,
    server: &Arc<str>,
    job: &Piece,
    outcome: &'static str,
) {
    if !job.is_finished() {
        log::info!(
            "pieces: id={} stage={} piece={} service={} server={server} \
             outcome={outcome} tries={}",
            job.task().attempt,
            job.task().stage,
            job.number(),
            key.service,
            job.attempts
        );
    }
}
