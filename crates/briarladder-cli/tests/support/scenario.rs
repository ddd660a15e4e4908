//! Runs one request of each kind, with faults at chosen steps.
//!
//! A repeatable and a streamed request go to the first daemon. A ticketed
//! call goes to the second one, which forwards it to the first, the issuer.

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
    fleet::{Place, RECHECK, Stopping, TestFleet},
    history::{CallEnd, CallKind, Record},
    proxy::Link,
};

mod faults;

/// The time that the early stages take, so that each step lasts long enough
/// to be met.
const STEP_TIME: Duration = Duration::from_millis(40);

/// The times that the charge runs and that its answer is on the way. With
/// 40 ms, a busy machine delivered the answer before the fault struck.
const CHARGE_TIME: Duration = Duration::from_millis(150);
const DELIVERY_TIME: Duration = Duration::from_millis(80);

/// How long a fault lasts that ends on its own.
const FAULT_TIME: Duration = Duration::from_millis(300);

/// How long a crashed server may take to get its port back, which an outgoing
/// connection of another fleet may have taken meanwhile.
const RESTART_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a step is waited for. An earlier fault may keep a request from
/// reaching it.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);

/// The requests of a burst, and of a queue: twice the slots of a pool.
const BURST_REQUESTS: usize = 16;

/// The time for what was sent late to arrive, after all faults ended.
const SETTLE_TIME: Duration = Duration::from_millis(60);

/// How long a call may run after its caller left: the deadline of the
/// pipelines and the time-out of the charge.
const CALL_TIME: Duration = Duration::from_millis(2_600);

/// The text in the body of the repeatable request.
const MARKER: &str = "marked";

/// What callers saw in one scenario, and which steps were met.
#[derive(Debug)]
pub struct Ran {
    /// What callers saw, the burst included.
    pub records: Vec<Record>,
    /// The records of the three requests and their copies.
    pub own: Vec<RequestId>,
    /// The injections whose step was not met in time.
    pub missed: Vec<Injection>,
}

/// Runs the requests with faults at their steps.
pub async fn run(
    fleet: &mut TestFleet,
    injections: &[Injection],
) -> anyhow::Result<Ran> {
    let mut injections = injections.to_vec();
    injections.sort_by_key(|injection| injection.step);
    let mut runner = Runner::new(fleet);
    runner.slow_stages();
    let mut missed = Vec::new();
    for injection in &mut injections {
        injection.step = injection.step_of_cause();
    }
    injections.sort_by_key(|injection| injection.step);
    for step in [Step::Ticket, Step::Accept] {
        if step == Step::Accept {
            runner.prepare().await;
        }
        for injection in injections.iter().filter(|i| i.step == step) {
            runner.inject(injection.fault).await?;
        }
    }
    if injections.iter().any(|i| i.step == Step::Queue) {
        runner.burst();
    }
    runner.send_all();
    for injection in injections.iter().filter(|i| i.step > Step::Accept) {
        if !runner.reach(injection.step).await? {
            missed.push(*injection);
        }
        runner.inject(injection.fault).await?;
        if injection.step == Step::StatusQuery {
            runner.query_under_fault().await;
        }
    }
    if !runner.pass_time().await {
        tokio::time::sleep(FAULT_TIME).await;
    }
    runner.heal().await?;
    let own = runner.own();
    let records = runner.finish().await?;
    Ok(Ran { records, own, missed })
}

struct Runner<'a> {
    fleet: &'a mut TestFleet,
    caller: Caller,
    /// The issuer, which serves all requests.
    issuer: Place,
    /// The daemon that forwards.
    other: Place,
    repeatable: Call,
    streamed: Call,
    ticketed: Option<Call>,
    leave: watch::Sender<bool>,
    sent: JoinSet<Record>,
    done: Vec<Record>,
    stopping: Option<Stopping>,
    crashed: Vec<String>,
    /// The states that queries told under the fault.
    told: Vec<TicketState>,
}

impl<'a> Runner<'a> {
    fn new(fleet: &'a mut TestFleet) -> Runner<'a> {
        let (issuer, other) = (fleet.place(0), fleet.place(1));
        Runner {
            fleet,
            caller: Caller::new(),
            issuer,
            other,
            repeatable: Call::new(CallKind::Repeatable, MARKER),
            streamed: Call::new(CallKind::Streamed, "streamed"),
            ticketed: None,
            leave: watch::Sender::new(false),
            sent: JoinSet::new(),
            done: Vec::new(),
            stopping: None,
            crashed: Vec::new(),
            told: Vec::new(),
        }
    }

    fn own(&self) -> Vec<RequestId> {
        let calls = [&self.repeatable, &self.streamed];
        let calls = calls.into_iter().chain(&self.ticketed);
        calls.map(|call| call.request_id).collect()
    }

    fn rule(&self, stage: &str, fault: Fault, times: Option<u32>) {
        // OK because the stages are those of the object set.
        let stage = Some(stage.parse().unwrap());
        let pattern = Pattern { stage, ..Pattern::default() };
        for backend in self.fleet.cluster().backends() {
            let pattern = pattern.clone();
            backend.faults().add(Rule { pattern, fault, times });
        }
    }

    fn slow_stages(&self) {
        for stage in ["encode", "lookup"] {
            self.rule(stage, Fault::Slow(STEP_TIME), None);
        }
        self.rule("charge", Fault::Slow(CHARGE_TIME), None);
        // What has run is on its way for a while, so that a fault can meet
        // the delivery.
        self.rule("charge", Fault::DelayResponse(DELIVERY_TIME), None);
    }

    /// Takes the ticket, from the other daemon if the first has none.
    async fn prepare(&mut self) {
        for place in [&self.issuer, &self.other] {
            if let Ok(ticket) = self.caller.ticket(place).await {
                let call = Call::new(CallKind::Ticketed, "ticketed");
                self.ticketed = Some(call.with_ticket(ticket));
                return;
            }
        }
    }

    fn send(&mut self, at: &Place, call: &Call) {
        let (caller, at, call) =
            (self.caller.clone(), at.clone(), call.clone());
        let mut leave = self.leave.subscribe();
        self.sent.spawn(async move {
            let sent_at = Instant::now();
            tokio::select! {
                record = caller.send(&at, &call) => record,
                _ = leave.wait_for(|leave| *leave) => Record {
                    kind: call.kind,
                    request_id: call.request_id,
                    input: call.input.clone(),
                    vm: at.vm.clone(),
                    sent_at,
                    tokens: Vec::new(),
                    ends: vec![CallEnd::Left],
                    states: Vec::new(),
                },
            }
        });
    }

    fn send_all(&mut self) {
        let (issuer, other) = (self.issuer.clone(), self.other.clone());
        let (repeatable, streamed) =
            (self.repeatable.clone(), self.streamed.clone());
        self.send(&issuer, &repeatable);
        self.send(&issuer, &streamed);
        if let Some(call) = self.ticketed.clone() {
            self.send(&other, &call);
        }
    }

    /// Sends every request again, to the daemon that did not get it.
    fn resend_all(&mut self) {
        let (issuer, other) = (self.issuer.clone(), self.other.clone());
        let (repeatable, streamed) =
            (self.repeatable.clone(), self.streamed.clone());
        self.send(&other, &repeatable);
        self.send(&other, &streamed);
        if let Some(call) = self.ticketed.clone() {
            self.send(&issuer, &call);
        }
    }

    fn burst(&mut self) {
        for number in 0..BURST_REQUESTS {
            for place in [self.issuer.clone(), self.other.clone()] {
                let text = format!("burst {number}");
                let call = Call::new(CallKind::Repeatable, &text);
                self.send(&place, &call);
            }
        }
    }

    /// Waits until a step is met; returns whether it was.
    async fn reach(&mut self, step: Step) -> anyhow::Result<bool> {
        match step {
            Step::Configuration => {
                self.fleet.publish_next()?;
                return Ok(true);
            }
            Step::MembershipChange => {
                self.fleet.start_daemon("east-a").await?;
                self.fleet.list_vms();
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
        let until = Instant::now() + STEP_TIMEOUT;
        let mut met = self.is_met(step);
        while !met && Instant::now() < until {
            tokio::time::sleep(RECHECK).await;
            met = self.is_met(step);
        }
        if step == Step::Wait {
            tokio::time::sleep(STEP_TIME / 3).await;
        }
        if step == Step::PlannedStop {
            let vm = self.issuer.vm.clone();
            self.stopping = self.fleet.begin_stop(&vm).ok();
        }
        Ok(met)
    }

    fn is_met(&self, step: Step) -> bool {
        let Some(id) = self.ticketed.as_ref().map(|call| call.request_id)
        else {
            return false;
        };
        match step {
            Step::Queue => {
                let queues = self.fleet.daemons().iter().any(|process| {
                    process.daemon().slots.queue_len_requests() > 0
                });
                queues && self.is_met(Step::Admit)
            }
            Step::Admit => self.own().into_iter().all(|id| {
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
                self.streamed.tokens_seen.load(Ordering::Acquire) >= 3
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

    /// Lets requests go on under the fault; returns whether all ended.
    async fn pass_time(&mut self) -> bool {
        tokio::time::timeout(FAULT_TIME, self.collect()).await.is_ok()
    }

    async fn collect(&mut self) {
        while let Some(record) = self.sent.join_next().await {
            // A panic of a caller is a fault of the test.
            self.done.push(record.expect("a caller does not panic"));
        }
    }

    /// Asks for the status of the ticket while the fault lasts.
    async fn query_under_fault(&mut self) {
        let Some(ticket) =
            self.ticketed.as_ref().and_then(|c| c.ticket.clone())
        else {
            return;
        };
        for process in self.fleet.running() {
            let told = self.caller.status(process.place(), &ticket).await;
            // No answer is no contradiction; the invariants check the rest.
            self.told.extend(told.ok().map(|status| status.state));
        }
    }

    /// Ends every fault that can end.
    async fn heal(&mut self) -> anyhow::Result<()> {
        for backend in self.fleet.cluster().backends() {
            backend.faults().clear();
            backend.set_state(ServerState::Ready);
        }
        self.set_peer_links(Link::Open);
        self.set_platform_links(Link::Open);
        self.fleet.set_server_links(Link::Open);
        let platform = self.fleet.platform();
        platform.set_fault(PlatformFault::None).await?;
        platform.set_stale(false);
        self.fleet.list_vms();
        // A poison request crashes servers that the scenario did not choose.
        for backend in self.fleet.cluster().backends() {
            let until = Instant::now() + RESTART_TIMEOUT;
            while !self.fleet.is_up(backend).await {
                let restarted = backend.restart().await;
                if Instant::now() > until {
                    restarted.context("restart")?;
                }
            }
        }
        Ok(())
    }

    /// Waits for all requests, then asks for the status of the ticket.
    async fn finish(mut self) -> anyhow::Result<Vec<Record>> {
        self.collect().await;
        if let Some(stopping) = self.stopping.take() {
            self.fleet.finish_stop(stopping).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let Some(call) = self.ticketed.take() else { return Ok(self.done) };
        let ticket = call.ticket.as_deref().unwrap_or_default();
        let mut states = std::mem::take(&mut self.told);
        for process in self.fleet.running() {
            let ready = self.caller.readyz(process.place()).await?;
            if !ready.status().is_success() {
                // A balancer sends nothing there.
                continue;
            }
            let place = process.place().clone();
            let mut told = self.caller.status(&place, ticket).await;
            let until = Instant::now() + CALL_TIME;
            // A call goes on when its caller left.
            while Instant::now() < until
                && matches!(&told, Ok(t) if t.state == TicketState::Running)
            {
                tokio::time::sleep(RECHECK).await;
                told = self.caller.status(&place, ticket).await;
            }
            states.push(told.context("status")?.state);
        }
        let copies = self.done.iter_mut();
        for record in copies.filter(|r| r.request_id == call.request_id) {
            record.states.clone_from(&states);
        }
        Ok(self.done)
    }
}
