//! An `umbertray node` in a separate process, and its configuration.

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

/// Time within which a process must report the address that it listens on.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest deadlines of the configurations, some shorter and some longer than the 3 s that SIGKILL waits for
/// at most.
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
/// Longest deadline of ops that may run at most once.
pub const MAX_ONCE_DEADLINE: Duration = Duration::from_secs(3);
/// Longest latency objective in seconds; half of the deadline if that is shorter.
const MAX_OBJECTIVE_SECONDS: f64 = 0.4;

/// The longest deadline in the configuration with this number.
pub fn longest_deadline(number: u32) -> Duration {
    DEADLINES[number as usize % DEADLINES.len()]
}

/// Whether the [`reconfiguration`] with this number is valid.
pub fn is_valid(number: u32) -> bool {
    number % 5 < 3
}

/// The configuration with this number. Configurations differ in deadlines, in the idle timeout, and in
/// whether endpoint lists are pushed or polled.
pub fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, number: u32) -> String {
    let deadline = longest_deadline(number).as_secs_f64();
    let once = deadline.min(MAX_ONCE_DEADLINE.as_secs_f64());
    let objective = MAX_OBJECTIVE_SECONDS.min(deadline / 2.0);
    let idle = [20.0, 2.0, 6.0][number as usize % 3];
    let delivery = ["automatic", "subscribe"][number as usize % 2];
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"0f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{{"rev":0,"all":true,"targets":[]}},
        "settings":{{"discovery":"{delivery}","failureDomains":["a"],"groupSize":1,
        "familyInfo":{{"coldUnits":400.0,"maxUnits":6,"meanUnits":2.0,"slotsTotal":{SHARDS},
        "writes":[false,true]}},
        "limits":{{"connIdleS":{idle:.1},"dialTimeoutS":0.25,"maxAttempts":3,"maxRetryAfterS":1.0}},
        "profiles":[
        {{"name":"look","promiseS":{objective},"deadlineS":{deadline:.1},"effect":"free","gain":3.0}},
        {{"name":"order","promiseS":{objective},"deadlineS":{once:.1},"effect":"single_shot","gain":3.0}}],
        "contracts":[{{"name":"basic","rate":5000.0,"weight":1.0}}],
        "rules":{{"askWithinS":10.0,
        "coldFrom":0.5,"coldS":1.0,"drainGraceS":1.0,"fallS":1.0,"tipMultiple":2.0}},
        "telemetry":{{"fields":["util"],"via":"answers"}},"tickS":0.002}}}}"#
    )
}

/// Same as [`configuration`], but invalid for some numbers: truncated, as an interrupted writer leaves it, or
/// with a setting of the wrong type.
pub fn reconfiguration(name: &str, listen: SocketAddr, discovery: SocketAddr, number: u32) -> String {
    let text = configuration(name, listen, discovery, number);
    match number % 5 {
        3 => text[..text.len() / 2].to_string(),
        4 => text.replace(r#""dialTimeoutS":0.25"#, r#""dialTimeoutS":"soon""#),
        _ => text,
    }
}

/// A running process; killed when dropped.
pub struct Process {
    /// Address that it listens on.
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    log: PathBuf,
}

impl Process {
    /// Starts a process with the configuration of this number.
    ///
    /// # Errors
    /// The process cannot be started, or does not report its address in time.
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
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other(format!("the standard output of {name} is not piped")))?;
        let mut line = String::new();
        tokio::time::timeout(START_TIMEOUT, BufReader::new(output).read_line(&mut line)).await??;
        let startup: serde_json::Value = serde_json::from_str(&line)?;
        let address = startup["http"][0].as_str().and_then(|text| text.parse().ok());
        let address = address
            .ok_or_else(|| io::Error::other(format!("{name} did not report the address it listens on")))?;
        Ok(Process { address, child, config, log })
    }

    /// Replaces the configuration file. The process reads it at the next SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn configure(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config, text)
    }

    /// Sends a signal. Does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id() {
            _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Waits for the exit. Returns whether the exit status was success, or `None` after the timeout.
    pub async fn await_exit(&mut self, timeout: Duration) -> Option<bool> {
        let status = tokio::time::timeout(timeout, self.child.wait()).await.ok()?;
        Some(status.is_ok_and(|status| status.success()))
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub async fn kill(&mut self) {
        _ = self.child.kill().await;
    }

    /// Exit status of a process that has exited unexpectedly.
    pub fn unexpected_exit(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// The first few log lines that report a panic, or that a connection was closed or the process exited
    /// while a response was pending.
    pub fn error_lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let is_error = |line: &&str| line.contains("panicked at") || line.contains("owing_response");
        let error_lines = text.lines().filter(is_error).take(5);
        error_lines.map(|line| format!("{}: {line}", self.log.display())).collect()
    }
}
