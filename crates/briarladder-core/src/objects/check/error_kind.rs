//! The kinds of errors in object sets, with the remedy for each.
//!
//! # Example
//!
//! ```
//! use briarladder_core::objects::check::CheckErrorKind;
//!
//! assert_eq!(CheckErrorKind::Zero.to_string(), "is zero");
//! assert_eq!(CheckErrorKind::Zero.remedy(), "set a value above zero");
//! ```

use derive_more::Display;
use serde::Serialize;

use crate::objects::{Role, parse::FileName};

/// The kind of target of a reference.
#[derive(
    Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ReferenceTarget {
    /// A pipeline.
    #[display("pipeline")]
    Pipeline,
    /// A stage.
    #[display("stage")]
    Stage,
    /// A model version.
    #[display("model version")]
    ModelVersion,
    /// A rank.
    #[display("rank")]
    Rank,
    /// A region.
    #[display("region")]
    Region,
    /// A pool: in any region for a stage, in the same region for a server.
    #[display("pool")]
    Pool,
}

/// A kind of value that must be unique, with its scope.
#[derive(
    Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum UniqueItem {
    /// An object among those of its kind.
    #[display("object")]
    Object,
    /// The identifier of a ticket key.
    #[display("ticket key")]
    TicketKey,
    /// A stage in a pipeline.
    #[display("stage")]
    Stage,
    /// A pipeline in a workspace.
    #[display("pipeline")]
    Pipeline,
    /// A caller in a workspace.
    #[display("caller")]
    Caller,
    /// The order of a rank among all ranks.
    #[display("rank order")]
    RankOrder,
    /// A pool in a region.
    #[display("pool")]
    Pool,
    /// A version in a pool.
    #[display("model version")]
    ModelVersion,
    /// The region at the other end of a link, among the links of a region.
    #[display("link to region")]
    Link,
    /// An availability zone in the fleet.
    #[display("availability zone")]
    Zone,
    /// A backend server in the fleet.
    #[display("backend server")]
    Server,
    /// An address of a backend server in the fleet.
    #[display("address")]
    Address,
}

/// The kind of a [`CheckError`](super::CheckError).
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckErrorKind {
    /// A reference names an object that is not in the set.
    #[display("refers to {target} {name}, which does not exist")]
    MissingReference {
        /// The kind of the missing object.
        target: ReferenceTarget,
        /// The name in the reference.
        name: String,
    },
    /// A value that must be unique occurs more than once.
    #[display("{part} {name} is already in {first_file}")]
    Duplicate {
        /// The kind of value.
        part: UniqueItem,
        /// The value.
        name: String,
        /// The file with the first occurrence of the value.
        first_file: FileName,
    },
    /// No stage, pool or adapter refers to a model version.
    #[display("no stage, pool or adapter refers to this version")]
    OrphanedVersion,
    /// No engine of a stage's pool loads the model version of the stage.
    #[display("no engine of pool {pool} loads version {version}")]
    VersionNotLoaded {
        /// The model version.
        version: String,
        /// The pool of the stage.
        pool: String,
    },
    /// Engines load an adapter without its base.
    #[display("adapter {adapter} is loaded without its base {base}")]
    BaseNotLoaded {
        /// The adapter.
        adapter: String,
        /// The base of the adapter.
        base: String,
    },
    /// The bases of adapters form a cycle. It is reported at the version whose
    /// name sorts first.
    #[display("is its own base: {}", path.join(" -> "))]
    BaseCycle {
        /// The versions of the cycle, which starts and ends with the same one.
        path: Vec<String>,
    },
    /// The role of a stage's pool differs from the one that its work needs.
    #[display("pool {pool} has role {has}, but the work needs {needs}")]
    RoleMismatch {
        /// The pool of the stage.
        pool: String,
        /// The role that the work needs.
        needs: Role,
        /// The role of the pool.
        has: Role,
    },
    /// A pool has different roles in two regions.
    #[display("has role {has}, but role {other} in region {region}")]
    RoleConflict {
        /// The role in this region.
        has: Role,
        /// The role in the other region.
        other: Role,
        /// The other region.
        region: String,
    },
    /// A pool has model versions, but its servers are not engines.
    #[display("role {role} loads no model versions")]
    VersionsOnRole {
        /// The role of the pool.
        role: Role,
    },
    /// A region declares a pool without backend servers.
    #[display("pool {pool} has no backend server in this region")]
    PoolWithoutServers {
        /// The pool.
        pool: String,
    },
    /// The pool of a stage has no backend server in any region.
    #[display("pool {pool} has no backend server in any region")]
    UnreachablePool {
        /// The pool of the stage.
        pool: String,
    },
    /// The deadline of a pipeline is shorter than its stages are expected to
    /// take.
    #[display(
        "the stage estimates add up to {estimates_ms} ms, above the \
         deadline of {deadline_ms} ms"
    )]
    DeadlineTooShort {
        /// The deadline in milliseconds.
        deadline_ms: u64,
        /// The sum of the estimates in milliseconds.
        estimates_ms: u64,
    },
    /// The timeout of a stage is shorter than its estimated service time.
    #[display("{timeout_ms} ms is below the estimate of {estimate_ms} ms")]
    TimeoutBelowEstimate {
        /// The timeout in milliseconds.
        timeout_ms: u64,
        /// The estimate in milliseconds.
        estimate_ms: u64,
    },
    /// A pipeline has no stages.
    #[display("the pipeline has no stages")]
    EmptyPipeline,
    /// A pipeline has several non-idempotent stages.
    #[display("stages {first} and {second} are both non-idempotent")]
    SecondNonIdempotent {
        /// The first non-idempotent stage.
        first: String,
        /// A later non-idempotent stage.
        second: String,
    },
    /// A non-idempotent stage is not the last one. If a later stage failed,
    /// the response would hide that the stage had run.
    #[display("non-idempotent stage {stage} is not the last stage")]
    NonIdempotentNotLast {
        /// The stage.
        stage: String,
    },
    /// A value is zero that must not be.
    #[display("is zero")]
    Zero,
    /// The limit of a caller exceeds that of its workspace and can therefore
    /// never be reached.
    #[display(
        "{caller_requests} requests for one caller are above the \
         workspace's {workspace_requests}"
    )]
    CallerAboveWorkspace {
        /// The limit of one caller.
        caller_requests: u32,
        /// The limit of the workspace.
        workspace_requests: u32,
    },
    /// The guaranteed shares exceed 100%. This is reported at the first rank,
    /// in rank order, at which the sum exceeds it.
    #[display("the guaranteed shares add up to {total_percent}%")]
    SharesAboveWhole {
        /// The sum over all ranks, in percent.
        total_percent: u32,
    },
    /// The set has no fleet object.
    #[display("the set has no fleet object")]
    NoFleet,
    /// The set has a second fleet object.
    #[display("the set already has a fleet object in {first_file}")]
    SecondFleet {
        /// The file of the first one.
        first_file: FileName,
    },
    /// The fleet object has no ticket keys, so no tickets could be issued.
    #[display("there is no ticket key")]
    NoTicketKeys,
    /// The secret of a ticket key is not 64 hexadecimal digits.
    #[display("is not 64 hexadecimal digits")]
    BadTicketKey,
    /// Outcomes would be discarded while their ticket can still be used, so
    /// that a late copy of a call would find no record that it ran.
    #[display(
        "{retention_ms} ms is below the ticket lifetime of {lifetime_ms} ms"
    )]
    RetentionBelowLifetime {
        /// How long outcomes are kept, in milliseconds.
        retention_ms: u64,
        /// How long tickets can be used, in milliseconds.
        lifetime_ms: u64,
    },
    /// A region has a link to itself.
    #[display("links the region to itself")]
    LinkToSelf,
}

impl CheckErrorKind {
    /// Returns how to correct an error of this kind.
    #[must_use]
    pub fn remedy(&self) -> String {
        match self {
            CheckErrorKind::MissingReference { target, name } => {
                return format!("add {target} {name} or change the reference");
            }
            CheckErrorKind::Duplicate { part, .. } => {
                return format!("remove one, or give each {part} its own");
            }
            CheckErrorKind::VersionNotLoaded { version, pool } => {
                return format!(
                    "add {version} to the model_versions of pool {pool}"
                );
            }
            CheckErrorKind::BaseNotLoaded { base, .. } => {
                return format!("add {base} to the pool's model_versions");
            }
            CheckErrorKind::RoleMismatch { needs, .. } => {
                return format!("use a pool of role {needs}");
            }
            CheckErrorKind::OrphanedVersion => {
                "remove the version, or use it in a stage or pool"
            }
            CheckErrorKind::BaseCycle { .. } => {
                "remove the base of one of them"
            }
            CheckErrorKind::RoleConflict { .. } => {
                "give the pool one role, or one of them another name"
            }
            CheckErrorKind::VersionsOnRole { .. } => {
                "remove the model_versions, or set the role to engine"
            }
            CheckErrorKind::PoolWithoutServers { .. } => {
                "add a backend server, or remove the pool from the region"
            }
            CheckErrorKind::UnreachablePool { .. } => {
                "add a backend server, or use another pool"
            }
            CheckErrorKind::DeadlineTooShort { .. } => {
                "raise deadline_ms or use faster stages"
            }
            CheckErrorKind::TimeoutBelowEstimate { .. } => {
                "raise timeout_ms or lower estimate_ms"
            }
            CheckErrorKind::EmptyPipeline => {
                "add a stage or remove the pipeline"
            }
            CheckErrorKind::SecondNonIdempotent { .. } => {
                "split the pipeline, one non-idempotent stage in each"
            }
            CheckErrorKind::NonIdempotentNotLast { .. } => {
                "move the stage to the end of the pipeline"
            }
            CheckErrorKind::Zero => "set a value above zero",
            CheckErrorKind::CallerAboveWorkspace { .. } => {
                "lower caller_max_open_requests or raise max_open_requests"
            }
            CheckErrorKind::SharesAboveWhole { .. } => {
                "lower guaranteed_percent until the sum is at most 100"
            }
            CheckErrorKind::NoFleet => "add one object of kind fleet",
            CheckErrorKind::SecondFleet { .. } => "remove one of the two",
            CheckErrorKind::NoTicketKeys => "add a key to ticket_keys",
            CheckErrorKind::BadTicketKey => {
                "set secret_hex to 32 random bytes in hexadecimal"
            }
            CheckErrorKind::RetentionBelowLifetime { .. } => {
                "raise outcome_retention_ms or lower ticket_lifetime_ms"
            }
            CheckErrorKind::LinkToSelf => "remove the link",
        }
        .to_owned()
    }
}
