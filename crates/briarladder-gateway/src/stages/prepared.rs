//! The results of stages, held by the request that uses them as inputs.

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

/// Identifies the results of a request at their coordinator.
#[derive(Clone, Copy, Debug)]
pub struct JobRef {
    /// The address of the coordinator; `None` if it is this daemon.
    pub coordinator: Option<SocketAddr>,
    /// The id of the results at the coordinator.
    pub number: u64,
}

/// The output of the stages of a request.
#[derive(Debug)]
pub struct StageOutput {
    /// Where the results can be released.
    pub job: JobRef,
    /// The results that the request needs.
    pub results: Vec<ResultHandle>,
    /// The transfer time of the results on the network links.
    pub transfer_time: Duration,
}

/// The inputs of a request. They are released on drop.
pub struct PreparedInputs {
    gateway: Rc<Gateway>,
    job: Cell<Option<JobRef>>,
    results: Vec<ResultHandle>,
    producer_zones: Vec<Arc<str>>,
    transfer_time: Duration,
    zone: Arc<str>,
}

impl PreparedInputs {
    /// Creates the inputs of a request without stages.
    #[must_use]
    pub fn empty(gateway: &Rc<Gateway>) -> PreparedInputs {
        PreparedInputs {
            gateway: Rc::clone(gateway),
            job: Cell::new(None),
            results: Vec::new(),
            producer_zones: Vec::new(),
            transfer_time: Duration::ZERO,
            zone: Arc::clone(&gateway.blackboard.zone),
        }
    }

    /// Creates inputs from the output of the stages. `zone` is where the
    /// request runs best.
    #[must_use]
    pub fn new(
        gateway: &Rc<Gateway>,
        output: StageOutput,
        zone: Arc<str>,
    ) -> PreparedInputs {
        PreparedInputs {
            gateway: Rc::clone(gateway),
            job: Cell::new(Some(output.job)),
            producer_zones: zones_of(
                &gateway.blackboard.servers,
                &output.results,
            ),
            results: output.results,
            transfer_time: output.transfer_time,
            zone,
        }
    }

    /// Returns the results that the request needs.
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
    pub fn required_fetch<'a>(
        &'a self,
        server_zone: &'a str,
    ) -> Option<InputFetch<'a>> {
        (!self.results.is_empty()).then_some(InputFetch {
            server_zone,
            producer_zones: &self.producer_zones,
            transfer_time: self.transfer_time,
        })
    }

    /// Returns whether the results that the request needs were released.
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
            None => self.gateway.coordinator.release_jobs(&[job.number]),
        }
    }
}

impl Drop for PreparedInputs {
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
        .map(|producer| Arc::clone(&producer.zone))
        .collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}
