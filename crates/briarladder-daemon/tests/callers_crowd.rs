//! Tests with crowds of callers of the own interface that nobody controls:
//! they send much at once and stop just short of the end, send far over the
//! limits, or only open connections.
//!
//! The process must live and stay within a bound of memory and descriptors,
//! and an ordinary request must be answered while the crowd is still
//! connected.

use std::{
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    time::Duration,
};

use briarladder_standins::platform::{Platform, PlatformSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// The memory that callers may fill, as the daemon is told.
const CALLER_MEMORY_BYTES: usize = 32 << 20;

/// The bound of the whole process. A debug build without callers takes some
/// 30 MB of it.
const MAX_MEMORY_KB: u64 = 96 << 10;

/// The descriptors of the process.
const MAX_DESCRIPTORS: usize = 200;

/// The longest body that callers may send.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Callers that send a large body: 160 MiB together.
const LARGE_CROWD: usize = 40;

/// Callers of a crowd that sends chunks of one byte.
const DRIP_CROWD: usize = 100;

/// The bytes of each of them.
const DRIP_BYTES: usize = 64 << 10;

/// Connections of callers that send no request.
const SILENT_CROWD: usize = 400;

/// What is announced far over the limit.
const EXCESSIVE_BYTES: usize = 200 << 20;

/// The most bytes of one write.
const WRITE_BYTES: usize = 64 << 10;

/// How long a write of a crowd may wait.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an ordinary request may take at most, so that a test ends.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that uses no processor time for so many polls has read what was
/// sent.
const IDLE_POLLS: u32 = 5;

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Only one crowd at a time: several would take more memory and processor time
/// than the settings of the tests are made for.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A daemon process, which is killed when dropped.
struct Daemon {
    child: Child,
    address: SocketAddr,
    _platform: Platform,
    _guard: MutexGuard<'static, ()>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    async fn start() -> Daemon {
        Daemon::start_with(&[]).await
    }

    async fn start_with(flags: &[&str]) -> Daemon {
        let guard = ONE_AT_A_TIME.lock().await;
        let platform =
            Platform::start(PlatformSettings::default()).await.unwrap();
        let free = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        // The shell sets the limit of descriptors before the daemon reads it.
        let script = format!("ulimit -n {MAX_DESCRIPTORS}; exec \"$@\"");
        let child = Command::new("sh")
            .args(["-c", &script, "sh", env!("CARGO_BIN_EXE_briarladderd")])
            .args(["--vm=vm-1", "--zone=zone-1", "--threads=2"])
            .arg("--peer-key=a-key-of-sixteen-or-more")
            .arg(format!("--platform={}", platform.address()))
            .arg(format!("--callers-listen={address}"))
            .arg(format!("--max-body-bytes={MAX_BODY_BYTES}"))
            .args(flags)
            .env(
                "BRIARLADDER_CALLER_MEMORY_BYTES",
                CALLER_MEMORY_BYTES.to_string(),
            )
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let daemon =
            Daemon { child, address, _platform: platform, _guard: guard };
        let until = Instant::now() + ANSWER_TIMEOUT;
        while TcpStream::connect(address).await.is_err() {
            assert!(Instant::now() < until, "the daemon does not listen");
            sleep(Duration::from_millis(20)).await;
        }
        daemon
    }

    fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line =
            status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Returns the processor time used so far, in ticks of the kernel.
    fn processor_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).unwrap();
        let (_, fields) = stat.rsplit_once(')').unwrap();
        let fields = fields.split_whitespace().skip(11).take(2);
        fields.map(|ticks| ticks.parse::<u64>().unwrap()).sum()
    }

    /// Waits until the daemon has read what was sent: it uses no processor
    /// time for a while.
    async fn wait_idle(&self) {
        let until = Instant::now() + ANSWER_TIMEOUT;
        let mut ticks = self.processor_ticks();
        let mut idle_polls = 0;
        while idle_polls < IDLE_POLLS && Instant::now() < until {
            sleep(IDLE_POLL_INTERVAL).await;
            let is_idle = self.processor_ticks() <= ticks + 1;
            idle_polls = if is_idle { idle_polls + 1 } else { 0 };
            ticks = self.processor_ticks();
        }
    }

    fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }

    /// Sends an ordinary request and returns the first line of its answer.
    async fn answer(&self) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.address).await?;
        let head = head("content-length: 2\r\nconnection: close");
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(b"{}").await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        Ok(answer.lines().next().unwrap_or_default().to_owned())
    }

    /// Panics unless the process lives within its bounds, and answers an
    /// ordinary request after it has read it: no set is in force.
    async fn assert_sound(&mut self) {
        self.wait_idle().await;
        assert!(self.child.try_wait().unwrap().is_none());
        let answer = timeout(ANSWER_TIMEOUT, self.answer()).await;
        let peak_kb = self.peak_memory_kb();
        let descriptors = self.open_descriptors();
        println!("peak {peak_kb} kB, {descriptors} descriptors, {answer:?}");
        assert!(peak_kb <= MAX_MEMORY_KB, "{peak_kb} kB");
        assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors}");
        let answer = answer.unwrap().unwrap();
        assert_eq!(answer, "HTTP/1.1 503 Service Unavailable");
    }

    /// Connects callers, each of which sends a head and writes, until the
    /// daemon refuses to read on. Returns the connections, still open.
    async fn send_all<W>(
        &self,
        callers: usize,
        header: &str,
        writes: impl Fn() -> W,
    ) -> Vec<TcpStream>
    where
        W: Iterator<Item = Vec<u8>> + Send + 'static,
    {
        let address = self.address;
        let mut sending = JoinSet::new();
        for _ in 0..callers {
            let head = head(header);
            let writes = writes();
            sending.spawn(async move {
                let mut stream = TcpStream::connect(address).await.ok()?;
                let _ = stream.write_all(head.as_bytes()).await;
                for bytes in writes {
                    let sent = stream.write_all(&bytes);
                    if !matches!(timeout(IO_TIMEOUT, sent).await, Ok(Ok(()))) {
                        break;
                    }
                }
                Some(stream)
            });
        }
        sending.join_all().await.into_iter().flatten().collect()
    }
}

/// Returns the head of a request with more headers.
fn head(headers: &str) -> String {
    format!(
        "POST /v1/pipelines/plain HTTP/1.1\r\nhost: shop.example\r\n\
         briarladder-workspace: w1\r\n{headers}\r\n\r\n"
    )
}

/// Returns a chunk of a body.
fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b' ');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Returns the writes of `total` bytes of a body with a length.
fn plain_writes(total: usize) -> impl Iterator<Item = Vec<u8>> {
    (0..total)
        .step_by(WRITE_BYTES)
        .map(move |sent| vec![b' '; WRITE_BYTES.min(total - sent)])
}

/// Guards against a process that runs out of memory when many callers send a
/// body of legal size but for its last byte, and stay connected.
#[tokio::test]
async fn crowd_whole_bodies_bounded() {
    let mut daemon = Daemon::start().await;
    let length = format!("content-length: {MAX_BODY_BYTES}");
    let crowd = daemon
        .send_all(LARGE_CROWD, &length, || plain_writes(MAX_BODY_BYTES - 1))
        .await;
    daemon.assert_sound().await;
    drop(crowd);
}

/// As above, with bodies in chunks of one byte.
#[tokio::test]
async fn crowd_single_bytes_bounded() {
    // The chunks are read slowly.
    let flags = ["--receive-timeout-ms=60000"];
    let mut daemon = Daemon::start_with(&flags).await;
    let crowd = daemon
        .send_all(DRIP_CROWD, "transfer-encoding: chunked", || {
            (0..DRIP_BYTES / 64).map(|_| chunk(1).repeat(64))
        })
        .await;
    daemon.assert_sound().await;
    drop(crowd);
}

/// As above, with bodies in large chunks.
#[tokio::test]
async fn crowd_large_chunks_bounded() {
    let mut daemon = Daemon::start().await;
    let crowd = daemon
        .send_all(LARGE_CROWD, "transfer-encoding: chunked", || {
            plain_writes(MAX_BODY_BYTES - 1).map(|bytes| chunk(bytes.len()))
        })
        .await;
    daemon.assert_sound().await;
    drop(crowd);
}

/// Guards against a body over the limit that is read although its length says
/// so, or whose refusal is lost.
#[tokio::test]
async fn excessive_length_refused_unread() {
    let daemon = Daemon::start().await;
    let mut stream = TcpStream::connect(daemon.address).await.unwrap();
    let head = head(&format!("content-length: {EXCESSIVE_BYTES}"));
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    let reading = stream.read_exact(&mut answer);
    timeout(ANSWER_TIMEOUT, reading).await.unwrap().unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
}

/// Guards against a next request that gets no answer, since a refusal before
/// the body was read did not say that its connection ends.
#[tokio::test]
async fn refused_late_body_announces_end() {
    let daemon = Daemon::start().await;
    let workspace = "briarladder-workspace: w1\r\n";
    let request = head("content-length: 40000");
    let refused = [
        request.replace(workspace, ""),
        request.replace("pipelines/plain", "pipelines/Not+a+name"),
        request.replace("/v1/pipelines/", "/none/"),
        request.replace("POST", "PUT"),
        request.replace("/v1/pipelines/plain", "/v1/tickets"),
    ];
    for request in refused {
        let mut stream = TcpStream::connect(daemon.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = vec![0; 4096];
        let reading = stream.read(&mut answer);
        let len = timeout(ANSWER_TIMEOUT, reading).await.unwrap().unwrap();
        let answer = String::from_utf8_lossy(&answer[..len]);
        assert!(answer.starts_with("HTTP/1.1 "), "{request}{answer}");
        assert!(answer.contains("connection: close"), "{request}{answer}");
    }
}

/// Guards against a process without descriptors when many callers connect and
/// send nothing, or half a head.
#[tokio::test]
async fn crowd_silent_connections_bounded() {
    let mut daemon = Daemon::start().await;
    let mut crowd = Vec::new();
    for caller in 0..SILENT_CROWD {
        let connecting = TcpStream::connect(daemon.address);
        let Ok(Ok(mut stream)) = timeout(IO_TIMEOUT, connecting).await else {
            break;
        };
        if caller % 2 == 0 {
            let head = head("x-more: 1");
            let half = &head.as_bytes()[..head.len() / 2];
            let _ = stream.write_all(half).await;
        }
        crowd.push(stream);
    }
    daemon.assert_sound().await;
    drop(crowd);
}

/// Guards against limits that a single request of the largest legal size
/// meets, whether its length is announced or not.
#[tokio::test]
async fn largest_body_served() {
    let mut daemon = Daemon::start().await;
    let mut body = vec![b' '; MAX_BODY_BYTES - 2];
    body.extend_from_slice(b"{}");
    let mut chunked = chunk(MAX_BODY_BYTES);
    chunked.splice(8..8 + MAX_BODY_BYTES, body.iter().copied());
    chunked.extend_from_slice(b"0\r\n\r\n");
    let length = format!("content-length: {MAX_BODY_BYTES}");
    let coding = "transfer-encoding: chunked".to_owned();
    for (header, body) in [(length, body), (coding, chunked)] {
        let mut stream = TcpStream::connect(daemon.address).await.unwrap();
        stream.write_all(head(&header).as_bytes()).await.unwrap();
        stream.write_all(&body).await.unwrap();
        let mut answer = vec![0; 4096];
        let len = stream.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..len]).into_owned();
        // The body was read and is JSON: no set is in force.
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("not-ready"), "{answer}");
    }
    daemon.assert_sound().await;
}
