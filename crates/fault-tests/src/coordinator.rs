//! The coordinator of a scenario: a separate process, which is sent move requests as an operator would send
//! them.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_coordinator::client::{self, RequestError};
use umbertray_fakes::fleet::any_port;
use umbertray_store_protocol::orders::ExtentRange;

use crate::process::Process;

/// Time within which a second coordinator must take over; the lease of the first has to expire before that.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two attempts to take over.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two polls of a move's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(10);

/// A coordinator in a separate process.
pub struct CoordinatorProcess {
    program: PathBuf,
    folder: PathBuf,
    list_service: SocketAddr,
    process: Process,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Term of the running coordinator.
    pub term: u64,
}

impl CoordinatorProcess {
    /// Starts a coordinator with `program`; its log and script are in `folder`.
    ///
    /// # Errors
    /// The process cannot be started, or does not report its address in time.
    pub async fn start(
        program: &Path,
        folder: &Path,
        list_service: SocketAddr,
    ) -> io::Result<CoordinatorProcess> {
        let (process, address, term) = start_process(program, folder, list_service, any_port(), &[]).await?;
        Ok(CoordinatorProcess {
            program: program.into(),
            folder: folder.into(),
            list_service,
            process,
            address,
            term,
        })
    }

    /// Kills it with SIGKILL, as a crash would end it.
    ///
    /// # Errors
    /// The process cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }

    /// Starts it again on the same address.
    ///
    /// # Errors
    /// Those of [`CoordinatorProcess::start`].
    pub async fn restart(&mut self) -> io::Result<()> {
        let (process, address, term) =
            start_process(&self.program, &self.folder, self.list_service, self.address, &[]).await?;
        (self.process, self.address, self.term) = (process, address, term);
        Ok(())
    }

    /// Stalls the coordinator with SIGSTOP and starts a second one that takes over. Returns the stalled first
    /// process, which the caller can resume.
    ///
    /// # Errors
    /// No second coordinator could take over in time.
    pub async fn take_over(&mut self) -> io::Result<Process> {
        self.process.signal(Signal::SIGSTOP)?;
        let deadline = tokio::time::Instant::now() + TAKEOVER_TIMEOUT;
        loop {
            let started =
                start_process(&self.program, &self.folder, self.list_service, any_port(), &["--take-over"]);
            match started.await {
                Ok((process, address, term)) => {
                    (self.address, self.term) = (address, term);
                    return Ok(std::mem::replace(&mut self.process, process));
                }
                Err(_) if tokio::time::Instant::now() < deadline => {
                    tokio::time::sleep(TAKEOVER_INTERVAL).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.process.signal(signal)
    }

    /// Requests a move of a range to a shard. Returns the move's number, or the reason why it was rejected.
    ///
    /// # Errors
    /// The coordinator does not respond.
    pub async fn request_move(&self, range: ExtentRange, shard: u32) -> io::Result<Result<u64, String>> {
        match client::request_move(self.address, range, shard).await {
            Ok(number) => Ok(Ok(number)),
            Err(RequestError::Rejected(reason)) => Ok(Err(reason)),
            Err(error) => Err(io::Error::other(error)),
        }
    }

    /// Status of a move as text, and whether it has finished. With `give_up`, the move is abandoned first, if
    /// it still can be.
    ///
    /// # Errors
    /// The coordinator does not respond.
    pub async fn move_status(&self, number: u64, give_up: bool) -> io::Result<(String, bool)> {
        client::move_status(self.address, number, give_up).await.map_err(io::Error::other)
    }

    /// Waits until a move has finished, for `timeout` at most; returns its final status.
    ///
    /// # Errors
    /// The move has not finished at the deadline, or the coordinator does not respond by then.
    pub async fn await_move(&self, number: u64, timeout: Duration) -> io::Result<String> {
        await_move(self.address, number, timeout).await
    }
}

/// Waits until a move has finished, for `timeout` at most; returns its final status. Polls on while the
/// coordinator is down.
pub(crate) async fn await_move(address: SocketAddr, number: u64, timeout: Duration) -> io::Result<String> {
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        match client::move_status(address, number, false).await {
            Ok((state, true)) => return Ok(state),
            Ok((state, false)) if tokio::time::Instant::now() > deadline => {
                let message = format!("move {number} has not finished after {timeout:?}: {state}");
                return Err(io::Error::other(message));
            }
            Err(error) if tokio::time::Instant::now() > deadline => return Err(io::Error::other(error)),
            _ => tokio::time::sleep(STATUS_INTERVAL).await,
        }
    }
}

/// Starts a coordinator process; returns it with its address and its term.
async fn start_process(
    program: &Path,
    folder: &Path,
    list_service: SocketAddr,
    listen: SocketAddr,
    arguments: &[&str],
) -> io::Result<(Process, SocketAddr, u64)> {
    let log = std::path::absolute(folder.join("keeper"))?;
    let script = format!(
        "keeper(listen = {:?}, list = {:?}, folder = {:?})\n",
        listen.to_string(),
        list_service.to_string(),
        log
    );
    let (process, startup) =
        Process::start(program, folder, ("keeper", "keeper"), &script, arguments).await?;
    let address = startup["keeper"].as_str().and_then(|text| text.parse().ok());
    let address = address
        .ok_or_else(|| io::Error::other("the coordinator did not report the address it listens on"))?;
    Ok((process, address, startup["term"].as_u64().unwrap_or_default()))
}
