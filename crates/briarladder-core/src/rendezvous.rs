//! Rendezvous hashing (highest random weight) over names.
//!
//! Processes that know the same names compute the same order without
//! communicating, and removing a name reassigns only the keys it owned.
//!
//! # Example
//!
//! ```
//! use briarladder_core::rendezvous;
//!
//! let order = rendezvous::order("zone-a", ["vm-1", "vm-2", "vm-3"]);
//! let without_first = rendezvous::order("zone-a", order[1..].to_vec());
//! assert_eq!(order[1..], without_first);
//! ```

use rapidhash::v3::{RapidSecrets, rapidhash_v3, rapidhash_v3_seeded};

/// Returns the score of a candidate for a key. The candidate with the highest
/// score comes first in rendezvous order.
#[must_use]
pub fn score(key: &str, candidate: &str) -> u64 {
    let secrets = RapidSecrets::seed(rapidhash_v3(key.as_bytes()));
    rapidhash_v3_seeded(candidate.as_bytes(), &secrets)
}

/// Returns the candidates in rendezvous order for a key.
pub fn order<T: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = T>,
) -> Vec<T> {
    let mut scored: Vec<(u64, T)> = candidates
        .into_iter()
        .map(|candidate| (score(key, candidate.as_ref()), candidate))
        .collect();
    // Ties are broken by name, so that all processes agree.
    scored.sort_by(|a, b| {
        b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref()))
    });
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Returns the first `count` candidates in rendezvous order for a key.
///
/// This is faster than [`order`] when `count` is small.
pub fn top<'a, T: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
    count: usize,
) -> Vec<&'a T> {
    let secrets = RapidSecrets::seed(rapidhash_v3(key.as_bytes()));
    let mut top: Vec<(u64, &T)> = Vec::with_capacity(count + 1);
    for candidate in candidates {
        let name = candidate.as_ref();
        let score = rapidhash_v3_seeded(name.as_bytes(), &secrets);
        let index = top.partition_point(|(other_score, other)| {
            *other_score > score
                || (*other_score == score && other.as_ref() < name)
        });
        if index < count {
            top.insert(index, (score, candidate));
            top.truncate(count);
        }
    }
    top.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Returns whether a candidate is among the first `count` candidates in
/// rendezvous order for a key.
pub fn is_in_top<T: AsRef<str>>(
    key: &str,
    candidates: &[T],
    count: usize,
    candidate: &str,
) -> bool {
    let secrets = RapidSecrets::seed(rapidhash_v3(key.as_bytes()));
    let score = |name: &str| rapidhash_v3_seeded(name.as_bytes(), &secrets);
    let own_score = score(candidate);
    let mut ahead = 0;
    let mut is_candidate = false;
    for other in candidates.iter().map(AsRef::as_ref) {
        if other == candidate {
            is_candidate = true;
            continue;
        }
        let other_score = score(other);
        let is_ahead = other_score > own_score
            || (other_score == own_score && other < candidate);
        ahead += usize::from(is_ahead);
        if ahead >= count {
            return false;
        }
    }
    is_candidate && count > 0
}

/// Returns the first candidate in rendezvous order for a key.
pub fn first<'a, T: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    candidates.into_iter().max_by(|a, b| {
        let (a, b) = (a.as_ref(), b.as_ref());
        score(key, a).cmp(&score(key, b)).then_with(|| b.cmp(a))
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a result that depends on the order of the input, which
    /// would make two processes choose different owners.
    #[test]
    fn order_ignores_input_order() {
        let names = ["a", "b", "c", "d", "e"];
        let mut reversed = names;
        reversed.reverse();
        assert_eq!(order("k", names), order("k", reversed));
        assert_eq!(first("k", &names), order("k", &names).first().copied());
    }

    /// Guards against `top` and `order` disagreeing.
    #[test]
    fn top_is_start_of_order() {
        let names: Vec<String> = (0..50).map(|i| format!("vm-{i}")).collect();
        for count in [0, 1, 3, 60] {
            let order = order("k", &names);
            assert_eq!(top("k", &names, count), order[..count.min(50)]);
        }
    }

    /// Guards against `is_in_top` and `top` disagreeing, and against a name
    /// that isn't a candidate.
    #[test]
    fn is_in_top_as_top() {
        let names: Vec<String> = (0..50).map(|i| format!("vm-{i}")).collect();
        for count in [0, 1, 3, 60] {
            let top = top("k", &names, count);
            for name in &names {
                let expected = top.contains(&name);
                assert_eq!(is_in_top("k", &names, count, name), expected);
            }
            assert!(!is_in_top("k", &names, count, "other"));
        }
    }

    /// Guards against a hash that assigns most keys to one candidate.
    #[test]
    fn first_spreads_keys() {
        let names: Vec<String> = (0..10).map(|i| format!("vm-{i}")).collect();
        let mut counts = [0_u32; 10];
        for key in 0..10_000 {
            let name = first(&format!("key-{key}"), &names).unwrap();
            let index = names.iter().position(|n| n == name).unwrap();
            counts[index] += 1;
        }
        assert!(counts.iter().all(|&n| (850..1150).contains(&n)));
    }
}
