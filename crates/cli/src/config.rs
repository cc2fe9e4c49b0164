//! `umbertray config`: what settings say, and the log of their changes.

use std::path::{Path as File, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand, ValueEnum};
use serde_json::json;
use umbertray_config_log::change::{Change, ChangeRejected};
use umbertray_config_log::guard::GUARDS;
use umbertray_config_log::log::{self, CommittedChange, Log, LogError, SEGMENT_BYTES};
use umbertray_config_log::model::Fields;
use umbertray_config_log::{Configuration, Edit, Guard, Kind, Path, SettingsChange, Version};
use umbertray_snapshot::Disk;

use crate::{output, serve};

/// How long a writer waits for another.
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Subcommand)]
pub enum Command {
    /// Prints the settings as understood, or every error with file, line and column.
    Check { file: PathBuf },
    /// Begins a log with the plans, volumes, op types and rules of a script.
    Import {
        file: PathBuf,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        who: Who,
    },
    /// Shows what a change would do and for whom, and does nothing.
    Plan {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Does a change: gateways that follow the log act on it once it is safe on the disk.
    Apply {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        who: Who,
    },
    /// Lists changes: who, when, why and what.
    Log {
        #[command(flatten)]
        log: LogArguments,
        /// Those after this version only.
        #[arg(long, default_value_t = 0)]
        after: u64,
        /// Rebuilds every version from the first and compares all that is kept.
        #[arg(long)]
        verify: bool,
    },
    /// Prints the configuration of a version (the newest) as a script.
    Show {
        #[command(flatten)]
        log: LogArguments,
        /// A version's number, or a moment as 2026-12-01T09:30:00Z.
        #[arg(long)]
        at: Option<String>,
    },
    /// Prints what differs between two versions.
    Diff {
        from: u64,
        to: u64,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Says who last changed a place, such as plan/basic:limit.
    Blame {
        place: Path,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Undoes what a version changed, by a new version.
    Revert {
        version: u64,
        #[arg(long, value_enum)]
        allow: Vec<Word>,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        who: Who,
    },
    /// Prints the newest configuration as a script that `import` and `apply` take.
    Export {
        #[command(flatten)]
        log: LogArguments,
    },
}

#[derive(Args)]
pub struct LogArguments {
    /// The folder of the log of changes.
    #[arg(long)]
    changes: PathBuf,
    /// Prints JSON, a line a thing.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Who {
    #[arg(long)]
    actor: String,
    #[arg(long)]
    reason: String,
    /// The change's own id; sent again under it, a change is done once. Drawn where it is not given.
    #[arg(long)]
    id: Option<String>,
}

#[derive(Args)]
pub struct What {
    /// A script whose plans, volumes, op types and rules are to hold in place of all that does.
    file: Option<PathBuf>,
    /// KIND/NAME:FIELD=VALUE, the value in JSON or a word; null takes a field back to its default.
    #[arg(long)]
    set: Vec<String>,
    /// KIND/NAME=FIELDS, a new entity, its fields as a JSON object.
    #[arg(long)]
    put: Vec<String>,
    /// KIND/NAME
    #[arg(long)]
    remove: Vec<Path>,
    /// The version that the change was made from; the newest where it is not given.
    #[arg(long)]
    base: Option<u64>,
    /// What is to be done although it is guarded.
    #[arg(long, value_enum)]
    allow: Vec<Word>,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Word {
    Reserve,
    Cut,
    Removal,
    Parts,
}

impl Word {
    fn guard(self) -> Guard {
        GUARDS[self as usize].1
    }
}

/// Why a command failed; each kind has an exit status of its own.
enum Failed {
    /// The settings, the change or the words of the command are wrong: 2.
    Wrong(String),
    /// Another change was first: 3.
    Conflict(String),
    /// It needs an explicit word: 4.
    Guarded(String),
    /// The log is damaged: 5.
    Broken(String),
    /// The disk failed; what became of a change is not known: 6.
    Disk(String),
}

impl Failed {
    fn status(&self) -> (u8, &str) {
        match self {
            Failed::Wrong(why) => (2, why),
            Failed::Conflict(why) => (3, why),
            Failed::Guarded(why) => (4, why),
            Failed::Broken(why) => (5, why),
            Failed::Disk(why) => (6, why),
        }
    }
}

impl From<LogError> for Failed {
    fn from(error: LogError) -> Failed {
        match error {
            LogError::Broken { .. } => Failed::Broken(error.to_string()),
            LogError::Disk(_) => Failed::Disk(error.to_string()),
        }
    }
}

impl From<ChangeRejected> for Failed {
    fn from(refused: ChangeRejected) -> Failed {
        let why = refused.to_string();
        match refused {
            ChangeRejected::Conflict(met) => {
                let line = |c: &umbertray_config_log::Conflict| {
                    let (place, version, actor) = (&c.place, c.version, &c.actor);
                    format!(
                        "{place}: yours is {}, {actor} made it {} in version {version}",
                        c.yours, c.theirs
                    )
                };
                Failed::Conflict(format!("{why}\n{}", met.iter().map(line).collect::<Vec<_>>().join("\n")))
            }
            ChangeRejected::Guarded(_) => Failed::Guarded(why),
            ChangeRejected::Disk(_) => Failed::Disk(why),
            _ => Failed::Wrong(why),
        }
    }
}

pub fn run(command: Command) -> ExitCode {
    match done(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            let (status, why) = failed.status();
            eprintln!("umbertray: {why}");
            ExitCode::from(status)
        }
    }
}

fn done(command: Command) -> Result<(), Failed> {
    match command {
        Command::Check { file } => {
            let (document, whole) = serve::document(&file).map_err(Failed::Wrong)?;
            if whole {
                output::print(&document.as_script());
            } else {
                output::print(&document.own_script());
            }
            Ok(())
        }
        Command::Import { file, log, who } => import(&file, &log, who),
        Command::Plan { what, log } => plan(&what, &log),
        Command::Apply { what, log, who } => {
            let mut opened = write(&log.changes)?;
            let edits = edits(&what, &opened)?;
            let base = what.base.unwrap_or(opened.head().number);
            commit(&mut opened, &log, who, base, edits, &what.allow)
        }
        Command::Log { log, after, verify } => list(&log, after, verify),
        Command::Show { log, at } => {
            let number = at.map(|at| moment(&log.changes, &at)).transpose()?;
            show(&log, &version(&log.changes, number)?)
        }
        Command::Export { log } => show(&log, &version(&log.changes, None)?),
        Command::Diff { from, to, log } => {
            let (old, new) = (version(&log.changes, Some(from))?, version(&log.changes, Some(to))?);
            let edits = old.configuration.diff(&new.configuration);
            edits.iter().for_each(|edit| say_edit(&log, edit, &old.configuration, &old));
            Ok(())
        }
        Command::Blame { place, log } => blame(&place, &log),
        Command::Revert { version, allow, log, who } => revert(version, &allow, &log, who),
    }
}

fn write(folder: &File) -> Result<Log, Failed> {
    let disk = Disk::open_waiting(folder, PATIENCE).map_err(|error| {
        Failed::Disk(match error.kind() {
            std::io::ErrorKind::WouldBlock => format!("{}: another writer has it", folder.display()),
            _ => format!("{}: {error}", folder.display()),
        })
    })?;
    Ok(Log::open(Box::new(disk), SEGMENT_BYTES)?)
}

fn newest(folder: &File) -> Result<u64, Failed> {
    let disk = Disk::read_only(folder);
    let first = log::segments(&disk).map_err(LogError::from)?.last().copied();
    let first = first.ok_or_else(|| Failed::Wrong(format!("{}: there is no log", folder.display())))?;
    Ok(log::read_segment(&disk, first)?.reader.synced_version)
}

fn version(folder: &File, number: Option<u64>) -> Result<Version, Failed> {
    let newest = newest(folder)?;
    let number = number.unwrap_or(newest);
    if number == 0 || number > newest {
        return Err(Failed::Wrong(format!("there is no version {number}; they are 1 to {newest}")));
    }
    Ok(log::version(&Disk::read_only(folder), number)?)
}

/// The version of a number, or the last whose author's clock was not past a moment.
fn moment(folder: &File, at: &str) -> Result<u64, Failed> {
    if let Ok(number) = at.parse() {
        return Ok(number);
    }
    let moment = humantime::parse_rfc3339_weak(at)
        .map_err(|error| Failed::Wrong(format!("{at:?} is neither a version nor a moment: {error}")))?;
    let past = log::history(&Disk::read_only(folder), 0)?;
    let before = past.iter().filter(|past| UNIX_EPOCH + past.change.at() <= moment);
    let number = before.map(|past| past.version).max();
    number.ok_or_else(|| Failed::Wrong(format!("there was no version before {at}")))
}

fn import(file: &File, log: &LogArguments, who: Who) -> Result<(), Failed> {
    let wanted = script(file)?;
    let mut opened = write(&log.changes)?;
    if opened.head().number > 0 {
        let why = format!("{}: there is a log already; apply changes it", log.changes.display());
        return Err(Failed::Wrong(why));
    }
    let edits = opened.head().configuration.diff(&wanted);
    commit(&mut opened, log, who, 0, edits, &[])
}

/// The shared settings of a script; one without `gateway(...)`, as `show` prints it, will do.
fn script(file: &File) -> Result<Configuration, Failed> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| Failed::Wrong(format!("{name}: {error}")))?;
    let calls =
        umbertray_config::evaluate(&name, text).map_err(|problem| Failed::Wrong(problem.to_string()))?;
    let document = if calls.iter().any(|call| call.function == "gateway") {
        match serve::document(file).map_err(Failed::Wrong)? {
            (document, true) => document,
            (_, false) => return Err(Failed::Wrong(format!("{name}: relays have its shared settings"))),
        }
    } else {
        let checked = umbertray_config_log::version::document(&calls, &[]);
        checked.map_err(|problems| Failed::Wrong(problems.join("\n")))?
    };
    Ok(Configuration::of_calls(&document.calls()))
}

fn edits(what: &What, log: &Log) -> Result<Vec<Edit>, Failed> {
    let wrong = |text: &str, why: String| Failed::Wrong(format!("{text:?}: {why}"));
    let mut edits = Vec::new();
    if let Some(file) = &what.file {
        let wanted = script(file)?;
        let base = what.base.filter(|base| *base != log.head().number);
        let from = base.map(|base| log::version(log.layer(), base)).transpose()?;
        let from = from.as_ref().unwrap_or(log.head());
        edits.extend(from.configuration.diff(&wanted));
    }
    for text in &what.set {
        edits.push(Edit::set(text).map_err(|error| Failed::Wrong(error.to_string()))?);
    }
    for text in &what.put {
        let (place, fields) = text.split_once('=').ok_or_else(|| wrong(text, "no = in it".into()))?;
        let place: Path = place.parse().map_err(|error| wrong(text, format!("{error}")))?;
        let fields: Fields = serde_json::from_str(fields).map_err(|error| wrong(text, error.to_string()))?;
        edits.push(Edit::Put { key: place.key, fields });
    }
    for place in &what.remove {
        if place.field.is_some() {
            return Err(wrong(
                &place.to_string(),
                "only whole entities are removed; set a field to null".into(),
            ));
        }
        edits.push(Edit::Remove { key: place.key.clone() });
    }
    if edits.is_empty() { Err(Failed::Wrong("nothing would change".into())) } else { Ok(edits) }
}

fn change(who: Who, base: u64, edits: Vec<Edit>, allow: &[Word]) -> Change {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Two commands at one moment are two processes.
    let drawn = || format!("{}-{}", at.as_nanos(), std::process::id());
    Change {
        id: who.id.unwrap_or_else(drawn),
        base,
        actor: who.actor,
        reason: who.reason,
        at: at.as_micros() as u64,
        edits,
        allow: allow.iter().map(|word| word.guard()).collect(),
    }
}

fn commit(
    opened: &mut Log,
    log: &LogArguments,
    who: Who,
    base: u64,
    edits: Vec<Edit>,
    allow: &[Word],
) -> Result<(), Failed> {
    let committed = opened.commit(change(who, base, edits, allow))?;
    output::print_line(&match log.json {
        true => json!({ "version": committed.version, "again": committed.was_committed_before }).to_string(),
        false if committed.was_committed_before => format!("version {}, done before", committed.version),
        false => format!("version {}", committed.version),
    });
    Ok(())
}

fn plan(what: &What, log: &LogArguments) -> Result<(), Failed> {
    let opened = write(&log.changes)?;
    let edits = edits(what, &opened)?;
    let base = what.base.unwrap_or(opened.head().number);
    let who = Who { actor: "nobody".into(), reason: "to see".into(), id: None };
    let head = opened.head();
    edits.iter().for_each(|edit| say_edit(log, edit, &head.configuration, head));
    let (_, steps) = opened.plan(&change(who, base, edits, &what.allow))?;
    let volumes = steps
        .iter()
        .filter(|step| matches!(step, SettingsChange::Volume(_) | SettingsChange::Removed(_)))
        .count();
    if !log.json {
        output::print_line(&format!("{volumes} volumes themselves change, and those of the plans above"));
    }
    Ok(())
}

/// One place, before and after, and how many volumes go by it.
fn say_edit(log: &LogArguments, edit: &Edit, before: &Configuration, version: &Version) {
    let place = edit.path();
    let was = before.field(&place);
    let volumes = (place.key.kind == Kind::Plan).then(|| version.volume_count(&place.key.name));
    output::print_line(&match log.json {
        true => {
            json!({ "place": place.to_string(), "before": was, "after": edit.value(), "volumes": volumes })
                .to_string()
        }
        false => {
            let was = was.map_or("nothing".into(), |was| was.to_string());
            let whom = volumes.map_or(String::new(), |count| format!(" ({count} volumes)"));
            format!("{place}: {was} -> {}{whom}", edit.value())
        }
    });
}

fn show(log: &LogArguments, version: &Version) -> Result<(), Failed> {
    if log.json {
        output::print(&String::from_utf8_lossy(&version.configuration.bytes()));
        return Ok(());
    }
    output::print_line(&format!("# Version {}", version.number));
    version.configuration.calls().iter().for_each(|call| output::print_line(&call.as_script()));
    Ok(())
}

fn say_past(log: &LogArguments, past: &CommittedChange) {
    let (change, version) = (&past.change, past.version);
    let at = humantime::format_rfc3339_micros(UNIX_EPOCH + change.at()).to_string();
    if log.json {
        let hash: String = past.hash.iter().map(|byte| format!("{byte:02x}")).collect();
        output::print_line(
            &json!({ "version": version, "hash": hash, "at": at, "change": change }).to_string(),
        );
        return;
    }
    output::print_line(&format!("{version}  {at}  {}: {}", change.actor, change.reason));
    for edit in change.edits.iter().take(20) {
        output::print_line(&format!("    {} -> {}", edit.path(), edit.value()));
    }
    if change.edits.len() > 20 {
        output::print_line(&format!("    and {} more", change.edits.len() - 20));
    }
}

fn list(log: &LogArguments, after: u64, verify: bool) -> Result<(), Failed> {
    let disk = Disk::read_only(&log.changes);
    newest(&log.changes)?;
    if verify {
        let whole = log::verify(&disk)?;
        output::print_line(&match log.json {
            true => json!({ "verified": whole }).to_string(),
            false => format!("all {whole} versions are rebuilt as they are kept"),
        });
        return Ok(());
    }
    log::history(&disk, after)?.iter().for_each(|past| say_past(log, past));
    Ok(())
}

fn blame(place: &Path, log: &LogArguments) -> Result<(), Failed> {
    newest(&log.changes)?;
    let past = log::history(&Disk::read_only(&log.changes), 0)?;
    let about = |past: &&CommittedChange| past.change.edits.iter().any(|edit| edit.path().meets(place));
    match past.iter().rev().find(about) {
        Some(past) => {
            say_past(log, past);
            Ok(())
        }
        None => Err(Failed::Wrong(format!("no change is about {place}"))),
    }
}

/// The edits that take back what one version changed, as far as nothing changed it since.
fn revert(number: u64, allow: &[Word], log: &LogArguments, who: Who) -> Result<(), Failed> {
    let mut opened = write(&log.changes)?;
    let head = opened.head().number;
    if number < 2 || number > head {
        return Err(Failed::Wrong(format!("version {number} cannot be undone; they are 2 to {head}")));
    }
    let (before, after) = (log::version(opened.layer(), number - 1)?, log::version(opened.layer(), number)?);
    let edits = after.configuration.diff(&before.configuration);
    commit(&mut opened, log, who, number, edits, allow)
}
