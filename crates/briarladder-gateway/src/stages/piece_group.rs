//! The pieces of one stage of one request, while they are queued and produced.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    batching::{QueuedPiece, ZoneAffinity},
    stages::ResultHandle,
};
use tokio::sync::mpsc;

use crate::dialect::{PieceCall, PieceSource};

/// A stage of a request to run, with what its pieces need.
pub struct StageTask {
    /// The service that produces the pieces.
    pub service: Arc<str>,
    /// The caller's attempt id.
    pub attempt: Arc<str>,
    /// The index of the stage.
    pub stage: usize,
    /// The number of pieces.
    pub pieces: u32,
    /// The caller's input, for a first stage.
    pub key: Option<Arc<str>>,
    /// References to the results that each piece is produced from, for a later
    /// stage.
    pub inputs: Vec<Arc<str>>,
    /// The servers that hold the inputs.
    pub input_producers: Arc<[Arc<str>]>,
    /// The zones of these servers.
    pub input_zones: Vec<Arc<str>>,
    /// The transfer time of the inputs on the network links.
    pub input_transfer_time: Duration,
    /// The zone where the pieces are best produced.
    pub affinity: ZoneAffinity,
    /// The bytes that cross zones if one piece is produced elsewhere.
    pub cross_zone_bytes: u64,
    /// When the results are needed.
    pub due_at: Instant,
    /// When the results are no longer useful.
    pub deadline: Instant,
    /// The number of pieces of the request that are already complete.
    pub pieces_done: u32,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The expected size of one result.
    pub result_bytes: u64,
}

/// Why a stage has no results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StageFailure {
    /// It cannot be completed in time.
    Late,
    /// An input no longer exists.
    InputsGone,
    /// A piece failed and may not be retried again.
    Failed,
}

/// An event of a stage.
#[derive(Debug)]
pub enum StageEvent {
    /// All servers that run the stage have fetched its inputs.
    InputsFetched {
        /// The index of the stage.
        stage: usize,
    },
    /// The stage has finished.
    Finished {
        /// The index of the stage.
        stage: usize,
        /// Its results in the order of the pieces, or why it failed.
        results: Result<Vec<ResultHandle>, StageFailure>,
    },
}

/// The pieces of one stage of one request.
pub struct PieceGroup {
    id: u64,
    task: StageTask,
    results: RefCell<Vec<Option<ResultHandle>>>,
    fetched_inputs: RefCell<Vec<bool>>,
    finished: Cell<bool>,
    events: mpsc::UnboundedSender<StageEvent>,
}

impl PieceGroup {
    /// Creates a group that reports to `events`.
    #[must_use]
    pub fn new(
        id: u64,
        task: StageTask,
        events: mpsc::UnboundedSender<StageEvent>,
    ) -> PieceGroup {
        let pieces = usize::try_from(task.pieces).unwrap_or(usize::MAX);
        PieceGroup {
            id,
            results: RefCell::new(vec![None; pieces]),
            fetched_inputs: RefCell::new(vec![false; pieces]),
            finished: Cell::new(false),
            task,
            events,
        }
    }

    /// Ends the group because the requester has left, and returns the results
    /// so far, which must be released. Returns none if the group has already
    /// finished.
    #[must_use]
    pub fn cancel(&self) -> Vec<ResultHandle> {
        if self.finished.replace(true) {
            return Vec::new();
        }
        self.results.take().into_iter().flatten().collect()
    }

    /// Records a result. The last one finishes the group.
    fn record_result(&self, index: usize, result: ResultHandle) {
        let mut results = self.results.borrow_mut();
        results[index] = Some(result);
        if results.iter().all(Option::is_some) {
            let completed = results.drain(..).flatten().collect();
            drop(results);
            self.finish(Ok(completed));
        }
    }

    /// Records a failure, which finishes the group, and returns the results so
    /// far, which must be released.
    fn fail(&self, failure: StageFailure) -> Vec<ResultHandle> {
        let results = self.cancel();
        self.finish(Err(failure));
        results
    }

    fn finish(&self, results: Result<Vec<ResultHandle>, StageFailure>) {
        self.finished.set(true);
        self.send(StageEvent::Finished { stage: self.task.stage, results });
    }

    /// Records that the server that produces a piece has fetched its inputs.
    fn record_inputs_fetched(&self, index: usize) {
        let mut fetched = self.fetched_inputs.borrow_mut();
        if std::mem::replace(&mut fetched[index], true) {
            return;
        }
        if fetched.iter().all(|fetched| *fetched) {
            let stage = self.task.stage;
            self.send(StageEvent::InputsFetched { stage });
        }
    }

    /// Returns whether the requester was notified that all inputs are fetched,
    /// after which they are released.
    fn inputs_released(&self) -> bool {
        !self.task.inputs.is_empty()
            && self.fetched_inputs.borrow().iter().all(|fetched| *fetched)
    }

    fn send(&self, event: StageEvent) {
        // Sending fails only if the requester has left, and then its guard
        // cleans up.
        let _ = self.events.send(event);
    }
}

/// One piece of a group.
#[derive(Clone)]
pub struct Piece {
    group: Rc<PieceGroup>,
    number: u32,
    /// The number of failed attempts to produce it.
    pub attempts: u32,
}

impl Piece {
    /// Creates a piece that was not attempted yet.
    #[must_use]
    pub fn new(group: &Rc<PieceGroup>, number: u32) -> Piece {
        Piece { group: Rc::clone(group), number, attempts: 0 }
    }

    /// Returns whether the group has finished or the requester has left.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.group.finished.get()
    }

    /// Returns the stage of the piece.
    #[must_use]
    pub fn task(&self) -> &StageTask {
        &self.group.task
    }

    /// Returns the id of the group.
    #[must_use]
    pub fn group_id(&self) -> u64 {
        self.group.id
    }

    /// Returns the index of the piece in its stage.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the entry of the piece in the queue, with an id and the server
    /// that should not get it again.
    #[must_use]
    pub fn queued_piece(
        &self,
        id: u64,
        avoid: Option<Arc<str>>,
    ) -> QueuedPiece {
        let task = &self.group.task;
        QueuedPiece {
            id,
            group: self.group.id,
            rank: task.rank,
            pieces_done: task.pieces_done,
            affinity: task.affinity.clone(),
            due: task.due_at,
            deadline: task.deadline,
            result_bytes: task.result_bytes,
            cross_zone_bytes: task.cross_zone_bytes,
            input_producers: Arc::clone(&task.input_producers),
            avoid,
        }
    }

    /// Returns the piece as part of a call to a server.
    #[must_use]
    pub fn piece_call(&self, now: Instant) -> PieceCall<'_> {
        let task = &self.group.task;
        PieceCall {
            attempt: &task.attempt,
            stage: task.stage,
            piece: self.number,
            time_left: self.time_left(now),
            source: match &task.key {
                Some(key) => PieceSource::Key(key),
                None => PieceSource::Inputs(&task.inputs),
            },
        }
    }

    fn time_left(&self, now: Instant) -> Duration {
        self.group.task.deadline.saturating_duration_since(now)
    }

    /// Records that the server has fetched the inputs of the piece.
    pub fn record_inputs_fetched(&self) {
        self.group.record_inputs_fetched(self.index());
    }

    /// Returns whether the inputs of the piece are released, so that it cannot
    /// be retried.
    #[must_use]
    pub fn inputs_released(&self) -> bool {
        self.group.inputs_released()
    }

    /// Records the result of the piece.
    pub fn complete(&self, result: ResultHandle) {
        self.group.record_result(self.index(), result);
    }

    /// Records that the piece failed finally, and returns the results of its
    /// group, which are useless without it and must be released.
    #[must_use]
    pub fn fail(&self, failure: StageFailure) -> Vec<ResultHandle> {
        if self.is_finished() {
            return Vec::new();
        }
        self.group.fail(failure)
    }

    fn index(&self) -> usize {
        usize::try_from(self.number).unwrap_or(usize::MAX)
    }
}
