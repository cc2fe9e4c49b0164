//! Folders of tests: each run has its own, so that the same test may run twice at once.

use std::io;
use std::ops::Deref;
use std::path::{Path, PathBuf};

/// A folder of one run of a test: removed where the test passes, kept and named where it fails.
pub struct TestFolder(PathBuf);

impl TestFolder {
    /// Makes an empty folder below `parent`, whose name ends with this process's id.
    ///
    /// # Errors
    /// Fails when the folder can not be made.
    pub fn create(parent: &str, name: &str) -> io::Result<TestFolder> {
        let folder = Path::new(parent).join(format!("{name}-{}", std::process::id()));
        // A process that had this id before may have left one.
        _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        Ok(TestFolder(folder))
    }
}

impl Deref for TestFolder {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.0
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("kept: {}", self.0.display());
        } else {
            _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
