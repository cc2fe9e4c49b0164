//! `umbertray state`: what is in a state folder or file, and what would be believed.

use std::path::{Path, PathBuf};

use umbertray_snapshot::decide::{self, FoundFile};
use umbertray_snapshot::folder::{current_stamp, files};
use umbertray_snapshot::format::{self, MAX_FILE_BYTES};
use umbertray_snapshot::{Age, Disk, Storage};

use crate::output;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Prints each file: whose, how old, how much is in it, and whether it is whole. A line of JSON each.
    Show { path: PathBuf },
    /// As show; fails where a file would not be believed, or not wholly.
    Verify { path: PathBuf },
    /// Prints all of what would be believed as JSON.
    Export { path: PathBuf },
}

fn found(path: &Path) -> Result<Vec<FoundFile>, String> {
    let failed = |error: std::io::Error| format!("{}: {error}", path.display());
    if path.is_dir() {
        return files(&Disk::read_only(path)).map_err(failed);
    }
    let (folder, name) = (path.parent().unwrap_or(Path::new(".")), path.file_name().unwrap_or_default());
    let name = name.to_string_lossy().into_owned();
    let read = format::parse_file(&Disk::read_only(folder).read(&name, MAX_FILE_BYTES).map_err(failed)?);
    let generation = read.as_ref().map_or(0, |read| read.head.generation);
    Ok(vec![(name, generation, read)])
}

pub fn run(command: Command) -> Result<(), String> {
    let path = match &command {
        Command::Show { path } | Command::Verify { path } | Command::Export { path } => path,
    };
    let mut found = found(path)?;
    found.sort_by_key(|(_, generation, _)| std::cmp::Reverse(*generation));
    if let Command::Export { .. } = command {
        let newest =
            found.into_iter().find_map(|(_, _, read)| read.ok()).ok_or("nothing in it would be believed")?;
        let text = serde_json::to_string_pretty(&newest.entry).map_err(|error| error.to_string())?;
        output::print_line(&text);
        return Ok(());
    }
    let (now, mut bad) = (current_stamp(), 0);
    for (name, generation, read) in &found {
        let line = match read {
            Ok(read) => {
                bad += usize::from(read.torn_bytes > 0 || read.head.generation != *generation);
                let age = match decide::age(read.entry.at, now) {
                    Age::Known(age) => serde_json::json!(age.as_secs_f64()),
                    Age::Unknown => serde_json::json!("very old"),
                };
                let saved = &read.entry.saved;
                serde_json::json!({
                    "file": name, "gateway": read.head.gateway, "settings": read.head.digest,
                    "generation": read.head.generation, "entries": read.entries, "torn_bytes": read.torn_bytes,
                    "age_s": age, "stores": saved.stores.len(), "volumes": saved.volumes.len(),
                })
            }
            Err(why) => {
                bad += 1;
                serde_json::json!({ "file": name, "not_believed": why.to_string() })
            }
        };
        output::print_line(&line.to_string());
    }
    match (&command, bad) {
        (Command::Verify { .. }, 1..) => Err(format!("{bad} of {} files are not whole", found.len())),
        _ => Ok(()),
    }
}
