//! The effects of replacing one object set with another.
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
//! let diff = ObjectSetDiff::between(&old, &[]);
//! assert_eq!(diff.objects[0].to_string(), "removed: rank bulk");
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

/// The differences between two object sets, and the effects of replacing the
/// old one with the new one.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ObjectSetDiff {
    /// The objects that differ.
    pub objects: Vec<ObjectChange>,
    /// The model versions that remain published although no stage would need
    /// them any longer.
    pub orphaned_versions: Vec<ModelVersionName>,
    /// The backend servers that would load or unload model versions.
    pub reloads: Vec<Reload>,
    /// The pipelines that would be removed, so that their requests are
    /// refused.
    pub removed_pipelines: Vec<PipelineName>,
    /// The workspaces that would be removed, so that their requests are
    /// refused.
    pub removed_workspaces: Vec<WorkspaceName>,
    /// The remaining pipelines that some workspaces could no longer use.
    pub revoked: Vec<RevokedPipeline>,
}

/// How an object differs between two sets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new set contains it.
    #[display("added")]
    Added,
    /// Its content differs.
    #[display("changed")]
    Changed,
    /// Only the old set contains it.
    #[display("removed")]
    Removed,
}

/// An object that differs between two sets.
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

/// A backend server that would load or unload model versions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Reload {
    /// The backend server.
    pub server: ServerName,
    /// Its pool in the new set.
    pub pool: PoolName,
    /// The model versions it would load.
    pub load: Vec<ModelVersionName>,
    /// The model versions it would unload.
    pub unload: Vec<ModelVersionName>,
}

/// A pipeline that a workspace could no longer use.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("workspace {workspace} pipeline {pipeline}")]
pub struct RevokedPipeline {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The pipeline.
    pub pipeline: PipelineName,
}

impl ObjectSetDiff {
    /// Compares two sets, both of which must be valid.
    #[must_use]
    pub fn between(
        old: &[LocatedObject],
        new: &[LocatedObject],
    ) -> ObjectSetDiff {
        let (old, new) = (by_name(old), by_name(new));
        let needed_before = needed_versions(&old);
        let needed_after = needed_versions(&new);
        let mut diff = ObjectSetDiff {
            objects: object_changes(&old, &new),
            reloads: reloads(&old, &new),
            ..ObjectSetDiff::default()
        };
        for ((kind, name), object) in old.iter() {
            let replacement = new.get(&(*kind, *name));
            match (object, replacement) {
                (Object::Pipeline(pipeline), None) => {
                    diff.removed_pipelines.push(pipeline.name.clone());
                }
                (Object::Workspace(workspace), None) => {
                    diff.removed_workspaces.push(workspace.name.clone());
                }
                (
                    Object::Workspace(before),
                    Some(Object::Workspace(after)),
                ) => {
                    let lost = before.pipelines.iter().filter(|&pipeline| {
                        !after.pipelines.contains(pipeline)
                            && new.contains_key(&(
                                ObjectKind::Pipeline,
                                pipeline.as_str(),
                            ))
                    });
                    diff.revoked.extend(lost.map(|pipeline| {
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
                    diff.orphaned_versions.push(version.name.clone());
                }
                _ => {}
            }
        }
        diff
    }
}

/// The objects of a set by kind and name.
type ObjectsByName<'a> = SortedMap<(ObjectKind, &'a str), &'a Object>;

fn by_name(objects: &[LocatedObject]) -> ObjectsByName<'_> {
    objects
        .iter()
        .map(|located| {
            ((located.object.kind(), located.object.name()), &located.object)
        })
        .collect()
}

fn object_changes(
    old: &ObjectsByName,
    new: &ObjectsByName,
) -> Vec<ObjectChange> {
    let keys: SortedSet<(ObjectKind, &str)> =
        old.keys().chain(new.keys()).copied().collect();
    let changes = keys.iter().filter_map(|&(kind, name)| {
        let key = (kind, name);
        let action = match (old.get(&key), new.get(&key)) {
            (None, _) => ChangeKind::Added,
            (_, None) => ChangeKind::Removed,
            (Some(before), Some(after)) if before == after => return None,
            _ => ChangeKind::Changed,
        };
        Some(ObjectChange { action, kind, name: name.to_owned() })
    });
    changes.collect()
}

/// Returns the model versions that stages use, including the bases of
/// adapters.
fn needed_versions(objects: &ObjectsByName) -> SortedSet<ModelVersionName> {
    let mut needed = SortedSet::new();
    for object in objects.values() {
        let Object::Stage(stage) = object else { continue };
        let Work::Generate { model_version, .. } = &stage.work else {
            continue;
        };
        let mut next = Some(model_version);
        // Stopping at a version already seen also terminates on a cycle of
        // bases.
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

/// The pool of a backend server and its declared model versions.
struct ServerVersions<'a> {
    pool: &'a PoolName,
    versions: SortedSet<&'a ModelVersionName>,
}

fn server_versions<'a>(
    objects: &ObjectsByName<'a>,
) -> SortedMap<&'a ServerName, ServerVersions<'a>> {
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
                (&server.name, ServerVersions { pool: &server.pool, versions })
            })
        })
        .collect()
}

/// Returns the reloads of the servers that are in both sets.
fn reloads(old: &ObjectsByName, new: &ObjectsByName) -> Vec<Reload> {
    let old = server_versions(old);
    let difference = |a: &ServerVersions, b: &ServerVersions| {
        let only = a.versions.iter().filter(|v| !b.versions.contains(*v));
        only.map(|&version| version.clone()).collect::<Vec<_>>()
    };
    let reload = |(server, after): (&&ServerName, &ServerVersions)| {
        let before = old.get(*server)?;
        let (load, unload) =
            (difference(after, before), difference(before, after));
        let (server, pool) = ((*server).clone(), after.pool.clone());
        (!load.is_empty() || !unload.is_empty()).then_some(Reload {
            server,
            pool,
            load,
            unload,
        })
    };
    server_versions(new).iter().filter_map(reload).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::objects::parse::{FileName, parse};

    fn base() -> Vec<LocatedObject> {
        let text = include_str!("../../tests/check_base.json");
        parse(&FileName::new("base.json"), text).unwrap()
    }

    /// Guards against effects that are not reported, and against effects that
    /// are reported for an unchanged set.
    #[test]
    fn between_shows_effects() {
        let (old, mut new) = (base(), base());
        assert_eq!(
            ObjectSetDiff::between(&old, &new),
            ObjectSetDiff::default()
        );
        new.retain(|located| located.object.name() != "buy");
        let base_version = ModelVersionName::new("fold-1").unwrap();
        for located in &mut new {
            match &mut located.object {
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
        let diff = ObjectSetDiff::between(&old, &new);
        let shown: Vec<String> =
            diff.objects.iter().map(ToString::to_string).collect();
        assert_eq!(
            shown,
            [
                "removed: pipeline buy",
                "changed: stage draft",
                "changed: workspace coop",
                "changed: region west"
            ]
        );
        assert_eq!(diff.orphaned_versions[0].as_str(), "tune-1");
        assert_eq!(diff.orphaned_versions.len(), 1);
        assert_eq!(diff.reloads.len(), 1);
        let reload = &diff.reloads[0];
        assert_eq!(reload.server.as_str(), "eng-2");
        assert_eq!((reload.load.len(), reload.unload.len()), (0, 1));
        assert_eq!(diff.removed_pipelines[0].as_str(), "buy");
        // The removed pipeline is not counted as revoked too.
        assert_eq!(diff.revoked.len(), 1);
        assert_eq!(diff.revoked[0].pipeline.as_str(), "plan");
        new.retain(|located| located.object.kind() != ObjectKind::Workspace);
        let diff = ObjectSetDiff::between(&old, &new);
        assert_eq!(diff.removed_workspaces[0].as_str(), "coop");
    }
}
