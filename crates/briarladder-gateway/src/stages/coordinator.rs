//! Letting requests begin their stages in turn, and seeing them through.

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
    board::Board,
    peers::messages::{MadeResult, StagesOutcome, StagesReply, StagesRequest},
};

use super::{
    batch::StageFailure,
    cells::{self, coordinator_of},
    collector::Collector,
    held::Held,
    plan_run::{Done, PlanRun, Times},
};

/// How often waiting requests and pieces are looked at when nothing happens.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Coordinates the stages of requests for cells of servers.
pub struct Coordinator {
    board: Rc<Board>,
    collector: Rc<Collector>,
    entries: RefCell<SortedMap<Cell, StageAdmissionQueue>>,
    waiting: RefCell<SortedMap<u64, Waiting>>,
    jobs: RefCell<SortedMap<u64, DoneJob>>,
    next_id: StdCell<u64>,
}

/// A request that waits to begin.
struct Waiting {
    cell: Cell,
    /// What each stage needs.
    demand: Vec<(usize, StageDemand)>,
    begin: oneshot::Sender<Result<Begun, NotBegun>>,
}

/// Why a request does not begin here.
#[derive(Clone, Debug)]
enum NotBegun {
    /// It would wait too long; the wait.
    Late(Duration),
    /// Another daemon coordinates the cell now.
    Moved(Member),
}

/// Results that wait to be used.
struct DoneJob {
    /// Released when the job is dropped.
    _held: Held,
    until: Instant,
}

/// Takes a request out of the queue if its caller leaves.
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

/// Counts a request of another daemon as open.
struct OpenGuard<'a>(&'a Board);

impl<'a> OpenGuard<'a> {
    fn new(board: &'a Board) -> OpenGuard<'a> {
        board.open_stages.set(board.open_stages.get() + 1);
        OpenGuard(board)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.open_stages.set(self.0.open_stages.get() - 1);
    }
}

/// A request that has begun. What it has not made yet counts until it is
/// dropped.
pub struct Begun {
    coordinator: Rc<Coordinator>,
    cell: Cell,
    demand: RefCell<Vec<(usize, StageDemand)>>,
}

impl Begun {
    /// Records that a stage is done.
    pub fn stage_done(&self, stage: usize) {
        let mut demand = self.demand.borrow_mut();
        if let Some(at) = demand.iter().position(|(of, _)| *of == stage) {
            let (_, made) = demand.remove(at);
            drop(demand);
            self.coordinator.made(&self.cell, &[made]);
        }
    }
}

impl Drop for Begun {
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
    pub fn new(board: &Rc<Board>, collector: Rc<Collector>) -> Rc<Self> {
        Rc::new(Coordinator {
            board: Rc::clone(board),
            collector,
            entries: RefCell::default(),
            waiting: RefCell::default(),
            jobs: RefCell::default(),
            next_id: StdCell::new(0),
        })
    }

    /// Looks at all that waits, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let releases = Rc::clone(&self.collector).run_releases();
        tokio::task::spawn_local(releases);
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.collector.pump_all();
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
            let now = self.board.now();
            let expired = self.take_jobs(|_, job| job.until <= now);
            drop(expired);
        }
    }

    /// Does all stages of a request that another daemon has taken, unless the
    /// cell has another coordinator: two that call the same servers delay
    /// each other.
    pub async fn run_stages_of_peer(
        self: &Rc<Self>,
        request: StagesRequest,
    ) -> StagesReply {
        if !cells::settle(&self.board, &request.cell)
            && let Some(holder) = coordinator_of(&self.board, &request.cell)
        {
            let outcome = self.moved(&request, holder);
            return StagesReply { outcome, wait_ms: 0 };
        }
        self.run_stages(request).await
    }

    /// Does all stages of a request, and returns what became of them.
    pub async fn run_stages(
        self: &Rc<Self>,
        request: StagesRequest,
    ) -> StagesReply {
        let _open = OpenGuard::new(&self.board);
        let outcome = self.run_plan(&request).await;
        let wait = self.expected_wait_of(&request.cell);
        StagesReply { outcome, wait_ms: millis(wait) }
    }

    async fn run_plan(
        self: &Rc<Self>,
        request: &StagesRequest,
    ) -> StagesOutcome {
        let now = self.board.now();
        let Ok(plan) = StagePlan::new(&request.stages, &request.pieces) else {
            return StagesOutcome::Failed { stage: 0, inputs_gone: false };
        };
        let times = Times {
            target: offset(now, request.target_ms),
            deadline: now + Duration::from_millis(request.left_ms),
        };
        let run = PlanRun::new(&self.collector, request, plan, times);
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
        let started = self.board.now();
        match run.run(&begun).await {
            Ok(done) => {
                let took = self.board.now().duration_since(started);
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

    /// Waits until a request may begin.
    ///
    /// # Errors
    ///
    /// If the wait is too long, or the cell has another coordinator.
    async fn begin(
        self: &Rc<Self>,
        request: &StagesRequest,
        run: &PlanRun<'_>,
        demand: &[(usize, StageDemand)],
        now: Instant,
    ) -> Result<Begun, NotBegun> {
        let id = self.next_id();
        let cell = &request.cell;
        cells::settle(&self.board, cell);
        let entry = QueuedRequest {
            id,
            rank: request.rank,
            demand: demand.iter().map(|(_, demand)| demand.clone()).collect(),
            stages_time: run.expected_time(),
            target_at: run.times().target,
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
        // The sender is only dropped without a word if the process ends.
        let answer = may_begin.await;
        drop(guard);
        answer.unwrap_or(Err(NotBegun::Late(Duration::ZERO)))
    }

    /// Refuses requests that can't be done in time and lets others begin.
    fn pump(self: &Rc<Self>, cell: &Cell) {
        let now = self.board.now();
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
                // A caller that has left needs no answer.
                let _ = waiting.begin.send(Err(NotBegun::Late(refused.wait)));
            }
        }
        for id in admitted {
            let waiting = self.waiting.borrow_mut().remove(&id);
            let Some(waiting) = waiting else { continue };
            // What has begun is counted by the guard, wherever it is dropped:
            // the caller may leave while the message is on its way.
            let begun = Begun {
                coordinator: Rc::clone(self),
                cell: waiting.cell,
                demand: RefCell::new(waiting.demand),
            };
            let _ = waiting.begin.send(Ok(begun));
        }
    }

    /// Sends the requests that wait for a cell to the daemon that coordinates
    /// it now, since two that call the same servers delay each other.
    fn hand_over(&self, cell: &Cell) {
        let me = Arc::clone(&self.board.peers.borrow().local_member().name);
        let holder = coordinator_of(&self.board, cell);
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
            // A caller that has left needs no answer.
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
        let by = self.board.peers.borrow().local_member().clone();
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

    /// Returns how long a new request waits for the stages of any cell that
    /// this daemon coordinates.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let cells: Vec<Cell> = self.entries.borrow().keys().cloned().collect();
        let waits = cells.iter().map(|cell| self.expected_wait_of(cell));
        waits.max().unwrap_or_default()
    }

    /// Returns how long a new request waits for the stages of a cell.
    #[must_use]
    pub fn expected_wait_of(&self, cell: &Cell) -> Duration {
        let throughput = self.throughput(cell);
        let now = self.board.now();
        self.with_entries(cell, |entries| {
            entries.expected_wait(now, &throughput)
        })
    }

    /// Returns what the services of a cell can do, each worked out once.
    fn throughput(&self, cell: &Cell) -> impl Fn(&str) -> Throughput {
        let known: RefCell<SortedMap<Arc<str>, Throughput>> =
            RefCell::default();
        move |service: &str| {
            if let Some(throughput) = known.borrow().get(service) {
                return *throughput;
            }
            let throughput = self.collector.throughput(cell, service);
            known.borrow_mut().insert(Arc::from(service), throughput);
            throughput
        }
    }

    /// Keeps results until the request has used them.
    fn keep(&self, request: &StagesRequest, done: Done) -> StagesOutcome {
        let lifetimes = request.stages.iter().filter_map(|stage| {
            Some(self.collector.spec(&stage.service)?.result_lifetime)
        });
        let until = self.board.now() + lifetimes.max().unwrap_or_default();
        let mut makers = Vec::new();
        let results = done
            .results
            .into_iter()
            .map(|result| MadeResult {
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
    pub fn release(&self, jobs: &[u64]) {
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

/// Returns the position of a name in a list, to which it is added if needed.
fn position<T: PartialEq>(names: &mut Vec<T>, name: T) -> usize {
    names.iter().position(|known| *known == name).unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    })
}

/// Returns the time that lies this far ahead, or back if it is negative.
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
