//! Names of the platform's wire, read from a text file.

use std::sync::LazyLock;

static NAMES: LazyLock<Vec<(&str, &str)>> = LazyLock::new(|| {
    include_str!("../wire/names.txt")
        .lines()
        .filter_map(|line| line.split_once(" = "))
        .collect()
});

const SETTINGS: &str = include_str!("../wire/settings.toml");
const ENTRY: &str = include_str!("../wire/entry.json");
const CONFIG: &str = include_str!("../wire/config.json");

/// Returns the platform's name of a call, header or field.
pub fn name(of: &str) -> &'static str {
    let found = NAMES.iter().find(|(known, _)| *known == of);
    found.expect("the name is in wire/names.txt").1
}

fn fill(template: &str, values: &[(&str, &str)]) -> String {
    values.iter().fold(template.trim_end().to_owned(), |text, (key, value)| {
        text.replace(&format!("@{key}@"), value)
    })
}

pub fn settings(values: &[(&str, &str)]) -> String {
    fill(SETTINGS, values)
}

pub fn entry(values: &[(&str, &str)]) -> String {
    fill(ENTRY, values)
}

pub fn config(values: &[(&str, &str)]) -> String {
    fill(CONFIG, values).replace('\n', "")
}
