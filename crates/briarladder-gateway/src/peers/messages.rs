//! The messages between daemons.

use std::sync::Arc;

use briarladder_core::fleet::{
    cells::Cell, config::StageSpec, mirror::Item, peers::Heartbeat,
};
use serde::{Deserialize, Serialize};

/// The path of an exchange of heartbeats.
pub const HEARTBEATS_PATH: &str = "/peers/heartbeats";

/// The path of a request for all stages of a request.
pub const STAGES_PATH: &str = "/peers/stages";

/// The path of a release of results.
pub const RELEASE_PATH: &str = "/peers/release";

/// The path of a question for a sign of life.
pub const PING_PATH: &str = "/peers/ping";

/// The path of a question for published items.
pub const CHANGES_PATH: &str = "/peers/changes";

/// Heartbeats, in both directions.
#[derive(Debug, Deserialize, Serialize)]
pub struct Heartbeats {
    /// The newest that the sender knows.
    pub beats: Vec<Heartbeat>,
}

/// All stages of one request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StagesRequest {
    /// The servers that work on them.
    pub cell: Cell,
    /// The attempt of the caller.
    pub attempt: Arc<str>,
    /// The stages.
    pub stages: Vec<StageSpec>,
    /// The number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// The caller's own input, for the first stages.
    pub key: Option<Arc<str>>,
    /// The zone where the results are needed.
    pub home: Arc<str>,
    /// Whether the request can run in another zone as well.
    pub movable: bool,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The time until the results are needed so that the request meets its
    /// target; negative if it has passed.
    pub target_ms: i64,
    /// The time after which the results are of no use.
    pub left_ms: u64,
}

/// What became of the stages of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StagesReply {
    /// What became of them.
    pub outcome: StagesOutcome,
    /// How long a new request waits to begin.
    pub wait_ms: u64,
}

/// What became of the stages of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StagesOutcome {
    /// They are done.
    Done {
        /// Identifies the results at the coordinator, to release them.
        job: u64,
        /// The servers that hold results.
        makers: Vec<Arc<str>>,
        /// The results that the request needs.
        results: Vec<MadeResult>,
    },
    /// They can't be done in time.
    Late,
    /// They have not begun, and another daemon coordinates the cell now.
    Moved {
        /// That daemon.
        holder: Heartbeat,
    },
    /// A stage failed.
    Failed {
        /// The stage.
        stage: usize,
        /// Its inputs were gone.
        inputs_gone: bool,
    },
}

/// A result that a request needs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MadeResult {
    /// The position of the server that holds it.
    pub maker: usize,
    /// The reference.
    pub reference: Arc<str>,
}

/// Results that are no longer needed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Release {
    /// The jobs whose results they are.
    pub jobs: Vec<u64>,
}

/// Asks for a sign of life.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Ping {}

/// The answer to a message that needs none.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Accepted {}

/// Asks for published items.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ChangesRequest {
    /// The revision that the sender has.
    pub after: u64,
    /// How long to wait for a change.
    pub wait_ms: u64,
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
    /// Whether the store answers the peer.
    pub in_contact: bool,
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
