//! A server answers a long request before it has read it, without a length,
//! and breaks the answer off: it ends its direction of the connection and
//! resets the connection a moment later.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use anyhow::bail;
use briarladder_platform_standins::{Store, WorkerEntry};
use review_cases_2::{
    CONTACT, Call, Daemon, Record, answer, exit_code, has_trouble,
    machine_addresses, name, new_attempt, read_message, show, start_store,
    temporary_folder,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

/// The largest request of the site.
const REQUEST_BYTES: usize = 100_000;

const REQUESTS: usize = 600;

/// The mean answer of the site.
const ANSWER_BYTES: usize = 800;

/// One of the servers breaks answers off.
const SERVERS: usize = 3;

/// It breaks off each answer after so many.
const BREAKS_EACH: usize = 50;

/// What it has read of a request when it breaks the answer off.
const READ_BYTES: usize = 20_000;

/// The window of a server, which is small on the users' links.
const WINDOW_BYTES: u32 = 16 * 1024;

/// The time from the end of its direction to the reset.
const RESET_AFTER: Duration = Duration::from_millis(300);

/// The whole body of the answer to an attempt.
fn whole_body(attempt: &str) -> Vec<u8> {
    attempt.bytes().cycle().take(ANSWER_BYTES).collect()
}

/// The attempts whose answers were broken off.
type Broken = Arc<Mutex<Vec<String>>>;

struct Server {
    breaks: bool,
    answers: AtomicUsize,
    broken: Broken,
    record: Record,
}

impl Server {
    async fn start(
        number: usize,
        store: &Store,
        broken: &Broken,
        record: &Record,
    ) -> anyhow::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(WINDOW_BYTES)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(128)?;
        let id = format!("i-{number:08x}");
        let address = listener.local_addr()?;
        let server = Arc::new(Server {
            breaks: has_trouble() && number == 0,
            answers: AtomicUsize::new(0),
            broken: Arc::clone(broken),
            record: record.clone(),
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Arc::clone(&server);
                tokio::spawn(async move {
                    // The daemon may close its connections at any time.
                    let _ = server.serve(stream).await;
                });
            }
        });
        store.put_worker(&WorkerEntry::ready(&id, "desk", address));
        Ok(())
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let mut start = vec![0; READ_BYTES];
            let breaks = {
                let number = self.answers.fetch_add(1, Ordering::SeqCst);
                self.breaks && number % BREAKS_EACH == BREAKS_EACH - 1
            };
            if !breaks {
                let Some(request) = read_message(&mut stream).await? else {
                    self.answers.fetch_sub(1, Ordering::SeqCst);
                    return Ok(());
                };
                let attempt = request.attempt();
                let headers =
                    [(name("attempt"), attempt), (name("seal"), "3e1b.07")];
                sleep(Duration::from_millis(30)).await;
                let bytes = answer(200, &headers, &whole_body(attempt));
                stream.write_all(&bytes).await?;
                continue;
            }
            if stream.read_exact(&mut start).await.is_err() {
                self.answers.fetch_sub(1, Ordering::SeqCst);
                return Ok(());
            }
            let head = String::from_utf8_lossy(&start).into_owned();
            let attempt = head
                .lines()
                .filter_map(|line| line.split_once(": "))
                .find(|(key, _)| key.eq_ignore_ascii_case(name("attempt")))
                .map(|(_, value)| value.trim().to_owned())
                .unwrap_or_default();
            let part = whole_body(&attempt)[..ANSWER_BYTES / 2].to_vec();
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}: {attempt}\r\n{}: 3e1b.07\r\n\r\n",
                name("attempt"),
                name("seal"),
            );
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&part).await?;
            self.record.say(&format!(
                "a server has read {READ_BYTES} bytes of attempt {attempt}, \
                 sends {} of the {ANSWER_BYTES} bytes of its answer, without \
                 a length, and breaks it off",
                part.len()
            ));
            self.broken.lock().unwrap().push(attempt);
            stream.shutdown().await?;
            sleep(RESET_AFTER).await;
            return stream.set_zero_linger();
        }
    }
}

async fn run() -> anyhow::Result<bool> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_default());
    let record = Record::create(&folder)?;
    record.say(&format!("trouble: {}", has_trouble()));
    let files = temporary_folder()?;
    let store = start_store().await?;
    let broken = Broken::default();
    for number in 0..SERVERS {
        Server::start(number, &store, &broken, &record).await?;
    }
    let machines = machine_addresses(1);
    let mut daemon = Daemon::new(
        files.path(),
        "front-1",
        "zone-a",
        machines[0],
        &machines,
        &store,
    )?;
    daemon.start()?;
    daemon.wait_ready().await?;
    sleep(CONTACT + Duration::from_millis(500)).await;
    let body = vec![b'o'; REQUEST_BYTES];
    let mut wrong = 0;
    let mut whole = 0;
    let mut failed = 0;
    let mut caller = TcpStream::connect(daemon.callers()).await?;
    for _ in 0..REQUESTS {
        let call = Call {
            path: "/order/1",
            deadline_ms: 1500,
            pieces: None,
            body: &body,
        };
        let attempt = new_attempt();
        let answer = call.send_on(&mut caller, &attempt).await;
        let was_broken = broken.lock().unwrap().contains(&attempt);
        match &answer {
            Some(answer) if answer.status() == Some(200) => {
                if answer.body == whole_body(&attempt) {
                    whole += 1;
                } else {
                    wrong += 1;
                    record.say(&format!(
                        "attempt {attempt}: the caller gets status 200 with \
                         {} bytes and the end of the answer",
                        answer.body.len()
                    ));
                }
            }
            _ => failed += 1,
        }
        if was_broken {
            record
                .say(&format!("attempt {attempt}: {}", show(answer.as_ref())));
        }
        let closes = answer.is_none_or(|answer| {
            answer.header("connection").is_some_and(|c| c.contains("close"))
        });
        if closes {
            caller = TcpStream::connect(daemon.callers()).await?;
        }
    }
    record.say(&format!(
        "requests {REQUESTS}: whole {whole}, other answers {failed}, broken \
         off by the server {}, passed on as whole though only a part: {wrong}",
        broken.lock().unwrap().len()
    ));
    if whole == 0 || (has_trouble() && broken.lock().unwrap().is_empty()) {
        bail!("the case was not played");
    }
    Ok(wrong > 0)
}

fn main() -> ExitCode {
    exit_code(run())
}
