//! Non-blocking logging.
//!
//! Lines go to a bounded queue and a thread writes them to standard output. If
//! the reader of standard output stalls, lines are dropped, and their number
//! is logged once it reads again.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

/// Capacity of the queue. At a few hundred bytes per line it holds about a
/// megabyte.
const QUEUE_LINES: usize = 4096;

/// Most lines written with one call.
const BATCH_LINES: usize = 64;

/// Timeout for writing the last lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// A message to the writer thread.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// A request to reply once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Queues log lines without blocking; drops them if the queue is full.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

/// Waits until queued lines are written.
#[derive(Clone, Debug)]
pub struct LogFlusher {
    lines: SyncSender<Message>,
}

impl LogFlusher {
    /// Waits until all lines queued so far are written, but only for a short
    /// time.
    pub fn flush(&self) {
        let (written, wait) = sync_channel(1);
        if self.lines.try_send(Message::Flush(written)).is_ok() {
            // A stalled reader must not keep the process from exiting.
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl LogWriter {
    /// Returns a flusher for the lines of this writer.
    #[must_use]
    pub fn flusher(&self) -> LogFlusher {
        LogFlusher { lines: self.lines.clone() }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(Message::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a thread that writes to `output`, and returns the sender of its
/// lines.
///
/// # Errors
///
/// If the thread can't be started.
pub fn spawn_writer(
    output: impl Write + Send + 'static,
) -> io::Result<LogWriter> {
    let (lines, waiting) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&waiting, &counter, output))?;
    Ok(LogWriter { lines, dropped })
}

fn write_lines(
    waiting: &Receiver<Message>,
    dropped: &AtomicU64,
    mut output: impl Write,
) {
    while let Ok(first) = waiting.recv() {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        let more = waiting.try_iter().take(BATCH_LINES);
        for message in std::iter::once(first).chain(more) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(written) => flushed.push(written),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!("logs: dropped={lost} reason=queue_full\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // If standard output is closed, there is nowhere to report the error.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            return;
        }
        for written in flushed {
            // The flush may have timed out.
            let _ = written.send(());
        }
    }
}

/// Initializes logging to standard output and returns the flusher of its
/// lines. `BRIARLADDER_LOG` sets the level.
///
/// # Errors
///
/// If the thread cannot be started or a logger is already installed.
pub fn init() -> anyhow::Result<LogFlusher> {
    let sender = spawn_writer(io::stdout())?;
    let flusher = sender.flusher();
    let env = env_logger::Env::new().filter_or("BRIARLADDER_LOG", "info");
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let at = out.timestamp_millis();
            writeln!(out, "{at} {} {}", record.level(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(sender)))
        .try_init()?;
    Ok(flusher)
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::{Sender, channel};

    use super::*;

    struct Blocked {
        release: Receiver<()>,
        written: Sender<Vec<u8>>,
    }

    impl Write for Blocked {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.release.recv().map_err(io::Error::other)?;
            self.written.send(bytes.to_vec()).map_err(io::Error::other)?;
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards against losing the last lines of a process that exits.
    #[test]
    fn flush_waits_for_lines() {
        let (release_sender, release) = channel();
        let (written, lines) = channel();
        let mut sender = spawn_writer(Blocked { release, written }).unwrap();
        sender.write_all(b"last\n").unwrap();
        for _ in 0..3 {
            release_sender.send(()).unwrap();
        }
        sender.flusher().flush();
        let text: Vec<u8> = lines.try_iter().flatten().collect();
        assert_eq!(text, b"last\n");
    }

    /// Guards against a request that blocks on a stalled reader of the logs,
    /// and against dropped lines that are not reported.
    #[test]
    fn write_with_stalled_reader() {
        let (release_sender, release) = channel();
        let (written, lines) = channel();
        let mut sender = spawn_writer(Blocked { release, written }).unwrap();
        for _ in 0..QUEUE_LINES + 500 {
            sender.write_all(b"line\n").unwrap();
        }
        let mut text = Vec::new();
        while !String::from_utf8_lossy(&text).contains("dropped=") {
            release_sender.send(()).unwrap();
            text.extend(lines.recv().unwrap());
        }
    }
}
