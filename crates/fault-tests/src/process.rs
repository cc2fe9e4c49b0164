//! Child processes of the program under test: started with a script, signalled, and killed when their handle
//! is dropped.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Time within which a process must report its address, or a superseded coordinator must exit.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of the program under test; killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a subcommand with a script that is written into `folder`; script and log are named `name`.
    /// Returns the process and its startup line, a JSON object.
    ///
    /// # Errors
    /// The process cannot be started, or does not print its startup line in time.
    pub async fn start(
        program: &Path,
        folder: &Path,
        (command, name): (&str, &str),
        script: &str,
        arguments: &[&str],
    ) -> io::Result<(Process, serde_json::Value)> {
        Process::start_with_environment(program, folder, (command, name), script, arguments, &[]).await
    }

    /// Same as [`Process::start`], with additional environment variables.
    ///
    /// # Errors
    /// Those of [`Process::start`].
    pub async fn start_with_environment(
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
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other(format!("the standard output of {name} is not piped")))?;
        let mut lines = BufReader::new(output).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await??;
        let startup: serde_json::Value = serde_json::from_str(&line.unwrap_or_default())?;
        Ok((Process { child }, startup))
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.child.id().ok_or(io::ErrorKind::NotFound)?;
        kill(Pid::from_raw(id as i32), signal).map_err(io::Error::from)
    }

    /// Process id; `None` once the process has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills it with SIGKILL, as a crash would end it.
    ///
    /// # Errors
    /// The process cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Sends SIGTERM and waits for the exit. Returns how long that took, and whether the exit status was
    /// success.
    ///
    /// # Errors
    /// The process does not exit within `timeout`.
    pub async fn stop(mut self, timeout: Duration) -> io::Result<(Duration, bool)> {
        let began = std::time::Instant::now();
        self.signal(Signal::SIGTERM)?;
        let status = tokio::time::timeout(timeout, self.child.wait()).await??;
        Ok((began.elapsed(), status.success()))
    }

    /// Same as [`Process::stop`], without consuming the handle. Returns whether the exit status was success.
    pub(crate) async fn stop_in_place(&mut self, timeout: Duration) -> io::Result<bool> {
        self.signal(Signal::SIGTERM)?;
        self.await_exit(timeout).await
    }

    /// Waits for the exit. Returns whether the exit status was success.
    ///
    /// # Errors
    /// The process does not exit within `timeout`.
    pub async fn await_exit(&mut self, timeout: Duration) -> io::Result<bool> {
        Ok(tokio::time::timeout(timeout, self.child.wait()).await??.success())
    }
}

/// A gateway in a separate process.
pub struct Gateway {
    process: Process,
    /// Address that it serves NBD on.
    pub address: SocketAddr,
}

impl Gateway {
    /// Starts `program serve` with a settings script that is written into `folder`.
    ///
    /// # Errors
    /// Those of [`Process::start`].
    pub async fn start(program: &Path, folder: &Path, name: &str, settings: &str) -> io::Result<Gateway> {
        Gateway::start_with_environment(program, folder, name, settings, &[]).await
    }

    /// Same as [`Gateway::start`], with additional environment variables.
    ///
    /// # Errors
    /// Those of [`Process::start`].
    pub async fn start_with_environment(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &str,
        environment: &[(&str, String)],
    ) -> io::Result<Gateway> {
        let (process, startup) =
            Process::start_with_environment(program, folder, ("serve", name), settings, &[], environment)
                .await?;
        let address = startup["nbd"][0].as_str().and_then(|text| text.parse().ok());
        let address = address
            .ok_or_else(|| io::Error::other(format!("{name} did not report the address it listens on")))?;
        Ok(Gateway { process, address })
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.process.signal(signal)
    }

    /// Process id; `None` once the process has ended.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Kills it with SIGKILL, as a crash would end it.
    ///
    /// # Errors
    /// The process cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }

    /// Sends SIGTERM and waits for the exit. Returns how long that took, and whether the exit status was
    /// success.
    ///
    /// # Errors
    /// The process does not exit within `timeout`.
    pub async fn stop(self, timeout: Duration) -> io::Result<(Duration, bool)> {
        self.process.stop(timeout).await
    }

    /// Same as [`Gateway::stop`], without consuming the handle. Returns whether the exit status was success.
    pub(crate) async fn stop_in_place(&mut self, timeout: Duration) -> io::Result<bool> {
        self.process.stop_in_place(timeout).await
    }
}
