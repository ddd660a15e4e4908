//! Running means over the servers of a pool.

use std::time::Duration;

/// The longest time for which a reported load is used as it is: one poll
/// interval.
const MAX_FRESH_TIME: Duration = Duration::from_secs(2);

/// The longest time after that over which the weight of a reported load
/// falls to 0, unless the server has a backlog.
const MAX_FADE_TIME: Duration = Duration::from_secs(4);

/// The fresh time and the fade time in mean service times. They are below
/// one, because after one service time the reported requests have finished.
/// With longer times, daemons kept choosing servers that one shared report
/// showed as idle; examples/herding.rs shows the queues this causes.
const FRESH_SERVICE_TIMES: f64 = 0.1;
const FADE_SERVICE_TIMES: f64 = 0.4;

/// The shortest of these times, for services that respond within a few
/// milliseconds.
const MIN_REPORT_TIME: Duration = Duration::from_millis(20);

/// The share of slots assumed in use by other daemons before any report.
const DEFAULT_OTHERS_FILL: f64 = 0.5;

/// The highest share assumed in use without a report. Below 1, so that a
/// silent server gets attempts, whose responses bring reports.
const MAX_ASSUMED_FILL: f64 = 0.8;

/// The weight of the newest sample in the pool's means.
const SAMPLE_WEIGHT: f64 = 0.02;

/// The means of a pool, used for servers without recent data of their own.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolMeans {
    /// The mean service time; 0 before any was measured.
    pub(super) service_time_s: f64,
    /// The mean share of slots that others use.
    others_fill: f64,
    /// How long a report is used as it is.
    pub(super) fresh_time: Duration,
    /// Over which time after that its weight falls to 0.
    /// Over which time after that its weight falls to 0.
    pub(super) fade_time: Duration,
}

impl PoolMeans {
    pub(super) fn new() -> PoolMeans {
        PoolMeans {
            service_time_s: 0.0,
            others_fill: DEFAULT_OTHERS_FILL,
            fresh_time: MAX_FRESH_TIME,
            fade_time: MAX_FADE_TIME,
        }
    }

    pub(super) fn add_service_time(&mut self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        let mean = &mut self.service_time_s;
        if *mean == 0.0 {
            *mean = sample;
        }
        *mean += (sample - *mean) * SAMPLE_WEIGHT;
        let mean = Duration::from_secs_f64(*mean);
        self.fresh_time = mean
            .mul_f64(FRESH_SERVICE_TIMES)
            .clamp(MIN_REPORT_TIME, MAX_FRESH_TIME);
        self.fade_time = mean
            .mul_f64(FADE_SERVICE_TIMES)
            .clamp(MIN_REPORT_TIME, MAX_FADE_TIME);
    }

    pub(super) fn add_others_fill(&mut self, sample: f64) {
        self.others_fill += (sample - self.others_fill) * SAMPLE_WEIGHT;
    }

    /// Returns the share of slots that is assumed to be in use by other
    /// daemons.
    pub(super) fn assumed_fill(&self) -> f64 {
        self.others_fill.min(MAX_ASSUMED_FILL)
    }
}
