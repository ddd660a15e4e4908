//! A stand-in of a model worker that answers with a stream of events.

use std::{
    io::{self, BufRead},
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    deployment::{Record, machine_ip},
    http::{self, Connection, Request},
    wire::name,
};

/// The time until the first event, and between two events.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(60);
const EVENT_GAP: Duration = Duration::from_millis(100);

/// A request that reached an engine.
pub struct Run {
    pub worker: String,
    pub attempt: String,
    pub inputs: String,
    /// When it came, in ms of the record.
    pub at_ms: u128,
}

/// The requests that reached the engines.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Returns an event of a stream.
pub fn event(id: usize) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

/// Of so many answers, a faulty engine sends one without a length: a share of
/// 0.05, the largest in the site file.
const UNFRAMED_ONE_IN: usize = 20;

/// How the end of a stream is marked.
#[derive(Clone, Copy)]
enum Framing {
    /// Chunks mark the end of a stream.
    Chunked,
    /// The end of the connection is the end of a stream.
    Unframed,
}

/// Serves streams of so many events.
pub fn serve(
    listener: TcpListener,
    worker: &str,
    events: usize,
    runs: &Runs,
    record: &Arc<Record>,
) {
    let (worker, runs) = (worker.to_owned(), Arc::clone(runs));
    let record = Arc::clone(record);
    http::serve(listener, move |connection| {
        while let Some(request) = http::read_request(&mut connection.reader)? {
            note(&worker, &line_of(&request), &runs, &record);
            answer(connection, &request, events, Framing::Chunked)?;
        }
        Ok(())
    });
}

fn line_of(request: &Request) -> String {
    format!(
        "{} after={:?} inputs={}",
        request.header(name("attempt")),
        request.header(name("last_event")),
        request.header(name("inputs"))
    )
}

fn note(worker: &str, line: &str, runs: &Runs, record: &Record) {
    record.add(&format!("engine {worker} gets {line}"));
    let (attempt, rest) = line.split_once(' ').unwrap_or((line, ""));
    let (_, inputs) = rest.split_once("inputs=").unwrap_or(("", ""));
    runs.lock().unwrap().push(Run {
        worker: worker.to_owned(),
        attempt: attempt.to_owned(),
        inputs: inputs.to_owned(),
        at_ms: record.now_ms(),
    });
}

fn answer(
    connection: &mut Connection,
    request: &Request,
    events: usize,
    framing: Framing,
) -> io::Result<()> {
    let after = request.header(name("last_event"));
    let first = after.parse::<usize>().map_or(0, |after| after + 1);
    thread::sleep(FIRST_EVENT_TIME);
    connection.send(&format!(
        "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: seal\r\n\
         Content-Type: text/event-stream\r\n{}\r\n\r\n",
        name("attempt"),
        request.header(name("attempt")),
        name("seal"),
        match framing {
            Framing::Chunked =>
                "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5",
            Framing::Unframed => "Connection: close",
        }
    ))?;
    for id in first..events {
        if connection.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let event = event(id);
        connection.send(&match framing {
            Framing::Chunked => format!("{:x}\r\n{event}\r\n", event.len()),
            Framing::Unframed => event,
        })?;
        thread::sleep(EVENT_GAP);
    }
    match framing {
        Framing::Chunked => connection.send("0\r\n\r\n"),
        Framing::Unframed => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Serves streams until this process is killed. The first line of output is
/// the address, the others are the requests.
pub fn run_process(
    ip: &str,
    events: usize,
    is_faulty: bool,
) -> io::Result<()> {
    let listener = TcpListener::bind((ip, 0))?;
    println!("{}", listener.local_addr()?);
    let answers = AtomicUsize::new(0);
    http::serve(listener, move |connection| {
        while let Some(request) = http::read_request(&mut connection.reader)? {
            println!("{}", line_of(&request));
            let number = answers.fetch_add(1, Ordering::SeqCst);
            let unframed =
                is_faulty && number % UNFRAMED_ONE_IN == UNFRAMED_ONE_IN / 2;
            let framing =
                if unframed { Framing::Unframed } else { Framing::Chunked };
            answer(connection, &request, events, framing)?;
        }
        Ok(())
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// An engine with a process of its own, which is killed when dropped.
pub struct EngineProcess {
    child: Child,
    pub address: SocketAddr,
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl EngineProcess {
    /// Starts an engine in a mode of the command line.
    pub fn start(
        mode: &str,
        worker: &str,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> io::Result<EngineProcess> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", mode, &machine_ip(200)])
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().expect("the output is piped");
        let mut lines = io::BufReader::new(output).lines();
        let line = lines.next().unwrap_or(Ok(String::new()))?;
        let address = line.parse().map_err(io::Error::other)?;
        let (worker, runs) = (worker.to_owned(), Arc::clone(runs));
        let record = Arc::clone(record);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                note(&worker, &line, &runs, &record);
            }
        });
        Ok(EngineProcess { child, address })
    }

    /// Kills the process, as a crash does.
    pub fn kill(&mut self) {
        // Fails if it was killed already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
