//! A draining worker crashes while it sends some streams without a length.

use std::{io, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    Verdict,
    deployment::{ClientRequest, Daemon, Record, machine_ip, publish},
    engine::{EngineProcess, Runs},
    store::Store,
    wire::{self, name},
};

/// The items on a page of a listing.
const PAGE_ITEMS: usize = 50;

/// The events of a whole stream, as in the sheet of the deployment.
pub const EVENTS: usize = 34;

/// The streams of the case.
const STREAMS: usize = 50;

/// Runs the case.
pub fn run(
    folder: &Path,
    record: Record,
    trouble: bool,
) -> io::Result<Verdict> {
    let record = Arc::new(record);
    let store = Store::start(&machine_ip(250), PAGE_ITEMS)?;
    let config = wire::config(&[
        ("VERSION", "11"),
        ("ORDERS", "balcao"),
        ("STAGES", ""),
        ("RESUME", "true"),
    ]);
    store.put(name("config_key"), &config);
    let runs = Runs::default();
    let mut leaving =
        EngineProcess::start("unframed", "i-00e1", &runs, &record)?;
    publish(&store, "i-00e1", "briar-modelo", leaving.address, "ready");
    let daemon = Daemon::start(folder, 1, &[1], &store)?;
    if !daemon.wait_ready() {
        record.add("the daemon is not ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_millis(500));
    let callers = daemon.callers;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(Duration::from_millis(20));
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let attempt = format!("c{number:06x}");
                record.add(&format!("client: {attempt} is sent"));
                let headers = format!(
                    "{}: 1460,170\r\n{}: 5c1e07a2:350,{number:08x}:1110\r\n\
                     {}: m\r\n",
                    name("tokens"),
                    name("parts"),
                    name("model")
                );
                let answer = ClientRequest {
                    method: "POST",
                    path: "/legenda/7",
                    attempt: &attempt,
                    deadline_ms: 12_000,
                    headers: &headers,
                }
                .send(callers);
                let events = answer.text().matches("id: ").count();
                record.add(&format!(
                    "client: {attempt} status={} seal={} events={events} of \
                     {EVENTS} complete={}",
                    answer.status,
                    answer.header(name("seal")),
                    answer.is_complete
                ));
                (events, answer.is_complete)
            })
        })
        .collect();
    // The worker is replaced: the new one starts first, the old one drains.
    let next = EngineProcess::start("long", "i-00e2", &runs, &record)?;
    publish(&store, "i-00e2", "briar-modelo", next.address, "ready");
    publish(&store, "i-00e1", "briar-modelo", leaving.address, "draining");
    record.add("worker i-00e2 is ready, i-00e1 drains");
    thread::sleep(Duration::from_millis(1500));
    if trouble {
        record.add("worker i-00e1 is killed");
        leaving.kill();
    }
    let ends: Vec<(usize, bool)> =
        clients.into_iter().map(|c| c.join().unwrap_or((0, false))).collect();
    let whole = ends.iter().filter(|end| **end == (EVENTS, true)).count();
    let short = ends.iter().filter(|(n, ended)| *n < EVENTS && *ended).count();
    record.add(&format!(
        "{STREAMS} streams: {whole} whole, {short} ended as complete before \
         their last event"
    ));
    if !trouble && whole < STREAMS {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if short > 0 { Verdict::Broken } else { Verdict::Held })
}
