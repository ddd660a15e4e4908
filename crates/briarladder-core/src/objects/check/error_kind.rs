//! What can be wrong with a set, and the remedy for each problem.
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

/// What a reference points at.
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
    /// A pool: of any region for a stage, of its region for a server.
    #[display("pool")]
    Pool,
}

/// What must be unique, and where.
#[derive(
    Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum UniqueItem {
    /// An object among those of its kind.
    #[display("object")]
    Object,
    /// A ticket key's id.
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
    /// A rank's order over all ranks.
    #[display("rank order")]
    RankOrder,
    /// A pool in a region.
    #[display("pool")]
    Pool,
    /// A version in a pool.
    #[display("model version")]
    ModelVersion,
    /// A link's far end in a region.
    #[display("link to region")]
    Link,
    /// An availability zone over all regions.
    #[display("availability zone")]
    Zone,
    /// A backend server over all regions.
    #[display("backend server")]
    Server,
    /// An address over all regions.
    #[display("address")]
    Address,
}

/// What is wrong.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckErrorKind {
    /// A reference to something that is not in the set.
    #[display("refers to {target} {name}, which does not exist")]
    MissingReference {
        /// What the reference points at.
        target: ReferenceTarget,
        /// The name in the reference.
        name: String,
    },
    /// A value that must be unique and is not.
    #[display("{part} {name} is already in {first_file}")]
    Duplicate {
        /// What must be unique.
        part: UniqueItem,
        /// The value.
        name: String,
        /// The file with the first use of the value.
        first_file: FileName,
    },
    /// A version that no stage, pool or adapter refers to.
    #[display("no stage, pool or adapter refers to this version")]
    OrphanedVersion,
    /// A stage's version that no engine of the stage's pool loads.
    #[display("no engine of pool {pool} loads version {version}")]
    VersionNotLoaded {
        /// The version.
        version: String,
        /// The stage's pool.
        pool: String,
    },
    /// An adapter on engines that lack the version it is loaded on.
    #[display("adapter {adapter} is loaded without its base {base}")]
    BaseNotLoaded {
        /// The adapter.
        adapter: String,
        /// Its base.
        base: String,
    },
    /// Adapters that are each other's base. Reported at the first name.
    #[display("is its own base: {}", path.join(" -> "))]
    BaseCycle {
        /// The versions of the cycle, from the first name.
        path: Vec<String>,
    },
    /// A stage whose pool has another role than its work needs.
    #[display("pool {pool} has role {has}, but the work needs {needs}")]
    RoleMismatch {
        /// The stage's pool.
        pool: String,
        /// The role that the work needs.
        needs: Role,
        /// The role of the pool.
        has: Role,
    },
    /// A pool with different roles in two regions.
    #[display("has role {has}, but role {other} in region {region}")]
    RoleConflict {
        /// The role here.
        has: Role,
        /// The role in the other region.
        other: Role,
        /// The other region.
        region: String,
    },
    /// Versions on a pool that is not made of engines.
    #[display("role {role} loads no model versions")]
    VersionsOnRole {
        /// The pool's role.
        role: Role,
    },
    /// A pool of a region in which it has no backend server.
    #[display("pool {pool} has no backend server in this region")]
    PoolWithoutServers {
        /// The pool.
        pool: String,
    },
    /// A stage whose pool has no backend server in any region.
    #[display("pool {pool} has no backend server in any region")]
    UnreachablePool {
        /// The stage's pool.
        pool: String,
    },
    /// A pipeline that can't end in time.
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
    /// A stage whose usual attempt times out.
    #[display("{timeout_ms} ms is below the estimate of {estimate_ms} ms")]
    TimeoutBelowEstimate {
        /// The timeout in milliseconds.
        timeout_ms: u64,
        /// The estimate in milliseconds.
        estimate_ms: u64,
    },
    /// A pipeline without stages.
    #[display("the pipeline has no stages")]
    EmptyPipeline,
    /// A pipeline with several stages that may run only once.
    #[display("stages {first} and {second} are both non-idempotent")]
    SecondNonIdempotent {
        /// The first non-idempotent stage.
        first: String,
        /// A later one.
        second: String,
    },
    /// A stage that may run only once and is not the last: a failure of a
    /// later stage would hide that it ran.
    #[display("non-idempotent stage {stage} is not the last stage")]
    NonIdempotentNotLast {
        /// The stage.
        stage: String,
    },
    /// A value that must not be zero.
    #[display("is zero")]
    Zero,
    /// A caller's limit that can never be reached.
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
    /// Guaranteed shares that can't all be kept. Reported at the rank, in
    /// rank order, that exceeds 100%.
    #[display("the guaranteed shares add up to {total_percent}%")]
    SharesAboveWhole {
        /// The sum over all ranks.
        total_percent: u32,
    },
    /// A set without a fleet object.
    #[display("the set has no fleet object")]
    NoFleet,
    /// A second fleet object.
    #[display("the set already has a fleet object in {first_file}")]
    SecondFleet {
        /// The file of the first one.
        first_file: FileName,
    },
    /// A fleet that can't issue tickets.
    #[display("there is no ticket key")]
    NoTicketKeys,
    /// A key that is not 64 hexadecimal digits.
    #[display("is not 64 hexadecimal digits")]
    BadTicketKey,
    /// Outcomes discarded while their ticket can still be used, so that a
    /// late copy of a call would find no record that it ran.
    #[display(
        "{retention_ms} ms is below the ticket lifetime of {lifetime_ms} ms"
    )]
    RetentionBelowLifetime {
        /// How long outcomes are kept, in milliseconds.
        retention_ms: u64,
        /// How long tickets can be used, in milliseconds.
        lifetime_ms: u64,
    },
    /// A link from a region to itself.
    #[display("links the region to itself")]
    LinkToSelf,
}

impl CheckErrorKind {
    /// Returns what to do.
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
