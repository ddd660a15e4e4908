//! A stand-in for a plain service: operations recorded by idempotency key.
//!
//! The effect of an operation takes place when it starts, and it is not
//! undone when the caller leaves or cancels. The records outlive a crash.
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
    output, reply,
    server::{Check, Core, Job, Link, Server, ServerSettings, Work, lock},
};

/// Settings of a [`Service`].
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The shared settings.
    pub server: ServerSettings,
    /// The time one operation takes.
    pub service_time: Duration,
    /// Whether a second call with a known key is answered from the record.
    /// Off, a second call runs again and shows in the journal.
    pub deduplicates: bool,
}

impl ServiceSettings {
    /// Creates settings for a service that answers at once and runs every
    /// call it gets.
    #[must_use]
    pub fn new(server: ServerSettings) -> ServiceSettings {
        let service_time = Duration::ZERO;
        ServiceSettings { server, service_time, deduplicates: false }
    }
}

/// A running plain service. Its shared methods are those of [`Server`].
#[derive(Debug)]
pub struct Service(Server);

impl Service {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(settings: ServiceSettings) -> io::Result<Service> {
        let work = ServiceWork {
            core: Arc::new(Core::new(settings.server, Role::Service)),
            service_time: settings.service_time,
            deduplicates: settings.deduplicates,
            calls: Arc::default(),
        };
        Server::start(Arc::new(work)).await.map(Service)
    }
}

impl Deref for Service {
    type Target = Server;

    fn deref(&self) -> &Server {
        &self.0
    }
}

/// One recorded call. The output is known from the start, since the effect
/// takes place at the start.
#[derive(Clone, Debug)]
struct Call {
    output: Box<RawValue>,
    done: bool,
}

struct ServiceWork {
    core: Arc<Core>,
    service_time: Duration,
    deduplicates: bool,
    calls: Arc<Mutex<SortedMap<Arc<str>, Call>>>,
}

#[async_trait]
impl Work for ServiceWork {
    fn core(&self) -> &Arc<Core> {
        &self.core
    }

    fn check(&self, _run: &RunRequest, key: Option<&str>) -> Check {
        let Some(key) = key.filter(|_| self.deduplicates) else {
            return Check::Run;
        };
        match lock(&self.calls).get(key) {
            None => Check::Run,
            Some(call) if call.done => Check::Recorded(call.output.clone()),
            Some(_) => Check::Conflict("the call is running".to_owned()),
        }
    }

    fn started(&self, job: &Job) {
        let Some(key) = &job.key else { return };
        let output = output::run_output(Role::Service, &job.run);
        let call = Call { output, done: false };
        lock(&self.calls).insert(key.clone(), call);
    }

    async fn execute(&self, mut job: Job, link: Link, res: &mut Response) {
        let run = job.run.clone();
        let output = output::run_output(Role::Service, &run);
        let time = self.service_time + link.plan.slow();
        let calls = self.calls.clone();
        let (sender, receiver) = oneshot::channel();
        // Runs on its own, because a caller that leaves does not stop it.
        self.core.spawn(async move {
            if !time.is_zero() {
                tokio::time::sleep(time).await;
            }
            if let Some(key) = &job.key
                && let Some(call) = lock(&calls).get_mut(&**key)
            {
                call.done = true;
            }
            job.record.end = ExecutionStatus::Completed;
            drop(job);
            // The caller may have left.
            let _ = sender.send(());
        });
        if receiver.await.is_ok() {
            self.core.answer(&run, output, &link, res).await;
        } else {
            link.cut().await;
        }
    }

    async fn call(&self, req: &mut Request, res: &mut Response) {
        let Some(key) = req.uri().path().strip_prefix("/v1/calls/") else {
            let cause = "no such call";
            return reply::status(res, StatusCode::NOT_FOUND, cause);
        };
        let record = match lock(&self.calls).get(key) {
            None => CallRecord::NeverSeen,
            Some(Call { done: false, .. }) => CallRecord::Running,
            Some(call) => CallRecord::Done { output: call.output.clone() },
        };
        reply::json(res, &record);
    }

    fn restarted(&self) {
        for (_, call) in lock(&self.calls).iter_mut() {
            call.done = true;
        }
    }
}
