//! The object set (the fleet's configuration) of the scenarios, reduced so that the machine is not the
//! bottleneck.
//!
//! # Example
//!
//! ```
//! use briarladder_cli::bench::deployment::Deployment;
//!
//! let deployment = Deployment::new(0.25).unwrap();
//! assert_eq!(deployment.engine_slots_requests(), 40);
//! ```

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use briarladder_core::{
    names::{PipelineName, RegionName, ServerName, StageName},
    objects::{Object, Pipeline, Region, Role, Server, Stage, Work},
    sorted::SortedMap,
};

use crate::samples::Sample;

/// Divisor of the slots of every pool. It keeps arrivals at ten times capacity
/// within what two load threads can send.
const SLOTS_DIVISOR: u32 = 4;

/// Divisor of the tokens of every generation. The service time stays the same;
/// `bench daemon` measures the forwarding of tokens.
const TOKENS_DIVISOR: u32 = 16;

/// A pipeline with its stages resolved.
#[derive(Clone, Debug)]
pub struct ResolvedPipeline {
    /// The name of the pipeline.
    pub name: PipelineName,
    /// Maximum time from the request to its response.
    pub deadline: Duration,
    /// The stages, in the order in which they run.
    pub stages: Vec<Arc<Stage>>,
}

impl ResolvedPipeline {
    /// Returns the non-idempotent stage, if the pipeline has one.
    #[must_use]
    pub fn non_idempotent_stage(&self) -> Option<&StageName> {
        self.stages.iter().find(|s| !s.idempotent).map(|s| &s.name)
    }

    /// Returns the time for which one request occupies a slot of an engine.
    #[must_use]
    pub fn engine_time(&self) -> Duration {
        let engine = self
            .stages
            .iter()
            .filter(|stage| stage.work.role() == Role::Engine);
        engine.map(|stage| Duration::from_millis(stage.estimate_ms)).sum()
    }
}

/// The object set of a run and its resolved pipelines.
#[derive(Debug)]
pub struct Deployment {
    objects: Vec<Object>,
    pipelines: SortedMap<PipelineName, Arc<ResolvedPipeline>>,
}

impl Deployment {
    /// Creates the set with all service times, timeouts and deadlines
    /// multiplied by `scale`.
    ///
    /// # Errors
    ///
    /// Returns an error when a pipeline names a stage that is not in the
    /// set.
    pub fn new(scale: f64) -> anyhow::Result<Deployment> {
        let mut objects = Sample::Dobradura.objects()?;
        for object in &mut objects {
            match object {
                Object::Pipeline(pipeline) => {
                    pipeline.deadline_ms =
                        scale_ms(pipeline.deadline_ms, scale);
                }
                Object::Stage(stage) => scale_stage(stage, scale),
                Object::Region(region) => {
                    for pool in &mut region.pools {
                        pool.slots_requests =
                            (pool.slots_requests / SLOTS_DIVISOR).max(1);
                    }
                }
                _ => {}
            }
        }
        let mut pipelines = SortedMap::new();
        for object in &objects {
            let Object::Pipeline(pipeline) = object else { continue };
            let resolved = resolve_pipeline(&objects, pipeline)?;
            pipelines.insert(pipeline.name.clone(), Arc::new(resolved));
        }
        Ok(Deployment { objects, pipelines })
    }

    /// Returns the objects of the set.
    #[must_use]
    pub fn objects(&self) -> &[Object] {
        &self.objects
    }

    /// Returns a pipeline by its name.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such pipeline.
    pub fn pipeline(
        &self,
        name: &str,
    ) -> anyhow::Result<&Arc<ResolvedPipeline>> {
        self.pipelines
            .get(name)
            .with_context(|| format!("the set has no pipeline {name}"))
    }

    /// Returns the slots of all engines, the requests that they run at once.
    #[must_use]
    pub fn engine_slots_requests(&self) -> u32 {
        let regions = regions(&self.objects);
        let slots = regions.flat_map(|region| {
            region.zones.iter().flat_map(|z| &z.servers).map(|server| {
                let pool = region.pools.iter().find(|p| p.name == server.pool);
                match pool {
                    Some(pool) if pool.role == Role::Engine => {
                        pool.slots_requests
                    }
                    _ => 0,
                }
            })
        });
        slots.sum()
    }
}

/// Returns the names of the backend servers of a pool in all regions, in the
/// order of the object set.
#[must_use]
pub fn servers_in_pool(objects: &[Object], pool: &str) -> Vec<ServerName> {
    let servers = servers_by_region(objects).into_iter();
    let in_pool = servers.filter(|(_, s)| s.pool.as_str() == pool);
    in_pool.map(|(_, server)| server.name).collect()
}

/// Returns all backend servers, each with its region, in the order of the
/// object set.
pub(super) fn servers_by_region(
    objects: &[Object],
) -> Vec<(RegionName, Server)> {
    let servers = regions(objects).flat_map(|region| {
        let servers = region.zones.iter().flat_map(|z| &z.servers);
        servers.map(|server| (region.name.clone(), server.clone()))
    });
    servers.collect()
}

/// Returns the regions of an object set.
pub fn regions(objects: &[Object]) -> impl Iterator<Item = &Region> {
    objects.iter().filter_map(|object| match object {
        Object::Region(region) => Some(region),
        _ => None,
    })
}

fn resolve_pipeline(
    objects: &[Object],
    pipeline: &Pipeline,
) -> anyhow::Result<ResolvedPipeline> {
    let mut stages = Vec::new();
    for name in &pipeline.stages {
        let stage = objects.iter().find_map(|object| match object {
            Object::Stage(stage) if stage.name == *name => Some(stage),
            _ => None,
        });
        let stage =
            stage.with_context(|| format!("the set has no stage {name}"))?;
        stages.push(Arc::new(stage.clone()));
    }
    Ok(ResolvedPipeline {
        name: pipeline.name.clone(),
        deadline: Duration::from_millis(pipeline.deadline_ms),
        stages,
    })
}

fn scale_stage(stage: &mut Stage, scale: f64) {
    stage.estimate_ms = scale_ms(stage.estimate_ms, scale);
    stage.timeout_ms = scale_ms(stage.timeout_ms, scale);
    if let Work::Generate { max_tokens, .. } = &mut stage.work {
        *max_tokens = (*max_tokens / TOKENS_DIVISOR).max(1);
    }
}

fn scale_ms(time_ms: u64, scale: f64) -> u64 {
    let time = Duration::from_millis(time_ms).mul_f64(scale);
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a scale that applies to service times but not to
    /// deadlines, which every system would then meet.
    #[test]
    fn new_scales_all_times() {
        let whole = Deployment::new(1.0).unwrap();
        let half = Deployment::new(0.5).unwrap();
        let whole = whole.pipeline("fold-plan").unwrap();
        let half = half.pipeline("fold-plan").unwrap();
        assert_eq!(half.deadline * 2, whole.deadline);
        assert_eq!(half.engine_time() * 2, whole.engine_time());
        assert!(half.stages[0].timeout_ms < whole.stages[0].timeout_ms);
    }
}
