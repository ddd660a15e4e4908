//! Values that must be unique and are not.

use std::borrow::Cow;

use super::{Faults, FieldPath, Part, Problem};
use crate::{
    names::{PipelineName, StageName},
    objects::{Fleet, Kind, Object, Pool, Region, load::Located},
};

/// Where a value must be unique.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Scope {
    Set,
    /// The object at this position.
    Object(usize),
    /// The pool at this position of the object.
    Pool(usize, usize),
}

/// One use of a value that must be unique in its scope.
struct Use<'a> {
    part: Part,
    scope: Scope,
    value: Cow<'a, str>,
    at: &'a Located,
    field: Field,
}

/// A field, written as text only for the few uses that clash.
#[derive(Clone, Copy)]
enum Field {
    Whole,
    Named(&'static str),
    Item(&'static str, usize),
    PoolVersion(usize, usize),
    Server(usize, usize, &'static str),
}

impl From<Field> for FieldPath {
    fn from(field: Field) -> FieldPath {
        match field {
            Field::Whole => "".into(),
            Field::Named(name) => name.into(),
            Field::Item(list, at) => format!("{list}[{at}]").into(),
            Field::PoolVersion(pool, at) => {
                format!("pools[{pool}].model_versions[{at}]").into()
            }
            Field::Server(zone, at, name) => {
                format!("zones[{zone}].servers[{at}].{name}").into()
            }
        }
    }
}

pub fn check(objects: &[&Located], faults: &mut Faults) {
    let mut uses = Vec::new();
    for (position, at) in objects.iter().enumerate() {
        collect(position, at, &mut uses);
    }
    // Stable, so that the first use by file comes first.
    uses.sort_by(|a, b| {
        (a.part, a.scope, &a.value).cmp(&(b.part, b.scope, &b.value))
    });
    let equal = |a: &Use, b: &Use| {
        (a.part, a.scope, &a.value) == (b.part, b.scope, &b.value)
    };
    for group in uses.chunk_by(equal) {
        let (first, others) = group.split_first().expect("not empty");
        for other in others {
            let first_file = first.at.file.clone();
            let problem = if other.at.object.kind() == Kind::Fleet
                && other.part == Part::Object
            {
                Problem::SecondFleet { first_file }
            } else {
                Problem::Duplicate {
                    part: other.part,
                    name: other.value.to_string(),
                    first_file,
                }
            };
            faults.add(other.at, other.field, problem);
        }
    }
    let fleet = |at: &&Located| at.object.kind() == Kind::Fleet;
    if !objects.iter().any(fleet) {
        faults.add_missing(Kind::Fleet, Problem::NoFleet);
    }
}

fn collect<'a>(position: usize, at: &'a Located, uses: &mut Vec<Use<'a>>) {
    uses.push(Use {
        part: Part::Object,
        scope: Scope::Set,
        value: format!("{} {}", at.object.kind(), at.object.name()).into(),
        at,
        field: Field::Whole,
    });
    let mut items = |part, list, values: Vec<&'a str>| {
        for (i, value) in values.into_iter().enumerate() {
            let field = Field::Item(list, i);
            let (scope, value) = (Scope::Object(position), value.into());
            uses.push(Use { part, scope, value, at, field });
        }
    };
    match &at.object {
        Object::Fleet(fleet) => collect_fleet(position, at, fleet, uses),
        Object::Pipeline(pipeline) => items(
            Part::Stage,
            "stages",
            pipeline.stages.iter().map(StageName::as_str).collect(),
        ),
        Object::Workspace(workspace) => {
            items(
                Part::Pipeline,
                "pipelines",
                workspace.pipelines.iter().map(PipelineName::as_str).collect(),
            );
            items(
                Part::Caller,
                "callers",
                workspace.callers.iter().map(|c| c.name.as_str()).collect(),
            );
        }
        Object::Rank(rank) => uses.push(Use {
            part: Part::RankOrder,
            scope: Scope::Set,
            value: rank.order.to_string().into(),
            at,
            field: Field::Named("order"),
        }),
        Object::Region(region) => {
            items(
                Part::Pool,
                "pools",
                region.pools.iter().map(|p| p.name.as_str()).collect(),
            );
            items(
                Part::Link,
                "links",
                region.links.iter().map(|l| l.to.as_str()).collect(),
            );
            collect_region(position, at, region, uses);
        }
        Object::Stage(_) | Object::ModelVersion(_) => {}
    }
}

fn collect_fleet<'a>(
    position: usize,
    at: &'a Located,
    fleet: &'a Fleet,
    uses: &mut Vec<Use<'a>>,
) {
    for (i, key) in fleet.ticket_keys.iter().enumerate() {
        uses.push(Use {
            part: Part::TicketKey,
            scope: Scope::Object(position),
            value: key.id.to_string().into(),
            at,
            field: Field::Item("ticket_keys", i),
        });
    }
}

fn collect_region<'a>(
    position: usize,
    at: &'a Located,
    region: &'a Region,
    uses: &mut Vec<Use<'a>>,
) {
    for (i, pool) in region.pools.iter().enumerate() {
        collect_pool(position, at, i, pool, uses);
    }
    for (i, zone) in region.zones.iter().enumerate() {
        uses.push(Use {
            part: Part::Zone,
            scope: Scope::Set,
            value: zone.name.as_str().into(),
            at,
            field: Field::Item("zones", i),
        });
        for (j, server) in zone.servers.iter().enumerate() {
            uses.push(Use {
                part: Part::Server,
                scope: Scope::Set,
                value: server.name.as_str().into(),
                at,
                field: Field::Server(i, j, "name"),
            });
            uses.push(Use {
                part: Part::Address,
                scope: Scope::Set,
                value: server.address.to_string().into(),
                at,
                field: Field::Server(i, j, "address"),
            });
        }
    }
}

fn collect_pool<'a>(
    position: usize,
    at: &'a Located,
    index: usize,
    pool: &'a Pool,
    uses: &mut Vec<Use<'a>>,
) {
    for (j, version) in pool.model_versions.iter().enumerate() {
        uses.push(Use {
            part: Part::ModelVersion,
            scope: Scope::Pool(position, index),
            value: version.as_str().into(),
            at,
            field: Field::PoolVersion(index, j),
        });
    }
}
