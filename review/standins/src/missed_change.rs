//! A daemon lists the store while the configuration changes.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    deployment::{
        ClientRequest, Daemon, Record, machine_ip, publish, worker_listener,
    },
    http,
    store::Store,
    wire::{self, name},
};

/// The workers, a few more than fit on one page.
const WORKERS: usize = 520;

/// The items on a page of a listing, the most that a page holds.
const PAGE_ITEMS: usize = 500;

/// How many times as long the answers of a slow store take.
const SLOWNESS: u64 = 60;

/// How long the store is slow.
const SLOW_TIME: Duration = Duration::from_millis(4500);

/// The time after the disruption until the daemons are in touch, and the time
/// in which a configuration has to be in force, each with a second to spare.
const IN_TOUCH: Duration = Duration::from_secs(5);

/// What a worker ran: the service of the worker and the attempt.
type Runs = Arc<Mutex<Vec<(String, String)>>>;

fn config(version: u32, orders: &str) -> String {
    wire::config(&[
        ("VERSION", &version.to_string()),
        ("ORDERS", orders),
        ("STAGES", ""),
        ("RESUME", "false"),
    ])
}

fn start_worker(
    id: &str,
    service: &str,
    store: &Store,
    runs: &Runs,
    record: &Arc<Record>,
) -> io::Result<SocketAddr> {
    let listener = worker_listener()?;
    let address = listener.local_addr()?;
    let (id_text, service_text) = (id.to_owned(), service.to_owned());
    let (runs, record) = (Arc::clone(runs), Arc::clone(record));
    http::serve(listener, move |connection| {
        while let Some(request) = http::read_request(&mut connection.reader)? {
            let attempt = request.header(name("attempt")).to_owned();
            record.add(&format!(
                "worker {id_text} of {service_text} runs {attempt}"
            ));
            runs.lock().unwrap().push((service_text.clone(), attempt.clone()));
            connection.send(&format!(
                "HTTP/1.1 200 OK\r\n{}: {attempt}\r\n{}: seal\r\n\
                 Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfeit",
                name("attempt"),
                name("seal")
            ))?;
        }
        Ok(())
    });
    publish(store, id, service, address, "ready");
    Ok(address)
}

/// Runs the case.
pub fn run(
    folder: &Path,
    record: Record,
    trouble: bool,
) -> io::Result<Verdict> {
    let record = Arc::new(record);
    let runs = Runs::default();
    let store = Store::start(&machine_ip(250), PAGE_ITEMS)?;
    store.put(name("config_key"), &config(11, "balcao"));
    let mut last = None;
    for number in 0..WORKERS {
        let id = format!("i-{number:04x}");
        let service = match number {
            0..3 => "balcao",
            3..6 => "balcao-novo",
            _ => "briar-modelo",
        };
        let address = start_worker(&id, service, &store, &runs, &record)?;
        last = Some((id, address));
    }
    let Some((last_id, last_address)) = last else {
        return Ok(Verdict::CouldNotRun);
    };
    let mut daemons = vec![
        Daemon::start(folder, 1, &[1, 2], &store)?,
        Daemon::start(folder, 2, &[1, 2], &store)?,
    ];
    if !daemons.iter().all(Daemon::wait_ready) {
        record.add("a daemon is not ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(2));

    daemons[0].stop()?;
    record.add("daemon 1 was stopped with SIGTERM and has ended");
    if trouble {
        store.set_slowness(SLOWNESS);
        record.add("the store is slow from now");
    }
    let pages = store.pages();
    daemons[0].start_again()?;
    record.add("daemon 1 starts");
    // A slow listing is caught after its first page, another one is complete.
    let pages = pages + if trouble { 1 } else { 2 };
    while store.pages() < pages {
        thread::sleep(Duration::from_millis(1));
    }
    record.add("daemon 1 reads its listing");
    thread::sleep(Duration::from_millis(60));
    let revision = store.put(name("config_key"), &config(12, "balcao-novo"));
    record.add(&format!(
        "version 12 acknowledged, revision {revision}: the route moves to \
         balcao-novo"
    ));
    let revision =
        publish(&store, &last_id, "briar-modelo", last_address, "draining");
    record.add(&format!("worker {last_id} drains, revision {revision}"));
    thread::sleep(SLOW_TIME);
    store.set_slowness(1);
    record.add("the store is not slow");
    thread::sleep(IN_TOUCH);
    if !daemons.iter().all(Daemon::wait_ready) {
        record.add("a daemon is not ready");
        return Ok(Verdict::CouldNotRun);
    }

    let mut old_runs = 0;
    for round in 0..20 {
        for (number, daemon) in daemons.iter().enumerate() {
            let attempt = format!("c{number}{round:06x}");
            record.add(&format!("client: {attempt} is sent"));
            let answer = ClientRequest {
                method: "GET",
                path: "/consulta/7",
                attempt: &attempt,
                deadline_ms: 1500,
                headers: "",
            }
            .send(daemon.callers);
            let service = runs
                .lock()
                .unwrap()
                .iter()
                .find(|(_, of)| *of == attempt)
                .map_or_else(
                    || "none".to_owned(),
                    |(service, _)| service.clone(),
                );
            record.add(&format!(
                "client: {attempt} at daemon {} status={} run by {service}",
                number + 1,
                answer.status
            ));
            if answer.status != 200 {
                record.add("a request was not served");
                return Ok(Verdict::CouldNotRun);
            }
            old_runs += u32::from(service == "balcao");
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.add(&format!(
        "{old_runs} of 40 requests were run by the service of version 11 only"
    ));
    Ok(if old_runs > 0 { Verdict::Broken } else { Verdict::Held })
}
