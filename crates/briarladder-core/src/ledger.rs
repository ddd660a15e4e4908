//! The calls of one daemon incarnation that may not repeat.
//!
//! A slot is reserved when a ticket is issued, so that a valid ticket always
//! has its slot. The slot decides alone whether the call may be sent to a
//! backend server, and keeps the outcome until the retention time is over.
//!
//! ```text
//! Reserved -> Running -> Dispatched -> Finished(answered | unknown)
//!     |          |  ^        |
//!     |          |  +--------+  proven not to have run
//!     +----------+-----------------> Finished(not run)
//! ```
//!
//! For calls that may repeat, use the retry rules in
//! [`retry`](crate::retry).
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::ledger::{BeginOutcome, Ledger, LedgerLimits};
//!
//! let now = Instant::now();
//! let mut ledger = Ledger::<&str>::new(LedgerLimits::default());
//! let sequence = ledger.issue(now).unwrap();
//! assert!(matches!(ledger.begin(now, sequence), BeginOutcome::Run));
//! // A second copy of the call joins the first.
//! assert!(matches!(ledger.begin(now, sequence), BeginOutcome::Join));
//! ledger.dispatch(now, sequence).unwrap();
//! ledger.finish_completed(sequence, "paid", 4);
//! ```

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::{Display, Error};

/// The bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerLimits {
    /// The most slots, used and unused.
    pub capacity_slots: usize,
    /// The most bytes of answers that are kept.
    pub responses_bytes: usize,
    /// How long a ticket may be used.
    pub lifetime: Duration,
    /// How long an outcome is kept after the ticket expired.
    pub retention: Duration,
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            // 30 tickets a second for the 660 s that a slot lives.
            capacity_slots: 20_000,
            responses_bytes: 8 << 20,
            lifetime: Duration::from_mins(1),
            retention: Duration::from_mins(10),
        }
    }
}

/// No ticket can be issued because every slot is in use.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "all {capacity_slots} ledger slots are in use; come back in {} ms",
    retry_after.as_millis()
)]
pub struct LedgerFull {
    /// The number of slots.
    pub capacity_slots: usize,
    /// When the oldest slot is freed.
    pub retry_after: Duration,
}

/// The answer to the arrival of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginOutcome<A> {
    /// The call is the first one and may run.
    Run,
    /// Another copy of the call runs; wait for its outcome.
    Join,
    /// The call has an outcome.
    Finished(FinishedTicket<A>),
    /// The ledger no longer knows the ticket, or never issued it.
    Forgotten,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum FinishedTicket<A> {
    /// It ran. The answer is absent if it had to make room.
    Completed(Option<A>),
    /// It did not run and can't run any more.
    NotRun(Arc<str>),
    /// It may have run.
    Unknown(Arc<str>),
}

/// The state of a call, for a status query.
#[derive(Clone, Debug, PartialEq)]
pub enum Status<A> {
    /// The ticket can still be used.
    Unused,
    /// The call has begun and has no outcome yet.
    Running,
    /// The call has an outcome.
    Finished(FinishedTicket<A>),
    /// The ledger no longer knows the ticket, or never issued it.
    Forgotten,
}

/// The call can't be dispatched.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum DispatchError {
    /// The slot was closed before.
    #[display("the ticket was closed before the call was sent")]
    Closed,
    /// The call was dispatched and not proven to have failed to run.
    #[display("the call was sent before")]
    Dispatched,
    /// The ledger does not hold the ticket.
    #[display("the ledger does not hold the ticket")]
    Forgotten,
}

/// An event that proves that a dispatched call did not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotRunProof {
    /// The connection was never made, so no byte was sent.
    #[display("no connection to the backend server")]
    NotConnected,
    /// The backend server said that it did not run the call.
    #[display("the backend server refused to run the call")]
    Refused,
}

/// The final state of one slot, told to peers at a planned stop.
#[derive(Clone, Debug, PartialEq)]
pub struct FinalOutcome<A> {
    /// The ticket's number.
    pub sequence: u64,
    /// What became of it.
    pub finished: FinishedTicket<A>,
}

#[derive(Debug)]
struct Slot<A> {
    expires_at: Instant,
    state: SlotState<A>,
    answer_bytes: usize,
}

#[derive(Debug)]
enum SlotState<A> {
    Reserved,
    Running,
    Dispatched,
    Finished(FinishedTicket<A>),
}

/// The slots of one incarnation, in order of issue.
#[derive(Debug)]
pub struct Ledger<A> {
    limits: LedgerLimits,
    slots: VecDeque<Slot<A>>,
    /// The sequence number of the first slot.
    first_sequence: u64,
    answers_bytes: usize,
    stopping: bool,
}

impl<A: Clone> Ledger<A> {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: LedgerLimits) -> Ledger<A> {
        Ledger {
            limits,
            slots: VecDeque::new(),
            first_sequence: 0,
            answers_bytes: 0,
            stopping: false,
        }
    }

    /// Changes the bounds. Slots that are in use keep their times.
    pub fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no slot is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Reserves a slot and returns its sequence number.
    ///
    /// # Errors
    ///
    /// Returns an error when every slot is in use. Nothing was promised
    /// then, so the refusal can say "not run".
    pub fn issue(&mut self, now: Instant) -> Result<u64, LedgerFull> {
        self.forget(now);
        if self.stopping || self.slots.len() >= self.limits.capacity_slots {
            let free_at = self.slots.front().map(|s| self.forget_at(s));
            let wait = free_at.map(|at| at.saturating_duration_since(now));
            return Err(LedgerFull {
                capacity_slots: self.limits.capacity_slots,
                retry_after: wait.unwrap_or_default(),
            });
        }
        let sequence = self.first_sequence + self.slots.len() as u64;
        self.slots.push_back(Slot {
            expires_at: now + self.limits.lifetime,
            state: SlotState::Reserved,
            answer_bytes: 0,
        });
        Ok(sequence)
    }

    /// Takes the arrival of a call.
    pub fn begin(&mut self, now: Instant, sequence: u64) -> BeginOutcome<A> {
        self.close_expired(now, sequence);
        let Some(slot) = self.slot_mut(sequence) else {
            return BeginOutcome::Forgotten;
        };
        match &slot.state {
            SlotState::Reserved => {
                slot.state = SlotState::Running;
                BeginOutcome::Run
            }
            SlotState::Running | SlotState::Dispatched => BeginOutcome::Join,
            SlotState::Finished(finished) => {
                BeginOutcome::Finished(finished.clone())
            }
        }
    }

    /// Records that the first byte is about to be sent. Call it
    /// immediately before, and send nothing after an error.
    ///
    /// # Errors
    ///
    /// Returns an error when the call may not be sent.
    pub fn dispatch(
        &mut self,
        now: Instant,
        sequence: u64,
    ) -> Result<(), DispatchError> {
        self.forget(now);
        let slot = self.slot_mut(sequence).ok_or(DispatchError::Forgotten)?;
        match slot.state {
            SlotState::Running => {
                slot.state = SlotState::Dispatched;
                Ok(())
            }
            SlotState::Dispatched => Err(DispatchError::Dispatched),
            SlotState::Reserved | SlotState::Finished(_) => {
                Err(DispatchError::Closed)
            }
        }
    }

    /// Takes the dispatch back after an event that proves that nothing ran,
    /// so that another backend server may be tried.
    pub fn revert_dispatch(&mut self, sequence: u64, _proof: NotRunProof) {
        if let Some(slot) = self.slot_mut(sequence)
            && matches!(slot.state, SlotState::Dispatched)
        {
            slot.state = SlotState::Running;
        }
    }

    /// Records the answer of a call that ran.
    pub fn finish_completed(
        &mut self,
        sequence: u64,
        answer: A,
        answer_bytes: usize,
    ) {
        let Some(slot) = self.slot_mut(sequence) else { return };
        if matches!(slot.state, SlotState::Finished(_)) {
            return;
        }
        slot.state =
            SlotState::Finished(FinishedTicket::Completed(Some(answer)));
        slot.answer_bytes = answer_bytes;
        self.answers_bytes += answer_bytes;
        self.make_room_for_answers();
    }

    /// Records that a call ended without an answer, and returns the outcome
    /// that may be told: not run if it was never dispatched or the dispatch
    /// was withdrawn, and unknown otherwise.
    pub fn finish_failed(
        &mut self,
        sequence: u64,
        detail: Arc<str>,
    ) -> FinishedTicket<A> {
        let Some(slot) = self.slot_mut(sequence) else {
            return FinishedTicket::Unknown(detail);
        };
        let finished = match &slot.state {
            SlotState::Reserved | SlotState::Running => {
                FinishedTicket::NotRun(detail)
            }
            SlotState::Dispatched => FinishedTicket::Unknown(detail),
            SlotState::Finished(finished) => return finished.clone(),
        };
        slot.state = SlotState::Finished(finished.clone());
        finished
    }

    /// Closes a ticket on the caller's wish, if its call has not begun.
    pub fn close(
        &mut self,
        now: Instant,
        sequence: u64,
        detail: Arc<str>,
    ) -> Status<A> {
        self.close_expired(now, sequence);
        if let Some(slot) = self.slot_mut(sequence)
            && matches!(slot.state, SlotState::Reserved)
        {
            slot.state = SlotState::Finished(FinishedTicket::NotRun(detail));
        }
        self.status(now, sequence)
    }

    /// Returns the state of a call.
    pub fn status(&mut self, now: Instant, sequence: u64) -> Status<A> {
        self.close_expired(now, sequence);
        match self.slot_mut(sequence).map(|slot| &slot.state) {
            None => Status::Forgotten,
            Some(SlotState::Reserved) => Status::Unused,
            Some(SlotState::Running | SlotState::Dispatched) => {
                Status::Running
            }
            Some(SlotState::Finished(finished)) => {
                Status::Finished(finished.clone())
            }
        }
    }

    /// Issues no more tickets. Issued ones can still be used.
    pub fn stop_issuing(&mut self) {
        self.stopping = true;
    }

    /// Returns the number of tickets that can still be used or whose call
    /// runs.
    #[must_use]
    pub fn open_tickets(&self, now: Instant) -> usize {
        let open = |slot: &&Slot<A>| match slot.state {
            SlotState::Reserved => slot.expires_at > now,
            SlotState::Running | SlotState::Dispatched => true,
            SlotState::Finished(_) => false,
        };
        self.slots.iter().filter(open).count()
    }

    /// Closes every unused ticket, at the end of a planned stop.
    pub fn close_unused(&mut self, detail: &Arc<str>) {
        for slot in &mut self.slots {
            if matches!(slot.state, SlotState::Reserved) {
                let finished = FinishedTicket::NotRun(Arc::clone(detail));
                slot.state = SlotState::Finished(finished);
            }
        }
    }

    /// Returns every outcome, for peers that answer status queries after a
    /// planned stop. A call without an outcome counts as unknown.
    #[must_use]
    pub fn final_outcomes(&self) -> Vec<FinalOutcome<A>> {
        let still_running: Arc<str> =
            Arc::from("the daemon stopped while the call was running");
        let outcome = |(sequence, slot): (u64, &Slot<A>)| FinalOutcome {
            sequence,
            finished: match &slot.state {
                SlotState::Finished(finished) => finished.clone(),
                _ => FinishedTicket::Unknown(Arc::clone(&still_running)),
            },
        };
        (self.first_sequence..).zip(&self.slots).map(outcome).collect()
    }

    fn slot_mut(&mut self, sequence: u64) -> Option<&mut Slot<A>> {
        let at = sequence.checked_sub(self.first_sequence)?;
        self.slots.get_mut(usize::try_from(at).ok()?)
    }

    fn close_expired(&mut self, now: Instant, sequence: u64) {
        self.forget(now);
        let Some(slot) = self.slot_mut(sequence) else { return };
        if slot.expires_at <= now && matches!(slot.state, SlotState::Reserved)
        {
            let detail = Arc::from("the ticket expired before it was used");
            slot.state = SlotState::Finished(FinishedTicket::NotRun(detail));
        }
    }

    fn forget_at(&self, slot: &Slot<A>) -> Instant {
        slot.expires_at + self.limits.retention
    }

    /// Frees the oldest slots whose retention time is over. A slot whose
    /// call runs is never freed.
    fn forget(&mut self, now: Instant) {
        while let Some(slot) = self.slots.front() {
            let running = matches!(
                slot.state,
                SlotState::Running | SlotState::Dispatched
            );
            if running || self.forget_at(slot) > now {
                return;
            }
            self.answers_bytes -= slot.answer_bytes;
            self.slots.pop_front();
            self.first_sequence += 1;
        }
    }

    /// Drops the oldest answers until the rest fits. The fact that the call
    /// was answered stays.
    fn make_room_for_answers(&mut self) {
        let limit = self.limits.responses_bytes;
        for slot in &mut self.slots {
            if self.answers_bytes <= limit {
                return;
            }
            if let SlotState::Finished(FinishedTicket::Completed(answer)) =
                &mut slot.state
            {
                *answer = None;
                self.answers_bytes -= std::mem::take(&mut slot.answer_bytes);
            }
        }
    }
}

#[cfg(test)]
mod tests;
