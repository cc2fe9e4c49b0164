//! The coordinator of a day: a process of its own, asked for moves as an operator would.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_coordinator::client::{self, RequestError};
use umbertray_store_protocol::orders::ExtentRange;

use crate::process::Process;

/// A second coordinator has to take over within this time: the lease of the first has to run out.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two attempts to take over.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(250);
/// Between two questions for a move's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(10);

/// A coordinator in a process of its own.
pub struct CoordinatorProcess {
    program: PathBuf,
    folder: PathBuf,
    list: SocketAddr,
    process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    /// The term of its run.
    pub term: u64,
}

impl CoordinatorProcess {
    /// Starts `program coordinator`, its log and script in `folder`.
    ///
    /// # Errors
    /// It cannot be started, or does not say where it listens in time.
    pub async fn start(program: &Path, folder: &Path, list: SocketAddr) -> io::Result<CoordinatorProcess> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (process, address, term) = run(program, folder, list, any, &[]).await?;
        Ok(CoordinatorProcess {
            program: program.into(),
            folder: folder.into(),
            list,
            process,
            address,
            term,
        })
    }

    /// Ends it as a crash would.
    ///
    /// # Errors
    /// The system's.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }

    /// Starts it again where it was.
    ///
    /// # Errors
    /// Those of [`CoordinatorProcess::start`].
    pub async fn again(&mut self) -> io::Result<()> {
        let (process, address, term) = run(&self.program, &self.folder, self.list, self.address, &[]).await?;
        (self.process, self.address, self.term) = (process, address, term);
        Ok(())
    }

    /// A second one takes over while the first is stopped, which is returned: it goes on when its owner likes.
    ///
    /// # Errors
    /// No second one could take over in time.
    pub async fn second(&mut self) -> io::Result<Process> {
        self.process.signal(Signal::SIGSTOP)?;
        let end = tokio::time::Instant::now() + TAKEOVER_TIMEOUT;
        loop {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            match run(&self.program, &self.folder, self.list, any, &["--take-over"]).await {
                Ok((process, address, term)) => {
                    (self.address, self.term) = (address, term);
                    return Ok(std::mem::replace(&mut self.process, process));
                }
                Err(_) if tokio::time::Instant::now() < end => tokio::time::sleep(TAKEOVER_INTERVAL).await,
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// It has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.process.signal(signal)
    }

    /// Asks for a move; its number, or why it cannot be.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn wish(&self, span: ExtentRange, shard: u32) -> io::Result<Result<u64, String>> {
        match client::request_move(self.address, span, shard).await {
            Ok(number) => Ok(Ok(number)),
            Err(RequestError::Rejected(why)) => Ok(Err(why)),
            Err(error) => Err(io::Error::other(error)),
        }
    }

    /// How far a move is, in words, and whether it is over.
    ///
    /// # Errors
    /// There is no answer.
    pub async fn how_far(&self, number: u64, give_up: bool) -> io::Result<(String, bool)> {
        client::move_status(self.address, number, give_up).await.map_err(io::Error::other)
    }

    /// Waits for a move's end, at most this long; how it ended.
    ///
    /// # Errors
    /// The move is not over in time, or the coordinator does not answer then.
    pub async fn ended(&self, number: u64, timeout: Duration) -> io::Result<String> {
        await_move(self.address, number, timeout).await
    }
}

/// Waits for a move's end, at most this long; how it ended. The coordinator may be down for a while.
pub(crate) async fn await_move(address: SocketAddr, number: u64, timeout: Duration) -> io::Result<String> {
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        match client::move_status(address, number, false).await {
            Ok((state, true)) => return Ok(state),
            Ok((state, false)) if tokio::time::Instant::now() > deadline => {
                return Err(io::Error::other(format!("move {number} is not over: {state}")));
            }
            Err(error) if tokio::time::Instant::now() > deadline => return Err(io::Error::other(error)),
            _ => tokio::time::sleep(STATUS_INTERVAL).await,
        }
    }
}

async fn run(
    program: &Path,
    folder: &Path,
    list: SocketAddr,
    listen: SocketAddr,
    more: &[&str],
) -> io::Result<(Process, SocketAddr, u64)> {
    let log = std::path::absolute(folder.join("keeper"))?;
    let script = format!(
        "keeper(listen = {:?}, list = {:?}, folder = {:?})\n",
        listen.to_string(),
        list.to_string(),
        log
    );
    let (process, said) = Process::start(program, folder, ("keeper", "keeper"), &script, more).await?;
    let address = said["keeper"].as_str().and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| io::Error::other("the keeper did not say where it listens"))?;
    Ok((process, address, said["term"].as_u64().unwrap_or_default()))
}
