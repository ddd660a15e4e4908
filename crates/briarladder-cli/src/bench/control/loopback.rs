//! Idle daemons on loopback: CPU time, memory, and calls to peers and the
//! platform.

use std::time::Duration;

use briarladder_standins::platform::CallCounts;

use super::measurement::{
    LinearFit, process_cpu_time, resident_bytes, to_f64,
};
use crate::{
    fleet::{Fleet, FleetSettings},
    samples::Sample,
};

/// Daemons per availability zone, one entry for each run.
const SIZES: [usize; 3] = [2, 6, 12];

/// Time to let a new fleet settle before measuring.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Configuration changes published in each run.
const CHANGES: u64 = 5;

/// The figures of one fleet size.
struct Run {
    /// Daemons of the fleet.
    daemons: f64,
    /// CPU time in microseconds per second of the whole process, including the
    /// stand-ins, while the fleet is idle.
    idle_cpu_us: f64,
    /// Calls between all daemons while the fleet is idle.
    idle_peer_calls_per_s: f64,
    /// Mean calls between daemons for one configuration change, without the
    /// calls of an idle fleet in the same time.
    change_peer_calls: f64,
    /// Calls to the platform until all daemons have the first epoch.
    start_platform_calls: f64,
    /// Calls to the platform while the fleet is idle.
    idle_platform_calls_per_s: f64,
    /// Mean calls to the platform for one configuration change.
    change_platform_calls: f64,
    /// Calls to the platform while all daemons of one zone restart.
    zone_restart_platform_calls: f64,
    /// Resident memory of the whole process, including the stand-ins.
    resident_bytes: f64,
}

/// Runs fleets of several sizes and prints how each figure grows per daemon.
pub fn run(time: Duration, json: bool) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut runs = Vec::new();
    for daemons_per_zone in SIZES {
        runs.push(runtime.block_on(measure(daemons_per_zone, time))?);
    }
    let line = |of: fn(&Run) -> f64| {
        let points: Vec<(f64, f64)> =
            runs.iter().map(|run| (run.daemons, of(run))).collect();
        LinearFit::fit(&points)
    };
    let lines = [
        ("CPU us/s", line(|run| run.idle_cpu_us)),
        ("peer calls/s", line(|run| run.idle_peer_calls_per_s)),
        ("peer calls for one change", line(|run| run.change_peer_calls)),
        ("platform calls to start", line(|run| run.start_platform_calls)),
        ("platform calls/s idle", line(|run| run.idle_platform_calls_per_s)),
        (
            "platform calls for one change",
            line(|run| run.change_platform_calls),
        ),
        (
            "platform calls while its zone restarts",
            line(|run| run.zone_restart_platform_calls),
        ),
        ("resident bytes", line(|run| run.resident_bytes)),
    ];
    if json {
        println!("{:#}", serde_json::json!(lines));
        return Ok(());
    }
    println!(
        "daemons  CPU us/s  peer calls/s  peer calls/change  \
         platform calls: start  \
         idle/s  change  zone restart  resident KB"
    );
    for run in &runs {
        println!(
            "{:7.0}  {:8.0}  {:12.2}  {:17.2}  {:21.0}  {:6.2}  {:6.1}  \
             {:12.0}  {:11.0}",
            run.daemons,
            run.idle_cpu_us,
            run.idle_peer_calls_per_s,
            run.change_peer_calls,
            run.start_platform_calls,
            run.idle_platform_calls_per_s,
            run.change_platform_calls,
            run.zone_restart_platform_calls,
            run.resident_bytes / 1e3
        );
    }
    for (name, line) in lines {
        println!("for each added daemon: {:.3} {name}", line.slope);
    }
    Ok(())
}

async fn measure(
    daemons_per_zone: usize,
    time: Duration,
) -> anyhow::Result<Run> {
    let objects = Sample::Dobradura.objects()?;
    let mut settings =
        FleetSettings { daemons_per_zone, ..Default::default() };
    // One thread each, since all daemons share the cores of this process.
    settings.daemon_flags.push("--threads=1".into());
    let mut fleet = Fleet::start(objects, settings).await?;
    let start_platform_calls = platform_calls(&fleet);
    tokio::time::sleep(SETTLING_TIME).await;
    let calls = |fleet: &Fleet| -> u64 {
        let sent =
            fleet.daemons().iter().map(|d| d.daemon().peers.calls_sent());
        sent.sum()
    };
    let (cpu, before) = (process_cpu_time()?, calls(&fleet));
    let platform_before = platform_calls(&fleet);
    tokio::time::sleep(time).await;
    let idle_calls = to_f64(calls(&fleet) - before);
    let cpu = process_cpu_time()?.saturating_sub(cpu);
    let time_s = time.as_secs_f64();
    let idle_platform = platform_calls(&fleet) - platform_before;
    let platform_before = platform_calls(&fleet);

    let (before, start) = (calls(&fleet), tokio::time::Instant::now());
    for epoch in 2..2 + CHANGES {
        fleet.publish(epoch, fleet.cluster().objects())?;
        fleet.wait_for_epoch(epoch).await?;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let probe_calls = idle_calls / time_s * start.elapsed().as_secs_f64();
    let change_calls = to_f64(calls(&fleet) - before) - probe_calls;
    let change_platform = platform_calls(&fleet) - platform_before;
    let restart_calls = restart_zone(&mut fleet, 1 + CHANGES).await?;
    let run = Run {
        daemons: to_f64(fleet.daemons().len() as u64),
        idle_cpu_us: cpu.as_secs_f64() * 1e6 / time_s,
        idle_peer_calls_per_s: idle_calls / time_s,
        change_peer_calls: change_calls / to_f64(CHANGES),
        start_platform_calls,
        idle_platform_calls_per_s: idle_platform / time_s,
        zone_restart_platform_calls: to_f64(restart_calls.total()),
        change_platform_calls: change_platform / to_f64(CHANGES),
        resident_bytes: to_f64(resident_bytes()?),
    };
    fleet.stop().await;
    Ok(run)
}

fn platform_calls(fleet: &Fleet) -> f64 {
    to_f64(fleet.platform().counts().total())
}

/// Stops all daemons of the first zone, starts them again with the same names
/// and returns the calls to the platform until all daemons have `epoch`.
pub(super) async fn restart_zone(
    fleet: &mut Fleet,
    epoch: u64,
) -> anyhow::Result<CallCounts> {
    let zone = fleet.daemons()[0].daemon().settings.zone.clone();
    let mut stopped = Vec::new();
    while let Some(index) =
        fleet.daemons().iter().position(|d| d.daemon().settings.zone == zone)
    {
        let running = fleet.remove_daemon(index);
        stopped.push(running.daemon().settings.vm.clone());
        running.stop().await;
    }
    let before = fleet.platform().counts();
    for vm in &stopped {
        fleet.start_daemon(vm, &zone)?;
    }
    fleet.publish_vm_list();
    fleet.wait_for_epoch(epoch).await?;
    let after = fleet.platform().counts();
    Ok(CallCounts {
        manifest: after.manifest - before.manifest,
        chunks: after.chunks - before.chunks,
        vms: after.vms - before.vms,
    })
}
