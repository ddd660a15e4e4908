//! The pieces of one request and stage, on their way through the collector.

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

/// What the pieces of a stage need.
pub struct StageOrder {
    /// The service that makes them.
    pub service: Arc<str>,
    /// The attempt of the caller.
    pub attempt: Arc<str>,
    /// The stage.
    pub stage: usize,
    /// The number of pieces.
    pub pieces: u32,
    /// The caller's own input, for a first stage.
    pub key: Option<Arc<str>>,
    /// The results that each piece is made from, for a later stage.
    pub inputs: Vec<Arc<str>>,
    /// The servers that hold them.
    pub input_makers: Arc<[Arc<str>]>,
    /// The zones of these servers.
    pub input_zones: Vec<Arc<str>>,
    /// The time that they take on the links.
    pub input_transfer: Duration,
    /// Where the pieces are best made.
    pub home: ZoneAffinity,
    /// The bytes of one piece that cross zones if it is made elsewhere.
    pub crossing_bytes: u64,
    /// When the pieces are needed.
    pub due: Instant,
    /// When they are of no use any more.
    pub deadline: Instant,
    /// The pieces of the request that are made.
    pub progress: u32,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The expected size of one result.
    pub result_bytes: u64,
}

/// Why a stage brought no results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StageFailure {
    /// It can't be done in time.
    Late,
    /// An input is gone.
    InputsGone,
    /// A piece failed too often.
    Failed,
}

/// What happens to a stage.
#[derive(Debug)]
pub enum StageEvent {
    /// The servers that work on it have fetched its inputs.
    InputsFetched {
        /// The stage.
        stage: usize,
    },
    /// It has ended.
    Ended {
        /// The stage.
        stage: usize,
        /// Its results in the order of the pieces.
        results: Result<Vec<ResultHandle>, StageFailure>,
    },
}

/// The pieces of one request and stage.
pub struct Batch {
    group: u64,
    order: StageOrder,
    made: RefCell<Vec<Option<ResultHandle>>>,
    fetched: RefCell<Vec<bool>>,
    ended: Cell<bool>,
    events: mpsc::UnboundedSender<StageEvent>,
}

impl Batch {
    /// Creates a batch that tells `events` what becomes of its pieces.
    #[must_use]
    pub fn new(
        group: u64,
        order: StageOrder,
        events: mpsc::UnboundedSender<StageEvent>,
    ) -> Batch {
        let pieces = usize::try_from(order.pieces).unwrap_or(usize::MAX);
        Batch {
            group,
            made: RefCell::new(vec![None; pieces]),
            fetched: RefCell::new(vec![false; pieces]),
            ended: Cell::new(false),
            order,
            events,
        }
    }

    /// Ends the batch for a requester that has left, and returns what was
    /// made.
    #[must_use]
    pub fn abandon(&self) -> Vec<ResultHandle> {
        if self.ended.replace(true) {
            return Vec::new();
        }
        self.made.take().into_iter().flatten().collect()
    }

    /// Records a result. The last one ends the batch.
    fn made(&self, piece: usize, result: ResultHandle) {
        let mut made = self.made.borrow_mut();
        made[piece] = Some(result);
        if made.iter().all(Option::is_some) {
            let results = made.drain(..).flatten().collect();
            drop(made);
            self.end(Ok(results));
        }
    }

    /// Records a failure, which ends the batch, and returns what was made.
    fn failed(&self, failure: StageFailure) -> Vec<ResultHandle> {
        let made = self.abandon();
        self.end(Err(failure));
        made
    }

    fn end(&self, results: Result<Vec<ResultHandle>, StageFailure>) {
        self.ended.set(true);
        self.tell(StageEvent::Ended { stage: self.order.stage, results });
    }

    /// Records that the server that works on a piece has its inputs.
    fn inputs_fetched(&self, piece: usize) {
        let mut fetched = self.fetched.borrow_mut();
        if std::mem::replace(&mut fetched[piece], true) {
            return;
        }
        if fetched.iter().all(|fetched| *fetched) {
            let stage = self.order.stage;
            self.tell(StageEvent::InputsFetched { stage });
        }
    }

    /// Returns whether the requester was told that its inputs are of no
    /// further use.
    fn inputs_spent(&self) -> bool {
        !self.order.inputs.is_empty()
            && self.fetched.borrow().iter().all(|fetched| *fetched)
    }

    fn tell(&self, event: StageEvent) {
        // A requester that has left cleans up by its guard.
        let _ = self.events.send(event);
    }
}

/// One piece of a batch.
#[derive(Clone)]
pub struct Job {
    batch: Rc<Batch>,
    piece: u32,
    /// How often it was called for.
    pub tries: u32,
}

impl Job {
    /// Creates a job that was not called for yet.
    #[must_use]
    pub fn new(batch: &Rc<Batch>, piece: u32) -> Job {
        Job { batch: Rc::clone(batch), piece, tries: 0 }
    }

    /// Returns whether the requester has its answer or has left.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.batch.ended.get()
    }

    /// Returns what the stage of the piece needs.
    #[must_use]
    pub fn stage(&self) -> &StageOrder {
        &self.batch.order
    }

    /// Returns the number of the group of pieces.
    #[must_use]
    pub fn group(&self) -> u64 {
        self.batch.group
    }

    /// Returns the number of the piece within its stage.
    #[must_use]
    pub fn piece(&self) -> u32 {
        self.piece
    }

    /// Returns what waits in a queue.
    #[must_use]
    pub fn order(&self, id: u64, avoid: Option<Arc<str>>) -> QueuedPiece {
        let stage = &self.batch.order;
        QueuedPiece {
            id,
            group: self.batch.group,
            rank: stage.rank,
            pieces_done: stage.progress,
            affinity: stage.home.clone(),
            due: stage.due,
            deadline: stage.deadline,
            result_bytes: stage.result_bytes,
            cross_zone_bytes: stage.crossing_bytes,
            input_producers: Arc::clone(&stage.input_makers),
            avoid,
        }
    }

    /// Returns what a server is asked for.
    #[must_use]
    pub fn piece_call(&self, now: Instant) -> PieceCall<'_> {
        let stage = &self.batch.order;
        PieceCall {
            attempt: &stage.attempt,
            stage: stage.stage,
            piece: self.piece,
            time_left: self.time_left(now),
            source: match &stage.key {
                Some(key) => PieceSource::Key(key),
                None => PieceSource::Inputs(&stage.inputs),
            },
        }
    }

    fn time_left(&self, now: Instant) -> Duration {
        self.batch.order.deadline.saturating_duration_since(now)
    }

    /// Records that the server has the inputs of the piece.
    pub fn inputs_fetched(&self) {
        self.batch.inputs_fetched(self.index());
    }

    /// Returns whether the inputs of the piece are released, so that it can't
    /// be called for again.
    #[must_use]
    pub fn inputs_spent(&self) -> bool {
        self.batch.inputs_spent()
    }

    /// Records the result of the piece.
    pub fn made(&self, result: ResultHandle) {
        self.batch.made(self.index(), result);
    }

    /// Records that the piece failed for good, and returns the results of
    /// its group, which are of no use without it.
    #[must_use]
    pub fn failed(&self, failure: StageFailure) -> Vec<ResultHandle> {
        if self.has_ended() {
            return Vec::new();
        }
        self.batch.failed(failure)
    }

    fn index(&self) -> usize {
        usize::try_from(self.piece).unwrap_or(usize::MAX)
    }
}
