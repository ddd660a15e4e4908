//! Every fault at every step, from the tables in the folder `fault_matrix`.
//!
//! Each row either names the outcomes that are allowed for each kind of
//! request, or says why the cell can't arise or is not built yet. The page
//! docs/fault-matrix.md shows the same tables; to write it after a change,
//! run with `BRIARLADDER_BLESS=1` and review the result.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{fmt::Write, fs, path::Path, time::Duration};

use briarladder_core::timeline::{merge, render};
use briarladder_wire::callers::{Outcome, TicketState};
use futures_util::{StreamExt, stream};
use serde::Deserialize;
use support::{
    caller::{Call, Caller},
    cells::{FaultKind, Injection, Step},
    fleet::{DaemonProcess, ServerLinks, TestFleet, TestFleetSettings},
    history::{CallEnd, CallKind, History, Record},
    invariants::check,
    scenario,
};

/// The rows of one table that run at once. With 4, the machine was so busy
/// that stages of 2 ms ran into their time-out of 400 ms.
const FLEETS_PER_TABLE: usize = 2;

/// The requests to each daemon before a scenario. They pay for the retries of its three
/// requests: each pays for a tenth of one.
const WARM_UP_REQUESTS: usize = 30;

/// The threads that run the stand-ins and callers of one table.
const RUNTIME_THREADS: usize = 2;

/// The longest time for one row.
const ROW_TIMEOUT: Duration = Duration::from_secs(40);

/// One step with all its faults.
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
    /// The cell is run, and these outcomes are allowed.
    Run(Allowed),
    /// The fault has no effect at the step, for this reason.
    CannotArise(String),
    /// The daemon lacks a part.
    NotBuilt(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Allowed {
    repeatable: Vec<Seen>,
    streamed: Vec<Seen>,
    ticketed: Vec<Seen>,
    /// What status queries may tell after all faults ended.
    status: Vec<TicketState>,
}

/// What the caller of one request saw.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Seen {
    Answered,
    NotRun,
    Unknown,
    NotConnected,
    Dropped,
    Left,
    NoEnd,
}

fn seen(record: &Record) -> Seen {
    match record.ends.first() {
        Some(CallEnd::Answered(_)) => Seen::Answered,
        Some(CallEnd::Refused(problem)) => match problem.outcome {
            Outcome::Answered => Seen::Answered,
            Outcome::NotRun => Seen::NotRun,
            Outcome::Unknown => Seen::Unknown,
        },
        Some(CallEnd::NotConnected) => Seen::NotConnected,
        Some(CallEnd::Dropped) => Seen::Dropped,
        Some(CallEnd::Left) => Seen::Left,
        Some(CallEnd::NoEnd) | None => Seen::NoEnd,
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
    let run = run_in(&mut fleet, injection, allowed);
    let result = match tokio::time::timeout(ROW_TIMEOUT, run).await {
        Ok(result) => result,
        Err(_) => Err(anyhow::anyhow!("no end in {ROW_TIMEOUT:?}")),
    };
    result.map_err(|error| {
        let pages: Vec<_> =
            fleet.daemons().iter().map(DaemonProcess::timeline).collect();
        let timeline = render(&merge(&pages));
        format!("{injection}: {error:#}\n{timeline}")
    })
}

async fn run_in(
    fleet: &mut TestFleet,
    injection: Injection,
    allowed: &Allowed,
) -> anyhow::Result<()> {
    warm_up(fleet).await;
    let ran = scenario::run(fleet, &[injection]).await?;
    let mut wrong = Vec::new();
    if !ran.missed.is_empty() {
        wrong.push("the step was not met".to_owned());
    }
    for record in &ran.records {
        if !ran.own.contains(&record.request_id) {
            continue;
        }
        let expected = match record.kind {
            CallKind::Repeatable => &allowed.repeatable,
            CallKind::Streamed => &allowed.streamed,
            CallKind::Ticketed => &allowed.ticketed,
        };
        let seen = seen(record);
        if !expected.contains(&seen) {
            let (kind, ends) = (record.kind, &record.ends);
            wrong.push(format!("{kind:?} saw {seen:?}: {ends:?}"));
        }
        for state in &record.states {
            if !allowed.status.contains(state) {
                wrong.push(format!("the status query told {state:?}"));
            }
        }
    }
    let broken = check(&History::of(fleet, ran.records));
    wrong.extend(broken.iter().map(ToString::to_string));
    anyhow::ensure!(wrong.is_empty(), "{}", wrong.join("\n"));
    Ok(())
}

async fn warm_up(fleet: &TestFleet) {
    let caller = Caller::new();
    let (caller, places) = (&caller, [fleet.place(0), fleet.place(1)]);
    let places = &places;
    stream::iter(0..WARM_UP_REQUESTS * 2)
        .for_each_concurrent(4, |number| async move {
            let call = Call::new(CallKind::Repeatable, "warm-up");
            caller.send(&places[number % 2], &call).await;
        })
        .await;
}

fn read(path: &Path) -> datatest_stable::Result<Table> {
    Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
}

/// Guards against a fault at this step that loses, doubles or crosses a
/// request, or gives it another outcome than the table allows.
fn step(path: &Path) -> datatest_stable::Result<()> {
    let table = read(path)?;
    let faults: Vec<FaultKind> = table.cells.iter().map(|r| r.fault).collect();
    assert_eq!(faults, FaultKind::ALL, "a row for each fault, in order");
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
    // The text of a panic keeps its lines, that of an error does not.
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    Ok(())
}

/// Guards against a page that shows another matrix than the one that runs.
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
        assert_eq!(matching.len(), 1, "one table for step {step}");
        tables.append(&mut matching);
    }
    let shown = render_page(&tables)?;
    if std::env::var_os("BRIARLADDER_BLESS").is_some() {
        fs::write(path, &shown)?;
    }
    assert!(
        fs::read_to_string(path)? == shown,
        "docs/fault-matrix.md is not in step with the tables; run with \
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
    writeln!(text, "\n## Overview\n\n| fault | {} |", steps_line(tables))?;
    writeln!(text, "| --- |{}", " --- |".repeat(tables.len()))?;
    for (at, fault) in FaultKind::ALL.iter().enumerate() {
        let marks = tables.iter().map(|t| match t.cells[at].cell {
            Cell::Run(_) => "run",
            Cell::CannotArise(_) => "can't arise",
            Cell::NotBuilt(_) => "not built yet",
        });
        let marks: Vec<&str> = marks.collect();
        writeln!(text, "| {fault} | {} |", marks.join(" | "))?;
    }
    for table in tables {
        writeln!(text, "\n## {}\n", table.step)?;
        writeln!(
            text,
            "| fault | repeatable | streamed | ticketed | status |"
        )?;
        writeln!(text, "| --- | --- | --- | --- | --- |")?;
        for row in &table.cells {
            writeln!(text, "| {} | {} |", row.fault, row.cell.shown())?;
        }
    }
    Ok(text)
}

fn steps_line(tables: &[Table]) -> String {
    let steps: Vec<String> =
        tables.iter().map(|t| t.step.to_string()).collect();
    steps.join(" | ")
}

impl Cell {
    fn shown(&self) -> String {
        match self {
            Cell::Run(allowed) => [
                list(&allowed.repeatable),
                list(&allowed.streamed),
                list(&allowed.ticketed),
                list(&allowed.status),
            ]
            .join(" | "),
            Cell::CannotArise(why) => format!("can't arise: {why} | | |"),
            Cell::NotBuilt(part) => format!("not built yet: {part} | | |"),
        }
    }
}

fn list(values: &[impl std::fmt::Debug]) -> String {
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
