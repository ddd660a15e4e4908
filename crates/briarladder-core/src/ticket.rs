//! Tickets for non-idempotent calls.
//!
//! A ticket names the one daemon incarnation that may run the call. Any
//! daemon can verify the ticket with the keys of the published configuration
//! and forward the call to that incarnation, whose
//! [`ledger`](crate::ledger) holds the state of the call.
//!
//! # Example
//!
//! ```
//! use briarladder_core::{
//!     ids::Incarnation,
//!     names::{VmName, WorkspaceName},
//!     ticket::{Claims, TicketKeyring, TicketId},
//! };
//!
//! let keys = TicketKeyring::new([(1, [7; 32])]);
//! let claims = Claims {
//!     id: TicketId { incarnation: Incarnation(9), sequence: 0 },
//!     issuer: VmName::new("vm-1").unwrap(),
//!     peer_address: "127.0.0.1:7000".parse().unwrap(),
//!     workspace: WorkspaceName::new("salons").unwrap(),
//!     epoch: 4,
//! };
//! let ticket = keys.sign(&claims).unwrap();
//! assert_eq!(keys.verify(&ticket).unwrap(), claims);
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

/// The maximum length of a ticket, in bytes. A longer one is rejected before
/// it is decoded.
pub const MAX_TICKET_BYTES: usize = 1024;

const KEY_BYTES: usize = 32;
const MAC_BYTES: usize = 32;

/// Identifies a ticket uniquely across daemons and restarts.
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
    /// The sequence number of the ticket within the incarnation, from 0.
    pub sequence: u64,
}

/// The signed content of a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claims {
    /// The identifier of the ticket.
    pub id: TicketId,
    /// The VM of the issuing daemon.
    pub issuer: VmName,
    /// The address at which the issuing daemon serves peers.
    pub peer_address: SocketAddr,
    /// The workspace that may use the ticket.
    pub workspace: WorkspaceName,
    /// The epoch in force at the issuer. It raises the epoch floor of each
    /// daemon that verifies the ticket.
    pub epoch: u64,
}

/// An error in signing or verifying a ticket.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum TicketError {
    /// The text does not have the format of a ticket.
    #[display(
        "the ticket is malformed; send it exactly as POST /v1/tickets \
         returned it"
    )]
    Malformed,
    /// No current key verifies the ticket: it was changed, or its key has
    /// been removed.
    #[display(
        "no current key verifies the ticket; request a new one with \
         POST /v1/tickets and check the outcome of the old one first"
    )]
    NotAuthentic,
    /// There is no key to sign with.
    #[display(
        "the configuration in force has no ticket key; publish a fleet \
         object with ticket_keys of 64 hexadecimal digits"
    )]
    NoKey,
}

/// The keys that sign and verify tickets. The first one signs; all of them
/// verify.
#[derive(Clone)]
pub struct TicketKeyring {
    keys: Vec<Key>,
}

#[derive(Clone)]
struct Key {
    id: u8,
    secret: [u8; KEY_BYTES],
}

/// Omits the secrets, so that they can't appear in logs.
impl std::fmt::Debug for TicketKeyring {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.keys.iter().map(|key| key.id)).finish()
    }
}

impl TicketKeyring {
    /// Creates the keys from pairs of key identifier and secret.
    pub fn new(
        keys: impl IntoIterator<Item = (u8, [u8; KEY_BYTES])>,
    ) -> TicketKeyring {
        let keys =
            keys.into_iter().map(|(id, secret)| Key { id, secret }).collect();
        TicketKeyring { keys }
    }

    /// Creates the keys from the published configuration. Keys that can't be
    /// decoded are skipped; [`check`](crate::objects::check::check) reports
    /// them.
    #[must_use]
    pub fn from_published(published: &[TicketKey]) -> TicketKeyring {
        let keys = published.iter().filter_map(|key| {
            let hex = key.secret_hex.as_bytes();
            let secret = HEXLOWER_PERMISSIVE.decode(hex).ok()?;
            Some((key.id, secret.try_into().ok()?))
        });
        TicketKeyring::new(keys)
    }

    /// Encodes and signs a ticket.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError::NoKey`] if there is no key.
    pub fn sign(&self, claims: &Claims) -> Result<String, TicketError> {
        let key = self.keys.first().ok_or(TicketError::NoKey)?;
        let mut bytes = vec![key.id];
        serde_json::to_writer(&mut bytes, claims)
            .map_err(|_| TicketError::Malformed)?;
        let mac = blake3::keyed_hash(&key.secret, &bytes);
        bytes.extend_from_slice(mac.as_bytes());
        Ok(BASE64URL_NOPAD.encode(&bytes))
    }

    /// Verifies a ticket and returns its claims.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a ticket or was not signed with
    /// one of these keys.
    pub fn verify(&self, ticket: &str) -> Result<Claims, TicketError> {
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
        // `blake3::Hash` compares in constant time.
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

    /// Guards against accepting a ticket that a caller altered, for example
    /// to name another incarnation or workspace.
    #[test]
    fn authenticate_rejects_any_changed_bit() {
        let keys = TicketKeyring::new([(1, [7; 32])]);
        let ticket = keys.sign(&claims()).unwrap();
        let bytes = BASE64URL_NOPAD.decode(ticket.as_bytes()).unwrap();
        for index in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[index] ^= 1;
            let changed = BASE64URL_NOPAD.encode(&changed);
            assert!(keys.verify(&changed).is_err(), "byte {index}");
        }
    }

    /// Guards against rejecting valid tickets while a key is rotated.
    #[test]
    fn authenticate_accepts_older_key() {
        let ticket =
            TicketKeyring::new([(1, [7; 32])]).sign(&claims()).unwrap();
        let rotated = TicketKeyring::new([(2, [8; 32]), (1, [7; 32])]);
        assert_eq!(rotated.verify(&ticket), Ok(claims()));
        let retired = TicketKeyring::new([(2, [8; 32])]);
        let error = retired.verify(&ticket);
        assert_eq!(error, Err(TicketError::NotAuthentic));
    }

    /// Guards against a panic on text that is not a ticket.
    #[test]
    fn authenticate_rejects_other_text() {
        let keys = TicketKeyring::new([(1, [7; 32])]);
        for text in ["", "AA", "not base64!", &"A".repeat(2000)] {
            assert!(keys.verify(text).is_err(), "{text:?}");
        }
    }

    /// Guards against secrets in debug output, which can reach logs.
    #[test]
    fn debug_hides_secret() {
        let keys = TicketKeyring::new([(1, [0xab; 32])]);
        assert_eq!(format!("{keys:?}"), "[1]");
    }
}
