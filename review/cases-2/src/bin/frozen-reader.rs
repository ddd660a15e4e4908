//! A machine freezes while it passes streams on. Meanwhile a server crashes
//! and is back at its address.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime},
};

use anyhow::{Context, bail};
use briarladder_platform_standins::{Store, WorkerEntry};
use rand::RngExt;
use review_cases_2::{
    CONTACT, Call, Daemon, Message, Record, exit_code, has_trouble,
    machine_addresses, name, new_attempt, read_message, start_store,
    temporary_folder,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    sync::watch,
    time::sleep,
};

/// The machines of the site.
const MACHINES: u8 = 9;

/// The model servers, of which one crashes.
const SERVERS: usize = 6;

/// Streams through the machine that freezes.
const STREAMS: usize = 24;

/// The events of a stream, and the time between two of them.
const EVENTS: usize = 34;
const EVENT_INTERVAL: Duration = Duration::from_millis(120);

/// From the start of the streams to the freeze.
const FREEZE_AFTER: Duration = Duration::from_millis(1500);

/// From the freeze to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(200);

/// How long the server is away, a little longer than `addrReuseS`.
const AWAY: Duration = Duration::from_millis(2200);

/// From the crash to the end of the entry, after three heartbeats of silence.
const ENTRY_EXPIRES_AFTER: Duration = Duration::from_millis(3000);

/// From the freeze to its end.
const FROZEN: Duration = Duration::from_millis(3500);

/// A model server.
struct Server {
    id: String,
    address: SocketAddr,
    crashed: watch::Sender<bool>,
    /// The streams that it has begun.
    begun: AtomicUsize,
    /// The attempts whose streams ended with the crash, and after how many
    /// events.
    cut: Mutex<Vec<(String, usize)>>,
}

impl Server {
    /// Starts a server, at an address that is free again or a new one.
    fn start(
        store: &Store,
        address: Option<SocketAddr>,
    ) -> anyhow::Result<Arc<Server>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(address.unwrap_or(any))?;
        let listener = socket.listen(128)?;
        let server = Arc::new(Server {
            id: format!("i-{:08x}", rand::rng().random::<u32>()),
            address: listener.local_addr()?,
            crashed: watch::Sender::new(false),
            begun: AtomicUsize::new(0),
            cut: Mutex::default(),
        });
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            let mut crashed = accepting.crashed.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        let server = Arc::clone(&accepting);
                        tokio::spawn(async move {
                            // The daemon may close its connections.
                            let _ = server.serve(stream).await;
                        });
                    }
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                }
            }
        });
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let mut entry =
            WorkerEntry::ready(&server.id, "model", server.address);
        entry.born_ms = u64::try_from(born.as_millis())?;
        store.put_worker(&entry);
        Ok(server)
    }

    /// Serves one connection: the end of a stream without a length is the end
    /// of its connection. The kernel closes the connections of a process that
    /// ends, after it has sent what was written.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut crashed = self.crashed.subscribe();
        let request: Message = tokio::select! {
            request = read_message(&mut stream) => match request? {
                Some(request) => request,
                None => return Ok(()),
            },
            _ = crashed.wait_for(|crashed| *crashed) => return Ok(()),
        };
        self.begun.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: 3e1b.07\r\n\
             Content-Type: text/event-stream\r\n\r\n",
            name("attempt"),
            request.attempt(),
            name("seal"),
        );
        stream.write_all(head.as_bytes()).await?;
        let last_event = request.header("last-event-id");
        let last_event: Option<usize> =
            last_event.and_then(|id| id.parse().ok());
        for event in last_event.map_or(0, |last| last + 1)..EVENTS {
            if *crashed.borrow_and_update() {
                let cut = (request.attempt().to_owned(), event);
                self.cut.lock().unwrap().push(cut);
                return Ok(());
            }
            let text = format!("id: {event}\ndata: {event}\n\n");
            stream.write_all(text.as_bytes()).await?;
            tokio::select! {
                () = sleep(EVENT_INTERVAL) => {}
                _ = crashed.wait_for(|crashed| *crashed) => {}
            }
        }
        Ok(())
    }
}

async fn play(
    record: &Record,
    store: &Store,
    daemon: &mut Daemon,
    servers: &[Arc<Server>],
) -> anyhow::Result<()> {
    sleep(FREEZE_AFTER).await;
    let server = servers
        .iter()
        .max_by_key(|server| server.begun.load(Ordering::SeqCst))
        .context("no server")?;
    record.say(&format!("{} freezes", daemon.machine));
    daemon.freeze(true)?;
    sleep(CRASH_AFTER).await;
    record.say(&format!("server {} at {} crashes", server.id, server.address));
    server.crashed.send_replace(true);
    sleep(AWAY).await;
    let next = Server::start(store, Some(server.address))?;
    record.say(&format!("server {} starts at {}", next.id, next.address));
    let (store, old) = (store.clone(), server.id.clone());
    tokio::spawn(async move {
        sleep(ENTRY_EXPIRES_AFTER.saturating_sub(AWAY)).await;
        store.remove(&format!("servers/{old}"));
    });
    sleep(FROZEN.saturating_sub(CRASH_AFTER + AWAY)).await;
    daemon.freeze(false)?;
    record.say(&format!("{} goes on", daemon.machine));
    Ok(())
}

async fn run() -> anyhow::Result<bool> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_default());
    let record = Record::create(&folder)?;
    record.say(&format!("trouble: {}", has_trouble()));
    let files = temporary_folder()?;
    let store = start_store().await?;
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.push(Server::start(&store, None)?);
    }
    let machines = machine_addresses(MACHINES);
    let mut daemons = Vec::new();
    for (number, ip) in machines.iter().enumerate() {
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        let machine = format!("front-{}", number + 1);
        let mut daemon = Daemon::new(
            files.path(),
            &machine,
            zone,
            *ip,
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
    let to = daemons[0].callers();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            tokio::spawn(async move {
                let path = ["/caption/1", "/check/1"][number % 2];
                let call = Call {
                    path,
                    deadline_ms: 12_000,
                    pieces: None,
                    body: b"a caption",
                };
                let attempt = new_attempt();
                let answer = call.send(to, &attempt).await;
                (path, attempt, answer)
            })
        })
        .collect();
    if has_trouble() {
        play(&record, &store, &mut daemons[0], &servers).await?;
    }
    let mut cut_short = 0;
    let mut whole = 0;
    for stream in streams {
        let (path, attempt, answer) = stream.await?;
        let cut = servers.iter().find_map(|server| {
            let cut = server.cut.lock().unwrap();
            cut.iter().find(|(id, _)| *id == attempt).map(|(_, at)| *at)
        });
        let seen = match &answer {
            None => "the connection ends within the answer".to_owned(),
            Some(answer) => {
                let text = String::from_utf8_lossy(&answer.body);
                let events = text.matches("\n\n").count();
                let status = answer.status().unwrap_or(0);
                if status == 200 && events < EVENTS {
                    cut_short += 1;
                } else if status == 200 {
                    whole += 1;
                }
                format!(
                    "status {status}, {events} of {EVENTS} events and the \
                     end of the answer"
                )
            }
        };
        let server = cut.map_or_else(String::new, |at| {
            format!("; its server crashed after {at} events")
        });
        record.say(&format!("{path} {attempt}: {seen}{server}"));
    }
    for line in daemons[0].log_lines("doubtful_end") {
        record.say(&format!("log of the machine: {line}"));
    }
    record.say(&format!(
        "streams {STREAMS}: whole {whole}, ended as complete before their \
         last event: {cut_short}"
    ));
    if whole == 0 {
        bail!("no stream was whole");
    }
    if has_trouble()
        && servers.iter().all(|server| server.cut.lock().unwrap().is_empty())
    {
        bail!("the crash cut no stream");
    }
    Ok(cut_short > 0)
}

fn main() -> ExitCode {
    exit_code(run())
}
