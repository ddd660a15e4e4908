//! A deployment in one process: daemons, and stand-ins for the platform and
//! the backend servers, all on loopback.
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

/// The default peer key of a fleet. A public default is safe because fleets
/// listen only on loopback.
pub const DEFAULT_PEER_KEY: &str = "loopback-demo-peer-key";

/// The time limit for all daemons to put a configuration in force.
const EPOCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The number of daemons in each availability zone.
    pub daemons_per_zone: usize,
    /// The behaviour of the backend servers.
    pub cluster: ClusterSettings,
    /// The port on which the first daemon serves callers; each further daemon
    /// uses the next port. None uses free ports.
    pub first_port: Option<u16>,
    /// The key with which peers and operators authenticate.
    pub peer_key: Secret,
    /// Additional command-line flags of every daemon.
    pub daemon_flags: Vec<String>,
    /// The number of worker threads of each daemon's own runtime, which
    /// [`Fleet::crash_daemon`] needs. None runs all daemons on the current
    /// runtime.
    pub daemon_threads: Option<usize>,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            daemons_per_zone: 1,
            cluster: ClusterSettings::default(),
            first_port: None,
            // OK because any string parses as a secret.
            peer_key: DEFAULT_PEER_KEY.parse().unwrap(),
            daemon_flags: vec![
                "--balancer-delay-ms=0".into(),
                "--drain-timeout-ms=1000".into(),
            ],
            daemon_threads: None,
        }
    }
}

/// A running deployment: its daemons and the stand-ins that they use.
#[derive(Debug)]
pub struct Fleet {
    platform: Platform,
    cluster: Cluster,
    daemons: Vec<RunningDaemon>,
    runtimes: Vec<DaemonRuntime>,
    settings: FleetSettings,
}

/// The runtime of one daemon. Dropping it aborts all tasks of the daemon
/// without waiting for them, as a crash of the process would.
#[derive(Debug)]
struct DaemonRuntime {
    vm: VmName,
    /// Present until this is dropped.
    runtime: Option<Runtime>,
}

impl DaemonRuntime {
    fn new(vm: &VmName, threads: usize) -> anyhow::Result<DaemonRuntime> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name("daemon")
            .enable_all()
            .build()?;
        Ok(DaemonRuntime { vm: vm.clone(), runtime: Some(runtime) })
    }
}

impl Drop for DaemonRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // Dropping a runtime blocks, which panics in async code.
            runtime.shutdown_background();
        }
    }
}

impl Fleet {
    /// Starts the stand-ins and the daemons, publishes the objects as epoch 1,
    /// and waits until every daemon has them in force.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in or a daemon can't start, or a daemon
    /// does not put the objects in force within 10 s.
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

    /// Returns the availability zones of the objects that the fleet was
    /// started with.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneName> {
        let regions =
            self.cluster.objects().iter().filter_map(|object| match object {
                Object::Region(region) => Some(region),
                _ => None,
            });
        regions.flat_map(|r| r.zones.iter().map(|z| z.name.clone())).collect()
    }

    /// Starts another daemon. Call [`Fleet::publish_vm_list`] afterwards.
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

    /// Starts another daemon with its own clock, for example one with a skewed
    /// wall clock. Call [`Fleet::publish_vm_list`] afterwards.
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
                "the daemons' ports exceed 65535; choose a lower first port",
            )?;
            flags.push(format!("--callers-listen=127.0.0.1:{port}"));
        }
        flags.extend(self.settings.daemon_flags.iter().cloned());
        let settings = Settings::try_parse_from(flags)?;
        let own_runtime = match self.settings.daemon_threads {
            Some(threads) => Some(DaemonRuntime::new(vm, threads)?),
            None => None,
        };
        let entered =
            own_runtime.as_ref().and_then(|own| own.runtime.as_ref());
        let guard = entered.map(Runtime::enter);
        let running = RunningDaemon::start(settings, clock)?;
        drop(guard);
        self.daemons.push(running);
        self.runtimes.extend(own_runtime);
        Ok(())
    }

    /// Crashes a daemon: its connections close and its open requests are lost.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such daemon or it has no runtime of
    /// its own; see [`FleetSettings::daemon_threads`].
    pub fn crash_daemon(&mut self, vm: &VmName) -> anyhow::Result<()> {
        let position = self.runtimes.iter().position(|own| own.vm == *vm);
        let position = position.with_context(|| {
            format!("{vm} has no runtime of its own; set daemon_threads")
        })?;
        self.runtimes.remove(position);
        self.daemons.retain(|running| running.daemon().settings.vm != *vm);
        Ok(())
    }

    /// Publishes an object set, which is the configuration of all daemons, on
    /// the platform. Daemons put it in force if `epoch` is above their own.
    ///
    /// # Errors
    ///
    /// Returns an error when the set can't be split into chunks.
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

    /// Publishes the running daemons as the VM list of the platform.
    pub fn publish_vm_list(&self) {
        let vms = self.daemons.iter().map(|running| {
            let daemon = running.daemon();
            Vm {
                name: daemon.settings.vm.clone(),
                zone: daemon.settings.zone.clone(),
                kind: VmKind::Entry,
                address: daemon.peer_address,
                state: VmState::Live,
            }
        });
        self.platform.set_vms(vms.collect());
    }

    /// Waits until every daemon has an epoch or a later one in force.
    ///
    /// # Errors
    ///
    /// Returns an error that names the daemon that did not reach the epoch
    /// within 10 s.
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
                    started_at.elapsed() < EPOCH_TIMEOUT,
                    "{} did not reach epoch {epoch}: {:?}",
                    daemon.settings.vm,
                    configuration.problem
                );
                drop(configuration);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    /// Returns the running daemons in the order of their start.
    #[must_use]
    pub fn daemons(&self) -> &[RunningDaemon] {
        &self.daemons
    }

    /// Removes a daemon and returns it still running, for example to stop it.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below the number of daemons.
    pub fn remove_daemon(&mut self, index: usize) -> RunningDaemon {
        self.daemons.remove(index)
    }

    /// Returns the address at which each daemon serves callers.
    #[must_use]
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(RunningDaemon::callers_address).collect()
    }

    /// Returns the stand-in for the platform.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the stand-ins for the backend servers.
    #[must_use]
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Shuts the daemons down gracefully, then stops the stand-ins.
    pub async fn stop(self) {
        let stops = self.daemons.into_iter().map(RunningDaemon::stop);
        futures_util::future::join_all(stops).await;
        self.cluster.stop().await;
        self.platform.stop().await;
    }
}
