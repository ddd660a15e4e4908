//! The state of one daemon, and ticketed calls that another daemon may own.
//!
//! The request path is in [`pipeline`](crate::pipeline); the background
//! tasks are in [`controllers`](crate::controllers).

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    admission::Estimates,
    clock::SharedClock,
    ids::Incarnation,
    membership::{Identity, new_incarnation},
    objects::snapshot::Snapshot,
    poison::Suspects,
    retry::Budget,
    routing::{self, Router},
    ticket::Claims,
    timeline::{EventKind, EventSubject, ForwardResult, ProcessId},
};
use briarladder_gateway::caller_memory::CallerMemory;
use briarladder_wire::{
    callers::{TicketState, TicketStatus},
    peers::{CallResult, ForwardResponse, ForwardedCall},
};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{
    backend::BackendClient,
    blackboard::Blackboard,
    controllers::{
        PlatformClient,
        config::{self, ConfigState},
        membership::{MembersState, PauseMonitor},
    },
    events::Events,
    metrics::Metrics,
    peers::PeerClient,
    pipeline::{
        Slots, TicketedCalls,
        limits::Limits,
        outcomes::{self, OutcomeStore},
        ticketed_calls,
    },
    refusal::{Refusal, RefusalKind},
    settings::Settings,
};

/// The state of one daemon, shared by all its tasks.
#[derive(Debug)]
pub struct Daemon {
    /// The settings of the process, already checked.
    pub settings: Settings,
    /// The source of time; tests replace it.
    pub clock: SharedClock,
    /// Identifies this run of the process among all runs on the VM.
    pub incarnation: Incarnation,
    /// The address that is advertised to peers.
    pub peer_address: SocketAddr,
    /// The configuration in force and the shutdown phase.
    pub blackboard: Blackboard,
    /// The slots of all pools and the queue of requests for them.
    pub slots: Arc<Slots>,
    /// The load and availability of backend servers.
    pub router: Mutex<Router>,
    /// The expected service time of each stage.
    pub estimates: Mutex<Estimates>,
    /// The retries that this daemon may still spend.
    pub retry_budget: Mutex<Budget>,
    /// The requests that may crash backend servers.
    pub suspects: Mutex<Suspects>,
    /// The leases for the limits of open requests.
    pub limits: Limits,
    /// The non-idempotent calls whose tickets this daemon issued.
    pub calls: TicketedCalls,
    /// The final outcomes that stopped daemons handed over to this one.
    pub outcomes: OutcomeStore,
    /// The client to backend servers.
    pub backend: BackendClient,
    /// The client to peers.
    pub peers: PeerClient,
    /// The timeline of this process.
    pub events: Events,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// What callers make the process hold.
    pub caller_memory: Arc<CallerMemory>,
    /// The client to the platform.
    pub platform: PlatformClient,
    /// The configurations that this daemon knows.
    pub config: ConfigState,
    /// The view of the fleet's daemons.
    pub members: MembersState,
    /// Detects pauses of the process, after which the views are stale.
    pub pause_monitor: PauseMonitor,
    /// When the daemon started.
    pub started_at: StartTime,
    /// One permit for each request that may be open at once.
    open_requests: Arc<Semaphore>,
}

/// The start of a daemon by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct StartTime {
    /// The time of the monotonic clock.
    pub monotonic: Instant,
    /// The time since the Unix epoch.
    pub unix: Duration,
}

impl Daemon {
    /// Creates a daemon that advertises `peer_address` to its peers.
    ///
    /// # Errors
    ///
    /// Returns an error when a client or the metrics can't be set up.
    pub fn new(
        settings: Settings,
        clock: SharedClock,
        peer_address: SocketAddr,
    ) -> anyhow::Result<Arc<Daemon>> {
        let incarnation = new_incarnation(clock.unix_time(), &mut rand::rng());
        let process = ProcessId { vm: settings.vm.clone(), incarnation };
        let identity = Identity {
            name: settings.vm.clone(),
            address: peer_address,
            zone: settings.zone.clone(),
            incarnation,
        };
        let place =
            routing::Settings::new(settings.vm.clone(), settings.zone.clone());
        Ok(Arc::new(Daemon {
            incarnation,
            peer_address,
            blackboard: Blackboard::new(),
            slots: Slots::new(Arc::clone(&clock)),
            router: Mutex::new(Router::new(place)),
            estimates: Mutex::new(Estimates::new()),
            retry_budget: Mutex::new(Budget::new(clock.now())),
            suspects: Mutex::new(Suspects::new()),
            limits: Limits::new(Arc::clone(&clock), &settings.vm),
            calls: TicketedCalls::new(incarnation),
            outcomes: OutcomeStore::default(),
            caller_memory: CallerMemory::new(
                Arc::clone(&clock),
                settings.caller_memory_limits(),
            ),
            backend: BackendClient::new(settings.max_output_bytes)?,
            peers: PeerClient::new(&settings.peer_key)?,
            events: Events::new(
                Arc::clone(&clock),
                process,
                settings.events_kept,
            ),
            metrics: Metrics::new(settings.statsd, &settings.vm)?,
            open_requests: Arc::new(Semaphore::new(
                settings.max_open_requests,
            )),
            platform: PlatformClient::new(settings.platform)?,
            config: ConfigState::default(),
            members: MembersState::new(identity, clock.now()),
            pause_monitor: PauseMonitor::new(Arc::clone(&clock)),
            started_at: StartTime {
                monotonic: clock.now(),
                unix: clock.unix_time(),
            },
            settings,
            clock,
        }))
    }

    /// Returns the configuration in force, for a new request.
    ///
    /// # Errors
    ///
    /// Returns a `NotReady` refusal when no configuration is in force.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>, Refusal> {
        let configuration = self.blackboard.configuration();
        configuration.snapshot.clone().ok_or_else(|| {
            let problem = configuration.problem.clone();
            let problem =
                problem.unwrap_or_else(|| Arc::from("none in force"));
            let detail = format!(
                "this daemon has no usable configuration: {problem}; retry \
                 to reach another daemon"
            );
            Refusal::new(RefusalKind::NotReady, detail)
                .with_retry_after(Duration::from_secs(1))
        })
    }

    /// Acquires a permit for one open request.
    ///
    /// # Errors
    ///
    /// Returns an `Overloaded` refusal when `max_open_requests` are open.
    pub fn open_request(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        let permits = Arc::clone(&self.open_requests);
        permits.try_acquire_owned().map_err(|_| {
            Refusal::new(
                RefusalKind::Overloaded,
                "this daemon has too many open requests; retry later",
            )
            .with_retry_after(Duration::from_secs(1))
        })
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open_requests_len(&self) -> usize {
        let free = self.open_requests.available_permits();
        self.settings.max_open_requests - free
    }

    /// Raises the lowest epoch that may be in force.
    pub fn raise_floor(&self, epoch: u64) {
        config::observe_floor(self, epoch);
    }

    /// Runs a ticketed call at the daemon that issued its ticket, which may
    /// be this one.
    pub async fn run_call(
        self: &Arc<Daemon>,
        issuer: SocketAddr,
        call: ForwardedCall,
    ) -> CallResult {
        if call.ticket.incarnation == self.incarnation {
            return ticketed_calls::run_call(self, call).await;
        }
        let started_at = self.clock.now();
        let request_id = call.head.request_id;
        let max_wait = ticketed_calls::max_wait(self, &call);
        let subject = EventSubject::default().with_request(request_id);
        let forwarded = EventKind::Forwarded { issuer_address: issuer };
        self.events.record(subject.clone(), forwarded);
        let sent_at = self.events.stamp();
        let forward = self.peers.call_forward(issuer, call, sent_at);
        let response = tokio::time::timeout(max_wait, forward).await;
        let (forward_result, result) = match response {
            Ok(Ok(ForwardResponse { sent_at, result })) => {
                self.events.observe(sent_at);
                let forward_result = match &result {
                    CallResult::Answered(_) => ForwardResult::Answered,
                    CallResult::Refused(_) => ForwardResult::Refused,
                };
                (forward_result, result)
            }
            Err(_) => {
                let refusal = Refusal::new(
                    RefusalKind::DeadlineExceeded,
                    "the deadline passed before the daemon that issued the \
                     ticket responded; query the status of the ticket",
                );
                let problem = refusal.problem(Some(request_id));
                (ForwardResult::NoAnswer, CallResult::Refused(problem))
            }
            Ok(Err(error)) => {
                log::warn!(
                    "peers: forwarding {request_id} to its issuer failed: \
                     {error}"
                );
                let refusal = Refusal::new(
                    RefusalKind::IssuerUnreachable,
                    "the daemon that issued the ticket can't be reached; \
                     query the status of the ticket later",
                );
                let problem = refusal.problem(Some(request_id));
                (ForwardResult::NoAnswer, CallResult::Refused(problem))
            }
        };
        let elapsed = self.clock.now().saturating_duration_since(started_at);
        let total_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let kind =
            EventKind::ForwardEnded { result: forward_result, total_ms };
        self.events.record(subject, kind);
        result
    }

    /// Returns the status of a ticketed call. If its issuer doesn't know it,
    /// asks the peers and plain services that may have its outcome.
    pub async fn call_status(&self, claims: &Claims) -> TicketStatus {
        let status = self.issuer_status(claims).await;
        if status.state != TicketState::Unknown {
            return status;
        }
        let search = outcomes::search(self, claims.id, &claims.workspace);
        search.await.unwrap_or(status)
    }

    /// Returns the status of a ticketed call as its issuer knows it.
    async fn issuer_status(&self, claims: &Claims) -> TicketStatus {
        if claims.id.incarnation == self.incarnation {
            return ticketed_calls::call_status(self, claims.id);
        }
        let status =
            self.peers.call_status(claims.peer_address, claims.id).await;
        status.unwrap_or_else(|error| {
            log::warn!(
                "peers: querying the status of {} failed: {error}",
                claims.id
            );
            ticketed_calls::unknown_status(
                "the daemon that issued the ticket can't be reached",
            )
        })
    }

    /// Closes a ticket at its issuer, unless its call has started.
    pub async fn close_call(&self, claims: &Claims) -> TicketStatus {
        if claims.id.incarnation == self.incarnation {
            return self.calls.close(self.clock.now(), claims.id.sequence);
        }
        let status =
            self.peers.call_close(claims.peer_address, claims.id).await;
        status.unwrap_or_else(|error| {
            log::warn!("peers: closing ticket {} failed: {error}", claims.id);
            ticketed_calls::unknown_status(
                "the daemon that issued the ticket can't be reached, so the \
                 ticket is not closed",
            )
        })
    }
}
