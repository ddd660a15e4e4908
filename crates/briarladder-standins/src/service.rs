//! A stand-in for a plain service, which records its operations by
//! idempotency key.
//!
//! An operation takes effect when it starts, and is not undone when the
//! caller disconnects or cancels. The records survive a crash.
//!
//! # Example
//!
//! ```
//! use briarladder_core::names::ServerName;
//! use briarladder_standins::{
//!     server::ServerSettings,
//!     service::{Service, ServiceSettings},
//! };
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let name = ServerName::new("booking-1").unwrap();
//! let settings = ServiceSettings::new(ServerSettings::new(name, 8));
//! let service = Service::start(settings).await?;
//! service.stop().await;
//! # Ok(())
//! # }
//! ```

use std::{
    io,
    ops::Deref,
    sync::{Arc, Mutex},
    time::Duration,
};

use briarladder_core::{objects::Role, sorted::SortedMap};
use briarladder_wire::backend::{CallRecord, RunRequest};
use salvo::{Request, Response, async_trait, http::StatusCode};
use serde_json::value::RawValue;
use tokio::sync::oneshot;

use crate::{
    journal::ExecutionStatus,
    output, response,
    server::{
        Core, Job, RequestContext, RoleHandler, RunDecision, Server,
        ServerSettings, lock,
    },
};

/// Settings for [`Service::start`].
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The settings common to all backend servers.
    pub server: ServerSettings,
    /// The time that an operation takes.
    pub service_time: Duration,
    /// Whether a call with a known idempotency key gets the recorded output.
    /// Otherwise it runs again, and the journal shows both executions.
    pub deduplicates: bool,
}

impl ServiceSettings {
    /// Creates settings for a service that responds without delay and runs
    /// every call.
    #[must_use]
    pub fn new(server: ServerSettings) -> ServiceSettings {
        let service_time = Duration::ZERO;
        ServiceSettings { server, service_time, deduplicates: false }
    }
}

/// A running plain service. It dereferences to [`Server`].
#[derive(Debug)]
pub struct Service(Server);

impl Service {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(settings: ServiceSettings) -> io::Result<Service> {
        let handler = ServiceHandler {
            core: Arc::new(Core::new(settings.server, Role::Service)),
            service_time: settings.service_time,
            deduplicates: settings.deduplicates,
            calls: Arc::default(),
        };
        Server::start(Arc::new(handler)).await.map(Service)
    }
}

impl Deref for Service {
    type Target = Server;

    fn deref(&self) -> &Server {
        &self.0
    }
}

/// A recorded call. Its output is stored when the call starts, because it
/// takes effect then; `completed` is set when its service time has passed
/// or the server restarts.
#[derive(Clone, Debug)]
struct RecordedCall {
    output: Box<RawValue>,
    completed: bool,
}

struct ServiceHandler {
    core: Arc<Core>,
    service_time: Duration,
    deduplicates: bool,
    calls: Arc<Mutex<SortedMap<Arc<str>, RecordedCall>>>,
}

#[async_trait]
impl RoleHandler for ServiceHandler {
    fn core(&self) -> &Arc<Core> {
        &self.core
    }

    fn decide(&self, _run: &RunRequest, key: Option<&str>) -> RunDecision {
        let Some(key) = key.filter(|_| self.deduplicates) else {
            return RunDecision::Run;
        };
        match lock(&self.calls).get(key) {
            None => RunDecision::Run,
            Some(call) if call.completed => {
                RunDecision::Recorded(call.output.clone())
            }
            Some(_) => RunDecision::Conflict("the call is running".to_owned()),
        }
    }

    fn on_start(&self, job: &Job) {
        let Some(key) = &job.key else { return };
        let output = output::run_output(Role::Service, &job.run);
        let call = RecordedCall { output, completed: false };
        lock(&self.calls).insert(key.clone(), call);
    }

    async fn execute(
        &self,
        mut job: Job,
        context: RequestContext,
        res: &mut Response,
    ) {
        let run = job.run.clone();
        let output = output::run_output(Role::Service, &run);
        let time = self.service_time + context.faults.run_delay();
        let calls = self.calls.clone();
        let (sender, receiver) = oneshot::channel();
        // Runs in its own task, so that it continues when the caller
        // disconnects.
        self.core.spawn(async move {
            if !time.is_zero() {
                tokio::time::sleep(time).await;
            }
            if let Some(key) = &job.key
                && let Some(call) = lock(&calls).get_mut(&**key)
            {
                call.completed = true;
            }
            job.execution.status = ExecutionStatus::Completed;
            drop(job);
            // Fails if the caller has disconnected.
            let _ = sender.send(());
        });
        if receiver.await.is_ok() {
            self.core.respond(&run, output, &context, res).await;
        } else {
            context.disconnect().await;
        }
    }

    async fn handle_other(&self, req: &mut Request, res: &mut Response) {
        let Some(key) = req.uri().path().strip_prefix("/v1/calls/") else {
            let cause = "no such call";
            return response::status(res, StatusCode::NOT_FOUND, cause);
        };
        let record = match lock(&self.calls).get(key) {
            None => CallRecord::NeverSeen,
            Some(RecordedCall { completed: false, .. }) => CallRecord::Running,
            Some(call) => CallRecord::Done { output: call.output.clone() },
        };
        response::json(res, &record);
    }

    fn reset(&self) {
        for (_, call) in lock(&self.calls).iter_mut() {
            call.completed = true;
        }
    }
}
