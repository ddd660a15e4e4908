//! How many connections to servers a daemon relays for others.

/// The memory of a relayed connection: one buffer for each direction, its task
/// and what the sockets take in the process.
const RELAYED_BYTES: u64 = 40 * 1024;

/// The memory that a process needs for itself, whatever its limit is.
const RESERVED_BYTES: u64 = 40_000_000;

/// The percentage of the rest that relayed connections may fill. What callers
/// may fill is limited apart.
const RELAYED_PERCENT: u64 = 5;

/// The most connections, however much memory there is. Each one takes two
/// descriptors.
const MAX_RELAYED_CONNECTIONS: usize = 256;

/// The least number of connections, however little memory there is.
const MIN_RELAYED_CONNECTIONS: usize = 16;

/// Returns how many connections a process with this memory relays at once, or
/// one whose memory is unknown.
#[must_use]
pub fn max_relayed_connections(memory_bytes: Option<u64>) -> usize {
    let Some(memory_bytes) = memory_bytes else {
        return MAX_RELAYED_CONNECTIONS;
    };
    let available_bytes = memory_bytes.saturating_sub(RESERVED_BYTES);
    let relayed_bytes = available_bytes / 100 * RELAYED_PERCENT;
    let connections = relayed_bytes / RELAYED_BYTES;
    usize::try_from(connections)
        .unwrap_or(usize::MAX)
        .clamp(MIN_RELAYED_CONNECTIONS, MAX_RELAYED_CONNECTIONS)
}
