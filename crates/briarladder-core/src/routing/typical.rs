//! The means of a pool.

use std::time::Duration;

/// The longest time for which a report is taken at face value: one poll
/// interval.
const REPORT_FRESH: Duration = Duration::from_secs(2);

/// The longest time after that in which a report comes to say nothing of the
/// load, unless the server has a backlog.
const REPORT_FADES: Duration = Duration::from_secs(4);

/// A report is fresh for this many mean service times, and fades over the
/// next ones, because after one service time the reported requests are gone.
/// With longer times, daemons kept choosing servers that one shared report
/// showed as idle; examples/herding.rs shows the queues this causes.
const FRESH_SERVICE_TIMES: f64 = 0.1;
const FADING_SERVICE_TIMES: f64 = 0.4;

/// The shortest of these times, for services that answer within a few
/// milliseconds.
const MIN_REPORT_TIME: Duration = Duration::from_millis(20);

/// The share of slots assumed in use by other daemons before any report.
const UNKNOWN_FILL: f64 = 0.5;

/// The highest share assumed in use without a report. Below 1, so that a
/// silent server is tried, which brings a report.
const MAX_UNKNOWN_FILL: f64 = 0.8;

/// The weight of the newest sample in the pool's means.
const TYPICAL_WEIGHT: f64 = 0.02;

/// The means of a pool, for servers of which too little is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct Typical {
    /// The mean service time; 0 before any was measured.
    pub(super) elapsed_s: f64,
    /// The mean share of slots that others use.
    others_fill: f64,
    pub(super) report_fresh: Duration,
    pub(super) report_fades: Duration,
}

impl Typical {
    pub(super) fn new() -> Typical {
        Typical {
            elapsed_s: 0.0,
            others_fill: UNKNOWN_FILL,
            report_fresh: REPORT_FRESH,
            report_fades: REPORT_FADES,
        }
    }

    pub(super) fn add_elapsed(&mut self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        let mean = &mut self.elapsed_s;
        if *mean == 0.0 {
            *mean = sample;
        }
        *mean += (sample - *mean) * TYPICAL_WEIGHT;
        let mean = Duration::from_secs_f64(*mean);
        self.report_fresh = mean
            .mul_f64(FRESH_SERVICE_TIMES)
            .clamp(MIN_REPORT_TIME, REPORT_FRESH);
        self.report_fades = mean
            .mul_f64(FADING_SERVICE_TIMES)
            .clamp(MIN_REPORT_TIME, REPORT_FADES);
    }

    pub(super) fn add_others_fill(&mut self, sample: f64) {
        self.others_fill += (sample - self.others_fill) * TYPICAL_WEIGHT;
    }

    /// Returns the share of slots to assume that others use.
    pub(super) fn unknown_fill(&self) -> f64 {
        self.others_fill.min(MAX_UNKNOWN_FILL)
    }
}
