//! Backend servers that have asked for no more work.
//!
//! A server says in its answers that it leaves, or, as it turns a request
//! away, for how long it wants no other. Both hold for this daemon at once,
//! whatever the platform lists and whether or not it can be asked.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::{bars::Bars, server::ListedServer};
//!
//! let now = Instant::now();
//! let server = ListedServer::new("s-1", "plans", "10.0.0.1:80".parse()?);
//! let mut bars = Bars::default();
//! bars.wants_none_for(now, &server, Duration::from_secs(2));
//! assert!(!bars.is_open(now, &server));
//! assert!(bars.is_open(now + Duration::from_secs(2), &server));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::server::ListedServer;

/// A server is kept without work for no longer than this at its own word. No
/// request of a caller lasts as long.
const LONGEST_PAUSE: Duration = Duration::from_mins(1);

/// Servers that leave are remembered for this long. One that has left comes
/// back as another run.
const LEAVING_FOR: Duration = Duration::from_mins(10);

/// What one server has asked for.
#[derive(Clone, Copy, Debug)]
struct Bar {
    /// The run of the server that asked.
    born_ms: u64,
    /// Whether it leaves, or else only wants a pause.
    leaving: bool,
    until: Instant,
}

/// The servers that have asked for no work.
#[derive(Clone, Debug, Default)]
pub struct Bars {
    by_server: SortedMap<Arc<str>, Bar>,
    changes: u64,
}

impl Bars {
    /// Records that a server said that it leaves. Returns whether that was
    /// news.
    pub fn leaves(&mut self, now: Instant, server: &ListedServer) -> bool {
        self.bar(now, server, true, now + LEAVING_FOR)
    }

    /// Records that a server wants no request for a while. Returns whether
    /// that was news.
    pub fn wants_none_for(
        &mut self,
        now: Instant,
        server: &ListedServer,
        pause: Duration,
    ) -> bool {
        self.bar(now, server, false, now + pause.min(LONGEST_PAUSE))
    }

    fn bar(
        &mut self,
        now: Instant,
        server: &ListedServer,
        leaving: bool,
        until: Instant,
    ) -> bool {
        let open = self.is_open(now, server);
        let known = self.bar_of(server).map(|bar| bar.until);
        if known.is_none_or(|known| known < until) {
            self.by_server.retain(|_, bar| now < bar.until);
            let bar = Bar { born_ms: server.born_ms, leaving, until };
            self.by_server.insert(Arc::clone(&server.name), bar);
            self.changes += 1;
        }
        open
    }

    fn bar_of(&self, server: &ListedServer) -> Option<&Bar> {
        let bar = self.by_server.get(&*server.name)?;
        (bar.born_ms == server.born_ms).then_some(bar)
    }

    /// Returns whether a server takes requests, as far as it has said.
    #[must_use]
    pub fn is_open(&self, now: Instant, server: &ListedServer) -> bool {
        self.bar_of(server).is_none_or(|bar| bar.until <= now)
    }

    /// Returns whether a server has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, server: &ListedServer) -> bool {
        self.bar_of(server).is_some_and(|bar| bar.leaving)
    }

    /// Returns the end of the pause that a server has asked for.
    #[must_use]
    pub fn paused_until(&self, server: &ListedServer) -> Option<Instant> {
        self.bar_of(server).map(|bar| bar.until)
    }

    /// Returns when the first of some servers takes requests again, if all of
    /// them have asked for none.
    pub fn first_opens_in<'a>(
        &self,
        now: Instant,
        servers: impl IntoIterator<Item = &'a ListedServer>,
    ) -> Option<Duration> {
        servers
            .into_iter()
            .map(|server| {
                let until = self.bar_of(server).map_or(now, |bar| bar.until);
                until.saturating_duration_since(now)
            })
            .min()
            .filter(|wait| !wait.is_zero())
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(name: &str, born_ms: u64) -> ListedServer {
        let address = "127.0.0.1:1".parse().unwrap();
        let mut server = ListedServer::new(name, "s", address);
        server.born_ms = born_ms;
        server
    }

    /// Guards against new work for a server that leaves, while the platform
    /// still lists it as ready, and against a restarted server of the same
    /// name that gets none.
    #[test]
    fn leaves_bars_one_run() {
        let now = Instant::now();
        let mut bars = Bars::default();
        assert!(bars.leaves(now, &server("a", 1)));
        assert!(!bars.leaves(now, &server("a", 1)));
        let later = now + Duration::from_secs(30);
        assert!(!bars.is_open(later, &server("a", 1)));
        assert!(bars.is_open(later, &server("a", 2)));
        assert!(bars.is_open(later, &server("b", 1)));
    }

    /// Guards against a server that is never used again for an absurd time
    /// that it named, and against a shorter time that replaces a longer one.
    #[test]
    fn wants_none_for_bounded() {
        let now = Instant::now();
        let mut bars = Bars::default();
        let server = server("a", 1);
        bars.wants_none_for(now, &server, Duration::MAX);
        bars.wants_none_for(now, &server, Duration::from_secs(1));
        assert!(!bars.is_open(now + Duration::from_secs(59), &server));
        assert!(bars.is_open(now + LONGEST_PAUSE, &server));
    }

    /// Guards against a refusal that tells no time, or a wrong one, to come
    /// back.
    #[test]
    fn first_opens_in_of_some() {
        let now = Instant::now();
        let servers = [server("a", 1), server("b", 1)];
        let mut bars = Bars::default();
        bars.wants_none_for(now, &servers[0], Duration::from_secs(3));
        assert_eq!(bars.first_opens_in(now, &servers), None);
        bars.wants_none_for(now, &servers[1], Duration::from_secs(2));
        let wait = bars.first_opens_in(now, &servers);
        assert_eq!(wait, Some(Duration::from_secs(2)));
    }
}
