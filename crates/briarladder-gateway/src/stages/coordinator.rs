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
        peers::Member,
        stage_admission::{
            QueuedRequest, StageAdmissionQueue, StageDemand, Throughput,
        },
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
    entries: RefCell<SortedMap<Cell, StageAdmissionQueue>>,
    waiting: RefCell<SortedMap<u64, Waiting>>,
    jobs: RefCell<SortedMap<u64, DoneJob>>,
    next_id: StdCell<u64>,
}

/// A request that waits to be admitted.
struct Waiting {
    cell: Cell,
    /// The demand of each stage, by stage index.
    demand: Vec<(usize, StageDemand)>,
    begin: oneshot::Sender<Result<AdmittedRequest, NotBegun>>,
}

/// Why a request is not admitted.
#[derive(Clone, Debug)]
enum NotBegun {
    /// It would wait too long; the expected wait.
    Late(Duration),
    /// Another daemon coordinates the cell now.
    Moved(Member),
}

/// Results that are held until the request has used them.
struct DoneJob {
    /// Released on drop.
    _held: HeldResults,
    until: Instant,
}

/// Removes a request from the queue if its caller disconnects.
struct EntryGuard<'a> {
    coordinator: &'a Coordinator,
    cell: &'a Cell,
    id: u64,
}

impl Drop for EntryGuard<'_> {
    fn drop(&mut self) {
        if self.coordinator.waiting.borrow_mut().remove(&self.id).is_some() {
            self.coordinator.with_entries(self.cell, |entries| {
                entries.cancel(self.id);
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
}

impl AdmittedRequest {
    /// Records that a stage is complete.
    pub fn record_stage_done(&self, stage: usize) {
        let mut demand = self.demand.borrow_mut();
        if let Some(at) = demand.iter().position(|(of, _)| *of == stage) {
            let (_, made) = demand.remove(at);
            drop(demand);
            self.coordinator.made(&self.cell, &[made]);
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let rest: Vec<StageDemand> =
            self.demand.take().into_iter().map(|(_, rest)| rest).collect();
        if !rest.is_empty() {
            self.coordinator.made(&self.cell, &rest);
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
            entries: RefCell::default(),
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
                .entries
                .borrow()
                .iter()
                .filter(|(_, entries)| !entries.is_empty())
                .map(|(cell, _)| cell.clone())
                .collect();
            for cell in cells {
                self.hand_over(&cell);
                self.pump(&cell);
            }
            let now = self.blackboard.now();
            let expired = self.take_jobs(|_, job| job.until <= now);
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
            let outcome = self.moved(&request, holder);
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
        let wait = self.expected_wait(&request.cell);
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
        let begun = match self.begin(request, &run, &demand, now).await {
            Ok(begun) => begun,
            Err(NotBegun::Moved(holder)) => {
                return self.moved(request, holder);
            }
            Err(NotBegun::Late(wait)) => {
                log::info!(
                    "stages: id={} stage=0 cell={} outcome=stages_late \
                     wait_ms={} target_ms={} left_ms={} rank={}",
                    request.attempt,
                    CellName(&request.cell),
                    wait.as_millis(),
                    request.target_ms,
                    request.left_ms,
                    request.rank,
                );
                return StagesOutcome::Late;
            }
        };
        let expected = run.expected_time();
        let started = self.blackboard.now();
        match run.run(&begun).await {
            Ok(done) => {
                let took = self.blackboard.now().duration_since(started);
                log::info!(
                    "stages: id={} cell={} outcome=done wait_ms={} ms={} \
                     expected_ms={} rank={}",
                    request.attempt,
                    CellName(&request.cell),
                    started.duration_since(now).as_millis(),
                    took.as_millis(),
                    expected.as_millis(),
                    request.rank,
                );
                self.with_entries(&request.cell, |entries| {
                    entries.record_duration(expected, took);
                });
                self.keep(request, done)
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
    async fn begin(
        self: &Rc<Self>,
        request: &StagesRequest,
        run: &PlanRun<'_>,
        demand: &[(usize, StageDemand)],
        now: Instant,
    ) -> Result<AdmittedRequest, NotBegun> {
        let id = self.next_id();
        let cell = &request.cell;
        cells::update_duty(&self.blackboard, cell);
        let entry = QueuedRequest {
            id,
            rank: request.rank,
            demand: demand.iter().map(|(_, demand)| demand.clone()).collect(),
            stages_time: run.expected_time(),
            target_at: run.times().target_at,
            deadline: run.times().deadline,
            arrived_at: now,
        };
        let (begin, may_begin) = oneshot::channel();
        let waiting =
            Waiting { cell: cell.clone(), demand: demand.to_vec(), begin };
        self.waiting.borrow_mut().insert(id, waiting);
        self.with_entries(cell, |entries| entries.push(entry));
        let guard = EntryGuard { coordinator: self, cell, id };
        self.pump(cell);
        // The sender is dropped without a message only when the process exits.
        let answer = may_begin.await;
        drop(guard);
        answer.unwrap_or(Err(NotBegun::Late(Duration::ZERO)))
    }

    /// Refuses requests that cannot be completed in time, and admits others.
    fn pump(self: &Rc<Self>, cell: &Cell) {
        let now = self.blackboard.now();
        let throughput = self.throughput(cell);
        let (refused, admitted) = self.with_entries(cell, |entries| {
            let refused = entries.shed_infeasible(now, &throughput);
            let admitted: Vec<u64> =
                std::iter::from_fn(|| entries.admit(now, &throughput))
                    .collect();
            (refused, admitted)
        });
        for refused in refused {
            let waiting = self.waiting.borrow_mut().remove(&refused.id);
            if let Some(waiting) = waiting {
                // Sending fails only if the caller has disconnected.
                let _ = waiting.begin.send(Err(NotBegun::Late(refused.wait)));
            }
        }
        for id in admitted {
            let waiting = self.waiting.borrow_mut().remove(&id);
            let Some(waiting) = waiting else { continue };
            // The demand of an admitted request is counted until the guard is
            // dropped, even if the caller disconnects before it receives the
            // guard.
            let begun = AdmittedRequest {
                coordinator: Rc::clone(self),
                cell: waiting.cell,
                demand: RefCell::new(waiting.demand),
            };
            let _ = waiting.begin.send(Ok(begun));
        }
    }

    /// Redirects the requests that wait for a cell to its current coordinator,
    /// since two coordinators that call the same servers delay each other.
    fn hand_over(&self, cell: &Cell) {
        let me =
            Arc::clone(&self.blackboard.peers.borrow().local_member().name);
        let holder = coordinator_of(&self.blackboard, cell);
        let Some(holder) = holder.filter(|holder| holder.name != me) else {
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
            self.with_entries(cell, |entries| entries.cancel(id));
            // Sending fails only if the caller has disconnected.
            let moved = Err(NotBegun::Moved(holder.clone()));
            let _ = waiting.begin.send(moved);
        }
    }

    fn moved(&self, request: &StagesRequest, holder: Member) -> StagesOutcome {
        log::info!(
            "stages: id={} cell={} outcome=moved coordinator={}",
            request.attempt,
            CellName(&request.cell),
            holder.name,
        );
        let by = self.blackboard.peers.borrow().local_member().clone();
        StagesOutcome::Moved { holder, by }
    }

    fn made(self: &Rc<Self>, cell: &Cell, made: &[StageDemand]) {
        self.with_entries(cell, |entries| {
            for demand in made {
                entries.record_pieces_done(demand);
            }
        });
        self.pump(cell);
    }

    /// Returns the longest expected wait of a new request over all cells that
    /// this daemon coordinates.
    #[must_use]
    pub fn max_expected_wait(&self) -> Duration {
        let cells: Vec<Cell> = self.entries.borrow().keys().cloned().collect();
        let waits = cells.iter().map(|cell| self.expected_wait(cell));
        waits.max().unwrap_or_default()
    }

    /// Returns the expected wait of a new request in a cell.
    #[must_use]
    pub fn expected_wait(&self, cell: &Cell) -> Duration {
        let throughput = self.throughput(cell);
        let now = self.blackboard.now();
        self.with_entries(cell, |entries| {
            entries.expected_wait(now, &throughput)
        })
    }

    /// Returns a function that computes the throughput of a service in a cell,
    /// and caches it.
    fn throughput(&self, cell: &Cell) -> impl Fn(&str) -> Throughput {
        let known: RefCell<SortedMap<Arc<str>, Throughput>> =
            RefCell::default();
        move |service: &str| {
            if let Some(throughput) = known.borrow().get(service) {
                return *throughput;
            }
            let throughput = self.batcher.throughput(cell, service);
            known.borrow_mut().insert(Arc::from(service), throughput);
            throughput
        }
    }

    /// Holds results until the request has used them.
    fn keep(
        &self,
        request: &StagesRequest,
        done: PlanOutput,
    ) -> StagesOutcome {
        let lifetimes = request.stages.iter().filter_map(|stage| {
            Some(self.batcher.spec(&stage.service)?.result_lifetime)
        });
        let until =
            self.blackboard.now() + lifetimes.max().unwrap_or_default();
        let mut makers = Vec::new();
        let results = done
            .results
            .into_iter()
            .map(|result| ResultRef {
                maker: position(&mut makers, result.producer),
                reference: result.reference,
            })
            .collect();
        let job = self.next_id();
        let kept = DoneJob { _held: done.held, until };
        self.jobs.borrow_mut().insert(job, kept);
        StagesOutcome::Done { job, makers, results }
    }

    /// Releases the results of jobs.
    pub fn release_jobs(&self, jobs: &[u64]) {
        let released = self.take_jobs(|id, _| jobs.contains(id));
        drop(released);
    }

    fn take_jobs(
        &self,
        taken: impl Fn(&u64, &DoneJob) -> bool,
    ) -> Vec<DoneJob> {
        let mut jobs = self.jobs.borrow_mut();
        let ids: Vec<u64> = jobs
            .iter()
            .filter(|(id, job)| taken(id, job))
            .map(|(id, _)| *id)
            .collect();
        ids.iter().filter_map(|id| jobs.remove(id)).collect()
    }

    fn with_entries<T>(
        &self,
        cell: &Cell,
        use_entries: impl FnOnce(&mut StageAdmissionQueue) -> T,
    ) -> T {
        let mut entries = self.entries.borrow_mut();
        let entries = entries
            .get_or_insert_with(cell.clone(), StageAdmissionQueue::default);
        use_entries(entries)
    }

    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }
}

/// Returns the index of a name in a list, after adding it if it is missing.
fn position<T: PartialEq>(names: &mut Vec<T>, name: T) -> usize {
    names.iter().position(|known| *known == name).unwrap_or_else(|| {
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
