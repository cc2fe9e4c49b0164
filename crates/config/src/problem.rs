//! What is wrong with a script, and where.

use std::fmt;

use serde::Serialize;

/// Something that must be corrected in a script, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The script's name.
    pub file: String,
    /// Line, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// Column, from 1; 0 where the whole file is meant.
    pub column: usize,
    /// What is wrong, for operators.
    pub what: String,
}

impl Problem {
    /// A problem with a script as a whole.
    pub(crate) fn of_file(file: &str, what: String) -> Problem {
        Problem { file: file.into(), line: 0, column: 0, what }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.what),
            line => write!(f, "{}:{line}:{}: {}", self.file, self.column, self.what),
        }
    }
}

impl std::error::Error for Problem {}
