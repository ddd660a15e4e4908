//! Giving up results that are no longer needed.
//!
//! Room at the makers is bounded, so results are released as soon as they are
//! used. Releases are gathered for a moment and sent to the daemon that
//! collects for the maker, which keeps account of the maker's room.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use briarladder_core::{fleet::stages::Handle, sorted::SortedMap};

use crate::{
    context::Gateway,
    peers::messages::{Accepted, RELEASE_PATH, Release, ReleasedResult},
};

use super::duty;

/// The time for which releases are gathered.
pub const GATHER: Duration = Duration::from_millis(10);

/// The longest time to tell a peer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Releases gathered results for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        gateway.collector.wait_released().await;
        tokio::time::sleep(GATHER).await;
        let released = gateway.collector.take_released();
        if !released.is_empty() {
            send(&gateway, released);
        }
    }
}

fn send(gateway: &Rc<Gateway>, released: Vec<Handle>) {
    let mut by_holder: SortedMap<SocketAddr, Vec<ReleasedResult>> =
        SortedMap::new();
    let mut here = Vec::new();
    for Handle { reference, maker } in released {
        // A maker that is gone has taken its results with it.
        let server = gateway.board.servers.borrow().get(&maker).cloned();
        let Some(server) = server else { continue };
        let duty = duty::for_server(gateway, &server.service, &server.zone);
        let result = ReleasedResult { reference, maker };
        match duty.other_holder(gateway) {
            Some(holder) => by_holder
                .entry_or_insert_with(holder.address, Vec::new)
                .push(result),
            None => here.push(result),
        }
    }
    gateway.collector.release_here(&here);
    for (&holder, results) in by_holder.iter() {
        let message = Release { results: results.clone() };
        tokio::task::spawn_local(tell(Rc::clone(gateway), holder, message));
    }
}

async fn tell(gateway: Rc<Gateway>, holder: SocketAddr, message: Release) {
    let told: Result<Accepted, _> =
        gateway.peers.call(holder, RELEASE_PATH, &message, TIMEOUT).await;
    if let Err(error) = told {
        // The makers drop the results by themselves after a while.
        log::debug!("release: {error}");
    }
}
