//! Identifiers that processes generate at random.
//!
//! # Example
//!
//! ```
//! use briarladder_core::ids::RequestId;
//!
//! let id: RequestId = "00000000000000000000000000c0ffee".parse().unwrap();
//! assert_eq!(id.to_string(), "00000000000000000000000000c0ffee");
//! ```

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// The error for a string that is not an identifier of the expected width.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("an identifier has exactly {digits} hexadecimal digits")]
pub struct IdError {
    digits: usize,
}

macro_rules! id_types {
    ($($(#[$doc:meta])* $type:ident, $int:ty, $digits:literal, $format:literal;)*) => { $(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd,
        )]
        #[display($format, _0)]
        pub struct $type(pub $int);

        impl $type {
            /// Generates a random identifier.
            #[must_use]
            pub fn random() -> $type {
                $type(rand::random())
            }
        }

        impl std::str::FromStr for $type {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$type, IdError> {
                let error = IdError { digits: $digits };
                let hex = text.bytes().all(|b| b.is_ascii_hexdigit());
                if text.len() != $digits || !hex {
                    return Err(error);
                }
                <$int>::from_str_radix(text, 16)
                    .map($type)
                    .map_err(|_| error)
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(
                &self,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<$type, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(
                    deserializer,
                )?;
                text.parse().map_err(de::Error::custom)
            }
        }
    )* };
}

id_types! {
    /// Identifies a caller's request across all its stages and attempts.
    RequestId, u128, 32, "{:032x}";
    /// Identifies one run of a process; it changes with each restart.
    Incarnation, u64, 16, "{:016x}";
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against accepting several spellings of one identifier, which
    /// would treat a resent request as a new one.
    #[test]
    fn from_str_rejects_other_widths() {
        for text in ["", "1", "+0000000000c0ffee", "00000000000c0ffeeg"] {
            assert!(text.parse::<Incarnation>().is_err(), "{text:?}");
        }
        let id: Incarnation = "0000000000C0FFEE".parse().unwrap();
        assert_eq!(id, Incarnation(0x00c0_ffee));
    }
}
