//! Spreads what this daemon learns of requests that crash backend servers.
//!
//! A notice goes to every peer of the zone, and to one daemon of each other
//! zone, which passes it on to the peers of its own.

use std::sync::Arc;

use briarladder_core::{
    names::{VmName, ZoneName},
    poison::Notice,
    rendezvous,
    sorted::SortedMap,
};
use briarladder_wire::peers::{PoisonNotice, Reach};
use futures_util::StreamExt;

use super::live_peers::{Peer, Scope, live_peers};
use crate::daemon::Daemon;

/// The notices that are on their way at once, of one event.
const CONCURRENT_NOTICES: usize = 16;

/// Sends a notice to the fleet, without waiting for it.
pub fn send(daemon: &Arc<Daemon>, notice: Notice) {
    let near = live_peers(daemon, Scope::Zone);
    let far = one_of_each_other_zone(daemon, &notice);
    let to = |peer, reach| (peer, PoisonNotice { notice, reach });
    let targets: Vec<(Peer, PoisonNotice)> = near
        .into_iter()
        .map(|peer| to(peer, Reach::Receiver))
        .chain(far.into_iter().map(|peer| to(peer, Reach::Zone)))
        .collect();
    spawn_all(daemon, targets);
}

/// Takes a notice of a peer, and passes it on if asked to.
pub fn receive(daemon: &Arc<Daemon>, message: &PoisonNotice) {
    let now = daemon.clock.now();
    daemon.suspects.lock().apply_notice(now, &message.notice);
    if message.reach == Reach::Zone {
        let notice = message.notice;
        let passed_on = PoisonNotice { notice, reach: Reach::Receiver };
        let peers = live_peers(daemon, Scope::Zone);
        let targets = peers.into_iter().map(|p| (p, passed_on)).collect();
        spawn_all(daemon, targets);
    }
}

fn spawn_all(daemon: &Arc<Daemon>, targets: Vec<(Peer, PoisonNotice)>) {
    let daemon = Arc::clone(daemon);
    tokio::spawn(async move {
        futures_util::stream::iter(targets)
            .for_each_concurrent(CONCURRENT_NOTICES, |(peer, message)| {
                tell(&daemon, peer, message)
            })
            .await;
    });
}

async fn tell(daemon: &Daemon, peer: Peer, message: PoisonNotice) {
    let told = daemon.peers.poison_notify(peer.address, message).await;
    if let Err(error) = told {
        log::debug!("poison: {} was not told: {error}", peer.name);
    }
}

/// Returns a live daemon of each other zone. Each notice chooses anew, so a
/// daemon that is dead and not yet known to be keeps no zone uninformed for
/// long.
fn one_of_each_other_zone(daemon: &Daemon, notice: &Notice) -> Vec<Peer> {
    let mut zones: SortedMap<ZoneName, Vec<Peer>> = SortedMap::new();
    for peer in live_peers(daemon, Scope::OtherZones) {
        let zone = peer.zone.clone();
        zones.entry_or_insert_with(zone, Vec::new).push(peer);
    }
    let key = notice.hash.to_string();
    let first = |peers: &Vec<Peer>| {
        let names: Vec<VmName> =
            peers.iter().map(|peer| peer.name.clone()).collect();
        let name = rendezvous::first(&key, &names)?;
        peers.iter().find(|peer| peer.name == *name).cloned()
    };
    zones.values().filter_map(first).collect()
}
