//! What the programs of the cases share: daemons as separate processes,
//! servers that crash, callers, and a record of what happened.
//!
//! Names of the platform's wire are read from `texts/names.txt`.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use anyhow::{Context, bail};
use briarladder_platform_standins::{EraHeader, Store, WorkerEntry};
use rand::RngExt;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{sleep, timeout},
};

const NAMES: &str = include_str!("../texts/names.txt");
const SETTINGS: &str = include_str!("../texts/settings.txt");
const CONFIG: &str = include_str!("../texts/config.json");

/// `contactMs` of the settings.
pub const CONTACT: Duration = Duration::from_millis(4000);

/// The ports of a daemon, the same on all machines.
const CALLERS_PORT: u16 = 8625;
const READINESS_PORT: u16 = 8621;
const PEERS_PORT: u16 = 8628;

const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Longer than the grace period of the settings.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);

/// Requests that wait at a server beyond those that it works on.
const QUEUE: usize = 2;

/// Returns a name of the platform's wire.
pub fn name(key: &str) -> &'static str {
    NAMES
        .lines()
        .filter_map(|line| line.split_once(" = "))
        .find_map(|(known, value)| (known == key).then_some(value))
        .unwrap_or_else(|| panic!("no name {key}"))
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The file with what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> anyhow::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        let file = Arc::new(Mutex::new(file));
        Ok(Record { file, start: Instant::now() })
    }

    pub fn say(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        // The record is only for readers.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A new attempt id.
pub fn new_attempt() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

/// Loopback addresses of the machines of one run, unlikely in use by others.
pub fn machine_addresses(count: u8) -> Vec<Ipv4Addr> {
    let mut rng = rand::rng();
    let (b, c) = (rng.random_range(20..250), rng.random_range(1..250));
    (0..count).map(|d| Ipv4Addr::new(127, b, c, 10 + d)).collect()
}

/// A daemon on a machine of its own.
pub struct Daemon {
    pub machine: String,
    ip: Ipv4Addr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// When the process was last started or sent a signal.
    pub disturbed_at: Instant,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Daemon {
    /// Writes the settings of a machine; `seeds` are machines as well.
    pub fn new(
        folder: &Path,
        machine: &str,
        zone: &str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
        store: &Store,
    ) -> anyhow::Result<Daemon> {
        let seeds: Vec<String> =
            seeds.iter().map(|s| format!("\"{s}:{PEERS_PORT}\"")).collect();
        let text = SETTINGS
            .replace("@NAME@", machine)
            .replace("@IP@", &ip.to_string())
            .replace("@ZONE@", zone)
            .replace("@SEEDS@", &seeds.join(","))
            .replace("@STORE@", &store.address().to_string());
        let settings = folder.join(format!("{machine}.toml"));
        std::fs::write(&settings, text)?;
        Ok(Daemon {
            machine: machine.to_owned(),
            ip,
            program: PathBuf::from("target/release/briarladderd"),
            settings,
            log: folder.join(format!("{machine}.log")),
            child: None,
            disturbed_at: Instant::now(),
        })
    }

    /// Starts the process as the deploy file does.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("platform")
            .env(name("settings"), &self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .context("can't start the program of the deploy file")?;
        self.child = Some(child);
        self.disturbed_at = Instant::now();
        Ok(())
    }

    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let address = SocketAddr::new(self.ip.into(), READINESS_PORT);
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                let ask = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
                stream.write_all(ask).await?;
                if let Some(answer) = read_message(&mut stream).await?
                    && answer.start.contains(" 200")
                {
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
        bail!("{} is not ready", self.machine)
    }

    /// Stops its process for a while, or lets it go on.
    pub fn freeze(&mut self, frozen: bool) -> anyhow::Result<()> {
        let child = self.child.as_ref().context("not running")?;
        let id = i32::try_from(child.id())?;
        let pid = Pid::from_raw(id).context("no process")?;
        let signal = if frozen { Signal::STOP } else { Signal::CONT };
        kill_process(pid, signal)?;
        self.disturbed_at = Instant::now();
        Ok(())
    }

    /// Sends SIGTERM and waits until the process has ended.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        let child = self.child.as_mut().context("not running")?;
        let id = i32::try_from(child.id())?;
        let pid = Pid::from_raw(id).context("no process")?;
        kill_process(pid, Signal::TERM)?;
        self.disturbed_at = Instant::now();
        let until = Instant::now() + STOP_TIMEOUT;
        while child.try_wait()?.is_none() {
            if Instant::now() > until {
                bail!("{} does not stop", self.machine);
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.child = None;
        Ok(())
    }

    /// Whether its process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether its machine has been in touch for `contactMs`.
    pub fn is_in_touch(&self) -> bool {
        self.disturbed_at.elapsed() > CONTACT
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CALLERS_PORT)
    }

    /// The lines of its log with a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

/// A message of HTTP.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(&name.to_ascii_lowercase()).map(String::as_str)
    }

    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    pub fn attempt(&self) -> &str {
        self.header(name("attempt")).unwrap_or_default()
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message whose body has a length or comes in chunks; `None` if the
/// connection ends before its end.
pub async fn read_message(
    stream: &mut TcpStream,
) -> std::io::Result<Option<Message>> {
    let mut bytes = Vec::new();
    let body_at = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..body_at]).into_owned();
    let mut lines = head.lines();
    let start = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let mut rest = bytes.split_off(body_at);
    let chunked = headers.get("transfer-encoding").is_some();
    let mut body = Vec::new();
    if chunked {
        loop {
            let Some(line_end) = find(&rest, b"\r\n") else {
                if stream.read_buf(&mut rest).await? == 0 {
                    return Ok(None);
                }
                continue;
            };
            let size = String::from_utf8_lossy(&rest[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return Ok(None);
            };
            let end = line_end + 2 + size + 2;
            while rest.len() < end {
                if stream.read_buf(&mut rest).await? == 0 {
                    return Ok(None);
                }
            }
            body.extend_from_slice(&rest[line_end + 2..end - 2]);
            rest.drain(..end);
            if size == 0 {
                return Ok(Some(Message { start, headers, body }));
            }
        }
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or(0);
    while rest.len() < length {
        if stream.read_buf(&mut rest).await? == 0 {
            return Ok(None);
        }
    }
    rest.truncate(length);
    Ok(Some(Message { start, headers, body: rest }))
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// What a server does with a request.
pub enum Action {
    /// It answers after a time.
    Answer(Duration, Vec<u8>),
    /// Its process crashes.
    Crash,
}

type Handler = dyn Fn(&Server, &Message) -> Action + Send + Sync;

/// A server process, or rather what others see of it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    handler: Arc<Handler>,
    slots: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
    crashed: Arc<watch::Sender<bool>>,
}

impl Server {
    /// Starts a server and publishes it as ready.
    pub async fn start(
        service: &'static str,
        slots: usize,
        store: &Store,
        handler: Arc<Handler>,
    ) -> anyhow::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Server {
            id: format!("i-{:08x}", rand::rng().random::<u32>()),
            service,
            address: listener.local_addr()?,
            handler,
            slots: Arc::new(Semaphore::new(slots)),
            waiting: Arc::default(),
            crashed: Arc::new(watch::Sender::new(false)),
        };
        tokio::spawn(server.clone().accept(listener));
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let mut entry =
            WorkerEntry::ready(&server.id, service, server.address);
        entry.born_ms = u64::try_from(born.as_millis())?;
        store.put_worker(&entry);
        Ok(server)
    }

    async fn accept(self, listener: TcpListener) {
        let mut crashed = self.crashed.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    tokio::spawn(self.clone().serve(stream));
                }
                _ = crashed.wait_for(|crashed| *crashed) => return,
            }
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut crashed = self.crashed.subscribe();
        tokio::select! {
            // The other end may close or reset its connection at any time.
            _ = self.serve_requests(&mut stream) => {}
            _ = crashed.wait_for(|crashed| *crashed) => {
                // The kernel resets the connections of a process that ends
                // with unread bytes.
                let _ = stream.set_zero_linger();
            }
        }
    }

    async fn serve_requests(
        &self,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        while let Some(request) = read_message(stream).await? {
            let expected = request.header(name("expect"));
            if expected.is_some_and(|expected| expected != self.id) {
                let instance = (name("instance"), self.id.as_str());
                let answer = answer(421, &[instance], b"");
                stream.write_all(&answer).await?;
                continue;
            }
            if self.waiting.load(Ordering::SeqCst) > QUEUE {
                let not_run = (name("not_run"), "1");
                let answer = answer(503, &[not_run], b"");
                stream.write_all(&answer).await?;
                continue;
            }
            self.waiting.fetch_add(1, Ordering::SeqCst);
            let slot = self.slots.acquire().await;
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            match (self.handler)(self, &request) {
                Action::Answer(time, bytes) => {
                    sleep(time).await;
                    drop(slot);
                    stream.write_all(&bytes).await?;
                }
                Action::Crash => {
                    self.crashed.send_replace(true);
                    std::future::pending::<()>().await;
                }
            }
        }
        Ok(())
    }
}

/// Encodes an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} -\r\n");
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// What a caller sends.
pub struct Call<'a> {
    pub path: &'a str,
    pub deadline_ms: u64,
    /// The pieces of the stages, and their key.
    pub pieces: Option<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

impl Call<'_> {
    fn encode(&self, attempt: &str) -> Vec<u8> {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: shop.example\r\n{}: {attempt}\r\n\
             {}: {}\r\n{}\r\n",
            self.path,
            name("attempt"),
            name("deadline"),
            self.deadline_ms,
            name("key"),
        );
        if let Some((counts, key)) = self.pieces {
            head += &format!("{}: {counts}\r\n", name("pieces"));
            head += &format!("{}: {key}\r\n", name("piece_key"));
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        [head.as_bytes(), self.body].concat()
    }

    /// Sends it on an open connection. `None` if the connection ends without
    /// a complete answer.
    pub async fn send_on(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
    ) -> Option<Message> {
        let time = Duration::from_millis(self.deadline_ms);
        let exchange = async {
            stream.write_all(&self.encode(attempt)).await.ok()?;
            read_message(stream).await.ok()?
        };
        timeout(time, exchange).await.ok()?
    }

    /// Sends it on a new connection.
    pub async fn send(
        &self,
        to: SocketAddr,
        attempt: &str,
    ) -> Option<Message> {
        let mut stream = TcpStream::connect(to).await.ok()?;
        self.send_on(&mut stream, attempt).await
    }
}

/// Shows an answer in the record.
pub fn show(answer: Option<&Message>) -> String {
    match answer {
        None => "connection ended without an answer".to_owned(),
        Some(answer) => {
            let wait = answer.header("retry-after").unwrap_or("-");
            let status = answer.status().unwrap_or(0);
            format!("status {status}, retry-after {wait}")
        }
    }
}

/// Starts a store with the configuration of the cases.
pub async fn start_store() -> anyhow::Result<Store> {
    let store = Store::start().await?;
    store.set_era_header(EraHeader::Missing);
    let config: Value = serde_json::from_str(CONFIG)?;
    store.put(name("config"), &config);
    Ok(store)
}

/// Runs a case and returns the exit code: 1 if the rule was broken, 0 if it
/// held, 2 if the case couldn't run.
pub fn exit_code(
    run: impl Future<Output = anyhow::Result<bool>>,
) -> std::process::ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return 2.into();
        }
    };
    let limit = Duration::from_secs(115);
    let result = runtime.block_on(async { timeout(limit, run).await });
    match result {
        Ok(Ok(true)) => 1.into(),
        Ok(Ok(false)) => 0.into(),
        Ok(Err(error)) => {
            eprintln!("the case couldn't run: {error:#}");
            2.into()
        }
        Err(_) => {
            eprintln!("the case couldn't run: it took too long");
            2.into()
        }
    }
}

/// A temporary folder for settings and logs.
pub fn temporary_folder() -> anyhow::Result<TempDir> {
    Ok(tempfile::tempdir()?)
}
