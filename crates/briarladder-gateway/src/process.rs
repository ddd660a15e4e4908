//! The lifecycle of a gateway process: start, reload, graceful shutdown.

use std::{rc::Rc, sync::Arc, time::Duration};

use anyhow::Context as _;
use briarladder_core::{
    clock::SharedClock,
    fleet::{
        caller_memory::CallerMemoryLimits, peers::Member,
        server_paths::max_relayed_connections, shutdown::Shutdown,
    },
};
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::{LocalSet, spawn_local},
};

use crate::{
    blackboard::{Blackboard, Lifecycle},
    caller_memory::CallerMemory,
    clock::VmClock,
    context::Gateway,
    dialect::Dialect,
    listener::{self, StopPhase, StopSignal},
    logs::LogFlusher,
    metrics::Metrics,
    net,
    peers::{
        client::PeerClient, membership, stream_origins, watchdog::Watchdog,
    },
    pool::ConnectionPool,
    relay::server::RelayServer,
    server_client::{self, ServerClient},
    settings::GatewaySettings,
    stages::{batcher::Batcher, coordinator::Coordinator, release},
    store,
};

/// How often a process that is shutting down checks whether it may exit.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long connections have to report what the exit of the process cuts off.
const EXIT_REPORT_TIME: Duration = Duration::from_millis(20);

/// Reads the settings from their file again.
pub type SettingsLoader = Box<dyn Fn() -> anyhow::Result<GatewaySettings>>;

/// Runs a gateway until a graceful shutdown is complete, then exits the
/// process.
///
/// # Errors
///
/// If an address can't be bound or the runtime can't be started.
pub fn run(
    settings: GatewaySettings,
    dialect: Rc<dyn Dialect>,
    reload: SettingsLoader,
    logs: &LogFlusher,
) -> anyhow::Result<()> {
    // A single thread is enough: the VMs have a fraction of a core.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("failed to start the async runtime")?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, dialect, reload))?;
    logs.flush();
    // Exits without running destructors: dropping all open connections one by
    // one may take longer than the remaining shutdown time on a small VM.
    std::process::exit(0)
}

async fn serve(
    settings: GatewaySettings,
    dialect: Rc<dyn Dialect>,
    reload: SettingsLoader,
) -> anyhow::Result<()> {
    let clock: SharedClock = Arc::new(VmClock);
    let mut signals = Signals::new()?;
    let settings = Rc::new(settings);
    let gateway = build_gateway(&clock, &settings, dialect);
    let (stop, stopping) = watch::channel(StopPhase::Serving);
    start_controllers(&gateway, &settings, stopping)?;
    log::info!(
        "process: event=started vm={} zone={} callers={} peers={} pid={}",
        settings.vm,
        settings.zone,
        settings.callers_address,
        settings.peers_address,
        std::process::id()
    );
    while let SignalAction::Reload = signals.next().await {
        reload_settings(&gateway, &reload);
    }
    shut_down(&gateway, &settings, &stop).await;
    Ok(())
}

fn build_gateway(
    clock: &SharedClock,
    settings: &GatewaySettings,
    dialect: Rc<dyn Dialect>,
) -> Rc<Gateway> {
    // The wall clock only orders the incarnations of one VM. If it went back,
    // the peers' replies correct the incarnation.
    let unix_ms = clock.unix_time().as_millis();
    let incarnation = u64::try_from(unix_ms).unwrap_or(u64::MAX);
    let local_member = Member::new(
        &settings.vm,
        &settings.zone,
        settings.peers_address,
        incarnation,
    );
    let blackboard =
        Blackboard::new(Arc::clone(clock), settings, local_member);
    let metrics = Rc::new(Metrics::default());
    let pool = ConnectionPool::new(Arc::clone(clock));
    let servers = ServerClient::new(&pool, &blackboard, &metrics);
    let batcher = Batcher::new(&blackboard, &dialect, &servers, &metrics);
    let caller_memory =
        CallerMemory::new(Arc::clone(clock), caller_memory_limits(settings));
    let max_relayed = max_relayed_connections(settings.memory_bytes);
    Rc::new(Gateway {
        dialect,
        caller_memory,
        peers: PeerClient::new(&pool),
        relay_server: RelayServer::new(&blackboard, &metrics, max_relayed),
        watchdog: Watchdog::default(),
        pool,
        servers,
        metrics,
        coordinator: Coordinator::new(&blackboard, batcher),
        releases: release::ReleaseQueue::default(),
        blackboard,
        vm: Arc::clone(&settings.vm),
    })
}

fn caller_memory_limits(settings: &GatewaySettings) -> CallerMemoryLimits {
    CallerMemoryLimits::of_process(
        settings.memory_bytes,
        settings.max_descriptors,
        descriptor_limit(),
    )
}

/// Binds all listeners and starts the controllers.
fn start_controllers(
    gateway: &Rc<Gateway>,
    settings: &Rc<GatewaySettings>,
    stopping: StopSignal,
) -> anyhow::Result<()> {
    let bind = |address, what| {
        net::listen(address).with_context(|| {
            format!(
                "cannot bind address {address} for {what}; check \
                 that no other process uses it"
            )
        })
    };
    let callers = bind(settings.callers_address, "callers")?;
    let readiness = bind(settings.readiness_address, "readiness")?;
    let peers = bind(settings.peers_address, "peers")?;
    let metrics = bind(settings.metrics_address, "metrics")?;
    let shared = || Rc::clone(gateway);
    spawn_local(listener::serve_peers(shared(), peers));
    spawn_local(listener::serve_readiness(shared(), readiness));
    spawn_local(listener::serve_metrics(shared(), metrics));
    spawn_local(listener::serve_callers(shared(), callers, stopping));
    spawn_local(store::run(shared(), settings.store_address));
    spawn_local(store::run_peer_fallback(shared()));
    spawn_local(store::run_follower(shared()));
    spawn_local(store::run_reconciliation(shared()));
    spawn_local(membership::run(shared(), Rc::clone(settings)));
    spawn_local(Rc::clone(&gateway.coordinator).run());
    spawn_local(release::run(shared()));
    spawn_local(server_client::run_probes(shared()));
    spawn_local(stream_origins::run_replication(shared()));
    spawn_local(stream_origins::run_version_checks(shared()));
    Ok(())
}

fn reload_settings(gateway: &Gateway, reload: &SettingsLoader) {
    match reload() {
        Ok(settings) => {
            log::info!(
                "process: event=reloaded seeds={} outcome=in_force",
                settings.seeds.len()
            );
            *gateway.blackboard.seeds.borrow_mut() = settings.seeds;
        }
        Err(error) => log::error!(
            "process: event=reloaded outcome=kept_old cause={error:#}"
        ),
    }
}

/// Starts a graceful shutdown and waits, at most until its deadline, for the
/// requests in progress, until their responses are written, for connections on
/// which callers may send another request or the rest of one, and for the
/// relayed connections, which carry requests of other daemons.
async fn shut_down(
    gateway: &Rc<Gateway>,
    settings: &GatewaySettings,
    stop: &watch::Sender<StopPhase>,
) {
    let blackboard = &gateway.blackboard;
    let started_at = blackboard.now();
    log::info!(
        "process: event=stopping open_requests={}",
        blackboard.open_requests.get()
    );
    let shutdown = Shutdown::new(started_at, settings.shutdown_grace_period);
    blackboard.lifecycle.set(Lifecycle::Stopping(shutdown));
    blackboard.shutdown_started.notify_waiters();
    blackboard.peers.borrow_mut().leave();
    membership::announce_shutdown(gateway);
    stop.send_replace(StopPhase::Stopping);
    let open = || {
        // A response may be handed over and not yet written.
        blackboard.open_requests.get()
            + blackboard.open_stages.get()
            + blackboard.awaited_connections.get()
            + gateway.caller_memory.blocked_connections()
            + gateway.relay_server.open_connections()
    };
    while !shutdown.may_exit(blackboard.now(), open()) {
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    if open() > 0 {
        stop.send_replace(StopPhase::Exiting);
        tokio::time::sleep(EXIT_REPORT_TIME).await;
    }
    log::info!(
        "process: event=stopped open_requests={} ms={}",
        blackboard.open_requests.get(),
        blackboard.now().duration_since(started_at).as_millis()
    );
}

/// Returns the limit of open descriptors of this process, if it has one.
#[must_use]
pub fn descriptor_limit() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line =
        limits.lines().find_map(|l| l.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// An action that the operator requests by a signal.
enum SignalAction {
    Reload,
    Stop,
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Signals> {
        let listen =
            |kind| signal(kind).context("failed to install a signal handler");
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
