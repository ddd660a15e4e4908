//! What all backend servers share: the request path, load reports, faults,
//! cancellation, crash and restart.
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
    fault::{Fault, Faults, Plan},
    journal::Journal,
    listener::{Cutter, Listener},
    output, reply,
    slots::Slots,
};

mod request;

use request::Entry;
pub(crate) use request::Job;

/// Settings that all backend servers share.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// The name.
    pub name: ServerName,
    /// The port on 127.0.0.1; 0 for a free one.
    pub port: u16,
    /// The requests it runs at once.
    pub slots_requests: u32,
    /// Load reports are up to this old.
    pub report_lag: Duration,
    /// The faults.
    pub faults: Faults,
    /// Where executions are recorded.
    pub journal: Journal,
}

impl ServerSettings {
    /// Creates settings with a free port, no faults and an own journal.
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
    work: Arc<dyn Work>,
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
    pub(crate) async fn start(work: Arc<dyn Work>) -> io::Result<Server> {
        let core = work.core();
        let entry = Entry(work.clone());
        let listener =
            Listener::start(core.port, core.cutter.clone(), entry).await?;
        Ok(Server { work, listener })
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &ServerName {
        &self.work.core().name
    }

    /// Returns the address. It is the same after a restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the faults, to switch them.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.work.core().faults
    }

    /// Returns the journal.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.work.core().journal
    }

    /// Returns the incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.work.core().incarnation()
    }

    /// Sets the state. A leaving backend server reports its state and still
    /// runs what it is sent; the journal records that.
    pub fn set_state(&self, state: ServerState) {
        let mut leaving = lock(&self.work.core().leaving_since);
        *leaving = match state {
            ServerState::Ready => None,
            ServerState::Leaving => leaving.or_else(|| Some(Instant::now())),
        };
    }

    /// Closes the listener and cuts all open connections.
    pub async fn crash(&self) {
        self.work.core().crash();
        self.listener.stop().await;
    }

    /// Starts a new incarnation at the same address, after a crash or
    /// instead of one.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is in use by another process.
    pub async fn restart(&self) -> io::Result<()> {
        self.crash().await;
        let core = self.work.core();
        core.incarnation.store(Incarnation::random().0, Ordering::Release);
        core.epoch_seen.store(0, Ordering::Release);
        *lock(&core.report) = Reports::default();
        *lock(&core.leaving_since) = None;
        self.work.restarted();
        self.listener.restart().await
    }

    /// Stops for good: like a crash without a restart.
    pub async fn stop(&self) {
        self.crash().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.work.core().crash();
    }
}

/// What the role of a backend server adds to [`Core`].
#[async_trait]
pub(crate) trait Work: Send + Sync + 'static {
    fn core(&self) -> &Arc<Core>;

    /// Decides whether a request runs, before it queues for a slot.
    fn check(&self, _run: &RunRequest, _key: Option<&str>) -> Check {
        Check::Run
    }

    /// Notes that a request has its slot and starts.
    fn started(&self, _job: &Job) {}

    /// Runs a request that holds its slot.
    async fn execute(&self, job: Job, link: Link, res: &mut Response);

    /// Answers calls other than those that all roles share.
    async fn call(&self, req: &mut Request, res: &mut Response);

    /// Resets what does not outlive a crash.
    fn restarted(&self) {}
}

/// The outcome of [`Work::check`].
pub(crate) enum Check {
    Run,
    NotRun(String),
    Conflict(String),
    Recorded(Box<RawValue>),
}

/// The faults and the connection of one request.
pub(crate) struct Link {
    pub(crate) plan: Plan,
    pub(crate) connection: ConnCtrl,
}

impl Link {
    /// Cuts the connection. The future never completes; it is dropped with
    /// the connection.
    pub(crate) async fn cut(&self) {
        self.connection.abort();
        future::pending::<()>().await;
    }
}

/// The state that all backend servers share.
pub(crate) struct Core {
    pub(crate) name: ServerName,
    port: u16,
    role: Role,
    pub(crate) slots: Slots,
    faults: Faults,
    journal: Journal,
    cutter: Cutter,
    incarnation: AtomicU64,
    pub(crate) epoch_seen: AtomicU64,
    leaving_since: Mutex<Option<Instant>>,
    report_lag: Duration,
    report: Mutex<Reports>,
    pub(crate) model_versions: Mutex<Vec<ModelVersionName>>,
    active: Mutex<Vec<(RequestId, Arc<Notify>)>>,
    last: Mutex<Option<Arc<RunRequest>>>,
    tasks: Mutex<JoinSet<()>>,
}

/// The last load report, kept to let reports lag.
#[derive(Default)]
struct Reports {
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
            cutter: Cutter::default(),
            incarnation: AtomicU64::new(Incarnation::random().0),
            epoch_seen: AtomicU64::new(0),
            leaving_since: Mutex::default(),
            report_lag: settings.report_lag,
            report: Mutex::default(),
            model_versions: Mutex::default(),
            active: Mutex::default(),
            last: Mutex::default(),
            tasks: Mutex::default(),
        }
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Acquire))
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Cuts the listener, the connections and the tasks.
    pub(crate) fn crash(&self) {
        self.cutter.cut();
        lock(&self.tasks).abort_all();
    }

    /// Runs a task until it ends or the backend server crashes.
    pub(crate) fn spawn(
        &self,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Returns the load report that is visible now.
    pub(crate) fn report(&self) -> Option<LoadReport> {
        let mut lag = self.report_lag;
        for fault in self.faults.take_report() {
            match fault {
                Fault::StaleReports(by) => lag = lag.max(by),
                _ => return None,
            }
        }
        let now = Instant::now();
        let mut reports = lock(&self.report);
        if let Some((taken, report)) = &reports.last
            && now.duration_since(*taken) < lag
        {
            return Some(report.clone());
        }
        reports.sequence += 1;
        let report = self.new_report(reports.sequence);
        // A copy is only kept where it can be asked for again.
        reports.last = Some((now, report.clone()));
        Some(report)
    }

    fn new_report(&self, sequence: u64) -> LoadReport {
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

    /// Returns the request whose answer is sent instead of the one to `run`.
    pub(crate) fn crossed(&self, run: &RunRequest) -> Arc<RunRequest> {
        let last = lock(&self.last).clone();
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

    /// Remembers a request for [`Core::crossed`].
    pub(crate) fn remember(&self, run: &Arc<RunRequest>) {
        *lock(&self.last) = Some(run.clone());
    }

    /// Sends the answer to a request that ran.
    pub(crate) async fn answer(
        &self,
        run: &Arc<RunRequest>,
        output: Box<RawValue>,
        link: &Link,
        res: &mut Response,
    ) {
        let plan = &link.plan;
        let late = plan.late();
        if !late.is_zero() {
            tokio::time::sleep(late).await;
        }
        if plan.has(Fault::DropBeforeFirstByte { runs: true }) {
            link.cut().await;
        }
        let mut run = run.clone();
        let mut output = output;
        if plan.has(Fault::WrongResponse) {
            run = self.crossed(&run);
            output = output::run_output(self.role, &run);
        } else {
            self.remember(&run);
        }
        let mut body = reply::to_json(&RunResponse {
            request_id: run.request_id,
            stage: run.stage.clone(),
            attempt: run.attempt,
            output,
            load: self.report(),
        });
        if plan.has(Fault::DuplicateResponse) {
            body.extend_from_within(..);
        }
        if plan.has(Fault::DropAfterFirstByte) {
            reply::cut_halfway(res, &body.into());
        } else {
            reply::json_bytes(res, body);
        }
    }
}

/// Locks a mutex. A panic of another holder leaves plain data behind, so
/// poisoning is ignored.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
