//! Tickets for calls that may not repeat.
//!
//! A ticket names the one daemon incarnation that may run the call. Any
//! daemon can authenticate it with the keys of the published configuration
//! and forward the call there. The state of the call is in that
//! incarnation's [`ledger`](crate::ledger).
//!
//! # Example
//!
//! ```
//! use briarladder_core::{
//!     ids::Incarnation,
//!     names::{VmName, WorkspaceName},
//!     ticket::{Claims, Keys, TicketId},
//! };
//!
//! let keys = Keys::new([(1, [7; 32])]);
//! let claims = Claims {
//!     id: TicketId { incarnation: Incarnation(9), sequence: 0 },
//!     issuer: VmName::new("vm-1").unwrap(),
//!     peer_address: "127.0.0.1:7000".parse().unwrap(),
//!     workspace: WorkspaceName::new("salons").unwrap(),
//!     epoch: 4,
//! };
//! let ticket = keys.mint(&claims).unwrap();
//! assert_eq!(keys.authenticate(&ticket).unwrap(), claims);
//! ```

use std::net::SocketAddr;

use data_encoding::{BASE64URL_NOPAD, HEXLOWER_PERMISSIVE};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    ids::Incarnation,
    names::{VmName, WorkspaceName},
    objects::TicketKey,
};

/// The longest ticket that is looked at, in bytes.
pub const MAX_TICKET_BYTES: usize = 1024;

const KEY_BYTES: usize = 32;
const MAC_BYTES: usize = 32;

/// Identifies a ticket over all daemons and restarts.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{incarnation}-{sequence:x}")]
pub struct TicketId {
    /// The daemon incarnation that issued the ticket.
    pub incarnation: Incarnation,
    /// Counts the tickets of that incarnation from 0.
    pub sequence: u64,
}

/// What a ticket says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claims {
    /// The ticket.
    pub id: TicketId,
    /// The VM of the issuing daemon.
    pub issuer: VmName,
    /// Where peers reach the issuing daemon.
    pub peer_address: SocketAddr,
    /// The workspace that may use the ticket.
    pub workspace: WorkspaceName,
    /// The epoch in force at the issuer. It raises the epoch floor of
    /// whoever reads the ticket.
    pub epoch: u64,
}

/// Why a ticket was not accepted.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum TicketError {
    /// The text is not a ticket.
    #[display(
        "the ticket is malformed; send it exactly as POST /v1/tickets \
         returned it"
    )]
    Malformed,
    /// No key in force authenticates the ticket.
    #[display(
        "no key in force authenticates the ticket; take a new one with \
         POST /v1/tickets and check the outcome of the old one first"
    )]
    NotAuthentic,
    /// The configuration has no usable key.
    #[display(
        "the configuration in force has no ticket key; publish a fleet \
         object with ticket_keys of 64 hexadecimal digits"
    )]
    NoKey,
}

/// The keys that authenticate tickets. The first one signs.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<Key>,
}

#[derive(Clone)]
struct Key {
    id: u8,
    secret: [u8; KEY_BYTES],
}

/// Leaves the secrets out, so that they can't reach a log.
impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.keys.iter().map(|key| key.id)).finish()
    }
}

impl Keys {
    /// Takes pairs of key identifier and secret.
    pub fn new(keys: impl IntoIterator<Item = (u8, [u8; KEY_BYTES])>) -> Keys {
        let keys =
            keys.into_iter().map(|(id, secret)| Key { id, secret }).collect();
        Keys { keys }
    }

    /// Takes the keys of the published configuration. Keys that can't be
    /// decoded are left out; the check of the object set reports them.
    #[must_use]
    pub fn from_published(published: &[TicketKey]) -> Keys {
        let keys = published.iter().filter_map(|key| {
            let hex = key.secret_hex.as_bytes();
            let secret = HEXLOWER_PERMISSIVE.decode(hex).ok()?;
            Some((key.id, secret.try_into().ok()?))
        });
        Keys::new(keys)
    }

    /// Makes the text of a ticket.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError::NoKey`] when there is no key.
    pub fn mint(&self, claims: &Claims) -> Result<String, TicketError> {
        let key = self.keys.first().ok_or(TicketError::NoKey)?;
        let mut bytes = vec![key.id];
        serde_json::to_writer(&mut bytes, claims)
            .map_err(|_| TicketError::Malformed)?;
        let mac = blake3::keyed_hash(&key.secret, &bytes);
        bytes.extend_from_slice(mac.as_bytes());
        Ok(BASE64URL_NOPAD.encode(&bytes))
    }

    /// Returns what an authentic ticket says.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not a ticket or was not made with
    /// one of these keys.
    pub fn authenticate(&self, ticket: &str) -> Result<Claims, TicketError> {
        if ticket.len() > MAX_TICKET_BYTES {
            return Err(TicketError::Malformed);
        }
        let bytes = BASE64URL_NOPAD
            .decode(ticket.as_bytes())
            .map_err(|_| TicketError::Malformed)?;
        let (signed, mac) = bytes
            .split_last_chunk::<MAC_BYTES>()
            .ok_or(TicketError::Malformed)?;
        let (key_id, claims) =
            signed.split_first().ok_or(TicketError::Malformed)?;
        let key = self
            .keys
            .iter()
            .find(|key| key.id == *key_id)
            .ok_or(TicketError::NotAuthentic)?;
        // The comparison of `blake3::Hash` takes constant time.
        if blake3::keyed_hash(&key.secret, signed) != blake3::Hash::from(*mac)
        {
            return Err(TicketError::NotAuthentic);
        }
        serde_json::from_slice(claims).map_err(|_| TicketError::Malformed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claims() -> Claims {
        Claims {
            id: TicketId { incarnation: Incarnation(1), sequence: 2 },
            issuer: VmName::new("vm-1").unwrap(),
            peer_address: "127.0.0.1:1".parse().unwrap(),
            workspace: WorkspaceName::new("w").unwrap(),
            epoch: 3,
        }
    }

    /// Guards against a ticket that a caller changed to name another
    /// incarnation or workspace.
    #[test]
    fn authenticate_rejects_any_changed_bit() {
        let keys = Keys::new([(1, [7; 32])]);
        let ticket = keys.mint(&claims()).unwrap();
        let bytes = BASE64URL_NOPAD.decode(ticket.as_bytes()).unwrap();
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 1;
            let changed = BASE64URL_NOPAD.encode(&changed);
            assert!(keys.authenticate(&changed).is_err(), "byte {at}");
        }
    }

    /// Guards against tickets that turn invalid while a key is replaced.
    #[test]
    fn authenticate_accepts_older_key() {
        let ticket = Keys::new([(1, [7; 32])]).mint(&claims()).unwrap();
        let rotated = Keys::new([(2, [8; 32]), (1, [7; 32])]);
        assert_eq!(rotated.authenticate(&ticket), Ok(claims()));
        let retired = Keys::new([(2, [8; 32])]);
        let error = retired.authenticate(&ticket);
        assert_eq!(error, Err(TicketError::NotAuthentic));
    }

    /// Guards against a panic on text that is no ticket.
    #[test]
    fn authenticate_rejects_other_text() {
        let keys = Keys::new([(1, [7; 32])]);
        for text in ["", "AA", "not base64!", &"A".repeat(2000)] {
            assert!(keys.authenticate(text).is_err(), "{text:?}");
        }
    }

    /// Guards against secrets in logs.
    #[test]
    fn debug_hides_secret() {
        let keys = Keys::new([(1, [0xab; 32])]);
        assert_eq!(format!("{keys:?}"), "[1]");
    }
}
