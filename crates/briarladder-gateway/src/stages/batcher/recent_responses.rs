//! The last responses with results from each address.
//!
//! A faulty server may send a response once more where that to another call is
//! expected, also on another connection. After a restart two servers are
//! listed at one address, and connections belong to the address.

use std::{collections::VecDeque, net::SocketAddr};

use briarladder_core::sorted::SortedMap;

/// Responses that are remembered for each address. Extra copies follow within
/// a few calls.
const MAX_RESPONSES_PER_ADDRESS: usize = 16;

/// Addresses whose responses are remembered, which takes about 500 KB.
const MAX_ADDRESSES: usize = 2048;

/// Hashes of the last responses with results.
#[derive(Debug, Default)]
pub(super) struct RecentResponses {
    hashes: SortedMap<SocketAddr, VecDeque<u64>>,
}

impl RecentResponses {
    /// Records a response, and returns whether it is new.
    pub(super) fn record(&mut self, address: SocketAddr, body: &[u8]) -> bool {
        if self.hashes.len() >= MAX_ADDRESSES
            && !self.hashes.contains_key(&address)
        {
            self.hashes = SortedMap::new();
        }
        let recent = self.hashes.get_or_insert_with(address, VecDeque::new);
        let hash = rapidhash::v3::rapidhash_v3(body);
        if recent.contains(&hash) {
            return false;
        }
        recent.push_back(hash);
        if recent.len() > MAX_RESPONSES_PER_ADDRESS {
            recent.pop_front();
        }
        true
    }
}
