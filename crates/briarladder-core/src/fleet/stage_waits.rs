//! How long new requests wait for each service of a cell.
//!
//! The routes of a fleet use different services. A cell may be short of
//! servers of one service while those of another one are idle, so one wait for
//! a whole cell would keep requests away from idle servers. The coordinator of
//! a cell therefore reports a wait for each service, and a request goes where
//! the services that it needs are free soonest.
//!
//! Reports are old when they arrive, and many daemons read the same ones. A
//! daemon adds the time of the pieces that it has sent to a cell since the
//! report ([`StageWaitTable::record_sent`]), so that it does not send
//! everything to the cell that was free last.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::{Duration, Instant}};
//!
//! use briarladder_core::fleet::{
//!     cells::Cell,
//!     stage_waits::{CellWaits, ServiceWait, StageWaitTable},
//! };
//!
//! let now = Instant::now();
//! let wait = |service: &str, wait_ms| {
//!     ServiceWait { service: Arc::from(service), wait_ms }
//! };
//! let mut table = StageWaitTable::default();
//! table.merge(now, &[CellWaits {
//!     cell: Cell::fleet_wide(),
//!     waits: vec![wait("fetch", 0), wait("rank", 900)],
//!     age_ms: 100,
//! }]);
//! let cell = Cell::fleet_wide();
//! assert_eq!(table.wait(now, &cell, ["fetch"]), Some(Duration::ZERO));
//! let both = table.wait(now, &cell, ["fetch", "rank"]);
//! assert_eq!(both, Some(Duration::from_millis(900)));
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::sorted::SortedMap;

use super::cells::Cell;

/// The longest wait that is reported. It stands for a service without a server
/// in the cell, too.
pub const MAX_WAIT: Duration = Duration::from_mins(1);

/// How long a report counts. Between zones one takes about 2 s.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a report is forwarded.
const FORWARD_DURATION: Duration = Duration::from_secs(3);

/// Maximum number of reports in one message.
const MAX_REPORTS: usize = 16;

/// How long a new request waits for one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceWait {
    /// The service.
    pub service: Arc<str>,
    /// The wait, in milliseconds; at most [`MAX_WAIT`].
    pub wait_ms: u32,
}

impl ServiceWait {
    /// Creates the wait of a service.
    #[must_use]
    pub fn new(service: &Arc<str>, wait: Duration) -> ServiceWait {
        let wait_ms = wait.min(MAX_WAIT).as_millis();
        ServiceWait {
            service: Arc::clone(service),
            // OK because of the maximum.
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
        }
    }

    fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms.into()).min(MAX_WAIT)
    }
}

/// The waits at the coordinator of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellWaits {
    /// The cell.
    pub cell: Cell,
    /// The waits of its services, sorted by service. A service that is missing
    /// is not known to the coordinator.
    pub waits: Vec<ServiceWait>,
    /// Age of the report, in milliseconds.
    pub age_ms: u32,
}

/// The newest report of a cell, and what was sent there since.
#[derive(Clone, Debug)]
struct CellReport {
    waits: SortedMap<Arc<str>, Duration>,
    reported_at: Instant,
    /// Processing time of the pieces that this daemon has sent since the
    /// report, by service.
    sent: SortedMap<Arc<str>, Duration>,
}

impl CellReport {
    fn is_fresh(&self, now: Instant, timeout: Duration) -> bool {
        now.saturating_duration_since(self.reported_at) < timeout
    }

    fn wait_of(&self, service: &str) -> Option<Duration> {
        let reported = *self.waits.get(service)?;
        let sent = self.sent.get(service).copied().unwrap_or_default();
        Some(reported + sent)
    }
}

/// The newest waits of each cell.
#[derive(Clone, Debug, Default)]
pub struct StageWaitTable {
    cells: SortedMap<Cell, CellReport>,
}

impl StageWaitTable {
    /// Merges the reports of another daemon.
    pub fn merge(&mut self, now: Instant, reports: &[CellWaits]) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let Some(reported_at) = now.checked_sub(age) else { continue };
            let is_newer = self
                .cells
                .get(&report.cell)
                .is_none_or(|known| known.reported_at < reported_at);
            if is_newer {
                self.replace(&report.cell, &report.waits, reported_at);
            }
        }
    }

    /// Records the waits at a cell that this daemon coordinates, or that its
    /// coordinator has just reported.
    pub fn record(
        &mut self,
        now: Instant,
        cell: &Cell,
        waits: &[ServiceWait],
    ) {
        self.replace(cell, waits, now);
    }

    fn replace(
        &mut self,
        cell: &Cell,
        waits: &[ServiceWait],
        reported_at: Instant,
    ) {
        let waits = waits
            .iter()
            .map(|wait| (Arc::clone(&wait.service), wait.wait()))
            .collect();
        let report = CellReport { waits, reported_at, sent: SortedMap::new() };
        self.cells.insert(cell.clone(), report);
    }

    /// Raises the wait for services of a cell after its coordinator has
    /// refused a request that needs them.
    pub fn record_refused<'a>(
        &mut self,
        now: Instant,
        cell: &Cell,
        services: impl IntoIterator<Item = &'a Arc<str>>,
        wait: Duration,
    ) {
        let report =
            self.cells.get_or_insert_with(cell.clone(), || CellReport {
                waits: SortedMap::new(),
                reported_at: now,
                sent: SortedMap::new(),
            });
        let mut longest = Duration::ZERO;
        let mut slowest = None;
        for service in services {
            let known = report.wait_of(service).unwrap_or_default();
            if slowest.is_none() || known > longest {
                longest = known;
                slowest = Some(Arc::clone(service));
            }
        }
        // Only the slowest service explains the refusal; the others may be
        // free for requests that need nothing else.
        if let Some(slowest) = slowest {
            report.waits.insert(slowest, wait.min(MAX_WAIT).max(longest));
            report.reported_at = now;
        }
    }

    /// Records that this daemon has sent pieces to a cell, which take all its
    /// servers of the service `time`.
    pub fn record_sent(
        &mut self,
        cell: &Cell,
        service: &Arc<str>,
        time: Duration,
    ) {
        if let Some(report) = self.cells.get_mut(cell) {
            *report
                .sent
                .get_or_insert_with(Arc::clone(service), Duration::default) +=
                time;
        }
    }

    /// Returns how long a new request waits at a cell for the services that it
    /// needs: the longest of their waits. `None` if there is no report, or
    /// none that knows all of them.
    #[must_use]
    pub fn wait<'a>(
        &self,
        now: Instant,
        cell: &Cell,
        services: impl IntoIterator<Item = &'a str>,
    ) -> Option<Duration> {
        let report = self.cells.get(cell)?;
        if !report.is_fresh(now, REPORT_TIMEOUT) {
            return None;
        }
        let mut longest = Duration::ZERO;
        for service in services {
            longest = longest.max(report.wait_of(service)?);
        }
        Some(longest)
    }

    /// Returns the newest reports for a message.
    #[must_use]
    pub fn newest(&self, now: Instant) -> Vec<CellWaits> {
        let mut reports: Vec<CellWaits> = self
            .cells
            .iter()
            .filter(|(_, report)| report.is_fresh(now, FORWARD_DURATION))
            // The regions of a cell are not encoded.
            .filter(|(cell, _)| cell.regions.is_any())
            .map(|(cell, report)| {
                let age = now.saturating_duration_since(report.reported_at);
                let waits = report.waits.iter();
                CellWaits {
                    cell: cell.clone(),
                    waits: waits
                        .map(|(service, &wait)| {
                            ServiceWait::new(service, wait)
                        })
                        .collect(),
                    age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                }
            })
            .collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Forgets the cells without a recent report.
    pub fn expire(&mut self, now: Instant) {
        self.cells.retain(|_, report| report.is_fresh(now, REPORT_TIMEOUT));
    }
}

#[cfg(test)]
mod tests;
