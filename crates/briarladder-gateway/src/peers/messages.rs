//! The messages between daemons.

use std::sync::Arc;

use briarladder_core::fleet::{mirror::Item, peers::Heartbeat};
use serde::{Deserialize, Serialize};

/// The path of an exchange of heartbeats.
pub const HEARTBEATS_PATH: &str = "/peers/heartbeats";

/// The path of a request for pieces.
pub const PIECES_PATH: &str = "/peers/pieces";

/// The path of a release of results.
pub const RELEASE_PATH: &str = "/peers/release";

/// The path of a question for published items.
pub const CHANGES_PATH: &str = "/peers/changes";

/// Heartbeats, in both directions.
#[derive(Debug, Deserialize, Serialize)]
pub struct Heartbeats {
    /// The newest that the sender knows.
    pub beats: Vec<Heartbeat>,
}

/// All pieces of one stage of one request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PiecesRequest {
    /// The service that makes them.
    pub service: Arc<str>,
    /// The zone whose servers should make them, or all servers.
    pub zone: Option<Arc<str>>,
    /// The zone where the pieces are best made.
    pub home: Arc<str>,
    /// Whether the request can run in another zone as well.
    pub movable: bool,
    /// The bytes of one piece that cross zones if it is made elsewhere.
    pub crossing_bytes: u64,
    /// The attempt of the caller.
    pub attempt: Arc<str>,
    /// The stage.
    pub stage: usize,
    /// The number of pieces.
    pub pieces: u32,
    /// The caller's own input, for a first stage.
    pub key: Option<Arc<str>>,
    /// The results that each piece is made from, for a later stage.
    pub inputs: Vec<Arc<str>>,
    /// The time until the pieces are needed; negative if it has passed.
    pub due_ms: i64,
    /// The time after which the pieces are of no use.
    pub left_ms: u64,
    /// The pieces of the request that are made.
    pub progress: u32,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The expected size of one result.
    pub result_bytes: u64,
}

/// What became of one piece.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceReply {
    /// It was made.
    Made {
        /// The reference of the result.
        reference: Arc<str>,
        /// The server that holds it.
        maker: Arc<str>,
    },
    /// It can't be made in time.
    Late,
    /// An input is gone.
    InputGone,
    /// It failed.
    Failed,
}

/// What became of the pieces of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PiecesReply {
    /// In the order of the pieces.
    pub pieces: Vec<PieceReply>,
    /// How long a new piece is expected to wait.
    pub wait_ms: u64,
}

/// Results that are no longer needed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Release {
    /// The results.
    pub results: Vec<ReleasedResult>,
}

/// A result that is no longer needed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReleasedResult {
    /// The reference.
    pub reference: Arc<str>,
    /// The server that holds it.
    pub maker: Arc<str>,
}

/// The answer to a message that needs none.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Accepted {}

/// Asks for published items.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ChangesRequest {
    /// The revision that the sender has.
    pub after: u64,
}

/// One published item, or its removal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ItemMessage {
    /// The key.
    pub key: Arc<str>,
    /// The revision.
    pub revision: u64,
    /// The bytes in base64; absent for a removal.
    pub value: Option<String>,
}

/// Published items.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangesReply {
    /// Whether the list holds all items, because removals since the asked
    /// revision are forgotten.
    pub complete: bool,
    /// The items.
    pub items: Vec<ItemMessage>,
    /// The revision up to which the peer knows changes.
    pub revision: u64,
}

impl From<&Item> for ItemMessage {
    fn from(item: &Item) -> ItemMessage {
        ItemMessage {
            key: Arc::clone(&item.key),
            revision: item.revision,
            value: item
                .value
                .as_ref()
                .map(|value| data_encoding::BASE64.encode(value)),
        }
    }
}

impl TryFrom<&ItemMessage> for Item {
    type Error = data_encoding::DecodeError;

    fn try_from(message: &ItemMessage) -> Result<Item, Self::Error> {
        let value = match &message.value {
            Some(text) => {
                Some(data_encoding::BASE64.decode(text.as_bytes())?.into())
            }
            None => None,
        };
        Ok(Item {
            key: Arc::clone(&message.key),
            revision: message.revision,
            value,
        })
    }
}
