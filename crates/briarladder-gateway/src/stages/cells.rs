//! Selects the cell that runs the stages of a request, and its coordinator.
//!
//! Each daemon computes both from its server list and from the duties that
//! members have claimed. Two daemons may briefly disagree. Then two
//! coordinators call the same servers, which reject pieces that they have no
//! capacity for, and those pieces are queued again.

use std::{sync::Arc, time::Duration};

use briarladder_core::fleet::{
    cells::{Cell, Cells},
    peers::{DutyId, Member, PeerTable},
    server::Servers,
};

use crate::{board::Board, context::Gateway};

use super::costs::crossing_cost;

/// The assumed wait at a coordinator of another zone without a known
/// heartbeat: it may be partitioned or down.
const UNHEARD_WAIT: Duration = Duration::from_secs(2);

/// The requirements of a request on a cell.
pub struct Wish<'a> {
    /// The services of its stages.
    pub services: Vec<&'a Arc<str>>,
    /// The zone where its results are needed.
    pub home: &'a Arc<str>,
    /// The total size of the results that it needs.
    pub result_bytes: u64,
}

/// Returns the cell that can start the stages soonest, including the cost of
/// distance. `None` if a service has no server.
#[must_use]
pub fn choose(gateway: &Gateway, wish: &Wish<'_>) -> Option<Cell> {
    let board = &gateway.board;
    let cells = board.cells();
    let servers = board.servers.borrow();
    cells
        .zone_cells()
        .filter(|cell| serves_all(&cells, &servers, cell, wish))
        .min_by_key(|cell| {
            let zone = cells.preferred_zone(cell).unwrap_or(wish.home);
            let distance = board.placement.borrow().distance(wish.home, zone);
            let way = crossing_cost(distance, wish.result_bytes);
            (expected_wait(gateway, &cells, cell) + way, (*cell).clone())
        })
        .or_else(|| {
            let fleet = Cell::fleet_wide();
            serves_all(&cells, &servers, &fleet, wish).then_some(fleet)
        })
}

fn serves_all(
    cells: &Cells,
    servers: &Servers,
    cell: &Cell,
    wish: &Wish<'_>,
) -> bool {
    wish.services.iter().all(|service| {
        servers
            .ready_in_service(service)
            .any(|server| cells.contains(cell, server))
    })
}

/// Returns the daemon that coordinates a cell.
#[must_use]
pub fn coordinator_of(board: &Board, cell: &Cell) -> Option<Member> {
    let cells = board.cells();
    let peers = board.peers.borrow();
    duty_holder(board, &peers, &cells, cell).cloned()
}

fn duty_holder<'a>(
    board: &Board,
    peers: &'a PeerTable,
    cells: &Cells,
    cell: &Cell,
) -> Option<&'a Member> {
    let near = cells.preferred_zone(cell).unwrap_or(&board.zone);
    let may_stay = |zone: &str| cells.may_keep_coordinator(cell, zone);
    peers.duty_holder(board.now(), &cell.duty_name(), near, &may_stay)
}

/// Claims the duty to coordinate a cell if this daemon should have it, and
/// releases it if not. Returns whether this daemon coordinates the cell.
pub fn settle(board: &Board, cell: &Cell) -> bool {
    let duty = cell.duty_name();
    let holder = coordinator_of(board, cell);
    let mut peers = board.peers.borrow_mut();
    let mine =
        holder.is_some_and(|holder| holder.name == peers.local_member().name);
    if !mine {
        peers.release_duty(&duty);
    } else if board.cells().may_keep_coordinator(cell, &board.zone) {
        peers.claim_duty(board.now(), &duty);
    }
    mine
}

/// Claims or releases the duties of all cells that this daemon may coordinate.
/// Returns whether it coordinates any.
#[must_use]
pub fn settle_all(board: &Board) -> bool {
    let cells = board.cells();
    let near_here = |cell: &Cell| {
        cells.preferred_zone(cell).is_some_and(|zone| *zone == board.zone)
    };
    let taken = |cell: &Cell| {
        let duty = DutyId::of(&cell.duty_name());
        board.peers.borrow().local_member().holds_duty(duty)
    };
    let mine = cells
        .zone_cells()
        .chain([Cell::fleet_wide()])
        .filter(|cell| near_here(cell) || taken(cell))
        .filter(|cell| settle(board, cell))
        .count();
    mine > 0
}

fn expected_wait(gateway: &Gateway, cells: &Cells, cell: &Cell) -> Duration {
    let board = &gateway.board;
    let peers = board.peers.borrow();
    let now = board.now();
    match duty_holder(board, &peers, cells, cell) {
        Some(holder) if holder.name == gateway.vm => {
            gateway.coordinator.expected_wait_of(cell)
        }
        Some(holder) => {
            peers.stage_wait(now, &holder.name).unwrap_or_else(|| {
                // Members of the own zone are known to be live.
                let own = holder.zone == board.zone;
                if own { Duration::ZERO } else { UNHEARD_WAIT }
            })
        }
        None => Duration::ZERO,
    }
}
