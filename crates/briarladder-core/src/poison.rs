//! Detects requests that crash backend servers, and refuses them.
//!
//! A caller resends a request if it got no response, and any daemon may
//! receive the resend. Requests are therefore identified by their content,
//! and daemons notify each other of suspects.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::{
//!     names::{PipelineName, WorkspaceName},
//!     poison::{ContentHash, Suspects, Verdict},
//!     routing::Sharing,
//! };
//!
//! let pipeline = PipelineName::new("fold-plan").unwrap();
//! let workspace = WorkspaceName::new("dobradura").unwrap();
//! let hash = ContentHash::of(&pipeline, &workspace, b"{}");
//! let now = Instant::now();
//! let mut suspects = Suspects::new();
//! suspects.record_crash(now, hash, Sharing::Shared);
//! assert_eq!(suspects.start_attempt(now, hash), Verdict::RunExclusive);
//! suspects.record_crash(now, hash, Sharing::Exclusive);
//! let verdict = suspects.start_attempt(now, hash);
//! assert!(matches!(verdict, Verdict::Refuse { .. }));
//! ```

use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    names::{PipelineName, WorkspaceName},
    routing::Sharing,
    sorted::SortedMap,
};

/// How long a request is refused, and how long it remains a suspect without
/// new evidence.
pub const RETENTION: Duration = Duration::from_mins(10);

/// The most suspects kept, which take about 320 KiB.
pub const MAX_SUSPECTS: usize = 4_096;

/// The weight of a crash while other requests ran on the server.
const SHARED_WEIGHT: u8 = 1;

/// The weight of a crash while no other request ran on the server.
const EXCLUSIVE_WEIGHT: u8 = 2;

/// The weight from which a request is refused. One crash never reaches it. A
/// second one does if the request ran alone, as suspects do. Two crashes with
/// other requests don't: a rack failure can hit both the first server of a
/// request and that of its retry.
const REFUSAL_WEIGHT: u8 = SHARED_WEIGHT + EXCLUSIVE_WEIGHT;

/// How long a copy of a suspect that runs alone blocks other copies at most,
/// in case its end is never recorded.
const EXCLUSIVE_RUN_TIMEOUT: Duration = Duration::from_mins(1);

/// Identifies a request by a hash of pipeline, workspace and body.
///
/// The hash is cryptographic, so that no workspace can craft a body for which
/// a request of another workspace is refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct ContentHash(u128);

impl ContentHash {
    /// Hashes a request. Zero bytes separate the parts; names contain none.
    #[must_use]
    pub fn of(
        pipeline: &PipelineName,
        workspace: &WorkspaceName,
        body: &[u8],
    ) -> ContentHash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(pipeline.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(workspace.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        ContentHash(u128::from_be_bytes(bytes))
    }
}

impl From<ContentHash> for String {
    fn from(hash: ContentHash) -> String {
        hash.to_string()
    }
}

/// The error for a string that is not a content hash.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("a content hash has exactly 32 hexadecimal digits")]
pub struct ContentHashError;

impl TryFrom<String> for ContentHash {
    type Error = ContentHashError;

    fn try_from(text: String) -> Result<ContentHash, ContentHashError> {
        let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 32 || !hex {
            return Err(ContentHashError);
        }
        let value = u128::from_str_radix(&text, 16);
        value.map(ContentHash).map_err(|_| ContentHashError)
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may share a server with other requests.
    Run,
    /// It must have a server to itself.
    RunExclusive,
    /// It must wait, because another copy of this suspect is running.
    /// Otherwise each copy could crash another server.
    Wait,
    /// It must not run.
    Refuse {
        /// The time until the refusal ends.
        retry_after: Duration,
    },
}

/// A notice of one daemon to its peers about a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Identifies the request.
    pub hash: ContentHash,
    /// What the sender knows about it.
    pub state: NoticeState,
}

/// The state of a request in a [`Notice`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum NoticeState {
    /// It may have crashed a server.
    Suspect {
        /// The sum of the weights of its crashes.
        weight: u8,
    },
    /// It is refused.
    Refused {
        /// The remaining time of the refusal in milliseconds.
        left_ms: u64,
    },
    /// It has run without a crash and is no longer a suspect.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    weight: u8,
    updated_at: Instant,
    refused_until: Option<Instant>,
    /// Since when a copy runs alone.
    exclusive_since: Option<Instant>,
}

impl Suspect {
    fn is_expired(&self, now: Instant) -> bool {
        let since = self.refused_until.unwrap_or(self.updated_at);
        now.saturating_duration_since(since) >= RETENTION
    }

    /// Ends an expired refusal. The request is a suspect again, not cleared.
    fn end_refusal(&mut self, now: Instant) {
        if self.refused_until.is_some_and(|until| until <= now) {
            self.weight = REFUSAL_WEIGHT - 1;
            self.refused_until = None;
            self.updated_at = now;
        }
    }
}

/// The requests that one daemon suspects of crashing servers.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: SortedMap<ContentHash, Suspect>,
}

impl Suspects {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Decides how an attempt may run, and records the start of a suspect.
    /// After [`Verdict::RunExclusive`], call [`Suspects::record_crash`],
    /// [`Suspects::record_success`] or [`Suspects::record_inconclusive`].
    pub fn start_attempt(
        &mut self,
        now: Instant,
        hash: ContentHash,
    ) -> Verdict {
        let Some(entry) = self.entries.get_mut(&hash) else {
            return Verdict::Run;
        };
        if entry.is_expired(now) {
            self.entries.remove(&hash);
            return Verdict::Run;
        }
        entry.end_refusal(now);
        if let Some(until) = entry.refused_until {
            return Verdict::Refuse { retry_after: until - now };
        }
        let runs_exclusively = entry.exclusive_since.is_some_and(|since| {
            now.saturating_duration_since(since) < EXCLUSIVE_RUN_TIMEOUT
        });
        if runs_exclusively {
            return Verdict::Wait;
        }
        entry.exclusive_since = Some(now);
        Verdict::RunExclusive
    }

    /// Records that a server crashed while it ran a request, and returns the
    /// notice for peers.
    ///
    /// Call it for each request that was on the server, and only if the
    /// server itself failed: its connections broke, and it then refused a
    /// connection or reported another incarnation.
    pub fn record_crash(
        &mut self,
        now: Instant,
        hash: ContentHash,
        sharing: Sharing,
    ) -> Notice {
        let weight = match sharing {
            Sharing::Shared => SHARED_WEIGHT,
            Sharing::Exclusive => EXCLUSIVE_WEIGHT,
        };
        let known = self.entries.get(&hash).filter(|e| !e.is_expired(now));
        let weight = known.map_or(weight, |entry| {
            entry.weight.saturating_add(weight).min(REFUSAL_WEIGHT)
        });
        let refused = weight >= REFUSAL_WEIGHT;
        if refused {
            log::warn!(
                "poison: request {hash} is refused because it crashes servers"
            );
        }
        self.insert_bounded(
            now,
            hash,
            Suspect {
                weight,
                updated_at: now,
                refused_until: refused.then(|| now + RETENTION),
                exclusive_since: None,
            },
        );
        let left_ms = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
        let state = if refused {
            NoticeState::Refused { left_ms }
        } else {
            NoticeState::Suspect { weight }
        };
        Notice { hash, state }
    }

    /// Records a complete response. The first one clears a request whose only
    /// crash was on a shared server; after a crash while it ran alone, two
    /// are needed. Returns a notice for peers if the request is cleared.
    pub fn record_success(
        &mut self,
        now: Instant,
        hash: ContentHash,
    ) -> Option<Notice> {
        let entry = self.entries.get_mut(&hash)?;
        entry.exclusive_since = None;
        entry.end_refusal(now);
        if entry.refused_until.is_some() {
            // The attempt began before the refusal and does not lift it.
            return None;
        }
        if entry.weight > SHARED_WEIGHT {
            entry.weight -= SHARED_WEIGHT;
            return None;
        }
        self.entries.remove(&hash);
        Some(Notice { hash, state: NoticeState::Cleared })
    }

    /// Records that an attempt ended without evidence for or against the
    /// request, for example by a cancellation or a refusal.
    pub fn record_inconclusive(&mut self, hash: ContentHash) {
        if let Some(entry) = self.entries.get_mut(&hash) {
            entry.exclusive_since = None;
        }
    }

    /// Applies the notice of a peer. This is idempotent: weights are merged
    /// by maximum, not added.
    pub fn apply_notice(&mut self, now: Instant, notice: &Notice) {
        let known = self.entries.get(&notice.hash).copied();
        let known = known.filter(|entry| !entry.is_expired(now));
        let (weight, refused_until) = match notice.state {
            NoticeState::Cleared => {
                if known.is_some_and(|e| e.weight <= SHARED_WEIGHT) {
                    self.entries.remove(&notice.hash);
                }
                return;
            }
            NoticeState::Suspect { weight } => {
                (weight.clamp(SHARED_WEIGHT, REFUSAL_WEIGHT - 1), None)
            }
            NoticeState::Refused { left_ms } => {
                let left = Duration::from_millis(left_ms).min(RETENTION);
                (REFUSAL_WEIGHT, Some(now + left))
            }
        };
        let stronger = known.filter(|entry| entry.weight >= weight);
        let merged = Suspect {
            weight: stronger.map_or(weight, |entry| entry.weight),
            // A repeated notice is not new evidence.
            updated_at: stronger.map_or(now, |entry| entry.updated_at),
            refused_until: known
                .and_then(|entry| entry.refused_until)
                .max(refused_until),
            exclusive_since: known.and_then(|entry| entry.exclusive_since),
        };
        self.insert_bounded(now, notice.hash, merged);
    }

    /// Inserts an entry. At the size limit it evicts an expired entry, or else
    /// the oldest one of the lowest weight; an entry of lower weight than all
    /// others is not inserted. A flood of weak suspects therefore evicts no
    /// refused request.
    fn insert_bounded(
        &mut self,
        now: Instant,
        hash: ContentHash,
        suspect: Suspect,
    ) {
        let full = self.entries.len() >= MAX_SUSPECTS;
        if full && !self.entries.contains_key(&hash) {
            let weakest = self.entries.iter().min_by_key(|(_, entry)| {
                (!entry.is_expired(now), entry.weight, entry.updated_at)
            });
            let Some((weakest, entry)) = weakest else { return };
            if !entry.is_expired(now) && entry.weight > suspect.weight {
                return;
            }
            let weakest = *weakest;
            self.entries.remove(&weakest);
        }
        self.entries.insert(hash, suspect);
    }

    /// Returns the number of suspects, including refused requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
