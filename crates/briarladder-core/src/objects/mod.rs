//! The configuration objects that operators publish.
//!
//! Objects refer to each other by name. A set of objects is used only if
//! [`check::check`] finds no errors in it; [`snapshot::Snapshot`] is its
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
    /// Fleet-wide settings.
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

    /// Returns the name of the object, which is unique among objects of its
    /// kind. The fleet object is named `fleet`.
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

/// Fleet-wide settings. A set has exactly one object of this kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The keys that sign and verify tickets. The first one signs new tickets;
    /// the others still verify, so that keys can be rotated without
    /// invalidating tickets.
    pub ticket_keys: Vec<TicketKey>,
    /// How long a ticket can be used after it was issued, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// How long the outcome of a ticket can be queried, in milliseconds.
    pub outcome_retention_ms: u64,
    /// The throughput of the weight store for the whole fleet, in bytes per
    /// second.
    pub weight_store_bytes_per_s: u64,
}

/// A key that signs and verifies tickets.
#[derive(Clone, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketKey {
    /// The identifier of the key, which tickets contain.
    pub id: u8,
    /// The 32-byte secret as 64 hexadecimal digits.
    pub secret_hex: String,
}

/// Omits the secret, so that it can't appear in logs.
impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TicketKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A sequence of stages that runs under one deadline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The name, unique among pipelines.
    pub name: PipelineName,
    /// The stages, in the order in which they run.
    pub stages: Vec<StageName>,
    /// The maximum deadline of a request, and the default if the request does
    /// not specify one, in milliseconds.
    pub deadline_ms: u64,
    /// The rank of requests that do not specify one.
    pub default_rank: RankName,
}

/// One step of a pipeline, run by a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The name, unique among stages.
    pub name: StageName,
    /// The pool of backend servers that run the stage.
    pub pool: PoolName,
    /// The operation that the backend server performs.
    pub work: Work,
    /// The initial estimate of the service time, used until it has been
    /// measured, in milliseconds.
    pub estimate_ms: u64,
    /// The timeout of one attempt, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the stage may run more than once for one request. The default
    /// is true.
    #[serde(default = "idempotent_default")]
    pub idempotent: bool,
}

fn idempotent_default() -> bool {
    true
}

/// The operation that a stage requests from a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Work {
    /// Computes embedding vectors of the input.
    Encode,
    /// Retrieves documents.
    Retrieve,
    /// Sorts documents by relevance.
    Rerank,
    /// Generates tokens with a model version.
    Generate {
        /// The model version to use.
        model_version: ModelVersionName,
        /// The maximum number of tokens of one response.
        max_tokens: u32,
    },
    /// Calls an operation of a plain service.
    Call {
        /// The name of the operation in the service's own interface.
        operation: String,
    },
}

impl Work {
    /// Returns the role of the backend servers that perform this work.
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
    /// A model engine, which generates tokens.
    #[display("engine")]
    Engine,
    /// An encoder, which computes embedding vectors.
    #[display("encoder")]
    Encoder,
    /// A retriever, which retrieves documents.
    #[display("retriever")]
    Retriever,
    /// A reranker, which sorts documents by relevance.
    #[display("reranker")]
    Reranker,
    /// A plain service, which runs operations without a model.
    #[display("service")]
    Service,
}

/// One version of a model, or an adapter for a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The name, unique among model versions.
    pub name: ModelVersionName,
    /// The model to which the version belongs.
    pub model: ModelName,
    /// The size of the weights in bytes.
    pub weights_bytes: u64,
    /// The version on which an adapter is based; absent unless this is an
    /// adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelVersionName>,
}

/// A workspace, which belongs to one customer, with its limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name, unique among workspaces.
    pub name: WorkspaceName,
    /// The region from which most of its requests come.
    pub home_region: RegionName,
    /// The pipelines that it may use.
    pub pipelines: Vec<PipelineName>,
    /// Its weight in fair queueing among the workspaces of a rank.
    pub weight: u32,
    /// The maximum number of its open requests in the fleet.
    pub max_open_requests: u32,
    /// The maximum number of open requests of one caller in the fleet.
    pub caller_max_open_requests: u32,
    /// The callers whose weight differs from the default of 1.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub callers: Vec<Caller>,
}

/// A caller whose weight differs from the default of 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The name, unique in its workspace.
    pub name: CallerName,
    /// Its weight in fair queueing among the callers of the workspace.
    pub weight: u32,
}

/// A priority class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The name, unique among ranks.
    pub name: RankName,
    /// The position among the ranks; 0 is the most urgent. Unique among ranks.
    pub order: u8,
    /// The share of capacity that is guaranteed to the rank under any load,
    /// in percent.
    pub guaranteed_percent: u8,
}

/// A region with its availability zones, pools and links.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name, unique among regions.
    pub name: RegionName,
    /// The pools that have backend servers in the region.
    pub pools: Vec<Pool>,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The links to other regions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<Link>,
}

/// The properties shared by the backend servers of one pool in one region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name, unique in the region. Pools with the same name in several
    /// regions perform the same work.
    pub name: PoolName,
    /// The role of its backend servers.
    pub role: Role,
    /// How many requests one backend server runs concurrently.
    pub slots_requests: u32,
    /// The model versions that each server should have loaded; empty unless
    /// the servers are engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub model_versions: Vec<ModelVersionName>,
    /// Whether its backend servers refuse orders with an outdated fencing
    /// token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// An availability zone with its backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The name, unique in the fleet.
    pub name: ZoneName,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name, unique in the fleet.
    pub name: ServerName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The address at which it accepts requests, unique in the fleet.
    pub address: SocketAddr,
}

/// A network link from one region to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region at the other end.
    pub to: RegionName,
    /// The one-way latency, in milliseconds.
    pub one_way_ms: u64,
    /// Whether traffic on the link is billed by volume.
    #[serde(default)]
    pub billed: bool,
}
