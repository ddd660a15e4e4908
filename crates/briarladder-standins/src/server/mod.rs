//! The parts common to all backend servers: the request path, load reports,
//! injected faults, cancellation, crash and restart.
//!
//! # Example
//!
//! ```
//! use briarladder_core::names::ServerName;
//! use briarladder_standins::server::ServerSettings;
//!
//! let name = ServerName::new("encoder-1").unwrap();
//! let settings = ServerSettings::new(name, 8);
//! assert_eq!(settings.port, 0);
//! ```

use std::{
    future, io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use briarladder_core::{
    ids::{Incarnation, RequestId},
    load::{LoadReport, ServerState},
    names::{ModelVersionName, ServerName},
    objects::Role,
};
use briarladder_wire::backend::{RunRequest, RunResponse};
use salvo::{Request, Response, async_trait, conn::ConnCtrl};
use serde_json::value::RawValue;
use tokio::{sync::Notify, task::JoinSet};

use crate::{
    fault::{Fault, Faults, RequestFaults},
    journal::Journal,
    listener::{Listener, ListenerAborter},
    output, response,
    slots::Slots,
};

mod request;

pub(crate) use request::Job;
use request::RequestHandler;

/// Settings common to all backend servers.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// The name of the backend server in the journal.
    pub name: ServerName,
    /// The port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// The number of requests that run at the same time.
    pub slots_requests: u32,
    /// The maximum age of load reports: one is returned again until it is this
    /// old. With zero, each is new.
    pub report_lag: Duration,
    /// The fault rules; changes through a clone apply while the server runs.
    pub faults: Faults,
    /// The journal that records executions.
    pub journal: Journal,
}

impl ServerSettings {
    /// Creates settings with a free port, no faults and a new journal.
    #[must_use]
    pub fn new(name: ServerName, slots_requests: u32) -> ServerSettings {
        ServerSettings {
            name,
            port: 0,
            slots_requests,
            report_lag: Duration::ZERO,
            faults: Faults::default(),
            journal: Journal::new(),
        }
    }
}

/// A running backend server of any role.
pub struct Server {
    role_handler: Arc<dyn RoleHandler>,
    listener: Listener,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server")
            .field("name", self.name())
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl Server {
    pub(crate) async fn start(
        role_handler: Arc<dyn RoleHandler>,
    ) -> io::Result<Server> {
        let core = role_handler.core();
        let handler = RequestHandler(role_handler.clone());
        let listener =
            Listener::start(core.port, core.aborter.clone(), handler).await?;
        Ok(Server { role_handler, listener })
    }

    /// Returns the name of the backend server.
    #[must_use]
    pub fn name(&self) -> &ServerName {
        &self.role_handler.core().name
    }

    /// Returns the address that it listens on, which a restart keeps.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the fault rules, which can be changed while the server runs.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.role_handler.core().faults
    }

    /// Returns the journal that records its executions.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.role_handler.core().journal
    }

    /// Returns the current incarnation; each restart draws a new one.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.role_handler.core().incarnation()
    }

    /// Sets the state that load reports contain. A leaving backend server
    /// still runs requests; the journal marks their executions.
    pub fn set_state(&self, state: ServerState) {
        let mut leaving = lock(&self.role_handler.core().leaving_since);
        *leaving = match state {
            ServerState::Ready => None,
            ServerState::Leaving => leaving.or_else(|| Some(Instant::now())),
        };
    }

    /// Closes the listener and all open connections.
    pub async fn crash(&self) {
        self.role_handler.core().crash();
        self.listener.stop().await;
    }

    /// Starts a new incarnation at the same address. A server that is still
    /// running crashes first.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is in use by another process.
    pub async fn restart(&self) -> io::Result<()> {
        self.crash().await;
        let core = self.role_handler.core();
        core.incarnation.store(Incarnation::random().0, Ordering::Release);
        core.epoch_seen.store(0, Ordering::Release);
        *lock(&core.report_cache) = ReportCache::default();
        *lock(&core.leaving_since) = None;
        self.role_handler.reset();
        self.listener.restart().await
    }

    /// Stops the server like a crash.
    pub async fn stop(&self) {
        self.crash().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.role_handler.core().crash();
    }
}

/// The part of a backend server that depends on its role.
#[async_trait]
pub(crate) trait RoleHandler: Send + Sync + 'static {
    fn core(&self) -> &Arc<Core>;

    /// Decides, before a request queues for a slot, whether it runs. `_key` is
    /// its idempotency key.
    fn decide(&self, _run: &RunRequest, _key: Option<&str>) -> RunDecision {
        RunDecision::Run
    }

    /// Called when a request has a slot and starts.
    fn on_start(&self, _job: &Job) {}

    /// Runs a request that holds a slot and sets the response.
    async fn execute(
        &self,
        job: Job,
        context: RequestContext,
        res: &mut Response,
    );

    /// Handles calls that are specific to the role.
    async fn handle_other(&self, req: &mut Request, res: &mut Response);

    /// Brings the state into that after a crash; called by a restart.
    fn reset(&self) {}
}

/// Whether a request runs; see [`RoleHandler::decide`].
pub(crate) enum RunDecision {
    /// The request queues for a slot and runs.
    Run,
    /// The request is refused, for this cause, with the header that proves it
    /// did not run.
    NotRun(String),
    /// The request is refused with status 409, for this cause.
    Conflict(String),
    /// The response contains this output of an earlier call with the same
    /// idempotency key.
    Recorded(Box<RawValue>),
}

/// The faults that apply to a request, and its connection.
pub(crate) struct RequestContext {
    pub(crate) faults: RequestFaults,
    pub(crate) connection: ConnCtrl,
}

impl RequestContext {
    /// Closes the connection. The future never completes; it is dropped
    /// together with the connection.
    pub(crate) async fn disconnect(&self) {
        self.connection.abort();
        future::pending::<()>().await;
    }
}

/// The state of a backend server that doesn't depend on its role.
pub(crate) struct Core {
    pub(crate) name: ServerName,
    port: u16,
    role: Role,
    pub(crate) slots: Slots,
    faults: Faults,
    journal: Journal,
    aborter: ListenerAborter,
    incarnation: AtomicU64,
    /// The highest epoch in any request or order since the last start.
    pub(crate) epoch_seen: AtomicU64,
    leaving_since: Mutex<Option<Instant>>,
    report_lag: Duration,
    report_cache: Mutex<ReportCache>,
    pub(crate) model_versions: Mutex<Vec<ModelVersionName>>,
    /// The queued and running requests, and how to cancel each.
    cancellations: Mutex<Vec<(RequestId, Arc<Notify>)>>,
    /// The last request that got its own response.
    last_run: Mutex<Option<Arc<RunRequest>>>,
    /// The background tasks that a crash aborts.
    tasks: Mutex<JoinSet<()>>,
}

/// The last load report, which is returned again while reports lag.
#[derive(Default)]
struct ReportCache {
    sequence: u64,
    last: Option<(Instant, LoadReport)>,
}

impl Core {
    pub(crate) fn new(settings: ServerSettings, role: Role) -> Core {
        Core {
            name: settings.name,
            port: settings.port,
            role,
            slots: Slots::new(settings.slots_requests),
            faults: settings.faults,
            journal: settings.journal,
            aborter: ListenerAborter::default(),
            incarnation: AtomicU64::new(Incarnation::random().0),
            epoch_seen: AtomicU64::new(0),
            leaving_since: Mutex::default(),
            report_lag: settings.report_lag,
            report_cache: Mutex::default(),
            model_versions: Mutex::default(),
            cancellations: Mutex::default(),
            last_run: Mutex::default(),
            tasks: Mutex::default(),
        }
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Acquire))
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Aborts the listener, its connections and all tasks.
    pub(crate) fn crash(&self) {
        self.aborter.abort();
        lock(&self.tasks).abort_all();
    }

    /// Spawns a task that ends at the latest when the backend server
    /// crashes.
    pub(crate) fn spawn(
        &self,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Returns the currently visible load report, or `None` under
    /// [`Fault::NoReports`].
    pub(crate) fn load_report(&self) -> Option<LoadReport> {
        let mut lag = self.report_lag;
        for fault in self.faults.take_for_report() {
            match fault {
                Fault::StaleReports(age) => lag = lag.max(age),
                _ => return None,
            }
        }
        let now = Instant::now();
        let mut reports = lock(&self.report_cache);
        if let Some((taken, report)) = &reports.last
            && now.duration_since(*taken) < lag
        {
            return Some(report.clone());
        }
        reports.sequence += 1;
        let report = self.create_load_report(reports.sequence);
        reports.last = Some((now, report.clone()));
        Some(report)
    }

    fn create_load_report(&self, sequence: u64) -> LoadReport {
        let counts = self.slots.counts();
        let state = match *lock(&self.leaving_since) {
            Some(_) => ServerState::Leaving,
            None => ServerState::Ready,
        };
        LoadReport {
            incarnation: self.incarnation(),
            sequence,
            state,
            slots_requests: counts.total,
            running_requests: counts.running,
            queued_requests: counts.queued,
            epoch_seen: self.epoch_seen.load(Ordering::Acquire),
            model_versions: lock(&self.model_versions).clone(),
        }
    }

    /// Returns the request whose response replaces that to `run`: the last
    /// one, or a random one if there is no other.
    pub(crate) fn other_request(&self, run: &RunRequest) -> Arc<RunRequest> {
        let last = lock(&self.last_run).clone();
        last.filter(|other| other.request_id != run.request_id).unwrap_or_else(
            || {
                let request_id = RequestId::random();
                let input = Arc::from(
                    RawValue::from_string(format!("\"{request_id}\""))
                        .expect("a quoted identifier is valid JSON"),
                );
                Arc::new(RunRequest { request_id, input, ..run.clone() })
            },
        )
    }

    /// Stores the request that [`Core::other_request`] returns.
    pub(crate) fn set_last_run(&self, run: &Arc<RunRequest>) {
        *lock(&self.last_run) = Some(run.clone());
    }

    /// Sets the response to a request that ran.
    pub(crate) async fn respond(
        &self,
        run: &Arc<RunRequest>,
        output: Box<RawValue>,
        context: &RequestContext,
        res: &mut Response,
    ) {
        let faults = &context.faults;
        let delay = faults.response_delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if faults.contains(Fault::DropBeforeFirstByte { runs: true }) {
            context.disconnect().await;
        }
        let mut run = run.clone();
        let mut output = output;
        if faults.contains(Fault::WrongResponse) {
            run = self.other_request(&run);
            output = output::run_output(self.role, &run);
        } else {
            self.set_last_run(&run);
        }
        let mut body = response::to_json(&RunResponse {
            request_id: run.request_id,
            stage: run.stage.clone(),
            attempt: run.attempt,
            output,
            load: self.load_report(),
        });
        if faults.contains(Fault::DuplicateResponse) {
            body.extend_from_within(..);
        }
        if faults.contains(Fault::DropAfterFirstByte) {
            response::truncated_body(res, &body.into());
        } else {
            response::json_bytes(res, body);
        }
    }
}

/// Locks a mutex and ignores poisoning, because the guarded data stays valid
/// if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
