//! Reads a set of objects from a file or a folder.

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

/// A set as it was read.
#[derive(Debug, Default)]
pub struct Set {
    pub files: usize,
    pub objects: Vec<LocatedObject>,
    pub faults: SetFaults,
}

/// The faults of a set. References are only checked once every file can be
/// read: an unreadable object would look like a missing one.
#[derive(Debug, Default, Serialize)]
pub struct SetFaults {
    pub unreadable: Vec<ParseError>,
    pub faults: Vec<CheckError>,
}

impl SetFaults {
    pub fn is_empty(&self) -> bool {
        self.unreadable.is_empty() && self.faults.is_empty()
    }

    /// Returns one line for each fault.
    pub fn lines(&self) -> Vec<String> {
        let unreadable = self.unreadable.iter().map(ToString::to_string);
        let faults = self.faults.iter().map(ToString::to_string);
        unreadable.chain(faults).collect()
    }
}

impl Set {
    /// Reads and checks the file `path`, or all `.json` files below it.
    pub fn read(path: &Path) -> Result<Set> {
        let mut paths = Vec::new();
        if path.is_dir() {
            find(path, &mut paths)?;
            paths.sort();
            ensure!(
                !paths.is_empty(),
                "{} has no .json file; name a folder with objects",
                path.display()
            );
        } else {
            paths.push(path.to_owned());
        }
        let mut set = Set { files: paths.len(), ..Set::default() };
        for path in paths {
            let shown = path.display().to_string();
            let text = fs::read_to_string(&path).with_context(|| {
                format!("can't read {shown}; name a file of JSON text")
            })?;
            match parse(&FileName::new(&shown), &text) {
                Ok(objects) => set.objects.extend(objects),
                Err(faults) => set.faults.unreadable.extend(faults),
            }
        }
        if set.faults.unreadable.is_empty() {
            set.faults.faults = check(&set.objects);
        }
        Ok(set)
    }
}

fn find(folder: &Path, found: &mut Vec<PathBuf>) -> Result<()> {
    let entries = fs::read_dir(folder)
        .with_context(|| format!("can't read {}", folder.display()))?;
    for entry in entries {
        let path = entry?.path();
        if path.is_dir() {
            find(&path, found)?;
        } else if path.extension().is_some_and(|e| e == "json") {
            found.push(path);
        }
    }
    Ok(())
}
