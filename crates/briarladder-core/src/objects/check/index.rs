//! An index of objects by name, and a summary of each pool.

use crate::{
    objects::{ModelVersion, Object, Role, Stage, parse::LocatedObject},
    sorted::{SortedMap, SortedSet},
};

/// Objects by name. Among objects with equal names, the first one is kept.
pub struct ObjectIndex<'a> {
    pub stages: SortedMap<&'a str, &'a Stage>,
    pub versions: SortedMap<&'a str, &'a ModelVersion>,
    pub pipelines: SortedSet<&'a str>,
    pub ranks: SortedSet<&'a str>,
    pub regions: SortedSet<&'a str>,
    pub pools: SortedMap<&'a str, PoolSummary<'a>>,
}

/// A summary of a pool across all regions.
pub struct PoolSummary<'a> {
    /// The role in the first region that declares the pool.
    pub role: Role,
    /// The first region that declares the pool.
    pub region: &'a str,
    /// The number of backend servers in all regions.
    pub servers: usize,
    /// The model versions declared in regions where the pool has servers.
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
    // The order is reversed because the map keeps the last of equal keys.
    objects.iter().rev().filter_map(|located| entry(&located.object)).collect()
}

fn names<'a>(
    objects: &[&'a LocatedObject],
    name: impl Fn(&'a Object) -> Option<&'a str>,
) -> SortedSet<&'a str> {
    objects.iter().filter_map(|located| name(&located.object)).collect()
}

fn pools<'a>(
    objects: &[&'a LocatedObject],
) -> SortedMap<&'a str, PoolSummary<'a>> {
    let mut pools = SortedMap::new();
    for located in objects {
        let Object::Region(region) = &located.object else { continue };
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
