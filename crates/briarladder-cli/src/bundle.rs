//! `briarladder bundle`: writes the manifest and chunks of a set.

use std::{
    fs,
    io::ErrorKind,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context, Result, bail};
use briarladder_core::config::{Bundle, Manifest};

use crate::{EXIT_FAULTS, set::Set};

const MANIFEST_FILE: &str = "manifest.json";
const CHUNKS_FOLDER: &str = "chunks";

const EXAMPLES: &str = "\
Examples:
  briarladder bundle samples/dobradura --epoch 1 --out out/

Writes out/manifest.json and out/chunks/DIGEST. Chunks that are there
already are not written again, and chunks of earlier epochs are kept.

Exit codes: 0 written, 1 faults (nothing written), 2 wrong usage, an epoch
that is not above the one in --out, or files that can't be written.";

/// Checks a set and writes its manifest and chunks, ready to be published.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// A file, or a folder whose .json files make up the set.
    path: PathBuf,

    /// The epoch of the set, above that of every set published before.
    #[arg(
        long,
        value_name = "N",
        env = "BRIARLADDER_EPOCH",
        value_parser = clap::value_parser!(u64).range(1..)
    )]
    epoch: u64,

    /// The folder for the manifest and the chunks.
    #[arg(long, value_name = "DIR", env = "BRIARLADDER_OUT")]
    out: PathBuf,
}

pub fn run(args: &Args) -> Result<ExitCode> {
    let set = Set::read(&args.path)?;
    if !set.faults.is_empty() {
        for fault in set.faults.lines() {
            eprintln!("{fault}");
        }
        return Ok(ExitCode::from(EXIT_FAULTS));
    }
    let objects: Vec<_> = set.objects.into_iter().map(|o| o.object).collect();
    let bundle = Bundle::new(args.epoch, &objects)?;
    bundle.manifest.validate()?;
    check_epoch(&args.out, &bundle.manifest)?;
    let (new_chunks, new_bytes) = write(&args.out, &bundle)?;
    println!(
        "epoch {}: {} chunks, {new_chunks} new with {new_bytes} bytes",
        args.epoch,
        bundle.chunks.len()
    );
    Ok(ExitCode::SUCCESS)
}

/// Refuses an epoch that daemons would ignore or reject.
fn check_epoch(out: &Path, manifest: &Manifest) -> Result<()> {
    let path = out.join(MANIFEST_FILE);
    let shown = path.display();
    let text = match fs::read(&path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
        read => read.with_context(|| format!("can't read {shown}"))?,
    };
    let old: Manifest = serde_json::from_slice(&text).with_context(|| {
        format!("{shown} is not a manifest; name another folder in --out")
    })?;
    let (old, new) = (old.id(), manifest.id());
    if old != new && new.epoch <= old.epoch {
        bail!(
            "--epoch {} is not above epoch {} in {shown}; raise it",
            new.epoch,
            old.epoch
        );
    }
    Ok(())
}

/// Writes the chunks first, so that the manifest never lists one that is
/// not there. Returns how many chunks and bytes are new.
fn write(out: &Path, bundle: &Bundle) -> Result<(usize, usize)> {
    let folder = out.join(CHUNKS_FOLDER);
    fs::create_dir_all(&folder)
        .with_context(|| format!("can't create {}", folder.display()))?;
    let (mut new_chunks, mut new_bytes) = (0, 0);
    for chunk in &bundle.chunks {
        let path = folder.join(chunk.digest.to_string());
        // Compared in full: an interrupted run may have left a part.
        if fs::read(&path).is_ok_and(|found| found == chunk.bytes[..]) {
            continue;
        }
        write_file(&path, &chunk.bytes)?;
        new_chunks += 1;
        new_bytes += chunk.bytes.len();
    }
    let manifest = serde_json::to_vec(&bundle.manifest)?;
    write_file(&out.join(MANIFEST_FILE), &manifest)?;
    Ok((new_chunks, new_bytes))
}

/// Writes beside the file and renames, so that no reader sees a part.
fn write_file(path: &Path, bytes: &[u8]) -> Result<()> {
    let part = path.with_extension("part");
    fs::write(&part, bytes)
        .and_then(|()| fs::rename(&part, path))
        .with_context(|| format!("can't write {}", path.display()))
}
