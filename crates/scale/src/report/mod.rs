//! The results of a run in its folder: lines, a description of the machine, fits as JSON and as a Markdown
//! page, and charts.

mod chart;
mod tables;

use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Serialize;
use serde_json::json;

use crate::ScaleError;
use crate::measurement::{Line, load_average};
use crate::plan::PlanRejected;
use crate::sweep::Slope;

/// Names of the metrics for which a chart is drawn.
const CHARTED_METRICS: [&str; 8] = [
    "gateway, core",
    "gateway, memory",
    "real gateway, core",
    "real gateway, memory",
    "gateway, control",
    "all gateways, core",
    "all gateways, memory",
    "in force, 99 of 100",
];

/// The folder for a run's results.
pub struct ResultsFolder {
    folder: PathBuf,
    lines: File,
}

impl ResultsFolder {
    /// Opens the folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// [`PlanRejected::ResultsFolder`] if it cannot be written.
    pub fn open(folder: &Path) -> Result<ResultsFolder, PlanRejected> {
        let opened = std::fs::create_dir_all(folder).and_then(|()| {
            let mut options = File::options();
            options.create(true).append(true).open(folder.join("lines.jsonl"))
        });
        match opened {
            Ok(lines) => Ok(ResultsFolder { folder: folder.into(), lines }),
            Err(error) => Err(PlanRejected::ResultsFolder {
                folder: folder.display().to_string(),
                why: error.to_string(),
            }),
        }
    }

    /// The lines that the folder holds, without the records of disruptions.
    ///
    /// # Errors
    /// The error of reading `lines.jsonl`.
    pub fn saved_lines(&self) -> io::Result<Vec<Line>> {
        let text = std::fs::read_to_string(self.folder.join("lines.jsonl"))?;
        Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
    }

    /// Appends a line or a disruption to `lines.jsonl`.
    ///
    /// # Errors
    /// The error of writing it.
    pub fn line(&mut self, line: &impl Serialize) -> io::Result<()> {
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        self.lines.write_all(&text)
    }

    /// Writes `machine.json`: the machine's cores and memory, its current load, the commit in the current
    /// folder and the run's arguments.
    ///
    /// # Errors
    /// The error of writing it.
    pub fn write_machine(&self, arguments: &[String]) -> io::Result<()> {
        let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let kb = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
        let mb = kb.and_then(|kb| kb.parse::<u64>().ok()).map(|kb| kb >> 10);
        let machine = json!({
            "cores": std::thread::available_parallelism().map_or(0, usize::from),
            "memory_mb": mb,
            "load": load_average(),
            "commit": git(&["rev-parse", "HEAD"]),
            "changed_since": git(&["status", "--porcelain", "--untracked-files=no"])
                .map(|text| !text.is_empty()),
            "arguments": arguments,
        });
        std::fs::write(self.folder.join("machine.json"), format!("{machine:#}\n"))
    }

    /// Writes the fits as JSON and as tables, and charts of some metrics.
    ///
    /// # Errors
    /// [`ScaleError::Io`] for the file that cannot be written.
    pub fn write_slopes(&self, slopes: &[Slope]) -> Result<(), ScaleError> {
        let fits = serde_json::to_string_pretty(slopes).unwrap_or_default() + "\n";
        let write = |name: &str, text: String| {
            let file = self.folder.join(name);
            std::fs::write(&file, text).map_err(ScaleError::io(file.display().to_string()))
        };
        write("fits.json", fits)?;
        write("fits.md", tables::slope_tables(slopes))?;
        for slope in slopes.iter().filter(|slope| CHARTED_METRICS.contains(&slope.metric.as_str())) {
            let name =
                format!("{}-{}.svg", slope.factor.name(), slope.metric.replace(", ", "-").replace(' ', "-"));
            let file = self.folder.join(name);
            let drawn = chart::draw_chart(&file, slope).map_err(|error| io::Error::other(error.to_string()));
            drawn.map_err(ScaleError::io(file.display().to_string()))?;
        }
        Ok(())
    }
}

/// The standard output of a `git` command; `None` if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let output =
        Command::new("git").args(arguments).output().ok().filter(|output| output.status.success())?;
    Some(String::from_utf8_lossy(&output.stdout).trim().to_string())
}
