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
//! let whole = splitter.push(b"id: 4\ndata: a\n\nid: 5\nda");
//! assert_eq!(whole, b"id: 4\ndata: a\n\n");
//! assert_eq!(splitter.last_id(), Some("4"));
//! splitter.discard_partial();
//! assert!(splitter.is_resumable());
//! assert!(!splitter.has_partial());
//! ```

/// Maximum size of an event that is buffered. A larger one is passed on as it
/// arrives, and its stream can't be resumed in the middle of it.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
    /// Part of an event was passed on and its end was not.
    truncated: bool,
}

impl EventSplitter {
    /// Adds received bytes and returns all bytes up to the end of the last
    /// complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let end = match last_event_end(&self.pending) {
            end if end > 0 => {
                self.truncated = false;
                end
            }
            _ if self.pending.len() > MAX_EVENT_BYTES => {
                self.truncated = true;
                self.pending.len()
            }
            _ => return Vec::new(),
        };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether another server may continue after the last event, which
    /// is the case unless part of an oversized event was passed on.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.truncated
    }

    /// Drops the incomplete event of a server that has failed.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
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

fn last_id(events: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(events);
    text.lines()
        .filter_map(|line| line.strip_prefix("id:"))
        .next_back()
        .map(|id| id.trim().to_owned())
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
            let mut complete = splitter.push(&stream[..cut]);
            complete.extend(splitter.push(&stream[cut..]));
            assert_eq!(complete, &stream[..30], "cut at {cut}");
            assert_eq!(splitter.last_id(), Some("2"));
            assert!(splitter.has_partial());
            assert_eq!(splitter.push(b"\n"), b"id: 3\n\n");
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
        let complete = splitter.push(b"id: 7\r\ndata: a\r\n\r\nid");
        assert_eq!(complete, b"id: 7\r\ndata: a\r\n\r\n");
        assert_eq!(splitter.last_id(), Some("7"));
    }

    /// Guards against memory use that grows with a stream without event
    /// boundaries.
    #[test]
    fn push_without_events() {
        let mut splitter = EventSplitter::default();
        let mut passed = 0;
        for _ in 0..400 {
            passed += splitter.push(&[b'x'; 1000]).len();
        }
        assert!(passed > 0);
        assert!(
            !splitter.is_resumable(),
            "a truncated event can't be resumed"
        );
        splitter.push(b"\n\n");
        assert!(splitter.is_resumable());
    }
}
