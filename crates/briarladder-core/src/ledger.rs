//! Records the calls of one daemon incarnation that must run at most once.
//!
//! A slot is reserved when a ticket is issued, so every valid ticket has one.
//! Only the state of the slot decides whether the call may be sent to a
//! backend server. The slot keeps the outcome until the retention time is
//! over.
//!
//! ```text
//! Reserved -> Running -> Dispatched -> Finished(completed | unknown)
//!     |          |  ^        |
//!     |          |  +--------+  proven not to have run
//!     +----------+-----------------> Finished(not run)
//! ```
//!
//! For idempotent calls, see the retry rules in [`retry`](crate::retry).
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

/// The limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerLimits {
    /// The maximum number of slots, including those of unused tickets.
    pub capacity_slots: usize,
    /// The maximum size of all responses that are kept.
    pub responses_bytes: usize,
    /// How long a ticket may be used after it was issued.
    pub lifetime: Duration,
    /// How long an outcome is kept after the ticket has expired.
    pub retention: Duration,
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            // 30 tickets a second, whose slots are kept for 660 s.
            capacity_slots: 20_000,
            responses_bytes: 8 << 20,
            lifetime: Duration::from_mins(1),
            retention: Duration::from_mins(10),
        }
    }
}

/// The error when no ticket can be issued because every slot is in use.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "all {capacity_slots} ledger slots are in use; retry in {} ms",
    retry_after.as_millis()
)]
pub struct LedgerFull {
    /// The number of slots.
    pub capacity_slots: usize,
    /// The time until the oldest slot is freed.
    pub retry_after: Duration,
}

/// What to do with a call that has arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginOutcome<R> {
    /// It is the first with this ticket; run it.
    Run,
    /// A call with this ticket is running; wait for its outcome.
    Join,
    /// The call has an outcome.
    Finished(FinishedTicket<R>),
    /// The ledger has removed the ticket or never issued it.
    Forgotten,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum FinishedTicket<R> {
    /// It ran. The response is `None` if it was evicted to make room.
    Completed(Option<R>),
    /// It did not run and can no longer run, for this reason.
    NotRun(Arc<str>),
    /// It may have run; the text says why this is unknown.
    Unknown(Arc<str>),
}

/// The state of a call, for a status query.
#[derive(Clone, Debug, PartialEq)]
pub enum Status<R> {
    /// No call has used the ticket, and one still can.
    Unused,
    /// The call has begun and has no outcome yet.
    Running,
    /// The call has an outcome.
    Finished(FinishedTicket<R>),
    /// The ledger has removed the ticket or never issued it.
    Forgotten,
}

/// Why a call can't be dispatched.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum DispatchError {
    /// The slot has an outcome or its call has not begun.
    #[display("the ticket was closed before the call was sent")]
    Closed,
    /// The call was dispatched before and it is not proven that it did not
    /// run.
    #[display("the call was already sent")]
    Dispatched,
    /// The ledger has removed the ticket or never issued it.
    #[display("the ticket is not in the ledger")]
    Forgotten,
}

/// Proof that a dispatched call did not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotRunProof {
    /// The connection was not established, so no byte was sent.
    #[display("the connection to the backend server was not established")]
    NotConnected,
    /// The backend server stated that it did not run the call.
    #[display("the backend server refused to run the call")]
    Refused,
}

/// The final state of one slot, sent to peers at a graceful shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct FinalOutcome<R> {
    /// The sequence number of the ticket.
    pub sequence: u64,
    /// The outcome of its call.
    pub finished: FinishedTicket<R>,
}

#[derive(Debug)]
struct Slot<R> {
    expires_at: Instant,
    state: SlotState<R>,
    response_bytes: usize,
}

#[derive(Debug)]
enum SlotState<R> {
    Reserved,
    Running,
    Dispatched,
    Finished(FinishedTicket<R>),
}

/// The slots of one daemon incarnation, in the order in which their tickets
/// were issued.
#[derive(Debug)]
pub struct Ledger<R> {
    limits: LedgerLimits,
    slots: VecDeque<Slot<R>>,
    /// The sequence number of the first slot.
    first_sequence: u64,
    responses_bytes: usize,
    issuing_stopped: bool,
}

impl<R: Clone> Ledger<R> {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: LedgerLimits) -> Ledger<R> {
        Ledger {
            limits,
            slots: VecDeque::new(),
            first_sequence: 0,
            responses_bytes: 0,
            issuing_stopped: false,
        }
    }

    /// Changes the limits. Issued tickets keep their expiry.
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

    /// Reserves a slot for a new ticket and returns its sequence number.
    ///
    /// # Errors
    ///
    /// Returns an error if every slot is in use or the daemon shuts down. The
    /// call has not run then, and the refusal can say so.
    pub fn issue(&mut self, now: Instant) -> Result<u64, LedgerFull> {
        self.free_expired(now);
        if self.issuing_stopped
            || self.slots.len() >= self.limits.capacity_slots
        {
            let free_at = self.slots.front().map(|s| self.retained_until(s));
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
            response_bytes: 0,
        });
        Ok(sequence)
    }

    /// Begins the call of a ticket, or returns what is known of it.
    pub fn begin(&mut self, now: Instant, sequence: u64) -> BeginOutcome<R> {
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

    /// Records that the call is about to be sent. Call it immediately before
    /// the first byte, and send nothing if it fails.
    ///
    /// # Errors
    ///
    /// Returns an error if the call must not be sent.
    pub fn dispatch(
        &mut self,
        now: Instant,
        sequence: u64,
    ) -> Result<(), DispatchError> {
        self.free_expired(now);
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

    /// Reverts a dispatch after proof that the call did not run, so that
    /// another backend server can be tried.
    pub fn revert_dispatch(&mut self, sequence: u64, _proof: NotRunProof) {
        if let Some(slot) = self.slot_mut(sequence)
            && matches!(slot.state, SlotState::Dispatched)
        {
            slot.state = SlotState::Running;
        }
    }

    /// Records the response of a call that ran.
    pub fn finish_completed(
        &mut self,
        sequence: u64,
        response: R,
        response_bytes: usize,
    ) {
        let Some(slot) = self.slot_mut(sequence) else { return };
        if matches!(slot.state, SlotState::Finished(_)) {
            return;
        }
        slot.state =
            SlotState::Finished(FinishedTicket::Completed(Some(response)));
        slot.response_bytes = response_bytes;
        self.responses_bytes += response_bytes;
        self.evict_responses();
    }

    /// Records that a call ended without a response, and returns the outcome:
    /// not run if it was never dispatched or the dispatch was reverted, and
    /// unknown otherwise.
    pub fn finish_failed(
        &mut self,
        sequence: u64,
        detail: Arc<str>,
    ) -> FinishedTicket<R> {
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

    /// Closes a ticket at the request of the caller, unless its call has
    /// begun. Returns the state after that.
    pub fn close(
        &mut self,
        now: Instant,
        sequence: u64,
        detail: Arc<str>,
    ) -> Status<R> {
        self.close_expired(now, sequence);
        if let Some(slot) = self.slot_mut(sequence)
            && matches!(slot.state, SlotState::Reserved)
        {
            slot.state = SlotState::Finished(FinishedTicket::NotRun(detail));
        }
        self.status(now, sequence)
    }

    /// Returns the state of a call.
    pub fn status(&mut self, now: Instant, sequence: u64) -> Status<R> {
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

    /// Stops issuing tickets. Issued ones can still be used.
    pub fn stop_issuing(&mut self) {
        self.issuing_stopped = true;
    }

    /// Returns the number of tickets that are unused and valid or whose call
    /// is running.
    #[must_use]
    pub fn open_tickets(&self, now: Instant) -> usize {
        let open = |slot: &&Slot<R>| match slot.state {
            SlotState::Reserved => slot.expires_at > now,
            SlotState::Running | SlotState::Dispatched => true,
            SlotState::Finished(_) => false,
        };
        self.slots.iter().filter(open).count()
    }

    /// Closes all unused tickets, at the end of a graceful shutdown.
    pub fn close_unused(&mut self, detail: &Arc<str>) {
        for slot in &mut self.slots {
            if matches!(slot.state, SlotState::Reserved) {
                let finished = FinishedTicket::NotRun(Arc::clone(detail));
                slot.state = SlotState::Finished(finished);
            }
        }
    }

    /// Returns the outcomes of all tickets, for peers that respond to status
    /// queries after the shutdown. A call without an outcome is unknown.
    #[must_use]
    pub fn final_outcomes(&self) -> Vec<FinalOutcome<R>> {
        let still_running: Arc<str> =
            Arc::from("the daemon stopped while the call was running");
        let outcome = |(sequence, slot): (u64, &Slot<R>)| FinalOutcome {
            sequence,
            finished: match &slot.state {
                SlotState::Finished(finished) => finished.clone(),
                _ => FinishedTicket::Unknown(Arc::clone(&still_running)),
            },
        };
        (self.first_sequence..).zip(&self.slots).map(outcome).collect()
    }

    fn slot_mut(&mut self, sequence: u64) -> Option<&mut Slot<R>> {
        let at = sequence.checked_sub(self.first_sequence)?;
        self.slots.get_mut(usize::try_from(at).ok()?)
    }

    fn close_expired(&mut self, now: Instant, sequence: u64) {
        self.free_expired(now);
        let Some(slot) = self.slot_mut(sequence) else { return };
        if slot.expires_at <= now && matches!(slot.state, SlotState::Reserved)
        {
            let detail = Arc::from("the ticket expired before it was used");
            slot.state = SlotState::Finished(FinishedTicket::NotRun(detail));
        }
    }

    /// Returns when a slot may be freed.
    fn retained_until(&self, slot: &Slot<R>) -> Instant {
        slot.expires_at + self.limits.retention
    }

    /// Frees the oldest slots whose retention time is over. Stops at a slot
    /// whose call is running, which is never freed.
    fn free_expired(&mut self, now: Instant) {
        while let Some(slot) = self.slots.front() {
            let running = matches!(
                slot.state,
                SlotState::Running | SlotState::Dispatched
            );
            if running || self.retained_until(slot) > now {
                return;
            }
            self.responses_bytes -= slot.response_bytes;
            self.slots.pop_front();
            self.first_sequence += 1;
        }
    }

    /// Drops the oldest responses until the rest is within the limit. The
    /// fact that the call completed is kept.
    fn evict_responses(&mut self) {
        let limit = self.limits.responses_bytes;
        for slot in &mut self.slots {
            if self.responses_bytes <= limit {
                return;
            }
            if let SlotState::Finished(FinishedTicket::Completed(response)) =
                &mut slot.state
            {
                *response = None;
                self.responses_bytes -=
                    std::mem::take(&mut slot.response_bytes);
            }
        }
    }
}

#[cfg(test)]
mod tests;
