//! A bounded, decaying sample of response times.

use std::time::{Duration, Instant};

/// Buckets for each doubling of the response time. A quantile is at most a
/// fifth too high.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets. The first one ends at 1 ms, the last one at 3 minutes.
const BUCKET_COUNT: usize = 72;

/// Time in which the weight of an observation halves. It is long enough to
/// keep enough observations of a service that a daemon calls once in a few
/// seconds.
const HALF_LIFE: Duration = Duration::from_mins(2);

/// The weight of the observations below which no quantile is known.
const MIN_WEIGHT: f64 = 12.0;

/// Response times in buckets of exponentially growing width, in which recent
/// ones weigh more.
#[derive(Clone, Debug)]
pub struct ResponseTimes {
    weights: [f32; BUCKET_COUNT],
    decayed_at: Option<Instant>,
}

impl Default for ResponseTimes {
    fn default() -> ResponseTimes {
        ResponseTimes { weights: [0.0; BUCKET_COUNT], decayed_at: None }
    }
}

impl ResponseTimes {
    /// Adds a response time.
    pub fn record(&mut self, now: Instant, elapsed: Duration) {
        let factor = self.decay_factor(now);
        for weight in &mut self.weights {
            *weight *= factor;
        }
        self.decayed_at = Some(now);
        self.weights[bucket_of(elapsed)] += 1.0;
    }

    /// Returns an upper bound of a quantile, or `None` while too little was
    /// observed.
    #[must_use]
    pub fn quantile(&self, now: Instant, fraction: f64) -> Option<Duration> {
        let total: f64 = self.weights.iter().copied().map(f64::from).sum();
        if total * f64::from(self.decay_factor(now)) < MIN_WEIGHT {
            return None;
        }
        let mut below = 0.0;
        let at = self.weights.iter().position(|weight| {
            below += f64::from(*weight);
            below >= total * fraction
        });
        Some(upper_bound(at.unwrap_or(BUCKET_COUNT - 1)))
    }

    #[allow(clippy::cast_possible_truncation)] // A weight needs few digits.
    fn decay_factor(&self, now: Instant) -> f32 {
        let Some(decayed_at) = self.decayed_at else { return 1.0 };
        let age = now.saturating_duration_since(decayed_at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2() as f32
    }
}

// The logarithm is limited to the number of buckets.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn bucket_of(elapsed: Duration) -> usize {
    let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
    let doublings = elapsed_ms.max(1.0).log2();
    let bucket = (doublings * BUCKETS_PER_DOUBLING).ceil() as usize;
    bucket.min(BUCKET_COUNT - 1)
}

#[allow(clippy::cast_precision_loss)] // There are few buckets.
fn upper_bound(bucket: usize) -> Duration {
    let upper_ms = (bucket as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_secs_f64(upper_ms / 1000.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a quantile that a few slow responses move, and against
    /// one that is known from too few.
    #[test]
    fn quantile_of_mixed_times() {
        let now = Instant::now();
        let mut times = ResponseTimes::default();
        for number in 0..100 {
            if number == 11 {
                assert_eq!(times.quantile(now, 0.95), None);
            }
            let slow = number % 25 == 24;
            let elapsed_ms = if slow { 2000 } else { 50 };
            times.record(now, Duration::from_millis(elapsed_ms));
        }
        let quantile = times.quantile(now, 0.95).unwrap();
        assert!((50..60).contains(&quantile.as_millis()), "{quantile:?}");
        let slowest = times.quantile(now, 0.99).unwrap();
        assert!(slowest.as_millis() >= 2000, "{slowest:?}");
    }

    /// Guards against a quantile that stays low after the service has become
    /// slower for good, and against one that is never forgotten.
    #[test]
    fn quantile_after_change() {
        let start = Instant::now();
        let mut times = ResponseTimes::default();
        for second in 0..300 {
            let at = start + Duration::from_secs(second);
            let elapsed_ms = if second < 100 { 50 } else { 400 };
            times.record(at, Duration::from_millis(elapsed_ms));
        }
        let end = start + Duration::from_mins(5);
        assert!(times.quantile(end, 0.5).unwrap().as_millis() >= 400);
        let later = end + HALF_LIFE * 10;
        assert_eq!(times.quantile(later, 0.5), None);
    }
}
