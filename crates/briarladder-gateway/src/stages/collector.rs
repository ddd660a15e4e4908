//! Collecting pieces for the servers of a zone and calling them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    fleet::{
        collect::{Call, CallEnd, PieceQueue},
        config::{PieceSpec, ServiceWork},
        server::{ListedServer, ServerState},
        stages::Handle,
    },
    sorted::SortedMap,
};
use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Full};
use tokio::sync::{Notify, oneshot};

use crate::{
    board::Board,
    dialect::{Dialect, PieceCall, PieceOutcome},
    metrics::Metrics,
    peers::messages::{
        PieceReply, PiecesReply, PiecesRequest, ReleasedResult,
    },
    pool::{Freshness, Pool},
};

use super::batch::{Batch, Job};

/// A call that takes this many times what is expected is given up.
const CALL_PATIENCE: u32 = 4;

/// A call is never given up sooner than this.
const MIN_CALL_PATIENCE: Duration = Duration::from_millis(900);

/// How often a piece is tried.
const MAX_TRIES: u32 = 4;

/// How often waiting pieces are looked at when no call ends: to give up those
/// that are late and to use servers whose pause is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The longest time to release results at their maker.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Which servers a queue is for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    service: Arc<str>,
    /// The zone of the servers, or all of the service.
    zone: Option<Arc<str>>,
}

struct Queue {
    pieces: PieceQueue,
    jobs: SortedMap<u64, Job>,
}

/// Collects pieces of many requests into calls.
pub struct Collector {
    board: Rc<Board>,
    dialect: Rc<dyn Dialect>,
    pool: Rc<Pool>,
    metrics: Rc<Metrics>,
    queues: RefCell<SortedMap<QueueKey, Queue>>,
    next_id: Cell<u64>,
    released: RefCell<Vec<Handle>>,
    released_some: Notify,
}

/// Removes the pieces of a request from their queue when the requester
/// leaves.
struct CancelGuard {
    collector: Rc<Collector>,
    key: QueueKey,
    ids: Vec<u64>,
    batch: Rc<Batch>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.batch.abandon();
        let mut queues = self.collector.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(&self.key) {
            queue.pieces.cancel(&self.ids);
            for id in &self.ids {
                queue.jobs.remove(id);
            }
        }
    }
}

impl Collector {
    /// Creates a collector.
    #[must_use]
    pub fn new(
        board: &Rc<Board>,
        dialect: &Rc<dyn Dialect>,
        pool: &Rc<Pool>,
        metrics: &Rc<Metrics>,
    ) -> Rc<Collector> {
        Rc::new(Collector {
            board: Rc::clone(board),
            dialect: Rc::clone(dialect),
            pool: Rc::clone(pool),
            metrics: Rc::clone(metrics),
            queues: RefCell::default(),
            next_id: Cell::new(0),
            released: RefCell::default(),
            released_some: Notify::new(),
        })
    }

    /// Makes the pieces of a request and returns what became of them.
    pub async fn collect(
        self: &Rc<Self>,
        request: PiecesRequest,
    ) -> PiecesReply {
        let key = QueueKey {
            service: Arc::clone(&request.service),
            zone: request.zone.clone(),
        };
        let Some(spec) = self.spec(&key.service) else {
            let failed = vec![PieceReply::Failed];
            return PiecesReply { pieces: failed, wait_ms: 0 };
        };
        let (done, all) = oneshot::channel();
        let guard = self.push(&key, spec, request, done);
        self.pump(&key);
        let pieces = all.await.unwrap_or_default();
        drop(guard);
        PiecesReply { pieces, wait_ms: self.wait_ms(&key) }
    }

    fn push(
        self: &Rc<Self>,
        key: &QueueKey,
        spec: PieceSpec,
        request: PiecesRequest,
        done: oneshot::Sender<Vec<PieceReply>>,
    ) -> CancelGuard {
        let pieces = request.pieces;
        let group = self.next_id();
        let batch =
            Rc::new(Batch::new(self.board.now(), group, request, done));
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry_or_insert_with(key.clone(), || Queue {
            pieces: PieceQueue::new(spec),
            jobs: SortedMap::new(),
        });
        queue.pieces.set_spec(spec);
        let mut ids = Vec::new();
        for piece in 0..pieces {
            let id = self.next_id();
            let job = Job::new(&batch, piece);
            queue.pieces.push(job.order(id, None));
            queue.jobs.insert(id, job);
            ids.push(id);
        }
        CancelGuard {
            collector: Rc::clone(self),
            key: key.clone(),
            ids,
            batch,
        }
    }

    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    fn spec(&self, service: &str) -> Option<PieceSpec> {
        match self.board.config()?.services.get(service)?.work {
            ServiceWork::Pieces(spec) => Some(spec),
            ServiceWork::Requests => None,
        }
    }

    fn waiting(&self, key: &QueueKey) -> usize {
        let queues = self.queues.borrow();
        queues.get(key).map_or(0, |queue| queue.pieces.waiting())
    }

    fn wait_ms(&self, key: &QueueKey) -> u64 {
        let queues = self.queues.borrow();
        let wait = queues
            .get(key)
            .map_or(Duration::ZERO, |queue| queue.pieces.expected_wait());
        u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
    }

    /// Looks at all waiting pieces for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let waiting: Vec<QueueKey> = self
                .queues
                .borrow()
                .iter()
                .filter(|(_, queue)| queue.pieces.waiting() > 0)
                .map(|(key, _)| key.clone())
                .collect();
            for key in waiting {
                self.pump(&key);
            }
        }
    }

    /// Gives up late pieces and starts calls to idle servers.
    fn pump(self: &Rc<Self>, key: &QueueKey) {
        let now = self.board.now();
        let servers: Vec<(Arc<str>, Arc<str>)> = self
            .board
            .servers
            .borrow()
            .ready(&key.service)
            .filter(|server| {
                key.zone.as_ref().is_none_or(|zone| *zone == server.zone)
            })
            .map(|server| (Arc::clone(&server.name), Arc::clone(&server.zone)))
            .collect();
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(key) else { return };
        queue.pieces.set_servers(servers);
        for id in queue.pieces.take_late(now) {
            if let Some(job) = queue.jobs.remove(&id) {
                job.finish(PieceReply::Late);
            }
        }
        while let Some(call) = queue.pieces.next_call(now) {
            let jobs: Vec<(u64, Job)> = call
                .ids
                .iter()
                .filter_map(|id| Some((*id, queue.jobs.get(id)?.clone())))
                .collect();
            let collector = Rc::clone(self);
            let key = key.clone();
            tokio::task::spawn_local(async move {
                collector.run_call(key, call, jobs).await;
            });
        }
    }

    async fn run_call(
        self: Rc<Self>,
        key: QueueKey,
        call: Call,
        jobs: Vec<(u64, Job)>,
    ) {
        let began = self.board.now();
        let server = self.board.servers.borrow().get(&call.server).cloned();
        let outcomes = match server {
            Some(server) if server.state == ServerState::Ready => {
                self.call(&key, &server, &call, &jobs).await
            }
            _ => Err("the server has left".to_owned()),
        };
        self.end_call(&key, &call, jobs, began, outcomes);
        self.pump(&key);
    }

    async fn call(
        &self,
        key: &QueueKey,
        server: &ListedServer,
        call: &Call,
        jobs: &[(u64, Job)],
    ) -> Result<Vec<PieceOutcome>, String> {
        let now = self.board.now();
        let pieces: Vec<PieceCall<'_>> =
            jobs.iter().map(|(_, job)| job.piece_call(now)).collect();
        for (_, job) in jobs {
            if job.tries == 0 {
                self.board.first_sent(&key.service);
            }
        }
        let body = self.dialect.encode_pieces(&pieces);
        let path = self.dialect.pieces_path();
        let patience = (call.expected * CALL_PATIENCE).max(MIN_CALL_PATIENCE);
        let exchange = self.exchange(server, path, body);
        let answer = tokio::time::timeout(patience, exchange).await;
        let answer =
            answer.unwrap_or_else(|_| Err("no answer in time".to_owned()))?;
        let outcomes = self
            .dialect
            .decode_pieces(&answer)
            .map_err(|error| error.to_string())?;
        if outcomes.len() != jobs.len() {
            return Err(format!(
                "{} outcomes for {} pieces",
                outcomes.len(),
                jobs.len()
            ));
        }
        Ok(outcomes)
    }

    async fn exchange(
        &self,
        server: &ListedServer,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, String> {
        let host = HeaderValue::from_str(&server.address.to_string())
            .map_err(|error| error.to_string())?;
        let mut request = Request::post(path)
            .header(header::HOST, host)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        self.dialect.expect_server(request.headers_mut(), &server.name);
        let sent =
            self.pool.send(server.address, request, Freshness::Any).await;
        let (response, lease) = sent.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?;
        let facts = self.dialect.answer_head(&head, "");
        lease.give_back(facts.idle_timeout);
        if !head.status.is_success() {
            return Err(format!("refused with {}", head.status));
        }
        Ok(body.to_bytes())
    }

    fn end_call(
        &self,
        key: &QueueKey,
        call: &Call,
        jobs: Vec<(u64, Job)>,
        began: Instant,
        outcomes: Result<Vec<PieceOutcome>, String>,
    ) {
        let now = self.board.now();
        let made: Vec<Arc<str>> = outcomes
            .iter()
            .flatten()
            .filter_map(|outcome| match outcome {
                PieceOutcome::Made(reference) => Some(Arc::clone(reference)),
                _ => None,
            })
            .collect();
        log::info!(
            "collector: service={} server={} pieces={} made={} \
             expected_ms={} ms={} waiting={}",
            key.service,
            call.server,
            call.ids.len(),
            made.len(),
            call.expected.as_millis(),
            now.duration_since(began).as_millis(),
            self.waiting(key),
        );
        let end = match &outcomes {
            Ok(_) => CallEnd::Worked,
            Err(_) => CallEnd::Refused,
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.pieces.call_ended(
                now,
                &call.server,
                end,
                call.result_bytes,
                &made,
            );
        }
        match outcomes {
            Ok(outcomes) => {
                for ((id, job), outcome) in jobs.into_iter().zip(outcomes) {
                    self.end_piece(key, &call.server, id, job, outcome);
                }
            }
            Err(cause) => {
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
                for (id, job) in jobs {
                    log_failed(key, &call.server, &job, "call_failed");
                    self.try_again(key, &call.server, id, job);
                }
            }
        }
    }

    fn end_piece(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        job: Job,
        outcome: PieceOutcome,
    ) {
        let reply = match outcome {
            PieceOutcome::Made(reference) => {
                if job.has_ended() {
                    let maker = Arc::clone(server);
                    self.release_later(vec![Handle { reference, maker }]);
                    return;
                }
                Metrics::count(&self.metrics.pieces, &key.service, "made");
                PieceReply::Made { reference, maker: Arc::clone(server) }
            }
            PieceOutcome::Late => PieceReply::Late,
            PieceOutcome::InputGone => {
                log_failed(key, server, &job, "input_gone");
                PieceReply::InputGone
            }
            PieceOutcome::NoRoom => {
                let now = self.board.now();
                if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
                    queue.pieces.out_of_room(now, server);
                }
                Metrics::count(&self.metrics.pieces, &key.service, "no_room");
                return self.try_again(key, server, id, job);
            }
            PieceOutcome::Failed => {
                log_failed(key, server, &job, "failed");
                Metrics::count(&self.metrics.pieces, &key.service, "failed");
                return self.try_again(key, server, id, job);
            }
        };
        self.finish(key, id, &job, reply);
    }

    fn finish(&self, key: &QueueKey, id: u64, job: &Job, reply: PieceReply) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.jobs.remove(&id);
        }
        job.finish(reply);
    }

    /// Puts a piece back into its queue, if the retry budget allows it.
    fn try_again(
        &self,
        key: &QueueKey,
        server: &Arc<str>,
        id: u64,
        mut job: Job,
    ) {
        if job.has_ended() {
            return;
        }
        job.tries += 1;
        if job.tries >= MAX_TRIES || !self.board.try_repeat(&key.service) {
            log_failed(key, server, &job, "not_tried_again");
            return self.finish(key, id, &job, PieceReply::Failed);
        }
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.pieces.push(job.order(id, Some(Arc::clone(server))));
            queue.jobs.insert(id, job);
        }
    }

    /// Gathers results to be released.
    pub fn release_later(&self, results: Vec<Handle>) {
        if !results.is_empty() {
            self.released.borrow_mut().extend(results);
            self.released_some.notify_one();
        }
    }

    /// Waits until there are results to be released.
    pub async fn wait_released(&self) {
        self.released_some.notified().await;
    }

    /// Takes the gathered results.
    #[must_use]
    pub fn take_released(&self) -> Vec<Handle> {
        self.released.take()
    }

    /// Releases results of servers for which this daemon collects.
    pub fn release_here(self: &Rc<Self>, results: &[ReleasedResult]) {
        let mut by_maker: SortedMap<Arc<str>, Vec<Arc<str>>> =
            SortedMap::new();
        for result in results {
            by_maker
                .entry_or_insert_with(Arc::clone(&result.maker), Vec::new)
                .push(Arc::clone(&result.reference));
        }
        for (maker, references) in by_maker.iter() {
            let server = self.board.servers.borrow().get(maker).cloned();
            let Some(server) = server else { continue };
            let body = self.dialect.encode_release(references);
            let collector = Rc::clone(self);
            let references = references.clone();
            tokio::task::spawn_local(async move {
                collector.tell_released(&server, body).await;
                collector.note_released(&server, &references);
            });
        }
    }

    /// Counts the room of released results and uses it at once.
    fn note_released(
        self: &Rc<Self>,
        server: &ListedServer,
        references: &[Arc<str>],
    ) {
        let mut keys = Vec::new();
        for (key, queue) in self.queues.borrow_mut().iter_mut() {
            if key.service == server.service {
                for reference in references {
                    queue.pieces.released(&server.name, reference);
                }
                keys.push(key.clone());
            }
        }
        for key in keys {
            self.pump(&key);
        }
    }

    async fn tell_released(&self, server: &ListedServer, body: Bytes) {
        let path = self.dialect.release_path();
        let told = tokio::time::timeout(
            RELEASE_TIMEOUT,
            self.exchange(server, path, body),
        )
        .await;
        match told {
            Ok(Ok(_)) => {}
            // The maker drops the results by itself after a while.
            Ok(Err(error)) => {
                log::debug!("collector: release at {}: {error}", server.name);
            }
            Err(_) => {
                log::debug!("collector: release at {} timed out", server.name);
            }
        }
    }
}

/// Logs what became of one piece under the id of its request.
fn log_failed(
    key: &QueueKey,
    server: &Arc<str>,
    job: &Job,
    outcome: &'static str,
) {
    if !job.has_ended() {
        log::info!(
            "pieces: id={} stage={} piece={} service={} server={server} \
             outcome={outcome} tries={}",
            job.attempt(),
            job.stage(),
            job.piece(),
            key.service,
            job.tries
        );
    }
}
