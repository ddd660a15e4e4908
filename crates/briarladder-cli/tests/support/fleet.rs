//! A deployment whose parts can be killed, paused and disconnected.
//!
//! Each daemon has its own single-threaded runtime. Shutting the runtime down
//! simulates a killed process; blocking its thread simulates a paused process.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use briarladder_core::{
    clock::SystemClock,
    config::Bundle,
    ids::Incarnation,
    names::{VmName, ZoneName},
    objects::Object,
    timeline::{EventFilter, EventPage},
};
use briarladder_daemon::{
    daemon::Daemon, process::RunningDaemon, settings::Settings,
};
use briarladder_standins::{
    cluster::{Backend, Cluster, ClusterSettings},
    platform::{Chunk, Platform, PlatformSettings},
};
use briarladder_wire::platform::{Vm, VmKind, VmState};
use clap::Parser;
use tokio::{runtime::Runtime, task::JoinHandle};

use super::{
    history::{DaemonExit, DaemonExitKind},
    proxy::{LinkState, Proxy},
};

/// The time within which daemons must apply the configuration and discover
/// each other.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which tests poll for a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The maximum number of ports tried for a daemon. An outgoing connection can
/// take a free port before the daemon binds it.
const PORT_ATTEMPTS: usize = 20;

/// Whether daemons reach backend servers through proxies that can block
/// traffic. A proxy accepts connections even when its server is down and then
/// closes them, so connection failures can only be tested with direct links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerLinks {
    /// Daemons connect to the servers directly.
    Direct,
    /// Daemons connect through a [`Proxy`] for each server.
    Proxied,
}

/// Settings of a [`TestFleet`].
#[derive(Clone, Debug)]
pub struct TestFleetSettings {
    /// The zone of each daemon; one daemon is started per entry.
    pub zones: Vec<&'static str>,
    /// The factor by which all service times are multiplied.
    pub time_scale: f64,
    /// How daemons reach backend servers.
    pub server_links: ServerLinks,
    /// Additional command-line flags for every daemon.
    pub flags: Vec<&'static str>,
}

impl Default for TestFleetSettings {
    fn default() -> TestFleetSettings {
        TestFleetSettings {
            zones: vec!["east-a", "east-b"],
            time_scale: 1.0,
            server_links: ServerLinks::Direct,
            flags: vec!["--balancer-delay-ms=20", "--drain-timeout-ms=500"],
        }
    }
}

/// A daemon and the address at which it accepts requests.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The VM on which the daemon runs.
    pub vm: VmName,
    /// The daemon's listening address for callers.
    pub address: SocketAddr,
}

/// A daemon that can be paused or terminated like a process.
#[derive(Debug)]
pub struct DaemonProcess {
    endpoint: Endpoint,
    daemon: Arc<Daemon>,
    running: Option<RunningDaemon>,
    runtime: Option<Runtime>,
    peer_link: Option<Proxy>,
    platform_link: Proxy,
}

impl DaemonProcess {
    /// Returns the endpoint for callers.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the daemon's state, which stays readable after it exits.
    pub fn daemon(&self) -> &Arc<Daemon> {
        &self.daemon
    }

    /// Returns whether the daemon was neither killed nor shut down.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Returns all events in the daemon's timeline.
    pub fn timeline(&self) -> EventPage {
        self.daemon.events.page(0, usize::MAX, &EventFilter::default())
    }

    /// Opens or blocks incoming connections from peers.
    pub fn set_peer_link(&self, link: LinkState) {
        if let Some(proxy) = &self.peer_link {
            proxy.set_state(link);
        }
    }

    /// Opens or blocks the connection to the platform.
    pub fn set_platform_link(&self, link: LinkState) {
        self.platform_link.set_state(link);
    }

    /// Pauses the whole process for a duration.
    pub fn pause(&self, time: Duration) {
        if let Some(runtime) = &self.runtime {
            // The runtime has one thread, so blocking it stops all its tasks.
            runtime.spawn(async move { std::thread::sleep(time) });
        }
    }

    fn terminate(&mut self) {
        self.peer_link = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.running = None;
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.terminate();
    }
}

/// A graceful shutdown in progress.
#[derive(Debug)]
pub struct PendingShutdown {
    vm: VmName,
    task: JoinHandle<()>,
}

/// A running deployment.
#[derive(Debug)]
pub struct TestFleet {
    platform: Platform,
    cluster: Cluster,
    server_links: Vec<Proxy>,
    objects: Vec<Object>,
    daemons: Vec<DaemonProcess>,
    daemon_exits: Vec<DaemonExit>,
    flags: Vec<&'static str>,
    /// The peer key. Each fleet has its own, because a daemon of another fleet
    /// may reuse the port of a daemon that exited.
    peer_key: String,
    epoch: u64,
    started_daemons: usize,
}

/// Returns the configuration objects shared by the tests.
pub fn objects() -> Vec<Object> {
    // The embedded test fixture is valid JSON.
    serde_json::from_str(include_str!("objects.json")).unwrap()
}

impl TestFleet {
    /// Starts all parts and waits until every daemon has applied the
    /// configuration and discovered its peers.
    pub async fn start(
        settings: TestFleetSettings,
    ) -> anyhow::Result<TestFleet> {
        let cluster_settings = ClusterSettings {
            time_scale: settings.time_scale,
            ..ClusterSettings::default()
        };
        let cluster = Cluster::start(&objects(), cluster_settings).await?;
        let platform = Platform::start(PlatformSettings::default()).await?;
        let mut fleet = TestFleet {
            objects: cluster.objects().to_vec(),
            platform,
            cluster,
            server_links: Vec::new(),
            daemons: Vec::new(),
            daemon_exits: Vec::new(),
            flags: settings.flags,
            peer_key: Incarnation::random().to_string(),
            epoch: 0,
            started_daemons: 0,
        };
        if settings.server_links == ServerLinks::Proxied {
            fleet.start_server_proxies().await?;
        }
        fleet.publish_next()?;
        for zone in settings.zones {
            fleet.start_daemon(zone).await?;
        }
        fleet.publish_vm_list();
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts a proxy in front of each backend server.
    async fn start_server_proxies(&mut self) -> anyhow::Result<()> {
        for object in &mut self.objects {
            let Object::Region(region) = object else { continue };
            for server in region.zones.iter_mut().flat_map(|z| &mut z.servers)
            {
                let proxy = Proxy::start_to(server.address).await?;
                server.address = proxy.address();
                self.server_links.push(proxy);
            }
        }
        Ok(())
    }

    /// Starts a daemon in a zone and returns its VM.
    pub async fn start_daemon(
        &mut self,
        zone: &str,
    ) -> anyhow::Result<VmName> {
        self.started_daemons += 1;
        let vm = VmName::new(&format!("entry-{}", self.started_daemons))?;
        let zone = ZoneName::new(zone)?;
        let peer_link = Proxy::start().await?;
        let platform_link = Proxy::start_to(self.platform.address()).await?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let mut attempt = 0;
        let running = loop {
            attempt += 1;
            let port = free_port()?;
            let mut flags = vec![
                "briarladderd".to_owned(),
                format!("--vm={vm}"),
                format!("--zone={zone}"),
                format!("--platform={}", platform_link.address()),
                format!("--peer-key={}", self.peer_key),
                format!("--peers-listen=127.0.0.1:{port}"),
                format!("--peers-advertise={}", peer_link.address()),
            ];
            flags.extend(self.flags.iter().map(ToString::to_string));
            let settings = Settings::try_parse_from(flags)?;
            let _context = runtime.enter();
            match RunningDaemon::start(settings, Arc::new(SystemClock)) {
                Ok(running) => {
                    let address = (Ipv4Addr::LOCALHOST, port).into();
                    peer_link.set_target(address);
                    break running;
                }
                Err(error) if attempt == PORT_ATTEMPTS => return Err(error),
                Err(_) => {}
            }
        };
        let address = running.callers_address();
        self.daemons.push(DaemonProcess {
            endpoint: Endpoint { vm: vm.clone(), address },
            daemon: Arc::clone(running.daemon()),
            running: Some(running),
            runtime: Some(runtime),
            peer_link: Some(peer_link),
            platform_link,
        });
        Ok(vm)
    }

    /// Publishes the current objects at the next epoch and returns the epoch.
    pub fn publish_next(&mut self) -> anyhow::Result<u64> {
        let objects = self.objects.clone();
        self.publish(&objects)
    }

    /// Publishes an object set at the next epoch and returns the epoch.
    pub fn publish(&mut self, objects: &[Object]) -> anyhow::Result<u64> {
        self.epoch += 1;
        self.publish_at_epoch(self.epoch, objects)?;
        Ok(self.epoch)
    }

    /// Publishes an object set at the given epoch, which may be an old one.
    pub fn publish_at_epoch(
        &self,
        epoch: u64,
        objects: &[Object],
    ) -> anyhow::Result<()> {
        let bundle = Bundle::new(epoch, objects)?;
        let manifest = serde_json::to_string(&bundle.manifest)?;
        let mut chunks = Vec::new();
        for chunk in &bundle.chunks {
            let text = String::from_utf8(chunk.bytes.to_vec())?;
            chunks.push(Chunk { digest: chunk.digest.to_string(), text });
        }
        self.platform.publish(epoch, &manifest, &chunks);
        Ok(())
    }

    /// Updates the platform's VM list with the running daemons.
    pub fn publish_vm_list(&self) {
        self.platform.set_vms(self.vms());
    }

    fn vms(&self) -> Vec<Vm> {
        let running = self.daemons.iter().filter(|d| d.is_running());
        let vms = running.map(|process| Vm {
            name: process.endpoint.vm.clone(),
            zone: process.daemon.settings.zone.clone(),
            kind: VmKind::Entry,
            address: process.daemon.peer_address,
            state: VmState::Live,
        });
        vms.collect()
    }

    /// Publishes an outdated VM list: it contains a daemon that no longer
    /// exists and only the first of the running daemons.
    pub fn publish_stale_vm_list(&self) -> anyhow::Result<()> {
        let gone = Vm {
            name: VmName::new("entry-gone")?,
            zone: ZoneName::new("east-a")?,
            kind: VmKind::Entry,
            address: (Ipv4Addr::LOCALHOST, free_port()?).into(),
            state: VmState::Live,
        };
        let mut vms = self.vms();
        vms.truncate(1);
        vms.push(gone);
        self.platform.set_vms(vms);
        Ok(())
    }

    /// Returns whether a backend server accepts connections.
    pub async fn is_up(&self, backend: &Backend) -> bool {
        tokio::net::TcpStream::connect(backend.address()).await.is_ok()
    }

    /// Waits until every running daemon has applied the published epoch and
    /// discovered its running peers.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let started_at = Instant::now();
        let is_ready = |process: &DaemonProcess| {
            let configuration = process.daemon.blackboard.configuration();
            let epoch = configuration.snapshot.as_ref().map(|s| s.epoch);
            epoch == Some(self.epoch) && self.has_discovered_peers(process)
        };
        let mut running = self.daemons.iter().filter(|d| d.is_running());
        while let Some(unready) = running.clone().find(|d| !is_ready(d)) {
            ensure!(
                started_at.elapsed() < READY_TIMEOUT,
                "{} is not ready for epoch {}",
                unready.endpoint.vm,
                self.epoch
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        ensure!(running.next().is_some(), "no daemon runs");
        Ok(())
    }

    fn has_discovered_peers(&self, process: &DaemonProcess) -> bool {
        let running = self.daemons.iter().filter(|d| d.is_running());
        let mut peers =
            running.filter(|d| d.endpoint.vm != process.endpoint.vm);
        let known: Vec<VmName> = process.daemon.members.with(|members| {
            let live = members.iter().filter(|m| m.is_assignable());
            live.map(|member| member.name.clone()).collect()
        });
        peers.all(|peer| known.contains(&peer.endpoint.vm))
    }

    /// Kills a daemon without a graceful shutdown.
    pub fn kill(&mut self, vm: &VmName) {
        self.record_exit(vm, DaemonExitKind::Killed);
        if let Some(process) = self.find(vm) {
            process.terminate();
        }
    }

    /// Starts a graceful shutdown.
    pub fn begin_shutdown(
        &mut self,
        vm: &VmName,
    ) -> anyhow::Result<PendingShutdown> {
        self.record_exit(vm, DaemonExitKind::ShutDown);
        let process = self.find(vm).context("no such daemon")?;
        let running =
            process.running.take().context("the daemon has exited")?;
        let runtime =
            process.runtime.as_ref().context("the daemon has exited")?;
        let task = runtime.spawn(running.stop());
        Ok(PendingShutdown { vm: vm.clone(), task })
    }

    /// Waits until a graceful shutdown completes, then terminates the process
    /// immediately, as `main` does.
    pub async fn finish_shutdown(
        &mut self,
        pending_shutdown: PendingShutdown,
    ) {
        // The task fails if the daemon was killed during the shutdown.
        let _ = pending_shutdown.task.await;
        if let Some(process) = self.find(&pending_shutdown.vm) {
            process.terminate();
        }
    }

    fn record_exit(&mut self, vm: &VmName, kind: DaemonExitKind) {
        let (vm, exit_started_at) = (vm.clone(), Instant::now());
        self.daemon_exits.push(DaemonExit { vm, kind, exit_started_at });
    }

    fn find(&mut self, vm: &VmName) -> Option<&mut DaemonProcess> {
        self.daemons.iter_mut().find(|d| d.endpoint.vm == *vm)
    }

    /// Returns all daemons, including those that exited.
    pub fn daemons(&self) -> &[DaemonProcess] {
        &self.daemons
    }

    /// Returns the running daemons in start order.
    pub fn running(&self) -> Vec<&DaemonProcess> {
        self.daemons.iter().filter(|d| d.is_running()).collect()
    }

    /// Returns the endpoint of the running daemon at an index in start order.
    pub fn endpoint(&self, index: usize) -> Endpoint {
        self.running()[index].endpoint.clone()
    }

    /// Removes daemons that exited and the records of their exits.
    pub fn discard_exited(&mut self) {
        self.daemons.retain(DaemonProcess::is_running);
        self.daemon_exits.clear();
    }

    /// Returns the recorded daemon exits.
    pub fn daemon_exits(&self) -> &[DaemonExit] {
        &self.daemon_exits
    }

    /// Opens or blocks the proxied links to all backend servers.
    pub fn set_server_links(&self, link: LinkState) {
        for proxy in &self.server_links {
            proxy.set_state(link);
        }
    }

    /// Returns the objects with the addresses of the stand-ins or of the
    /// proxies in front of them.
    pub fn objects(&self) -> &[Object] {
        &self.objects
    }

    /// Returns the platform stand-in.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the backend server stand-ins.
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Returns the backend server with the given name.
    pub fn backend(&self, name: &str) -> &Backend {
        // Tests only name servers from their object set.
        self.cluster.backend(name).unwrap()
    }
}

fn free_port() -> std::io::Result<u16> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?.port())
}
