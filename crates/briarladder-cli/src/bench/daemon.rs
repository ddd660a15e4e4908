//! `briarladder bench daemon`: the speed of one daemon on one core.
//!
//! The daemon is the real binary in its own process; the stand-ins and the
//! load generator run in the process of the benchmark. CPU time and memory are
//! those of the daemon's process, so they remain comparable on a busy machine.

use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;

mod deployment;
mod load_generator;
mod usage;

use self::{
    deployment::{Deployment, Pace},
    load_generator::{CallKind, Caller},
};

/// Threads shared by the load generator and the stand-ins.
const GENERATOR_THREADS: usize = 6;

/// Request rate of the open loop: a tenth of the target of 2,000 requests per
/// second.
const OPEN_REQUESTS_PER_S: u32 = 200;

/// Token rate of the open loop: a tenth of the target of 100,000 tokens per
/// second.
const OPEN_TOKENS_PER_S: u32 = 10_000;

/// Measures one daemon with one thread: CPU time, throughput, added latency
/// and memory.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = "Examples:\n  \
    briarladder bench daemon\n  \
    briarladder bench daemon --seconds 3 --json")]
pub struct Args {
    /// Concurrent four-stage requests in the closed loop.
    #[arg(
        long,
        default_value_t = 32,
        value_parser = clap::value_parser!(u16).range(1..=512)
    )]
    requests: u16,
    /// Concurrent streams in the closed loop.
    #[arg(
        long,
        default_value_t = 400,
        value_parser = clap::value_parser!(u16).range(1..=2000)
    )]
    streams: u16,
    /// Length of each part, in seconds.
    #[arg(
        long,
        default_value_t = 5,
        value_parser = clap::value_parser!(u64).range(1..=60)
    )]
    seconds: u64,
    /// Parts to run, separated by commas; all by default.
    #[arg(long, value_enum, value_delimiter = ',')]
    parts: Vec<Part>,
    /// Print the figures as JSON.
    #[arg(long)]
    json: bool,
    /// Path of the daemon's binary. By default, `briarladderd` in the directory
    /// of this command.
    #[arg(long)]
    daemon: Option<PathBuf>,
}

/// A part of the benchmark.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
enum Part {
    /// Closed loop of four-stage requests.
    Requests,
    /// Closed loop of streams whose tokens engines send without pauses, many
    /// per read.
    TokensAtOnce,
    /// Closed loop of streams whose tokens engines send one by one, one per
    /// read.
    TokensPaced,
    /// Open loop of four-stage requests.
    RequestLatency,
    /// Open loop of streams.
    StreamLatency,
}

/// Throughput and CPU cost in a closed loop. A unit is a request, or a token
/// of a stream.
#[derive(Clone, Debug, Serialize)]
struct Cost {
    units_per_s: f64,
    /// CPU time of the daemon, in user mode and in the kernel.
    cpu_us_per_unit: f64,
    /// The part of `cpu_us_per_unit` spent in the kernel, which includes
    /// network I/O.
    kernel_us_per_unit: f64,
    /// Mean number of cores that the daemon used.
    cpu_cores: f64,
}

/// Latency in an open loop.
#[derive(Clone, Debug, Serialize)]
#[expect(clippy::struct_field_names, reason = "field names end in their unit")]
struct Latency {
    /// Latency through the daemon.
    caller_p50_us: u64,
    caller_p99_us: u64,
    /// Latency of the same stages sent directly to the stand-ins.
    direct_p50_us: u64,
    direct_p99_us: u64,
    /// Latency through the daemon minus the median direct latency.
    added_p50_us: u64,
    added_p99_us: u64,
}

/// Resident memory of the daemon's process.
#[derive(Clone, Copy, Debug, Serialize)]
#[expect(clippy::struct_field_names, reason = "field names end in their unit")]
struct Memory {
    /// Before the first request.
    idle_kib: u64,
    /// After all parts except [`Part::TokensPaced`], which uses a new daemon.
    loaded_kib: u64,
    /// Maximum over all parts.
    peak_kib: u64,
}

#[derive(Clone, Debug, Serialize)]
struct PartCost {
    part: &'static str,
    #[serde(flatten)]
    cost: Cost,
}

#[derive(Clone, Debug, Serialize)]
struct PartLatency {
    part: &'static str,
    #[serde(flatten)]
    latency: Latency,
}

#[derive(Clone, Debug, Serialize)]
struct Report {
    costs: Vec<PartCost>,
    latencies: Vec<PartLatency>,
    memory: Memory,
}

/// Runs the benchmark and prints the figures.
///
/// # Errors
///
/// Returns an error when the daemon or a stand-in can't start, or when a
/// request fails.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(GENERATOR_THREADS)
        .enable_all()
        .build()?;
    let report = runtime.block_on(measure(args))?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(ExitCode::SUCCESS)
}

async fn measure(args: &Args) -> anyhow::Result<Report> {
    let binary = match &args.daemon {
        Some(path) => path.clone(),
        None => std::env::current_exe()?.with_file_name("briarladderd"),
    };
    let time = Duration::from_secs(args.seconds);
    let (requests, streams) =
        (usize::from(args.requests), usize::from(args.streams));
    let is_selected =
        |part| args.parts.is_empty() || args.parts.contains(&part);
    let (mut costs, mut latencies) = (Vec::new(), Vec::new());

    let deployment = Deployment::start(&binary, Pace::AtOnce).await?;
    let idle = deployment.usage()?;
    let caller = Caller::new(&deployment)?;
    let streams_per_s = OPEN_TOKENS_PER_S / deployment::TOKENS;
    for (part, name, kind, rate_per_s) in [
        (
            Part::RequestLatency,
            "requests",
            CallKind::Request,
            OPEN_REQUESTS_PER_S,
        ),
        (Part::StreamLatency, "streams", CallKind::Stream, streams_per_s),
    ] {
        if is_selected(part) {
            let latency = open_loop(&caller, kind, rate_per_s, time).await?;
            latencies.push(PartLatency { part: name, latency });
        }
    }
    for (part, name, kind, concurrency) in [
        (Part::Requests, "requests", CallKind::Request, requests),
        // Without pauses, a few streams keep the daemon busy.
        (
            Part::TokensAtOnce,
            "tokens at once",
            CallKind::Stream,
            streams.min(requests),
        ),
    ] {
        if is_selected(part) {
            let cost =
                closed_loop(&deployment, &caller, kind, concurrency, time)
                    .await?;
            costs.push(PartCost { part: name, cost });
        }
    }
    let loaded = deployment.usage()?;
    deployment.stop().await;
    let mut peak_kib = loaded.peak_kib;

    if is_selected(Part::TokensPaced) {
        let deployment = Deployment::start(&binary, Pace::OneByOne).await?;
        let caller = Caller::new(&deployment)?;
        let cost =
            closed_loop(&deployment, &caller, CallKind::Stream, streams, time)
                .await?;
        costs.push(PartCost { part: "tokens paced", cost });
        peak_kib = peak_kib.max(deployment.usage()?.peak_kib);
        deployment.stop().await;
    }
    Ok(Report {
        costs,
        latencies,
        memory: Memory {
            idle_kib: idle.resident_kib,
            loaded_kib: loaded.resident_kib,
            peak_kib,
        },
    })
}

/// Keeps `concurrency` calls in flight for a time and measures the CPU time of the
/// daemon, after a warm-up of connections and caches.
async fn closed_loop(
    deployment: &Deployment,
    caller: &Caller,
    kind: CallKind,
    concurrency: usize,
    time: Duration,
) -> anyhow::Result<Cost> {
    let load = load_generator::ClosedLoop::start(caller, kind, concurrency);
    tokio::time::sleep((time / 5).max(Duration::from_secs(1))).await;
    let (before, units_before) = (deployment.usage()?, load.units());
    let started_at = Instant::now();
    tokio::time::sleep(time).await;
    let (after, units_after) = (deployment.usage()?, load.units());
    let elapsed = started_at.elapsed().as_secs_f64();
    load.stop().await.context("a call of the closed loop failed")?;
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
    let kernel =
        after.kernel_cpu.saturating_sub(before.kernel_cpu).as_secs_f64();
    #[expect(
        clippy::cast_precision_loss,
        reason = "the count is far below 2^52"
    )]
    let units = (units_after - units_before) as f64;
    Ok(Cost {
        units_per_s: units / elapsed,
        cpu_us_per_unit: cpu * 1e6 / units.max(1.0),
        kernel_us_per_unit: kernel * 1e6 / units.max(1.0),
        cpu_cores: cpu / elapsed,
    })
}

/// Sends calls at a fixed rate, whether or not earlier ones have completed:
/// each first through the daemon, then directly to the stand-ins.
async fn open_loop(
    caller: &Caller,
    kind: CallKind,
    rate_per_s: u32,
    time: Duration,
) -> anyhow::Result<Latency> {
    // Warm-up: the first calls open connections.
    load_generator::run_open_loop(
        caller,
        kind,
        rate_per_s,
        Duration::from_secs(1),
    )
    .await?;
    let latencies =
        load_generator::run_open_loop(caller, kind, rate_per_s, time).await?;
    let quantile_us = |histogram: &Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile)
    };
    let direct_p50_us = quantile_us(&latencies.direct, 0.5);
    let caller_p50_us = quantile_us(&latencies.caller, 0.5);
    let caller_p99_us = quantile_us(&latencies.caller, 0.99);
    Ok(Latency {
        caller_p50_us,
        caller_p99_us,
        direct_p50_us,
        direct_p99_us: quantile_us(&latencies.direct, 0.99),
        added_p50_us: caller_p50_us.saturating_sub(direct_p50_us),
        added_p99_us: caller_p99_us.saturating_sub(direct_p50_us),
    })
}

fn print(report: &Report) {
    for PartCost { part, cost } in &report.costs {
        println!(
            "{part:<15} {:>7.0}/s, {:.2} us CPU each ({:.2} us in the \
             kernel), {:.2} cores",
            cost.units_per_s,
            cost.cpu_us_per_unit,
            cost.kernel_us_per_unit,
            cost.cpu_cores
        );
    }
    for PartLatency { part, latency } in &report.latencies {
        println!(
            "{part:<15} p50/p99 us: caller {}/{}, direct {}/{}, added {}/{}",
            latency.caller_p50_us,
            latency.caller_p99_us,
            latency.direct_p50_us,
            latency.direct_p99_us,
            latency.added_p50_us,
            latency.added_p99_us
        );
    }
    println!(
        "memory          {} KiB idle, {} KiB loaded, {} KiB peak",
        report.memory.idle_kib,
        report.memory.loaded_kib,
        report.memory.peak_kib
    );
}
