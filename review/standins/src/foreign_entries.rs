//! All daemons are killed while the store has entries of another writer.

use std::{io, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    Verdict,
    deployment::{
        ClientRequest, Daemon, Record, machine_ip, publish, worker_listener,
    },
    http,
    store::Store,
    wire::{self, name},
};

/// The items on a page of a listing, the most that a page holds.
const PAGE_ITEMS: usize = 500;

/// The workers of the deployment.
const WORKERS: usize = 36;

/// The entries of another writer.
const FOREIGN_ENTRIES: usize = 600;

/// The time after the daemons are back from which requests are counted.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// The requests before the fault and after the recovery, of each daemon.
const REQUESTS: usize = 20;

fn start_worker(
    id: &str,
    service: &str,
    store: &Store,
    record: &Arc<Record>,
) -> io::Result<()> {
    let listener = worker_listener()?;
    let address = listener.local_addr()?;
    let (worker, record) = (id.to_owned(), Arc::clone(record));
    http::serve(listener, move |connection| {
        while let Some(request) = http::read_request(&mut connection.reader)? {
            record.add(&format!(
                "worker {worker} runs {}",
                request.header(name("attempt"))
            ));
            connection.send(&format!(
                "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: seal\r\n\
                 Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfeit",
                name("attempt"),
                request.header(name("attempt")),
                name("seal")
            ))?;
        }
        Ok(())
    });
    publish(store, id, service, address, "ready");
    Ok(())
}

/// Sends requests to all daemons and returns how many were served.
fn served(daemons: &[Daemon], part: &str, record: &Record) -> usize {
    let mut served = 0;
    for round in 0..REQUESTS {
        for (number, daemon) in daemons.iter().enumerate() {
            let attempt = format!("{part}{number}{round:06x}");
            record.add(&format!("client: {attempt} is sent"));
            let answer = ClientRequest {
                method: "GET",
                path: "/consulta/7",
                attempt: &attempt,
                deadline_ms: 1500,
                headers: "",
            }
            .send(daemon.callers);
            record.add(&format!(
                "client: {attempt} at daemon {} status={}",
                number + 1,
                answer.status
            ));
            served += usize::from(answer.status == 200);
        }
        thread::sleep(Duration::from_millis(200));
    }
    served
}

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
        ("RESUME", "false"),
    ]);
    store.put(name("config_key"), &config);
    for number in 0..WORKERS {
        let service = if number < 3 { "balcao" } else { "briar-modelo" };
        start_worker(&format!("i-{number:04x}"), service, &store, &record)?;
    }
    let mut daemons = Vec::new();
    for machine in 1..=3 {
        daemons.push(Daemon::start(folder, machine, &[1, 2, 3], &store)?);
    }
    if !daemons.iter().all(Daemon::wait_ready) {
        record.add("a daemon is not ready");
        return Ok(Verdict::CouldNotRun);
    }
    // The other writer's entries name no worker; with TROUBLE=0 they differ
    // in their keys only.
    let separator = if trouble { ' ' } else { '-' };
    for number in 0..FOREIGN_ENTRIES {
        let key =
            format!("{}estoque{separator}{number:04}", name("server_prefix"));
        store.put(&key, r#"{"estoque":"mapas"}"#);
    }
    record.add(&format!(
        "{FOREIGN_ENTRIES} entries of another writer, the last with the key \
         estoque{separator}{:04}",
        FOREIGN_ENTRIES - 1
    ));
    thread::sleep(Duration::from_secs(1));
    let all = REQUESTS * daemons.len();
    let before = served(&daemons, "a", &record);
    for daemon in &mut daemons {
        daemon.kill()?;
    }
    record.add("all daemons are killed");
    thread::sleep(Duration::from_secs(1));
    for daemon in &mut daemons {
        daemon.start_again()?;
    }
    record.add("all daemons are back");
    thread::sleep(RECOVERY_TIME);
    let after = served(&daemons, "b", &record);
    record.add(&format!(
        "served: {before} of {all} before, {after} of {all} after the recovery"
    ));
    if before < all / 2 {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if after * 4 < all { Verdict::Broken } else { Verdict::Held })
}
