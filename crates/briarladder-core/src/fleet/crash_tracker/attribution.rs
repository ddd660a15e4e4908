//! Attributes crashes to the features that explain them.
//!
//! The requests at a server that crashes have many features: of the request
//! that crashed it, those that it shares with sound requests, and of requests
//! that were there by chance. The feature with the most crashes is taken as
//! their reason, and its crashes no longer count against other features.

use std::time::{Duration, Instant};

use crate::sorted::{SortedMap, SortedSet};

use super::{CRASH_LIMIT, Fingerprint, ServerIncarnation, suspect::Suspect};

/// Crashes within this time may have one external reason, for example a
/// network fault that resets the connections to several servers.
const MIN_CRASH_SPAN: Duration = Duration::from_millis(250);

/// Maximum number of features that are considered, those with the most crashes
/// first.
const MAX_CANDIDATES: usize = 64;

/// A feature with enough crashes to be a reason.
struct Candidate<'a> {
    fingerprint: &'a Fingerprint,
    suspect: &'a Suspect,
}

impl Candidate<'_> {
    /// Returns the times of the crashes that no other feature explains.
    fn unexplained<'b>(
        &'b self,
        explained: &'b SortedSet<ServerIncarnation>,
    ) -> impl Iterator<Item = Instant> + 'b {
        self.suspect
            .counted()
            .filter(|(incarnation, _)| !explained.contains(*incarnation))
            .map(|(_, at)| at)
    }

    /// Returns whether the unexplained crashes are enough, and not all at the
    /// same time.
    fn is_reason(&self, explained: &SortedSet<ServerIncarnation>) -> bool {
        let times = || self.unexplained(explained);
        let span = times().max().zip(times().min());
        let apart = span.is_some_and(|(last, first)| {
            last.duration_since(first) >= MIN_CRASH_SPAN
        });
        apart && times().count() >= CRASH_LIMIT
    }
}

/// Returns the features that are the reason of crashes. Of features with
/// equally many crashes, the most specific one is, since requests that share
/// only the other ones may be sound. If they are not, they add crashes to it.
pub(super) fn reasons(
    suspects: &SortedMap<Fingerprint, Suspect>,
) -> Vec<Fingerprint> {
    let mut candidates: Vec<Candidate<'_>> = suspects
        .iter()
        .filter(|(_, suspect)| suspect.counted().count() >= CRASH_LIMIT)
        .map(|(fingerprint, suspect)| Candidate { fingerprint, suspect })
        .collect();
    let crashes = |c: &Candidate<'_>| c.suspect.counted().count();
    candidates.sort_by_key(|c| std::cmp::Reverse(crashes(c)));
    candidates.truncate(MAX_CANDIDATES);
    let mut explained = SortedSet::new();
    let mut reasons = Vec::new();
    loop {
        candidates.retain(|candidate| candidate.is_reason(&explained));
        let best = candidates.iter().max_by_key(|candidate| {
            let unexplained = candidate.unexplained(&explained).count();
            (unexplained, candidate.suspect.specificity, candidate.fingerprint)
        });
        let Some(best) = best else { return reasons };
        reasons.push(*best.fingerprint);
        let incarnations: Vec<ServerIncarnation> =
            best.suspect.counted().map(|(i, _)| *i).collect();
        for incarnation in incarnations {
            explained.insert(incarnation);
        }
    }
}
