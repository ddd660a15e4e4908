//! Open-loop load generator: sends each request when it is due, whether or
//! not earlier ones have finished.

use std::{sync::Arc, time::Instant};

use tokio::task::JoinSet;

use super::{
    callers::{RequestRecord, Target},
    workload::Workload,
};

/// Sends all arrivals and returns their results in order of completion.
pub(super) async fn send_arrivals(
    target: Arc<Target>,
    workload: Arc<Workload>,
    started_at: Instant,
) -> Vec<RequestRecord> {
    let mut in_flight = JoinSet::new();
    let mut records = Vec::with_capacity(workload.arrivals.len());
    for arrival in &workload.arrivals {
        let due_at = started_at + arrival.offset;
        if due_at > Instant::now() {
            tokio::time::sleep_until(due_at.into()).await;
        }
        let target = Arc::clone(&target);
        let arrival = Arc::clone(arrival);
        in_flight.spawn(async move { target.send(arrival, due_at).await });
        while let Some(finished) = in_flight.try_join_next() {
            records.extend(finished.ok());
        }
    }
    while let Some(finished) = in_flight.join_next().await {
        records.extend(finished.ok());
    }
    records
}
