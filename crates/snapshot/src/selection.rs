//! Selects the file of a folder to load. Free of I/O.

use std::cmp::Reverse;

use crate::FolderError;
use crate::format::{FormatError, ParsedFile};

/// A finding in the folder that an operator should know about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadNote {
    /// The folder held no state file.
    NoSnapshot,
    /// A file was not used.
    Rejected {
        /// Name of the file.
        file: String,
        /// Why it was not used.
        reason: FormatError,
    },
    /// The loaded file ends with an incomplete record: it was being written when the process or the machine
    /// died.
    TornWrite {
        /// Name of the file.
        file: String,
        /// Bytes after the last complete record.
        bytes: usize,
    },
    /// The file was written under different settings. Its reserved tokens are void.
    OtherSettings,
    /// The age of the state cannot be determined from the clocks.
    UnknownAge,
}

/// A file's name, its generation by that name, and its content.
pub type FoundFile = (String, u64, Result<ParsedFile, FormatError>);

/// The result of the selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The newest usable file.
    pub file: Option<ParsedFile>,
    /// Generation of the next file to write. It is higher than those of all files found.
    pub next_generation: u64,
    /// What was found but not used, newest file first.
    pub notes: Vec<LoadNote>,
}

/// Selects the newest usable file for the gateway with this seed and settings digest.
///
/// # Errors
/// [`FolderError::Foreign`] if any file belongs to another gateway, [`FolderError::Newer`] if any file was
/// written by a newer program. The folder must be left unchanged then.
pub fn select_file(mut files: Vec<FoundFile>, gateway: u64, digest: u64) -> Result<Selection, FolderError> {
    files.sort_by_key(|(_, generation, _)| Reverse(*generation));
    let next_generation = files.first().map_or(1, |(_, generation, _)| generation + 1);
    check_ownership(&files, gateway)?;
    let mut notes = Vec::new();
    for (file, generation, content) in files {
        match content {
            // A file under the name of another generation was put there by hand. Its position in the history
            // is unknown.
            Ok(parsed) if parsed.header.generation != generation => {
                notes.push(LoadNote::Rejected { file, reason: FormatError::NoHeader });
            }
            Ok(parsed) => {
                if parsed.torn_bytes > 0 {
                    notes.push(LoadNote::TornWrite { file, bytes: parsed.torn_bytes });
                }
                if parsed.header.digest != digest {
                    notes.push(LoadNote::OtherSettings);
                }
                return Ok(Selection { file: Some(parsed), next_generation, notes });
            }
            Err(reason) => notes.push(LoadNote::Rejected { file, reason }),
        }
    }
    if notes.is_empty() {
        notes.push(LoadNote::NoSnapshot);
    }
    Ok(Selection { file: None, next_generation, notes })
}

fn check_ownership(files: &[FoundFile], gateway: u64) -> Result<(), FolderError> {
    for (file, _, content) in files {
        match content {
            Ok(parsed) if parsed.header.gateway != gateway => {
                return Err(FolderError::Foreign { found: parsed.header.gateway, expected: gateway });
            }
            Err(FormatError::NewerVersion(version)) => {
                return Err(FolderError::Newer { file: file.clone(), version: *version });
            }
            _ => {}
        }
    }
    Ok(())
}
