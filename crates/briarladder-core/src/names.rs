//! Newtypes for names, one for each kind, so that the compiler rejects a name
//! of the wrong kind.
//!
//! A name is a shared immutable string of 1 to 63 lower-case letters, digits
//! and hyphens that starts with a letter or digit.
//!
//! # Example
//!
//! ```
//! use briarladder_core::names::ZoneName;
//!
//! let zone = ZoneName::new("recife-a").unwrap();
//! assert_eq!(zone.as_str(), "recife-a");
//! assert!(ZoneName::new("Recife A").is_err());
//! ```

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, de};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The error for a string that is not a valid name.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "{kind} name {text:?} is not valid; use 1 to 63 lower-case letters, \
     digits and hyphens, starting with a letter or digit"
)]
pub struct NameError {
    kind: &'static str,
    text: String,
}

fn check(kind: &'static str, text: &str) -> Result<(), NameError> {
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let valid = text.len() <= MAX_NAME_BYTES
        && starts_well
        && text.bytes().all(|b| {
            b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-'
        });
    if valid {
        return Ok(());
    }
    // The error message quotes the text, so its length is bounded.
    let text = text.chars().take(MAX_NAME_BYTES + 1).collect();
    Err(NameError { kind, text })
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $type:ident, $kind:literal;)*) => { $(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize,
        )]
        pub struct $type(Arc<str>);

        impl $type {
            /// Creates a name after validating the text.
            ///
            /// # Errors
            ///
            /// Returns an error if the text is not a valid name.
            pub fn new(text: &str) -> Result<$type, NameError> {
                check($kind, text)?;
                Ok($type(Arc::from(text)))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $type {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$type, NameError> {
                $type::new(text)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<$type, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(
                    deserializer,
                )?;
                $type::new(&text).map_err(de::Error::custom)
            }
        }
    )* };
}

name_types! {
    /// The name of a pipeline.
    PipelineName, "pipeline";
    /// The name of a stage.
    StageName, "stage";
    /// The name of a model, which has one or more versions.
    ModelName, "model";
    /// The name of one version of a model, or of an adapter.
    ModelVersionName, "model version";
    /// The name of a workspace, which belongs to one customer.
    WorkspaceName, "workspace";
    /// The name of a caller inside a workspace.
    CallerName, "caller";
    /// The name of a rank, which is a priority class.
    RankName, "rank";
    /// The name of a region.
    RegionName, "region";
    /// The name of an availability zone.
    ZoneName, "availability zone";
    /// The name of a pool of backend servers that do the same kind of work.
    PoolName, "pool";
    /// The name of a backend server.
    ServerName, "backend server";
    /// The name of an entry VM, which also identifies its daemon.
    VmName, "VM";
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against names that are invalid in URLs, log lines or metric
    /// keys.
    #[test]
    fn new_rejects_bad_text() {
        for text in ["", "A", "a b", "-a", "a/b", "é", &"a".repeat(64)] {
            assert!(RankName::new(text).is_err(), "{text:?}");
        }
        assert!(RankName::new(&"a".repeat(63)).is_ok());
    }

    /// Guards against JSON that bypasses the validation of names.
    #[test]
    fn deserialize_checks_text() {
        assert!(serde_json::from_str::<RankName>("\"urgent\"").is_ok());
        let error = serde_json::from_str::<RankName>("\"No Rank\"");
        assert!(error.unwrap_err().to_string().contains("lower-case"));
    }
}
