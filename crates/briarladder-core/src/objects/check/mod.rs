//! Finds every fault of a set of objects at once.
//!
//! The operators' command and the daemons use the same function, so that a
//! set that passes the command is never rejected by a daemon.
//!
//! # Example
//!
//! ```
//! use briarladder_core::objects::{
//!     check::{CheckErrorKind, check},
//!     parse::{FileName, parse},
//! };
//!
//! let text = r#"{"kind": "pipeline", "name": "fold-plan", "stages": [],
//!     "deadline_ms": 5000, "default_rank": "urgent"}"#;
//! let objects = parse(&FileName::new("p.json"), text).unwrap();
//! let faults = check(&objects);
//! assert!(faults.iter().any(|f| f.problem == CheckErrorKind::EmptyPipeline));
//! ```

use derive_more::{Display, From};
use serde::Serialize;

use crate::objects::{
    ObjectKind,
    parse::{FileName, LocatedObject},
};

pub use problem::{CheckErrorKind, ReferenceTarget, UniqueItem};

mod duplicates;
mod index;
mod limits;
mod pipelines;
mod problem;
mod references;
mod versions;

use index::ObjectIndex;

/// The path of a field inside an object, such as `zones[0].servers[2].pool`.
/// Empty when the problem is the object as a whole.
#[derive(
    Clone, Debug, Display, Eq, From, Ord, PartialEq, PartialOrd, Serialize,
)]
#[from(String, &str)]
pub struct FieldPath(String);

/// One fault of a set.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CheckError {
    /// The file of the object; `None` if the set lacks an object.
    pub file: Option<FileName>,
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object.
    pub name: String,
    /// The field that is wrong.
    pub field: FieldPath,
    /// What is wrong.
    pub problem: CheckErrorKind,
    /// What to do.
    pub remedy: String,
}

impl std::fmt::Display for CheckError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.file {
            Some(file) => write!(f, "{file}: ")?,
            None => write!(f, "the set: ")?,
        }
        write!(f, "{} {}: ", self.kind, self.name)?;
        if !self.field.0.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}; {}", self.problem, self.remedy)
    }
}

/// Collects faults.
#[derive(Default)]
struct Faults {
    list: Vec<CheckError>,
}

impl Faults {
    fn add(
        &mut self,
        at: &LocatedObject,
        field: impl Into<FieldPath>,
        problem: CheckErrorKind,
    ) {
        self.list.push(CheckError {
            file: Some(at.file.clone()),
            kind: at.object.kind(),
            name: at.object.name().to_owned(),
            field: field.into(),
            remedy: problem.remedy(),
            problem,
        });
    }

    /// Adds a fault of the set as a whole, in which `kind` is missing.
    fn add_missing(&mut self, kind: ObjectKind, problem: CheckErrorKind) {
        self.list.push(CheckError {
            file: None,
            kind,
            name: kind.to_string(),
            field: "".into(),
            remedy: problem.remedy(),
            problem,
        });
    }
}

/// Returns every fault of a set, sorted by file, object and field.
///
/// The result does not depend on the order of the objects. An object that
/// refers to a missing one gets no further faults for that reference.
#[must_use]
pub fn check(objects: &[LocatedObject]) -> Vec<CheckError> {
    let mut sorted: Vec<&LocatedObject> = objects.iter().collect();
    // Of two objects with one name, the first by file is the original.
    // Equal files fall back to the content, so that the result does not
    // depend on the order of the input.
    sorted.sort_by(|a, b| {
        let names = a.object.name().cmp(b.object.name());
        a.object
            .kind()
            .cmp(&b.object.kind())
            .then(names)
            .then_with(|| a.file.cmp(&b.file))
            .then_with(|| content(a).cmp(&content(b)))
    });
    let index = ObjectIndex::new(&sorted);
    let mut faults = Faults::default();
    duplicates::check(&sorted, &mut faults);
    references::check(&sorted, &index, &mut faults);
    versions::check(&sorted, &index, &mut faults);
    pipelines::check(&sorted, &index, &mut faults);
    limits::check(&sorted, &mut faults);
    faults.list.sort();
    faults.list
}

fn content(at: &LocatedObject) -> String {
    serde_json::to_string(&at.object).unwrap_or_default()
}
