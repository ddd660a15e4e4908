//! A stand-in for an encoder, retriever or reranker, which returns its whole
//! output when its service time has passed.
//!
//! # Example
//!
//! ```
//! use briarladder_core::{names::ServerName, objects::Role};
//! use briarladder_standins::{
//!     server::ServerSettings,
//!     worker::{Worker, WorkerSettings},
//! };
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let name = ServerName::new("encoder-1").unwrap();
//! let server = ServerSettings::new(name, 8);
//! let settings = WorkerSettings::new(server, Role::Encoder);
//! let worker = Worker::start(settings).await?;
//! worker.stop().await;
//! # Ok(())
//! # }
//! ```

use std::{io, ops::Deref, sync::Arc, time::Duration};

use briarladder_core::objects::Role;
use salvo::{Request, Response, async_trait, http::StatusCode};
use tokio::time::Instant;

use crate::{
    journal::ExecutionStatus,
    output, response,
    server::{Core, Job, RequestContext, RoleHandler, Server, ServerSettings},
};

/// Settings for [`Worker::start`].
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The settings common to all backend servers.
    pub server: ServerSettings,
    /// The role: encoder, retriever or reranker.
    pub role: Role,
    /// The time that a request takes.
    pub service_time: Duration,
}

impl WorkerSettings {
    /// Creates settings for a worker that responds without delay.
    #[must_use]
    pub fn new(server: ServerSettings, role: Role) -> WorkerSettings {
        WorkerSettings { server, role, service_time: Duration::ZERO }
    }
}

/// A running worker. It dereferences to [`Server`].
#[derive(Debug)]
pub struct Worker(Server);

impl Worker {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    ///
    /// # Panics
    ///
    /// Panics if the role is that of an engine or a plain service.
    pub async fn start(settings: WorkerSettings) -> io::Result<Worker> {
        let WorkerSettings { server, role, service_time } = settings;
        assert!(
            !matches!(role, Role::Engine | Role::Service),
            "a worker can't be a {role}; use Engine or Service"
        );
        let core = Arc::new(Core::new(server, role));
        let handler = Arc::new(WorkerHandler { core, role, service_time });
        Server::start(handler).await.map(Worker)
    }
}

impl Deref for Worker {
    type Target = Server;

    fn deref(&self) -> &Server {
        &self.0
    }
}

struct WorkerHandler {
    core: Arc<Core>,
    role: Role,
    service_time: Duration,
}

#[async_trait]
impl RoleHandler for WorkerHandler {
    fn core(&self) -> &Arc<Core> {
        &self.core
    }

    async fn execute(
        &self,
        mut job: Job,
        context: RequestContext,
        res: &mut Response,
    ) {
        let time = self.service_time + context.faults.run_delay();
        if !time.is_zero() && job.cancelled_before(Instant::now() + time).await
        {
            job.execution.status = ExecutionStatus::Cancelled;
            return response::status(res, StatusCode::CONFLICT, "cancelled");
        }
        let run = job.run.clone();
        let output = output::run_output(self.role, &run);
        job.execution.status = ExecutionStatus::Completed;
        drop(job);
        self.core.respond(&run, output, &context, res).await;
    }

    async fn handle_other(&self, _req: &mut Request, res: &mut Response) {
        response::status(res, StatusCode::NOT_FOUND, "no such call");
    }
}
