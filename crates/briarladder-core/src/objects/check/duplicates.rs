//! Checks that values are unique where they must be.

use std::net::SocketAddr;

use derive_more::Display;

use super::{CheckErrorKind, CheckErrors, FieldPath, UniqueItem};
use crate::{
    names::{PipelineName, StageName},
    objects::{Fleet, Object, ObjectKind, Pool, Region, parse::LocatedObject},
};

/// The scope in which a value must be unique.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Scope {
    /// The whole set.
    Set,
    /// The object that contains the value.
    Object,
    /// The pool at this index of the object.
    Pool(usize),
}

/// A value that must be unique. It is borrowed and typed, because formatting
/// 10,000 addresses as text took most of the time of a check.
#[derive(Clone, Copy, Display, Eq, Ord, PartialEq, PartialOrd)]
enum Value<'a> {
    #[display("{_0} {_1}")]
    Object(ObjectKind, &'a str),
    Text(&'a str),
    Number(u8),
    Address(SocketAddr),
}

/// One occurrence of a value that must be unique in its scope.
struct Occurrence<'a> {
    part: UniqueItem,
    scope: Scope,
    value: Value<'a>,
    located: &'a LocatedObject,
    field: Field,
}

/// The path of a field, formatted as text only for duplicate values.
#[derive(Clone, Copy)]
enum Field {
    /// The object as a whole.
    Whole,
    Named(&'static str),
    /// A list and the index in it.
    Item(&'static str, usize),
    /// The indices of a pool and of a model version in it.
    PoolVersion(usize, usize),
    /// The indices of a zone and of a server in it, and the server's field.
    Server(usize, usize, &'static str),
}

impl From<Field> for FieldPath {
    fn from(field: Field) -> FieldPath {
        match field {
            Field::Whole => "".into(),
            Field::Named(name) => name.into(),
            Field::Item(list, index) => format!("{list}[{index}]").into(),
            Field::PoolVersion(pool, index) => {
                format!("pools[{pool}].model_versions[{index}]").into()
            }
            Field::Server(zone, index, name) => {
                format!("zones[{zone}].servers[{index}].{name}").into()
            }
        }
    }
}

pub fn check(objects: &[&LocatedObject], errors: &mut CheckErrors) {
    let (mut in_set, mut in_object) = (Vec::new(), Vec::new());
    for located in objects {
        collect(located, &mut in_object);
        let scoped_to_set = |found: &mut Occurrence| found.scope == Scope::Set;
        in_set.extend(in_object.extract_if(.., scoped_to_set));
        report_duplicates(&mut in_object, errors);
        in_object.clear();
    }
    report_duplicates(&mut in_set, errors);
    let fleet =
        |located: &&LocatedObject| located.object.kind() == ObjectKind::Fleet;
    if !objects.iter().any(fleet) {
        errors.add_missing(ObjectKind::Fleet, CheckErrorKind::NoFleet);
    }
}

/// Reports all occurrences of each value except the first.
fn report_duplicates(
    occurrences: &mut [Occurrence],
    errors: &mut CheckErrors,
) {
    // The sort is stable, so the original of each value comes first.
    occurrences.sort_by(|a, b| {
        (a.part, a.scope, a.value).cmp(&(b.part, b.scope, b.value))
    });
    let equal = |a: &Occurrence, b: &Occurrence| {
        (a.part, a.scope, a.value) == (b.part, b.scope, b.value)
    };
    for group in occurrences.chunk_by(equal) {
        let (first, others) = group.split_first().expect("not empty");
        for other in others {
            let first_file = first.located.file.clone();
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
            errors.add(other.located, other.field, problem);
        }
    }
}

fn collect<'a>(
    located: &'a LocatedObject,
    occurrences: &mut Vec<Occurrence<'a>>,
) {
    occurrences.push(Occurrence {
        part: UniqueItem::Object,
        scope: Scope::Set,
        value: Value::Object(located.object.kind(), located.object.name()),
        located,
        field: Field::Whole,
    });
    let mut add_items = |part, list, values: Vec<&'a str>| {
        for (i, value) in values.into_iter().enumerate() {
            let field = Field::Item(list, i);
            let (scope, value) = (Scope::Object, Value::Text(value));
            occurrences.push(Occurrence {
                part,
                scope,
                value,
                located,
                field,
            });
        }
    };
    match &located.object {
        Object::Fleet(fleet) => collect_fleet(located, fleet, occurrences),
        Object::Pipeline(pipeline) => add_items(
            UniqueItem::Stage,
            "stages",
            pipeline.stages.iter().map(StageName::as_str).collect(),
        ),
        Object::Workspace(workspace) => {
            add_items(
                UniqueItem::Pipeline,
                "pipelines",
                workspace.pipelines.iter().map(PipelineName::as_str).collect(),
            );
            add_items(
                UniqueItem::Caller,
                "callers",
                workspace.callers.iter().map(|c| c.name.as_str()).collect(),
            );
        }
        Object::Rank(rank) => occurrences.push(Occurrence {
            part: UniqueItem::RankOrder,
            scope: Scope::Set,
            value: Value::Number(rank.order),
            located,
            field: Field::Named("order"),
        }),
        Object::Region(region) => {
            add_items(
                UniqueItem::Pool,
                "pools",
                region.pools.iter().map(|p| p.name.as_str()).collect(),
            );
            add_items(
                UniqueItem::Link,
                "links",
                region.links.iter().map(|l| l.to.as_str()).collect(),
            );
            collect_region(located, region, occurrences);
        }
        Object::Stage(_) | Object::ModelVersion(_) => {}
    }
}

fn collect_fleet<'a>(
    located: &'a LocatedObject,
    fleet: &'a Fleet,
    occurrences: &mut Vec<Occurrence<'a>>,
) {
    for (i, key) in fleet.ticket_keys.iter().enumerate() {
        occurrences.push(Occurrence {
            part: UniqueItem::TicketKey,
            scope: Scope::Object,
            value: Value::Number(key.id),
            located,
            field: Field::Item("ticket_keys", i),
        });
    }
}

fn collect_region<'a>(
    located: &'a LocatedObject,
    region: &'a Region,
    occurrences: &mut Vec<Occurrence<'a>>,
) {
    for (i, pool) in region.pools.iter().enumerate() {
        collect_pool(located, i, pool, occurrences);
    }
    for (i, zone) in region.zones.iter().enumerate() {
        occurrences.push(Occurrence {
            part: UniqueItem::Zone,
            scope: Scope::Set,
            value: Value::Text(zone.name.as_str()),
            located,
            field: Field::Item("zones", i),
        });
        for (j, server) in zone.servers.iter().enumerate() {
            occurrences.push(Occurrence {
                part: UniqueItem::Server,
                scope: Scope::Set,
                value: Value::Text(server.name.as_str()),
                located,
                field: Field::Server(i, j, "name"),
            });
            occurrences.push(Occurrence {
                part: UniqueItem::Address,
                scope: Scope::Set,
                value: Value::Address(server.address),
                located,
                field: Field::Server(i, j, "address"),
            });
        }
    }
}

fn collect_pool<'a>(
    located: &'a LocatedObject,
    index: usize,
    pool: &'a Pool,
    occurrences: &mut Vec<Occurrence<'a>>,
) {
    for (j, version) in pool.model_versions.iter().enumerate() {
        occurrences.push(Occurrence {
            part: UniqueItem::ModelVersion,
            scope: Scope::Pool(index),
            value: Value::Text(version.as_str()),
            located,
            field: Field::PoolVersion(index, j),
        });
    }
}
