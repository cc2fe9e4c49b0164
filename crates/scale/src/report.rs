//! What a run leaves in its folder: lines, the machine, fits as data and as a page, charts.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::process::Command;

use plotters::prelude::*;
use serde::Serialize;
use serde_json::json;

use crate::ScaleError;
use crate::plan::Refused;
use crate::point::{Line, load};
use crate::sweep::Slope;

/// The folder of a run's results.
pub struct Out {
    folder: PathBuf,
    lines: File,
}

impl Out {
    /// Opens the folder and creates it if it is not there.
    ///
    /// # Errors
    /// [`Refused::Out`] if it cannot be written.
    pub fn open(folder: &Path) -> Result<Out, Refused> {
        let opened = std::fs::create_dir_all(folder).and_then(|()| {
            let mut lines = File::options();
            lines.create(true).append(true).open(folder.join("lines.jsonl"))
        });
        match opened {
            Ok(lines) => Ok(Out { folder: folder.into(), lines }),
            Err(error) => Err(Refused::Out { folder: folder.display().to_string(), why: error.to_string() }),
        }
    }

    /// The lines that the folder holds; disruptions, which are no lines, are left out.
    ///
    /// # Errors
    /// The error of reading `lines.jsonl`.
    pub fn kept(&self) -> io::Result<Vec<Line>> {
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

    /// Writes `machine.json`: the machine's cores and memory, its load now, and the commit that is run.
    ///
    /// # Errors
    /// The error of writing it.
    pub fn machine(&self, arguments: &[String]) -> io::Result<()> {
        let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let kb = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
        let mb = kb.and_then(|kb| kb.parse::<u64>().ok()).map(|kb| kb >> 10);
        let machine = json!({
            "cores": std::thread::available_parallelism().map_or(0, usize::from),
            "memory_mb": mb,
            "load": load(),
            "commit": git(&["rev-parse", "HEAD"]),
            "changed_since": git(&["status", "--porcelain", "--untracked-files=no"]).map(|text| !text.is_empty()),
            "arguments": arguments,
        });
        std::fs::write(self.folder.join("machine.json"), format!("{machine:#}\n"))
    }

    /// Writes fits as data and as tables, and a chart of some figures.
    ///
    /// # Errors
    /// [`ScaleError::Io`] with the file that cannot be written.
    pub fn slopes(&self, slopes: &[Slope]) -> Result<(), ScaleError> {
        let fits = serde_json::to_string_pretty(slopes).unwrap_or_default() + "\n";
        let write = |name: &str, text: String| {
            let file = self.folder.join(name);
            std::fs::write(&file, text).map_err(ScaleError::io(file.display().to_string()))
        };
        write("fits.json", fits)?;
        write("fits.md", page(slopes))?;
        for slope in slopes.iter().filter(|slope| DRAWN.contains(&slope.figure.as_str())) {
            let name =
                format!("{}-{}.svg", slope.factor.name(), slope.figure.replace(", ", "-").replace(' ', "-"));
            let file = self.folder.join(name);
            let drawn = draw(&file, slope).map_err(|error| io::Error::other(error.to_string()));
            drawn.map_err(ScaleError::io(file.display().to_string()))?;
        }
        Ok(())
    }
}

/// Names of the figures that get a chart.
const DRAWN: [&str; 8] = [
    "gateway, core",
    "gateway, memory",
    "real gateway, core",
    "real gateway, memory",
    "gateway, control",
    "all gateways, core",
    "all gateways, memory",
    "in force, 99 of 100",
];

/// The output of a `git` command; `None` if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let said = Command::new("git").args(arguments).output().ok().filter(|said| said.status.success())?;
    Some(String::from_utf8_lossy(&said.stdout).trim().to_string())
}

/// Tables of slopes, one for each factor.
pub(crate) fn page(slopes: &[Slope]) -> String {
    let mut page = String::new();
    let mut factor = None;
    for slope in slopes {
        if factor.replace(slope.factor) != Some(slope.factor) {
            let sizes: Vec<String> = slope.sizes.iter().map(|(count, _)| figure(*count)).collect();
            _ = write!(
                page,
                "\n## {}: {}\n\nSlopes are for each {}.\n\n\
                 | figure | unit | intercept | slope | largest residual | held out at | foretold | measured (least to most) | error | |\n\
                 | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
                slope.factor.name(),
                sizes.join(", "),
                slope.factor.unit()
            );
        }
        let held = &slope.held_out;
        let spread = slope.sizes.last().map(|(_, spread)| (figure(spread.least), figure(spread.most)));
        let (least, most) = spread.unwrap_or_default();
        _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} | {} | {} ({least} to {most}) | {:.0}% | {} |",
            slope.figure,
            slope.unit,
            figure(slope.fit.intercept),
            figure(slope.fit.slope),
            figure(slope.fit.residual),
            figure(held.count),
            figure(held.foretold),
            figure(held.measured),
            held.error * 100.0,
            if held.understood() { "" } else { "not understood" },
        );
    }
    page
}

/// Three digits that count.
fn figure(figure: f64) -> String {
    if figure == 0.0 || !figure.is_finite() {
        return format!("{figure}");
    }
    let digits = (2 - figure.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{figure:.digits$}")
}

/// Draws a figure's medians and spreads over the counts, with the fit over all counts and the one without the
/// largest.
fn draw(file: &Path, slope: &Slope) -> Result<(), Box<dyn std::error::Error>> {
    let most_count = slope.sizes.iter().map(|(count, _)| *count).fold(0.0, f64::max) * 1.05;
    let most = slope.sizes.iter().map(|(_, spread)| spread.most).fold(slope.held_out.foretold, f64::max);
    let least = slope.sizes.iter().map(|(_, spread)| spread.least).fold(0.0, f64::min);
    let root = SVGBackend::new(file, (640, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} ({})", slope.figure, slope.unit), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most_count, least..(most * 1.1).max(f64::MIN_POSITIVE))?;
    chart.configure_mesh().light_line_style(WHITE).x_desc(slope.factor.name()).draw()?;
    let line = |fit: crate::fit::Fit| [(0.0, fit.at(0.0)), (most_count, fit.at(most_count))];
    // Over all sizes, and what was fitted without the largest.
    chart.draw_series(LineSeries::new(line(slope.fit), &BLUE))?;
    chart.draw_series(LineSeries::new(line(slope.held_out.fit), BLACK.mix(0.3)))?;
    let bars = slope
        .sizes
        .iter()
        .map(|(count, spread)| PathElement::new(vec![(*count, spread.least), (*count, spread.most)], BLACK));
    chart.draw_series(bars)?;
    chart.draw_series(
        slope.sizes.iter().map(|(count, spread)| Circle::new((*count, spread.median), 3, BLACK.filled())),
    )?;
    root.present()?;
    Ok(())
}
