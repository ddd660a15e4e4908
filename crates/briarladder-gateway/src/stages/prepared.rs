//! The results of the stages, as the request that needs them holds them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use briarladder_core::fleet::{
    fetch_time::InputFetch, server::Servers, stages::ResultHandle,
};

use crate::context::Gateway;

/// Where the results of a request can be released.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The coordinator; none if it is this daemon.
    pub coordinator: Option<SocketAddr>,
    /// Identifies the results there.
    pub number: u64,
}

/// What was made for a request.
#[derive(Debug)]
pub struct Made {
    /// Where it can be released.
    pub job: Job,
    /// The results that the request needs.
    pub results: Vec<ResultHandle>,
    /// The time that they take on the links.
    pub transfer: Duration,
}

/// The results that a request holds; they are released when it is dropped.
pub struct Prepared {
    gateway: Rc<Gateway>,
    job: Cell<Option<Job>>,
    results: Vec<ResultHandle>,
    maker_zones: Vec<Arc<str>>,
    transfer: Duration,
    zone: Arc<str>,
}

impl Prepared {
    /// Creates what a request without stages holds.
    #[must_use]
    pub fn nothing(gateway: &Rc<Gateway>) -> Prepared {
        Prepared {
            gateway: Rc::clone(gateway),
            job: Cell::new(None),
            results: Vec::new(),
            maker_zones: Vec::new(),
            transfer: Duration::ZERO,
            zone: Arc::clone(&gateway.board.zone),
        }
    }

    /// Holds what was made. `zone` is where the request runs best.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>, made: Made, zone: Arc<str>) -> Prepared {
        Prepared {
            gateway: Rc::clone(gateway),
            job: Cell::new(Some(made.job)),
            maker_zones: zones_of(&gateway.board.servers, &made.results),
            results: made.results,
            transfer: made.transfer,
            zone,
        }
    }

    /// Returns the results that the request itself needs.
    #[must_use]
    pub fn results(&self) -> &[ResultHandle] {
        &self.results
    }

    /// Returns the zone where the request runs best.
    #[must_use]
    pub fn zone(&self) -> &Arc<str> {
        &self.zone
    }

    /// Returns what a server in a zone has to fetch before it runs the
    /// request; `None` if it needs no results.
    #[must_use]
    pub fn fetch<'a>(
        &'a self,
        server_zone: &'a str,
    ) -> Option<InputFetch<'a>> {
        (!self.results.is_empty()).then_some(InputFetch {
            server_zone,
            producer_zones: &self.maker_zones,
            transfer_time: self.transfer,
        })
    }

    /// Returns whether results that the request needs were released.
    #[must_use]
    pub fn is_released(&self) -> bool {
        !self.results.is_empty() && self.job.get().is_none()
    }

    /// Releases all results, once the request has used them.
    pub fn release(&self) {
        let Some(job) = self.job.take() else { return };
        match job.coordinator {
            Some(coordinator) => {
                self.gateway.releases.add(coordinator, job.number);
            }
            None => self.gateway.coordinator.release(&[job.number]),
        }
    }
}

impl Drop for Prepared {
    fn drop(&mut self) {
        self.release();
    }
}

/// Returns the zones of the listed servers that hold results.
#[must_use]
pub fn zones_of(
    servers: &RefCell<Servers>,
    results: &[ResultHandle],
) -> Vec<Arc<str>> {
    let servers = servers.borrow();
    let mut zones: Vec<Arc<str>> = results
        .iter()
        .filter_map(|result| servers.get(&result.producer))
        .map(|maker| Arc::clone(&maker.zone))
        .collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}
