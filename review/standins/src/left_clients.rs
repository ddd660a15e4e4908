//! Clients leave while the daemon looks for a worker that goes on with their
//! streams.

use std::{
    io::{self, Write},
    net::TcpStream,
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
    engine::{EngineProcess, Runs},
    http,
    store::Store,
    wire::{self, name},
};

/// The items on a page of a listing.
const PAGE_ITEMS: usize = 50;

/// The engines.
const IDS: [&str; 2] = ["i-00e1", "i-00e2"];

/// The streams of the case.
const STREAMS: usize = 100;

/// The events of a stream.
pub const EVENTS: usize = 24;

/// Of so many clients, one leaves: a share of 0.25, within that of the site
/// file.
const LEAVING_ONE_IN: usize = 4;

/// The time between the crash and the clients' leaving.
const PATIENCE: Duration = Duration::from_millis(200);

/// A request that reaches a worker this much after its client has left counts.
const LATE_MS: u128 = 500;

/// More than a few requests.
const FEW: usize = 5;

/// The time of a call, and of each of its pieces, by service.
const SERVICES: [(&str, u64, u64); 3] =
    [("acervo", 150, 16), ("grafica", 150, 5), ("entrega", 150, 2)];

fn start_stage_worker(
    store: &Store,
    id: &str,
    service: &str,
    call_ms: u64,
    piece_ms: u64,
) -> io::Result<()> {
    let listener = worker_listener()?;
    let address = listener.local_addr()?;
    let slot = Mutex::new(0_u64);
    http::serve(listener, move |connection| {
        while let Some(request) = http::read_request(&mut connection.reader)? {
            let mut items = String::from("{}");
            if request.path() == name("pieces") {
                let count = request.text().matches("\"id\":").count();
                let mut made = slot.lock().unwrap();
                let work = call_ms + piece_ms * count as u64;
                thread::sleep(Duration::from_millis(work));
                let handles: Vec<String> = (0..count)
                    .map(|_| {
                        *made += 1;
                        format!(r#"{{"handle":"{address}/{:08x}"}}"#, *made)
                    })
                    .collect();
                items = format!(r#"{{"items":[{}]}}"#, handles.join(","));
            }
            connection.send(&format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                 Keep-Alive: timeout=5\r\n{}: 1,0,1\r\n\
                 Content-Length: {}\r\n\r\n{items}",
                name("load"),
                items.len()
            ))?;
        }
        Ok(())
    });
    publish(store, id, service, address, "ready");
    Ok(())
}

/// Runs the case.
pub fn run(
    folder: &Path,
    record: Record,
    trouble: bool,
) -> io::Result<Verdict> {
    let record = Arc::new(record);
    let store = Store::start(&machine_ip(250), PAGE_ITEMS)?;
    let stages = r#"{"service":"acervo","after":[],"bytes":42000},
        {"service":"grafica","after":[0],"bytes":4900},
        {"service":"entrega","after":[1],"bytes":990}"#;
    let config = wire::config(&[
        ("VERSION", "11"),
        ("ORDERS", "balcao"),
        ("STAGES", stages),
        ("RESUME", "true"),
    ]);
    store.put(name("config_key"), &config);
    for (service, call_ms, piece_ms) in SERVICES {
        for number in 0..2 {
            let id = format!("i-{service}-{number}");
            start_stage_worker(&store, &id, service, call_ms, piece_ms)?;
        }
    }
    let runs = Runs::default();
    let mut engines = Vec::new();
    for id in IDS {
        let engine = EngineProcess::start("chunked", id, &runs, &record)?;
        publish(&store, id, "briar-modelo", engine.address, "ready");
        engines.push(engine);
    }
    let daemon = Daemon::start(folder, 1, &[1], &store)?;
    if !daemon.wait_ready() {
        record.add("the daemon is not ready");
        return Ok(Verdict::CouldNotRun);
    }
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("c{number:06x}");
        let headers = format!(
            "{}: 1,1,1\r\n{}: key{number}\r\n{}: 1460,80\r\n\
             {}: 5c1e07a2:800,{number:08x}:660\r\n{}: m\r\n",
            name("piece_counts"),
            name("piece_key"),
            name("tokens"),
            name("parts"),
            name("model")
        );
        let request = ClientRequest {
            method: "POST",
            path: "/plano/7",
            attempt: &attempt,
            deadline_ms: 8000,
            headers: &headers,
        };
        record.add(&format!("client: {attempt} is sent"));
        let mut stream = TcpStream::connect(daemon.callers)?;
        stream.write_all(request.text().as_bytes())?;
        clients.push((attempt, stream));
        thread::sleep(Duration::from_millis(25));
    }
    // Most streams have begun by then, and none has ended.
    thread::sleep(Duration::from_millis(700));
    let begun_at = |id: &str| -> Vec<String> {
        let runs = runs.lock().unwrap();
        let of_engine = runs.iter().filter(|run| run.worker == id);
        of_engine.map(|run| run.attempt.clone()).collect()
    };
    let busiest = usize::from(begun_at(IDS[1]).len() > begun_at(IDS[0]).len());
    let broken = begun_at(IDS[busiest]);
    if trouble {
        engines[busiest].kill();
        record.add(&format!("engine {} is killed", IDS[busiest]));
    }
    thread::sleep(PATIENCE);
    let mut left = Vec::new();
    let mut staying = Vec::new();
    for (number, (attempt, stream)) in clients.into_iter().enumerate() {
        if number % LEAVING_ONE_IN == 0 {
            // Closes the connection.
            drop(stream);
            record.add(&format!("client: {attempt} leaves"));
            left.push((attempt, record.now_ms()));
        } else {
            staying.push(stream);
        }
    }
    thread::sleep(Duration::from_secs(6));
    drop(staying);
    let mut late = 0;
    for run in runs.lock().unwrap().iter() {
        let gone = left.iter().find(|(attempt, _)| *attempt == run.attempt);
        let Some((_, left_ms)) = gone else { continue };
        if run.at_ms > left_ms + LATE_MS {
            late += 1;
            record.add(&format!(
                "engine {} got {} {} ms after its client had left",
                run.worker,
                run.attempt,
                run.at_ms - left_ms
            ));
        }
    }
    record.add(&format!(
        "{} streams had begun at {}; {late} requests reached a worker over \
         {LATE_MS} ms after their clients had left",
        broken.len(),
        IDS[busiest]
    ));
    if broken.len() <= FEW {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if late > FEW { Verdict::Broken } else { Verdict::Held })
}
