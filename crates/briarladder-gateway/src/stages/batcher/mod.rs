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
    server_client::ServerClient,
};

mod calls;
mod limits;
mod log_lines;
mod recent_responses;
mod releases;

use self::{
    calls::{CallFailure, CallResults},
    log_lines::{log_call_failed, log_piece_failed},
    recent_responses::RecentResponses,
};

use super::piece_group::{
    Piece, PieceGroup, StageEvent, StageFailure, StageTask,
};

/// How long the exit of a server's process is remembered: longer than the
/// lifetime of its results.
const EXIT_RETENTION: Duration = Duration::from_secs(10);

/// Attempts to produce a piece.
const MAX_ATTEMPTS: u32 = 4;

/// Identifies the queue of a service in a cell.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    cell: Cell,
    service: Arc<str>,
}

struct ServiceQueue {
    piece_queue: PieceQueue,
    pieces: SortedMap<u64, Piece>,
    /// The version that the servers of `piece_queue` were computed from.
    version: CellsVersion,
}

/// Batches pieces of many requests into calls to backend servers.
pub struct Batcher {
    blackboard: Rc<Blackboard>,
    dialect: Rc<dyn Dialect>,
    servers: Rc<ServerClient>,
    metrics: Rc<Metrics>,
    queues: RefCell<SortedMap<QueueKey, ServiceQueue>>,
    /// Estimates how long servers take to fetch the inputs of a call.
    fetch_estimator: RefCell<FetchTimeEstimator>,
    /// The servers whose process has exited, and when that was detected.
    exited: RefCell<SortedMap<Arc<str>, Instant>>,
    /// The last responses, to detect one that is sent again.
    recent_responses: RefCell<RecentResponses>,
    next_id: StdCell<u64>,
    release_queue: RefCell<Vec<ResultHandle>>,
    release_queued: Notify,
}

/// Removes the pieces of a stage from their queue on drop, when the requester
/// leaves.
pub struct CancelGuard {
    batcher: Rc<Batcher>,
    key: QueueKey,
    ids: Vec<u64>,
    group: Rc<PieceGroup>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let completed = self.group.cancel();
        self.batcher.queue_release(completed);
        let mut queues = self.batcher.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(&self.key) {
            queue.piece_queue.cancel(&self.ids);
            for id in &self.ids {
                queue.pieces.remove(id);
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
        servers: &Rc<ServerClient>,
        metrics: &Rc<Metrics>,
    ) -> Rc<Batcher> {
        Rc::new(Batcher {
            blackboard: Rc::clone(blackboard),
            dialect: Rc::clone(dialect),
            servers: Rc::clone(servers),
            metrics: Rc::clone(metrics),
            queues: RefCell::default(),
            fetch_estimator: RefCell::default(),
            exited: RefCell::default(),
            recent_responses: RefCell::default(),
            next_id: StdCell::new(0),
            release_queue: RefCell::default(),
            release_queued: Notify::new(),
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
        task: StageTask,
        events: mpsc::UnboundedSender<StageEvent>,
    ) -> Option<CancelGuard> {
        let service = Arc::clone(&task.service);
        let spec = self.spec(&service)?;
        let key = QueueKey { cell: cell.clone(), service };
        let guard = self.push(&key, spec, task, events);
        self.dispatch(&key);
        Some(guard)
    }

    fn push(
        self: &Rc<Self>,
        key: &QueueKey,
        spec: PieceServerSpec,
        task: StageTask,
        events: mpsc::UnboundedSender<StageEvent>,
    ) -> CancelGuard {
        let piece_count = task.pieces;
        let group = Rc::new(PieceGroup::new(self.next_id(), task, events));
        let mut ids = Vec::new();
        self.with_queue(key, spec, |queue| {
            for number in 0..piece_count {
                let id = self.next_id();
                let piece = Piece::new(&group, number);
                queue.piece_queue.push(piece.queued_piece(id, None));
                queue.pieces.insert(id, piece);
                ids.push(id);
            }
        });
        let batcher = Rc::clone(self);
        CancelGuard { batcher, key: key.clone(), ids, group }
    }

    fn with_queue<T>(
        &self,
        key: &QueueKey,
        spec: PieceServerSpec,
        use_queue: impl FnOnce(&mut ServiceQueue) -> T,
    ) -> T {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_or_insert_with(key.clone(), || ServiceQueue {
            piece_queue: PieceQueue::new(spec),
            pieces: SortedMap::new(),
            version: CellsVersion::default(),
        });
        queue.piece_queue.set_spec(spec);
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
        self.with_queue(&key, spec, |queue| queue.piece_queue.throughput())
    }

    /// Returns the expected wait for a call to servers of a service in a cell.
    #[must_use]
    pub fn expected_wait(&self, cell: &Cell, service: &Arc<str>) -> Duration {
        let service = Arc::clone(service);
        let key = QueueKey { cell: cell.clone(), service };
        let queues = self.queues.borrow();
        queues
            .get(&key)
            .map_or(Duration::ZERO, |queue| queue.piece_queue.expected_wait())
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

    /// Updates the servers of a queue if the list has changed. What waits in a
    /// cell of an evacuated zone goes to the servers of the other zones.
    fn refresh(&self, key: &QueueKey, queue: &mut ServiceQueue) {
        let version = self.blackboard.cells_version();
        if queue.version == version {
            return;
        }
        queue.version = version;
        let cells = self.blackboard.cells();
        let servers = self.blackboard.servers.borrow();
        let availability = self.blackboard.availability.borrow();
        let evacuated = self.blackboard.evacuated_zones.borrow();
        let cell_zone = key.cell.zone.as_deref();
        let is_left = cell_zone.is_some_and(|zone| evacuated.contains(zone));
        let servers = servers
            .ready_in_service(&key.service)
            .filter(|server| !evacuated.contains(&server.zone))
            .filter(|server| is_left || cells.contains(&key.cell, server))
            .filter(|server| !availability.is_leaving(server));
        let names = servers.clone();
        let names = names.map(|s| (Arc::clone(&s.name), Arc::clone(&s.zone)));
        queue.piece_queue.set_servers(names);
        for server in servers {
            if let Some(until) = availability.paused_until(server) {
                queue.piece_queue.pause_until(&server.name, until);
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
        queues.get(key).map_or(0, |queue| queue.piece_queue.waiting_count())
    }

    /// Checks all waiting pieces: fails those that cannot meet their deadline,
    /// and starts calls to servers whose pause is over.
    pub fn dispatch_all(self: &Rc<Self>) {
        let waiting: Vec<QueueKey> = self
            .queues
            .borrow()
            .iter()
            .filter(|(_, queue)| queue.piece_queue.waiting_count() > 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in waiting {
            self.dispatch(&key);
        }
    }

    /// Fails pieces that cannot meet their deadline and starts calls to idle
    /// servers.
    fn dispatch(self: &Rc<Self>, key: &QueueKey) {
        let now = self.blackboard.now();
        let mut late = Vec::new();
        let mut calls = Vec::new();
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            self.refresh(key, queue);
            self.apply_limits(key, queue);
            for id in queue.piece_queue.shed_infeasible(now) {
                late.extend(queue.pieces.remove(&id));
            }
            while let Some(call) = queue.piece_queue.next_call(now) {
                self.take_place(queue, &call.server);
                let pieces: Vec<(u64, Piece)> = call
                    .ids
                    .iter()
                    .filter_map(|id| {
                        Some((*id, queue.pieces.get(id)?.clone()))
                    })
                    .collect();
                calls.push((call, pieces));
            }
        }
        for piece in late {
            self.fail(&piece, StageFailure::Late);
        }
        for (call, pieces) in calls {
            let batcher = Rc::clone(self);
            let key = key.clone();
            tokio::task::spawn_local(async move {
                batcher.run_call(key, call, pieces).await;
            });
        }
    }

    fn fail(&self, piece: &Piece, failure: StageFailure) {
        self.queue_release(piece.fail(failure));
    }

    async fn run_call(
        self: Rc<Self>,
        key: QueueKey,
        call: Call,
        pieces: Vec<(u64, Piece)>,
    ) {
        let started_at = self.blackboard.now();
        let server =
            self.blackboard.servers.borrow().get(&call.server).cloned();
        let results = match server {
            Some(server)
                if self.blackboard.may_send(&server, &key.cell.regions) =>
            {
                self.call(&key, &server, &call, &pieces).await
            }
            _ => {
                let cause = "the server accepts no work".to_owned();
                Err(CallFailure::NotSent(cause))
            }
        };
        self.finish_call(&key, &call, pieces, started_at, results);
        self.dispatch(&key);
    }

    fn finish_call(
        &self,
        key: &QueueKey,
        call: &Call,
        pieces: Vec<(u64, Piece)>,
        started_at: Instant,
        results: Result<CallResults, CallFailure>,
    ) {
        let now = self.blackboard.now();
        let load = results.as_ref().ok().and_then(|results| results.load);
        let outcomes = results.map(|results| results.outcomes);
        let completed: Vec<Arc<str>> = outcomes
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
             limit={} expected_ms={} ms={} work_percent={} waiting={}",
            CellName(&key.cell),
            key.service,
            call.server,
            call.ids.len(),
            completed.len(),
            call.limit,
            call.expected.as_millis(),
            now.duration_since(started_at).as_millis(),
            load.and_then(|load| load.work_percent).map_or(-1, i64::from),
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
                elapsed: now.duration_since(started_at),
                expected: call.expected,
                result_bytes: call.result_bytes,
                results: &completed,
                load,
            };
            queue.piece_queue.record_call_end(now, &ended);
        }
        match outcomes {
            Ok(outcomes) => {
                self.exited.borrow_mut().remove(&*call.server);
                self.record_fetching(&outcomes);
                for ((id, piece), outcome) in pieces.into_iter().zip(outcomes)
                {
                    self.finish_piece(key, &call.server, id, piece, outcome);
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
                    self.handle_exit(&call.server);
                }
                for (id, piece) in pieces {
                    log_call_failed(key, &call.server, &piece, &cause);
                    match failure {
                        CallFailure::ServerExited(_)
                        | CallFailure::NotSent(_) => {
                            self.requeue(key, &call.server, id, piece);
                        }
                        CallFailure::Sent(_) => {
                            self.retry(key, &call.server, id, piece);
                        }
                    }
                }
            }
        }
    }

    /// Records whether inputs were released before a server had fetched them.
    fn record_fetching(&self, outcomes: &[PieceOutcome]) {
        let mut fetch_estimator = self.fetch_estimator.borrow_mut();
        if outcomes.contains(&PieceOutcome::InputGone) {
            fetch_estimator.record_missing_input();
        } else {
            fetch_estimator.record_fetched();
        }
    }

    fn finish_piece(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        piece: Piece,
        outcome: PieceOutcome,
    ) {
        let producer = Arc::clone(server);
        match outcome {
            PieceOutcome::Completed(reference) => {
                let result = ResultHandle { reference, producer };
                if piece.is_finished() {
                    return self.queue_release(vec![result]);
                }
                Metrics::count(&self.metrics.pieces, &key.service, "made");
                self.remove_piece(key, id);
                piece.complete(result);
            }
            PieceOutcome::Late => {
                self.remove_piece(key, id);
                self.fail(&piece, StageFailure::Late);
            }
            PieceOutcome::InputGone => {
                log_piece_failed(key, server, &piece, "input_gone");
                self.remove_piece(key, id);
                self.fail(&piece, StageFailure::InputsGone);
            }
            PieceOutcome::NoRoom => {
                let now = self.blackboard.now();
                if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
                    queue.piece_queue.record_out_of_capacity(now, server);
                }
                Metrics::count(&self.metrics.pieces, &key.service, "no_room");
                self.retry(key, server, id, piece);
            }
            PieceOutcome::Failed => {
                log_piece_failed(key, server, &piece, "failed");
                Metrics::count(&self.metrics.pieces, &key.service, "failed");
                self.retry(key, server, id, piece);
            }
        }
    }

    fn remove_piece(&self, key: &QueueKey, id: u64) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.pieces.remove(&id);
        }
    }

    /// Handles the exit of a server's process: pieces that need inputs held
    /// there fail, so that their requests restart from the lost inputs.
    fn handle_exit(&self, server: &Arc<str>) {
        let now = self.blackboard.now();
        {
            let mut ended = self.exited.borrow_mut();
            ended.retain(|_, at| now.duration_since(*at) < EXIT_RETENTION);
            ended.insert(Arc::clone(server), now);
        }
        let mut failed = Vec::new();
        for (key, queue) in self.queues.borrow_mut().iter_mut() {
            queue.piece_queue.record_process_end(server);
            for id in queue.piece_queue.take_with_lost_inputs(server) {
                let piece = queue.pieces.remove(&id);
                failed.extend(piece.map(|piece| (key.clone(), piece)));
            }
        }
        for (key, piece) in failed {
            log_piece_failed(&key, server, &piece, "input_maker_ended");
            self.fail(&piece, StageFailure::InputsGone);
        }
    }

    /// Returns whether the last call to a server has shown that its process
    /// has exited.
    #[must_use]
    pub fn has_server_exited(&self, server: &str) -> bool {
        self.exited.borrow().contains_key(server)
    }

    /// Retries a piece if its attempts and the retry budget allow it.
    fn retry(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        mut piece: Piece,
    ) {
        if piece.is_finished() {
            return;
        }
        piece.attempts += 1;
        let allowed = piece.attempts < MAX_ATTEMPTS;
        if !allowed || !self.blackboard.try_spend_retry(&key.service) {
            let outcome =
                if allowed { "no_retry_budget" } else { "tried_too_often" };
            log_piece_failed(key, server, &piece, outcome);
            self.remove_piece(key, id);
            return self.fail(&piece, StageFailure::Failed);
        }
        self.requeue(key, server, id, piece);
    }

    /// Queues a piece again, to be produced by another server.
    fn requeue(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        piece: Piece,
    ) {
        if piece.is_finished() {
            return;
        }
        if piece.inputs_released() {
            log_piece_failed(key, server, &piece, "inputs_released");
            self.remove_piece(key, id);
            return self.fail(&piece, StageFailure::InputsGone);
        }
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue
                .piece_queue
                .push(piece.queued_piece(id, Some(Arc::clone(server))));
            queue.pieces.insert(id, piece);
        }
    }
}
