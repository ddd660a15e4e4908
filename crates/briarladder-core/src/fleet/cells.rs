//! Divides the backend servers of stages into cells, each with one
//! coordinator.
//!
//! One daemon, the coordinator, runs the stages of a request: it batches the
//! pieces of many requests into calls and knows the backlog of each service.
//! The servers that one coordinator calls form a cell. A small fleet is one
//! cell, because two half-empty queues fill no call. In a larger fleet each
//! zone has a cell of its own, and a large zone has several, so that the load
//! of a coordinator is bounded.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use briarladder_core::fleet::{
//!     cells::{Cell, Cells},
//!     server::ListedServer,
//! };
//!
//! let mut server = ListedServer::new("m-1", "fetch", "10.0.0.1:80".parse()?);
//! server.zone = Arc::from("a");
//! let cells = Cells::from_services([[&server]]);
//! assert_eq!(cells.cell_of(&server), Cell::fleet_wide());
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use std::{cmp::Reverse, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{rendezvous, sorted::SortedMap};

use super::{
    placement::Regions, residency::AllowedRegions, server::ListedServer,
};

/// If no service has more than this many servers, the whole fleet is one cell.
const MAX_FLEET_SERVERS: usize = 8;

/// The number of servers of one service in a cell of a zone. A daemon that
/// coordinates that many servers of each of three services makes about 200
/// calls a second.
const MAX_CELL_SERVERS: usize = 16;

/// The coordinator of the fleet-wide cell may keep it while its zone has at
/// least one server for this many servers of the largest zone.
const KEEP_COORDINATOR_DIVISOR: usize = 2;

/// A group of servers that one daemon coordinates.
///
/// The regions are no part of an encoded cell: a message about a cell that is
/// restricted to regions names them itself.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Cell {
    /// The zone of the servers; `None` for the cell of all zones.
    pub zone: Option<Arc<str>>,
    /// The number of the cell within its zone.
    pub number: usize,
    /// The regions of the servers, if the cell of all zones is restricted to
    /// some. A cell of a zone lies in one region anyway.
    #[serde(skip)]
    pub regions: AllowedRegions,
}

impl Cell {
    /// Returns the cell of all servers of the fleet.
    #[must_use]
    pub fn fleet_wide() -> Cell {
        Cell::in_regions(AllowedRegions::any())
    }

    /// Returns the cell of all servers of some regions. It runs the stages of
    /// requests that are bound to them where no cell of a zone can. Its
    /// servers may also belong to other cells.
    #[must_use]
    pub fn in_regions(regions: AllowedRegions) -> Cell {
        Cell { zone: None, number: 0, regions }
    }

    /// Returns a cell of a zone.
    #[must_use]
    pub fn in_zone(zone: &Arc<str>, number: usize) -> Cell {
        let regions = AllowedRegions::any();
        Cell { zone: Some(Arc::clone(zone)), number, regions }
    }

    /// Returns the name of the duty to coordinate the cell.
    #[must_use]
    pub fn duty_name(&self) -> String {
        format!("stages@{}", CellName(self))
    }
}

/// The name of a cell in logs.
#[derive(Clone, Copy, Debug, Display)]
#[display(
    "{}/{}{}",
    _0.zone.as_deref().unwrap_or("fleet"),
    _0.number,
    self.regions()
)]
pub struct CellName<'a>(pub &'a Cell);

impl CellName<'_> {
    /// Returns the regions that the cell is restricted to, as a suffix.
    fn regions(self) -> String {
        let names = self.0.regions.names();
        names.map(|names| format!("@{}", names.join("+"))).unwrap_or_default()
    }
}

/// The cells of all servers that process pieces of stages.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Cells {
    /// The number of cells of each zone; empty if the fleet is one cell.
    cell_counts: SortedMap<Arc<str>, usize>,
    /// The zone with the most servers.
    largest_zone: Option<Arc<str>>,
    /// The number of servers of each zone.
    server_counts: SortedMap<Arc<str>, usize>,
    /// The region of each zone.
    regions: Regions,
}

impl Cells {
    /// Divides the servers of each service into cells.
    #[must_use]
    pub fn from_services<'a, S>(services: impl IntoIterator<Item = S>) -> Cells
    where
        S: IntoIterator<Item = &'a ListedServer>,
    {
        let mut total_counts: SortedMap<Arc<str>, usize> = SortedMap::new();
        let mut largest_counts: SortedMap<Arc<str>, usize> = SortedMap::new();
        let mut largest_service = 0;
        for servers in services {
            let mut zones: SortedMap<Arc<str>, usize> = SortedMap::new();
            for server in servers {
                let zone = Arc::clone(&server.zone);
                *zones.get_or_insert_with(zone, || 0) += 1;
            }
            largest_service = largest_service.max(zones.values().sum());
            for (zone, &servers) in zones.iter() {
                *total_counts.get_or_insert_with(Arc::clone(zone), || 0) +=
                    servers;
                let largest =
                    largest_counts.get_or_insert_with(Arc::clone(zone), || 0);
                *largest = servers.max(*largest);
            }
        }
        // Ties go to the first zone by name.
        let largest_zone = total_counts
            .iter()
            .max_by_key(|(zone, servers)| {
                (**servers, Reverse(Arc::clone(zone)))
            })
            .map(|(zone, _)| Arc::clone(zone));
        let mut cell_counts = SortedMap::new();
        if largest_service > MAX_FLEET_SERVERS {
            for (zone, &servers) in largest_counts.iter() {
                let cells = servers.div_ceil(MAX_CELL_SERVERS);
                cell_counts.insert(Arc::clone(zone), cells);
            }
        }
        Cells {
            cell_counts,
            largest_zone,
            server_counts: total_counts,
            regions: Regions::default(),
        }
    }

    /// Sets the region of each zone, which tells the servers of cells that are
    /// restricted to regions.
    #[must_use]
    pub fn with_regions(self, regions: Regions) -> Cells {
        Cells { regions, ..self }
    }

    /// Returns the cell that a server belongs to.
    #[must_use]
    pub fn cell_of(&self, server: &ListedServer) -> Cell {
        let Some(&cells) = self.cell_counts.get(&*server.zone) else {
            return Cell::fleet_wide();
        };
        let score = |number: &usize| {
            rendezvous::score(&server.name, &number.to_string())
        };
        let number = (0..cells).max_by_key(score).unwrap_or(0);
        Cell::in_zone(&server.zone, number)
    }

    /// Returns whether a server belongs to a cell. The fleet-wide cell
    /// contains all servers, also where there are cells of zones, because it
    /// serves zones that lack a service; if it is restricted to regions, it
    /// contains all servers there.
    #[must_use]
    pub fn contains(&self, cell: &Cell, server: &ListedServer) -> bool {
        match cell.zone {
            None => self.regions.allow(&cell.regions, &server.zone),
            Some(_) => self.cell_of(server) == *cell,
        }
    }

    /// Iterates over the cells of all zones; there are none if the fleet is
    /// one cell.
    pub fn zone_cells(&self) -> impl Iterator<Item = Cell> {
        self.cell_counts.iter().flat_map(|(zone, &cells)| {
            (0..cells).map(move |number| Cell::in_zone(zone, number))
        })
    }

    /// Returns the zone that should coordinate a cell.
    #[must_use]
    pub fn preferred_zone<'a>(
        &'a self,
        cell: &'a Cell,
    ) -> Option<&'a Arc<str>> {
        match &cell.zone {
            Some(zone) => Some(zone),
            None if cell.regions.is_any() => self.largest_zone.as_ref(),
            None => self.largest_zone_in(&cell.regions),
        }
    }

    /// Returns the zone of some regions with the most servers.
    fn largest_zone_in(&self, regions: &AllowedRegions) -> Option<&Arc<str>> {
        self.server_counts
            .iter()
            .filter(|(zone, _)| self.regions.allow(regions, zone))
            .max_by_key(|&(zone, servers)| (servers, Reverse(zone)))
            .map(|(zone, _)| zone)
    }

    /// Returns whether a daemon of a zone may coordinate a cell. The input of
    /// a request that is bound to regions is sent to its coordinator.
    #[must_use]
    pub fn may_coordinate(&self, cell: &Cell, zone: &str) -> bool {
        self.regions.allow(&cell.regions, zone)
    }

    /// Returns whether a daemon of a zone may keep coordinating a cell
    /// although another zone would be chosen now. The zone with the most
    /// servers can change with each server that ends, and the coordinator
    /// should not change with it.
    #[must_use]
    pub fn may_keep_coordinator(&self, cell: &Cell, zone: &str) -> bool {
        if let Some(cell_zone) = &cell.zone {
            return **cell_zone == *zone;
        }
        if !cell.regions.is_any() {
            return self.may_coordinate(cell, zone);
        }
        let servers = |zone: &str| self.server_counts.get(zone).copied();
        let largest = self.largest_zone.as_deref().and_then(servers);
        servers(zone).unwrap_or(0) * KEEP_COORDINATOR_DIVISOR
            >= largest.unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn servers(counts: &[(&str, usize)]) -> Vec<ListedServer> {
        let address = "127.0.0.1:1".parse().unwrap();
        counts
            .iter()
            .flat_map(|&(zone, count)| {
                (0..count).map(move |at| {
                    let name = format!("{zone}-{at}");
                    let mut server = ListedServer::new(&name, "s", address);
                    server.zone = Arc::from(zone);
                    server
                })
            })
            .collect()
    }

    /// Guards against queues that are too small to fill a call.
    #[test]
    fn from_services_few() {
        let few = servers(&[("a", 2), ("b", 2), ("c", 1)]);
        let other = servers(&[("b", 2), ("c", 3)]);
        let cells = Cells::from_services([&few, &other]);
        assert_eq!(cells.cell_of(&few[4]), Cell::fleet_wide());
        assert_eq!(cells.zone_cells().count(), 0);
        let fleet = Cell::fleet_wide();
        let preferred = cells.preferred_zone(&fleet).unwrap();
        assert_eq!(&**preferred, "b", "the zone with the most servers");
    }

    /// Guards against a coordinator that changes with each server that ends:
    /// calls of the old and the new one then compete for servers with one
    /// slot.
    #[test]
    fn may_keep_coordinator_if_servers_end() {
        let few = servers(&[("a", 2), ("b", 3), ("c", 1)]);
        let cells = Cells::from_services([&few]);
        let fleet = Cell::fleet_wide();
        assert!(cells.may_keep_coordinator(&fleet, "a"));
        assert!(
            !cells.may_keep_coordinator(&fleet, "c"),
            "most servers are in other zones"
        );
        assert!(!cells.may_keep_coordinator(&fleet, "d"));
        let many = servers(&[("a", 5), ("b", 6)]);
        let cells = Cells::from_services([&many]);
        let a = Cell::in_zone(&Arc::from("a"), 0);
        assert!(cells.may_keep_coordinator(&a, "a"));
        assert!(!cells.may_keep_coordinator(&a, "b"));
    }

    /// Guards against one daemon that coordinates a whole large fleet.
    #[test]
    fn from_services_many() {
        let many = servers(&[("a", 3), ("b", 3), ("c", 3)]);
        let cells = Cells::from_services([&many]);
        let a = Cell::in_zone(&Arc::from("a"), 0);
        assert_eq!(cells.cell_of(&many[0]), a);
        assert!(!cells.contains(&a, &many[3]));
        assert!(cells.contains(&Cell::fleet_wide(), &many[3]));
        assert_eq!(cells.zone_cells().count(), 3);
        assert_eq!(&**cells.preferred_zone(&a).unwrap(), "a");
    }

    /// Guards against a coordinator whose load grows with its zone. The
    /// largest zone of the design has 833 servers.
    #[test]
    fn from_services_large_zone_is_split() {
        let many = servers(&[("a", 833)]);
        let cells = Cells::from_services([&many]);
        let mut sizes: SortedMap<Cell, usize> = SortedMap::new();
        for server in &many {
            *sizes.get_or_insert_with(cells.cell_of(server), || 0) += 1;
        }
        assert_eq!(sizes.len(), 53);
        let largest = sizes.values().max().unwrap();
        assert!(*largest <= 2 * MAX_CELL_SERVERS, "{largest} servers");
    }

    /// Guards against servers that move to another cell when one server ends:
    /// the new coordinator knows nothing of their load and results.
    #[test]
    fn cell_of_is_stable() {
        let mut many = servers(&[("a", 40)]);
        let before = Cells::from_services([&many]);
        let last = many.pop().unwrap();
        let after = Cells::from_services([&many]);
        assert_eq!(before.zone_cells().count(), after.zone_cells().count());
        for server in &many {
            assert_eq!(before.cell_of(server), after.cell_of(server));
        }
        assert!(before.cell_of(&last).number < 3);
    }

    /// Guards against pieces of a request that is bound to regions on servers
    /// elsewhere, and against a coordinator elsewhere, which would get the
    /// input of the request.
    #[test]
    fn in_regions_contains_only_these() {
        let few = servers(&[("a", 1), ("b", 2), ("c", 3)]);
        let region = |zone: &str, region: &str| {
            (Arc::from(zone), Arc::<str>::from(region))
        };
        let regions = [region("a", "south"), region("b", "south")];
        let regions = Regions::new(regions.into_iter().collect());
        let cells = Cells::from_services([&few]).with_regions(regions);
        let south = AllowedRegions::new([Arc::from("south")]);
        let south = Cell::in_regions(south);
        let contains: Vec<bool> =
            few.iter().map(|server| cells.contains(&south, server)).collect();
        assert_eq!(contains, [true, true, true, false, false, false]);
        assert_eq!(&**cells.preferred_zone(&south).unwrap(), "b");
        assert!(cells.may_keep_coordinator(&south, "a"));
        assert!(!cells.may_keep_coordinator(&south, "c"));
        assert!(!cells.may_coordinate(&south, "c"));
        assert_eq!(south.duty_name(), "stages@fleet/0@south");
        let fleet = Cell::fleet_wide();
        assert_eq!(fleet.duty_name(), "stages@fleet/0");
        assert_eq!(&**cells.preferred_zone(&fleet).unwrap(), "c");
    }
}
