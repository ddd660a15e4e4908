//! Starts a daemon, and shuts it down gracefully.
//!
//! # Example
//!
//! ```no_run
//! # async fn example() -> anyhow::Result<()> {
//! use std::sync::Arc;
//!
//! use briarladder_core::clock::SystemClock;
//! use briarladder_daemon::{process::RunningDaemon, settings::Settings};
//! use clap::Parser;
//!
//! let settings = Settings::parse();
//! let running = RunningDaemon::start(settings, Arc::new(SystemClock))?;
//! println!("callers connect to {}", running.callers_address());
//! running.stop().await;
//! # Ok(())
//! # }
//! ```

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use briarladder_core::{
    clock::{SharedClock, SystemClock},
    timeline::{EventKind, EventSubject},
};
use jsonrpsee::server::ServerHandle as PeersHandle;
use salvo::server::ServerHandle as CallersHandle;
use tokio::{
    net::TcpSocket,
    signal::unix::{SignalKind, signal},
    task::{JoinHandle, JoinSet},
};

use crate::{
    blackboard::Phase,
    controllers,
    daemon::Daemon,
    http::CallersServer,
    peers,
    pipeline::outcomes,
    settings::{LogFormat, Settings},
};

/// How often a draining daemon checks for remaining work.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long connections may take to close after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// The exit code when a second signal interrupts a graceful shutdown.
const EXIT_CODE_FORCED: i32 = 1;

/// Runs the daemon of this process until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error that names the setting and the remedy when the daemon
/// can't start.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    init_logs(settings.log_format);
    if let Err(errors) = settings.check() {
        let lines: Vec<String> =
            errors.iter().map(ToString::to_string).collect();
        anyhow::bail!("invalid settings:\n{}", lines.join("\n"));
    }
    if settings.print_settings {
        let mut out = std::io::stdout().lock();
        writeln!(out, "{settings:#?}")?;
        return Ok(());
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.threads > 0 {
        builder.worker_threads(settings.threads);
    }
    let runtime = builder.enable_all().build()?;
    runtime.block_on(run_until_signal(settings))
}

async fn run_until_signal(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = RunningDaemon::start(settings, Arc::new(SystemClock))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let stop = tokio::spawn(running.stop());
    tokio::select! {
        stopped = stop => stopped.context("the shutdown task failed"),
        _ = terminate.recv() => std::process::exit(EXIT_CODE_FORCED),
        _ = interrupt.recv() => std::process::exit(EXIT_CODE_FORCED),
    }
}

fn init_logs(format: LogFormat) {
    let mut builder = env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info"),
    );
    if format == LogFormat::Json {
        builder.format(|out, record| {
            let line = serde_json::json!({
                "time": out.timestamp_millis().to_string(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": record.args().to_string(),
            });
            writeln!(out, "{line}")
        });
    }
    // Fails if another daemon of this process has set the logger already.
    let _ = builder.try_init();
}

/// A daemon with its listeners and background tasks.
#[derive(Debug)]
pub struct RunningDaemon {
    daemon: Arc<Daemon>,
    callers_address: SocketAddr,
    callers: CallersHandle,
    callers_task: JoinHandle<anyhow::Result<()>>,
    peers: PeersHandle,
    controllers: JoinSet<()>,
}

impl RunningDaemon {
    /// Binds both listeners and starts all tasks on the current Tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be bound, or a client or the
    /// metrics can't be set up.
    pub fn start(
        settings: Settings,
        clock: SharedClock,
    ) -> anyhow::Result<RunningDaemon> {
        let callers = bind(settings.callers_listen, "--callers-listen")?;
        let peers = bind(settings.peers_listen, "--peers-listen")?;
        let callers_address = callers.local_addr()?;
        let peer_address = match settings.peers_advertise {
            Some(advertised) => advertised,
            None => peers.local_addr()?,
        };
        let daemon = Daemon::new(settings, clock, peer_address)?;
        let peers = peers::serve(&daemon, peers)?;
        let server = CallersServer::new(Arc::clone(&daemon), callers)?;
        let callers = server.handle();
        let callers_task = tokio::spawn(server.serve());
        let controllers = controllers::start(&daemon);
        log::info!(
            "process: {} serves callers on {callers_address} and peers on \
             {peer_address}",
            daemon.settings.vm
        );
        Ok(RunningDaemon {
            daemon,
            callers_address,
            callers,
            callers_task,
            peers,
            controllers,
        })
    }

    /// Returns the address where callers connect.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns the state of the daemon.
    #[must_use]
    pub fn daemon(&self) -> &Arc<Daemon> {
        &self.daemon
    }

    /// Shuts down gracefully: reports not ready, then refuses new requests,
    /// then waits for the open ones.
    pub async fn stop(self) {
        let daemon = &self.daemon;
        let settings = &daemon.settings;
        log::info!("process: graceful shutdown started");
        daemon.events.record(EventSubject::default(), EventKind::StopBegun);
        daemon.blackboard.set_phase(Phase::Announced);
        let now = daemon.clock.now();
        daemon.members.with(|members| members.begin_leave(now));
        let delay = Duration::from_millis(settings.balancer_delay_ms);
        tokio::time::sleep(delay).await;

        daemon.blackboard.set_phase(Phase::Draining);
        daemon.calls.stop_issuing();
        self.drain_tickets().await;
        while daemon.open_requests_len() > 0 {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        outcomes::hand_over(daemon).await;
        let open_requests =
            u32::try_from(daemon.open_requests_len()).unwrap_or(u32::MAX);
        let ended = EventKind::StopEnded { open_requests };
        daemon.events.record(EventSubject::default(), ended);
        self.callers.stop_graceful(CLOSE_TIMEOUT);
        // The listener has stopped, so its error is of no use.
        let _ = self.callers_task.await;
        let _ = self.peers.stop();
        drop(self.controllers);
        log::info!("process: graceful shutdown complete");
    }

    /// Stops abruptly, for tests and benchmarks: closes both listeners and
    /// aborts the background tasks. Requests that are running continue,
    /// because their tasks are not aborted.
    pub fn kill(self) {
        self.callers_task.abort();
        self.callers.stop_forceful();
        // Fails if the listener has stopped already.
        let _ = self.peers.stop();
    }

    /// Accepts calls on issued tickets for the drain timeout, then closes
    /// the unused tickets and waits for the running calls.
    async fn drain_tickets(&self) {
        let daemon = &self.daemon;
        let settings = &daemon.settings;
        let drain = Duration::from_millis(settings.drain_timeout_ms);
        let until = daemon.clock.now() + drain;
        let open = || daemon.calls.open_tickets(daemon.clock.now());
        while open() > 0 && daemon.clock.now() < until {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        daemon.calls.close_unused();
        while open() > 0 {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

fn bind(
    address: SocketAddr,
    flag: &'static str,
) -> anyhow::Result<TcpListener> {
    let listen = || -> std::io::Result<TcpListener> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Accepted sockets inherit TCP_NODELAY. Without it, Nagle's
        // algorithm holds a token back until the previous one is
        // acknowledged.
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)?.into_std()
    };
    listen().with_context(|| {
        format!(
            "{flag} {address} can't be bound; choose a free port, or port 0 \
             for any free one"
        )
    })
}
