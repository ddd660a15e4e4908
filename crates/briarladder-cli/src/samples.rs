//! The sample object sets, built into the command.
//!
//! # Example
//!
//! ```
//! use briarladder_cli::samples::Sample;
//!
//! let objects = Sample::Dobradura.objects().unwrap();
//! assert!(objects.len() > 10);
//! ```

use briarladder_core::objects::{
    Object,
    parse::{FileName, parse},
};
use clap::ValueEnum;

/// A sample object set.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Sample {
    /// Map folding for tour operators, with bookings and print jobs.
    Dobradura,
    /// Hair colour formulas for salons, with stock orders.
    Kandyan,
}

struct File {
    name: &'static str,
    text: &'static str,
}

macro_rules! files {
    ($folder:literal: $($name:literal),+ $(,)?) => {
        &[$(File {
            name: $name,
            text: include_str!(concat!(
                "../../../samples/", $folder, "/", $name
            )),
        }),+]
    };
}

const DOBRADURA: &[File] = files!["dobradura":
    "fleet.json",
    "model-versions.json",
    "pipelines.json",
    "ranks.json",
    "region-campinas.json",
    "region-curitiba.json",
    "region-recife.json",
    "stages.json",
    "workspaces.json",
];

const KANDYAN: &[File] = files!["kandyan":
    "fleet.json",
    "model-versions.json",
    "pipelines.json",
    "ranks.json",
    "region-colombo.json",
    "region-galle.json",
    "region-kandy.json",
    "stages.json",
    "workspaces.json",
];

impl Sample {
    /// Returns the objects of the set.
    ///
    /// # Errors
    ///
    /// Returns an error when a built-in file can't be read, which the tests
    /// rule out.
    pub fn objects(self) -> anyhow::Result<Vec<Object>> {
        let files = match self {
            Sample::Dobradura => DOBRADURA,
            Sample::Kandyan => KANDYAN,
        };
        let mut objects = Vec::new();
        for file in files {
            let loaded = parse(&FileName::new(file.name), file.text)
                .map_err(|faults| anyhow::anyhow!("{}", faults[0]))?;
            objects.extend(loaded.into_iter().map(|l| l.object));
        }
        Ok(objects)
    }
}
