//! Validation of object sets, which reports all errors at once.
//!
//! The operators' command and the daemons use the same function, so that a
//! daemon never rejects a set that passed the command.
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
//! let errors = check(&objects);
//! assert!(errors.iter().any(|e| e.problem == CheckErrorKind::EmptyPipeline));
//! ```

use derive_more::{Display, From};
use serde::Serialize;

use crate::objects::{
    ObjectKind,
    parse::{FileName, LocatedObject},
};

pub use error_kind::{CheckErrorKind, ReferenceTarget, UniqueItem};

mod duplicates;
mod error_kind;
mod index;
mod limits;
mod pipelines;
mod references;
mod versions;

use index::ObjectIndex;

/// The path of a field inside an object, such as `zones[0].servers[2].pool`.
/// It is empty if an error concerns the object as a whole.
#[derive(
    Clone, Debug, Display, Eq, From, Ord, PartialEq, PartialOrd, Serialize,
)]
#[from(String, &str)]
pub struct FieldPath(String);

/// One error in an object set.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CheckError {
    /// The file of the object; `None` if a required object is missing.
    pub file: Option<FileName>,
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object.
    pub name: String,
    /// The field with the error.
    pub field: FieldPath,
    /// The kind of the error.
    pub problem: CheckErrorKind,
    /// How to correct it.
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

/// Collects the errors of a set.
#[derive(Default)]
struct CheckErrors {
    list: Vec<CheckError>,
}

impl CheckErrors {
    /// Adds an error in a field of an object.
    fn add(
        &mut self,
        located: &LocatedObject,
        field: impl Into<FieldPath>,
        problem: CheckErrorKind,
    ) {
        self.list.push(CheckError {
            file: Some(located.file.clone()),
            kind: located.object.kind(),
            name: located.object.name().to_owned(),
            field: field.into(),
            remedy: problem.remedy(),
            problem,
        });
    }

    /// Adds the error that the set lacks an object of `kind`.
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

/// Returns all errors of a set, sorted by file, object and field.
///
/// The result does not depend on the order of the objects. A reference to a
/// missing object causes no further errors.
#[must_use]
pub fn check(objects: &[LocatedObject]) -> Vec<CheckError> {
    let mut sorted: Vec<&LocatedObject> = objects.iter().collect();
    // Of two objects with the same name, the one in the first file counts as
    // the original. Objects in the same file are ordered by content, so that
    // the result does not depend on the order of the input.
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
    let mut errors = CheckErrors::default();
    duplicates::check(&sorted, &mut errors);
    references::check(&sorted, &index, &mut errors);
    versions::check(&sorted, &index, &mut errors);
    pipelines::check(&sorted, &index, &mut errors);
    limits::check(&sorted, &mut errors);
    errors.list.sort();
    errors.list
}

fn content(located: &LocatedObject) -> String {
    serde_json::to_string(&located.object).unwrap_or_default()
}
