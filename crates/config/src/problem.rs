//! Problems found in a script.

use std::fmt;

use serde::Serialize;

/// A problem in a script that the operator must correct.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Name of the script file.
    pub file: String,
    /// Line, counted from 1; 0 if the problem concerns the file and not one line.
    pub line: usize,
    /// Column, counted from 1; 0 if the problem concerns the file and not one line.
    pub column: usize,
    /// The message for operators.
    #[serde(rename = "what")]
    pub message: String,
}

impl Problem {
    /// A problem that concerns the script file and not one of its lines.
    pub(crate) fn for_file(file: &str, message: String) -> Problem {
        Problem { file: file.into(), line: 0, column: 0, message }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.message),
            line => write!(f, "{}:{line}:{}: {}", self.file, self.column, self.message),
        }
    }
}

impl std::error::Error for Problem {}
