//! Coordinates the stages of requests: admits requests in order and runs their
//! plans.

use std::{
    cell::{Cell as StdCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    fleet::{
        cells::{Cell, CellName},
        config::ServiceWork,
        peers::Member,
        stage_admission::{
            Admission, AdmissionTurn, QueuedRequest, RefusedRequest,
            StageAdmissionQueue, StageDemand, Throughput,
        },
        stage_waits::{MAX_WAIT, ServiceWait},
        stages::StagePlan,
    },
    sorted::SortedMap,
};
use tokio::sync::oneshot;

use crate::{
    blackboard::Blackboard,
    peers::messages::{
        ResultRef, StagesOutcome, StagesRequest, StagesResponse,
    },
};

use super::{
    batcher::Batcher,
    cells::{self, coordinator_of},
    held_results::HeldResults,
    piece_group::StageFailure,
    plan_run::{PlanOutput, PlanRun, TimeLimits},
};

/// How often waiting requests and pieces are checked without an event.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Coordinates the stages of requests for cells of servers.
pub struct Coordinator {
    blackboard: Rc<Blackboard>,
    batcher: Rc<Batcher>,
    queues: RefCell<SortedMap<Cell, StageAdmissionQueue>>,
    waiting: RefCell<SortedMap<u64, WaitingRequest>>,
    jobs: RefCell<SortedMap<u64, CompletedJob>>,
    next_id: StdCell<u64>,
}

/// A request that waits to be admitted.
struct WaitingRequest {
    cell: Cell,
    /// The demand of each stage, by stage index.
    demand: Vec<(usize, StageDemand)>,
    admission: oneshot::Sender<Result<AdmittedRequest, NotAdmitted>>,
}

/// Why a request is not admitted.
#[derive(Clone, Debug)]
enum NotAdmitted {
    /// It would wait too long.
    Late {
        /// The expected wait.
        wait: Duration,
        /// The service that it would wait for.
        service: Option<Arc<str>>,
    },
    /// Another daemon coordinates the cell now.
    Moved(Member),
}

/// Results that are held until the request has used them.
struct CompletedJob {
    /// Released on drop.
    _held: HeldResults,
    expires_at: Instant,
}

/// Removes a request from the queue if its caller disconnects.
struct QueueGuard<'a> {
    coordinator: &'a Coordinator,
    cell: &'a Cell,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.coordinator.waiting.borrow_mut().remove(&self.id).is_some() {
            self.coordinator.with_queue(self.cell, |queue| {
                queue.cancel(self.id);
            });
        }
    }
}

/// Counts a request whose stages run here as open.
struct OpenGuard<'a>(&'a Blackboard);

impl<'a> OpenGuard<'a> {
    fn new(blackboard: &'a Blackboard) -> OpenGuard<'a> {
        blackboard.open_stages.set(blackboard.open_stages.get() + 1);
        OpenGuard(blackboard)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.open_stages.set(self.0.open_stages.get() - 1);
    }
}

/// An admitted request. Its unfinished demand counts against the throughput of
/// the cell until it is dropped.
pub struct AdmittedRequest {
    coordinator: Rc<Coordinator>,
    cell: Cell,
    demand: RefCell<Vec<(usize, StageDemand)>>,
    turn: AdmissionTurn,
}

impl AdmittedRequest {
    /// Records that a stage is complete.
    pub fn record_stage_done(&self, stage: usize) {
        let mut demand = self.demand.borrow_mut();
        if let Some(at) = demand.iter().position(|(of, _)| *of == stage) {
            let (_, done) = demand.remove(at);
            drop(demand);
            self.coordinator.record_pieces_done(&self.cell, &[done]);
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let rest: Vec<StageDemand> =
            self.demand.take().into_iter().map(|(_, rest)| rest).collect();
        if !rest.is_empty() {
            self.coordinator.record_pieces_done(&self.cell, &rest);
        }
    }
}

impl Coordinator {
    /// Creates a coordinator.
    #[must_use]
    pub fn new(blackboard: &Rc<Blackboard>, batcher: Rc<Batcher>) -> Rc<Self> {
        Rc::new(Coordinator {
            blackboard: Rc::clone(blackboard),
            batcher,
            queues: RefCell::default(),
            waiting: RefCell::default(),
            jobs: RefCell::default(),
            next_id: StdCell::new(0),
        })
    }

    /// Checks waiting requests and pieces periodically. Never returns.
    pub async fn run(self: Rc<Self>) {
        let releases = Rc::clone(&self.batcher).run_releases();
        tokio::task::spawn_local(releases);
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.batcher.dispatch_all();
            let cells: Vec<Cell> = self
                .queues
                .borrow()
                .iter()
                .filter(|(_, queue)| !queue.is_empty())
                .map(|(cell, _)| cell.clone())
                .collect();
            for cell in cells {
                self.redirect_waiting(&cell);
                self.admit_ready(&cell);
            }
            let now = self.blackboard.now();
            let expired = self.remove_jobs(|_, job| job.expires_at <= now);
            drop(expired);
        }
    }

    /// Runs all stages of a request for another daemon, unless the cell has
    /// another coordinator: two coordinators that call the same servers delay
    /// each other.
    pub async fn run_stages_for_peer(
        self: &Rc<Self>,
        request: StagesRequest,
    ) -> StagesResponse {
        if !cells::update_duty(&self.blackboard, &request.cell)
            && let Some(holder) =
                coordinator_of(&self.blackboard, &request.cell)
        {
            let outcome = self.redirected(&request, holder);
            return StagesResponse { outcome, wait_ms: 0 };
        }
        self.run_stages(request).await
    }

    /// Runs all stages of a request and returns their outcome.
    pub async fn run_stages(
        self: &Rc<Self>,
        request: StagesRequest,
    ) -> StagesResponse {
        let _open = OpenGuard::new(&self.blackboard);
        let outcome = self.run_plan(&request).await;
        let services = used_services(&request);
        let wait = self.wait_for(&request.cell, services).min(MAX_WAIT);
        StagesResponse { outcome, wait_ms: millis(wait) }
    }

    async fn run_plan(
        self: &Rc<Self>,
        request: &StagesRequest,
    ) -> StagesOutcome {
        let now = self.blackboard.now();
        let Ok(plan) = StagePlan::new(&request.stages, &request.pieces) else {
            return StagesOutcome::Failed { stage: 0, inputs_gone: false };
        };
        let times = TimeLimits {
            target_at: offset(now, request.target_ms),
            deadline: now + Duration::from_millis(request.left_ms),
        };
        let run = PlanRun::new(&self.batcher, request, plan, times);
        let demand = run.demand();
        let admitted = match self.admit(request, &run, &demand, now).await {
            Ok(admitted) => admitted,
            Err(NotAdmitted::Moved(holder)) => {
                return self.redirected(request, holder);
            }
            Err(NotAdmitted::Late { wait, service }) => {
                log::info!(
                    "stages: id={} stage=0 cell={} outcome=stages_late \
                     held_ms={} service={} wait_ms={} target_ms={} left_ms={} \
                     rank={}",
                    request.attempt,
                    CellName(&request.cell),
                    self.blackboard.now().duration_since(now).as_millis(),
                    service.as_deref().unwrap_or("-"),
                    wait.as_millis(),
                    request.target_ms,
                    request.left_ms,
                    request.rank,
                );
                return StagesOutcome::Late;
            }
        };
        let expected = run.expected_time();
        let started_at = self.blackboard.now();
        match run.run(&admitted).await {
            Ok(output) => {
                let elapsed = self.blackboard.now().duration_since(started_at);
                log::info!(
                    "stages: id={} cell={} outcome=done turn={} wait_ms={} \
                     ms={} expected_ms={} target_ms={} rank={}",
                    request.attempt,
                    CellName(&request.cell),
                    admitted.turn,
                    started_at.duration_since(now).as_millis(),
                    elapsed.as_millis(),
                    expected.as_millis(),
                    request.target_ms,
                    request.rank,
                );
                self.with_queue(&request.cell, |queue| {
                    queue.record_duration(expected, elapsed);
                });
                self.hold_results(request, output)
            }
            Err(failed) => match failed.failure {
                StageFailure::Late => StagesOutcome::Late,
                StageFailure::InputsGone | StageFailure::Failed => {
                    let stage = failed.stage;
                    let inputs_gone =
                        failed.failure == StageFailure::InputsGone;
                    StagesOutcome::Failed { stage, inputs_gone }
                }
            },
        }
    }

    /// Waits until a request is admitted.
    ///
    /// # Errors
    ///
    /// If the request cannot be completed in time, or the cell has another
    /// coordinator.
    async fn admit(
        self: &Rc<Self>,
        request: &StagesRequest,
        run: &PlanRun<'_>,
        demand: &[(usize, StageDemand)],
        now: Instant,
    ) -> Result<AdmittedRequest, NotAdmitted> {
        let id = self.next_id();
        let cell = &request.cell;
        cells::update_duty(&self.blackboard, cell);
        let queued = QueuedRequest {
            id,
            rank: request.rank,
            demand: demand.iter().map(|(_, demand)| demand.clone()).collect(),
            stages_time: run.expected_time(),
            target_at: run.times().target_at,
            deadline: run.times().deadline,
            arrived_at: now,
        };
        let (admission, admission_result) = oneshot::channel();
        let waiting = WaitingRequest {
            cell: cell.clone(),
            demand: demand.to_vec(),
            admission,
        };
        self.waiting.borrow_mut().insert(id, waiting);
        self.with_queue(cell, |queue| queue.push(queued));
        let guard = QueueGuard { coordinator: self, cell, id };
        self.admit_ready(cell);
        // The sender is dropped without a message only when the process exits.
        let decision = admission_result.await;
        drop(guard);
        decision.unwrap_or(Err(NotAdmitted::Late {
            wait: Duration::ZERO,
            service: None,
        }))
    }

    /// Refuses requests that cannot be completed in time, and admits others.
    fn admit_ready(self: &Rc<Self>, cell: &Cell) {
        let now = self.blackboard.now();
        let throughput = self.throughput(cell);
        let (refused, admitted) = self.with_queue(cell, |queue| {
            let refused = queue.shed_infeasible(now, &throughput);
            let admitted: Vec<Admission> =
                std::iter::from_fn(|| queue.admit(now, &throughput)).collect();
            (refused, admitted)
        });
        for RefusedRequest { id, wait, service } in refused {
            let waiting = self.waiting.borrow_mut().remove(&id);
            if let Some(waiting) = waiting {
                let late = NotAdmitted::Late { wait, service };
                // Sending fails only if the caller has disconnected.
                let _ = waiting.admission.send(Err(late));
            }
        }
        for Admission { id, turn } in admitted {
            let waiting = self.waiting.borrow_mut().remove(&id);
            let Some(waiting) = waiting else { continue };
            // The demand of an admitted request is counted until the guard is
            // dropped, even if the caller disconnects before it receives the
            // guard.
            let admitted = AdmittedRequest {
                coordinator: Rc::clone(self),
                cell: waiting.cell,
                demand: RefCell::new(waiting.demand),
                turn,
            };
            let _ = waiting.admission.send(Ok(admitted));
        }
    }

    /// Redirects the requests that wait for a cell to its current coordinator,
    /// since two coordinators that call the same servers delay each other.
    fn redirect_waiting(&self, cell: &Cell) {
        let local_name =
            Arc::clone(&self.blackboard.peers.borrow().local_member().name);
        let holder = coordinator_of(&self.blackboard, cell);
        let Some(holder) = holder.filter(|holder| holder.name != local_name)
        else {
            return;
        };
        let mut waiting = self.waiting.borrow_mut();
        let ids: Vec<u64> = waiting
            .iter()
            .filter(|(_, waiting)| waiting.cell == *cell)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(waiting) = waiting.remove(&id) else { continue };
            self.with_queue(cell, |queue| queue.cancel(id));
            // Sending fails only if the caller has disconnected.
            let moved = Err(NotAdmitted::Moved(holder.clone()));
            let _ = waiting.admission.send(moved);
        }
    }

    fn redirected(
        &self,
        request: &StagesRequest,
        holder: Member,
    ) -> StagesOutcome {
        log::info!(
            "stages: id={} cell={} outcome=moved coordinator={}",
            request.attempt,
            CellName(&request.cell),
            holder.name,
        );
        let by = self.blackboard.peers.borrow().local_member().clone();
        StagesOutcome::Moved { holder, by }
    }

    fn record_pieces_done(self: &Rc<Self>, cell: &Cell, done: &[StageDemand]) {
        self.with_queue(cell, |queue| {
            for demand in done {
                queue.record_pieces_done(demand);
            }
        });
        self.admit_ready(cell);
    }

    /// Returns the longest expected wait of a new request over all cells that
    /// this daemon coordinates.
    #[must_use]
    pub fn max_expected_wait(&self) -> Duration {
        let cells: Vec<Cell> = self.queues.borrow().keys().cloned().collect();
        let waits = cells.iter().map(|cell| self.expected_wait(cell));
        waits.max().unwrap_or_default()
    }

    /// Returns the expected wait of a new request in a cell.
    #[must_use]
    pub fn expected_wait(&self, cell: &Cell) -> Duration {
        let throughput = self.throughput(cell);
        let now = self.blackboard.now();
        self.with_queue(cell, |queue| queue.expected_wait(now, &throughput))
    }

    /// Returns how long a new request waits in a cell for the services that it
    /// needs.
    #[must_use]
    pub fn wait_for<'a>(
        &self,
        cell: &Cell,
        services: impl IntoIterator<Item = &'a Arc<str>>,
    ) -> Duration {
        let waits = services
            .into_iter()
            .map(|service| self.service_wait(cell, service));
        waits.max().unwrap_or_default()
    }

    /// Returns how long a new request waits for each service of a cell.
    #[must_use]
    pub fn service_waits(&self, cell: &Cell) -> Vec<ServiceWait> {
        let Some(config) = self.blackboard.config() else { return Vec::new() };
        let services = config.services.iter();
        let producers = services.filter(|(_, service)| {
            matches!(service.work, ServiceWork::Pieces(_))
        });
        producers
            .map(|(name, _)| {
                ServiceWait::new(name, self.service_wait(cell, name))
            })
            .collect()
    }

    fn service_wait(&self, cell: &Cell, service: &str) -> Duration {
        let throughput = self.batcher.throughput(cell, service);
        let now = self.blackboard.now();
        self.with_queue(cell, |queue| {
            queue.expected_wait_for(now, service, &throughput)
        })
    }

    /// Returns a function that computes the throughput of a service in a cell,
    /// and caches it.
    fn throughput(&self, cell: &Cell) -> impl Fn(&str) -> Throughput {
        let cache: RefCell<SortedMap<Arc<str>, Throughput>> =
            RefCell::default();
        move |service: &str| {
            if let Some(throughput) = cache.borrow().get(service) {
                return *throughput;
            }
            let throughput = self.batcher.throughput(cell, service);
            cache.borrow_mut().insert(Arc::from(service), throughput);
            throughput
        }
    }

    /// Holds results until the request has used them.
    fn hold_results(
        &self,
        request: &StagesRequest,
        output: PlanOutput,
    ) -> StagesOutcome {
        let lifetimes = request.stages.iter().filter_map(|stage| {
            Some(self.batcher.spec(&stage.service)?.result_lifetime)
        });
        let expires_at =
            self.blackboard.now() + lifetimes.max().unwrap_or_default();
        let mut makers = Vec::new();
        let results = output
            .results
            .into_iter()
            .map(|result| ResultRef {
                maker: index_of(&mut makers, result.producer),
                reference: result.reference,
            })
            .collect();
        let job = self.next_id();
        let completed = CompletedJob { _held: output.held, expires_at };
        self.jobs.borrow_mut().insert(job, completed);
        StagesOutcome::Done { job, makers, results }
    }

    /// Releases the results of jobs.
    pub fn release_jobs(&self, jobs: &[u64]) {
        let released = self.remove_jobs(|id, _| jobs.contains(id));
        drop(released);
    }

    fn remove_jobs(
        &self,
        selected: impl Fn(&u64, &CompletedJob) -> bool,
    ) -> Vec<CompletedJob> {
        let mut jobs = self.jobs.borrow_mut();
        let ids: Vec<u64> = jobs
            .iter()
            .filter(|(id, job)| selected(id, job))
            .map(|(id, _)| *id)
            .collect();
        ids.iter().filter_map(|id| jobs.remove(id)).collect()
    }

    fn with_queue<T>(
        &self,
        cell: &Cell,
        use_queue: impl FnOnce(&mut StageAdmissionQueue) -> T,
    ) -> T {
        let mut queues = self.queues.borrow_mut();
        let queue = queues
            .get_or_insert_with(cell.clone(), StageAdmissionQueue::default);
        use_queue(queue)
    }

    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }
}

/// Iterates over the services that a request needs.
fn used_services(request: &StagesRequest) -> impl Iterator<Item = &Arc<str>> {
    let stages = request.stages.iter().zip(&request.pieces);
    stages.filter(|(_, pieces)| **pieces > 0).map(|(stage, _)| &stage.service)
}

/// Returns the index of a name in a list, after adding it if it is missing.
fn index_of<T: PartialEq>(names: &mut Vec<T>, name: T) -> usize {
    names.iter().position(|cache| *cache == name).unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    })
}

/// Returns the time this many milliseconds after `now`, or before it if
/// negative.
fn offset(now: Instant, ms: i64) -> Instant {
    let distance = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 {
        now.checked_sub(distance).unwrap_or(now)
    } else {
        now + distance
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
