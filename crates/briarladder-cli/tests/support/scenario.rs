//! Runs one request of each kind and injects faults at given steps.
//!
//! A repeatable and a streamed request are sent to the first daemon. A
//! ticketed call is sent to the second daemon, which forwards it to the first,
//! the issuer of the ticket.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use anyhow::Context;
use briarladder_core::{
    ids::RequestId,
    load::ServerState,
    timeline::{EventFilter, EventKind},
};
use briarladder_standins::{
    fault::{Fault, Pattern, Rule},
    journal::{Entry, ExecutionStatus},
    platform::PlatformFault,
};
use briarladder_wire::callers::TicketState;
use tokio::{sync::watch, task::JoinSet};

use super::{
    caller::{Call, Caller},
    cells::{Injection, Step},
    fleet::{Endpoint, POLL_INTERVAL, PendingShutdown, TestFleet},
    history::{CallKind, CallRecord, CallResult},
    proxy::LinkState,
};

mod faults;

/// The duration of the early stages, long enough to observe each step.
const STAGE_DELAY: Duration = Duration::from_millis(40);

/// The duration of the `charge` stage and the transit time of its response.
/// With 40 ms, a busy machine delivered the response before the fault was
/// injected.
const CHARGE_DURATION: Duration = Duration::from_millis(150);
const DELIVERY_DELAY: Duration = Duration::from_millis(80);

/// The duration of a fault that the scenario ends.
const FAULT_DURATION: Duration = Duration::from_millis(300);

/// The time within which a crashed server must rebind its port. An outgoing
/// connection of another fleet may hold the port temporarily.
const RESTART_TIMEOUT: Duration = Duration::from_secs(15);

/// The timeout for reaching a step. An earlier fault may prevent a request
/// from reaching it.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of requests per daemon that cause a burst or a queue: twice the
/// slots of a pool.
const BURST_REQUESTS: usize = 16;

/// The time for delayed messages to arrive after all faults are cleared.
const SETTLE_DELAY: Duration = Duration::from_millis(60);

/// The time a call may continue after its caller disconnected: the pipelines'
/// deadline plus the timeout of the `charge` stage.
const ABANDONED_CALL_TIMEOUT: Duration = Duration::from_millis(2_600);

/// The text in the body of the repeatable request, which the poison fault
/// matches.
const MARKER: &str = "marked";

/// The records of one scenario and the steps it did not reach.
#[derive(Debug)]
pub struct ScenarioRun {
    /// The records of all requests, including the burst.
    pub records: Vec<CallRecord>,
    /// The IDs of the three requests; resent copies have the same IDs.
    pub request_ids: Vec<RequestId>,
    /// The injections whose step was not reached in time.
    pub unreached: Vec<Injection>,
}

/// Runs the requests and injects each fault at its step.
pub async fn run(
    fleet: &mut TestFleet,
    injections: &[Injection],
) -> anyhow::Result<ScenarioRun> {
    let mut injections = injections.to_vec();
    injections.sort_by_key(|injection| injection.step);
    let mut runner = Runner::new(fleet);
    runner.add_stage_delays();
    let mut unreached = Vec::new();
    for injection in &mut injections {
        injection.step = injection.injection_step();
    }
    injections.sort_by_key(|injection| injection.step);
    for step in [Step::Ticket, Step::Accept] {
        if step == Step::Accept {
            runner.issue_ticket().await;
        }
        for injection in injections.iter().filter(|i| i.step == step) {
            runner.inject(injection.fault).await?;
        }
    }
    if injections.iter().any(|i| i.step == Step::Queue) {
        runner.send_burst();
    }
    runner.send_all();
    for injection in injections.iter().filter(|i| i.step > Step::Accept) {
        if !runner.wait_for_step(injection.step).await? {
            unreached.push(*injection);
        }
        runner.inject(injection.fault).await?;
        if injection.step == Step::StatusQuery {
            runner.query_under_fault().await;
        }
    }
    if !runner.run_under_fault().await {
        tokio::time::sleep(FAULT_DURATION).await;
    }
    runner.clear_faults().await?;
    let request_ids = runner.request_ids();
    let records = runner.finish().await?;
    Ok(ScenarioRun { records, request_ids, unreached })
}

struct Runner<'a> {
    fleet: &'a mut TestFleet,
    caller: Caller,
    /// The issuer of the ticket, which serves all requests.
    issuer: Endpoint,
    /// The daemon that forwards the ticketed call to the issuer.
    forwarder: Endpoint,
    repeatable: Call,
    streamed: Call,
    ticketed: Option<Call>,
    cancel: watch::Sender<bool>,
    in_flight: JoinSet<CallRecord>,
    completed: Vec<CallRecord>,
    pending_shutdown: Option<PendingShutdown>,
    crashed_servers: Vec<String>,
    /// The ticket states returned while the fault was active.
    reported_states: Vec<TicketState>,
}

impl<'a> Runner<'a> {
    fn new(fleet: &'a mut TestFleet) -> Runner<'a> {
        let (issuer, forwarder) = (fleet.endpoint(0), fleet.endpoint(1));
        Runner {
            fleet,
            caller: Caller::new(),
            issuer,
            forwarder,
            repeatable: Call::new(CallKind::Repeatable, MARKER),
            streamed: Call::new(CallKind::Streamed, "streamed"),
            ticketed: None,
            cancel: watch::Sender::new(false),
            in_flight: JoinSet::new(),
            completed: Vec::new(),
            pending_shutdown: None,
            crashed_servers: Vec::new(),
            reported_states: Vec::new(),
        }
    }

    fn request_ids(&self) -> Vec<RequestId> {
        let calls = [&self.repeatable, &self.streamed];
        let calls = calls.into_iter().chain(&self.ticketed);
        calls.map(|call| call.request_id).collect()
    }

    fn add_rule(&self, stage: &str, fault: Fault, times: Option<u32>) {
        // Stage names come from the object set and are valid.
        let stage = Some(stage.parse().unwrap());
        let pattern = Pattern { stage, ..Pattern::default() };
        for backend in self.fleet.cluster().backends() {
            let pattern = pattern.clone();
            backend.faults().add(Rule { pattern, fault, times });
        }
    }

    fn add_stage_delays(&self) {
        for stage in ["encode", "lookup"] {
            self.add_rule(stage, Fault::Slow(STAGE_DELAY), None);
        }
        self.add_rule("charge", Fault::Slow(CHARGE_DURATION), None);
        // Delays the response so that a fault can be injected while it is in
        // transit.
        self.add_rule("charge", Fault::DelayResponse(DELIVERY_DELAY), None);
    }

    /// Requests a ticket from the issuer, or from the other daemon if the
    /// issuer returns none.
    async fn issue_ticket(&mut self) {
        for endpoint in [&self.issuer, &self.forwarder] {
            if let Ok(ticket) = self.caller.ticket(endpoint).await {
                let call = Call::new(CallKind::Ticketed, "ticketed");
                self.ticketed = Some(call.with_ticket(ticket));
                return;
            }
        }
    }

    fn send(&mut self, endpoint: &Endpoint, call: &Call) {
        let (caller, endpoint, call) =
            (self.caller.clone(), endpoint.clone(), call.clone());
        let mut cancel = self.cancel.subscribe();
        self.in_flight.spawn(async move {
            let sent_at = Instant::now();
            tokio::select! {
                record = caller.send(&endpoint, &call) => record,
                _ = cancel.wait_for(|cancel| *cancel) => CallRecord {
                    kind: call.kind,
                    request_id: call.request_id,
                    input: call.input.clone(),
                    vm: endpoint.vm.clone(),
                    sent_at,
                    tokens: Vec::new(),
                    results: vec![CallResult::Left],
                    ticket_states: Vec::new(),
                },
            }
        });
    }

    fn send_all(&mut self) {
        let (issuer, forwarder) =
            (self.issuer.clone(), self.forwarder.clone());
        let (repeatable, streamed) =
            (self.repeatable.clone(), self.streamed.clone());
        self.send(&issuer, &repeatable);
        self.send(&issuer, &streamed);
        if let Some(call) = self.ticketed.clone() {
            self.send(&forwarder, &call);
        }
    }

    /// Resends every request to the daemon that did not receive it.
    fn resend_all(&mut self) {
        let (issuer, forwarder) =
            (self.issuer.clone(), self.forwarder.clone());
        let (repeatable, streamed) =
            (self.repeatable.clone(), self.streamed.clone());
        self.send(&forwarder, &repeatable);
        self.send(&forwarder, &streamed);
        if let Some(call) = self.ticketed.clone() {
            self.send(&issuer, &call);
        }
    }

    fn send_burst(&mut self) {
        for number in 0..BURST_REQUESTS {
            for endpoint in [self.issuer.clone(), self.forwarder.clone()] {
                let text = format!("burst {number}");
                let call = Call::new(CallKind::Repeatable, &text);
                self.send(&endpoint, &call);
            }
        }
    }

    /// Waits until a step is reached and returns whether it was.
    async fn wait_for_step(&mut self, step: Step) -> anyhow::Result<bool> {
        match step {
            Step::Configuration => {
                self.fleet.publish_next()?;
                return Ok(true);
            }
            Step::MembershipChange => {
                self.fleet.start_daemon("east-a").await?;
                self.fleet.publish_vm_list();
                let leaving = self.fleet.backend("catalogue-b");
                leaving.set_state(ServerState::Leaving);
                return Ok(true);
            }
            Step::StatusQuery => {
                self.collect().await;
                return Ok(true);
            }
            _ => {}
        }
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut reached = self.is_reached(step);
        while !reached && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
            reached = self.is_reached(step);
        }
        if step == Step::Wait {
            tokio::time::sleep(STAGE_DELAY / 3).await;
        }
        if step == Step::PlannedStop {
            let vm = self.issuer.vm.clone();
            self.pending_shutdown = self.fleet.begin_shutdown(&vm).ok();
        }
        Ok(reached)
    }

    fn is_reached(&self, step: Step) -> bool {
        let Some(id) = self.ticketed.as_ref().map(|call| call.request_id)
        else {
            return false;
        };
        match step {
            Step::Queue => {
                let has_queue = self.fleet.daemons().iter().any(|process| {
                    process.daemon().slots.queue_len_requests() > 0
                });
                has_queue && self.is_reached(Step::Admit)
            }
            Step::Admit => self.request_ids().into_iter().all(|id| {
                self.has_event(id, |kind| {
                    matches!(kind, EventKind::Accepted { .. })
                })
            }),
            Step::NextStage => self.has_event(id, |kind| {
                matches!(kind, EventKind::StageDone { .. })
            }),
            Step::DispatchBeforeFirstByte => {
                self.executions(id, "lookup").next().is_some()
            }
            Step::DispatchAfterFirstByte | Step::Wait | Step::PlannedStop => {
                self.executions(id, "charge").next().is_some()
            }
            Step::Deliver => self
                .executions(id, "charge")
                .any(|entry| entry.status == ExecutionStatus::Completed),
            Step::Stream => {
                self.streamed.tokens_received.load(Ordering::Acquire) >= 3
            }
            _ => true,
        }
    }

    fn executions(
        &self,
        id: RequestId,
        stage: &'static str,
    ) -> impl Iterator<Item = Entry> + use<> {
        let entries = self.fleet.cluster().journal().entries();
        entries.into_iter().filter(move |entry| {
            entry.request_id == id && entry.stage.as_str() == stage
        })
    }

    fn has_event(
        &self,
        id: RequestId,
        matches: impl Fn(&EventKind) -> bool,
    ) -> bool {
        let filter =
            EventFilter { request_id: Some(id), ..EventFilter::default() };
        self.fleet.daemons().iter().any(|process| {
            let events = &process.daemon().events;
            let page = events.page(0, usize::MAX, &filter);
            page.events.iter().any(|event| matches(&event.kind))
        })
    }

    /// Lets requests continue under the fault for [`FAULT_DURATION`] and returns
    /// whether all completed.
    async fn run_under_fault(&mut self) -> bool {
        tokio::time::timeout(FAULT_DURATION, self.collect()).await.is_ok()
    }

    async fn collect(&mut self) {
        while let Some(record) = self.in_flight.join_next().await {
            // A panicking caller is an error in the test itself.
            self.completed.push(record.expect("a caller does not panic"));
        }
    }

    /// Queries the status of the ticket while the fault is active.
    async fn query_under_fault(&mut self) {
        let Some(ticket) =
            self.ticketed.as_ref().and_then(|c| c.ticket.clone())
        else {
            return;
        };
        for process in self.fleet.running() {
            let status = self.caller.status(process.endpoint(), &ticket).await;
            // A failed query is allowed here; the invariants check the states.
            self.reported_states
                .extend(status.ok().map(|status| status.state));
        }
    }

    /// Clears all faults except killed daemons and restarts crashed servers.
    async fn clear_faults(&mut self) -> anyhow::Result<()> {
        for backend in self.fleet.cluster().backends() {
            backend.faults().clear();
            backend.set_state(ServerState::Ready);
        }
        self.set_peer_links(LinkState::Open);
        self.set_platform_links(LinkState::Open);
        self.fleet.set_server_links(LinkState::Open);
        let platform = self.fleet.platform();
        platform.set_fault(PlatformFault::None).await?;
        platform.set_stale(false);
        self.fleet.publish_vm_list();
        // A poison request may have crashed any server.
        for backend in self.fleet.cluster().backends() {
            let deadline = Instant::now() + RESTART_TIMEOUT;
            while !self.fleet.is_up(backend).await {
                let restarted = backend.restart().await;
                if Instant::now() > deadline {
                    restarted.context("restart")?;
                }
            }
        }
        Ok(())
    }

    /// Waits for all requests, then queries the status of the ticket.
    async fn finish(mut self) -> anyhow::Result<Vec<CallRecord>> {
        self.collect().await;
        if let Some(pending_shutdown) = self.pending_shutdown.take() {
            self.fleet.finish_shutdown(pending_shutdown).await;
        }
        tokio::time::sleep(SETTLE_DELAY).await;
        let Some(call) = self.ticketed.take() else {
            return Ok(self.completed);
        };
        let ticket = call.ticket.as_deref().unwrap_or_default();
        let mut ticket_states = std::mem::take(&mut self.reported_states);
        for process in self.fleet.running() {
            let ready = self.caller.readyz(process.endpoint()).await?;
            if !ready.status().is_success() {
                // A load balancer sends no requests to an unready daemon.
                continue;
            }
            let endpoint = process.endpoint().clone();
            let mut status = self.caller.status(&endpoint, ticket).await;
            let deadline = Instant::now() + ABANDONED_CALL_TIMEOUT;
            // A call continues after its caller has disconnected.
            while Instant::now() < deadline
                && matches!(&status, Ok(s) if s.state == TicketState::Running)
            {
                tokio::time::sleep(POLL_INTERVAL).await;
                status = self.caller.status(&endpoint, ticket).await;
            }
            ticket_states.push(status.context("status")?.state);
        }
        let copies = self.completed.iter_mut();
        for record in copies.filter(|r| r.request_id == call.request_id) {
            record.ticket_states.clone_from(&ticket_states);
        }
        Ok(self.completed)
    }
}
