//! What the prompt caches of engines tell of streams that broke off.

use super::Software;

/// What an engine says of the last part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheAnswer {
    /// It holds the part: it has read the prompt.
    Held,
    /// It doesn't hold the part, or its process has ended.
    NotHeld,
    /// It didn't answer.
    None,
}

/// The answer of one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheReport {
    /// The software of the engine, if its version is known.
    pub software: Option<Software>,
    /// Its answer.
    pub answer: CacheAnswer,
}

/// Returns the only version whose engines hold the last part of a prompt.
/// `None` if engines of several versions may hold it: an earlier attempt at
/// another version has read the same prompt.
#[must_use]
pub fn sole_holder(
    reports: impl IntoIterator<Item = CacheReport>,
) -> Option<Software> {
    let reports: Vec<CacheReport> = reports.into_iter().collect();
    let is_held = |report: &&CacheReport| report.answer == CacheAnswer::Held;
    let holder = reports.iter().find(is_held)?.software.clone()?;
    let is_sole = reports
        .iter()
        .filter(|report| report.software.as_ref() != Some(&holder))
        .all(|report| report.answer == CacheAnswer::NotHeld);
    is_sole.then_some(holder)
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;

    fn report(version: &str, answer: CacheAnswer) -> CacheReport {
        let software = Software {
            service: Arc::from("plans"),
            version: Arc::from(version),
        };
        CacheReport { software: Some(software), answer }
    }

    fn version_of(reports: &[CacheReport]) -> Option<String> {
        let holder = sole_holder(reports.iter().cloned())?;
        Some(holder.version.to_string())
    }

    /// Guards against a stream that is refused although one version alone has
    /// read its prompt.
    #[test]
    fn sole_holder_one_version() {
        use CacheAnswer::{Held, None, NotHeld};
        let reports = [
            report("v1", NotHeld),
            report("v1", None),
            report("v1", Held),
            report("v2", NotHeld),
        ];
        assert_eq!(version_of(&reports).as_deref(), Some("v1"));
    }

    /// Guards against a stream that goes on at a version which may not have
    /// begun it.
    #[test]
    fn sole_holder_doubtful() {
        use CacheAnswer::{Held, None, NotHeld};
        let unknown = |answer| CacheReport { software: Option::None, answer };
        let cases = [
            vec![],
            vec![report("v1", NotHeld), report("v2", NotHeld)],
            vec![report("v1", Held), report("v2", Held)],
            vec![report("v1", Held), report("v2", None)],
            vec![report("v1", Held), unknown(None)],
            vec![report("v1", Held), unknown(Held)],
            vec![unknown(Held), report("v1", NotHeld)],
        ];
        for reports in cases {
            assert_eq!(version_of(&reports), Option::None, "{reports:?}");
        }
    }
}
