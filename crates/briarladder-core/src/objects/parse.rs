//! Parsing objects from the text of a file, with the line of each error.
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
//! let errors = parse(&FileName::new("ranks.json"), text).unwrap_err();
//! assert_eq!(errors[0].line, 2);
//! ```

use std::{fmt, sync::Arc};

use derive_more::{Display, Error};
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{DeserializeOwned, MapAccess, Visitor},
};
use serde_json::{error::Category, value::RawValue};

use crate::objects::Object;

/// The name of a file or chunk for error messages.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FileName(Arc<str>);

impl FileName {
    /// Creates a file name. Any text is allowed.
    #[must_use]
    pub fn new(name: &str) -> FileName {
        FileName(name.into())
    }

    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An object and the file that contains it.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedObject {
    /// The file.
    pub file: FileName,
    /// The object.
    pub object: Object,
}

/// An error in parsing an object.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[display("{file}:{line}: {problem}; {remedy}")]
pub struct ParseError {
    /// The file.
    pub file: FileName,
    /// The line number, from 1.
    pub line: usize,
    /// The kind of the error.
    pub problem: ParseErrorKind,
    /// How to correct it.
    pub remedy: String,
}

/// The kind of a [`ParseError`].
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ParseErrorKind {
    /// The text is not valid JSON.
    #[display("not valid JSON: {message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// The text is valid JSON, but neither an object nor an array of objects.
    #[display("neither an object nor an array of objects")]
    NotAnObject,
    /// An object has no field `kind`.
    #[display("the object has no field kind")]
    NoKind,
    /// The kind of an object does not exist.
    #[display("unknown kind {kind}")]
    UnknownKind {
        /// The kind, truncated to 64 characters.
        kind: String,
    },
    /// An object has a field that does not exist for its kind.
    #[display("{message}")]
    UnknownField {
        /// The parser's message, with the field and the existing ones.
        message: String,
    },
    /// An object lacks a required field.
    #[display("{message}")]
    MissingField {
        /// The parser's message, with the field.
        message: String,
    },
    /// A value has the wrong type, or a name is not valid.
    #[display("{message}")]
    BadValue {
        /// The parser's message, with the expected value.
        message: String,
    },
}

const KINDS: &str =
    "fleet, pipeline, stage, model_version, workspace, rank or region";

impl ParseErrorKind {
    /// Returns how to correct an error of this kind.
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

/// Parses the objects of one file.
///
/// # Errors
///
/// Returns the first syntax error, or otherwise one error for each object that
/// can't be parsed.
pub fn parse(
    file: &FileName,
    text: &str,
) -> Result<Vec<LocatedObject>, Vec<ParseError>> {
    let error_at = |line, problem: ParseErrorKind| ParseError {
        file: file.clone(),
        line,
        remedy: problem.remedy(),
        problem,
    };
    let root: &RawValue = serde_json::from_str(text).map_err(|e| {
        let message = strip_position(&e);
        vec![error_at(e.line().max(1), ParseErrorKind::Syntax { message })]
    })?;
    let items: Vec<&RawValue> = if root.get().starts_with('[') {
        // The text is valid JSON, so parsing it as an array can't fail.
        serde_json::from_str(root.get()).unwrap_or_default()
    } else {
        vec![root]
    };
    let (mut objects, mut errors) = (Vec::new(), Vec::new());
    for item in items {
        match parse_object(item.get()) {
            Ok(object) => {
                objects.push(LocatedObject { file: file.clone(), object });
            }
            Err(error) => {
                let before = &text[..offset(text, item.get())];
                let line = before.matches('\n').count() + error.line;
                errors.push(error_at(line, error.problem));
            }
        }
    }
    if errors.is_empty() { Ok(objects) } else { Err(errors) }
}

/// An error in parsing one object.
struct ObjectError {
    /// The line number within the text of the object, from 1.
    line: usize,
    problem: ParseErrorKind,
}

/// Returns the byte offset of `part`, a slice of `text`.
fn offset(text: &str, part: &str) -> usize {
    part.as_ptr().addr() - text.as_ptr().addr()
}

fn parse_object(text: &str) -> Result<Object, ObjectError> {
    let error = |line, problem| ObjectError { line, problem };
    if !text.starts_with('{') {
        return Err(error(1, ParseErrorKind::NotAnObject));
    }
    let KindMember { kind } =
        serde_json::from_str(text).map_err(|e| object_error(&e))?;
    let Some((key, value)) = kind else {
        return Err(error(1, ParseErrorKind::NoKind));
    };
    // serde buffers internally tagged enums and loses the lines of errors.
    // Therefore `kind` is overwritten with spaces, which preserves all
    // positions, and the rest is parsed as the type of that kind.
    let rest = blank_member(text, key, value);
    match value.trim_matches('"') {
        "fleet" => parse_fields(&rest).map(Object::Fleet),
        "pipeline" => parse_fields(&rest).map(Object::Pipeline),
        "stage" => parse_fields(&rest).map(Object::Stage),
        "model_version" => parse_fields(&rest).map(Object::ModelVersion),
        "workspace" => parse_fields(&rest).map(Object::Workspace),
        "rank" => parse_fields(&rest).map(Object::Rank),
        "region" => parse_fields(&rest).map(Object::Region),
        other => {
            let line = text[..offset(text, value)].matches('\n').count();
            let kind = other.chars().take(64).collect();
            Err(error(line + 1, ParseErrorKind::UnknownKind { kind }))
        }
    }
}

fn parse_fields<T: DeserializeOwned>(text: &str) -> Result<T, ObjectError> {
    serde_json::from_str(text).map_err(|e| object_error(&e))
}

fn object_error(e: &serde_json::Error) -> ObjectError {
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

/// Returns the message without serde's position, whose line is relative to the
/// object instead of the file.
fn strip_position(e: &serde_json::Error) -> String {
    let message = e.to_string();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].to_owned()
}

/// Overwrites a member and one adjacent comma with spaces, and keeps newlines.
fn blank_member(text: &str, key: &str, value: &str) -> String {
    let start = offset(text, key) - 1;
    let end = offset(text, value) + value.len();
    let (before, after) = (&text[..start], &text[end..]);
    let following = after.trim_start();
    let preceding = before.trim_end();
    let (from, to) = if following.starts_with(',') {
        (start, end + (after.len() - following.len()) + 1)
    } else if preceding.ends_with(',') {
        (preceding.len() - 1, end)
    } else {
        (start, end)
    };
    let blank: String = text[from..to]
        .chars()
        .map(|c| if c == '\n' { '\n' } else { ' ' })
        .collect();
    format!("{}{blank}{}", &text[..from], &text[to..])
}

/// The first member `kind` of an object, as slices of the object's text: its
/// key without quotes, and its value.
struct KindMember<'a> {
    kind: Option<(&'a str, &'a str)>,
}

impl<'de> Deserialize<'de> for KindMember<'de> {
    fn deserialize<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<KindMember<'de>, D::Error> {
        deserializer.deserialize_map(KindMemberVisitor)
    }
}

struct KindMemberVisitor;

/// A key, borrowed unless it contains escape sequences.
#[derive(Deserialize)]
struct Key<'a>(#[serde(borrow)] std::borrow::Cow<'a, str>);

impl<'de> Visitor<'de> for KindMemberVisitor {
    type Value = KindMember<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut map: A,
    ) -> Result<KindMember<'de>, A::Error> {
        let mut kind = None;
        while let Some((Key(key), value)) =
            map.next_entry::<Key<'de>, &'de RawValue>()?
        {
            if let std::borrow::Cow::Borrowed(key @ "kind") = key {
                kind = kind.or(Some((key, value.get())));
            }
        }
        Ok(KindMember { kind })
    }
}
