//! The faults and scaling that a scenario applies to a deployment.

use std::time::Duration;

use briarladder_core::{
    names::{ServerName, StageName, VmName},
    objects::Object,
    sorted::SortedSet,
    timeline::{EventFilter, EventKind},
};
use briarladder_standins::{
    cluster::Cluster,
    fault::{Fault, Pattern, Rule},
    journal::ExecutionStatus,
};

use super::{
    callers::{DaemonClient, Target},
    deployment::{Deployment, servers_in_pool},
    scenario::Scenario,
    workload::POISON_MARKER,
};
use crate::fleet::Fleet;

/// Engines that crash in [`Scenario::BackendLoss`], along with one encoder.
const LOST_ENGINES: usize = 2;

/// The stage that is slowed down in [`Scenario::SlowStage`].
const SLOW_STAGE: &str = "draft-fold-plan";

/// How long the platform's balancer keeps sending requests to a crashed
/// daemon.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// Time between the detection of a crashed engine and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(250);

/// Interval at which the journal is searched for crashes.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the backend servers that the scenario's event crashes, engines
/// first.
pub(super) fn lost_servers(
    scenario: Scenario,
    objects: &[Object],
) -> Vec<ServerName> {
    if scenario != Scenario::BackendLoss {
        return Vec::new();
    }
    let mut lost = servers_in_pool(objects, "engine");
    lost.truncate(LOST_ENGINES);
    lost.extend(servers_in_pool(objects, "encoder").into_iter().next());
    lost
}

/// Returns the time from `since` (Unix time) to the daemons' last dispatch to
/// one of these servers, or `None` if there was no dispatch after it.
pub(super) fn last_dispatch_after(
    fleet: &Fleet,
    servers: &[ServerName],
    since: Duration,
) -> Option<Duration> {
    let since_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    let sent_ms = fleet.daemons().iter().flat_map(|running| {
        let events = &running.daemon().events;
        let page = events.page(0, usize::MAX, &EventFilter::default());
        page.events.into_iter().filter_map(|event| {
            let to_lost_server = event
                .subject
                .server
                .is_some_and(|server| servers.contains(&server));
            let is_dispatch =
                matches!(event.kind, EventKind::Dispatched { .. });
            let after = event.timestamp.unix_ms.checked_sub(since_ms);
            after.filter(|_| to_lost_server && is_dispatch)
        })
    });
    sent_ms.max().map(Duration::from_millis)
}

/// Applies the scenario's event to the backend servers.
pub(super) async fn apply_to_backends(
    scenario: Scenario,
    deployment: &Deployment,
    cluster: &Cluster,
) -> anyhow::Result<()> {
    for name in lost_servers(scenario, cluster.objects()) {
        if let Some(backend) = cluster.backend(name.as_str()) {
            backend.crash().await;
        }
    }
    if scenario == Scenario::SlowStage {
        slow_down_stage(deployment, cluster)?;
    }
    Ok(())
}

fn slow_down_stage(
    deployment: &Deployment,
    cluster: &Cluster,
) -> anyhow::Result<()> {
    let pipeline = deployment.pipeline("fold-plan")?;
    let estimate_ms = pipeline
        .stages
        .iter()
        .find(|stage| stage.name.as_str() == SLOW_STAGE)
        .map_or(0, |stage| stage.estimate_ms);
    let delay = Duration::from_millis(estimate_ms / 2);
    let stage = Some(StageName::new(SLOW_STAGE)?);
    for backend in cluster.backends() {
        backend.faults().add(Rule {
            pattern: Pattern { stage: stage.clone(), ..Pattern::default() },
            fault: Fault::Slow(delay),
            times: None,
        });
    }
    Ok(())
}

/// Installs the faults that last for the whole run: in [`Scenario::Poison`],
/// engines crash on requests that contain [`POISON_MARKER`].
pub(super) fn install_faults(scenario: Scenario, cluster: &Cluster) {
    if scenario != Scenario::Poison {
        return;
    }
    let engines = servers_in_pool(cluster.objects(), "engine");
    for backend in cluster.backends() {
        if engines.contains(backend.name()) {
            backend.faults().add(Rule {
                pattern: Pattern {
                    body_contains: Some(POISON_MARKER.into()),
                    ..Pattern::default()
                },
                fault: Fault::Crash,
                times: None,
            });
        }
    }
}

/// Restarts each crashed engine after [`RESTART_DELAY`]. Never returns.
pub(super) async fn restart_crashed(cluster: &Cluster) {
    let mut restarted = SortedSet::new();
    loop {
        tokio::time::sleep(CRASH_POLL_INTERVAL).await;
        let crashed: Vec<_> = cluster
            .journal()
            .entries()
            .into_iter()
            .filter(|entry| entry.status == ExecutionStatus::Aborted)
            .map(|entry| (entry.server, entry.incarnation.0))
            .collect();
        for (server, incarnation) in crashed {
            let Some(backend) = cluster.backend(server.as_str()) else {
                continue;
            };
            let down = backend.incarnation().0 == incarnation
                && is_down(backend).await;
            if down && restarted.insert((server.clone(), incarnation)) {
                tokio::time::sleep(RESTART_DELAY).await;
                if let Err(error) = backend.restart().await {
                    log::warn!("bench: {server} can't be restarted: {error}");
                }
            }
        }
    }
}

/// Returns whether a backend server refuses connections. The journal does not
/// distinguish a crash from a connection that the client closed.
async fn is_down(backend: &briarladder_standins::server::Server) -> bool {
    tokio::net::TcpStream::connect(backend.address()).await.is_err()
}

/// Applies the scenario's event to the daemons. The baseline has none.
pub(super) async fn apply_to_daemons(
    scenario: Scenario,
    fleet: &mut Fleet,
    target: &Target,
) -> anyhow::Result<()> {
    let Target::Product(daemon_client) = target else { return Ok(()) };
    match scenario {
        Scenario::DaemonLoss => crash_daemon(fleet, daemon_client).await,
        Scenario::ScaleUp => add_daemons(fleet, daemon_client).await,
        _ => Ok(()),
    }
}

async fn crash_daemon(
    fleet: &mut Fleet,
    daemon_client: &DaemonClient,
) -> anyhow::Result<()> {
    let vm = fleet.daemons()[0].daemon().settings.vm.clone();
    fleet.crash_daemon(&vm)?;
    tokio::time::sleep(BALANCER_LAG).await;
    daemon_client.set_addresses(fleet.callers_addresses());
    fleet.publish_vm_list();
    Ok(())
}

async fn add_daemons(
    fleet: &mut Fleet,
    daemon_client: &DaemonClient,
) -> anyhow::Result<()> {
    for zone in fleet.zones() {
        let vm = VmName::new(&format!("entry-{zone}-joined"))?;
        fleet.start_daemon(&vm, &zone)?;
    }
    fleet.publish_vm_list();
    fleet.wait_for_epoch(1).await?;
    daemon_client.set_addresses(fleet.callers_addresses());
    Ok(())
}
