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

/// A worker that does not end by itself within this is killed.
const LAST: Duration = Duration::from_secs(5);

/// One process; killed, by its id, when dropped. Should this process be killed itself, the worker's input ends, and with it
/// the worker.
pub struct Worker {
    role: String,
    log: PathBuf,
    child: Child,
    to: Option<ChildStdin>,
    from: Lines<BufReader<ChildStdout>>,
}

impl Worker {
    /// Starts `program arguments`, its log in `folder`.
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

    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) -> Result<(), ScaleError> {
        let id = self.id().ok_or_else(|| self.failed("it has ended"))?;
        kill(Pid::from_raw(id as i32), signal).map_err(|error| self.failed(error))
    }

    /// Ends it as a crash would.
    pub async fn kill(&mut self) -> Result<(), ScaleError> {
        let killed = self.child.kill().await;
        killed.map_err(|error| self.failed(error))
    }

    fn failed(&self, why: impl ToString) -> ScaleError {
        ScaleError::Worker { role: self.role.clone(), why: why.to_string(), log: self.log.clone() }
    }

    /// Tells it something; its answer is to be heard by [`Worker::hear`].
    pub async fn tell(&mut self, order: &Order) -> Result<(), ScaleError> {
        let mut line = serde_json::to_vec(order).map_err(|error| self.failed(error))?;
        line.push(b'\n');
        let Some(to) = &mut self.to else { return Err(self.failed("it was let go")) };
        let told = to.write_all(&line).await;
        told.map_err(|error| self.failed(format!("it takes no order: {error}")))
    }

    pub async fn hear(&mut self) -> Result<Reply, ScaleError> {
        let line = tokio::time::timeout(PATIENCE, self.from.next_line()).await;
        let line = line.map_err(|_| self.failed(format!("no answer in {} s", PATIENCE.as_secs())))?;
        let line = line.map_err(|error| self.failed(error))?;
        let line = line.ok_or_else(|| self.failed("it ended before its time"))?;
        match serde_json::from_str(&line).map_err(|error| self.failed(error))? {
            Reply::Failed(why) => Err(self.failed(why)),
            reply => Ok(reply),
        }
    }

    pub async fn ask(&mut self, order: &Order) -> Result<Reply, ScaleError> {
        self.tell(order).await?;
        self.hear().await
    }

    pub async fn look(&mut self) -> Result<Look, ScaleError> {
        match self.ask(&Order::Look).await? {
            Reply::Looked(look) => Ok(look),
            other => Err(self.failed(format!("{other:?} is no look"))),
        }
    }

    /// Lets it end, and ends it where it does not.
    pub async fn end(mut self) {
        self.to = None;
        if tokio::time::timeout(LAST, self.child.wait()).await.is_err() {
            _ = self.child.kill().await;
        }
    }
}
