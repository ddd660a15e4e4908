//! Which cell works on the stages of a request, and who coordinates it.
//!
//! All daemons work it out from the lists that they have. Two may disagree for
//! a moment: then both call the same servers, which refuse what they have no
//! place for, and the pieces go back into a queue.

use std::{sync::Arc, time::Duration};

use briarladder_core::fleet::{
    cells::{Cell, Cells},
    peers::Member,
    server::Servers,
};

use crate::{board::Board, context::Gateway};

use super::costs::crossing_cost;

/// The wait that is assumed at a coordinator of another zone that has not been
/// heard of: it may be cut off or without power.
const UNHEARD_WAIT: Duration = Duration::from_secs(2);

/// What a request needs of a cell.
pub struct Wish<'a> {
    /// The services of its stages.
    pub services: Vec<&'a Arc<str>>,
    /// The zone where its results are needed.
    pub home: &'a Arc<str>,
    /// The size of the results that it needs.
    pub result_bytes: u64,
}

/// Returns the cell that begins soonest, counting what the way costs. There
/// is none if a service has no server.
#[must_use]
pub fn choose(gateway: &Gateway, wish: &Wish<'_>) -> Option<Cell> {
    let board = &gateway.board;
    let cells = board.cells();
    let servers = board.servers.borrow();
    cells
        .in_zones()
        .filter(|cell| serves_all(&cells, &servers, cell, wish))
        .min_by_key(|cell| {
            let zone = cells.near(cell).unwrap_or(wish.home);
            let distance = board.placement.borrow().distance(wish.home, zone);
            let way = crossing_cost(distance, wish.result_bytes);
            (expected_wait(gateway, &cells, cell) + way, (*cell).clone())
        })
        .or_else(|| {
            let fleet = Cell::fleet();
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
        servers.ready(service).any(|server| cells.contains(cell, server))
    })
}

/// Returns the daemon that coordinates a cell.
#[must_use]
pub fn coordinator_of(board: &Board, cell: &Cell) -> Option<Member> {
    let cells = board.cells();
    let near = cells.near(cell).unwrap_or(&board.zone);
    let peers = board.peers.borrow();
    peers.duty_holder(board.now(), &cell.duty(), near).cloned()
}

/// Returns whether this daemon coordinates any cell.
#[must_use]
pub fn coordinates_some(gateway: &Gateway) -> bool {
    let board = &gateway.board;
    let cells = board.cells();
    let near_here =
        |cell: &Cell| cells.near(cell).is_some_and(|zone| *zone == board.zone);
    cells.in_zones().chain([Cell::fleet()]).filter(near_here).any(|cell| {
        coordinator_of(board, &cell)
            .is_some_and(|holder| holder.name == gateway.vm)
    })
}

fn expected_wait(gateway: &Gateway, cells: &Cells, cell: &Cell) -> Duration {
    let board = &gateway.board;
    let near = cells.near(cell).unwrap_or(&board.zone);
    let peers = board.peers.borrow();
    let now = board.now();
    match peers.duty_holder(now, &cell.duty(), near) {
        Some(holder) if holder.name == gateway.vm => {
            gateway.coordinator.expected_wait_of(cell)
        }
        Some(holder) => {
            peers.stage_wait(now, &holder.name).unwrap_or_else(|| {
                // The members of the own zone are known to be live.
                let own = holder.zone == board.zone;
                if own { Duration::ZERO } else { UNHEARD_WAIT }
            })
        }
        None => Duration::ZERO,
    }
}
