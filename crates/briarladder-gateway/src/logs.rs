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
};

/// Lines that wait to be written. At a few hundred bytes a line this bounds
/// the memory to about a megabyte.
const QUEUE_LINES: usize = 4096;

/// Lines written with one call.
const BATCH_LINES: usize = 64;

/// Writes each line without waiting.
#[derive(Debug)]
pub struct LineSender {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineSender {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
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
    waiting: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    mut output: impl Write,
) {
    while let Ok(first) = waiting.recv() {
        let mut batch = first;
        for line in waiting.try_iter().take(BATCH_LINES) {
            batch.extend_from_slice(&line);
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
    }
}

/// Sets up logging to standard output. `BRIARLADDER_LOG` sets the level.
///
/// # Errors
///
/// If the writer can't be started or logging was set up before.
pub fn init() -> anyhow::Result<()> {
    let sender = start(io::stdout())?;
    let env = env_logger::Env::new().filter_or("BRIARLADDER_LOG", "info");
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let at = out.timestamp_millis();
            writeln!(out, "{at} {} {}", record.level(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(sender)))
        .try_init()?;
    Ok(())
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
