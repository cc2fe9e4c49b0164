//! The coordinator of a day: a process of its own, asked for moves as an operator would.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_coordinator::client::{self, RequestError};
use umbertray_store_protocol::orders::ExtentRange;

use crate::run::Process;

/// An answer of the coordinator may take so long.
const PATIENCE: Duration = Duration::from_secs(5);

pub struct CoordinatorProcess {
    program: PathBuf,
    folder: PathBuf,
    list: SocketAddr,
    process: Process,
    pub address: SocketAddr,
    pub term: u64,
}

impl CoordinatorProcess {
    /// Starts `program keeper`, its log and script in `folder`.
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
    pub async fn kill(&mut self) -> io::Result<()> {
        self.process.kill().await
    }

    /// Starts it again where it was.
    pub async fn again(&mut self) -> io::Result<()> {
        let (process, address, term) = run(&self.program, &self.folder, self.list, self.address, &[]).await?;
        (self.process, self.address, self.term) = (process, address, term);
        Ok(())
    }

    /// A second one takes over while the first stands still, which goes on when it likes; the first.
    pub async fn second(&mut self) -> io::Result<Process> {
        self.process.signal(Signal::SIGSTOP)?;
        // The lease of the one that stands still has to run out.
        let end = tokio::time::Instant::now() + 2 * PATIENCE;
        loop {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            match run(&self.program, &self.folder, self.list, any, &["--take-over"]).await {
                Ok((process, address, term)) => {
                    (self.address, self.term) = (address, term);
                    return Ok(std::mem::replace(&mut self.process, process));
                }
                Err(_) if tokio::time::Instant::now() < end => tokio::time::sleep(PATIENCE / 20).await,
                Err(error) => return Err(error),
            }
        }
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.process.signal(signal)
    }

    /// Wishes for a move; its number, or why it cannot be.
    pub async fn wish(&self, span: ExtentRange, shard: u32) -> io::Result<Result<u64, String>> {
        match client::request_move(self.address, span, shard).await {
            Ok(number) => Ok(Ok(number)),
            Err(RequestError::Rejected(why)) => Ok(Err(why)),
            Err(error) => Err(io::Error::other(error)),
        }
    }

    /// How far a move is, in words, and whether it is over.
    pub async fn how_far(&self, number: u64, give_up: bool) -> io::Result<(String, bool)> {
        client::move_status(self.address, number, give_up).await.map_err(io::Error::other)
    }

    /// Waits for a move's end, at most so long; how it ended.
    pub async fn ended(&self, number: u64, patience: Duration) -> io::Result<String> {
        let end = tokio::time::Instant::now() + patience;
        loop {
            // It may be down for a while.
            match self.how_far(number, false).await {
                Ok((state, true)) => return Ok(state),
                Ok((state, false)) if tokio::time::Instant::now() > end => {
                    return Err(io::Error::other(format!("move {number} is not over: {state}")));
                }
                Err(error) if tokio::time::Instant::now() > end => return Err(error),
                _ => tokio::time::sleep(PATIENCE / 500).await,
            }
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
