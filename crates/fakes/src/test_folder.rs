//! Folders for tests. Each run of a test has its own, so that the same test can run several times in
//! parallel.

use std::io;
use std::ops::Deref;
use std::path::{Path, PathBuf};

/// A folder for one run of a test. It is removed if the test passes; if the test panics it is kept, and its
/// path is printed.
pub struct TestFolder(PathBuf);

impl TestFolder {
    /// Creates an empty folder in `parent`, whose name ends with this process's id.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn create(parent: &str, name: &str) -> io::Result<TestFolder> {
        let folder = Path::new(parent).join(format!("{name}-{}", std::process::id()));
        // An earlier process with the same id may have left its folder behind.
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
            eprintln!("test folder kept for inspection: {}", self.0.display());
        } else {
            _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
