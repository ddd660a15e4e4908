//! Estimates of the service time of each stage: how long one run of the stage
//! takes, as a running mean and its deviation.
//!
//! The configuration declares a value for each stage, from which the estimate
//! starts. While an estimate exceeds every deadline, all requests are refused,
//! so no run of the stage can lower it. Without new measurements the estimate
//! therefore decays to the declared value.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    names::StageName, objects::snapshot::ResolvedStage, sorted::SortedMap,
};

/// A new measurement moves the mean by 1/8 of its difference from the mean,
/// and the deviation by 1/4 of the way to that difference, as in the
/// retransmission timer of TCP (RFC 6298).
const MEAN_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;

/// The time without measurements after which the deviation, and the
/// difference between the mean and the declared value, have halved.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// The most halvings that are applied. More would overflow the shift; 31
/// reduce 2 s to less than 1 ns.
const MAX_HALVINGS: u32 = 31;

/// The estimated service time of a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// The running mean; the declared value without measurements.
    pub mean: Duration,
    /// The running mean of the absolute differences between the measured
    /// service times and `mean`.
    pub deviation: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Measured {
    estimate: Estimate,
    /// When the last measurement was added.
    at: Instant,
}

/// Service time estimates by stage name.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    stages: SortedMap<StageName, Measured>,
}

impl Estimates {
    /// Creates estimates without measurements.
    #[must_use]
    pub fn new() -> Estimates {
        Estimates::default()
    }

    /// Adds the measured service time of one run of a stage.
    pub fn observe(
        &mut self,
        now: Instant,
        stage: &ResolvedStage,
        service_time: Duration,
    ) {
        let before = self.estimate(now, stage);
        let error = service_time.abs_diff(before.mean);
        let step = error / MEAN_DIVISOR;
        let mean = if service_time >= before.mean {
            before.mean + step
        } else {
            before.mean.saturating_sub(step)
        };
        let weighted =
            before.deviation / DEVIATION_DIVISOR * (DEVIATION_DIVISOR - 1);
        let deviation = weighted + error / DEVIATION_DIVISOR;
        let estimate = Estimate { mean, deviation };
        self.stages
            .insert(stage.stage.name.clone(), Measured { estimate, at: now });
    }

    /// Returns the estimate of a stage, which is the declared one until a
    /// service time has been measured.
    #[must_use]
    pub fn estimate(&self, now: Instant, stage: &ResolvedStage) -> Estimate {
        let declared = stage.estimate();
        let Some(measured) = self.stages.get(&stage.stage.name) else {
            return Estimate { mean: declared, deviation: Duration::ZERO };
        };
        let age = now.saturating_duration_since(measured.at);
        let halvings = age.as_secs() / HALF_LIFE.as_secs();
        let halvings =
            u32::try_from(halvings).unwrap_or(u32::MAX).min(MAX_HALVINGS);
        let Estimate { mean, deviation } = measured.estimate;
        let difference = mean.abs_diff(declared) / (1 << halvings);
        let mean = if mean >= declared {
            declared + difference
        } else {
            declared.saturating_sub(difference)
        };
        Estimate { mean, deviation: deviation / (1 << halvings) }
    }

    /// Returns the expected time of stages that run one after another: the
    /// sum of the means, plus the deviation of that sum.
    ///
    /// Deviations add as squares, since stages vary independently. Their
    /// plain sum is too high and would refuse requests that fit.
    #[must_use]
    pub fn expected_time(
        &self,
        now: Instant,
        stages: &[Arc<ResolvedStage>],
    ) -> Duration {
        let mut mean = Duration::ZERO;
        let mut variance_s2 = 0.0;
        for stage in stages {
            let estimate = self.estimate(now, stage);
            mean += estimate.mean;
            variance_s2 += estimate.deviation.as_secs_f64().powi(2);
        }
        let deviation = Duration::try_from_secs_f64(variance_s2.sqrt());
        mean.saturating_add(deviation.unwrap_or(Duration::MAX))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        names::PoolName,
        objects::{Role, Stage, Work, snapshot::ResolvedPool},
    };

    fn stage() -> Arc<ResolvedStage> {
        let pool = PoolName::new("encoders").unwrap();
        let stage = Stage {
            name: StageName::new("encode").unwrap(),
            pool: pool.clone(),
            work: Work::Encode,
            estimate_ms: 100,
            timeout_ms: 1_000,
            idempotent: true,
        };
        let pool = Arc::new(ResolvedPool {
            name: pool,
            role: Role::Encoder,
            servers: Vec::new(),
        });
        Arc::new(ResolvedStage { stage, pool })
    }

    /// Guards against refusing all requests for ever after a slow phase: a
    /// high estimate admits no request whose measurement could lower it.
    #[test]
    fn estimate_decays_without_measurements() {
        let (now, stage) = (Instant::now(), stage());
        let mut estimates = Estimates::new();
        let declared = estimates.estimate(now, &stage);
        assert_eq!(declared.mean, Duration::from_millis(100));
        for _ in 0..100 {
            estimates.observe(now, &stage, Duration::from_secs(9));
        }
        let slow = estimates.estimate(now + Duration::from_secs(9), &stage);
        assert!(slow.mean > Duration::from_secs(8), "{slow:?}");
        let later = estimates.estimate(now + Duration::from_mins(1), &stage);
        assert!(later.mean < Duration::from_millis(300), "{later:?}");
    }

    /// Guards against ignoring the variation of a stage, and against adding
    /// up deviations like means.
    #[test]
    fn expected_time_adds_deviation() {
        let (now, stage) = (Instant::now(), stage());
        let mut estimates = Estimates::new();
        for i in 0..1_000 {
            let time =
                Duration::from_millis(if i % 2 == 0 { 50 } else { 150 });
            estimates.observe(now, &stage, time);
        }
        let one = estimates.expected_time(now, &[Arc::clone(&stage)]);
        let four = estimates.expected_time(now, &vec![stage; 4]);
        assert!((130..170).contains(&one.as_millis()), "{one:?}");
        assert!((470..530).contains(&four.as_millis()), "{four:?}");
    }
}
