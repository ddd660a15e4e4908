//! Splits a stream of server-sent events into the data of each event.
//!
//! Only `data` is of interest: names, identifiers and retry times of events
//! are skipped. This decoder exists because eventsource-stream allocates
//! several strings for each event and moves the rest of its buffer at each
//! line, a fifth of the daemon's instructions for each token.

/// Data that is longer than the decoder takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TooLong;

/// A decoder of one stream.
#[derive(Debug)]
pub(super) struct EventDecoder {
    /// Bytes that were received; those before `read` are done with.
    buffer: Vec<u8>,
    read: usize,
    /// The data of the event that is being read, or of the one returned
    /// last.
    data: Vec<u8>,
    has_data: bool,
    returned: bool,
    at_start: bool,
    max_bytes: usize,
}

impl EventDecoder {
    /// Creates a decoder that takes events up to a size. It holds at most
    /// that and the bytes of one call to [`EventDecoder::push`].
    pub(super) fn new(max_bytes: usize) -> EventDecoder {
        EventDecoder {
            buffer: Vec::new(),
            read: 0,
            data: Vec::new(),
            has_data: false,
            returned: false,
            at_start: true,
            max_bytes,
        }
    }

    /// Takes received bytes. Call [`EventDecoder::next`] until it returns
    /// nothing before the next call, so that little is kept.
    ///
    /// # Errors
    ///
    /// Returns an error when one event is too long.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buffer.drain(..self.read);
        self.read = 0;
        if self.buffer.len() + self.data.len() > self.max_bytes {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the data of the next complete event.
    pub(super) fn next(&mut self) -> Option<&[u8]> {
        if self.returned {
            self.returned = false;
            self.has_data = false;
            self.data.clear();
        }
        self.skip_byte_order_mark()?;
        loop {
            let rest = &self.buffer[self.read..];
            let len = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
            let end = match &rest[len..] {
                // Only the next byte tells whether the line ends here.
                [b'\r'] => return None,
                [b'\r', b'\n', ..] => len + 2,
                _ => len + 1,
            };
            let line = &rest[..len];
            self.read += end;
            if line.is_empty() {
                if self.has_data {
                    self.returned = true;
                    return Some(&self.data);
                }
            } else if let Some(value) = data_of(line) {
                if self.has_data {
                    self.data.push(b'\n');
                }
                self.has_data = true;
                self.data.extend_from_slice(value);
            }
        }
    }

    /// Skips the mark that a stream may begin with. Returns nothing if
    /// more bytes are needed to recognise it.
    fn skip_byte_order_mark(&mut self) -> Option<()> {
        const MARK: &[u8] = "\u{feff}".as_bytes();
        if self.at_start {
            if self.buffer.len() < MARK.len() && MARK.starts_with(&self.buffer)
            {
                return None;
            }
            self.at_start = false;
            if self.buffer.starts_with(MARK) {
                self.read = MARK.len();
            }
        }
        Some(())
    }
}

/// Returns the value of a line with the field `data`.
fn data_of(line: &[u8]) -> Option<&[u8]> {
    let rest = line.strip_prefix(b"data")?;
    match rest {
        [] => Some(rest),
        [b':', value @ ..] => Some(value.strip_prefix(b" ").unwrap_or(value)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decode(chunks: &[&[u8]]) -> Vec<String> {
        let mut decoder = EventDecoder::new(1 << 10);
        let mut events = Vec::new();
        for chunk in chunks {
            decoder.push(chunk).unwrap();
            while let Some(data) = decoder.next() {
                events.push(String::from_utf8(data.to_vec()).unwrap());
            }
        }
        events
    }

    /// Guards against lost or torn events: every kind of line end, fields
    /// that are skipped, data of several lines, and an unfinished event,
    /// cut at every place of the stream.
    #[test]
    fn next_finds_events_across_any_cut() {
        let stream = "\u{feff}data: é1\n\n: comment\nid: 4\nevent: x\n\
                      data:2\r\n\r\ndata: 3\rdata: 4\r\rdatabase: 5\n\n\
                      event: empty\n\ndata\n\nretry: 1\ndata:  6\n\ndata: 7";
        let stream = stream.as_bytes();
        let expected = ["é1", "2", "3\n4", "", " 6"];
        assert_eq!(decode(&[stream]), expected);
        for cut in 0..=stream.len() {
            let (head, tail) = stream.split_at(cut);
            assert_eq!(decode(&[head, tail]), expected, "cut at {cut}");
        }
        let bytes: Vec<&[u8]> = stream.chunks(1).collect();
        assert_eq!(decode(&bytes), expected);
    }

    /// Guards against a stream without line ends, or an event without an
    /// end, that fills the memory.
    #[test]
    fn push_bounds_one_event() {
        for line in ["data: 0123456789", "data: 0123456789\n"] {
            let mut decoder = EventDecoder::new(64);
            let mut pushed = 0;
            while decoder.push(line.as_bytes()).is_ok() {
                assert_eq!(decoder.next(), None);
                pushed += 1;
                assert!(pushed < 10, "{line:?}");
            }
        }
        // The bound is for one event, not for the stream.
        let mut decoder = EventDecoder::new(64);
        for _ in 0..100 {
            decoder.push(b"data: 0123456789\n\n").unwrap();
            assert_eq!(decoder.next(), Some(&b"0123456789"[..]));
            assert_eq!(decoder.next(), None);
        }
    }
}
