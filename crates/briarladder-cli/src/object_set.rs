//! Reads and validates an object set (the configuration as JSON files).

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::{Context, Result, ensure};
use briarladder_core::objects::{
    check::{CheckError, check},
    parse::{FileName, LocatedObject, ParseError, parse},
};
use serde::Serialize;

/// An object set that was read from files.
#[derive(Debug, Default)]
pub struct ObjectSet {
    /// The number of files that were read.
    pub files: usize,
    /// The objects of all files that could be parsed.
    pub objects: Vec<LocatedObject>,
    /// The validation errors of the set.
    pub errors: ObjectSetErrors,
}

/// The validation errors of an object set.
#[derive(Debug, Default, Serialize)]
pub struct ObjectSetErrors {
    /// The objects that can't be parsed.
    pub unreadable: Vec<ParseError>,
    /// The inconsistencies within and between objects. Empty while any object
    /// is unreadable, because references to it would be reported as dangling.
    /// The command's output calls all validation errors faults.
    pub faults: Vec<CheckError>,
}

impl ObjectSetErrors {
    /// Returns whether the set has no validation error.
    pub fn is_empty(&self) -> bool {
        self.unreadable.is_empty() && self.faults.is_empty()
    }

    /// Returns one line of text for each error.
    pub fn to_lines(&self) -> Vec<String> {
        let unreadable = self.unreadable.iter().map(ToString::to_string);
        let faults = self.faults.iter().map(ToString::to_string);
        unreadable.chain(faults).collect()
    }
}

impl ObjectSet {
    /// Reads and checks an object set. If `path` is a folder, the set consists
    /// of all `.json` files below it.
    pub fn read(path: &Path) -> Result<ObjectSet> {
        let mut paths = Vec::new();
        if path.is_dir() {
            find_json_files(path, &mut paths)?;
            paths.sort();
            ensure!(
                !paths.is_empty(),
                "{} contains no .json file; pass a folder with object files",
                path.display()
            );
        } else {
            paths.push(path.to_owned());
        }
        let mut set = ObjectSet { files: paths.len(), ..ObjectSet::default() };
        for path in paths {
            let name = path.display().to_string();
            let text = fs::read_to_string(&path).with_context(|| {
                format!("can't read {name}; pass a UTF-8 JSON file")
            })?;
            match parse(&FileName::new(&name), &text) {
                Ok(objects) => set.objects.extend(objects),
                Err(errors) => set.errors.unreadable.extend(errors),
            }
        }
        if set.errors.unreadable.is_empty() {
            set.errors.faults = check(&set.objects);
        }
        Ok(set)
    }
}

/// Appends the paths of all `.json` files in a folder and its subfolders.
fn find_json_files(folder: &Path, paths: &mut Vec<PathBuf>) -> Result<()> {
    let entries = fs::read_dir(folder)
        .with_context(|| format!("can't read {}", folder.display()))?;
    for entry in entries {
        let path = entry?.path();
        if path.is_dir() {
            find_json_files(&path, paths)?;
        } else if path.extension().is_some_and(|e| e == "json") {
            paths.push(path);
        }
    }
    Ok(())
}
