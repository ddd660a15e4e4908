//! Renders the report of a scenario as Markdown. The module `report` defines
//! the figures.

use std::fmt::{self, Write};

use super::{
    report::{RunReport, WindowReport},
    scenarios::ScenarioReport,
};

/// Returns an explanation of the columns and the table of all windows, followed by a list for each run.
pub(super) fn render(report: &ScenarioReport) -> String {
    let mut text = format!(
        "## {} (seed {}, {} s per window, scale {})\n\n\
         \"By rank\" is urgent/standard/bulk. On time: correct responses \
         within the deadline. Kept: on-time work of a rank, divided by the \
         smaller of its guaranteed share and its demand. Goodput: on-time \
         responses. Load: share of engine time spent on them. Small callers: \
         all but the large one. Jain: fairness index of the small callers, 1 \
         if all are equal. p99: 99th percentile.\n\n",
        report.scenario, report.seed, report.seconds, report.scale
    );
    // OK because writing to a string does not fail.
    write_report(&mut text, report).unwrap();
    text
}

fn write_report(text: &mut String, report: &ScenarioReport) -> fmt::Result {
    text.push_str(
        "| system | window | requests | on time | urgent | standard | bulk \
         | kept by rank | goodput/s | load | p99 ms by rank | small callers \
         | small by rank | Jain | worst caller |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- \
         | --- | --- | --- | --- |\n",
    );
    for run in &report.runs {
        for window in &run.windows {
            write_window(text, run, window)?;
        }
    }
    text.push('\n');
    for run in &report.runs {
        write_run(text, run)?;
    }
    Ok(())
}

fn write_window(
    text: &mut String,
    run: &RunReport,
    window: &WindowReport,
) -> fmt::Result {
    write!(
        text,
        "| {} | {} | {} | {}",
        run.system,
        window.window,
        window.requests,
        percent(window.attainment)
    )?;
    for rank in &window.ranks {
        write!(text, " | {}", percent(rank.attainment))?;
    }
    let each = |value: &dyn Fn(usize) -> String| -> String {
        let values: Vec<String> = (0..window.ranks.len()).map(value).collect();
        values.join("/")
    };
    let kept = each(&|rank| percent(window.ranks[rank].kept));
    let small = each(&|rank| percent(window.ranks[rank].small_attainment));
    let p99 = each(&|rank| format!("{:.0}", window.ranks[rank].p99_ms));
    writeln!(
        text,
        " | {kept} | {:.0} | {} | {p99} | {} | {small} | {:.3} | {} |",
        window.goodput_requests_per_s,
        percent(window.goodput_load),
        percent(window.callers.attainment),
        window.callers.jain,
        percent(window.callers.worst),
    )
}

fn write_run(text: &mut String, run: &RunReport) -> fmt::Result {
    writeln!(text, "{}:", run.system)?;
    for window in &run.windows {
        let refusals: Vec<String> = window
            .refusals
            .iter()
            .map(|r| format!("{} {}", r.requests, r.kind))
            .collect();
        if !refusals.is_empty() {
            let refusals = refusals.join(", ");
            writeln!(text, "- no answer in {}: {refusals}", window.window)?;
        }
    }
    let stages: Vec<String> = run
        .stages
        .iter()
        .map(|s| {
            let (name, per) = (&s.stage, s.executions_per_answer);
            format!("{name} {per:.2} ({} B)", s.cross_region_bytes)
        })
        .collect();
    writeln!(
        text,
        "- executions per on-time answer (bytes between regions): {}",
        stages.join(", ")
    )?;
    writeln!(
        text,
        "- bytes between regions per on-time answer: {:.0}",
        run.cross_region_bytes_per_answer
    )?;
    let integrity = run.integrity;
    writeln!(
        text,
        "- duplicates {}, losses {}, false \"not run\" {}, ran without \
         answer {}",
        integrity.duplicates,
        integrity.losses,
        integrity.false_not_run,
        integrity.unconfirmed
    )?;
    if let Some(recovery_ms) = run.recovery_ms {
        writeln!(text, "- recovered {recovery_ms} ms after the event")?;
    }
    if let Some(last_ms) = run.lost_server_work_ms {
        writeln!(
            text,
            "- last dispatch to a crashed server {last_ms} ms after the event"
        )?;
    }
    if run.poison_executions > 0 {
        let executions = run.poison_executions;
        writeln!(text, "- engine runs of the poison request: {executions}")?;
    }
    writeln!(
        text,
        "- load lag p99 {:.1} ms, CPU {:.2} cores (load generator \
         {:.2}, daemons {:.2}): {}",
        run.load_lag_p99_ms,
        run.cpu.process_s / run.elapsed_s,
        run.cpu.load_s / run.elapsed_s,
        run.cpu.daemons_s / run.elapsed_s,
        if run.valid {
            "valid"
        } else {
            "NOT VALID, the load generator lagged"
        }
    )
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
