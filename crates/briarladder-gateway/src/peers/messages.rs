//! The messages between daemons.
//!
//! They are encoded with postcard, which knows no optional fields: a message
//! that changes gets another path, and the old one is answered for as long
//! as daemons of the earlier version may run.

use std::{net::SocketAddr, sync::Arc};

use briarladder_core::fleet::{
    cells::Cell,
    config::StageSpec,
    crash_tracker::CrashNotice,
    peers::{GossipMessage, Member},
};
use serde::{Deserialize, Serialize};

/// The path of an exchange of what two daemons know of the fleet.
pub const EXCHANGE_PATH: &str = "/peers/exchange";

/// The path of a comparison of the members of some zones.
pub const COMPARE_PATH: &str = "/peers/compare";

/// The path of members that the receiver lacks.
pub const MEMBERS_PATH: &str = "/peers/members";

/// The path of a question whether a daemon is reached from another one.
pub const CHECK_PATH: &str = "/peers/check";

/// The path of a request for all stages of a request.
pub const STAGES_PATH: &str = "/peers/stages";

/// The path of a release of results.
pub const RELEASE_PATH: &str = "/peers/release";

/// The path of a question for a sign of life.
pub const PING_PATH: &str = "/peers/ping";

/// The path of a question for published items.
pub const CHANGES_PATH: &str = "/peers/changes";

/// What two daemons tell each other, in both directions.
#[derive(Debug, Deserialize, Serialize)]
pub struct Contact {
    /// Who is alive.
    pub exchange: GossipMessage,
    /// The newest crashes of servers by the requests that they worked on.
    pub crashes: Vec<CrashNotice>,
}

/// Members that the receiver lacks.
#[derive(Debug, Deserialize, Serialize)]
pub struct Members {
    /// The members.
    pub members: Vec<Member>,
}

/// Asks whether a daemon answers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Check {
    /// Where it answers peers.
    pub address: SocketAddr,
}

/// Whether a daemon answered.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Checked {
    /// It did.
    pub reached: bool,
}

/// All stages of one request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StagesRequest {
    /// The servers that work on them.
    pub cell: Cell,
    /// The daemon that has handed the request over, which may be one that
    /// stops and whose duties the receiver has not heard of yet.
    pub moved_by: Option<Member>,
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
        holder: Member,
        /// The one that coordinated it before.
        by: Member,
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
