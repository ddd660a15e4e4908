//! Table tests of `objects::parse` and `objects::check`.
//!
//! A case of `check` changes the valid set in `check_base.json`; the file
//! beside it lists the faults as they are shown. A case of `load` is a file
//! as operators write it. To write the expected file of a new case, run
//! with `BRIARLADDER_BLESS=1` and review the result.

use std::{error::Error, fmt::Write, fs, path::Path};

use briarladder_core::objects::{
    check::check,
    parse::{FileName, LocatedObject, parse},
    snapshot::Snapshot,
};
use serde::Deserialize;
use serde_json::Value;

type Outcome = datatest_stable::Result<()>;

/// Changes to the valid set.
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
    /// Objects to add, from a second file.
    #[serde(default)]
    add: Vec<Value>,
}

fn title(object: &Value) -> String {
    let text = |field| object[field].as_str().unwrap_or_default();
    format!("{} {}", text("kind"), text("name")).trim_end().to_owned()
}

fn set(target: &mut Value, pointer: &str, value: Value) {
    let (parent, last) = pointer.rsplit_once('/').expect("a JSON pointer");
    let parent = target.pointer_mut(parent).expect("the parent exists");
    match parent {
        Value::Array(items) => match last {
            "-" => items.push(value),
            at => items[at.parse::<usize>().expect("an index")] = value,
        },
        parent => parent[last] = value,
    }
}

fn objects_of(case: Case) -> Vec<LocatedObject> {
    let base = include_str!("check_base.json");
    let mut base: Vec<Value> = serde_json::from_str(base).unwrap();
    for (object, pointer, value) in case.change {
        let target = base.iter_mut().find(|o| title(o) == object);
        set(target.expect("the object exists"), &pointer, value);
    }
    let before = base.len();
    base.retain(|object| !case.remove.contains(&title(object)));
    assert_eq!(before - base.len(), case.remove.len(), "nothing to remove");
    let read = |file, objects| {
        let text = Value::Array(objects).to_string();
        parse(&FileName::new(file), &text).expect("the case loads")
    };
    let mut objects = read("base.json", base);
    objects.extend(read("added.json", case.add));
    objects
}

/// Compares with the file of the same name that ends in `.expected`.
fn compare(path: &Path, shown: &str) -> Outcome {
    let expected = path.with_extension("expected");
    if std::env::var_os("BRIARLADDER_BLESS").is_some() && !expected.exists() {
        fs::write(&expected, shown)?;
    }
    let expected = fs::read_to_string(expected)?;
    if expected == shown {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\nfound:\n{shown}").into())
}

fn lines(items: impl IntoIterator<Item = impl ToString>) -> String {
    items.into_iter().fold(String::new(), |mut text, item| {
        let _ = writeln!(text, "{}", item.to_string());
        text
    })
}

fn check_case(path: &Path) -> Outcome {
    let case = serde_json::from_str(&fs::read_to_string(path)?)?;
    let mut objects = objects_of(case);
    let faults = check(&objects);
    objects.reverse();
    if check(&objects) != faults {
        return Err("the faults depend on the order of the objects".into());
    }
    compare(path, &lines(faults))
}

fn load_case(path: &Path) -> Outcome {
    let name = path.file_name().and_then(|name| name.to_str());
    let file = FileName::new(name.ok_or("a file name")?);
    match parse(&file, &fs::read_to_string(path)?) {
        Ok(objects) => compare(path, &format!("{} objects\n", objects.len())),
        Err(faults) => compare(path, &lines(faults)),
    }
}

/// Guards against a sample set that the command rejects or that does not
/// resolve. Runs once a set, at its fleet object.
fn sample_set(path: &Path) -> Outcome {
    let mut objects = Vec::new();
    for entry in fs::read_dir(path.parent().ok_or("a folder")?)? {
        let path = entry?.path();
        let file = FileName::new(&path.to_string_lossy());
        let loaded = parse(&file, &fs::read_to_string(&path)?);
        objects.extend(loaded.map_err(lines)?);
    }
    let faults = check(&objects);
    if !faults.is_empty() {
        return Err(lines(faults).into());
    }
    let objects: Vec<_> = objects.into_iter().map(|at| at.object).collect();
    Snapshot::resolve(1, &objects).map_err(Box::<dyn Error>::from)?;
    Ok(())
}

datatest_stable::harness! {
    { test = check_case, root = "tests/check", pattern = r"\.json$" },
    { test = load_case, root = "tests/load", pattern = r"\.json$" },
    { test = sample_set, root = "../../samples", pattern = r"fleet\.json$" },
}
