//! The live peers of this daemon, according to its membership view.

use std::net::SocketAddr;

use briarladder_core::names::{VmName, ZoneName};

use crate::daemon::Daemon;

/// A live peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The name of its VM.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address where it serves peers.
    pub address: SocketAddr,
}

/// Selects peers by their zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Peers in this daemon's zone.
    Zone,
    /// Peers in all other zones.
    OtherZones,
    /// Peers in all zones.
    Fleet,
}

/// Returns the live peers in a scope, sorted by name. This daemon is not one
/// of them.
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
