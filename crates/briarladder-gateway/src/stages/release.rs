//! Giving up results that are no longer needed.
//!
//! Room at the makers is bounded, so results are released as soon as they are
//! used. Releases are gathered for a moment and sent to the daemon that
//! collects for the maker, which keeps account of the maker's room.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{fleet::stages::Handle, sorted::SortedMap};

use crate::{
    context::Gateway,
    peers::messages::{Accepted, RELEASE_PATH, Release, ReleasedResult},
};

use super::collector::duty;

/// The time for which releases are gathered.
pub const GATHER: Duration = Duration::from_millis(60);

/// The longest time to tell a peer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Releases gathered results for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(GATHER).await;
        let released = gateway.collector.take_released();
        if !released.is_empty() {
            send(&gateway, released);
        }
    }
}

fn send(gateway: &Rc<Gateway>, released: Vec<Handle>) {
    let mut by_holder: SortedMap<Arc<str>, Vec<ReleasedResult>> =
        SortedMap::new();
    for Handle { reference, maker } in released {
        if let Some(holder) = holder_of(gateway, &maker) {
            by_holder
                .entry_or_insert_with(holder, Vec::new)
                .push(ReleasedResult { reference, maker });
        }
    }
    for (holder, results) in by_holder.iter() {
        send_to(gateway, holder, results.clone());
    }
}

/// Returns the daemon that collects for a maker; a maker that is gone has
/// taken its results with it.
fn holder_of(gateway: &Gateway, maker: &str) -> Option<Arc<str>> {
    let server = gateway.board.servers.borrow().get(maker).cloned()?;
    let now = gateway.board.now();
    let peers = gateway.board.peers.borrow();
    let duty = duty(&server.service, &server.zone);
    let holder = peers.duty_holder(now, &duty, &server.zone);
    Some(holder.map_or_else(
        || Arc::clone(&gateway.vm),
        |beat| Arc::clone(&beat.name),
    ))
}

fn send_to(
    gateway: &Rc<Gateway>,
    holder: &Arc<str>,
    results: Vec<ReleasedResult>,
) {
    if *holder == gateway.vm {
        gateway.collector.release_here(&results);
        return;
    }
    let now = gateway.board.now();
    let address = gateway
        .board
        .peers
        .borrow()
        .live_peers(now)
        .find(|beat| beat.name == *holder)
        .map(|beat| beat.address);
    let Some(address) = address else {
        gateway.collector.release_here(&results);
        return;
    };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let message = Release { results };
        let told: Result<Accepted, _> =
            gateway.peers.call(address, RELEASE_PATH, &message, TIMEOUT).await;
        if let Err(error) = told {
            // The makers drop the results by themselves after a while.
            log::debug!("release: {error}");
        }
    });
}
