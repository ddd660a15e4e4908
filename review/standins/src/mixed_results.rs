//! A worker of a stage sends one answer a second time, late.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    deployment::{
        ClientRequest, Daemon, Record, machine_ip, publish, worker_listener,
    },
    engine,
    http::{self, Connection},
    store::Store,
    wire::{self, name},
};

/// The items on a page of a listing.
const PAGE_ITEMS: usize = 50;

/// The time of a call, and of each of its pieces.
const CALL_TIME: Duration = Duration::from_millis(150);
const PIECE_TIME: Duration = Duration::from_millis(16);

/// The requests of the case, and the time between two of them.
const REQUESTS: usize = 120;
const REQUEST_GAP: Duration = Duration::from_millis(125);

/// Of so many answers, the faulty worker fails one and sends it twice: a share
/// of 0.05, the largest in the site file.
const DOUBLE_ONE_IN: usize = 20;

/// What the stage workers made: the handle, and the attempt it was made for.
type Made = Arc<Mutex<Vec<(String, String)>>>;

struct StageWorker {
    id: &'static str,
    address: SocketAddr,
    /// One call at a time.
    slot: Mutex<()>,
    answers: AtomicUsize,
    made: Made,
    record: Arc<Record>,
    doubles: bool,
    fails: bool,
}

impl StageWorker {
    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        let mut late_copy: Option<String> = None;
        while let Some(request) = http::read_request(&mut connection.reader)? {
            if request.path() != name("pieces") {
                connection.send(&answer("{}"))?;
                continue;
            }
            if let Some(copy) = late_copy.take() {
                self.record.add(&format!(
                    "stage worker {} sends an earlier answer once more",
                    self.id
                ));
                connection.send(&copy)?;
            }
            let attempts = values(&request.text(), "id");
            let slot = self.slot.lock().unwrap();
            let count = u32::try_from(attempts.len()).unwrap_or(u32::MAX);
            thread::sleep(CALL_TIME + PIECE_TIME * count);
            drop(slot);
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            let fails =
                self.fails && number % DOUBLE_ONE_IN == DOUBLE_ONE_IN / 2;
            let items: Vec<String> = attempts
                .iter()
                .enumerate()
                .map(|(at, attempt)| {
                    if fails {
                        return r#"{"reason":"error"}"#.to_owned();
                    }
                    let handle =
                        format!("{}/{number:04x}{at:04x}", self.address);
                    let mut made = self.made.lock().unwrap();
                    made.push((handle.clone(), attempt.clone()));
                    format!(r#"{{"handle":"{handle}"}}"#)
                })
                .collect();
            self.record.add(&format!(
                "stage worker {} made {} for {}",
                self.id,
                items.join(" "),
                attempts.join(" ")
            ));
            let text =
                answer(&format!(r#"{{"items":[{}]}}"#, items.join(",")));
            connection.send(&text)?;
            if fails && self.doubles {
                late_copy = Some(text);
            }
        }
        Ok(())
    }
}

fn answer(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
         Keep-Alive: timeout=5\r\nLOAD: 1,0,1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .replace("LOAD", name("load"))
}

/// Returns the texts of a field of a JSON body, in order.
fn values(body: &str, field: &str) -> Vec<String> {
    let start = format!("\"{field}\":\"");
    body.split(&start)
        .skip(1)
        .filter_map(|rest| Some(rest.split_once('"')?.0.to_owned()))
        .collect()
}

/// Runs the case.
pub fn run(
    folder: &Path,
    record: Record,
    trouble: bool,
) -> io::Result<Verdict> {
    let record = Arc::new(record);
    let made = Made::default();
    let store = Store::start(&machine_ip(250), PAGE_ITEMS)?;
    let stages = r#"{"service":"acervo","after":[],"bytes":42000}"#;
    let config = wire::config(&[
        ("VERSION", "11"),
        ("ORDERS", "balcao"),
        ("STAGES", stages),
        ("RESUME", "false"),
    ]);
    store.put(name("config_key"), &config);
    for (id, is_faulty) in [("i-00a1", true), ("i-00a2", false)] {
        let listener = worker_listener()?;
        let address = listener.local_addr()?;
        let worker = Arc::new(StageWorker {
            id,
            address,
            slot: Mutex::new(()),
            answers: AtomicUsize::new(0),
            made: Arc::clone(&made),
            record: Arc::clone(&record),
            doubles: trouble,
            fails: is_faulty,
        });
        http::serve(listener, move |connection| worker.serve(connection));
        publish(&store, id, "acervo", address, "ready");
    }
    let runs = engine::Runs::default();
    for id in ["i-00e1", "i-00e2"] {
        let listener = worker_listener()?;
        let address = listener.local_addr()?;
        engine::serve(listener, id, 10, &runs, &record);
        publish(&store, id, "briar-modelo", address, "ready");
    }
    let daemon = Daemon::start(folder, 1, &[1], &store)?;
    if !daemon.wait_ready() {
        record.add("the daemon is not ready");
        return Ok(Verdict::CouldNotRun);
    }
    let callers = daemon.callers;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(REQUEST_GAP);
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let attempt = format!("c{number:06x}");
                record.add(&format!("client: {attempt} is sent"));
                let headers = format!(
                    "{}: 1\r\n{}: key{number}\r\n{}: 1460,80\r\n\
                     {}: 5c1e07a2:800,{number:08x}:660\r\n{}: m\r\n",
                    name("piece_counts"),
                    name("piece_key"),
                    name("tokens"),
                    name("parts"),
                    name("model")
                );
                let answer = ClientRequest {
                    method: "POST",
                    path: "/plano/7",
                    attempt: &attempt,
                    deadline_ms: 8000,
                    headers: &headers,
                }
                .send(callers);
                record.add(&format!(
                    "client: {attempt} status={} complete={}",
                    answer.status, answer.is_complete
                ));
                answer.status
            })
        })
        .collect();
    let statuses: Vec<u16> =
        clients.into_iter().map(|c| c.join().unwrap_or(0)).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();

    let made = made.lock().unwrap();
    let mut foreign = 0;
    for run in runs.lock().unwrap().iter() {
        for input in run.inputs.split(',').filter(|input| !input.is_empty()) {
            let maker = made.iter().find(|(handle, _)| handle == input);
            let made_for = maker.map_or("nothing", |(_, attempt)| attempt);
            if made_for != run.attempt {
                foreign += 1;
                record.add(&format!(
                    "engine {} ran {} with {input}, made for {made_for}",
                    run.worker, run.attempt
                ));
            }
        }
    }
    record.add(&format!(
        "{served} of {REQUESTS} requests served; {foreign} were run with the \
         result of another request"
    ));
    if served < REQUESTS / 2 {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
