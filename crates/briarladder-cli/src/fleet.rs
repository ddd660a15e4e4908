//! A whole deployment in one process: stand-ins for the platform and the
//! backend servers, and several daemons, all on loopback.
//!
//! # Example
//!
//! ```no_run
//! # async fn example() -> anyhow::Result<()> {
//! use briarladder_cli::{
//!     fleet::{Fleet, FleetSettings},
//!     samples::Sample,
//! };
//!
//! let objects = Sample::Dobradura.objects()?;
//! let fleet = Fleet::start(objects, FleetSettings::default()).await?;
//! println!("{}", fleet.daemons()[0].callers_address());
//! fleet.stop().await;
//! # Ok(())
//! # }
//! ```

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, ensure};
use briarladder_core::{
    clock::{SharedClock, SystemClock},
    config::Bundle,
    names::{VmName, ZoneName},
    objects::Object,
};
use briarladder_daemon::{
    process::RunningDaemon,
    settings::{Secret, Settings},
};
use briarladder_standins::{
    cluster::{Cluster, ClusterSettings},
    platform::{Chunk, Platform, PlatformSettings},
};
use briarladder_wire::platform::{Vm, VmKind, VmState};
use clap::Parser;
use tokio::runtime::{Builder, Runtime};

/// The key of the peers inside a fleet, unless another one is set. Fleets
/// only listen on loopback.
pub const DEFAULT_PEER_KEY: &str = "loopback-demo-peer-key";

/// How long daemons may take to have a configuration in force.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The daemons in each availability zone.
    pub daemons_per_zone: usize,
    /// How the backend servers behave.
    pub cluster: ClusterSettings,
    /// The first callers' port; each further daemon takes the next one.
    /// None takes free ports.
    pub first_port: Option<u16>,
    /// The key that peers and operators show.
    pub peer_key: Secret,
    /// Further flags of every daemon.
    pub daemon_flags: Vec<String>,
    /// The worker threads of each daemon's own runtime, which lets a daemon
    /// be crashed. None runs all daemons in the caller's runtime.
    pub daemon_threads: Option<usize>,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            daemons_per_zone: 1,
            cluster: ClusterSettings::default(),
            first_port: None,
            // OK because any text is a secret.
            peer_key: DEFAULT_PEER_KEY.parse().unwrap(),
            daemon_flags: vec![
                "--balancer-delay-ms=0".into(),
                "--drain-timeout-ms=1000".into(),
            ],
            daemon_threads: None,
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    platform: Platform,
    cluster: Cluster,
    daemons: Vec<RunningDaemon>,
    runtimes: Vec<OwnRuntime>,
    settings: FleetSettings,
}

/// The runtime of one daemon. Dropping it ends all tasks of the daemon, as a
/// sudden death does, without waiting for them.
#[derive(Debug)]
struct OwnRuntime {
    vm: VmName,
    runtime: Option<Runtime>,
}

impl OwnRuntime {
    fn new(vm: &VmName, threads: usize) -> anyhow::Result<OwnRuntime> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name("daemon")
            .enable_all()
            .build()?;
        Ok(OwnRuntime { vm: vm.clone(), runtime: Some(runtime) })
    }
}

impl Drop for OwnRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A plain drop blocks, which a runtime's own thread may not.
            runtime.shutdown_background();
        }
    }
}

impl Fleet {
    /// Starts all parts, publishes the objects as epoch 1, and waits until
    /// every daemon has them in force.
    ///
    /// # Errors
    ///
    /// Returns an error when a part can't start or a daemon does not become
    /// ready.
    pub async fn start(
        objects: Vec<Object>,
        settings: FleetSettings,
    ) -> anyhow::Result<Fleet> {
        let cluster =
            Cluster::start(&objects, settings.cluster.clone()).await?;
        let platform = Platform::start(PlatformSettings::default()).await?;
        let mut fleet = Fleet {
            platform,
            cluster,
            daemons: Vec::new(),
            runtimes: Vec::new(),
            settings,
        };
        fleet.publish(1, fleet.cluster.objects())?;
        for zone in fleet.zones() {
            for number in 1..=fleet.settings.daemons_per_zone {
                let vm = VmName::new(&format!("entry-{zone}-{number}"))?;
                fleet.start_daemon(&vm, &zone)?;
            }
        }
        fleet.publish_vm_list();
        fleet.wait_for_epoch(1).await?;
        Ok(fleet)
    }

    /// Returns the zones of the objects in force.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneName> {
        let regions =
            self.cluster.objects().iter().filter_map(|object| match object {
                Object::Region(region) => Some(region),
                _ => None,
            });
        regions.flat_map(|r| r.zones.iter().map(|z| z.name.clone())).collect()
    }

    /// Starts one more daemon. Call [`Fleet::publish_vm_list`] afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon can't start.
    pub fn start_daemon(
        &mut self,
        vm: &VmName,
        zone: &ZoneName,
    ) -> anyhow::Result<()> {
        self.start_daemon_with_clock(vm, zone, Arc::new(SystemClock))
    }

    /// Starts one more daemon with a clock of its own, for example one whose
    /// wall clock is wrong. Call [`Fleet::publish_vm_list`] afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon can't start.
    pub fn start_daemon_with_clock(
        &mut self,
        vm: &VmName,
        zone: &ZoneName,
        clock: SharedClock,
    ) -> anyhow::Result<()> {
        let mut flags = vec![
            "briarladderd".to_owned(),
            format!("--vm={vm}"),
            format!("--zone={zone}"),
            format!("--platform={}", self.platform.address()),
            format!("--peer-key={}", self.settings.peer_key.expose()),
        ];
        if let Some(first) = self.settings.first_port {
            let offset = u16::try_from(self.daemons.len())?;
            let port = first.checked_add(offset).context(
                "the ports run past 65535; choose a lower first port",
            )?;
            flags.push(format!("--callers-listen=127.0.0.1:{port}"));
        }
        flags.extend(self.settings.daemon_flags.iter().cloned());
        let settings = Settings::try_parse_from(flags)?;
        let own = match self.settings.daemon_threads {
            Some(threads) => Some(OwnRuntime::new(vm, threads)?),
            None => None,
        };
        let entered = own.as_ref().and_then(|own| own.runtime.as_ref());
        let guard = entered.map(Runtime::enter);
        let running = RunningDaemon::start(settings, clock)?;
        drop(guard);
        self.daemons.push(running);
        self.runtimes.extend(own);
        Ok(())
    }

    /// Ends a daemon without a planned stop: its connections close and its
    /// open requests are lost.
    ///
    /// # Errors
    ///
    /// Returns an error when no daemon with an own runtime has the name.
    pub fn crash_daemon(&mut self, vm: &VmName) -> anyhow::Result<()> {
        let own = self.runtimes.iter().position(|own| own.vm == *vm);
        let own = own.with_context(|| {
            format!("{vm} has no runtime of its own; set daemon_threads")
        })?;
        self.runtimes.remove(own);
        self.daemons.retain(|running| running.daemon().settings.vm != *vm);
        Ok(())
    }

    /// Publishes an object set.
    ///
    /// # Errors
    ///
    /// Returns an error when the set can't be cut into chunks.
    pub fn publish(
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

    /// Tells the platform's list which daemons and backend servers run.
    pub fn publish_vm_list(&self) {
        let entries = self.daemons.iter().map(|running| {
            let daemon = running.daemon();
            Vm {
                name: daemon.settings.vm.clone(),
                zone: daemon.settings.zone.clone(),
                kind: VmKind::Entry,
                address: daemon.peer_address,
                state: VmState::Live,
            }
        });
        self.platform.set_vms(entries.collect());
    }

    /// Waits until every daemon has an epoch in force.
    ///
    /// # Errors
    ///
    /// Returns an error that names a daemon that does not come into line.
    pub async fn wait_for_epoch(&self, epoch: u64) -> anyhow::Result<()> {
        let started_at = tokio::time::Instant::now();
        for running in &self.daemons {
            loop {
                let daemon = running.daemon();
                let configuration = daemon.blackboard.configuration();
                let snapshot = configuration.snapshot.as_ref();
                if snapshot.is_some_and(|s| s.epoch >= epoch) {
                    break;
                }
                ensure!(
                    started_at.elapsed() < READY_TIMEOUT,
                    "{} is not at epoch {epoch}: {:?}",
                    daemon.settings.vm,
                    configuration.problem
                );
                drop(configuration);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    /// Returns the daemons.
    #[must_use]
    pub fn daemons(&self) -> &[RunningDaemon] {
        &self.daemons
    }

    /// Takes a daemon out, for example to stop it.
    ///
    /// # Panics
    ///
    /// Panics if there is no such daemon.
    pub fn remove_daemon(&mut self, at: usize) -> RunningDaemon {
        self.daemons.remove(at)
    }

    /// Returns where callers reach each daemon.
    #[must_use]
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(RunningDaemon::callers_address).collect()
    }

    /// Returns the platform.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the backend servers.
    #[must_use]
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Stops the daemons, then everything else.
    pub async fn stop(self) {
        let stops = self.daemons.into_iter().map(RunningDaemon::stop);
        futures_util::future::join_all(stops).await;
        self.cluster.stop().await;
        self.platform.stop().await;
    }
}
