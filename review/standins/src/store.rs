//! A stand-in for the platform's store: items with revisions, pages, watches.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Request},
    wire::name,
};

/// The time of an answer of a store that isn't slow.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    changes: Vec<Change>,
    revision: u64,
}

/// A running store. Clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// How many times as long its answers take.
    slowness: AtomicU64,
    page_items: usize,
    /// The pages of listings that were read so far.
    pages: AtomicUsize,
}

impl Store {
    pub fn start(ip: &str, page_items: usize) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            slowness: AtomicU64::new(1),
            page_items,
            pages: AtomicUsize::new(0),
        });
        let store = Store { shared, address };
        let serving = store.clone();
        http::serve(listener, move |connection| serving.answer(connection));
        Ok(store)
    }

    /// Writes an item and returns its revision, which acknowledges it.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(base64(value.as_bytes())))
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.shared.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.changes.push(Change { key: key.to_owned(), revision, value });
        self.shared.changed.notify_all();
        revision
    }

    pub fn set_slowness(&self, times: u64) {
        self.shared.slowness.store(times, Ordering::SeqCst);
    }

    /// Returns how many pages of listings were read so far.
    pub fn pages(&self) -> usize {
        self.shared.pages.load(Ordering::SeqCst)
    }

    fn delay(&self) {
        let times = self.shared.slowness.load(Ordering::SeqCst);
        let times = u32::try_from(times).unwrap_or(u32::MAX);
        thread::sleep(ANSWER_TIME * times);
    }

    fn answer(&self, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = http::read_request(&mut connection.reader)? {
            let body = if request.path() == name("list") {
                // A page is read when its call arrives; its answer takes time.
                let after = request.query("after").unwrap_or("");
                let page = self.page(&percent_decoded(after));
                self.shared.pages.fetch_add(1, Ordering::SeqCst);
                self.delay();
                page
            } else if request.path() == name("watch") {
                let events = self.watch(&request);
                self.delay();
                events
            } else {
                connection.send(
                    "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
                )?;
                continue;
            };
            connection.send(&format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            ))?;
        }
        Ok(())
    }

    fn page(&self, after: &str) -> String {
        let state = self.shared.state.lock().unwrap();
        let mut newest: Vec<&Change> = state.changes.iter().collect();
        newest.sort_by(|a, b| {
            a.key.cmp(&b.key).then(b.revision.cmp(&a.revision))
        });
        newest.dedup_by(|later, first| later.key == first.key);
        let rest: Vec<&Change> = newest
            .into_iter()
            .filter(|change| *change.key > *after && change.value.is_some())
            .collect();
        let more = rest.len() > self.shared.page_items;
        let items: Vec<String> = rest
            .iter()
            .take(self.shared.page_items)
            .map(|c| item(c))
            .collect();
        format!(
            r#"{{"items":[{}],"{}":{more},"{}":{}}}"#,
            items.join(","),
            name("more"),
            name("store_revision"),
            state.revision
        )
    }

    fn watch(&self, request: &Request) -> String {
        let number = |name: &str| -> u64 {
            request.query(name).and_then(|v| v.parse().ok()).unwrap_or(0)
        };
        let after = number("after");
        let until =
            Instant::now() + Duration::from_millis(number(name("wait")));
        let mut state = self.shared.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|change| change.revision > after)
                .map(item)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"{}":{}}}"#,
                    events.join(","),
                    name("store_revision"),
                    state.revision
                );
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(change: &Change) -> String {
    let Change { key, revision, value } = change;
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
        ),
        None => format!(
            r#"{{"key":"{key}","revision":{revision},"{}":true}}"#,
            name("removed")
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(*group.get(at).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn percent_decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at_checked(2).unwrap_or((part, ""));
        match u8::from_str_radix(code, 16) {
            Ok(byte) => bytes.push(byte),
            Err(_) => bytes.extend(code.bytes()),
        }
        bytes.extend(rest.bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
