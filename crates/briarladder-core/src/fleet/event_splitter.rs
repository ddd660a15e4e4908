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

/// The length of the longest end of an event, two line ends.
const MAX_END_LEN: usize = 4;

/// The first event of a server that resumes a stream does not follow the last
/// one before.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the stream was not resumed after its last event")]
pub struct WrongEvent;

/// Splits a byte stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// The first bytes of `pending` that have no end of an event. They are not
    /// searched again: a server may send an event in chunks of one byte.
    searched_len: usize,
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
        // An end may begin in the bytes that were searched.
        let start = self.searched_len.saturating_sub(MAX_END_LEN - 1);
        let end = match last_event_end(&self.pending[start..]) {
            end if end > 0 => {
                self.truncated = false;
                start + end
            }
            _ if self.pending.len() > MAX_EVENT_BYTES => {
                self.truncated = true;
                self.pending.len()
            }
            _ => {
                self.searched_len = self.pending.len();
                return Ok(Vec::new());
            }
        };
        let rest = self.pending.split_off(end);
        self.searched_len = rest.len();
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
        self.searched_len = 0;
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
    tail: [u8; MAX_END_LEN],
    has_bytes: bool,
}

impl EventBoundary {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.has_bytes |= !bytes.is_empty();
        let start = bytes.len().saturating_sub(self.tail.len());
        for byte in &bytes[start..] {
            self.tail.rotate_left(1);
            self.tail[MAX_END_LEN - 1] = *byte;
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
mod tests;
