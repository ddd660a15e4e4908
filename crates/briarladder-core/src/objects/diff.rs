//! What replacing one set by another would do.
//!
//! # Example
//!
//! ```
//! use briarladder_core::objects::{
//!     diff::ObjectSetDiff,
//!     parse::{FileName, parse},
//! };
//!
//! let file = FileName::new("set.json");
//! let rank = r#"{"kind": "rank", "name": "bulk", "order": 2,
//!     "guaranteed_percent": 10}"#;
//! let old = parse(&file, rank).unwrap();
//! let change = ObjectSetDiff::between(&old, &[]);
//! assert_eq!(change.objects[0].to_string(), "removed: rank bulk");
//! ```

use derive_more::Display;
use serde::Serialize;

use crate::{
    names::{
        ModelVersionName, PipelineName, PoolName, ServerName, WorkspaceName,
    },
    objects::{Object, ObjectKind, Work, parse::LocatedObject},
    sorted::{SortedMap, SortedSet},
};

/// What replacing one set by another would do.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ObjectSetDiff {
    /// The objects that differ.
    pub objects: Vec<ObjectChange>,
    /// Versions that a stage needs now and none would need, though they
    /// would still be published.
    pub orphaned_versions: Vec<ModelVersionName>,
    /// Backend servers that would load or unload versions.
    pub reloads: Vec<Reload>,
    /// Pipelines whose requests would be refused.
    pub removed_pipelines: Vec<PipelineName>,
    /// Workspaces whose requests would be refused.
    pub removed_workspaces: Vec<WorkspaceName>,
    /// Pipelines that stay, but not for these workspaces.
    pub revoked: Vec<RevokedPipeline>,
}

/// How an object differs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is new.
    #[display("added")]
    Added,
    /// It has other content.
    #[display("changed")]
    Changed,
    /// It is gone.
    #[display("removed")]
    Removed,
}

/// An object that differs.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{action}: {kind} {name}")]
pub struct ObjectChange {
    /// How it differs.
    pub action: ChangeKind,
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object.
    pub name: String,
}

/// A backend server that would load or unload versions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Reload {
    /// The backend server.
    pub server: ServerName,
    /// Its pool in the new set.
    pub pool: PoolName,
    /// The versions it would load.
    pub load: Vec<ModelVersionName>,
    /// The versions it would unload.
    pub unload: Vec<ModelVersionName>,
}

/// A workspace that would lose a pipeline.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("workspace {workspace} pipeline {pipeline}")]
pub struct RevokedPipeline {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The pipeline.
    pub pipeline: PipelineName,
}

impl ObjectSetDiff {
    /// Compares two sets. Both should be free of faults.
    #[must_use]
    pub fn between(
        old: &[LocatedObject],
        new: &[LocatedObject],
    ) -> ObjectSetDiff {
        let (old, new) = (by_name(old), by_name(new));
        let needed_before = needed_versions(&old);
        let needed_after = needed_versions(&new);
        let mut change = ObjectSetDiff {
            objects: object_changes(&old, &new),
            reloads: reloads(&old, &new),
            ..ObjectSetDiff::default()
        };
        for ((kind, name), object) in old.iter() {
            let replacement = new.get(&(*kind, *name));
            match (object, replacement) {
                (Object::Pipeline(pipeline), None) => {
                    change.removed_pipelines.push(pipeline.name.clone());
                }
                (Object::Workspace(workspace), None) => {
                    change.removed_workspaces.push(workspace.name.clone());
                }
                (Object::Workspace(before), Some(Object::Workspace(now))) => {
                    let lost = before.pipelines.iter().filter(|&pipeline| {
                        !now.pipelines.contains(pipeline)
                            && new.contains_key(&(
                                ObjectKind::Pipeline,
                                pipeline.as_str(),
                            ))
                    });
                    change.revoked.extend(lost.map(|pipeline| {
                        RevokedPipeline {
                            workspace: before.name.clone(),
                            pipeline: pipeline.clone(),
                        }
                    }));
                }
                (Object::ModelVersion(version), Some(_))
                    if needed_before.contains(&version.name)
                        && !needed_after.contains(&version.name) =>
                {
                    change.orphaned_versions.push(version.name.clone());
                }
                _ => {}
            }
        }
        change
    }
}

type Named<'a> = SortedMap<(ObjectKind, &'a str), &'a Object>;

fn by_name(objects: &[LocatedObject]) -> Named<'_> {
    objects
        .iter()
        .map(|at| ((at.object.kind(), at.object.name()), &at.object))
        .collect()
}

fn object_changes(old: &Named, new: &Named) -> Vec<ObjectChange> {
    let keys: SortedSet<(ObjectKind, &str)> =
        old.keys().chain(new.keys()).copied().collect();
    let differ = keys.iter().filter_map(|&(kind, name)| {
        let key = (kind, name);
        let action = match (old.get(&key), new.get(&key)) {
            (None, _) => ChangeKind::Added,
            (_, None) => ChangeKind::Removed,
            (Some(before), Some(now)) if before == now => return None,
            _ => ChangeKind::Changed,
        };
        Some(ObjectChange { action, kind, name: name.to_owned() })
    });
    differ.collect()
}

/// Returns the versions that stages generate with, and their bases.
fn needed_versions(objects: &Named) -> SortedSet<ModelVersionName> {
    let mut needed = SortedSet::new();
    for object in objects.values() {
        let Object::Stage(stage) = object else { continue };
        let Work::Generate { model_version, .. } = &stage.work else {
            continue;
        };
        let mut next = Some(model_version);
        // Ends at a version already seen, so a cycle of bases ends too.
        while let Some(name) = next.filter(|name| !needed.contains(*name)) {
            needed.insert(name.clone());
            next = match objects
                .get(&(ObjectKind::ModelVersion, name.as_str()))
            {
                Some(Object::ModelVersion(version)) => version.base.as_ref(),
                _ => None,
            };
        }
    }
    needed
}

/// The pool of a backend server and the versions it has loaded.
struct Loaded<'a> {
    pool: &'a PoolName,
    versions: SortedSet<&'a ModelVersionName>,
}

fn loaded<'a>(objects: &Named<'a>) -> SortedMap<&'a ServerName, Loaded<'a>> {
    let regions = objects.values().filter_map(|object| match object {
        Object::Region(region) => Some(region),
        _ => None,
    });
    regions
        .flat_map(|region| {
            region.zones.iter().flat_map(|zone| &zone.servers).map(|server| {
                let pool = region.pools.iter().find(|p| p.name == server.pool);
                let versions = pool.iter().flat_map(|p| &p.model_versions);
                let versions = versions.collect();
                (&server.name, Loaded { pool: &server.pool, versions })
            })
        })
        .collect()
}

/// Compares servers of both sets; new and removed ones reload nothing.
fn reloads(old: &Named, new: &Named) -> Vec<Reload> {
    let old = loaded(old);
    let minus = |a: &Loaded, b: &Loaded| {
        let only = a.versions.iter().filter(|v| !b.versions.contains(*v));
        only.map(|&version| version.clone()).collect::<Vec<_>>()
    };
    let reload = |(server, now): (&&ServerName, &Loaded)| {
        let before = old.get(*server)?;
        let (load, unload) = (minus(now, before), minus(before, now));
        let (server, pool) = ((*server).clone(), now.pool.clone());
        (!load.is_empty() || !unload.is_empty()).then_some(Reload {
            server,
            pool,
            load,
            unload,
        })
    };
    loaded(new).iter().filter_map(reload).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::objects::parse::{FileName, parse};

    fn base() -> Vec<LocatedObject> {
        let text = include_str!("../../tests/check_base.json");
        parse(&FileName::new("base.json"), text).unwrap()
    }

    /// Guards against an effect that is not shown, and against one shown
    /// for a set that stays the same.
    #[test]
    fn between_shows_effects() {
        let (old, mut new) = (base(), base());
        assert_eq!(
            ObjectSetDiff::between(&old, &new),
            ObjectSetDiff::default()
        );
        new.retain(|at| at.object.name() != "buy");
        let base_version = ModelVersionName::new("fold-1").unwrap();
        for at in &mut new {
            match &mut at.object {
                Object::Stage(stage) => {
                    if let Work::Generate { model_version, .. } =
                        &mut stage.work
                    {
                        *model_version = base_version.clone();
                    }
                }
                Object::Workspace(workspace) => workspace.pipelines.clear(),
                Object::Region(region) if region.name.as_str() == "west" => {
                    region.pools[0].model_versions =
                        vec![base_version.clone()];
                }
                _ => {}
            }
        }
        let change = ObjectSetDiff::between(&old, &new);
        let shown: Vec<String> =
            change.objects.iter().map(ToString::to_string).collect();
        assert_eq!(
            shown,
            [
                "removed: pipeline buy",
                "changed: stage draft",
                "changed: workspace coop",
                "changed: region west"
            ]
        );
        assert_eq!(change.orphaned_versions[0].as_str(), "tune-1");
        assert_eq!(change.orphaned_versions.len(), 1);
        assert_eq!(change.reloads.len(), 1);
        let reload = &change.reloads[0];
        assert_eq!(reload.server.as_str(), "eng-2");
        assert_eq!((reload.load.len(), reload.unload.len()), (0, 1));
        assert_eq!(change.removed_pipelines[0].as_str(), "buy");
        // The removed pipeline is not counted as revoked too.
        assert_eq!(change.revoked.len(), 1);
        assert_eq!(change.revoked[0].pipeline.as_str(), "plan");
        new.retain(|at| at.object.kind() != ObjectKind::Workspace);
        let change = ObjectSetDiff::between(&old, &new);
        assert_eq!(change.removed_workspaces[0].as_str(), "coop");
    }
}
