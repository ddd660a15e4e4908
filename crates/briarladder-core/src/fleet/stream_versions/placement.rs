//! Where streams begin, and which daemons hold their records.

use std::sync::Arc;

use crate::rendezvous;

use super::super::server::ListedServer;

/// Daemons that hold the record of a stream, besides the one that relays it.
/// With three, the loss of any two others leaves one.
pub const REPLICA_COUNT: usize = 3;

/// Returns the first daemons that hold the record of a stream. All daemons
/// that know the same ones choose the same; one that knows fewer, since some
/// have ended, chooses those that are left first.
pub fn replicas<'a, T: AsRef<str>>(
    attempt: &str,
    daemons: impl IntoIterator<Item = &'a T>,
    count: usize,
) -> Vec<&'a T> {
    rendezvous::top(attempt, daemons, count)
}

/// Returns the versions with one server where another version has more. A
/// stream that begins at such a server can't go on elsewhere.
pub fn lone_versions<'a>(
    ready: impl IntoIterator<Item = &'a ListedServer>,
) -> Vec<Arc<str>> {
    let mut counts: Vec<(&Arc<str>, usize)> = Vec::new();
    for server in ready {
        let version = &server.software_version;
        match counts.iter_mut().find(|(known, _)| *known == version) {
            Some((_, count)) => *count += 1,
            None => counts.push((version, 1)),
        }
    }
    if counts.iter().all(|(_, count)| *count == 1) {
        return Vec::new();
    }
    let lone = counts.into_iter().filter(|(_, count)| *count == 1);
    lone.map(|(version, _)| Arc::clone(version)).collect()
}
