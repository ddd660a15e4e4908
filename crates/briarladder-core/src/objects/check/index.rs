//! Objects by name, and what is known of each pool over all regions.

use crate::{
    objects::{ModelVersion, Object, Role, Stage, parse::LocatedObject},
    sorted::{SortedMap, SortedSet},
};

/// Objects by name. Of objects with one name, the first stays.
pub struct ObjectIndex<'a> {
    pub stages: SortedMap<&'a str, &'a Stage>,
    pub versions: SortedMap<&'a str, &'a ModelVersion>,
    pub pipelines: SortedSet<&'a str>,
    pub ranks: SortedSet<&'a str>,
    pub regions: SortedSet<&'a str>,
    pub pools: SortedMap<&'a str, PoolSummary<'a>>,
}

/// What is known of a pool over all regions.
pub struct PoolSummary<'a> {
    /// The role in the first region that declares the pool.
    pub role: Role,
    /// That region.
    pub region: &'a str,
    pub servers: usize,
    /// The versions loaded where the pool has servers.
    pub loaded: SortedSet<&'a str>,
}

impl<'a> ObjectIndex<'a> {
    pub fn new(objects: &[&'a LocatedObject]) -> ObjectIndex<'a> {
        ObjectIndex {
            stages: by_name(objects, |object| match object {
                Object::Stage(stage) => Some((stage.name.as_str(), stage)),
                _ => None,
            }),
            versions: by_name(objects, |object| match object {
                Object::ModelVersion(version) => {
                    Some((version.name.as_str(), version))
                }
                _ => None,
            }),
            pipelines: names(objects, |object| match object {
                Object::Pipeline(pipeline) => Some(pipeline.name.as_str()),
                _ => None,
            }),
            ranks: names(objects, |object| match object {
                Object::Rank(rank) => Some(rank.name.as_str()),
                _ => None,
            }),
            regions: names(objects, |object| match object {
                Object::Region(region) => Some(region.name.as_str()),
                _ => None,
            }),
            pools: pools(objects),
        }
    }
}

fn by_name<'a, V>(
    objects: &[&'a LocatedObject],
    entry: impl Fn(&'a Object) -> Option<(&'a str, V)>,
) -> SortedMap<&'a str, V> {
    // Reversed, because the map keeps the last of equal keys.
    objects.iter().rev().filter_map(|at| entry(&at.object)).collect()
}

fn names<'a>(
    objects: &[&'a LocatedObject],
    name: impl Fn(&'a Object) -> Option<&'a str>,
) -> SortedSet<&'a str> {
    objects.iter().filter_map(|at| name(&at.object)).collect()
}

fn pools<'a>(
    objects: &[&'a LocatedObject],
) -> SortedMap<&'a str, PoolSummary<'a>> {
    let mut pools = SortedMap::new();
    for at in objects {
        let Object::Region(region) = &at.object else { continue };
        for pool in &region.pools {
            let facts =
                pools.get_or_insert_with(pool.name.as_str(), || PoolSummary {
                    role: pool.role,
                    region: region.name.as_str(),
                    servers: 0,
                    loaded: SortedSet::new(),
                });
            let servers = region
                .zones
                .iter()
                .flat_map(|zone| &zone.servers)
                .filter(|server| server.pool == pool.name)
                .count();
            facts.servers += servers;
            if servers > 0 {
                for version in &pool.model_versions {
                    facts.loaded.insert(version.as_str());
                }
            }
        }
    }
    pools
}
