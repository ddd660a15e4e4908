//! What identifies requests that crash servers, and the servers that crash.

use serde::{Deserialize, Serialize};

/// Separates the hashes of prompt parts from those of whole requests.
const PROMPT_PART_CONTEXT: &str = "briarladder crash tracker, prompt part";

/// A hash of something that requests have in common. It is cryptographic, so
/// that no caller can craft a request that gets another caller's refused.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    fn finalize(hasher: &blake3::Hasher) -> Fingerprint {
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// Returns a hash that tells apart the features that a daemon knows.
    pub(super) fn short(self) -> u64 {
        rapidhash::v3::rapidhash_v3(&self.0)
    }
}

/// A property of a request that may be the reason why servers crash.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Feature {
    /// Identifies the property.
    pub fingerprint: Fingerprint,
    /// How few requests have it, compared to the other features of the same
    /// request; higher is fewer.
    pub specificity: u8,
}

impl Feature {
    /// Returns the feature of requests that are the same but for their id: a
    /// hash of their path, their caller and their body.
    #[must_use]
    pub fn whole_request(
        target: &str,
        caller: Option<&str>,
        body: &[u8],
    ) -> Feature {
        let mut hasher = blake3::Hasher::new();
        // The lengths prevent collisions between requests that divide the same
        // bytes differently.
        for part in [target, caller.unwrap_or_default()] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Feature::from_request_fingerprint(Fingerprint::finalize(&hasher))
    }

    /// Returns the feature of the requests with a fingerprint.
    #[must_use]
    pub fn from_request_fingerprint(fingerprint: Fingerprint) -> Feature {
        Feature { fingerprint, specificity: u8::MAX }
    }

    /// Returns whether the feature is that of a whole request.
    #[must_use]
    pub fn is_request(self) -> bool {
        self.specificity == u8::MAX
    }

    /// Returns the feature of requests that have a part of their prompts in
    /// common, which is at `position` in this one. Fewer requests share a
    /// later part.
    #[must_use]
    pub fn prompt_part(id: &str, position: usize) -> Feature {
        let mut hasher = blake3::Hasher::new_derive_key(PROMPT_PART_CONTEXT);
        hasher.update(id.as_bytes());
        let specificity = u8::try_from(position).unwrap_or(u8::MAX);
        Feature {
            fingerprint: Fingerprint::finalize(&hasher),
            specificity: specificity.min(u8::MAX - 1),
        }
    }
}

/// Identifies one process of a server.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ServerIncarnation(u64);

impl ServerIncarnation {
    /// Hashes the name of the server and the start time of its process.
    #[must_use]
    pub fn of(name: &str, born_ms: u64) -> ServerIncarnation {
        let name = rapidhash::v3::rapidhash_v3(name.as_bytes());
        ServerIncarnation(name.rotate_left(1) ^ born_ms)
    }

    pub(super) fn to_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against different requests, requests of two callers, or a prompt
    /// part and a request, that are treated as one.
    #[test]
    fn features_distinguished() {
        let whole = Feature::whole_request("/a", Some("b"), b"c");
        for other in [
            Feature::whole_request("/a", Some("bc"), b""),
            Feature::whole_request("/ab", None, b"c"),
            Feature::prompt_part("/a", 0),
        ] {
            assert_ne!(whole.fingerprint, other.fingerprint);
        }
        let first = Feature::prompt_part("p", 0);
        let moved = Feature::prompt_part("p", 2);
        assert_eq!(first.fingerprint, moved.fingerprint);
        assert!(whole.specificity > moved.specificity);
        assert!(moved.specificity > first.specificity);
        assert_ne!(
            ServerIncarnation::of("a", 1),
            ServerIncarnation::of("a", 2)
        );
    }
}
