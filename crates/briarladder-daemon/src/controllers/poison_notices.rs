//! Broadcasts notices of requests that crash backend servers.
//!
//! A notice goes to every peer of the zone and to one daemon of each other
//! zone, which forwards it to the peers of that zone.

use std::sync::Arc;

use briarladder_core::{
    names::{VmName, ZoneName},
    poison::Notice,
    rendezvous,
    sorted::SortedMap,
};
use briarladder_wire::peers::{NoticeScope, PoisonNotice};
use futures_util::StreamExt;

use super::live_peers::{Peer, Scope, live_peers};
use crate::daemon::Daemon;

/// The maximum number of concurrent sends of one notice.
const CONCURRENT_NOTICES: usize = 16;

/// Sends a notice to the fleet in a background task.
pub fn broadcast(daemon: &Arc<Daemon>, notice: Notice) {
    let in_zone = live_peers(daemon, Scope::Zone);
    let relays = one_peer_per_other_zone(daemon, &notice);
    let to = |peer, reach| (peer, PoisonNotice { notice, reach });
    let targets: Vec<(Peer, PoisonNotice)> = in_zone
        .into_iter()
        .map(|peer| to(peer, NoticeScope::Receiver))
        .chain(relays.into_iter().map(|peer| to(peer, NoticeScope::Zone)))
        .collect();
    spawn_sends(daemon, targets);
}

/// Applies a notice from a peer, and forwards it to the zone if it says so.
pub fn receive(daemon: &Arc<Daemon>, message: &PoisonNotice) {
    let now = daemon.clock.now();
    daemon.suspects.lock().apply_notice(now, &message.notice);
    if message.reach == NoticeScope::Zone {
        let notice = message.notice;
        let forwarded = PoisonNotice { notice, reach: NoticeScope::Receiver };
        let peers = live_peers(daemon, Scope::Zone);
        let targets = peers.into_iter().map(|p| (p, forwarded)).collect();
        spawn_sends(daemon, targets);
    }
}

fn spawn_sends(daemon: &Arc<Daemon>, targets: Vec<(Peer, PoisonNotice)>) {
    let daemon = Arc::clone(daemon);
    tokio::spawn(async move {
        futures_util::stream::iter(targets)
            .for_each_concurrent(CONCURRENT_NOTICES, |(peer, message)| {
                notify(&daemon, peer, message)
            })
            .await;
    });
}

async fn notify(daemon: &Daemon, peer: Peer, message: PoisonNotice) {
    let sent = daemon.peers.poison_notify(peer.address, message).await;
    if let Err(error) = sent {
        log::debug!("poison: notifying {} failed: {error}", peer.name);
    }
}

/// Returns one live daemon of each other zone. The choice depends on the
/// notice, so a daemon whose death is not detected yet can't keep its zone
/// from receiving all notices.
fn one_peer_per_other_zone(daemon: &Daemon, notice: &Notice) -> Vec<Peer> {
    let mut zones: SortedMap<ZoneName, Vec<Peer>> = SortedMap::new();
    for peer in live_peers(daemon, Scope::OtherZones) {
        let zone = peer.zone.clone();
        zones.get_or_insert_with(zone, Vec::new).push(peer);
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
