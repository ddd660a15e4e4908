//! Checks that model versions are used and loaded, and that adapters have a
//! valid base.

use super::{CheckErrorKind, CheckErrors, index::ObjectIndex};
use crate::{
    names::ModelVersionName,
    objects::{
        ModelVersion, Object, Region, Stage, Work, parse::LocatedObject,
    },
    sorted::SortedSet,
};

pub fn check(
    objects: &[&LocatedObject],
    index: &ObjectIndex,
    errors: &mut CheckErrors,
) {
    let used = used_versions(objects);
    for located in objects {
        match &located.object {
            Object::ModelVersion(version) => {
                if !used.contains(version.name.as_str()) {
                    errors.add(located, "", CheckErrorKind::OrphanedVersion);
                }
                check_cycle(located, version, index, errors);
            }
            Object::Stage(stage) => {
                check_loaded(located, stage, index, errors);
            }
            Object::Region(region) => {
                check_bases(located, region, index, errors);
            }
            _ => {}
        }
    }
}

fn used_versions<'a>(objects: &[&'a LocatedObject]) -> SortedSet<&'a str> {
    let mut used = Vec::new();
    for located in objects {
        match &located.object {
            Object::Stage(stage) => {
                if let Work::Generate { model_version, .. } = &stage.work {
                    used.push(model_version.as_str());
                }
            }
            Object::Region(region) => {
                let versions = region.pools.iter().flat_map(|pool| {
                    pool.model_versions.iter().map(ModelVersionName::as_str)
                });
                used.extend(versions);
            }
            Object::ModelVersion(version) => {
                used.extend(version.base.iter().map(ModelVersionName::as_str));
            }
            _ => {}
        }
    }
    used.into_iter().collect()
}

fn check_loaded(
    located: &LocatedObject,
    stage: &Stage,
    index: &ObjectIndex,
    errors: &mut CheckErrors,
) {
    let Work::Generate { model_version, .. } = &stage.work else { return };
    let version = model_version.as_str();
    let Some(pool) = index.pools.get(stage.pool.as_str()) else { return };
    // A pool without servers or with another role is reported elsewhere.
    let applicable = index.versions.contains_key(version)
        && pool.servers > 0
        && pool.role == stage.work.role();
    if applicable && !pool.loaded.contains(version) {
        let problem = CheckErrorKind::VersionNotLoaded {
            version: version.to_owned(),
            pool: stage.pool.as_str().to_owned(),
        };
        errors.add(located, "work.generate.model_version", problem);
    }
}

fn check_bases(
    located: &LocatedObject,
    region: &Region,
    index: &ObjectIndex,
    errors: &mut CheckErrors,
) {
    for (i, pool) in region.pools.iter().enumerate() {
        for (j, name) in pool.model_versions.iter().enumerate() {
            let version = index.versions.get(name.as_str());
            let Some(base) = version.and_then(|v| v.base.as_ref()) else {
                continue;
            };
            let known = index.versions.contains_key(base.as_str());
            if known && !pool.model_versions.contains(base) {
                let problem = CheckErrorKind::BaseNotLoaded {
                    adapter: name.as_str().to_owned(),
                    base: base.as_str().to_owned(),
                };
                let field = format!("pools[{i}].model_versions[{j}]");
                errors.add(located, field, problem);
            }
        }
    }
}

fn check_cycle(
    located: &LocatedObject,
    version: &ModelVersion,
    index: &ObjectIndex,
    errors: &mut CheckErrors,
) {
    let start = version.name.as_str();
    let mut path = vec![start.to_owned()];
    let mut next = version.base.as_ref();
    while let Some(name) = next {
        let name = name.as_str();
        path.push(name.to_owned());
        if name == start {
            let problem = CheckErrorKind::BaseCycle { path };
            errors.add(located, "base", problem);
            return;
        }
        // A cycle is reported once, at the version whose name sorts first.
        // The length limit stops at a cycle that does not contain `start`.
        if name < start || path.len() > index.versions.len() {
            return;
        }
        next = index.versions.get(name).and_then(|v| v.base.as_ref());
    }
}
