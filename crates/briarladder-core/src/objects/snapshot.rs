//! Snapshots: the objects of an epoch with all references resolved.
//!
//! References by name are replaced with shared pointers, so that requests need
//! no repeated lookups. A request uses the same snapshot for all its stages.
//!
//! # Example
//!
//! ```
//! use briarladder_core::objects::snapshot::Snapshot;
//!
//! // A set without a fleet object can't be resolved.
//! assert!(Snapshot::resolve(1, &[]).is_err());
//! ```

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error};

use crate::{
    names::{
        ModelVersionName, PipelineName, PoolName, RankName, RegionName,
        ServerName, StageName, WorkspaceName, ZoneName,
    },
    objects::{
        Fleet, ModelVersion, Object, Pipeline, Rank, Region, Role, Stage,
        Workspace,
    },
    sorted::SortedMap,
};

/// The error for a reference that can't be resolved.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "{object} refers to {missing}, which is not in the set; add it \
           or change the reference"
)]
pub struct ResolveError {
    object: String,
    missing: String,
}

impl ResolveError {
    fn new(object: impl Into<String>, missing: String) -> ResolveError {
        ResolveError { object: object.into(), missing }
    }
}

/// The resolved objects of one epoch.
#[derive(Debug)]
pub struct Snapshot {
    /// The epoch. Later configurations have higher epochs.
    pub epoch: u64,
    /// The fleet-wide settings.
    pub fleet: Fleet,
    /// The pipelines by name.
    pub pipelines: SortedMap<PipelineName, Arc<ResolvedPipeline>>,
    /// The workspaces by name.
    pub workspaces: SortedMap<WorkspaceName, Arc<Workspace>>,
    /// The ranks, most urgent first. A rank's position is its [`RankIndex`].
    pub ranks: Vec<Rank>,
    /// The pools by name, each with its servers in all regions.
    pub pools: SortedMap<PoolName, Arc<ResolvedPool>>,
    /// The model versions by name.
    pub model_versions: SortedMap<ModelVersionName, ModelVersion>,
    /// The regions by name.
    pub regions: SortedMap<RegionName, Arc<Region>>,
}

/// The position of a rank in [`Snapshot::ranks`]; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct RankIndex(pub u8);

/// A pipeline with its resolved stages.
#[derive(Debug)]
pub struct ResolvedPipeline {
    /// The name.
    pub name: PipelineName,
    /// The stages, in the order in which they run.
    pub stages: Vec<Arc<ResolvedStage>>,
    /// The maximum deadline of a request, and the default if the request does
    /// not specify one.
    pub deadline: Duration,
    /// The rank of requests that do not specify one.
    pub default_rank: RankIndex,
    /// Whether all stages are idempotent.
    pub idempotent: bool,
}

/// A stage with its resolved pool.
#[derive(Debug)]
pub struct ResolvedStage {
    /// The stage as published.
    pub stage: Stage,
    /// The backend servers that may run it.
    pub pool: Arc<ResolvedPool>,
}

impl ResolvedStage {
    /// Returns the initial estimate of the service time, used until it has
    /// been measured.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.stage.estimate_ms)
    }

    /// Returns the timeout of one attempt.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.stage.timeout_ms)
    }
}

/// A pool with its backend servers in all regions.
#[derive(Debug)]
pub struct ResolvedPool {
    /// The name.
    pub name: PoolName,
    /// The role of its backend servers.
    pub role: Role,
    /// The backend servers, sorted by name.
    pub servers: Vec<Arc<ResolvedServer>>,
}

/// A backend server with its location and the properties of its pool.
#[derive(Debug)]
pub struct ResolvedServer {
    /// The name.
    pub name: ServerName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// How many requests it runs concurrently.
    pub slots_requests: u32,
    /// The model versions that it should have loaded.
    pub model_versions: Vec<ModelVersionName>,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// The cost of sending from one region to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkCost {
    /// The one-way latency.
    pub one_way: Duration,
    /// Whether traffic is billed by volume.
    pub billed: bool,
}

/// The latency assumed between regions for which no link is declared.
const UNDECLARED_LINK_ONE_WAY: Duration = Duration::from_millis(50);

impl Snapshot {
    /// Resolves all references of a set.
    ///
    /// # Errors
    ///
    /// Returns the first reference that can't be resolved. Use
    /// [`check`](crate::objects::check::check) to find all errors of a set.
    pub fn resolve(
        epoch: u64,
        objects: &[Object],
    ) -> Result<Snapshot, ResolveError> {
        let fleet = objects
            .iter()
            .find_map(|object| match object {
                Object::Fleet(fleet) => Some(fleet.clone()),
                _ => None,
            })
            .ok_or_else(|| {
                ResolveError::new("the set", "a fleet object".into())
            })?;
        let ranks = resolve_ranks(objects);
        let pools = resolve_pools(objects);
        let stages = resolve_stages(objects, &pools)?;
        let pipelines = resolve_pipelines(objects, &stages, &ranks)?;
        Ok(Snapshot {
            epoch,
            fleet,
            pipelines,
            workspaces: collect_map(objects, |object| match object {
                Object::Workspace(workspace) => {
                    Some((workspace.name.clone(), Arc::new(workspace.clone())))
                }
                _ => None,
            }),
            ranks,
            pools,
            model_versions: collect_map(objects, |object| match object {
                Object::ModelVersion(version) => {
                    Some((version.name.clone(), version.clone()))
                }
                _ => None,
            }),
            regions: collect_map(objects, |object| match object {
                Object::Region(region) => {
                    Some((region.name.clone(), Arc::new(region.clone())))
                }
                _ => None,
            }),
        })
    }

    /// Returns the position of a rank; `None` if it does not exist.
    #[must_use]
    pub fn rank_index(&self, name: &str) -> Option<RankIndex> {
        rank_index(&self.ranks, name)
    }

    /// Returns the cost of sending from one region to another. A link that is
    /// declared in one direction only counts for both.
    #[must_use]
    pub fn link_cost(&self, from: &RegionName, to: &RegionName) -> LinkCost {
        if from == to {
            return LinkCost { one_way: Duration::ZERO, billed: false };
        }
        let declared = |near: &RegionName, far: &RegionName| {
            let region = self.regions.get(near)?;
            let link = region.links.iter().find(|link| link.to == *far)?;
            let one_way = Duration::from_millis(link.one_way_ms);
            Some(LinkCost { one_way, billed: link.billed })
        };
        declared(from, to).or_else(|| declared(to, from)).unwrap_or(LinkCost {
            one_way: UNDECLARED_LINK_ONE_WAY,
            billed: true,
        })
    }

    /// Returns the region of an availability zone; `None` if the zone does not
    /// exist.
    #[must_use]
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions
            .values()
            .find(|region| region.zones.iter().any(|z| z.name == *zone))
            .map(|region| &region.name)
    }
}

fn collect_map<K: Ord, V>(
    objects: &[Object],
    entry: impl Fn(&Object) -> Option<(K, V)>,
) -> SortedMap<K, V> {
    objects.iter().filter_map(entry).collect()
}

fn resolve_ranks(objects: &[Object]) -> Vec<Rank> {
    let mut ranks: Vec<Rank> = objects
        .iter()
        .filter_map(|object| match object {
            Object::Rank(rank) => Some(rank.clone()),
            _ => None,
        })
        .collect();
    ranks.sort_by(|a, b| (a.order, &a.name).cmp(&(b.order, &b.name)));
    ranks
}

fn rank_index(ranks: &[Rank], name: &str) -> Option<RankIndex> {
    let index = ranks.iter().position(|rank| rank.name.as_str() == name)?;
    u8::try_from(index).ok().map(RankIndex)
}

fn resolve_pools(
    objects: &[Object],
) -> SortedMap<PoolName, Arc<ResolvedPool>> {
    let mut pools: SortedMap<PoolName, ResolvedPool> = SortedMap::new();
    for object in objects {
        let Object::Region(region) = object else { continue };
        for declared in &region.pools {
            let pool = pools.get_or_insert_with(declared.name.clone(), || {
                ResolvedPool {
                    name: declared.name.clone(),
                    role: declared.role,
                    servers: Vec::new(),
                }
            });
            for zone in &region.zones {
                let servers = zone
                    .servers
                    .iter()
                    .filter(|server| server.pool == declared.name);
                pool.servers.extend(servers.map(|server| {
                    Arc::new(ResolvedServer {
                        name: server.name.clone(),
                        pool: declared.name.clone(),
                        address: server.address,
                        zone: zone.name.clone(),
                        region: region.name.clone(),
                        slots_requests: declared.slots_requests,
                        model_versions: declared.model_versions.clone(),
                        checks_fencing: declared.checks_fencing,
                    })
                }));
            }
        }
    }
    for (_, pool) in pools.iter_mut() {
        pool.servers.sort_by(|a, b| a.name.cmp(&b.name));
    }
    pools
        .iter_mut()
        .map(|(name, pool)| {
            let servers = std::mem::take(&mut pool.servers);
            let pool =
                ResolvedPool { name: name.clone(), role: pool.role, servers };
            (name.clone(), Arc::new(pool))
        })
        .collect()
}

fn resolve_stages(
    objects: &[Object],
    pools: &SortedMap<PoolName, Arc<ResolvedPool>>,
) -> Result<SortedMap<StageName, Arc<ResolvedStage>>, ResolveError> {
    let mut stages = SortedMap::new();
    for object in objects {
        let Object::Stage(stage) = object else { continue };
        let pool = pools.get(&stage.pool).ok_or_else(|| {
            ResolveError::new(
                format!("stage {}", stage.name),
                format!("pool {}", stage.pool),
            )
        })?;
        let resolved =
            ResolvedStage { stage: stage.clone(), pool: Arc::clone(pool) };
        stages.insert(stage.name.clone(), Arc::new(resolved));
    }
    Ok(stages)
}

fn resolve_pipelines(
    objects: &[Object],
    stages: &SortedMap<StageName, Arc<ResolvedStage>>,
    ranks: &[Rank],
) -> Result<SortedMap<PipelineName, Arc<ResolvedPipeline>>, ResolveError> {
    let mut pipelines = SortedMap::new();
    for object in objects {
        let Object::Pipeline(pipeline) = object else { continue };
        let resolved = resolve_pipeline(pipeline, stages, ranks)?;
        pipelines.insert(pipeline.name.clone(), Arc::new(resolved));
    }
    Ok(pipelines)
}

fn resolve_pipeline(
    pipeline: &Pipeline,
    stages: &SortedMap<StageName, Arc<ResolvedStage>>,
    ranks: &[Rank],
) -> Result<ResolvedPipeline, ResolveError> {
    let object = || format!("pipeline {}", pipeline.name);
    let default_rank = rank_index(ranks, pipeline.default_rank.as_str())
        .ok_or_else(|| {
            let missing: &RankName = &pipeline.default_rank;
            ResolveError::new(object(), format!("rank {missing}"))
        })?;
    let stages: Vec<Arc<ResolvedStage>> = pipeline
        .stages
        .iter()
        .map(|name| {
            stages.get(name).cloned().ok_or_else(|| {
                ResolveError::new(object(), format!("stage {name}"))
            })
        })
        .collect::<Result<_, _>>()?;
    let idempotent = stages.iter().all(|stage| stage.stage.idempotent);
    Ok(ResolvedPipeline {
        name: pipeline.name.clone(),
        stages,
        deadline: Duration::from_millis(pipeline.deadline_ms),
        default_rank,
        idempotent,
    })
}
