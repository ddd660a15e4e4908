//! The live peers of this daemon, as the view of the members has them.

use std::net::SocketAddr;

use briarladder_core::names::{VmName, ZoneName};

use crate::daemon::Daemon;

/// A live peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The VM.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it serves peers.
    pub address: SocketAddr,
}

/// Which peers are asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Those of this daemon's zone.
    Zone,
    /// Those of all other zones.
    OtherZones,
    /// All.
    Fleet,
}

/// Returns the live peers, without this daemon, by name.
#[must_use]
pub fn live_peers(daemon: &Daemon, scope: Scope) -> Vec<Peer> {
    let (me, zone) = (&daemon.settings.vm, &daemon.settings.zone);
    let in_scope = |peer_zone: &ZoneName| match scope {
        Scope::Zone => peer_zone == zone,
        Scope::OtherZones => peer_zone != zone,
        Scope::Fleet => true,
    };
    daemon.members.with(|members| {
        members
            .iter()
            .filter(|m| m.is_assignable() && m.name != *me)
            .filter(|m| in_scope(&m.zone))
            .map(|m| Peer {
                name: m.name.clone(),
                zone: m.zone.clone(),
                address: m.address,
            })
            .collect()
    })
}
