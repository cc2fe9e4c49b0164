//! One `umbertray node` in a process of its own, and its configuration.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::soak::plan::SHARDS;

/// How long a process may take to say where it listens.
const START: Duration = Duration::from_secs(10);

/// Longest deadlines, shorter and longer than what SIGKILL waits for at most.
const DEADLINES: [Duration; 8] = [
    Duration::from_millis(300),
    Duration::from_secs(3),
    Duration::from_millis(600),
    Duration::from_secs(6),
    Duration::from_secs(1),
    Duration::from_secs(30),
    Duration::from_secs(2),
    Duration::from_secs(12),
];
/// The deadline of ops that run once is this at most.
pub const LONGEST_ONCE: Duration = Duration::from_secs(3);
/// The latency objective is this at most, or half of the deadline.
const LONGEST_OBJECTIVE_S: f64 = 0.4;

/// The longest deadline of the configuration of this number.
pub fn deadline(number: u32) -> Duration {
    DEADLINES[number as usize % DEADLINES.len()]
}

/// Whether [`reconfiguration`] of this number can be read.
pub fn is_right(number: u32) -> bool {
    number % 5 < 3
}

/// The configuration of this number: each has other deadlines and idle times.
pub fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, number: u32) -> String {
    let deadline = deadline(number).as_secs_f64();
    let once = deadline.min(LONGEST_ONCE.as_secs_f64());
    let objective = LONGEST_OBJECTIVE_S.min(deadline / 2.0);
    let idle = [20.0, 2.0, 6.0][number as usize % 3];
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"0f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{{"rev":0,"all":true,"targets":[]}},
        "settings":{{"discovery":"automatic","failureDomains":["a"],"groupSize":1,
        "familyInfo":{{"coldUnits":400.0,"maxUnits":6,"meanUnits":2.0,"slotsTotal":{SHARDS},"writes":[false,true]}},
        "limits":{{"connIdleS":{idle:.1},"dialTimeoutS":0.25,"maxAttempts":3,"maxRetryAfterS":1.0}},
        "profiles":[{{"name":"look","promiseS":{objective},"deadlineS":{deadline:.1},"effect":"free","gain":3.0}},
        {{"name":"order","promiseS":{objective},"deadlineS":{once:.1},"effect":"single_shot","gain":3.0}}],
        "contracts":[{{"name":"basic","rate":5000.0,"weight":1.0}}],
        "rules":{{"coldFrom":0.5,"coldS":1.0,"drainGraceS":1.0,"fallS":1.0,"tipMultiple":2.0}},
        "telemetry":{{"fields":["util"],"via":"answers"}},"tickS":0.002}}}}"#
    )
}

/// The same, and some of them wrong: as a writer that was interrupted leaves it, or with settings that cannot be read.
pub fn reconfiguration(name: &str, listen: SocketAddr, discovery: SocketAddr, number: u32) -> String {
    let text = configuration(name, listen, discovery, number);
    match number % 5 {
        3 => text[..text.len() / 2].to_string(),
        4 => text.replace(r#""dialTimeoutS":0.25"#, r#""dialTimeoutS":"soon""#),
        _ => text,
    }
}

/// One running process; dropped, it is killed.
pub struct Process {
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    log: PathBuf,
}

impl Process {
    /// Starts one with the configuration of this number.
    ///
    /// # Errors
    /// It cannot be started, or does not say where it listens in time.
    pub async fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        (listen, discovery): (SocketAddr, SocketAddr),
        number: u32,
        environment: &[(&str, String)],
    ) -> io::Result<Process> {
        let (config, log) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        std::fs::write(&config, configuration(name, listen, discovery, number))?;
        let errors = std::fs::OpenOptions::new().create(true).append(true).open(&log)?;
        let mut child = Command::new(program)
            .args(["--log", "json", "--log-level", "info,umbertray_http_gateway=debug", "node"])
            .env("ROUTER_CONFIG", &config)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut line = String::new();
        tokio::time::timeout(START, BufReader::new(out).read_line(&mut line)).await??;
        let said: serde_json::Value = serde_json::from_str(&line)?;
        let address = said["http"][0].as_str().and_then(|text| text.parse().ok());
        let address =
            address.ok_or_else(|| io::Error::other(format!("{name} did not say where it listens")))?;
        Ok(Process { address, child, config, log })
    }

    /// Writes another configuration; a signal tells of it.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn configure(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config, text)
    }

    /// Sends a signal; nothing where it has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id() {
            _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Waits for its end, for so long; whether it ended well.
    pub async fn ended(&mut self, within: Duration) -> Option<bool> {
        let status = tokio::time::timeout(within, self.child.wait()).await.ok()?;
        Some(status.is_ok_and(|status| status.success()))
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        _ = self.child.kill().await;
    }

    /// It has ended unasked, with this status.
    pub fn crashed(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Lines of its log that tell of a panic or of a rule of order that was not kept.
    pub fn complaints(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let complains = |line: &&str| line.contains("panicked at") || line.contains("owing_response");
        let complaints = text.lines().filter(complains).take(5);
        complaints.map(|line| format!("{}: {line}", self.log.display())).collect()
    }
}
