//! Keeps what callers make the process hold within its limits.
//!
//! [`CallerMemory`] is the process's account, whose decisions are made in
//! [`briarladder_core::fleet::caller_memory`]. A [`CallerConnection`] is one
//! connection in it, and a [`Charge`] the bytes of one buffer, which are
//! released when it is dropped.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use briarladder_core::{
    clock::SharedClock,
    fleet::caller_memory::{
        Activity, CallerMemory as Account, CallerMemoryExhausted,
        CallerMemoryLimits, ConnectionId, ConnectionRoom, RELAY_BYTES,
    },
    sorted::SortedMap,
};
use bytes::Bytes;
use tokio::{sync::Notify, time::timeout};

use crate::receive_buffer::ReceiveBuffer;

/// How long one victim is waited for before another connection is closed for
/// a new one.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);

/// The interval of log lines about callers that were turned away.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The least capacity of a buffer.
const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// Received bytes are recorded in steps of this size, so that chunks of one
/// byte cost little.
const RECORD_STEP_BYTES: usize = 4 * 1024;

/// What callers hold, and how many were turned away since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerMemoryStatus {
    /// The bytes that are held for callers.
    pub held_bytes: usize,
    /// The open connections of callers.
    pub connections: usize,
    /// Requests that were refused, and connections that were closed, since the
    /// memory for callers was used up.
    pub turned_away_for_memory: u64,
    /// The same, because a new connection needed room.
    pub turned_away_for_connections: u64,
}

/// The account of what callers make the process hold.
#[derive(Debug)]
pub struct CallerMemory {
    clock: SharedClock,
    state: Mutex<State>,
    connection_ended: Notify,
}

#[derive(Debug)]
struct State {
    account: Account,
    signals: SortedMap<ConnectionId, Arc<Signals>>,
    status: CallerMemoryStatus,
    logged_at: Option<Instant>,
}

/// What tells a connection to end.
#[derive(Debug, Default)]
struct Signals {
    /// The request whose body is being received is to be refused.
    refuse: Notify,
    /// The connection is to be closed at once.
    close: Notify,
}

impl State {
    /// Tells a connection to end. A request whose body is incomplete has not
    /// run, so that it can be refused; other connections are closed.
    fn notify(&self, id: ConnectionId) {
        let Some(signals) = self.signals.get(&id) else { return };
        match self.account.activity(id) {
            Some(Activity::Receiving) => signals.refuse.notify_one(),
            _ => signals.close.notify_one(),
        }
    }

    fn log(&mut self, now: Instant) {
        let is_due = self
            .logged_at
            .is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if !is_due {
            return;
        }
        self.logged_at = Some(now);
        let limits = self.account.limits();
        log::warn!(
            "callers: turned_away_for_memory={} \
             turned_away_for_connections={} held_bytes={} budget_bytes={} \
             connections={} max_connections={}",
            self.status.turned_away_for_memory,
            self.status.turned_away_for_connections,
            self.account.held_bytes(),
            limits.budget_bytes,
            self.account.open_connections(),
            limits.max_connections,
        );
    }
}

impl CallerMemory {
    /// Creates an empty account.
    #[must_use]
    pub fn new(
        clock: SharedClock,
        limits: CallerMemoryLimits,
    ) -> Arc<CallerMemory> {
        let state = State {
            account: Account::new(limits),
            signals: SortedMap::new(),
            status: CallerMemoryStatus::default(),
            logged_at: None,
        };
        Arc::new(CallerMemory {
            clock,
            state: Mutex::new(state),
            connection_ended: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what callers hold now.
    #[must_use]
    pub fn status(&self) -> CallerMemoryStatus {
        let state = self.lock();
        CallerMemoryStatus {
            held_bytes: state.account.held_bytes(),
            connections: state.account.open_connections(),
            ..state.status
        }
    }

    /// Returns the number of connections whose callers have not read what is
    /// being written.
    #[must_use]
    pub fn blocked_connections(&self) -> usize {
        self.lock().account.blocked_connections()
    }

    /// Adds a connection, whether there is room for it or not.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> Arc<CallerConnection> {
        let mut state = self.lock();
        let id = state.account.open(self.clock.now());
        let signals = Arc::new(Signals::default());
        state.signals.insert(id, Arc::clone(&signals));
        let memory = Arc::clone(self);
        let unread_body = AtomicBool::new(false);
        Arc::new(CallerConnection { memory, id, signals, unread_body })
    }

    /// Waits until there is room for one more connection, and adds it.
    /// Connections without a request under way make room.
    pub async fn admit(self: &Arc<Self>) -> Arc<CallerConnection> {
        loop {
            let ended = self.connection_ended.notified();
            if self.make_room() {
                return self.open();
            }
            // Room may also come from a caller that stalls meanwhile.
            let _ = timeout(ROOM_TIMEOUT, ended).await;
        }
    }

    /// Refuses stalled requests until there is room for one more connection.
    /// For a server that admits connections itself, and must be called at
    /// intervals.
    pub fn trim_connections(&self) {
        let (open, max) = {
            let account = &self.lock().account;
            (account.open_connections(), account.limits().max_connections)
        };
        for _ in max..=open {
            self.make_room();
        }
    }

    /// Charges bytes, and tells the connections to end that make room for them.
    fn charge_with(
        &self,
        charge: impl FnOnce(
            &mut Account,
            Instant,
        )
            -> Result<Vec<ConnectionId>, CallerMemoryExhausted>,
    ) -> Result<(), CallerMemoryExhausted> {
        let now = self.clock.now();
        let mut state = self.lock();
        let charged = charge(&mut state.account, now);
        let turned_away = match &charged {
            Ok(victims) => victims.len() as u64,
            Err(CallerMemoryExhausted) => 1,
        };
        if turned_away > 0 {
            state.status.turned_away_for_memory += turned_away;
            state.log(now);
        }
        for victim in charged? {
            state.notify(victim);
        }
        Ok(())
    }

    /// Returns whether there is room for one more connection, and otherwise
    /// closes one if it may.
    fn make_room(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        match state.account.make_connection_room(now) {
            ConnectionRoom::Available => true,
            ConnectionRoom::None => false,
            ConnectionRoom::AfterClosing(id) => {
                state.notify(id);
                state.status.turned_away_for_connections += 1;
                state.log(now);
                false
            }
        }
    }
}

/// A connection of a caller, which is removed from the account when dropped.
pub struct CallerConnection {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
    signals: Arc<Signals>,
    /// The body of its last request was not read to the end.
    unread_body: AtomicBool,
}

impl fmt::Debug for CallerConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CallerConnection").field(&self.id).finish()
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.signals.remove(&self.id);
        state.account.close(self.id);
        drop(state);
        self.memory.connection_ended.notify_waiters();
    }
}

impl CallerConnection {
    /// Returns the time of the account's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.memory.clock.now()
    }

    /// Records what the connection does.
    pub fn set_activity(&self, activity: Activity) {
        let now = self.memory.clock.now();
        self.memory.lock().account.set_activity(now, self.id, activity);
    }

    /// Records whether the caller leaves unread what is being written.
    pub fn set_blocked(&self, blocked: bool) {
        let now = self.memory.clock.now();
        self.memory.lock().account.set_blocked(now, self.id, blocked);
    }

    /// Returns whether the connection was told to end.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.memory.lock().account.is_evicted(self.id)
    }

    /// Records whether the body of the last request is still to be read.
    pub fn set_unread_body(&self, unread: bool) {
        self.unread_body.store(unread, Ordering::Relaxed);
    }

    /// Returns whether the body of the last request was not read to the end.
    #[must_use]
    pub fn has_unread_body(&self) -> bool {
        self.unread_body.load(Ordering::Relaxed)
    }

    /// Waits until the request whose body is being received is to be refused.
    pub async fn wait_refused(&self) {
        self.signals.refuse.notified().await;
    }

    /// Waits until the connection is to be closed at once.
    pub async fn wait_closed(&self) {
        self.signals.close.notified().await;
    }

    /// Charges bytes to the connection until the charge is dropped.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    pub fn charge(
        &self,
        bytes: usize,
    ) -> Result<Charge, CallerMemoryExhausted> {
        let mut charge =
            Charge { memory: Arc::clone(&self.memory), id: self.id, bytes: 0 };
        charge.resize(bytes)?;
        Ok(charge)
    }

    /// Charges what a request takes to run, until the charge is dropped.
    ///
    /// # Errors
    ///
    /// If there is no room for it.
    pub fn charge_run(
        &self,
        bytes: usize,
    ) -> Result<RunCharge, CallerMemoryExhausted> {
        let memory = Arc::clone(&self.memory);
        memory.charge_with(|account, now| {
            account.charge_run(now, self.id, bytes)
        })?;
        Ok(RunCharge { memory, id: self.id, bytes })
    }

    /// Charges what a reply takes that is passed on, until the charge is
    /// dropped.
    ///
    /// # Errors
    ///
    /// If there is no room for it.
    pub fn charge_relay(&self) -> Result<RunCharge, CallerMemoryExhausted> {
        let memory = Arc::clone(&self.memory);
        memory
            .charge_with(|account, now| account.charge_relay(now, self.id))?;
        Ok(RunCharge { memory, id: self.id, bytes: RELAY_BYTES })
    }

    /// Charges bytes that were received for the caller, until their last copy
    /// is dropped.
    ///
    /// # Errors
    ///
    /// With the bytes, if there is no room for them.
    pub fn charge_bytes(&self, bytes: Vec<u8>) -> Result<Bytes, Vec<u8>> {
        match self.charge(bytes.capacity()) {
            Ok(charge) => {
                let bytes = ReceiveBuffer::Heap(bytes);
                Ok(Bytes::from_owner(ChargedBytes { bytes, _charge: charge }))
            }
            Err(CallerMemoryExhausted) => Err(bytes),
        }
    }

    fn record_received(&self, bytes: usize) {
        let now = self.memory.clock.now();
        self.memory.lock().account.record_received(now, self.id, bytes);
    }
}

/// Bytes that are charged to a connection, also after it has ended.
#[derive(Debug)]
pub struct Charge {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
    bytes: usize,
}

impl Charge {
    /// Changes the number of bytes.
    ///
    /// # Errors
    ///
    /// If there is no room for more of them; the charge is then as before.
    pub fn resize(
        &mut self,
        bytes: usize,
    ) -> Result<(), CallerMemoryExhausted> {
        if bytes <= self.bytes {
            let mut state = self.memory.lock();
            state.account.release(self.id, self.bytes - bytes);
        } else {
            let more_bytes = bytes - self.bytes;
            self.memory.charge_with(|account, now| {
                account.charge(now, self.id, more_bytes)
            })?;
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.memory.lock().account.release(self.id, self.bytes);
    }
}

/// What a request takes to run, or a reply to be passed on. It is charged to
/// the connection, also after that has ended.
#[derive(Debug)]
pub struct RunCharge {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
    bytes: usize,
}

impl Drop for RunCharge {
    fn drop(&mut self) {
        self.memory.lock().account.release_run(self.id, self.bytes);
    }
}

/// A buffer whose capacity is charged to a connection.
#[derive(Debug)]
pub struct ChargedBuffer<'a> {
    connection: &'a CallerConnection,
    bytes: ReceiveBuffer,
    charge: Charge,
    max_capacity_bytes: usize,
    unrecorded_bytes: usize,
}

impl<'a> ChargedBuffer<'a> {
    /// Creates an empty buffer. Its capacity is at most `max_capacity_bytes`
    /// unless more is written to it.
    ///
    /// # Errors
    ///
    /// If the connection was told to end.
    pub fn new(
        connection: &'a CallerConnection,
        max_capacity_bytes: usize,
    ) -> Result<ChargedBuffer<'a>, CallerMemoryExhausted> {
        Ok(ChargedBuffer {
            connection,
            bytes: ReceiveBuffer::default(),
            charge: connection.charge(0)?,
            max_capacity_bytes,
            unrecorded_bytes: 0,
        })
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// If there is no room for them; the buffer is then as before.
    pub fn push(&mut self, data: &[u8]) -> Result<(), CallerMemoryExhausted> {
        let len = self.bytes.len() + data.len();
        if len > self.bytes.capacity() {
            self.grow(len)?;
        }
        self.bytes.extend_from_slice(data);
        self.unrecorded_bytes += data.len();
        if self.unrecorded_bytes >= RECORD_STEP_BYTES {
            self.connection.record_received(self.unrecorded_bytes);
            self.unrecorded_bytes = 0;
        }
        Ok(())
    }

    /// Appends bytes that the process holds anyway.
    pub fn push_uncharged(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
    }

    fn grow(&mut self, len: usize) -> Result<(), CallerMemoryExhausted> {
        let doubled = self.bytes.capacity() * 2;
        let capacity = doubled
            .max(MIN_CAPACITY_BYTES)
            .min(self.max_capacity_bytes)
            .max(len);
        // Both allocations exist while the bytes are moved.
        self.charge.resize(self.bytes.capacity() + capacity)?;
        self.bytes.reserve(capacity);
        self.charge.resize(self.bytes.capacity())
    }

    /// Returns the bytes, which stay charged until their last copy is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        let ChargedBuffer { bytes, charge, .. } = self;
        Bytes::from_owner(ChargedBytes { bytes, _charge: charge })
    }
}

#[derive(Debug)]
struct ChargedBytes {
    bytes: ReceiveBuffer,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
