//! The HTTP server for callers.
//!
//! | endpoint | module |
//! | --- | --- |
//! | `POST /v1/pipelines/{pipeline}` | `requests` |
//! | `POST /v1/tickets`, `GET` and `DELETE /v1/tickets/{ticket}` | `tickets` |
//! | `GET /healthz`, `GET /readyz` | `health` |
//!
//! docs/callers.md describes the interface for callers.

use std::{sync::Arc, time::Duration};

use salvo::{
    Router, Server, Service, catcher::Catcher, conn::tcp::TcpAcceptor,
    fuse::FuseConfig, server::ServerHandle,
};

use crate::daemon::Daemon;

mod extract;
mod fallback;
mod health;
mod requests;
mod respond;
mod tickets;
mod unread_body;

/// How much longer the server waits for a body than the request's handler.
/// With equal timeouts, the server's error reached the handler first, and a
/// slow caller got status 400 instead of 408.
const BODY_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The server for callers, bound and not yet serving.
pub struct CallersServer {
    server: Server<TcpAcceptor>,
    daemon: Arc<Daemon>,
}

impl std::fmt::Debug for CallersServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallersServer").finish_non_exhaustive()
    }
}

impl CallersServer {
    /// Prepares to serve callers on a bound socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket can't be used.
    pub fn new(
        daemon: Arc<Daemon>,
        listener: std::net::TcpListener,
    ) -> anyhow::Result<CallersServer> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let timeout = daemon.settings.receive_timeout();
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(timeout)
            .with_request_body_timeout(timeout + BODY_TIMEOUT_MARGIN);
        let mut server = Server::new(acceptor)
            .fuse_config(fuse)
            .max_connections(daemon.settings.effective_max_connections());
        server.http1_mut().max_buf_size(daemon.settings.max_head_bytes);
        Ok(CallersServer { server, daemon })
    }

    /// Returns the handle that stops the server.
    #[must_use]
    pub fn handle(&self) -> ServerHandle {
        self.server.handle()
    }

    /// Serves until the handle stops it.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket fails.
    pub async fn serve(self) -> anyhow::Result<()> {
        let daemon = &self.daemon;
        let router = Router::new()
            .push(
                Router::with_path("v1/pipelines/{pipeline}")
                    .post(requests::Run(Arc::clone(daemon))),
            )
            .push(
                Router::with_path("v1/tickets")
                    .post(tickets::Issue(Arc::clone(daemon))),
            )
            .push(
                Router::with_path("v1/tickets/{ticket}")
                    .get(tickets::Status(Arc::clone(daemon)))
                    .delete(tickets::Close(Arc::clone(daemon))),
            )
            .push(Router::with_path("healthz").get(health::alive))
            .push(
                Router::with_path("readyz")
                    .get(health::Ready(Arc::clone(daemon))),
            );
        let service = Service::new(router)
            .hoop(unread_body::announce_end)
            .catcher(Catcher::new(fallback::write_problem));
        self.server.try_serve(service).await?;
        Ok(())
    }
}
