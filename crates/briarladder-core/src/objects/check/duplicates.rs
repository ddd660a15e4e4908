//! Values that must be unique and are not.

use std::net::SocketAddr;

use derive_more::Display;

use super::{CheckErrorKind, Faults, FieldPath, UniqueItem};
use crate::{
    names::{PipelineName, StageName},
    objects::{Fleet, Object, ObjectKind, Pool, Region, parse::LocatedObject},
};

/// Where a value must be unique.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Scope {
    Set,
    /// The object that has it.
    Object,
    /// The pool at this position of the object.
    Pool(usize),
}

/// A value that must be unique. Borrowed and typed, because turning 10,000
/// addresses into text took most of the time of a check.
#[derive(Clone, Copy, Display, Eq, Ord, PartialEq, PartialOrd)]
enum Value<'a> {
    #[display("{_0} {_1}")]
    Object(ObjectKind, &'a str),
    Text(&'a str),
    Number(u8),
    Address(SocketAddr),
}

/// One use of a value that must be unique in its scope.
struct Use<'a> {
    part: UniqueItem,
    scope: Scope,
    value: Value<'a>,
    at: &'a LocatedObject,
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

pub fn check(objects: &[&LocatedObject], faults: &mut Faults) {
    let (mut whole_set, mut own) = (Vec::new(), Vec::new());
    for at in objects {
        collect(at, &mut own);
        let of_set = |one: &mut Use| one.scope == Scope::Set;
        whole_set.extend(own.extract_if(.., of_set));
        report(&mut own, faults);
        own.clear();
    }
    report(&mut whole_set, faults);
    let fleet = |at: &&LocatedObject| at.object.kind() == ObjectKind::Fleet;
    if !objects.iter().any(fleet) {
        faults.add_missing(ObjectKind::Fleet, CheckErrorKind::NoFleet);
    }
}

/// Reports all but the first use of each value.
fn report(uses: &mut [Use], faults: &mut Faults) {
    // Stable, so that the first use by object and file comes first.
    uses.sort_by(|a, b| {
        (a.part, a.scope, a.value).cmp(&(b.part, b.scope, b.value))
    });
    let equal = |a: &Use, b: &Use| {
        (a.part, a.scope, a.value) == (b.part, b.scope, b.value)
    };
    for group in uses.chunk_by(equal) {
        let (first, others) = group.split_first().expect("not empty");
        for other in others {
            let first_file = first.at.file.clone();
            let problem =
                if let Value::Object(ObjectKind::Fleet, _) = other.value {
                    CheckErrorKind::SecondFleet { first_file }
                } else {
                    CheckErrorKind::Duplicate {
                        part: other.part,
                        name: other.value.to_string(),
                        first_file,
                    }
                };
            faults.add(other.at, other.field, problem);
        }
    }
}

fn collect<'a>(at: &'a LocatedObject, uses: &mut Vec<Use<'a>>) {
    uses.push(Use {
        part: UniqueItem::Object,
        scope: Scope::Set,
        value: Value::Object(at.object.kind(), at.object.name()),
        at,
        field: Field::Whole,
    });
    let mut items = |part, list, values: Vec<&'a str>| {
        for (i, value) in values.into_iter().enumerate() {
            let field = Field::Item(list, i);
            let (scope, value) = (Scope::Object, Value::Text(value));
            uses.push(Use { part, scope, value, at, field });
        }
    };
    match &at.object {
        Object::Fleet(fleet) => collect_fleet(at, fleet, uses),
        Object::Pipeline(pipeline) => items(
            UniqueItem::Stage,
            "stages",
            pipeline.stages.iter().map(StageName::as_str).collect(),
        ),
        Object::Workspace(workspace) => {
            items(
                UniqueItem::Pipeline,
                "pipelines",
                workspace.pipelines.iter().map(PipelineName::as_str).collect(),
            );
            items(
                UniqueItem::Caller,
                "callers",
                workspace.callers.iter().map(|c| c.name.as_str()).collect(),
            );
        }
        Object::Rank(rank) => uses.push(Use {
            part: UniqueItem::RankOrder,
            scope: Scope::Set,
            value: Value::Number(rank.order),
            at,
            field: Field::Named("order"),
        }),
        Object::Region(region) => {
            items(
                UniqueItem::Pool,
                "pools",
                region.pools.iter().map(|p| p.name.as_str()).collect(),
            );
            items(
                UniqueItem::Link,
                "links",
                region.links.iter().map(|l| l.to.as_str()).collect(),
            );
            collect_region(at, region, uses);
        }
        Object::Stage(_) | Object::ModelVersion(_) => {}
    }
}

fn collect_fleet<'a>(
    at: &'a LocatedObject,
    fleet: &'a Fleet,
    uses: &mut Vec<Use<'a>>,
) {
    for (i, key) in fleet.ticket_keys.iter().enumerate() {
        uses.push(Use {
            part: UniqueItem::TicketKey,
            scope: Scope::Object,
            value: Value::Number(key.id),
            at,
            field: Field::Item("ticket_keys", i),
        });
    }
}

fn collect_region<'a>(
    at: &'a LocatedObject,
    region: &'a Region,
    uses: &mut Vec<Use<'a>>,
) {
    for (i, pool) in region.pools.iter().enumerate() {
        collect_pool(at, i, pool, uses);
    }
    for (i, zone) in region.zones.iter().enumerate() {
        uses.push(Use {
            part: UniqueItem::Zone,
            scope: Scope::Set,
            value: Value::Text(zone.name.as_str()),
            at,
            field: Field::Item("zones", i),
        });
        for (j, server) in zone.servers.iter().enumerate() {
            uses.push(Use {
                part: UniqueItem::Server,
                scope: Scope::Set,
                value: Value::Text(server.name.as_str()),
                at,
                field: Field::Server(i, j, "name"),
            });
            uses.push(Use {
                part: UniqueItem::Address,
                scope: Scope::Set,
                value: Value::Address(server.address),
                at,
                field: Field::Server(i, j, "address"),
            });
        }
    }
}

fn collect_pool<'a>(
    at: &'a LocatedObject,
    index: usize,
    pool: &'a Pool,
    uses: &mut Vec<Use<'a>>,
) {
    for (j, version) in pool.model_versions.iter().enumerate() {
        uses.push(Use {
            part: UniqueItem::ModelVersion,
            scope: Scope::Pool(index),
            value: Value::Text(version.as_str()),
            at,
            field: Field::PoolVersion(index, j),
        });
    }
}
