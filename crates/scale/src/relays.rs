//! The relays of a run: a few that read the change log's folder, and in each zone some that follow those.

use std::path::Path;
use std::str::FromStr;

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use umbertray_fault_tests::process::Process;

use crate::ScaleError;
use crate::measurement::{Setup, ZONES};
use crate::script;

/// Number of relays that read the change log's folder: two, which is one more than may be faulty, and one
/// more that may be absent.
pub(crate) const FOLDER_READERS: u32 = 3;

/// Fault of the first relay of each zone, injected after a third of the measured time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The relay is killed and not restarted.
    Killed,
    /// The relay is paused with SIGSTOP for the second third of the measured time.
    Stopped,
}

/// A text that is not the name of a fault.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("unknown relay fault {0:?}: use killed or stopped")]
pub struct UnknownFault(String);

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Fault, UnknownFault> {
        match text {
            "killed" => Ok(Fault::Killed),
            "stopped" => Ok(Fault::Stopped),
            other => Err(UnknownFault(other.into())),
        }
    }
}

/// Number of relay processes of a run with `relays_per_zone` relays in each zone.
pub(crate) fn process_count(relays_per_zone: u32) -> u32 {
    if relays_per_zone == 0 { 0 } else { FOLDER_READERS + relays_per_zone * ZONES }
}

/// The running relays. Dropping it ends them.
pub(crate) struct Relays {
    /// All relays: first those that read the folder, then those of each zone.
    processes: Vec<Process>,
    /// Index in `processes` of the first relay of each zone.
    first_of_zone: Vec<usize>,
    /// The value of `changes` in a gateway's script: the relays of all zones.
    pub(crate) upstreams: String,
}

/// Starts one relay; returns its process and address.
async fn start(
    setup: &Setup,
    folder: &Path,
    name: &str,
    script: &str,
) -> Result<(Process, String), ScaleError> {
    let started = Process::start(&setup.program, folder, ("relay", name), script, &[]).await;
    let (process, announcement) = started.map_err(ScaleError::io(name))?;
    let address = announcement["relay"].as_str().map(str::to_string);
    let address = address.ok_or_else(|| std::io::Error::other("the relay did not report its address"));
    Ok((process, address.map_err(ScaleError::io(name))?))
}

/// A list of strings in the syntax of a script.
fn string_list(texts: &[String]) -> String {
    format!("{texts:?}")
}

impl Relays {
    /// Starts the relays that read `changes`, and `relays_per_zone` relays in each zone that follow those.
    pub(crate) async fn start(
        setup: &Setup,
        folder: &Path,
        changes: &Path,
        relays_per_zone: u32,
    ) -> Result<Relays, ScaleError> {
        let (mut processes, mut first_of_zone) = (Vec::new(), Vec::new());
        let (mut folder_readers, mut upstreams) = (Vec::new(), Vec::new());
        let from_folder = format!("{:?}", changes.display().to_string());
        for number in 0..FOLDER_READERS {
            let (zone, name) = (number * ZONES / FOLDER_READERS, format!("top-{number}"));
            let script = script::relay_script(&name, zone, &from_folder, &folder.join(&name));
            let (process, address) = start(setup, folder, &name, &script).await?;
            processes.push(process);
            folder_readers.push(format!("{zone}/{name}={address}"));
        }
        for (zone, number) in
            (0..ZONES).flat_map(|zone| (0..relays_per_zone).map(move |number| (zone, number)))
        {
            let name = format!("relay-{zone}-{number}");
            let script =
                script::relay_script(&name, zone, &string_list(&folder_readers), &folder.join(&name));
            let (process, address) = start(setup, folder, &name, &script).await?;
            if number == 0 {
                first_of_zone.push(processes.len());
            }
            processes.push(process);
            upstreams.push(format!("{zone}/{name}={address}"));
        }
        Ok(Relays { processes, first_of_zone, upstreams: string_list(&upstreams) })
    }

    /// Process ids of all relays.
    pub(crate) fn process_ids(&self) -> impl Iterator<Item = Option<u32>> {
        self.processes.iter().map(Process::id)
    }

    /// Sends a signal to the first relay of each zone.
    fn signal(&self, signal: Signal) -> Result<(), ScaleError> {
        self.first_of_zone.iter().try_for_each(|index| {
            self.processes[*index].signal(signal).map_err(ScaleError::io("a relay cannot be signalled"))
        })
    }

    /// Injects a fault into the first relay of each zone.
    pub(crate) async fn inject_fault(&mut self, fault: Fault) -> Result<(), ScaleError> {
        match fault {
            Fault::Stopped => self.signal(Signal::SIGSTOP),
            Fault::Killed => {
                for index in &self.first_of_zone {
                    let killed = self.processes[*index].kill().await;
                    killed.map_err(ScaleError::io("a relay cannot be killed"))?;
                }
                Ok(())
            }
        }
    }

    /// Resumes relays that are paused. Relays that were killed are not restarted.
    pub(crate) fn end_fault(&mut self, fault: Fault) -> Result<(), ScaleError> {
        match fault {
            Fault::Stopped => self.signal(Signal::SIGCONT),
            Fault::Killed => Ok(()),
        }
    }
}
