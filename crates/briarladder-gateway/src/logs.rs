//! Log lines that never delay a request.
//!
//! Lines go to a bounded queue and a thread writes them to standard output. If
//! the reader of the output stops, lines are dropped and their number is
//! written when it reads again.

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

/// Lines that wait to be written. At a few hundred bytes a line this bounds
/// the memory to about a megabyte.
const QUEUE_LINES: usize = 4096;

/// Lines written with one call.
const BATCH_LINES: usize = 64;

/// The longest wait for the last lines of a process that ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// What the writing thread is told.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// To be answered when all lines before are written.
    Flush(SyncSender<()>),
}

/// Writes each line without waiting.
#[derive(Debug)]
pub struct LineSender {
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

/// Waits for the lines that are not written yet.
#[derive(Clone, Debug)]
pub struct Flusher {
    lines: SyncSender<Message>,
}

impl Flusher {
    /// Waits until all lines so far are written, but not for long.
    pub fn flush(&self) {
        let (written, wait) = sync_channel(1);
        if self.lines.try_send(Message::Flush(written)).is_ok() {
            // A reader that has stopped must not keep the process.
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl LineSender {
    /// Returns what waits for the lines of this sender.
    #[must_use]
    pub fn flusher(&self) -> Flusher {
        Flusher { lines: self.lines.clone() }
    }
}

impl Write for LineSender {
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

/// Creates a sender and starts the thread that writes to `output`.
///
/// # Errors
///
/// If the thread can't be started.
pub fn start(output: impl Write + Send + 'static) -> io::Result<LineSender> {
    let (lines, waiting) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&waiting, &counter, output))?;
    Ok(LineSender { lines, dropped })
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
        // Nothing is left to report to if standard output is closed.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            return;
        }
        for written in flushed {
            // Who asked may not wait any more.
            let _ = written.send(());
        }
    }
}

/// Sets up logging to standard output, and returns what waits for the last
/// lines. `BRIARLADDER_LOG` sets the level.
///
/// # Errors
///
/// If the writer can't be started or logging was set up before.
pub fn init() -> anyhow::Result<Flusher> {
    let sender = start(io::stdout())?;
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

    /// Guards against a stop whose last lines are lost.
    #[test]
    fn flush_waits_for_lines() {
        let (release_sender, release) = channel();
        let (written, lines) = channel();
        let mut sender = start(Blocked { release, written }).unwrap();
        sender.write_all(b"last\n").unwrap();
        for _ in 0..3 {
            release_sender.send(()).unwrap();
        }
        sender.flusher().flush();
        let text: Vec<u8> = lines.try_iter().flatten().collect();
        assert_eq!(text, b"last\n");
    }

    /// Guards against a request that waits for the reader of the logs, and
    /// against lines that are lost without a trace.
    #[test]
    fn write_reader_stopped() {
        let (release_sender, release) = channel();
        let (written, lines) = channel();
        let mut sender = start(Blocked { release, written }).unwrap();
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
