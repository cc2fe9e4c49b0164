//! Processes of the program: started on a script, signalled, and ended with their handle.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// How long a process may take to say where it listens.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One process of the program; ended when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a sub-command, under a name of its own, on a script written into `folder`; what it says first.
    ///
    /// # Errors
    /// It cannot be started, or does not say where it listens in time.
    pub async fn start(
        program: &Path,
        folder: &Path,
        (command, name): (&str, &str),
        script: &str,
        arguments: &[&str],
    ) -> io::Result<(Process, serde_json::Value)> {
        Process::start_in(program, folder, (command, name), script, arguments, &[]).await
    }

    /// The same with environment variables of its own.
    ///
    /// # Errors
    /// Those of [`Process::start`].
    pub async fn start_in(
        program: &Path,
        folder: &Path,
        (command, name): (&str, &str),
        script: &str,
        arguments: &[&str],
        environment: &[(&str, String)],
    ) -> io::Result<(Process, serde_json::Value)> {
        let file = folder.join(format!("{name}.star"));
        tokio::task::block_in_place(|| std::fs::write(&file, script))?;
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let mut child = Command::new(program)
            .args(["--log", "json", command, "--config"])
            .arg(&file)
            .args(arguments)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut lines = BufReader::new(out).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await??;
        let said: serde_json::Value = serde_json::from_str(&line.unwrap_or_default())?;
        Ok((Process { child }, said))
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// It has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.child.id().ok_or(io::ErrorKind::NotFound)?;
        kill(Pid::from_raw(id as i32), signal).map_err(io::Error::from)
    }

    /// The process's id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Ends it as a crash would.
    ///
    /// # Errors
    /// The system's.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Asks it to stop, and says how long that took and whether it ended well.
    ///
    /// # Errors
    /// It does not end in time.
    pub async fn stop(mut self, patience: Duration) -> io::Result<(Duration, bool)> {
        let began = std::time::Instant::now();
        self.signal(Signal::SIGTERM)?;
        let status = tokio::time::timeout(patience, self.child.wait()).await??;
        Ok((began.elapsed(), status.success()))
    }

    /// The same for one that its owner keeps; whether it ended well.
    pub(crate) async fn stop_in_place(&mut self, timeout: Duration) -> io::Result<bool> {
        self.signal(Signal::SIGTERM)?;
        self.ended(timeout).await
    }

    /// Waits for its end; whether it ended well.
    ///
    /// # Errors
    /// It does not end in time.
    pub async fn ended(&mut self, patience: Duration) -> io::Result<bool> {
        Ok(tokio::time::timeout(patience, self.child.wait()).await??.success())
    }
}

/// One gateway in a process of its own.
pub struct Gateway {
    process: Process,
    /// Where it serves NBD.
    pub address: SocketAddr,
}

impl Gateway {
    /// Starts `program serve` on a settings file written into `folder`.
    ///
    /// # Errors
    /// Those of [`Process::start`].
    pub async fn start(program: &Path, folder: &Path, name: &str, settings: &str) -> io::Result<Gateway> {
        Gateway::start_in(program, folder, name, settings, &[]).await
    }

    /// The same with environment variables of its own.
    ///
    /// # Errors
    /// Those of [`Process::start`].
    pub async fn start_in(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &str,
        environment: &[(&str, String)],
    ) -> io::Result<Gateway> {
        let (process, said) =
            Process::start_in(program, folder, ("serve", name), settings, &[], environment).await?;
        let address = said["nbd"][0].as_str().and_then(|text| text.parse().ok());
        let address =
            address.ok_or_else(|| io::Error::other(format!("{name} did not say where it listens")))?;
        Ok(Gateway { process, address })
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// It has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.process.signal(signal)
    }

    /// The process's id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Ends it as a crash would.
    ///
    /// # Errors
    /// The system's.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }

    /// Asks it to stop, and says how long that took and whether it ended well.
    ///
    /// # Errors
    /// It does not end in time.
    pub async fn stop(self, patience: Duration) -> io::Result<(Duration, bool)> {
        self.process.stop(patience).await
    }

    /// The same for one that its owner keeps; whether it ended well.
    pub(crate) async fn stop_in_place(&mut self, timeout: Duration) -> io::Result<bool> {
        self.process.stop_in_place(timeout).await
    }
}
