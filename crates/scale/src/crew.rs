//! Workers as processes: each is told and asked over its standard input and output, and ended by its id.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

use crate::ScaleError;
use crate::worker::{Look, Order, PATIENCE, Reply};

/// Time that a worker process has to exit by itself before it is killed.
const LAST: Duration = Duration::from_secs(5);

/// One worker process, with pipes to its standard input and output.
///
/// Dropping it kills the process by its id. Should the holder's process itself be killed, the worker's
/// standard input ends, and the worker exits.
pub struct Worker {
    /// What the process is for; names its log and appears in errors.
    role: String,
    /// File that receives its standard error.
    log: PathBuf,
    /// The process.
    child: Child,
    /// Its standard input; `None` once the process has been asked to exit.
    to: Option<ChildStdin>,
    /// Its standard output, by lines.
    from: Lines<BufReader<ChildStdout>>,
}

impl Worker {
    /// Starts `program arguments` with its log in `folder`.
    ///
    /// # Errors
    /// [`ScaleError::Io`] if the log cannot be created or the program cannot be started.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        folder: &Path,
        role: &str,
    ) -> Result<Worker, ScaleError> {
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
        let (to, from) = (child.stdin.take(), child.stdout.take());
        let none = || std::io::Error::other("no standard output");
        let from = from.ok_or_else(none).map_err(ScaleError::io(role))?;
        Ok(Worker { role: role.into(), log, child, to, from: BufReader::new(from).lines() })
    }

    /// The process id; `None` once it has been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), ScaleError> {
        let id = self.id().ok_or_else(|| self.failed("it has ended"))?;
        kill(Pid::from_raw(id as i32), signal).map_err(|error| self.failed(error.to_string()))
    }

    /// Kills the process with `SIGKILL`, as a crash would end it.
    pub(crate) async fn kill(&mut self) -> Result<(), ScaleError> {
        let killed = self.child.kill().await;
        killed.map_err(|error| self.failed(error.to_string()))
    }

    /// The error that names this worker and its log.
    fn failed(&self, why: impl Into<String>) -> ScaleError {
        ScaleError::Worker { role: self.role.clone(), why: why.into(), log: self.log.clone() }
    }

    /// Sends an order; [`Worker::hear`] receives its reply.
    pub(crate) async fn tell(&mut self, order: &Order) -> Result<(), ScaleError> {
        let mut line = serde_json::to_vec(order).map_err(|error| self.failed(error.to_string()))?;
        line.push(b'\n');
        let Some(to) = &mut self.to else { return Err(self.failed("it was let go")) };
        let told = to.write_all(&line).await;
        told.map_err(|error| self.failed(format!("it takes no order: {error}")))
    }

    /// Receives the reply to the oldest order that has none yet.
    pub(crate) async fn hear(&mut self) -> Result<Reply, ScaleError> {
        let line = tokio::time::timeout(PATIENCE, self.from.next_line()).await;
        let line = line.map_err(|_| self.failed(format!("no answer in {} s", PATIENCE.as_secs())))?;
        let line = line.map_err(|error| self.failed(error.to_string()))?;
        let line = line.ok_or_else(|| self.failed("it ended before its time"))?;
        match serde_json::from_str(&line).map_err(|error| self.failed(error.to_string()))? {
            Reply::Failed(why) => Err(self.failed(why)),
            reply => Ok(reply),
        }
    }

    /// Sends an order and receives its reply.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if the process has ended, replies with an error or with something else than a
    /// reply, or does not reply in time.
    pub async fn ask(&mut self, order: &Order) -> Result<Reply, ScaleError> {
        self.tell(order).await?;
        self.hear().await
    }

    /// Asks for what the worker has observed.
    pub(crate) async fn look(&mut self) -> Result<Look, ScaleError> {
        match self.ask(&Order::Look).await? {
            Reply::Looked(look) => Ok(look),
            other => Err(self.failed(format!("{other:?} is no look"))),
        }
    }

    /// Closes the worker's standard input and waits for it to exit; kills it if it does not.
    pub async fn end(mut self) {
        self.to = None;
        if tokio::time::timeout(LAST, self.child.wait()).await.is_err() {
            _ = self.child.kill().await;
        }
    }
}
