//! Metrics, sent as statsd over UDP.
//!
//! A background thread buffers and sends them, so that the request path
//! never waits. When its queue is full, metrics are dropped.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use briarladder_core::{
    admission::RefusalReason,
    names::{PipelineName, StageName, VmName},
    objects::snapshot::RankIndex,
};
use briarladder_gateway::caller_memory::CallerMemoryStatus;
use cadence::{
    BufferedUdpMetricSink, CountedExt, Gauged, NopMetricSink,
    QueuingMetricSink, StatsdClient, Timed,
};

/// The maximum number of metrics that wait to be sent.
const QUEUED_METRICS: usize = 4096;

/// The statsd client of this process.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a client that sends to an address, or discards all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when no UDP socket can be opened.
    pub fn new(
        statsd: Option<SocketAddr>,
        vm: &VmName,
    ) -> anyhow::Result<Metrics> {
        let client = match statsd {
            None => StatsdClient::from_sink("briarladder", NopMetricSink),
            Some(address) => {
                let unspecified = match address {
                    SocketAddr::V4(_) => "0.0.0.0:0",
                    SocketAddr::V6(_) => "[::]:0",
                };
                let socket = UdpSocket::bind(unspecified)?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket)?;
                let sink =
                    QueuingMetricSink::with_capacity(sink, QUEUED_METRICS);
                StatsdClient::builder("briarladder", sink)
                    .with_tag("vm", vm)
                    .build()
            }
        };
        Ok(Metrics { client })
    }

    /// Records the status and duration of a finished request.
    pub fn record_request(
        &self,
        pipeline: &PipelineName,
        status: u16,
        elapsed: Duration,
    ) {
        let status = status.to_string();
        self.client
            .time_with_tags("request.time", elapsed)
            .with_tag("pipeline", pipeline.as_str())
            .with_tag("status", &status)
            .send();
    }

    /// Records the duration of the successful attempt of a stage.
    pub fn record_stage(&self, stage: &StageName, elapsed: Duration) {
        self.client
            .time_with_tags("stage.time", elapsed)
            .with_tag("stage", stage.as_str())
            .send();
    }

    /// Counts a request that admission refused.
    pub fn record_refusal(&self, rank: RankIndex, reason: RefusalReason) {
        let reason = match reason {
            RefusalReason::DeadlineTooShort => "deadline_too_short",
            RefusalReason::WaitTooLong => "wait_too_long",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::CallerQueueFull => "caller_queue_full",
            RefusalReason::NoSlots => "no_slots",
        };
        let rank = rank.to_string();
        self.client
            .incr_with_tags("admission.refused")
            .with_tag("rank", &rank)
            .with_tag("reason", reason)
            .send();
    }

    /// Reports the number of queued and of open requests.
    pub fn record_load(&self, queue_len_requests: u64, open_requests: u64) {
        // Metrics are best effort: an error is ignored.
        let _ = self.client.gauge("queue.len", queue_len_requests);
        let _ = self.client.gauge("requests.open", open_requests);
    }

    /// Reports the memory that requests of callers take.
    pub fn record_callers(&self, status: CallerMemoryStatus) {
        let held_bytes = u64::try_from(status.held_bytes).unwrap_or(u64::MAX);
        let turned_away = status.turned_away_for_memory;
        let _ = self.client.gauge("callers.bytes", held_bytes);
        let _ = self.client.gauge("callers.turned_away", turned_away);
    }

    /// Reports the epoch of the configuration in force.
    pub fn record_epoch(&self, epoch: u64) {
        let _ = self.client.gauge("config.epoch", epoch);
    }
}
