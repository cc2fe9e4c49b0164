//! `umbertray state`: shows what a state folder or file holds, and what a gateway would restore from it.

use std::cmp::Reverse;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use umbertray_snapshot::decide::{self, FoundFile};
use umbertray_snapshot::folder::{current_stamp, files};
use umbertray_snapshot::format::{self, MAX_FILE_BYTES, ParsedFile};
use umbertray_snapshot::{Age, Disk, Stamp, Storage};

use crate::error::CommandError;
use crate::output;

#[derive(clap::Subcommand)]
pub(crate) enum Command {
    /// Prints a line of JSON for each file: its gateway, its age, how much is in it, and whether it is
    /// complete.
    Show { path: PathBuf },
    /// Like show, but fails if any file would not be restored, or not completely.
    Verify { path: PathBuf },
    /// Prints as JSON the state that a gateway would restore.
    Export { path: PathBuf },
}

pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Show { path } => print_files(&find_files(&path)?),
        Command::Verify { path } => {
            let found = find_files(&path)?;
            print_files(&found);
            verify(&found)?;
        }
        Command::Export { path } => export(&path)?,
    }
    Ok(())
}

/// Reads the files of a state folder, newest generation first, or a single file.
fn find_files(path: &Path) -> Result<Vec<FoundFile>, CommandError> {
    if path.is_dir() {
        let mut found = files(&Disk::read_only(path)).map_err(CommandError::io(path.display()))?;
        found.sort_by_key(|(_, generation, _)| Reverse(*generation));
        return Ok(found);
    }
    let folder = path.parent().unwrap_or(Path::new("."));
    let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let bytes = Disk::read_only(folder).read(&name, MAX_FILE_BYTES);
    let parsed = format::parse_file(&bytes.map_err(CommandError::io(path.display()))?);
    let generation = parsed.as_ref().map_or(0, |file| file.header.generation);
    Ok(vec![(name, generation, parsed)])
}

fn print_files(found: &[FoundFile]) {
    let now = current_stamp();
    for (name, _, parsed) in found {
        let row = match parsed {
            Ok(file) => file_row(name, file, now),
            Err(error) => json!({ "file": name, "not_believed": error.to_string() }),
        };
        output::print_json(&row);
    }
}

fn file_row(name: &str, file: &ParsedFile, now: Stamp) -> Value {
    let age = match decide::age(file.snapshot.taken_at, now) {
        Age::Known(age) => json!(age.as_secs_f64()),
        Age::Unknown => json!("very old"),
    };
    let state = &file.snapshot.state;
    json!({
        "file": name, "gateway": file.header.gateway, "settings": file.header.digest,
        "generation": file.header.generation, "entries": file.record_count, "torn_bytes": file.torn_bytes,
        "age_s": age, "stores": state.stores.len(), "volumes": state.volumes.len(),
    })
}

fn verify(found: &[FoundFile]) -> Result<(), CommandError> {
    match found.iter().filter(|file| !is_complete(file)).count() {
        0 => Ok(()),
        broken => Err(CommandError::DamagedState { broken, files: found.len() }),
    }
}

/// Whether the file can be read to its end and has the generation that its name states.
fn is_complete((_, generation, parsed): &FoundFile) -> bool {
    parsed.as_ref().is_ok_and(|file| file.torn_bytes == 0 && file.header.generation == *generation)
}

fn export(path: &Path) -> Result<(), CommandError> {
    let newest = find_files(path)?.into_iter().find_map(|(_, _, parsed)| parsed.ok());
    let newest = newest.ok_or_else(|| CommandError::NoValidState { path: path.display().to_string() })?;
    output::print_line(&serde_json::to_string_pretty(&newest.snapshot)?);
    Ok(())
}
