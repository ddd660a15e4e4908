//! The machines are stopped and started in turn while a request that crashes
//! servers comes again.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use anyhow::bail;
use briarladder_platform_standins::Store;
use review_cases_2::{
    Action, CONTACT, Call, Daemon, Message, Record, Server, answer, exit_code,
    has_trouble, machine_addresses, name, new_attempt, show, start_store,
    temporary_folder,
};
use tokio::time::sleep;

/// The body of the request that crashes servers.
const CRASHING_BODY: &[u8] = b"crash";

const SERVERS: usize = 6;

const MACHINES: u8 = 5;

/// How long a server that has crashed is away.
const AWAY: Duration = Duration::from_secs(4);

/// The pause between two machines of a roll, `gap_s` of the site.
const GAP: Duration = Duration::from_millis(1300);

/// How often all machines are stopped and started in turn.
const ROLLS: usize = 2;

/// How long all machines have run again when the request comes.
const RUN_AGAIN: Duration = Duration::from_millis(4500);

/// The pause between two attempts.
const PAUSE: Duration = Duration::from_millis(700);

/// The rule allows so many retries.
const ALLOWED_RETRIES: usize = 3;

type Crashes = Arc<Mutex<Vec<(Instant, String)>>>;

/// Starts a server. When it has crashed, its entry expires and another one
/// starts.
async fn keep_server(
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
                let attempt = request.attempt();
                if request.body == CRASHING_BODY {
                    record.say(&format!(
                        "server {} begins attempt {attempt} and crashes",
                        server.id
                    ));
                    let crash = (Instant::now(), attempt.to_owned());
                    crashes.lock().unwrap().push(crash);
                    crashed.notify_one();
                    return Action::Crash;
                }
                let headers =
                    [(name("attempt"), attempt), (name("seal"), "3e1b.07")];
                let bytes = answer(200, &headers, b"done");
                Action::Answer(Duration::from_millis(30), bytes)
            };
            let store = store.clone();
            async move { Server::start("desk", 6, &store, Arc::new(handler)).await }
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

/// Sends the request that crashes servers, and returns whether it was refused
/// as not run.
async fn send_crashing(
    daemon: &Daemon,
    crashes: &Crashes,
    record: &Record,
) -> bool {
    let call = Call {
        path: "/order/9",
        deadline_ms: 1500,
        pieces: None,
        body: CRASHING_BODY,
    };
    let attempt = new_attempt();
    let before = crashes.lock().unwrap().len();
    let answer = call.send(daemon.callers(), &attempt).await;
    let crashed = crashes.lock().unwrap().len() - before;
    record.say(&format!(
        "attempt {attempt} through {}, in touch: {}: {}; servers that it \
         crashed: {crashed}",
        daemon.machine,
        daemon.is_in_touch(),
        show(answer.as_ref())
    ));
    answer.is_some_and(|answer| answer.status() == Some(503))
}

async fn run() -> anyhow::Result<bool> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_default());
    let record = Record::create(&folder)?;
    record.say(&format!("trouble: {}", has_trouble()));
    let files = temporary_folder()?;
    let store = start_store().await?;
    let crashes = Crashes::default();
    for _ in 0..SERVERS {
        let (record, crashes) = (record.clone(), Arc::clone(&crashes));
        keep_server(store.clone(), record, crashes).await?;
    }
    let machines = machine_addresses(MACHINES);
    let zones = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b"];
    let mut daemons = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let machine = format!("front-{}", number + 1);
        let mut daemon = Daemon::new(
            files.path(),
            &machine,
            zone,
            machines[number],
            &machines[..3],
            &store,
        )?;
        daemon.start()?;
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_ready().await?;
    }
    sleep(CONTACT + Duration::from_millis(500)).await;
    // Three servers crash; from then on all machines refuse the request.
    for _ in 0..3 {
        send_crashing(&daemons[0], &crashes, &record).await;
        sleep(Duration::from_millis(600)).await;
    }
    let Some((third, _)) = crashes.lock().unwrap().get(2).cloned() else {
        bail!("the request has not crashed three servers");
    };
    sleep(CONTACT + Duration::from_millis(500)).await;
    for daemon in &daemons {
        send_crashing(daemon, &crashes, &record).await;
    }
    for roll in 1..=ROLLS {
        for daemon in &mut daemons {
            if has_trouble() {
                daemon.stop().await?;
                daemon.start()?;
                daemon.wait_ready().await?;
                record.say(&format!("{} was restarted", daemon.machine));
            }
            sleep(GAP).await;
        }
        record.say(&format!("roll {roll} has ended"));
        sleep(RUN_AGAIN).await;
        for daemon in &daemons {
            if !daemon.is_in_touch() {
                bail!("{} is not in touch", daemon.machine);
            }
            send_crashing(daemon, &crashes, &record).await;
            sleep(PAUSE).await;
        }
    }
    let order = Call {
        path: "/order/1",
        deadline_ms: 1500,
        pieces: None,
        body: b"an order",
    };
    let answer = order.send(daemons[0].callers(), &new_attempt()).await;
    record.say(&format!("an ordinary request: {}", show(answer.as_ref())));
    if answer.and_then(|answer| answer.status()) != Some(200) {
        bail!("an ordinary request was not served");
    }
    let crashes = crashes.lock().unwrap().clone();
    let retries =
        crashes.iter().filter(|(at, _)| *at > third + CONTACT).count();
    record.say(&format!(
        "crashes: {}; retries that reached servers later than contactMs after \
         the third crash, from machines in touch: {retries}; the rule allows \
         {ALLOWED_RETRIES}",
        crashes.len()
    ));
    Ok(retries > ALLOWED_RETRIES)
}

fn main() -> ExitCode {
    exit_code(run())
}
