//! One run of one system.

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
    callers::{Product, Sample, Target},
    cpu::CpuTime,
    deployment::{Deployment, regions},
    event,
    load::drive,
    report::{self, RunReport},
    scenario::{Scenario, System},
    workload::Workload,
};
use crate::fleet::{Fleet, FleetSettings};

/// The threads that send requests.
const LOAD_THREADS: usize = 2;

/// The threads of all stand-ins together.
const STANDIN_THREADS: usize = 3;

/// The threads of one daemon.
const DAEMON_THREADS: usize = 1;

/// The time between the start of a system and the first request.
const LEAD: Duration = Duration::from_millis(100);

/// What was observed in a run.
pub(super) struct Observed {
    pub(super) system: System,
    pub(super) scenario: Scenario,
    pub(super) workload: Arc<Workload>,
    pub(super) samples: Vec<Sample>,
    pub(super) journal: Vec<Entry>,
    pub(super) cross_region_bytes: SortedMap<StageName, u64>,
    /// How long servers that died were still sent work.
    pub(super) lost_server_work: Option<Duration>,
    pub(super) cpu: CpuTime,
    pub(super) elapsed: Duration,
}

/// Runs a workload against a system.
pub(super) fn run(
    system: System,
    scenario: Scenario,
    deployment: &Deployment,
    workload: Workload,
) -> anyhow::Result<RunReport> {
    let load = runtime("load", LOAD_THREADS)?;
    let standins = runtime("standins", STANDIN_THREADS)?;
    let workload = Arc::new(workload);
    let observed = standins.block_on(async {
        match system {
            System::Product => {
                run_product(scenario, deployment, workload, &load).await
            }
            System::Baseline => {
                run_baseline(scenario, deployment, workload, &load).await
            }
        }
    });
    load.shutdown_background();
    standins.shutdown_background();
    Ok(report::report(deployment, &observed?))
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
    load: &Runtime,
) -> anyhow::Result<Observed> {
    let settings = FleetSettings {
        daemon_threads: Some(DAEMON_THREADS),
        ..FleetSettings::default()
    };
    let objects = deployment.objects().to_vec();
    let mut fleet = Fleet::start(objects, settings).await?;
    event::prepare(scenario, fleet.cluster());
    let target = Target::Product(Product::new(fleet.callers_addresses())?);
    let run = Load::start(target, workload, load);

    run.wait_for_event().await;
    event::apply_to_backends(scenario, deployment, fleet.cluster()).await?;
    let event_at = SystemClock.unix_time();
    event::apply_to_daemons(scenario, &mut fleet, &run.target).await?;
    let (system, cluster) = (System::Product, fleet.cluster());
    let mut observed = run.finish(system, scenario, cluster).await?;
    let lost = event::lost_servers(scenario, fleet.cluster().objects());
    observed.lost_server_work =
        event::last_work_after(&fleet, &lost, event_at);
    for running in fleet.daemons() {
        let router = running.daemon().router.lock();
        for (stage, bytes) in router.cross_region_bytes().iter() {
            let counts = &mut observed.cross_region_bytes;
            *counts.get_or_insert_with(stage.clone(), || 0) +=
                bytes.sent_bytes + bytes.received_bytes;
        }
    }
    fleet.stop().await;
    Ok(observed)
}

async fn run_baseline(
    scenario: Scenario,
    deployment: &Deployment,
    workload: Arc<Workload>,
    load: &Runtime,
) -> anyhow::Result<Observed> {
    let settings = ClusterSettings::default();
    let cluster = Cluster::start(deployment.objects(), settings).await?;
    event::prepare(scenario, &cluster);
    // One entry for each zone, as the product has one daemon in each.
    let entries = regions(deployment.objects())
        .flat_map(|region| region.zones.iter().map(|_| region.name.clone()));
    let target = Target::Baseline {
        baseline: Baseline::new(cluster.objects())?,
        regions: entries.collect(),
    };
    let run = Load::start(target, workload, load);
    let target = Arc::clone(&run.target);

    run.wait_for_event().await;
    event::apply_to_backends(scenario, deployment, &cluster).await?;
    let mut observed =
        run.finish(System::Baseline, scenario, &cluster).await?;
    if let Target::Baseline { baseline, .. } = &*target {
        observed.cross_region_bytes = baseline.cross_region_bytes();
    }
    cluster.stop().await;
    Ok(observed)
}

/// The load generator at work.
struct Load {
    target: Arc<Target>,
    workload: Arc<Workload>,
    started_at: Instant,
    cpu: CpuTime,
    driver: tokio::task::JoinHandle<Vec<Sample>>,
}

impl Load {
    fn start(
        target: Target,
        workload: Arc<Workload>,
        runtime: &Runtime,
    ) -> Load {
        let target = Arc::new(target);
        let started_at = Instant::now() + LEAD;
        let drive =
            drive(Arc::clone(&target), Arc::clone(&workload), started_at);
        let driver = runtime.spawn(drive);
        Load { target, workload, started_at, cpu: CpuTime::now(), driver }
    }

    async fn wait_for_event(&self) {
        let at = self.started_at + self.workload.event_at();
        tokio::time::sleep_until(at.into()).await;
    }

    /// Waits for the end of all requests.
    async fn finish(
        self,
        system: System,
        scenario: Scenario,
        cluster: &Cluster,
    ) -> anyhow::Result<Observed> {
        let mut driver = self.driver;
        let samples = if scenario == Scenario::Poison {
            tokio::select! {
                samples = &mut driver => samples?,
                () = event::restart_crashed(cluster) => Vec::new(),
            }
        } else {
            driver.await?
        };
        Ok(Observed {
            system,
            scenario,
            workload: self.workload,
            samples,
            journal: cluster.journal().entries(),
            cross_region_bytes: SortedMap::new(),
            lost_server_work: None,
            cpu: CpuTime::now().since(self.cpu),
            elapsed: self.started_at.elapsed() + LEAD,
        })
    }
}
