//! Checks of references by name, and of the pools they refer to.

use super::{
    CheckErrorKind, CheckErrors, FieldPath, ReferenceTarget,
    index::ObjectIndex,
};
use crate::objects::{
    ModelVersion, Object, Pipeline, Region, Role, Stage, Work, Workspace,
    parse::LocatedObject,
};

pub fn check(
    objects: &[&LocatedObject],
    index: &ObjectIndex,
    errors: &mut CheckErrors,
) {
    for located in objects {
        let mut checker = ReferenceChecker { located, index, errors };
        match &located.object {
            Object::Pipeline(pipeline) => checker.check_pipeline(pipeline),
            Object::Stage(stage) => checker.check_stage(stage),
            Object::ModelVersion(version) => checker.check_version(version),
            Object::Workspace(workspace) => checker.check_workspace(workspace),
            Object::Region(region) => checker.check_region(region),
            Object::Fleet(_) | Object::Rank(_) => {}
        }
    }
}

struct ReferenceChecker<'a, 'f> {
    located: &'a LocatedObject,
    index: &'a ObjectIndex<'a>,
    errors: &'f mut CheckErrors,
}

impl ReferenceChecker<'_, '_> {
    /// Reports a reference whose target is not in the set.
    fn require_target(
        &mut self,
        target: ReferenceTarget,
        name: &str,
        field: impl FnOnce() -> FieldPath,
    ) {
        let index = self.index;
        let found = match target {
            ReferenceTarget::Pipeline => index.pipelines.contains(name),
            ReferenceTarget::Stage => index.stages.contains_key(name),
            ReferenceTarget::ModelVersion => index.versions.contains_key(name),
            ReferenceTarget::Rank => index.ranks.contains(name),
            ReferenceTarget::Region => index.regions.contains(name),
            ReferenceTarget::Pool => index.pools.contains_key(name),
        };
        if !found {
            let name = name.to_owned();
            let problem = CheckErrorKind::MissingReference { target, name };
            self.errors.add(self.located, field(), problem);
        }
    }

    fn check_pipeline(&mut self, pipeline: &Pipeline) {
        for (i, stage) in pipeline.stages.iter().enumerate() {
            self.require_target(
                ReferenceTarget::Stage,
                stage.as_str(),
                || format!("stages[{i}]").into(),
            );
        }
        let rank = pipeline.default_rank.as_str();
        self.require_target(ReferenceTarget::Rank, rank, || {
            "default_rank".into()
        });
    }

    fn check_stage(&mut self, stage: &Stage) {
        let name = stage.pool.as_str();
        self.require_target(ReferenceTarget::Pool, name, || "pool".into());
        if let Work::Generate { model_version, .. } = &stage.work {
            let version = model_version.as_str();
            self.require_target(
                ReferenceTarget::ModelVersion,
                version,
                || "work.generate.model_version".into(),
            );
        }
        let Some(pool) = self.index.pools.get(name) else { return };
        let (needs, has) = (stage.work.role(), pool.role);
        if needs != has {
            let pool = name.to_owned();
            let problem = CheckErrorKind::RoleMismatch { pool, needs, has };
            self.errors.add(self.located, "pool", problem);
        }
        if pool.servers == 0 {
            let pool = name.to_owned();
            let problem = CheckErrorKind::UnreachablePool { pool };
            self.errors.add(self.located, "pool", problem);
        }
    }

    fn check_version(&mut self, version: &ModelVersion) {
        if let Some(base) = &version.base {
            let base = base.as_str();
            self.require_target(ReferenceTarget::ModelVersion, base, || {
                "base".into()
            });
        }
    }

    fn check_workspace(&mut self, workspace: &Workspace) {
        let home = workspace.home_region.as_str();
        self.require_target(ReferenceTarget::Region, home, || {
            "home_region".into()
        });
        for (i, pipeline) in workspace.pipelines.iter().enumerate() {
            self.require_target(
                ReferenceTarget::Pipeline,
                pipeline.as_str(),
                || format!("pipelines[{i}]").into(),
            );
        }
    }

    fn check_region(&mut self, region: &Region) {
        self.check_region_pools(region);
        for (i, zone) in region.zones.iter().enumerate() {
            for (j, server) in zone.servers.iter().enumerate() {
                if region.pools.iter().any(|p| p.name == server.pool) {
                    continue;
                }
                let name = server.pool.as_str().to_owned();
                let target = ReferenceTarget::Pool;
                self.errors.add(
                    self.located,
                    format!("zones[{i}].servers[{j}].pool"),
                    CheckErrorKind::MissingReference { target, name },
                );
            }
        }
        for (i, link) in region.links.iter().enumerate() {
            let field = || format!("links[{i}].to").into();
            if link.to == region.name {
                self.errors.add(
                    self.located,
                    field(),
                    CheckErrorKind::LinkToSelf,
                );
            } else {
                self.require_target(
                    ReferenceTarget::Region,
                    link.to.as_str(),
                    field,
                );
            }
        }
    }

    fn check_region_pools(&mut self, region: &Region) {
        for (i, pool) in region.pools.iter().enumerate() {
            for (j, version) in pool.model_versions.iter().enumerate() {
                let version = version.as_str();
                self.require_target(
                    ReferenceTarget::ModelVersion,
                    version,
                    || format!("pools[{i}].model_versions[{j}]").into(),
                );
            }
            if pool.role != Role::Engine && !pool.model_versions.is_empty() {
                let field = format!("pools[{i}].model_versions");
                let role = pool.role;
                let problem = CheckErrorKind::VersionsOnRole { role };
                self.errors.add(self.located, field, problem);
            }
            let first = self.index.pools.get(pool.name.as_str());
            if let Some(first) = first.filter(|f| f.role != pool.role) {
                let problem = CheckErrorKind::RoleConflict {
                    has: pool.role,
                    other: first.role,
                    region: first.region.to_owned(),
                };
                self.errors.add(
                    self.located,
                    format!("pools[{i}].role"),
                    problem,
                );
            }
            let mut servers = region.zones.iter().flat_map(|z| &z.servers);
            if !servers.any(|server| server.pool == pool.name) {
                let pool = pool.name.as_str().to_owned();
                let problem = CheckErrorKind::PoolWithoutServers { pool };
                self.errors.add(self.located, format!("pools[{i}]"), problem);
            }
        }
    }
}
