//! The named objects that operators publish.
//!
//! Objects refer to one another by name. A set of objects is only used after
//! [`check::check`] found no fault in it; [`snapshot::Snapshot`] is its
//! resolved form.
//!
//! # Example
//!
//! ```
//! use briarladder_core::objects::Object;
//!
//! let json = r#"{
//!     "kind": "rank", "name": "urgent", "order": 0,
//!     "guaranteed_percent": 50
//! }"#;
//! let object: Object = serde_json::from_str(json).unwrap();
//! assert_eq!(object.name(), "urgent");
//! ```

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::names::{
    CallerName, ModelName, ModelVersionName, PipelineName, PoolName, RankName,
    RegionName, ServerName, StageName, WorkspaceName, ZoneName,
};

pub mod check;
pub mod diff;
pub mod parse;
pub mod snapshot;

/// One published object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// Values that hold for the whole fleet.
    Fleet(Fleet),
    /// A pipeline.
    Pipeline(Pipeline),
    /// A stage.
    Stage(Stage),
    /// A model version.
    ModelVersion(ModelVersion),
    /// A workspace.
    Workspace(Workspace),
    /// A rank.
    Rank(Rank),
    /// A region.
    Region(Region),
}

/// The kind of an object.
#[derive(
    Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// See [`Fleet`].
    #[display("fleet")]
    Fleet,
    /// See [`Pipeline`].
    #[display("pipeline")]
    Pipeline,
    /// See [`Stage`].
    #[display("stage")]
    Stage,
    /// See [`ModelVersion`].
    #[display("model_version")]
    ModelVersion,
    /// See [`Workspace`].
    #[display("workspace")]
    Workspace,
    /// See [`Rank`].
    #[display("rank")]
    Rank,
    /// See [`Region`].
    #[display("region")]
    Region,
}

impl Object {
    /// Returns the kind of the object.
    #[must_use]
    pub fn kind(&self) -> ObjectKind {
        match self {
            Object::Fleet(_) => ObjectKind::Fleet,
            Object::Pipeline(_) => ObjectKind::Pipeline,
            Object::Stage(_) => ObjectKind::Stage,
            Object::ModelVersion(_) => ObjectKind::ModelVersion,
            Object::Workspace(_) => ObjectKind::Workspace,
            Object::Rank(_) => ObjectKind::Rank,
            Object::Region(_) => ObjectKind::Region,
        }
    }

    /// Returns the name of the object.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Object::Fleet(_) => "fleet",
            Object::Pipeline(object) => object.name.as_str(),
            Object::Stage(object) => object.name.as_str(),
            Object::ModelVersion(object) => object.name.as_str(),
            Object::Workspace(object) => object.name.as_str(),
            Object::Rank(object) => object.name.as_str(),
            Object::Region(object) => object.name.as_str(),
        }
    }
}

/// Values that hold for the whole fleet. A set has exactly one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Keys that authenticate tickets. New tickets use the first; the
    /// others are accepted, so that a key can be replaced without a gap.
    pub ticket_keys: Vec<TicketKey>,
    /// How long a ticket may be used after it was issued, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// How long the outcome of a ticket can be queried, in milliseconds.
    pub outcome_retention_ms: u64,
    /// The rate of the weight store in bytes per second, over the fleet.
    pub weight_store_bytes_per_s: u64,
}

/// A key that authenticates tickets.
#[derive(Clone, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketKey {
    /// Tells keys apart inside a ticket.
    pub id: u8,
    /// 32 bytes as 64 hexadecimal digits.
    pub secret_hex: String,
}

/// Leaves the secret out, so that it can't reach a log.
impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TicketKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A sequence of stages under one deadline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The name, unique among pipelines.
    pub name: PipelineName,
    /// The stages, run in this order.
    pub stages: Vec<StageName>,
    /// The longest deadline a request may ask for, and the one it gets if
    /// it asks for none, in milliseconds.
    pub deadline_ms: u64,
    /// The rank of requests that name none.
    pub default_rank: RankName,
}

/// One step of a pipeline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The name, unique among stages.
    pub name: StageName,
    /// The pool of backend servers that run the stage.
    pub pool: PoolName,
    /// What the backend server does.
    pub work: Work,
    /// The expected service time before any was measured, in milliseconds.
    pub estimate_ms: u64,
    /// The longest time for one attempt, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the stage may run more than once for one request.
    #[serde(default = "idempotent_default")]
    pub idempotent: bool,
}

fn idempotent_default() -> bool {
    true
}

/// What a stage asks of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Work {
    /// Turns input into vectors.
    Encode,
    /// Finds documents.
    Retrieve,
    /// Sorts documents by relevance.
    Rerank,
    /// Generates tokens with a model version.
    Generate {
        /// The version that generates.
        model_version: ModelVersionName,
        /// The most tokens of one answer.
        max_tokens: u32,
    },
    /// Calls an operation of a plain service.
    Call {
        /// The operation's name as the service knows it.
        operation: String,
    },
}

impl Work {
    /// Returns the role that a backend server needs for this work.
    #[must_use]
    pub fn role(&self) -> Role {
        match self {
            Work::Encode => Role::Encoder,
            Work::Retrieve => Role::Retriever,
            Work::Rerank => Role::Reranker,
            Work::Generate { .. } => Role::Engine,
            Work::Call { .. } => Role::Service,
        }
    }
}

/// The role of the backend servers of a pool.
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
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A model engine that generates tokens.
    #[display("engine")]
    Engine,
    /// Turns input into vectors.
    #[display("encoder")]
    Encoder,
    /// Finds documents.
    #[display("retriever")]
    Retriever,
    /// Sorts documents.
    #[display("reranker")]
    Reranker,
    /// A plain service.
    #[display("service")]
    Service,
}

/// One version of a model, or an adapter on a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The name, unique among model versions.
    pub name: ModelVersionName,
    /// The model of which this is a version.
    pub model: ModelName,
    /// The size of the weights in bytes.
    pub weights_bytes: u64,
    /// For an adapter, the version it is loaded on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelVersionName>,
}

/// A customer, with its limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name, unique among workspaces.
    pub name: WorkspaceName,
    /// The region where most of its callers are.
    pub home_region: RegionName,
    /// The pipelines it may use.
    pub pipelines: Vec<PipelineName>,
    /// Its share relative to other workspaces of the same rank.
    pub weight: u32,
    /// The most open requests over the fleet.
    pub max_open_requests: u32,
    /// The most open requests of one caller over the fleet.
    pub caller_max_open_requests: u32,
    /// Callers whose share differs from the usual weight of 1.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub callers: Vec<Caller>,
}

/// A caller whose share differs from the usual.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The name, unique in its workspace.
    pub name: CallerName,
    /// Its share relative to other callers of the workspace.
    pub weight: u32,
}

/// A class of urgency.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The name, unique among ranks.
    pub name: RankName,
    /// 0 is the most urgent. Each rank has its own order.
    pub order: u8,
    /// The share of capacity the rank keeps under any load, in percent.
    pub guaranteed_percent: u8,
}

/// A region with its availability zones, pools and links.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name, unique among regions.
    pub name: RegionName,
    /// The pools that have backend servers here.
    pub pools: Vec<Pool>,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The links to other regions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<Link>,
}

/// The declared state of the backend servers of one pool in one region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name, unique in the region. A pool of the same name in another
    /// region does the same work.
    pub name: PoolName,
    /// The role of its backend servers.
    pub role: Role,
    /// The requests that one backend server runs at once.
    pub slots_requests: u32,
    /// For engines, the versions that each one has loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub model_versions: Vec<ModelVersionName>,
    /// Whether its backend servers refuse orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// An availability zone with its backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The name, unique over all regions.
    pub name: ZoneName,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name, unique over all regions.
    pub name: ServerName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Where it accepts requests.
    pub address: SocketAddr,
}

/// A link from one region to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region at the other end.
    pub to: RegionName,
    /// The time from one end to the other, in milliseconds.
    pub one_way_ms: u64,
    /// Whether traffic is billed by volume.
    #[serde(default)]
    pub billed: bool,
}
