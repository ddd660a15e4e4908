//! A deployment whose parts can be killed, paused and cut off.
//!
//! Each daemon has a runtime of its own with one thread. Shutting the
//! runtime down is the death of the process; a blocked thread is a pause of
//! the whole process.

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
    history::{DaemonEnd, DaemonEndKind},
    proxy::{Link, Proxy},
};

/// How long daemons may take to have a configuration in force and to know
/// one another.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How often a condition is looked at again.
pub const RECHECK: Duration = Duration::from_millis(2);

/// How often another port is tried. A port that was free can be taken by an
/// outgoing connection before the daemon binds it.
const PORT_ATTEMPTS: usize = 20;

/// Whether daemons reach backend servers through links that can be held.
/// Behind a link, a server that is down accepts connections and drops them,
/// so that a failure to connect can't be tested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerLinks {
    /// Daemons connect to the servers.
    Direct,
    /// Daemons connect to links.
    Proxied,
}

/// Settings of a [`TestFleet`].
#[derive(Clone, Debug)]
pub struct TestFleetSettings {
    /// The zones of the daemons, one for each daemon.
    pub zones: Vec<&'static str>,
    /// The factor on all service times.
    pub time_scale: f64,
    /// How daemons reach backend servers.
    pub server_links: ServerLinks,
    /// Further flags of every daemon.
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

/// Where a caller sends a request.
#[derive(Clone, Debug)]
pub struct Place {
    /// The daemon.
    pub vm: VmName,
    /// Its callers' address.
    pub address: SocketAddr,
}

/// One daemon as a process of its own.
#[derive(Debug)]
pub struct DaemonProcess {
    place: Place,
    daemon: Arc<Daemon>,
    running: Option<RunningDaemon>,
    runtime: Option<Runtime>,
    peer_link: Option<Proxy>,
    platform_link: Proxy,
}

impl DaemonProcess {
    /// Returns where callers reach it.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns its state, also after its end.
    pub fn daemon(&self) -> &Arc<Daemon> {
        &self.daemon
    }

    /// Returns whether it was neither killed nor stopped.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Returns its timeline.
    pub fn timeline(&self) -> EventPage {
        self.daemon.events.page(0, usize::MAX, &EventFilter::default())
    }

    /// Opens or holds its links from peers.
    pub fn set_peer_link(&self, link: Link) {
        if let Some(proxy) = &self.peer_link {
            proxy.set(link);
        }
    }

    /// Opens or holds its link to the platform.
    pub fn set_platform_link(&self, link: Link) {
        self.platform_link.set(link);
    }

    /// Stops the whole process for a time.
    pub fn pause(&self, time: Duration) {
        if let Some(runtime) = &self.runtime {
            // The runtime has one thread, so that nothing else runs.
            runtime.spawn(async move { std::thread::sleep(time) });
        }
    }

    fn end(&mut self) {
        self.peer_link = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.running = None;
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// A planned stop that runs.
#[derive(Debug)]
pub struct Stopping {
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
    daemon_ends: Vec<DaemonEnd>,
    flags: Vec<&'static str>,
    /// The key of the peers. It differs between fleets, because a port of a
    /// daemon that ended may be taken by a daemon of another fleet.
    peer_key: String,
    epoch: u64,
    started_daemons: usize,
}

/// Returns the objects of the tests.
pub fn objects() -> Vec<Object> {
    // OK because the file is part of the tests.
    serde_json::from_str(include_str!("objects.json")).unwrap()
}

impl TestFleet {
    /// Starts all parts and waits until every daemon is ready and knows the
    /// others.
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
            daemon_ends: Vec::new(),
            flags: settings.flags,
            peer_key: Incarnation::random().to_string(),
            epoch: 0,
            started_daemons: 0,
        };
        if settings.server_links == ServerLinks::Proxied {
            fleet.link_servers().await?;
        }
        fleet.publish_next()?;
        for zone in settings.zones {
            fleet.start_daemon(zone).await?;
        }
        fleet.list_vms();
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Puts a link before each backend server.
    async fn link_servers(&mut self) -> anyhow::Result<()> {
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
            place: Place { vm: vm.clone(), address },
            daemon: Arc::clone(running.daemon()),
            running: Some(running),
            runtime: Some(runtime),
            peer_link: Some(peer_link),
            platform_link,
        });
        Ok(vm)
    }

    /// Publishes the objects as the next epoch and returns it.
    pub fn publish_next(&mut self) -> anyhow::Result<u64> {
        let objects = self.objects.clone();
        self.publish(&objects)
    }

    /// Publishes an object set as the next epoch and returns it.
    pub fn publish(&mut self, objects: &[Object]) -> anyhow::Result<u64> {
        self.epoch += 1;
        self.publish_as(self.epoch, objects)?;
        Ok(self.epoch)
    }

    /// Publishes an object set as an epoch, which may be an old one.
    pub fn publish_as(
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

    /// Tells the platform's list which daemons run.
    pub fn list_vms(&self) {
        self.platform.set_vms(self.vms());
    }

    fn vms(&self) -> Vec<Vm> {
        let running = self.daemons.iter().filter(|d| d.is_running());
        let vms = running.map(|process| Vm {
            name: process.place.vm.clone(),
            zone: process.daemon.settings.zone.clone(),
            kind: VmKind::Entry,
            address: process.daemon.peer_address,
            state: VmState::Live,
        });
        vms.collect()
    }

    /// Makes the platform's list lag: it has a daemon that is gone and
    /// lacks all but the first that run.
    pub fn list_wrong_vms(&self) -> anyhow::Result<()> {
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

    /// Waits until every running daemon has the published epoch in force
    /// and knows the other running ones.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let started_at = Instant::now();
        let is_ready = |process: &DaemonProcess| {
            let configuration = process.daemon.blackboard.configuration();
            let epoch = configuration.snapshot.as_ref().map(|s| s.epoch);
            epoch == Some(self.epoch) && self.knows_others(process)
        };
        let mut running = self.daemons.iter().filter(|d| d.is_running());
        while let Some(late) = running.clone().find(|d| !is_ready(d)) {
            ensure!(
                started_at.elapsed() < READY_TIMEOUT,
                "{} is not ready for epoch {}",
                late.place.vm,
                self.epoch
            );
            tokio::time::sleep(RECHECK).await;
        }
        ensure!(running.next().is_some(), "no daemon runs");
        Ok(())
    }

    fn knows_others(&self, process: &DaemonProcess) -> bool {
        let running = self.daemons.iter().filter(|d| d.is_running());
        let mut others = running.filter(|d| d.place.vm != process.place.vm);
        let known: Vec<VmName> = process.daemon.members.with(|members| {
            let live = members.iter().filter(|m| m.is_assignable());
            live.map(|member| member.name.clone()).collect()
        });
        others.all(|other| known.contains(&other.place.vm))
    }

    /// Kills a daemon.
    pub fn kill(&mut self, vm: &VmName) {
        self.note_end(vm, DaemonEndKind::Killed);
        if let Some(process) = self.find(vm) {
            process.end();
        }
    }

    /// Begins a planned stop.
    pub fn begin_stop(&mut self, vm: &VmName) -> anyhow::Result<Stopping> {
        self.note_end(vm, DaemonEndKind::Stopped);
        let process = self.find(vm).context("no such daemon")?;
        let running = process.running.take().context("it has ended")?;
        let runtime = process.runtime.as_ref().context("it has ended")?;
        let task = runtime.spawn(running.stop());
        Ok(Stopping { vm: vm.clone(), task })
    }

    /// Waits for the end of a planned stop, then ends the process at once
    /// as `main` does.
    pub async fn finish_stop(&mut self, stopping: Stopping) {
        // A stop that a kill cut short has no outcome.
        let _ = stopping.task.await;
        if let Some(process) = self.find(&stopping.vm) {
            process.end();
        }
    }

    fn note_end(&mut self, vm: &VmName, kind: DaemonEndKind) {
        let (vm, at) = (vm.clone(), Instant::now());
        self.daemon_ends.push(DaemonEnd { vm, kind, at });
    }

    fn find(&mut self, vm: &VmName) -> Option<&mut DaemonProcess> {
        self.daemons.iter_mut().find(|d| d.place.vm == *vm)
    }

    /// Returns all daemons, also those that ended.
    pub fn daemons(&self) -> &[DaemonProcess] {
        &self.daemons
    }

    /// Returns the running daemons in order of their start.
    pub fn running(&self) -> Vec<&DaemonProcess> {
        self.daemons.iter().filter(|d| d.is_running()).collect()
    }

    /// Returns where callers reach the running daemon at a position.
    pub fn place(&self, at: usize) -> Place {
        self.running()[at].place.clone()
    }

    /// Forgets daemons that ended.
    pub fn forget_ended(&mut self) {
        self.daemons.retain(DaemonProcess::is_running);
        self.daemon_ends.clear();
    }

    /// Returns the ends of daemons.
    pub fn daemon_ends(&self) -> &[DaemonEnd] {
        &self.daemon_ends
    }

    /// Opens or holds the links to all backend servers of a pool.
    pub fn set_server_links(&self, link: Link) {
        for proxy in &self.server_links {
            proxy.set(link);
        }
    }

    /// Returns the objects with the addresses of the stand-ins or links.
    pub fn objects(&self) -> &[Object] {
        &self.objects
    }

    /// Returns the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the backend servers.
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Returns a backend server.
    pub fn backend(&self, name: &str) -> &Backend {
        // OK because tests name servers of their object set.
        self.cluster.backend(name).unwrap()
    }
}

fn free_port() -> std::io::Result<u16> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?.port())
}
