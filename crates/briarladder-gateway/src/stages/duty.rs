//! Which daemon collects for which servers.
//!
//! All daemons work it out from the lists that they have. Two may disagree for
//! a moment: then both call the same servers, which refuse what they have no
//! place for, and the pieces go back into a queue.

use std::sync::Arc;

use briarladder_core::fleet::{
    collect::{CollectingZone, collecting_zone},
    peers::Heartbeat,
};

use crate::{context::Gateway, stages::costs::crossing_cost};

/// A daemon's duty to collect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Duty {
    /// The service.
    pub service: Arc<str>,
    /// The zone of the servers, or all servers of the service.
    pub zone: Option<Arc<str>>,
    /// The zone of the daemon.
    near: Arc<str>,
}

impl Duty {
    /// Returns the name under which waits are kept.
    #[must_use]
    pub fn wait_zone(&self) -> Arc<str> {
        self.zone.clone().unwrap_or_else(|| Arc::from(""))
    }

    /// Returns the daemon that has the duty, unless it is this one.
    #[must_use]
    pub fn other_holder(&self, gateway: &Gateway) -> Option<Heartbeat> {
        let name = format!("{}@{}", self.service, self.wait_zone());
        let now = gateway.board.now();
        let peers = gateway.board.peers.borrow();
        let holder = peers.duty_holder(now, &name, &self.near)?;
        (holder.name != gateway.vm).then(|| holder.clone())
    }
}

/// Returns the duty to collect pieces whose results are needed in a zone.
#[must_use]
pub fn for_pieces(
    gateway: &Gateway,
    service: &Arc<str>,
    home: &Arc<str>,
    result_bytes: u64,
) -> Duty {
    let servers = gateway.board.servers.borrow();
    let zones = || servers.ready(service).map(|server| &server.zone);
    match collecting_zone(zones(), home) {
        CollectingZone::Shared(near) => {
            Duty { service: Arc::clone(service), zone: None, near }
        }
        CollectingZone::Own(_) => {
            let zone = least_cost(gateway, service, home, result_bytes);
            let zone = zone.unwrap_or_else(|| Arc::clone(home));
            own(service, &zone)
        }
    }
}

/// Returns the duty to collect for a server.
#[must_use]
pub fn for_server(
    gateway: &Gateway,
    service: &Arc<str>,
    zone: &Arc<str>,
) -> Duty {
    let servers = gateway.board.servers.borrow();
    let zones = servers.ready(service).map(|server| &server.zone);
    match collecting_zone(zones, zone) {
        CollectingZone::Shared(near) => {
            Duty { service: Arc::clone(service), zone: None, near }
        }
        CollectingZone::Own(zone) => own(service, &zone),
    }
}

fn own(service: &Arc<str>, zone: &Arc<str>) -> Duty {
    Duty {
        service: Arc::clone(service),
        zone: Some(Arc::clone(zone)),
        near: Arc::clone(zone),
    }
}

/// Returns the zone with the shortest wait, counting what the way costs.
fn least_cost(
    gateway: &Gateway,
    service: &Arc<str>,
    home: &Arc<str>,
    result_bytes: u64,
) -> Option<Arc<str>> {
    let board = &gateway.board;
    let now = board.now();
    let servers = board.servers.borrow();
    let waits = board.waits.borrow();
    let placement = board.placement.borrow();
    servers
        .ready(service)
        .map(|server| &server.zone)
        .min_by_key(|zone| {
            let distance = placement.distance(home, zone);
            let way = crossing_cost(distance, result_bytes);
            waits.wait(now, service, zone) + way
        })
        .map(Arc::clone)
}
