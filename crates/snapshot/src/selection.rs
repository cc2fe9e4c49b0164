//! Which of a folder's files is used. No I/O.

use std::cmp::Reverse;

use crate::FolderError;
use crate::format::{FormatError, ParsedFile};

/// Something an operator should know about what was found in the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadNote {
    /// The folder held no state file.
    NoSnapshot,
    /// A file was not used.
    Rejected {
        /// Name of the file.
        file: String,
        /// What is wrong with it.
        reason: FormatError,
    },
    /// The end of the file used is no whole record: it was being written when the process or the machine died.
    TornWrite {
        /// Name of the file.
        file: String,
        /// Bytes after the last whole record.
        bytes: usize,
    },
    /// The file was written under other settings; its reserved tokens are void.
    OtherSettings,
    /// The clocks cannot tell how old the state is.
    UnknownAge,
}

/// A file's name, its generation by that name, and its content.
pub type FoundFile = (String, u64, Result<ParsedFile, FormatError>);

/// What is used of a folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The newest file that is whole.
    pub file: Option<ParsedFile>,
    /// Generation of the next file to write: above all that were found.
    pub next_generation: u64,
    /// What was found and not used, newest file first.
    pub notes: Vec<LoadNote>,
}

/// Selects the newest whole file for the gateway with this seed and digest of settings.
///
/// # Errors
/// [`FolderError::Foreign`] and [`FolderError::Newer`] where any file is another gateway's or a newer program's: the
/// folder must be left alone then.
pub fn select_file(mut files: Vec<FoundFile>, gateway: u64, digest: u64) -> Result<Selection, FolderError> {
    files.sort_by_key(|(_, generation, _)| Reverse(*generation));
    let next_generation = files.first().map_or(1, |(_, generation, _)| generation + 1);
    check_ownership(&files, gateway)?;
    let mut notes = Vec::new();
    for (file, generation, content) in files {
        match content {
            // A file under another generation's name was put there by hand: its place in the history is not known.
            Ok(parsed) if parsed.head.generation != generation => {
                notes.push(LoadNote::Rejected { file, reason: FormatError::NoHeader });
            }
            Ok(parsed) => {
                if parsed.torn_bytes > 0 {
                    notes.push(LoadNote::TornWrite { file, bytes: parsed.torn_bytes });
                }
                if parsed.head.digest != digest {
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
            Ok(parsed) if parsed.head.gateway != gateway => {
                return Err(FolderError::Foreign { found: parsed.head.gateway, ours: gateway });
            }
            Err(FormatError::NewerVersion(version)) => {
                return Err(FolderError::Newer { file: file.clone(), version: *version });
            }
            _ => {}
        }
    }
    Ok(())
}
