//! The pieces of one request and stage, on their way through a collector.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::collect::{Home, Order};
use tokio::sync::oneshot;

use crate::{
    dialect::{PieceCall, PieceSource},
    peers::messages::{PieceReply, PiecesRequest},
};

/// The pieces of one request and stage.
pub struct Batch {
    group: u64,
    request: PiecesRequest,
    due: Instant,
    deadline: Instant,
    replies: RefCell<Vec<Option<PieceReply>>>,
    done: RefCell<Option<oneshot::Sender<Vec<PieceReply>>>>,
}

impl Batch {
    /// Creates a batch that tells `done` what became of its pieces.
    #[must_use]
    pub fn new(
        now: Instant,
        group: u64,
        request: PiecesRequest,
        done: oneshot::Sender<Vec<PieceReply>>,
    ) -> Batch {
        let ahead = Duration::from_millis(request.due_ms.unsigned_abs());
        let due = if request.due_ms < 0 {
            now.checked_sub(ahead).unwrap_or(now)
        } else {
            now + ahead
        };
        Batch {
            group,
            due,
            deadline: now + Duration::from_millis(request.left_ms),
            replies: RefCell::new((0..request.pieces).map(|_| None).collect()),
            done: RefCell::new(Some(done)),
            request,
        }
    }

    /// Ends the batch for a requester that has left.
    pub fn abandon(&self) {
        self.done.take();
    }

    /// Records what became of a piece. The first failure ends the batch.
    fn finish(&self, piece: usize, reply: PieceReply) {
        let failed = !matches!(reply, PieceReply::Made { .. });
        let mut replies = self.replies.borrow_mut();
        replies[piece] = Some(reply);
        if failed || replies.iter().all(Option::is_some) {
            let all = replies
                .iter()
                .map(|reply| reply.clone().unwrap_or(PieceReply::Failed))
                .collect();
            if let Some(done) = self.done.take() {
                // The requester may have left; its guard cleans up.
                let _ = done.send(all);
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.done.borrow().is_none()
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
        self.batch.has_ended()
    }

    /// Returns the caller's attempt.
    #[must_use]
    pub fn attempt(&self) -> &str {
        &self.batch.request.attempt
    }

    /// Returns the stage.
    #[must_use]
    pub fn stage(&self) -> usize {
        self.batch.request.stage
    }

    /// Returns the number of the piece within its stage.
    #[must_use]
    pub fn piece(&self) -> u32 {
        self.piece
    }

    /// Returns what waits in a queue.
    #[must_use]
    pub fn order(&self, id: u64, avoid: Option<Arc<str>>) -> Order {
        Order {
            id,
            group: self.batch.group,
            rank: self.batch.request.rank,
            progress: self.batch.request.progress,
            home: self.home(),
            due: self.batch.due,
            deadline: self.batch.deadline,
            result_bytes: self.batch.request.result_bytes,
            crossing_bytes: self.batch.request.crossing_bytes,
            avoid,
        }
    }

    fn home(&self) -> Home {
        let zone = Arc::clone(&self.batch.request.home);
        if self.batch.request.movable {
            Home::Preferred(zone)
        } else {
            Home::Fixed(zone)
        }
    }

    /// Returns what a server is asked for.
    #[must_use]
    pub fn piece_call(&self, now: Instant) -> PieceCall<'_> {
        let request = &self.batch.request;
        PieceCall {
            attempt: &request.attempt,
            stage: request.stage,
            piece: self.piece,
            time_left: self.batch.deadline.saturating_duration_since(now),
            source: match &request.key {
                Some(key) => PieceSource::Key(key),
                None => PieceSource::Inputs(&request.inputs),
            },
        }
    }

    /// Records what became of the piece.
    pub fn finish(&self, reply: PieceReply) {
        let piece = usize::try_from(self.piece).unwrap_or(usize::MAX);
        self.batch.finish(piece, reply);
    }
}
