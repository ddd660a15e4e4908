//! Daemon processes, and what a case records.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    store::Store,
    wire::{self, name},
};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/briarladderd";

/// What was sent, answered and run, with times in ms.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record { file, started_at: Instant::now() })
    }

    pub fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    pub fn add(&self, line: &str) {
        let text = format!("{:>6} {line}\n", self.now_ms());
        // A record that can't be written changes no result.
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
}

/// Returns a loopback address for one machine of this run.
pub fn machine_ip(machine: u8) -> String {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    Ipv4Addr::new(127, 20 + high % 200, low, machine).to_string()
}

/// A daemon process, which is killed when dropped.
pub struct Daemon {
    child: Child,
    folder: PathBuf,
    name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts a daemon as the deploy file does.
    pub fn start(
        folder: &Path,
        machine: u8,
        seeds: &[u8],
        store: &Store,
    ) -> io::Result<Daemon> {
        let ip = machine_ip(machine);
        let daemon_name = format!("front-recife-a-{machine}");
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}:8628\"", machine_ip(*seed)))
            .collect();
        let text = wire::settings(&[
            ("NAME", &daemon_name),
            ("IP", &ip),
            ("FRONT", "8625"),
            ("READY", "8621"),
            ("CONTROL", "8628"),
            ("SEEDS", &seeds.join(",")),
            ("STORE", &store.address.to_string()),
        ]);
        fs::write(folder.join(format!("{daemon_name}.toml")), text)?;
        let address = |port| SocketAddr::new(ip.parse().unwrap(), port);
        let daemon = Daemon {
            child: spawn(folder, &daemon_name)?,
            folder: folder.to_owned(),
            name: daemon_name,
            callers: address(8625),
            readiness: address(8621),
        };
        Ok(daemon)
    }

    /// Stops the process as planned work does, with a signal.
    pub fn stop(&mut self) -> io::Result<()> {
        let id = self.child.id();
        Command::new("sh")
            .arg("-c")
            .arg(format!("kill -TERM {id}"))
            .status()?;
        self.child.wait()?;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts the process again.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.folder, &self.name)?;
        Ok(())
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let request = format!(
            "GET {} HTTP/1.1\r\nhost: daemon\r\nconnection: close\r\n\r\n",
            name("ready")
        );
        while Instant::now() < until {
            let limit = Duration::from_secs(1);
            if http::exchange(self.readiness, &request, limit).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

fn spawn(folder: &Path, daemon_name: &str) -> io::Result<Child> {
    let log = File::options()
        .append(true)
        .create(true)
        .open(folder.join(format!("{daemon_name}.log")))?;
    Command::new(PROGRAM)
        .arg("platform")
        .env(
            name("settings_variable"),
            folder.join(format!("{daemon_name}.toml")),
        )
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// A request of a client.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub deadline_ms: u32,
    /// Further header lines, each with its end.
    pub headers: &'a str,
}

impl ClientRequest<'_> {
    pub fn text(&self) -> String {
        let body = if self.method == "POST" { "pedido" } else { "" };
        format!(
            "{} {} HTTP/1.1\r\nHost: loja.example\r\n{}: {}\r\n{}: {}\r\n\
             Authorization: Token k1\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.method,
            self.path,
            name("attempt"),
            self.attempt,
            name("deadline"),
            self.deadline_ms,
            self.headers,
            body.len()
        )
    }

    /// Sends the request on a new connection and waits for its answer.
    pub fn send(&self, daemon: SocketAddr) -> Answer {
        let limit = Duration::from_millis(u64::from(self.deadline_ms) + 1500);
        http::exchange(daemon, &self.text(), limit)
    }
}

/// Publishes the entry of a worker.
pub fn publish(
    store: &Store,
    id: &str,
    service: &str,
    address: SocketAddr,
    state: &str,
) -> u64 {
    let slots = if service == "acervo" { "1" } else { "64" };
    let entry = wire::entry(&[
        ("SERVICE", service),
        ("ADDRESS", &address.to_string()),
        ("SLOTS", slots),
        ("STATE", state),
    ]);
    store.put(&format!("{}{id}", name("server_prefix")), &entry)
}

/// Opens the listening socket of a worker.
pub fn worker_listener() -> io::Result<TcpListener> {
    TcpListener::bind((machine_ip(200), 0))
}
