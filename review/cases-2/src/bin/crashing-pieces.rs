//! A request whose pieces crash the servers of its first stage comes again.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::bail;
use briarladder_platform_standins::Store;
use rand::{RngExt, seq::IndexedRandom};
use review_cases_2::{
    Action, CONTACT, Call, Daemon, Message, Record, Server, answer, exit_code,
    has_trouble, machine_addresses, name, new_attempt, show, start_store,
    temporary_folder,
};
use serde_json::{Value, json};
use tokio::time::sleep;

/// The piece key that crashes a server.
const CRASHING_KEY: &str = "dead1e";

/// Servers of each stage, as in the small sites.
const SERVERS: usize = 5;

/// How often the request comes, and the pause in between.
const COMES: usize = 14;
const PAUSE: Duration = Duration::from_secs(2);

/// How long a server that has crashed is away.
const AWAY: Duration = Duration::from_secs(4);

/// The pause between ordinary requests of other callers.
const OTHERS_PAUSE: Duration = Duration::from_millis(200);

/// The rule allows so many retries.
const ALLOWED_RETRIES: usize = 3;

/// A crash: when, and by which attempt.
type Crashes = Arc<Mutex<Vec<(Instant, String)>>>;

/// Makes pieces; crashes when it begins one with the crashing key.
fn make_pieces(
    record: &Record,
    crashes: &Crashes,
    server: &Server,
    request: &Message,
) -> Action {
    if request.path() != name("run") {
        let empty =
            answer(200, &[("Content-Type", "application/json")], b"{}");
        return Action::Answer(Duration::ZERO, empty);
    }
    let call: Value = serde_json::from_slice(&request.body).unwrap();
    let items = call["items"].as_array().unwrap();
    let crashing = items.iter().find(|item| {
        has_trouble() && item["key"].as_str() == Some(CRASHING_KEY)
    });
    if let Some(item) = crashing {
        let attempt = item["id"].as_str().unwrap().to_owned();
        record.say(&format!(
            "server {} of {} begins a piece of attempt {attempt}, with {} \
             other pieces in the call, and crashes",
            server.id,
            server.service,
            items.len() - 1
        ));
        crashes.lock().unwrap().push((Instant::now(), attempt));
        return Action::Crash;
    }
    let made: Vec<Value> = items
        .iter()
        .map(|_| {
            let number: u64 = rand::rng().random();
            json!({ "handle": format!("{}/{number:016x}", server.address) })
        })
        .collect();
    let body = json!({ "items": made }).to_string();
    let headers =
        [("Content-Type", "application/json"), (name("load"), "0,0,1")];
    let time = Duration::from_millis(150 + 16 * items.len() as u64);
    Action::Answer(time, answer(200, &headers, body.as_bytes()))
}

/// Answers a request with a stream of two events.
fn answer_stream(request: &Message) -> Action {
    let events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    let headers = [
        (name("attempt"), request.attempt()),
        (name("seal"), "3e1b.07"),
        ("Content-Type", "text/event-stream"),
    ];
    let bytes = answer(200, &headers, events.as_bytes());
    Action::Answer(Duration::from_millis(60), bytes)
}

async fn start_makers(
    service: &'static str,
    store: &Store,
    record: &Record,
    crashes: &Crashes,
) -> anyhow::Result<()> {
    for _ in 0..SERVERS {
        let (store, record, crashes) =
            (store.clone(), record.clone(), Arc::clone(crashes));
        keep_maker(service, store, record, crashes).await?;
    }
    Ok(())
}

/// Starts a server of a stage. When it has crashed, its entry expires and
/// another one starts.
async fn keep_maker(
    service: &'static str,
    store: Store,
    record: Record,
    crashes: Crashes,
) -> anyhow::Result<()> {
    let crashed = Arc::new(tokio::sync::Notify::new());
    let start = {
        let crashed = Arc::clone(&crashed);
        let store = store.clone();
        move || {
            let (record, crashes, crashed) =
                (record.clone(), Arc::clone(&crashes), Arc::clone(&crashed));
            let handler = move |server: &Server, request: &Message| {
                let action = make_pieces(&record, &crashes, server, request);
                if matches!(action, Action::Crash) {
                    crashed.notify_one();
                }
                action
            };
            let store = store.clone();
            async move {
                Server::start(service, 1, &store, Arc::new(handler)).await
            }
        }
    };
    let mut server = start().await?;
    tokio::spawn(async move {
        loop {
            crashed.notified().await;
            sleep(AWAY).await;
            store.remove(&format!("servers/{}", server.id));
            match start().await {
                Ok(next) => server = next,
                Err(_) => return,
            }
        }
    });
    Ok(())
}

async fn run() -> anyhow::Result<bool> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_default());
    let record = Record::create(&folder)?;
    record.say(&format!("trouble: {}", has_trouble()));
    let files = temporary_folder()?;
    let store = start_store().await?;
    let crashes = Crashes::default();
    start_makers("sheets", &store, &record, &crashes).await?;
    start_makers("press", &store, &record, &crashes).await?;
    for _ in 0..3 {
        let handler = |_: &Server, request: &Message| answer_stream(request);
        Server::start("model", 64, &store, Arc::new(handler)).await?;
    }
    let machines = machine_addresses(3);
    let mut daemons = Vec::new();
    for (number, zone) in ["zone-a", "zone-b", "zone-c"].iter().enumerate() {
        let machine = format!("front-{zone}-1");
        let ip = machines[number];
        let mut daemon =
            Daemon::new(files.path(), &machine, zone, ip, &machines, &store)?;
        daemon.start()?;
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_ready().await?;
    }
    // All machines are in touch before the request comes for the first time.
    sleep(CONTACT + Duration::from_millis(500)).await;
    let served = Arc::new(AtomicUsize::new(0));
    let unserved = Arc::new(AtomicUsize::new(0));
    let stopping = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = daemons.iter().map(Daemon::callers).collect();
    let others = {
        let (served, unserved, stopping) =
            (served.clone(), unserved.clone(), stopping.clone());
        let addresses = addresses.clone();
        tokio::spawn(async move {
            while !stopping.load(Ordering::SeqCst) {
                let address = *addresses.choose(&mut rand::rng()).unwrap();
                let (served, unserved) = (served.clone(), unserved.clone());
                tokio::spawn(async move {
                    let key = format!("{:08x}", rand::rng().random::<u32>());
                    let call = Call {
                        path: "/draft/2",
                        deadline_ms: 8000,
                        pieces: Some(("2,4", &key)),
                        body: b"plan",
                    };
                    let answer = call.send(address, &new_attempt()).await;
                    let ok = answer.is_some_and(|a| a.status() == Some(200));
                    let count = if ok { served } else { unserved };
                    count.fetch_add(1, Ordering::SeqCst);
                });
                sleep(OTHERS_PAUSE).await;
            }
        })
    };
    sleep(Duration::from_secs(2)).await;
    let mut answered_200 = 0;
    for number in 0..COMES {
        let daemon = &daemons[number % daemons.len()];
        let call = Call {
            path: "/draft/9",
            deadline_ms: 8000,
            pieces: Some(("1,1", CRASHING_KEY)),
            body: b"the same body",
        };
        let attempt = new_attempt();
        let before = crashes.lock().unwrap().len();
        let answer = call.send(daemon.callers(), &attempt).await;
        let crashed = crashes.lock().unwrap().len() - before;
        record.say(&format!(
            "attempt {attempt} through {}: {}; servers that it crashed: \
             {crashed}",
            daemon.machine,
            show(answer.as_ref())
        ));
        answered_200 +=
            usize::from(answer.is_some_and(|a| a.status() == Some(200)));
        sleep(PAUSE).await;
    }
    stopping.store(true, Ordering::SeqCst);
    others.await?;
    sleep(Duration::from_secs(1)).await;
    let crashes = crashes.lock().unwrap().clone();
    record.say(&format!(
        "requests of other callers: served {}, not served {}",
        served.load(Ordering::SeqCst),
        unserved.load(Ordering::SeqCst)
    ));
    record.say(&format!(
        "crashes: {}; of {COMES} attempts answered with 200: {answered_200}",
        crashes.len()
    ));
    if !daemons.iter_mut().all(Daemon::is_running) {
        bail!("a daemon has ended");
    }
    if served.load(Ordering::SeqCst) == 0 {
        bail!("no request of another caller was served");
    }
    let Some((third, _)) = crashes.get(2) else {
        if has_trouble() {
            bail!("the request has not crashed three servers");
        }
        return Ok(answered_200 < COMES);
    };
    let mut retries: Vec<&String> = crashes
        .iter()
        .filter(|(at, _)| *at > *third + CONTACT)
        .map(|(_, attempt)| attempt)
        .collect();
    retries.sort();
    retries.dedup();
    record.say(&format!(
        "attempts that reached servers later than contactMs after the third \
         crash, from machines in touch: {}; the rule allows \
         {ALLOWED_RETRIES}",
        retries.len()
    ));
    Ok(retries.len() > ALLOWED_RETRIES)
}

fn main() -> ExitCode {
    exit_code(run())
}
