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
const MAX_PAUSE: Duration = Duration::from_mins(1);

/// How long a server that announced its shutdown is remembered. If it comes
/// back, it is a new process with another start time.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// What one server has asked for.
#[derive(Clone, Copy, Debug)]
struct Unavailability {
    /// Start time of the process that asked, which identifies it.
    born_ms: u64,
    /// Whether the server shuts down; otherwise it only asked for a pause.
    leaving: bool,
    until: Instant,
}

/// The servers that have asked for no requests.
#[derive(Clone, Debug, Default)]
pub struct ServerAvailability {
    by_server: SortedMap<Arc<str>, Unavailability>,
    change_count: u64,
}

impl ServerAvailability {
    /// Records that a server announced its shutdown. Returns whether the
    /// server was available until now.
    pub fn mark_leaving(
        &mut self,
        now: Instant,
        server: &ListedServer,
    ) -> bool {
        self.mark_unavailable(now, server, true, now + LEAVING_RETENTION)
    }

    /// Records that a server wants no requests for a while. Returns whether
    /// the server was available until now.
    pub fn pause_for(
        &mut self,
        now: Instant,
        server: &ListedServer,
        pause: Duration,
    ) -> bool {
        self.mark_unavailable(now, server, false, now + pause.min(MAX_PAUSE))
    }

    fn mark_unavailable(
        &mut self,
        now: Instant,
        server: &ListedServer,
        leaving: bool,
        until: Instant,
    ) -> bool {
        let was_available = self.is_available(now, server);
        let known = self.entry_of(server).map(|entry| entry.until);
        if known.is_none_or(|known| known < until) {
            self.by_server.retain(|_, entry| now < entry.until);
            let entry =
                Unavailability { born_ms: server.born_ms, leaving, until };
            self.by_server.insert(Arc::clone(&server.name), entry);
            self.change_count += 1;
        }
        was_available
    }

    fn entry_of(&self, server: &ListedServer) -> Option<&Unavailability> {
        let entry = self.by_server.get(&*server.name)?;
        (entry.born_ms == server.born_ms).then_some(entry)
    }

    /// Returns whether a server accepts requests, according to its own
    /// responses.
    #[must_use]
    pub fn is_available(&self, now: Instant, server: &ListedServer) -> bool {
        self.entry_of(server).is_none_or(|entry| entry.until <= now)
    }

    /// Returns whether a server has announced its shutdown.
    #[must_use]
    pub fn is_leaving(&self, server: &ListedServer) -> bool {
        self.entry_of(server).is_some_and(|entry| entry.leaving)
    }

    /// Returns when a server that asked for no requests may be used again.
    #[must_use]
    pub fn paused_until(&self, server: &ListedServer) -> Option<Instant> {
        self.entry_of(server).map(|entry| entry.until)
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
                let until =
                    self.entry_of(server).map_or(now, |entry| entry.until);
                until.saturating_duration_since(now)
            })
            .min()
            .filter(|wait| !wait.is_zero())
    }

    /// Returns the number of changes so far, to detect that cached decisions
    /// are stale.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
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
    fn mark_leaving_one_incarnation() {
        let now = Instant::now();
        let mut availability = ServerAvailability::default();
        assert!(availability.mark_leaving(now, &server("a", 1)));
        assert!(!availability.mark_leaving(now, &server("a", 1)));
        let later = now + Duration::from_secs(30);
        assert!(!availability.is_available(later, &server("a", 1)));
        assert!(availability.is_available(later, &server("a", 2)));
        assert!(availability.is_available(later, &server("b", 1)));
    }

    /// Guards against a server that is excluded for an absurdly long pause,
    /// and against a short pause that replaces a longer one.
    #[test]
    fn pause_for_bounded() {
        let now = Instant::now();
        let mut availability = ServerAvailability::default();
        let server = server("a", 1);
        availability.pause_for(now, &server, Duration::MAX);
        availability.pause_for(now, &server, Duration::from_secs(1));
        assert!(
            !availability.is_available(now + Duration::from_secs(59), &server)
        );
        assert!(availability.is_available(now + MAX_PAUSE, &server));
    }

    /// Guards against a refusal to the caller with a missing or wrong
    /// `retry-after` time.
    #[test]
    fn first_available_in_some_paused() {
        let now = Instant::now();
        let servers = [server("a", 1), server("b", 1)];
        let mut availability = ServerAvailability::default();
        availability.pause_for(now, &servers[0], Duration::from_secs(3));
        assert_eq!(availability.first_available_in(now, &servers), None);
        availability.pause_for(now, &servers[1], Duration::from_secs(2));
        let wait = availability.first_available_in(now, &servers);
        assert_eq!(wait, Some(Duration::from_secs(2)));
    }
}
