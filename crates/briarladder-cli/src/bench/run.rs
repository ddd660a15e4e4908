//! Runs a workload against one system and collects the observations.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    clock::{Clock, SystemClock},
    names::StageName,
    sorted::SortedMap,
};
use briarladder_standins::{
    cluster::{Cluster, ClusterSettings},
    journal::Entry,
};
use tokio::runtime::{Builder, Runtime};

use super::{
    baseline::Baseline,
    callers::{DaemonClient, RequestRecord, Target},
    cpu::CpuTime,
    deployment::{Deployment, regions},
    event,
    load_generator::send_arrivals,
    report::{self, RunReport},
    scenario::{Scenario, System},
    workload::Workload,
};
use crate::fleet::{Fleet, FleetSettings};

/// Threads of the load generator.
const LOAD_THREADS: usize = 2;

/// Threads shared by all stand-ins.
const STANDIN_THREADS: usize = 3;

/// Threads of each daemon.
const DAEMON_THREADS: usize = 1;

/// Time between the start of a system and the start of the workload.
const START_DELAY: Duration = Duration::from_millis(100);

/// Everything recorded during a run.
pub(super) struct Observations {
    pub(super) system: System,
    pub(super) scenario: Scenario,
    pub(super) workload: Arc<Workload>,
    pub(super) records: Vec<RequestRecord>,
    pub(super) journal: Vec<Entry>,
    pub(super) cross_region_bytes: SortedMap<StageName, u64>,
    /// Time from the event to the daemons' last dispatch to a server that the
    /// event crashed. `None` if there was none after the event.
    pub(super) lost_server_work: Option<Duration>,
    /// CPU time of this process during `elapsed`.
    pub(super) cpu: CpuTime,
    pub(super) elapsed: Duration,
}

/// Runs a workload against a system and returns the figures.
pub(super) fn run(
    system: System,
    scenario: Scenario,
    deployment: &Deployment,
    workload: Workload,
) -> anyhow::Result<RunReport> {
    let load_runtime = runtime("load", LOAD_THREADS)?;
    let standins = runtime("standins", STANDIN_THREADS)?;
    let workload = Arc::new(workload);
    let observations = standins.block_on(async {
        match system {
            System::Product => {
                run_product(scenario, deployment, workload, &load_runtime)
                    .await
            }
            System::Baseline => {
                run_baseline(scenario, deployment, workload, &load_runtime)
                    .await
            }
        }
    });
    load_runtime.shutdown_background();
    standins.shutdown_background();
    Ok(report::build_report(deployment, &observations?))
}

fn runtime(name: &str, threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

async fn run_product(
    scenario: Scenario,
    deployment: &Deployment,
    workload: Arc<Workload>,
    load_runtime: &Runtime,
) -> anyhow::Result<Observations> {
    let settings = FleetSettings {
        daemon_threads: Some(DAEMON_THREADS),
        ..FleetSettings::default()
    };
    let objects = deployment.objects().to_vec();
    let mut fleet = Fleet::start(objects, settings).await?;
    event::install_faults(scenario, fleet.cluster());
    let target =
        Target::Product(DaemonClient::new(fleet.callers_addresses())?);
    let running_load = RunningLoad::start(target, workload, load_runtime);

    running_load.wait_for_event().await;
    event::apply_to_backends(scenario, deployment, fleet.cluster()).await?;
    let event_at = SystemClock.unix_time();
    event::apply_to_daemons(scenario, &mut fleet, &running_load.target)
        .await?;
    let (system, cluster) = (System::Product, fleet.cluster());
    let mut observations =
        running_load.finish(system, scenario, cluster).await?;
    let lost = event::lost_servers(scenario, fleet.cluster().objects());
    observations.lost_server_work =
        event::last_dispatch_after(&fleet, &lost, event_at);
    for running in fleet.daemons() {
        let router = running.daemon().router.lock();
        for (stage, bytes) in router.cross_region_bytes().iter() {
            let counts = &mut observations.cross_region_bytes;
            *counts.get_or_insert_with(stage.clone(), || 0) +=
                bytes.sent_bytes + bytes.received_bytes;
        }
    }
    fleet.stop().await;
    Ok(observations)
}

async fn run_baseline(
    scenario: Scenario,
    deployment: &Deployment,
    workload: Arc<Workload>,
    load_runtime: &Runtime,
) -> anyhow::Result<Observations> {
    let settings = ClusterSettings::default();
    let cluster = Cluster::start(deployment.objects(), settings).await?;
    event::install_faults(scenario, &cluster);
    // One entry point per zone: the fleet has one daemon in each zone.
    let entries = regions(deployment.objects())
        .flat_map(|region| region.zones.iter().map(|_| region.name.clone()));
    let target = Target::Baseline {
        baseline: Baseline::new(cluster.objects())?,
        regions: entries.collect(),
    };
    let running_load = RunningLoad::start(target, workload, load_runtime);
    let target = Arc::clone(&running_load.target);

    running_load.wait_for_event().await;
    event::apply_to_backends(scenario, deployment, &cluster).await?;
    let mut observations =
        running_load.finish(System::Baseline, scenario, &cluster).await?;
    if let Target::Baseline { baseline, .. } = &*target {
        observations.cross_region_bytes = baseline.cross_region_bytes();
    }
    cluster.stop().await;
    Ok(observations)
}

/// A running load generator.
struct RunningLoad {
    target: Arc<Target>,
    workload: Arc<Workload>,
    started_at: Instant,
    cpu: CpuTime,
    load_task: tokio::task::JoinHandle<Vec<RequestRecord>>,
}

impl RunningLoad {
    fn start(
        target: Target,
        workload: Arc<Workload>,
        runtime: &Runtime,
    ) -> RunningLoad {
        let target = Arc::new(target);
        let started_at = Instant::now() + START_DELAY;
        let arrivals = send_arrivals(
            Arc::clone(&target),
            Arc::clone(&workload),
            started_at,
        );
        let load_task = runtime.spawn(arrivals);
        RunningLoad {
            target,
            workload,
            started_at,
            cpu: CpuTime::now(),
            load_task,
        }
    }

    async fn wait_for_event(&self) {
        let at = self.started_at + self.workload.event_offset();
        tokio::time::sleep_until(at.into()).await;
    }

    /// Waits until all requests have ended and returns the observations.
    async fn finish(
        self,
        system: System,
        scenario: Scenario,
        cluster: &Cluster,
    ) -> anyhow::Result<Observations> {
        let mut load_task = self.load_task;
        let records = if scenario == Scenario::Poison {
            tokio::select! {
                records = &mut load_task => records?,
                () = event::restart_crashed(cluster) => Vec::new(),
            }
        } else {
            load_task.await?
        };
        Ok(Observations {
            system,
            scenario,
            workload: self.workload,
            records,
            journal: cluster.journal().entries(),
            cross_region_bytes: SortedMap::new(),
            lost_server_work: None,
            cpu: CpuTime::now().since(self.cpu),
            elapsed: self.started_at.elapsed() + START_DELAY,
        })
    }
}
