//! Tracks backend servers that have asked for no more requests.
//!
//! A response may announce that the server shuts down, and a refusal may name
//! a pause during which the server wants no requests. Both take effect in this
//! daemon at once, regardless of the state that the platform lists and even
//! while the platform can't be reached.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::fleet::{
//!     availability::ServerAvailability, server::ListedServer,
//! };
//!
//! let now = Instant::now();
//! let server = ListedServer::new("s-1", "plans", "10.0.0.1:80".parse()?);
//! let mut availability = ServerAvailability::default();
//! availability.pause_for(now, &server, Duration::from_secs(2));
//! assert!(!availability.is_available(now, &server));
//! let later = now + Duration::from_secs(2);
//! assert!(availability.is_available(later, &server));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::server::ListedServer;

/// The longest pause that a server can ask for. No request of a caller lasts
/// longer.
const LONGEST_PAUSE: Duration = Duration::from_mins(1);

/// How long a server that announced its shutdown is remembered. If it comes
/// back, it is a new process with another start time.
const LEAVING_FOR: Duration = Duration::from_mins(10);

/// What one server has asked for.
#[derive(Clone, Copy, Debug)]
struct Bar {
    /// Start time of the process that asked, which identifies it.
    born_ms: u64,
    /// Whether the server shuts down; otherwise it only asked for a pause.
    leaving: bool,
    until: Instant,
}

/// The servers that have asked for no requests.
#[derive(Clone, Debug, Default)]
pub struct ServerAvailability {
    by_server: SortedMap<Arc<str>, Bar>,
    changes: u64,
}

impl ServerAvailability {
    /// Records that a server announced its shutdown. Returns whether the
    /// server was available until now.
    pub fn mark_leaving(
        &mut self,
        now: Instant,
        server: &ListedServer,
    ) -> bool {
        self.bar(now, server, true, now + LEAVING_FOR)
    }

    /// Records that a server wants no requests for a while. Returns whether
    /// the server was available until now.
    pub fn pause_for(
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
        let open = self.is_available(now, server);
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

    /// Returns whether a server accepts requests, according to its own
    /// responses.
    #[must_use]
    pub fn is_available(&self, now: Instant, server: &ListedServer) -> bool {
        self.bar_of(server).is_none_or(|bar| bar.until <= now)
    }

    /// Returns whether a server has announced its shutdown.
    #[must_use]
    pub fn is_leaving(&self, server: &ListedServer) -> bool {
        self.bar_of(server).is_some_and(|bar| bar.leaving)
    }

    /// Returns when a server that asked for no requests may be used again.
    #[must_use]
    pub fn paused_until(&self, server: &ListedServer) -> Option<Instant> {
        self.bar_of(server).map(|bar| bar.until)
    }

    /// Returns the time until the first of the servers accepts requests again,
    /// or `None` if one of them accepts requests now.
    pub fn first_available_in<'a>(
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

    /// Returns the number of changes so far, to detect that cached decisions
    /// are stale.
    #[must_use]
    pub fn change_count(&self) -> u64 {
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

    /// Guards against new requests to a server that shuts down while the
    /// platform still lists it as ready, and against a restarted server of the
    /// same name that gets no requests.
    #[test]
    fn leaves_bars_one_run() {
        let now = Instant::now();
        let mut bars = ServerAvailability::default();
        assert!(bars.mark_leaving(now, &server("a", 1)));
        assert!(!bars.mark_leaving(now, &server("a", 1)));
        let later = now + Duration::from_secs(30);
        assert!(!bars.is_available(later, &server("a", 1)));
        assert!(bars.is_available(later, &server("a", 2)));
        assert!(bars.is_available(later, &server("b", 1)));
    }

    /// Guards against a server that is excluded for an absurdly long pause,
    /// and against a short pause that replaces a longer one.
    #[test]
    fn wants_none_for_bounded() {
        let now = Instant::now();
        let mut bars = ServerAvailability::default();
        let server = server("a", 1);
        bars.pause_for(now, &server, Duration::MAX);
        bars.pause_for(now, &server, Duration::from_secs(1));
        assert!(!bars.is_available(now + Duration::from_secs(59), &server));
        assert!(bars.is_available(now + LONGEST_PAUSE, &server));
    }

    /// Guards against a refusal to the caller with a missing or wrong
    /// `retry-after` time.
    #[test]
    fn first_opens_in_of_some() {
        let now = Instant::now();
        let servers = [server("a", 1), server("b", 1)];
        let mut bars = ServerAvailability::default();
        bars.pause_for(now, &servers[0], Duration::from_secs(3));
        assert_eq!(bars.first_available_in(now, &servers), None);
        bars.pause_for(now, &servers[1], Duration::from_secs(2));
        let wait = bars.first_available_in(now, &servers);
        assert_eq!(wait, Some(Duration::from_secs(2)));
    }
}
