//! The sample object sets, which are embedded in the command. An object set is
//! the configuration of a deployment as JSON files.
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
    /// Folding maps for tour operators, with bookings and print jobs.
    Dobradura,
    /// Hair colour formulas for salons, with stock orders.
    Kandyan,
}

/// An embedded file of a sample.
struct SampleFile {
    name: &'static str,
    text: &'static str,
}

macro_rules! sample_files {
    ($folder:literal: $($name:literal),+ $(,)?) => {
        &[$(SampleFile {
            name: $name,
            text: include_str!(concat!(
                "../../../samples/", $folder, "/", $name
            )),
        }),+]
    };
}

const DOBRADURA: &[SampleFile] = sample_files!["dobradura":
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

const KANDYAN: &[SampleFile] = sample_files!["kandyan":
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
    /// Returns an error when an embedded file can't be parsed. The tests parse
    /// all of them.
    pub fn objects(self) -> anyhow::Result<Vec<Object>> {
        let files = match self {
            Sample::Dobradura => DOBRADURA,
            Sample::Kandyan => KANDYAN,
        };
        let mut objects = Vec::new();
        for file in files {
            let located = parse(&FileName::new(file.name), file.text)
                .map_err(|errors| anyhow::anyhow!("{}", errors[0]))?;
            objects.extend(located.into_iter().map(|l| l.object));
        }
        Ok(objects)
    }
}
