//! The `LD_PRELOAD` library that makes system calls fail or transfer fewer bytes. A test that needs it builds
//! it with the system's C compiler.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/faults.c");

/// Faults of system calls. Rates are per thousand calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallFaults {
    /// Seed of the generator that decides which calls fail.
    pub seed: u32,
    /// Rate of calls on TCP sockets that fail with `EINTR`.
    pub interrupted: u32,
    /// Rate of reads that return only 1 to 7 bytes.
    pub short_reads: u32,
    /// Rate of writes that accept only 1 to 7 bytes.
    pub short_writes: u32,
    /// Rate of transient failures of `accept4`; `socket` and `connect` fail at a quarter of it.
    pub transient: u32,
    /// Delay that is added to `fsync` and `fdatasync`, in milliseconds.
    pub sync_delay_ms: u32,
    /// The delay is added to one in this many calls of `fsync` and `fdatasync`; 0 for none.
    pub sync_every: u32,
}

impl CallFaults {
    /// The environment variables that load the library into a process and configure it.
    pub fn environment(&self, shim: &Path) -> [(&'static str, String); 2] {
        let CallFaults { seed, interrupted, short_reads, short_writes, transient, .. } = self;
        let CallFaults { sync_delay_ms, sync_every, .. } = self;
        let faults = format!(
            "seed={seed} eintr={interrupted} short_read={short_reads} short_write={short_writes} \
             transient={transient} sync_ms={sync_delay_ms} sync_every={sync_every}"
        );
        [("LD_PRELOAD", shim.display().to_string()), ("UMBERTRAY_FAULTS", faults)]
    }
}

/// Compiles the library into a folder and returns its path.
///
/// # Errors
/// The source cannot be written, or the compiler is missing or fails.
pub fn build(folder: &Path) -> io::Result<PathBuf> {
    let (source, library) = (folder.join("faults.c"), folder.join("libfaults.so"));
    std::fs::write(&source, SOURCE)?;
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source);
    let status = compiler.arg("-ldl").status()?;
    if status.success() {
        Ok(library)
    } else {
        Err(io::Error::other(format!("cc failed to compile {}: {status}", source.display())))
    }
}
