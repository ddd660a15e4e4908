//! Reads objects from the text of a file, with the line of each fault.
//!
//! A file holds one object or an array of objects.
//!
//! # Example
//!
//! ```
//! use briarladder_core::objects::parse::{FileName, parse};
//!
//! let text = "{\"kind\": \"rank\", \"name\": \"urgent\",\n\
//!             \"order\": 0, \"guaranteed_percent\": 50, \"speed\": 1}";
//! let faults = parse(&FileName::new("ranks.json"), text).unwrap_err();
//! assert_eq!(faults[0].line, 2);
//! ```

use std::{fmt, sync::Arc};

use derive_more::{Display, Error};
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{DeserializeOwned, MapAccess, Visitor},
};
use serde_json::{error::Category, value::RawValue};

use crate::objects::Object;

/// The name of a file, or of a chunk, as it is shown to operators.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FileName(Arc<str>);

impl FileName {
    /// Wraps a name.
    #[must_use]
    pub fn new(name: &str) -> FileName {
        FileName(name.into())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An object and the file it came from.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedObject {
    /// The file.
    pub file: FileName,
    /// The object.
    pub object: Object,
}

/// Text that is not an object.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[display("{file}:{line}: {problem}; {remedy}")]
pub struct ParseError {
    /// The file.
    pub file: FileName,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: ParseErrorKind,
    /// What to do.
    pub remedy: String,
}

/// What is wrong with a text.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ParseErrorKind {
    /// It is not JSON.
    #[display("not valid JSON: {message}")]
    Syntax {
        /// What the parser expected.
        message: String,
    },
    /// It is JSON, but neither an object nor an array of objects.
    #[display("neither an object nor an array of objects")]
    NotAnObject,
    /// An object without a `kind`.
    #[display("the object has no field kind")]
    NoKind,
    /// An object of an unknown kind.
    #[display("unknown kind {kind}")]
    UnknownKind {
        /// The kind.
        kind: String,
    },
    /// A field that the kind does not have.
    #[display("{message}")]
    UnknownField {
        /// The field, and the fields that exist.
        message: String,
    },
    /// A field that the kind needs.
    #[display("{message}")]
    MissingField {
        /// The field.
        message: String,
    },
    /// A value of the wrong type, or a name that breaks the rules.
    #[display("{message}")]
    BadValue {
        /// What was expected.
        message: String,
    },
}

const KINDS: &str =
    "fleet, pipeline, stage, model_version, workspace, rank or region";

impl ParseErrorKind {
    pub(crate) fn remedy(&self) -> String {
        match self {
            ParseErrorKind::Syntax { .. } => "correct the syntax".into(),
            ParseErrorKind::NotAnObject => {
                "write one object or an array of objects".into()
            }
            ParseErrorKind::NoKind | ParseErrorKind::UnknownKind { .. } => {
                format!("set kind to {KINDS}")
            }
            ParseErrorKind::UnknownField { .. } => {
                "remove the field or correct its name".into()
            }
            ParseErrorKind::MissingField { .. } => "add the field".into(),
            ParseErrorKind::BadValue { .. } => "correct the value".into(),
        }
    }
}

/// Reads the objects of one file.
///
/// # Errors
///
/// Returns the first syntax error, or else one fault for each object that
/// can't be read.
pub fn parse(
    file: &FileName,
    text: &str,
) -> Result<Vec<LocatedObject>, Vec<ParseError>> {
    let fault = |line, problem: ParseErrorKind| ParseError {
        file: file.clone(),
        line,
        remedy: problem.remedy(),
        problem,
    };
    let root: &RawValue = serde_json::from_str(text).map_err(|e| {
        let message = strip_position(&e);
        vec![fault(e.line().max(1), ParseErrorKind::Syntax { message })]
    })?;
    let items: Vec<&RawValue> = if root.get().starts_with('[') {
        // The text is valid JSON, so an array always parses.
        serde_json::from_str(root.get()).unwrap_or_default()
    } else {
        vec![root]
    };
    let (mut objects, mut faults) = (Vec::new(), Vec::new());
    for item in items {
        match load_object(item.get()) {
            Ok(object) => {
                objects.push(LocatedObject { file: file.clone(), object });
            }
            Err(error) => {
                let before = &text[..offset(text, item.get())];
                let line = before.matches('\n').count() + error.line;
                faults.push(fault(line, error.problem));
            }
        }
    }
    if faults.is_empty() { Ok(objects) } else { Err(faults) }
}

/// An error at a line of one object's text, from 1.
struct ObjectError {
    line: usize,
    problem: ParseErrorKind,
}

/// Returns where `part`, a slice of `text`, begins.
fn offset(text: &str, part: &str) -> usize {
    part.as_ptr().addr() - text.as_ptr().addr()
}

fn load_object(text: &str) -> Result<Object, ObjectError> {
    let error = |line, problem| ObjectError { line, problem };
    if !text.starts_with('{') {
        return Err(error(1, ParseErrorKind::NotAnObject));
    }
    let Members { kind } =
        serde_json::from_str(text).map_err(|e| data_error(&e))?;
    let Some((key, value)) = kind else {
        return Err(error(1, ParseErrorKind::NoKind));
    };
    // serde's tagged enums buffer the object and lose the lines of errors.
    // So `kind` is overwritten by blanks, which keeps all positions, and
    // the rest is read as the type of that kind.
    let rest = without_member(text, key, value);
    match value.trim_matches('"') {
        "fleet" => read(&rest).map(Object::Fleet),
        "pipeline" => read(&rest).map(Object::Pipeline),
        "stage" => read(&rest).map(Object::Stage),
        "model_version" => read(&rest).map(Object::ModelVersion),
        "workspace" => read(&rest).map(Object::Workspace),
        "rank" => read(&rest).map(Object::Rank),
        "region" => read(&rest).map(Object::Region),
        other => {
            let line = text[..offset(text, value)].matches('\n').count();
            let kind = other.chars().take(64).collect();
            Err(error(line + 1, ParseErrorKind::UnknownKind { kind }))
        }
    }
}

fn read<T: DeserializeOwned>(text: &str) -> Result<T, ObjectError> {
    serde_json::from_str(text).map_err(|e| data_error(&e))
}

fn data_error(e: &serde_json::Error) -> ObjectError {
    let message = strip_position(e);
    let problem = match e.classify() {
        Category::Data if message.starts_with("unknown field") => {
            ParseErrorKind::UnknownField { message }
        }
        Category::Data if message.starts_with("missing field") => {
            ParseErrorKind::MissingField { message }
        }
        Category::Data => ParseErrorKind::BadValue { message },
        _ => ParseErrorKind::Syntax { message },
    };
    ObjectError { line: e.line().max(1), problem }
}

/// Returns the message without serde's position, which counts lines from
/// the start of the object and not of the file.
fn strip_position(e: &serde_json::Error) -> String {
    let message = e.to_string();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].to_owned()
}

/// Replaces a member and one comma beside it by blanks.
fn without_member(text: &str, key: &str, value: &str) -> String {
    let start = offset(text, key) - 1;
    let end = offset(text, value) + value.len();
    let (before, after) = (&text[..start], &text[end..]);
    let next = after.trim_start();
    let last = before.trim_end();
    let (from, to) = if next.starts_with(',') {
        (start, end + (after.len() - next.len()) + 1)
    } else if last.ends_with(',') {
        (last.len() - 1, end)
    } else {
        (start, end)
    };
    let blank: String = text[from..to]
        .chars()
        .map(|c| if c == '\n' { '\n' } else { ' ' })
        .collect();
    format!("{}{blank}{}", &text[..from], &text[to..])
}

/// The first member `kind` of an object: the texts of its key, without
/// quotes, and of its value, both slices of the object's text.
struct Members<'a> {
    kind: Option<(&'a str, &'a str)>,
}

impl<'de> Deserialize<'de> for Members<'de> {
    fn deserialize<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Members<'de>, D::Error> {
        deserializer.deserialize_map(MembersVisitor)
    }
}

struct MembersVisitor;

/// A key that is borrowed if it has no escapes.
#[derive(Deserialize)]
struct Key<'a>(#[serde(borrow)] std::borrow::Cow<'a, str>);

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Members<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut map: A,
    ) -> Result<Members<'de>, A::Error> {
        let mut kind = None;
        while let Some((Key(key), value)) =
            map.next_entry::<Key<'de>, &'de RawValue>()?
        {
            if let std::borrow::Cow::Borrowed(key @ "kind") = key {
                kind = kind.or(Some((key, value.get())));
            }
        }
        Ok(Members { kind })
    }
}
