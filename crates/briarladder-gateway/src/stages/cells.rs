//! Selects the cell that runs the stages of a request, and its coordinator.
//!
//! Each daemon computes both from its server list and from the duties that
//! members have claimed. Two daemons may briefly disagree. Then two
//! coordinators call the same servers, which reject pieces that they have no
//! capacity for, and those pieces are queued again.

use std::{sync::Arc, time::Duration};

use briarladder_core::fleet::{
    cells::{Cell, Cells},
    config::PieceServerSpec,
    peers::{DutyId, Member, PeerTable},
    residency::AllowedRegions,
    stage_waits::MAX_WAIT,
};

use crate::{blackboard::Blackboard, context::Gateway};

use super::costs::cross_zone_cost;

/// The assumed wait at a coordinator of another zone without a known
/// heartbeat: it may be partitioned or down.
const UNKNOWN_COORDINATOR_WAIT: Duration = Duration::from_secs(2);

/// The requirements of a request on a cell.
pub struct CellRequirements<'a> {
    /// The services of its stages.
    pub services: Vec<&'a Arc<str>>,
    /// The zone where its results are needed.
    pub home_zone: &'a Arc<str>,
    /// The total size of the results that it needs.
    pub result_bytes: u64,
    /// The regions in which the request may be served.
    pub allowed_regions: &'a AllowedRegions,
}

/// Returns the cell that can start the stages soonest, including the cost of
/// distance. `None` if a service has no server. A request that is bound to
/// regions gets a cell that lies in them and whose coordinator does, too.
#[must_use]
pub fn choose_cell(
    gateway: &Gateway,
    requirements: &CellRequirements<'_>,
) -> Option<Cell> {
    let blackboard = &gateway.blackboard;
    let cells = blackboard.cells();
    let has_all_services =
        |cell: &Cell| has_all_services(blackboard, &cells, cell, requirements);
    cells
        .zone_cells()
        .filter(|cell| is_allowed(gateway, cell, requirements.allowed_regions))
        .filter(has_all_services)
        .min_by_key(|cell| {
            let zone =
                cells.preferred_zone(cell).unwrap_or(requirements.home_zone);
            let distance = blackboard
                .placement
                .borrow()
                .distance(requirements.home_zone, zone);
            let cost = cross_zone_cost(distance, requirements.result_bytes);
            let wait = expected_wait(gateway, &cells, cell, requirements);
            (wait + cost, (*cell).clone())
        })
        .or_else(|| {
            let allowed = requirements.allowed_regions.clone();
            let fleet = Cell::in_regions(allowed);
            has_all_services(&fleet).then_some(fleet)
        })
}

/// Returns whether the servers of the cell of a zone and its coordinator may
/// have a request that is bound to regions. This daemon has it already.
fn is_allowed(
    gateway: &Gateway,
    cell: &Cell,
    allowed: &AllowedRegions,
) -> bool {
    if allowed.is_any() {
        return true;
    }
    let blackboard = &gateway.blackboard;
    let allow = |zone: &str| blackboard.regions.allow(allowed, zone);
    cell.zone.as_deref().is_some_and(allow)
        && coordinator_of(blackboard, cell).is_none_or(|holder| {
            holder.name == gateway.vm || allow(&holder.zone)
        })
}

/// Returns whether a cell has a server for each stage. The cells stay as they
/// are while a zone is evacuated, but those of the zone have no servers.
fn has_all_services(
    blackboard: &Blackboard,
    cells: &Cells,
    cell: &Cell,
    requirements: &CellRequirements<'_>,
) -> bool {
    let servers = blackboard.servers.borrow();
    let availability = blackboard.availability.borrow();
    requirements.services.iter().all(|service| {
        servers
            .ready_in_service(service)
            .filter(|server| !availability.is_leaving(server))
            .filter(|server| !blackboard.is_evacuated(server))
            .any(|server| cells.contains(cell, server))
    })
}

/// Returns the daemon that coordinates a cell. `None` if the cell is
/// restricted to regions and no daemon there is live.
#[must_use]
pub fn coordinator_of(blackboard: &Blackboard, cell: &Cell) -> Option<Member> {
    let cells = blackboard.cells();
    let peers = blackboard.peers.borrow();
    duty_holder(blackboard, &peers, &cells, cell).cloned()
}

fn duty_holder<'a>(
    blackboard: &Blackboard,
    peers: &'a PeerTable,
    cells: &Cells,
    cell: &Cell,
) -> Option<&'a Member> {
    let zone = cells.preferred_zone(cell).unwrap_or(&blackboard.zone);
    let may_keep = |zone: &str| cells.may_keep_coordinator(cell, zone);
    peers
        .duty_holder(blackboard.now(), &cell.duty_name(), zone, &may_keep)
        .filter(|holder| cells.may_coordinate(cell, &holder.zone))
}

/// Claims the duty to coordinate a cell if this daemon should have it, and
/// releases it if not. Returns whether this daemon coordinates the cell.
pub fn update_duty(blackboard: &Blackboard, cell: &Cell) -> bool {
    let duty = cell.duty_name();
    let holder = coordinator_of(blackboard, cell);
    let mut peers = blackboard.peers.borrow_mut();
    let is_own =
        holder.is_some_and(|holder| holder.name == peers.local_member().name);
    if !is_own {
        peers.release_duty(&duty);
    } else if blackboard.cells().may_keep_coordinator(cell, &blackboard.zone) {
        peers.claim_duty(blackboard.now(), &duty);
    }
    is_own
}

/// Claims or releases the duties of all cells that this daemon may coordinate.
/// Returns the cells that it coordinates.
#[must_use]
pub fn update_all_duties(blackboard: &Blackboard) -> Vec<Cell> {
    let cells = blackboard.cells();
    let is_near = |cell: &Cell| {
        cells.preferred_zone(cell).is_some_and(|zone| *zone == blackboard.zone)
    };
    let is_held = |cell: &Cell| {
        let duty = DutyId::of(&cell.duty_name());
        blackboard.peers.borrow().local_member().holds_duty(duty)
    };
    cells
        .zone_cells()
        .chain([Cell::fleet_wide()])
        .filter(|cell| is_near(cell) || is_held(cell))
        .filter(|cell| update_duty(blackboard, cell))
        .collect()
}

/// Returns how long a request waits at a cell for the services that it needs.
/// If its coordinator has reported no waits of services, the wait of its
/// heartbeat counts.
fn expected_wait(
    gateway: &Gateway,
    cells: &Cells,
    cell: &Cell,
    requirements: &CellRequirements<'_>,
) -> Duration {
    let blackboard = &gateway.blackboard;
    let peers = blackboard.peers.borrow();
    let now = blackboard.now();
    let Some(holder) = duty_holder(blackboard, &peers, cells, cell) else {
        return Duration::ZERO;
    };
    if holder.name == gateway.vm {
        let services = requirements.services.iter().copied();
        return gateway.coordinator.wait_for(cell, services).min(MAX_WAIT);
    }
    let heartbeat_wait = peers.stage_wait(now, &holder.name);
    // Members of the own zone are known to be live.
    if heartbeat_wait.is_none() && holder.zone != blackboard.zone {
        return UNKNOWN_COORDINATOR_WAIT;
    }
    let services = requirements.services.iter().map(|service| &***service);
    let reported = blackboard.stage_waits.borrow().wait(now, cell, services);
    reported.or(heartbeat_wait).unwrap_or_default()
}

/// Records that a request was sent to the coordinator of a cell, so that the
/// next ones count its pieces before the coordinator reports them.
pub fn record_sent(
    blackboard: &Blackboard,
    cell: &Cell,
    service: &Arc<str>,
    pieces: u32,
    spec: &PieceServerSpec,
) {
    let cells = blackboard.cells();
    let servers = blackboard.servers.borrow();
    let in_cell = servers
        .ready_in_service(service)
        .filter(|server| cells.contains(cell, server))
        .count();
    let in_cell = u32::try_from(in_cell).unwrap_or(u32::MAX).max(1);
    let batch = u32::try_from(spec.max_batch).unwrap_or(u32::MAX).max(1);
    let time_each = spec.call_overhead / batch + spec.time_per_piece;
    let time = time_each * pieces / in_cell / spec.slots.max(1);
    blackboard.stage_waits.borrow_mut().record_sent(cell, service, time);
}
