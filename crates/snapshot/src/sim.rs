//! A disk that crashes: at a chosen step, with unsynced bytes lost, torn or kept and unsynced names undone, as drawn.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::layer::Storage;

#[derive(Clone, Debug, Default)]
struct File {
    /// On the disk for sure.
    synced: Vec<u8>,
    /// Written; on the disk perhaps, wholly or in part.
    written: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageFault {
    /// The machine stops at this step.
    Crash,
    /// The step fails, as on a full or read-only disk; for a sync, what was to be synced is dropped.
    Fail,
}

#[derive(Debug, Default)]
struct State {
    /// Files by number, and names as seen and as they are on the disk for sure.
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    /// Names changed since the last sync of the folder, in order: each may or may not be on the disk.
    unsynced: Vec<(String, Option<usize>)>,
    step: u64,
    trouble: BTreeMap<u64, StorageFault>,
    crashed: bool,
    /// What each file had in the page cache when the machine stopped.
    at_crash: Vec<Vec<u8>>,
}

/// Cloning shares the disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Steps so far: each write, append, sync, rename and removal is one.
    pub fn steps(&self) -> u64 {
        self.state().step
    }

    pub fn trouble(&self, step: u64, trouble: StorageFault) {
        self.state().trouble.insert(step, trouble);
    }

    pub fn crashed(&self) -> bool {
        self.state().crashed
    }

    /// What any process could read at the crash, synced or not.
    pub fn seen(&self) -> SimulatedDisk {
        let state = self.state();
        let files = state.files.iter().enumerate().map(|(n, file)| {
            let written = state.at_crash.get(n).unwrap_or(&file.written).clone();
            File { synced: written.clone(), written }
        });
        let seen = State { files: files.collect(), names: state.names.clone(), ..State::default() };
        SimulatedDisk { state: Arc::new(Mutex::new(seen)) }
    }

    /// The disk as it is found after a crash, what was not synced drawn by the seed.
    pub fn after_crash(&self, seed: u64) -> SimulatedDisk {
        let state = self.state();
        let draw = |what: (&str, usize)| {
            let mut hasher = DefaultHasher::new();
            (seed, what).hash(&mut hasher);
            hasher.finish()
        };
        let mut names = state.synced_names.clone();
        // Changes of names may reach the disk in any order and part, but those of one name in their order.
        for (i, (name, file)) in state.unsynced.iter().enumerate() {
            if draw(("name", i)) % 2 == 0 {
                match file {
                    Some(file) => _ = names.insert(name.clone(), *file),
                    None => _ = names.remove(name),
                }
            }
        }
        let files = state.files.iter().enumerate().map(|(i, file)| {
            let mut bytes = file.synced.clone();
            let tail = file.written.get(file.synced.len()..).unwrap_or_default();
            let kept = draw(("kept", i)) as usize % (tail.len() + 1);
            bytes.extend_from_slice(&tail[..kept]);
            // Space may have been given without its bytes, or one sector of it have other bytes.
            match draw(("how", i)) % 3 {
                0 => bytes.resize(file.synced.len() + tail.len(), 0),
                1 if kept > 0 => {
                    let at = file.synced.len() + draw(("flip", i)) as usize % kept;
                    bytes[at] ^= 1 << (draw(("bit", i)) % 8);
                }
                _ => {}
            }
            File { synced: bytes.clone(), written: bytes }
        });
        let found = State { files: files.collect(), synced_names: names.clone(), names, ..State::default() };
        SimulatedDisk { state: Arc::new(Mutex::new(found)) }
    }

    fn step(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        if state.crashed {
            return Err(io::Error::other("the machine has stopped"));
        }
        state.step += 1;
        let step = state.step;
        match state.trouble.get(&step) {
            Some(StorageFault::Crash) => {
                state.crashed = true;
                state.at_crash = state.files.iter().map(|file| file.written.clone()).collect();
                Err(io::Error::other("the machine stops"))
            }
            Some(StorageFault::Fail) => Err(io::ErrorKind::StorageFull.into()),
            None => Ok(state),
        }
    }
}

impl State {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let file = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[file])
    }

    fn name(&mut self, name: &str, file: Option<usize>) {
        match file {
            Some(file) => _ = self.names.insert(name.into(), file),
            None => _ = self.names.remove(name),
        }
        self.unsynced.push((name.into(), file));
    }
}

impl Storage for SimulatedDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        let bytes = &state.file(name)?.written;
        Ok(bytes[..bytes.len().min(most)].to_vec())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.step()?;
        state.files.push(File { synced: Vec::new(), written: bytes.into() });
        let file = state.files.len() - 1;
        state.name(name, Some(file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?.file(name)?.written.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        match self.step() {
            Ok(mut state) => {
                let file = state.file(name)?;
                file.synced = file.written.clone();
                Ok(())
            }
            Err(error) => {
                // As real ones do: what could not be written is dropped, and a later sync would say that all is well.
                if let Ok(file) = self.state().file(name) {
                    file.written = file.synced.clone();
                }
                Err(error)
            }
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.step()?;
        let file = *state.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        state.name(to, Some(file));
        state.name(from, None);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?.name(name, None);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.step()?;
        state.synced_names = state.names.clone();
        state.unsynced.clear();
        Ok(())
    }
}
