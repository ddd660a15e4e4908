//! Checks that a server that resumes a stream goes on where it broke off.
//!
//! A faulty server may start with the first event again, skip some, or send
//! something else. Its events must not be joined to those of another server.
//!
//! # Example
//!
//! ```
//! use briarladder_core::fleet::event_sequence::EventSequence;
//!
//! let mut sequence = EventSequence::default();
//! sequence.record("4");
//! sequence.record("5");
//! assert!(sequence.goes_on_with(Some("6")));
//! assert!(!sequence.goes_on_with(Some("7")), "an event is missing");
//! assert!(!sequence.goes_on_with(Some("5")), "an event comes twice");
//! assert!(!sequence.goes_on_with(None), "not an event of this stream");
//! ```

/// The distance between the ids of successive events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Spacing {
    /// Fewer than two events have arrived.
    #[default]
    Unknown,
    /// Each id was one higher than the id before.
    Consecutive,
    /// Some ids were left out, or are no numbers.
    Irregular,
}

/// The ids of the events of one stream so far.
#[derive(Clone, Debug, Default)]
pub struct EventSequence {
    last_id: Option<String>,
    spacing: Spacing,
}

impl EventSequence {
    /// Records the id of the next event.
    pub fn record(&mut self, id: &str) {
        if let Some(last_id) = &self.last_id {
            let is_next = distance(last_id, id) == Some(1);
            self.spacing = match self.spacing {
                Spacing::Unknown | Spacing::Consecutive if is_next => {
                    Spacing::Consecutive
                }
                _ => Spacing::Irregular,
            };
        }
        self.last_id = Some(id.to_owned());
    }

    /// Returns the id of the last event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an event with this id may be the first one of a server
    /// that resumes the stream. Ids increase; if none was left out so far,
    /// none may be left out here.
    #[must_use]
    pub fn goes_on_with(&self, id: Option<&str>) -> bool {
        let Some(last_id) = &self.last_id else { return true };
        let Some(id) = id else { return false };
        match distance(last_id, id) {
            Some(distance) if self.spacing == Spacing::Consecutive => {
                distance == 1
            }
            Some(distance) => distance > 0,
            // Ids that are no numbers can't be ordered.
            None => id != last_id,
        }
    }
}

/// Returns by how much an id is higher, or `None` unless both are numbers.
fn distance(earlier: &str, later: &str) -> Option<i128> {
    let earlier: u64 = earlier.parse().ok()?;
    let later: u64 = later.parse().ok()?;
    Some(i128::from(later) - i128::from(earlier))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sequence(ids: &[&str]) -> EventSequence {
        let mut sequence = EventSequence::default();
        for id in ids {
            sequence.record(id);
        }
        sequence
    }

    /// Guards against a sound resume that is taken for a wrong one because
    /// the ids of its stream are not consecutive numbers.
    #[test]
    fn goes_on_with_irregular() {
        assert!(sequence(&[]).goes_on_with(None));
        assert!(sequence(&[]).goes_on_with(Some("0")));
        assert!(sequence(&["7"]).goes_on_with(Some("12")));
        assert!(sequence(&["2", "7"]).goes_on_with(Some("12")));
        assert!(sequence(&["2", "7", "8"]).goes_on_with(Some("12")));
        assert!(sequence(&["a", "b"]).goes_on_with(Some("c")));
    }

    /// Guards against events that come twice or are missing.
    #[test]
    fn goes_on_with_wrong() {
        for ids in [&["3"][..], &["1", "3"], &["2", "3"], &["a", "3"]] {
            for id in [Some("0"), Some("3"), None] {
                assert!(!sequence(ids).goes_on_with(id), "{ids:?} {id:?}");
            }
        }
        assert!(!sequence(&["2", "3"]).goes_on_with(Some("5")));
        assert!(!sequence(&["a"]).goes_on_with(Some("a")));
    }
}
