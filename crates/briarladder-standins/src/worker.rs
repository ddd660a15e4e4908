//! A stand-in for an encoder, retriever or reranker.
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
    output, reply,
    server::{Core, Job, Link, Server, ServerSettings, Work},
};

/// Settings of a [`Worker`].
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The shared settings.
    pub server: ServerSettings,
    /// Encoder, retriever or reranker.
    pub role: Role,
    /// The time one request takes.
    pub service_time: Duration,
}

impl WorkerSettings {
    /// Creates settings for a worker that answers at once.
    #[must_use]
    pub fn new(server: ServerSettings, role: Role) -> WorkerSettings {
        WorkerSettings { server, role, service_time: Duration::ZERO }
    }
}

/// A running worker. Its shared methods are those of [`Server`].
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
        let work = Arc::new(WorkerWork { core, role, service_time });
        Server::start(work).await.map(Worker)
    }
}

impl Deref for Worker {
    type Target = Server;

    fn deref(&self) -> &Server {
        &self.0
    }
}

struct WorkerWork {
    core: Arc<Core>,
    role: Role,
    service_time: Duration,
}

#[async_trait]
impl Work for WorkerWork {
    fn core(&self) -> &Arc<Core> {
        &self.core
    }

    async fn execute(&self, mut job: Job, link: Link, res: &mut Response) {
        let time = self.service_time + link.plan.slow();
        if !time.is_zero() && job.sleep_until(Instant::now() + time).await {
            job.record.end = ExecutionStatus::Cancelled;
            return reply::status(res, StatusCode::CONFLICT, "cancelled");
        }
        let run = job.run.clone();
        let output = output::run_output(self.role, &run);
        job.record.end = ExecutionStatus::Completed;
        drop(job);
        self.core.answer(&run, output, &link, res).await;
    }

    async fn call(&self, _req: &mut Request, res: &mut Response) {
        reply::status(res, StatusCode::NOT_FOUND, "no such call");
    }
}
