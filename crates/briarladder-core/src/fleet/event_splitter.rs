//! Splits an event stream where another server may continue it, and tells
//! whether a stream ends within an event.
//!
//! A server may fail in the middle of an event. Only complete events are
//! passed on, so that another server can continue after the last one without a
//! truncated or duplicated event.
//!
//! # Example
//!
//! ```
//! use briarladder_core::fleet::event_splitter::EventSplitter;
//!
//! let mut splitter = EventSplitter::default();
//! let whole = splitter.push(b"id: 4\ndata: a\n\nid: 5\nda")?;
//! assert_eq!(whole, b"id: 4\ndata: a\n\n");
//! assert_eq!(splitter.last_id(), Some("4"));
//! splitter.begin_resume();
//! assert!(!splitter.has_partial());
//! assert!(splitter.push(b"id: 0\ndata: z\n\n").is_err());
//! # Ok::<(), briarladder_core::fleet::event_splitter::WrongEvent>(())
//! ```

use derive_more::{Display, Error};

use super::event_sequence::EventSequence;

/// Maximum size of an event that is buffered. A larger one is passed on as it
/// arrives, and its stream can't be resumed in the middle of it.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The first event of a server that resumes a stream does not follow the last
/// one before.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the stream was not resumed after its last event")]
pub struct WrongEvent;

/// Splits a byte stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    sequence: EventSequence,
    /// The next event is the first one of a server that resumes the stream.
    resuming: bool,
    /// Part of an event was passed on and its end was not.
    truncated: bool,
    /// The last event that was passed on has no id.
    unnumbered: bool,
}

impl EventSplitter {
    /// Adds received bytes and returns all bytes up to the end of the last
    /// complete event.
    ///
    /// # Errors
    ///
    /// If they begin with an event that does not continue the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, WrongEvent> {
        self.pending.extend_from_slice(bytes);
        let within_event = self.truncated;
        let end = match last_event_end(&self.pending) {
            end if end > 0 => {
                self.truncated = false;
                end
            }
            _ if self.pending.len() > MAX_EVENT_BYTES => {
                self.truncated = true;
                self.pending.len()
            }
            _ => return Ok(Vec::new()),
        };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        let text = String::from_utf8_lossy(&complete);
        // The rest of an oversized event has no id of its own.
        let blocks = blocks(&text).skip(usize::from(within_event));
        for event in blocks.filter(|block| block.has_fields) {
            self.record_event(&event)?;
        }
        Ok(complete)
    }

    fn record_event(&mut self, event: &Block<'_>) -> Result<(), WrongEvent> {
        if self.resuming && !self.sequence.goes_on_with(event.id) {
            return Err(WrongEvent);
        }
        self.resuming = false;
        self.unnumbered = event.id.is_none();
        if let Some(id) = event.id {
            self.sequence.record(id);
        }
        Ok(())
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.sequence.last_id()
    }

    /// Returns whether part of an oversized event was passed on and its end was
    /// not.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }

    /// Returns whether another server can continue after the last event, which
    /// is the case unless that event has no id, or only part of it was passed
    /// on.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.truncated && !self.unnumbered
    }

    /// Prepares for the events of another server: drops the incomplete event
    /// of the one that has failed. The next event must follow the last one.
    pub fn begin_resume(&mut self) {
        self.pending.clear();
        self.resuming = true;
    }

    /// Returns whether part of an event is buffered or was passed on. A stream
    /// that ends there has broken off.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        self.truncated || !self.pending.is_empty()
    }
}

/// Tells whether a stream that is passed on as it arrives is between two
/// events.
///
/// # Example
///
/// ```
/// use briarladder_core::fleet::event_splitter::EventBoundary;
///
/// let mut boundary = EventBoundary::default();
/// boundary.push(b"id: 4\ndata: a\n\nid");
/// assert!(!boundary.is_between_events());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    /// The last bytes, as many as the longest end of an event has.
    tail: [u8; 4],
    has_bytes: bool,
}

impl EventBoundary {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.has_bytes |= !bytes.is_empty();
        let start = bytes.len().saturating_sub(self.tail.len());
        for byte in &bytes[start..] {
            self.tail.rotate_left(1);
            self.tail[3] = *byte;
        }
    }

    /// Returns whether bytes were received.
    #[must_use]
    pub fn has_bytes(&self) -> bool {
        self.has_bytes
    }

    /// Returns whether the last event is complete, or none has begun.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        !self.has_bytes || last_event_end(&self.tail) == self.tail.len()
    }
}

/// Returns the position after the last blank line, or 0 if there is none.
fn last_event_end(bytes: &[u8]) -> usize {
    let after_lf = end_of_last(bytes, b"\n\n");
    let after_crlf = end_of_last(bytes, b"\r\n\r\n");
    after_lf.max(after_crlf)
}

fn end_of_last(bytes: &[u8], end: &[u8]) -> usize {
    bytes
        .windows(end.len())
        .rposition(|window| window == end)
        .map_or(0, |at| at + end.len())
}

/// The lines up to a blank line: an event, or only comments.
#[derive(Clone, Copy, Debug, Default)]
struct Block<'a> {
    id: Option<&'a str>,
    has_fields: bool,
}

fn blocks(text: &str) -> impl Iterator<Item = Block<'_>> {
    let mut block = Block::default();
    let lines = text.lines().chain(std::iter::once(""));
    lines.filter_map(move |line| {
        if line.is_empty() {
            return Some(std::mem::take(&mut block));
        }
        if let Some(id) = line.strip_prefix("id:") {
            block.id = Some(id.trim());
        }
        block.has_fields |= !line.starts_with(':');
        None
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against truncated events, wherever the connection splits the
    /// stream.
    #[test]
    fn push_every_cut() {
        let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n";
        for cut in 0..stream.len() {
            let mut splitter = EventSplitter::default();
            let mut complete = splitter.push(&stream[..cut]).unwrap();
            complete.extend(splitter.push(&stream[cut..]).unwrap());
            assert_eq!(complete, &stream[..30], "cut at {cut}");
            assert_eq!(splitter.last_id(), Some("2"));
            assert!(splitter.has_partial());
            assert_eq!(splitter.push(b"\n").unwrap(), b"id: 3\n\n");
            assert!(!splitter.has_partial());
        }
    }

    /// Guards against a stream that ends within an event and counts as
    /// complete, wherever the connection splits it.
    #[test]
    fn is_between_events_every_cut() {
        for end in ["\n\n", "\r\n\r\n"] {
            let event = format!("id: 1{}data: a{end}", &end[..end.len() / 2]);
            let stream = event.repeat(2);
            for cut in 0..=stream.len() {
                for split in 0..=cut {
                    let mut boundary = EventBoundary::default();
                    boundary.push(&stream.as_bytes()[..split]);
                    boundary.push(&stream.as_bytes()[split..cut]);
                    let between = cut % event.len() == 0;
                    assert_eq!(boundary.is_between_events(), between);
                    assert_eq!(boundary.has_bytes(), cut > 0);
                }
            }
        }
    }

    /// Guards against events that are held back because of CRLF line endings.
    #[test]
    fn push_crlf() {
        let mut splitter = EventSplitter::default();
        let stream = b"id: 7\r\ndata: a\r\n\r\nid";
        let complete = splitter.push(stream).unwrap();
        assert_eq!(complete, b"id: 7\r\ndata: a\r\n\r\n");
        assert_eq!(splitter.last_id(), Some("7"));
    }

    /// Guards against memory use that grows with a stream without event
    /// boundaries.
    #[test]
    fn push_without_events() {
        let mut splitter = EventSplitter::default();
        splitter.push(b"id: 1\ndata: ").unwrap();
        let mut passed = 0;
        for _ in 0..400 {
            passed += splitter.push(&[b'x'; 1000]).unwrap().len();
        }
        assert!(passed > 0);
        assert!(
            !splitter.is_resumable(),
            "a truncated event can't be resumed"
        );
        splitter.push(b"\n\n").unwrap();
        assert!(splitter.is_resumable());
    }

    /// Guards against a resume that is refused because a comment comes before
    /// its first event, and against one with a text that is no event.
    #[test]
    fn push_resumed() {
        let resumed = |bytes: &[u8]| {
            let mut splitter = EventSplitter::default();
            splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
            splitter.begin_resume();
            splitter.push(bytes)
        };
        let sound = b": hello\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        assert_eq!(resumed(sound).unwrap(), sound);
        assert_eq!(resumed(b"server failed\n\n"), Err(WrongEvent));
        assert_eq!(resumed(b"data: b\n\n"), Err(WrongEvent));
        assert_eq!(resumed(b"id: 1\ndata: a\n\n"), Err(WrongEvent));
    }

    /// Guards against the rest of an oversized event that is taken for an
    /// event without an id, and against the next one that is overlooked.
    #[test]
    fn push_resumed_oversized() {
        for rest in ["y\n\n", "\n\n"] {
            let mut splitter = EventSplitter::default();
            splitter.push(b"id: 1\n\n").unwrap();
            splitter.begin_resume();
            let event =
                format!("id: 2\ndata: {}", "x".repeat(MAX_EVENT_BYTES));
            assert!(!splitter.push(event.as_bytes()).unwrap().is_empty());
            let end = format!("{rest}id: 3\n\n");
            splitter.push(end.as_bytes()).unwrap();
            assert_eq!(splitter.last_id(), Some("3"));
        }
    }
}
