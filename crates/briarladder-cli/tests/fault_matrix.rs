//! Runs every fault at every step, from the tables in the folder
//! `fault_matrix`.
//!
//! Each row either lists the allowed outcomes for each kind of request, or
//! says why the cell can't arise or is not built yet. The page
//! docs/fault-matrix.md is generated from these tables; to regenerate it
//! after a change, run with `BRIARLADDER_BLESS=1` and review the result.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{fmt::Write, fs, path::Path, time::Duration};

use briarladder_core::timeline::{EventKind, merge, render};
use briarladder_wire::callers::{Outcome, TicketState};
use futures_util::{StreamExt, stream};
use serde::Deserialize;
use support::{
    caller::{Call, Caller},
    cells::{FaultKind, Injection, Step},
    fleet::{DaemonProcess, ServerLinks, TestFleet, TestFleetSettings},
    history::{CallKind, CallRecord, CallResult, History},
    invariants::check,
    scenario,
};

/// The number of rows of one table that run concurrently. With 4, the machine
/// was so busy that stages of 2 ms exceeded their timeout of 400 ms.
const FLEETS_PER_TABLE: usize = 2;

/// The number of retries for which each daemon must have credit before a
/// scenario: one for each of the two stages of its three requests, and four
/// for a burst, the slots of a server that crashes.
const REQUIRED_RETRIES: usize = 3 * 2 + 4;

/// The number of requests whose credit allows one retry.
const REQUESTS_PER_RETRY: usize = 10;

/// The number of threads for the stand-ins and callers of one table.
const RUNTIME_THREADS: usize = 2;

/// The timeout for one row.
const ROW_TIMEOUT: Duration = Duration::from_secs(40);

/// The cells of one step, one for each fault.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    step: Step,
    cells: Vec<Row>,
}

#[derive(Deserialize)]
struct Row {
    fault: FaultKind,
    #[serde(flatten)]
    cell: Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Cell {
    /// The cell is run and must have one of these outcomes.
    Run(AllowedOutcomes),
    /// The fault has no effect at the step, for the given reason.
    CannotArise(String),
    /// The daemon does not implement the named feature yet.
    NotBuilt(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AllowedOutcomes {
    repeatable: Vec<CallerOutcome>,
    streamed: Vec<CallerOutcome>,
    ticketed: Vec<CallerOutcome>,
    /// The ticket states that status queries may return after all faults are
    /// cleared.
    status: Vec<TicketState>,
}

/// The outcome of a request for its caller. The tables use these names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum CallerOutcome {
    Answered,
    NotRun,
    Unknown,
    NotConnected,
    Dropped,
    Left,
    NoEnd,
}

fn caller_outcome(record: &CallRecord) -> CallerOutcome {
    match record.results.first() {
        Some(CallResult::Answered(_)) => CallerOutcome::Answered,
        Some(CallResult::Refused(problem)) => match problem.outcome {
            Outcome::Answered => CallerOutcome::Answered,
            Outcome::NotRun => CallerOutcome::NotRun,
            Outcome::Unknown => CallerOutcome::Unknown,
        },
        Some(CallResult::NotConnected) => CallerOutcome::NotConnected,
        Some(CallResult::Dropped) => CallerOutcome::Dropped,
        Some(CallResult::Left) => CallerOutcome::Left,
        Some(CallResult::TimedOut) | None => CallerOutcome::NoEnd,
    }
}

async fn run_row(step: Step, row: Row) -> Result<(), String> {
    let Cell::Run(allowed) = &row.cell else { return Ok(()) };
    let injection = Injection { step, fault: row.fault };
    let server_links = match row.fault {
        FaultKind::PartitionServers => ServerLinks::Proxied,
        _ => ServerLinks::Direct,
    };
    let settings = TestFleetSettings {
        zones: vec!["east-a", "east-a"],
        server_links,
        ..TestFleetSettings::default()
    };
    let mut fleet = TestFleet::start(settings)
        .await
        .map_err(|error| format!("{injection}: {error:#}"))?;
    let run = run_scenario(&mut fleet, injection, allowed);
    let result = match tokio::time::timeout(ROW_TIMEOUT, run).await {
        Ok(result) => result,
        Err(_) => Err(anyhow::anyhow!("not completed within {ROW_TIMEOUT:?}")),
    };
    result.map_err(|error| {
        let pages: Vec<_> =
            fleet.daemons().iter().map(DaemonProcess::timeline).collect();
        let timeline = render(&merge(&pages));
        format!("{injection}: {error:#}\n{timeline}")
    })
}

async fn run_scenario(
    fleet: &mut TestFleet,
    injection: Injection,
    allowed: &AllowedOutcomes,
) -> anyhow::Result<()> {
    warm_up(fleet).await;
    let run_result = scenario::run(fleet, &[injection]).await?;
    let mut failures = Vec::new();
    if !run_result.unreached.is_empty() {
        failures.push("the step was not reached".to_owned());
    }
    for record in &run_result.records {
        if !run_result.request_ids.contains(&record.request_id) {
            continue;
        }
        let expected = match record.kind {
            CallKind::Repeatable => &allowed.repeatable,
            CallKind::Streamed => &allowed.streamed,
            CallKind::Ticketed => &allowed.ticketed,
        };
        let outcome = caller_outcome(record);
        if !expected.contains(&outcome) {
            let (kind, results) = (record.kind, &record.results);
            failures.push(format!(
                "{kind:?} call ended as {outcome:?}: {results:?}"
            ));
        }
        for state in &record.ticket_states {
            if !allowed.status.contains(state) {
                failures.push(format!("the status query returned {state:?}"));
            }
        }
    }
    let violations = check(&History::collect(fleet, run_result.records));
    failures.extend(violations.iter().map(ToString::to_string));
    anyhow::ensure!(failures.is_empty(), "{}", failures.join("\n"));
    Ok(())
}

/// Sends requests to both daemons until each has credit for
/// [`REQUIRED_RETRIES`].
async fn warm_up(fleet: &TestFleet) {
    let caller = Caller::new();
    let mut sent = 0;
    loop {
        // On a busy machine, these requests need retries themselves.
        let used = fleet.daemons().iter().map(count_retries).max();
        let retries = REQUIRED_RETRIES + used.unwrap_or(0);
        let required = retries * REQUESTS_PER_RETRY;
        if sent >= required {
            return;
        }
        send_to_both(fleet, &caller, required - sent).await;
        sent = required;
    }
}

fn count_retries(process: &DaemonProcess) -> usize {
    let events = process.timeline().events;
    let is_retry = |kind: &EventKind| {
        matches!(kind, EventKind::Retried { .. } | EventKind::Resumed { .. })
    };
    events.iter().filter(|event| is_retry(&event.kind)).count()
}

/// Sends a number of requests to each of the two daemons.
async fn send_to_both(fleet: &TestFleet, caller: &Caller, requests: usize) {
    let endpoints = &[fleet.endpoint(0), fleet.endpoint(1)];
    stream::iter(0..requests * 2)
        .for_each_concurrent(4, |number| async move {
            let call = Call::new(CallKind::Repeatable, "warm-up");
            caller.send(&endpoints[number % 2], &call).await;
        })
        .await;
}

fn read(path: &Path) -> datatest_stable::Result<Table> {
    Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
}

/// Guards against a fault at this step that loses, duplicates or mixes up
/// requests, or leads to an outcome that the table does not allow.
fn step(path: &Path) -> datatest_stable::Result<()> {
    let table = read(path)?;
    let faults: Vec<FaultKind> = table.cells.iter().map(|r| r.fault).collect();
    assert_eq!(
        faults,
        FaultKind::ALL,
        "the table must list each fault once, in order"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()?;
    let step = table.step;
    let failures: Vec<String> = runtime.block_on(
        stream::iter(table.cells)
            .map(|row| run_row(step, row))
            .buffer_unordered(FLEETS_PER_TABLE)
            .filter_map(async |result| result.err())
            .collect(),
    );
    runtime.shutdown_background();
    // A panic message preserves line breaks, an error message does not.
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    Ok(())
}

/// Guards against a page that differs from the tables that are run.
fn page(path: &Path) -> datatest_stable::Result<()> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = folder.join("tests/fault_matrix");
    let mut tables = Vec::new();
    for step in Step::ALL {
        let mut matching = Vec::new();
        for entry in fs::read_dir(&folder)? {
            let table = read(&entry?.path())?;
            if table.step == step {
                matching.push(table);
            }
        }
        assert_eq!(matching.len(), 1, "expected one table for step {step}");
        tables.append(&mut matching);
    }
    let rendered = render_page(&tables)?;
    if std::env::var_os("BRIARLADDER_BLESS").is_some() {
        fs::write(path, &rendered)?;
    }
    assert!(
        fs::read_to_string(path)? == rendered,
        "docs/fault-matrix.md does not match the tables; run with \
         BRIARLADDER_BLESS=1 and review the result"
    );
    Ok(())
}

const PAGE_HEAD: &str = "\
# Fault matrix

Every fault at every step. `briarladder-cli` runs each cell marked \"run\" as
a scenario over stand-ins and checks the outcomes below and the invariants of
docs/design.md. This page is generated from
crates/briarladder-cli/tests/fault_matrix; see the test of that name.

Each scenario sends one repeatable, one streamed and one ticketed request, and
asks for the status of the ticket after the fault ended. A cell lists the
outcomes that are allowed: what the callers may see, and what the status query
may tell.
";

fn render_page(tables: &[Table]) -> Result<String, std::fmt::Error> {
    let mut text = String::from(PAGE_HEAD);
    writeln!(
        text,
        "\n## Overview\n\n| fault | {} |",
        overview_header(tables)
    )?;
    writeln!(text, "| --- |{}", " --- |".repeat(tables.len()))?;
    for (index, fault) in FaultKind::ALL.iter().enumerate() {
        let markers = tables.iter().map(|t| match t.cells[index].cell {
            Cell::Run(_) => "run",
            Cell::CannotArise(_) => "can't arise",
            Cell::NotBuilt(_) => "not built yet",
        });
        let markers: Vec<&str> = markers.collect();
        writeln!(text, "| {fault} | {} |", markers.join(" | "))?;
    }
    for table in tables {
        writeln!(text, "\n## {}\n", table.step)?;
        writeln!(
            text,
            "| fault | repeatable | streamed | ticketed | status |"
        )?;
        writeln!(text, "| --- | --- | --- | --- | --- |")?;
        for row in &table.cells {
            writeln!(text, "| {} | {} |", row.fault, row.cell.render())?;
        }
    }
    Ok(text)
}

fn overview_header(tables: &[Table]) -> String {
    let steps: Vec<String> =
        tables.iter().map(|t| t.step.to_string()).collect();
    steps.join(" | ")
}

impl Cell {
    fn render(&self) -> String {
        match self {
            Cell::Run(allowed) => [
                render_outcomes(&allowed.repeatable),
                render_outcomes(&allowed.streamed),
                render_outcomes(&allowed.ticketed),
                render_outcomes(&allowed.status),
            ]
            .join(" | "),
            Cell::CannotArise(why) => format!("can't arise: {why} | | |"),
            Cell::NotBuilt(part) => format!("not built yet: {part} | | |"),
        }
    }
}

fn render_outcomes(values: &[impl std::fmt::Debug]) -> String {
    let mut texts = Vec::new();
    for value in values {
        let mut text = String::new();
        for letter in format!("{value:?}").chars() {
            if letter.is_uppercase() && !text.is_empty() {
                text.push(' ');
            }
            text.extend(letter.to_lowercase());
        }
        texts.push(text);
    }
    texts.join(", ")
}

datatest_stable::harness! {
    { test = step, root = "tests/fault_matrix", pattern = r"\.json$" },
    { test = page, root = "../../docs", pattern = r"fault-matrix\.md$" },
}
