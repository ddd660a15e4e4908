//! Table tests of `objects::parse` and `objects::check`.
//!
//! A case of `check` changes the valid set in `check_base.json`. A case of
//! `parse` is a file as operators write it. The `.expected` file next to each
//! case lists the errors as operators see them. To create the expected file
//! of a new case, run with `BRIARLADDER_BLESS=1` and review the result.

use std::{error::Error, fmt::Write, fs, path::Path};

use briarladder_core::objects::{
    check::check,
    parse::{FileName, LocatedObject, parse},
    snapshot::Snapshot,
};
use serde::Deserialize;
use serde_json::Value;

type Outcome = datatest_stable::Result<()>;

/// A case of `check`: changes to the valid set.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// The failure that the case guards against.
    #[serde(rename = "guards")]
    _guards: String,
    /// Objects to remove, as `kind name`.
    #[serde(default)]
    remove: Vec<String>,
    /// Values to set: object, JSON pointer, value.
    #[serde(default)]
    change: Vec<(String, String, Value)>,
    /// Objects to add, as if from a second file.
    #[serde(default)]
    add: Vec<Value>,
}

fn kind_and_name(object: &Value) -> String {
    let text = |field| object[field].as_str().unwrap_or_default();
    format!("{} {}", text("kind"), text("name")).trim_end().to_owned()
}

/// Sets the value at a JSON pointer. The index `-` appends to an array.
fn set(target: &mut Value, pointer: &str, value: Value) {
    let (parent, last) = pointer.rsplit_once('/').expect("a JSON pointer");
    let parent = target.pointer_mut(parent).expect("the parent exists");
    match parent {
        Value::Array(items) => match last {
            "-" => items.push(value),
            index => items[index.parse::<usize>().expect("an index")] = value,
        },
        parent => parent[last] = value,
    }
}

fn build_set(case: Case) -> Vec<LocatedObject> {
    let base = include_str!("check_base.json");
    let mut base: Vec<Value> = serde_json::from_str(base).unwrap();
    for (object, pointer, value) in case.change {
        let target = base.iter_mut().find(|o| kind_and_name(o) == object);
        set(target.expect("the object exists"), &pointer, value);
    }
    let before = base.len();
    base.retain(|object| !case.remove.contains(&kind_and_name(object)));
    assert_eq!(before - base.len(), case.remove.len(), "nothing to remove");
    let parse_values = |file, objects| {
        let text = Value::Array(objects).to_string();
        parse(&FileName::new(file), &text).expect("the objects are valid")
    };
    let mut objects = parse_values("base.json", base);
    objects.extend(parse_values("added.json", case.add));
    objects
}

/// Compares a result with the `.expected` file of the case.
fn compare(path: &Path, actual: &str) -> Outcome {
    let expected = path.with_extension("expected");
    if std::env::var_os("BRIARLADDER_BLESS").is_some() && !expected.exists() {
        fs::write(&expected, actual)?;
    }
    let expected = fs::read_to_string(expected)?;
    if expected == actual {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\nfound:\n{actual}").into())
}

fn lines(items: impl IntoIterator<Item = impl ToString>) -> String {
    items.into_iter().fold(String::new(), |mut text, item| {
        let _ = writeln!(text, "{}", item.to_string());
        text
    })
}

fn check_case(path: &Path) -> Outcome {
    let case = serde_json::from_str(&fs::read_to_string(path)?)?;
    let mut objects = build_set(case);
    let errors = check(&objects);
    objects.reverse();
    if check(&objects) != errors {
        return Err("the errors depend on the order of the objects".into());
    }
    compare(path, &lines(errors))
}

fn parse_case(path: &Path) -> Outcome {
    let name = path.file_name().and_then(|name| name.to_str());
    let file = FileName::new(name.ok_or("a file name")?);
    match parse(&file, &fs::read_to_string(path)?) {
        Ok(objects) => compare(path, &format!("{} objects\n", objects.len())),
        Err(errors) => compare(path, &lines(errors)),
    }
}

/// Guards against a sample set that the operators' command rejects or that
/// can't be resolved. Runs once for each set, for the file of its fleet object.
fn sample_set(path: &Path) -> Outcome {
    let mut objects = Vec::new();
    for entry in fs::read_dir(path.parent().ok_or("a folder")?)? {
        let path = entry?.path();
        let file = FileName::new(&path.to_string_lossy());
        let parsed = parse(&file, &fs::read_to_string(&path)?);
        objects.extend(parsed.map_err(lines)?);
    }
    let errors = check(&objects);
    if !errors.is_empty() {
        return Err(lines(errors).into());
    }
    let objects: Vec<_> =
        objects.into_iter().map(|located| located.object).collect();
    Snapshot::resolve(1, &objects).map_err(Box::<dyn Error>::from)?;
    Ok(())
}

datatest_stable::harness! {
    { test = check_case, root = "tests/check", pattern = r"\.json$" },
    { test = parse_case, root = "tests/parse", pattern = r"\.json$" },
    { test = sample_set, root = "../../samples", pattern = r"fleet\.json$" },
}
