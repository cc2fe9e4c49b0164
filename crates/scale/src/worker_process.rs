//! Handles of worker processes: commands and replies over their standard input and output, and termination by
//! process id.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

use crate::ScaleError;
use crate::worker::{Observations, REPLY_TIMEOUT, Reply, WorkerCommand};

/// Time that a worker process has to exit by itself before it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// One worker process, with pipes to its standard input and output.
///
/// Dropping it kills the process by its id. If the process that holds this handle is killed itself, the
/// worker's standard input ends, and the worker exits.
pub struct WorkerProcess {
    /// Role of the process: the name of its log, and part of error messages.
    role: String,
    /// File that receives its standard error.
    log: PathBuf,
    /// The child process.
    child: Child,
    /// Its standard input; `None` once it has been closed, which makes the process exit.
    stdin: Option<ChildStdin>,
    /// Its standard output, read by lines.
    stdout: Lines<BufReader<ChildStdout>>,
}

impl WorkerProcess {
    /// Starts `program arguments` with its log in `folder`.
    ///
    /// # Errors
    /// [`ScaleError::Io`] if the log cannot be created or the program cannot be started.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        folder: &Path,
        role: &str,
    ) -> Result<WorkerProcess, ScaleError> {
        let log = folder.join(format!("{role}.log"));
        let file = std::fs::File::create(&log).map_err(ScaleError::io(log.display().to_string()))?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn();
        let mut child = child.map_err(ScaleError::io(format!("{}, as {role}", program.display())))?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let no_stdout = || std::io::Error::other("the process has no standard output");
        let stdout = stdout.ok_or_else(no_stdout).map_err(ScaleError::io(role))?;
        Ok(WorkerProcess { role: role.into(), log, child, stdin, stdout: BufReader::new(stdout).lines() })
    }

    /// The process id; `None` once the process has been reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), ScaleError> {
        let id = self.id().ok_or_else(|| self.error("the process has ended"))?;
        kill(Pid::from_raw(id as i32), signal).map_err(|error| self.error(error.to_string()))
    }

    /// Kills the process with `SIGKILL`, as a crash would end it.
    pub(crate) async fn kill(&mut self) -> Result<(), ScaleError> {
        let killed = self.child.kill().await;
        killed.map_err(|error| self.error(error.to_string()))
    }

    /// An error with this worker's role and log.
    fn error(&self, why: impl Into<String>) -> ScaleError {
        ScaleError::Worker { role: self.role.clone(), why: why.into(), log: self.log.clone() }
    }

    /// Sends a command; [`WorkerProcess::receive`] receives its reply.
    pub(crate) async fn send(&mut self, command: &WorkerCommand) -> Result<(), ScaleError> {
        let mut line = serde_json::to_vec(command).map_err(|error| self.error(error.to_string()))?;
        line.push(b'\n');
        let Some(stdin) = &mut self.stdin else {
            return Err(self.error("its standard input is already closed"));
        };
        let sent = stdin.write_all(&line).await;
        sent.map_err(|error| self.error(format!("the command could not be sent: {error}")))
    }

    /// Receives the reply to the oldest command that has no reply yet.
    pub(crate) async fn receive(&mut self) -> Result<Reply, ScaleError> {
        let line = tokio::time::timeout(REPLY_TIMEOUT, self.stdout.next_line()).await;
        let line = line.map_err(|_| self.error(format!("no reply within {} s", REPLY_TIMEOUT.as_secs())))?;
        let line = line.map_err(|error| self.error(error.to_string()))?;
        let line = line.ok_or_else(|| self.error("the process ended without a reply"))?;
        match serde_json::from_str(&line).map_err(|error| self.error(format!("invalid reply: {error}")))? {
            Reply::Failed(why) => Err(self.error(why)),
            reply => Ok(reply),
        }
    }

    /// Sends a command and receives its reply.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if the process has ended, replies with an error or with an invalid reply, or
    /// does not reply in time.
    pub async fn request(&mut self, command: &WorkerCommand) -> Result<Reply, ScaleError> {
        self.send(command).await?;
        self.receive().await
    }

    /// Requests the worker's observations.
    pub(crate) async fn observe(&mut self) -> Result<Observations, ScaleError> {
        match self.request(&WorkerCommand::Observe).await? {
            Reply::Observed(observations) => Ok(observations),
            other => Err(self.error(format!("unexpected reply to a request for observations: {other:?}"))),
        }
    }

    /// Closes the worker's standard input and waits for the worker to exit. Kills it if it does not exit in
    /// time.
    pub async fn shut_down(mut self) {
        self.stdin = None;
        if tokio::time::timeout(EXIT_TIMEOUT, self.child.wait()).await.is_err() {
            _ = self.child.kill().await;
        }
    }
}
