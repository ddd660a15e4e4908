//! The last responses with results of each server.
//!
//! A faulty server may send a response once more where that to another call is
//! expected, also on another connection.

use std::{collections::VecDeque, sync::Arc};

use briarladder_core::{fleet::server::ListedServer, sorted::SortedMap};

/// Responses that are remembered for each process of a server. Extra copies
/// follow within a few calls.
const MAX_RESPONSES_PER_SERVER: usize = 16;

/// Servers whose responses are remembered, which takes about 500 KB.
const MAX_SERVERS: usize = 2048;

/// The process of a server: its name and its start time in milliseconds since
/// the Unix epoch. A process that starts anew may use references again.
type ServerProcess = (Arc<str>, u64);

/// Hashes of the last responses with results.
#[derive(Debug, Default)]
pub(super) struct RecentResponses {
    hashes: SortedMap<ServerProcess, VecDeque<u64>>,
}

impl RecentResponses {
    /// Records a response, and returns whether it is new.
    pub(super) fn record(
        &mut self,
        server: &ListedServer,
        body: &[u8],
    ) -> bool {
        let process = (Arc::clone(&server.name), server.born_ms);
        if self.hashes.len() >= MAX_SERVERS
            && !self.hashes.contains_key(&process)
        {
            self.hashes = SortedMap::new();
        }
        let recent = self.hashes.get_or_insert_with(process, VecDeque::new);
        let hash = rapidhash::v3::rapidhash_v3(body);
        if recent.contains(&hash) {
            return false;
        }
        recent.push_back(hash);
        if recent.len() > MAX_RESPONSES_PER_SERVER {
            recent.pop_front();
        }
        true
    }
}
