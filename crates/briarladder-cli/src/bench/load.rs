//! The load generator: sends each request at its time, whatever became of
//! the ones before.

use std::{sync::Arc, time::Instant};

use tokio::task::JoinSet;

use super::{
    callers::{Sample, Target},
    workload::Workload,
};

/// Sends all arrivals and returns how they ended, in no order.
pub(super) async fn drive(
    target: Arc<Target>,
    workload: Arc<Workload>,
    started_at: Instant,
) -> Vec<Sample> {
    let mut open = JoinSet::new();
    let mut samples = Vec::with_capacity(workload.arrivals.len());
    for arrival in &workload.arrivals {
        let due = started_at + arrival.at;
        if due > Instant::now() {
            tokio::time::sleep_until(due.into()).await;
        }
        let target = Arc::clone(&target);
        let arrival = Arc::clone(arrival);
        open.spawn(async move { target.send(arrival, due).await });
        while let Some(ended) = open.try_join_next() {
            samples.extend(ended.ok());
        }
    }
    while let Some(ended) = open.join_next().await {
        samples.extend(ended.ok());
    }
    samples
}
