//! Tests of splitting event streams.

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
    assert!(!splitter.is_resumable(), "a truncated event can't be resumed");
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
        let event = format!("id: 2\ndata: {}", "x".repeat(MAX_EVENT_BYTES));
        assert!(!splitter.push(event.as_bytes()).unwrap().is_empty());
        let end = format!("{rest}id: 3\n\n");
        splitter.push(end.as_bytes()).unwrap();
        assert_eq!(splitter.last_id(), Some("3"));
    }
}

/// Guards against an end of an event that is missed because it is spread over
/// several chunks, and against an endless event in chunks of one byte that
/// keeps the processor busy: searching all bytes again for each of them would
/// take minutes here.
#[test]
fn push_single_bytes() {
    let long = format!("id: 1\r\ndata: {}\r\n\r\n", "x".repeat(200_000));
    let stream = long + "id: 2\ndata: b\n\nid: 3\r\n";
    let mut splitter = EventSplitter::default();
    let mut complete = Vec::new();
    for byte in stream.as_bytes() {
        complete.extend(splitter.push(&[*byte]).unwrap());
    }
    assert_eq!(complete, &stream.as_bytes()[..stream.len() - 7]);
    assert_eq!(splitter.last_id(), Some("2"));
}
