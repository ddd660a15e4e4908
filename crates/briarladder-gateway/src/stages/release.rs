//! Notifies coordinators of results that are no longer needed.
//!
//! Servers have limited memory for results, so results are released as soon as
//! they are used. Releases are batched for a moment.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use briarladder_core::sorted::SortedMap;
use tokio::sync::Notify;

use crate::{
    context::Gateway,
    peers::messages::{Ack, RELEASE_PATH, ReleaseRequest},
};

/// How long releases are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Timeout of a release call to a peer.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Releases that wait to be sent to coordinators.
#[derive(Debug, Default)]
pub struct ReleaseQueue {
    jobs: RefCell<SortedMap<SocketAddr, Vec<u64>>>,
    added: Notify,
}

impl ReleaseQueue {
    /// Adds the results of a job at a coordinator.
    pub fn add(&self, coordinator: SocketAddr, job: u64) {
        self.jobs
            .borrow_mut()
            .get_or_insert_with(coordinator, Vec::new)
            .push(job);
        self.added.notify_one();
    }
}

/// Sends queued releases. Never returns.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        gateway.releases.added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        for (&coordinator, jobs) in gateway.releases.jobs.take().iter() {
            let message = ReleaseRequest { jobs: jobs.clone() };
            let gateway = Rc::clone(&gateway);
            tokio::task::spawn_local(send_release(
                gateway,
                coordinator,
                message,
            ));
        }
    }
}

async fn send_release(
    gateway: Rc<Gateway>,
    coordinator: SocketAddr,
    message: ReleaseRequest,
) {
    let result: Result<Ack, _> = gateway
        .peers
        .call(coordinator, RELEASE_PATH, &message, RELEASE_TIMEOUT)
        .await;
    if let Err(error) = result {
        // The servers drop the results themselves when they expire.
        log::debug!("release: {error}");
    }
}
