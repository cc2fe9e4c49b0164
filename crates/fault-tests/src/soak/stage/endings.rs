//! How processes end and are started again: signals in series, SIGKILL at the page's earliest, reloads, and crowds.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;

use super::{CATCH_UP, GatewayEnd, HOLD_UP, Stage, TICK, any_port};
use crate::soak::plan::Ending;
use crate::soak::process::{Process, deadline, is_right, reconfiguration};
use crate::soak::record::{Disturbance, Exit};

/// The protocol page: SIGKILL comes this much after the longest deadline, which counts as [`LONGEST_WAIT`] where it is longer.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// A configuration may not be in force for so long after its SIGHUP.
const RELOAD_TIME: Duration = Duration::from_millis(500);
/// Between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// A crowd: idle clients, and such with half a request; together more than a gateway's descriptors.
const CROWD_IDLE: usize = 220;
const CROWD_HALF: usize = 60;
/// Right configurations that are loaded around a SIGTERM, with shorter and longer deadlines.
const RELOAD_NUMBERS: [u32; 4] = [0, 1, 5, 10];

impl Stage {
    /// SIGTERM with what comes with it, and a new start.
    pub(super) async fn restart(&self, gateway: u32, ending: Ending) {
        let end = &self.gateways[gateway as usize];
        let mut process = end.process.lock().await;
        self.check_alive(gateway, &mut process);
        let told = self.book.now();
        self.terminate(end, &mut process, ending).await;
        process.kill().await;
        self.complain(&process);
        self.start_again(end, any_port(), &mut process).await;
        if ending == Ending::BeforeReady {
            self.terminate(end, &mut process, Ending::Plain).await;
            process.kill().await;
            self.complain(&process);
            self.start_again(end, any_port(), &mut process).await;
        }
        self.await_ready(end).await;
        drop(process);
        self.disturbed(gateway, Disturbance::Drain, told);
    }

    /// SIGKILL, and a new start on the same port.
    pub(super) async fn kill(&self, gateway: u32) {
        let end = &self.gateways[gateway as usize];
        let mut process = end.process.lock().await;
        self.check_alive(gateway, &mut process);
        let told = self.book.now();
        process.kill().await;
        self.complain(&process);
        let address = process.address;
        self.start_again(end, address, &mut process).await;
        self.await_ready(end).await;
        drop(process);
        self.disturbed(gateway, Disturbance::Killed, told);
    }

    fn check_alive(&self, gateway: u32, process: &mut Process) {
        if let Some(status) = process.crashed() {
            self.crash(format!("gateway {gateway} ended unasked: {status}"));
        }
    }

    async fn start_again(&self, end: &GatewayEnd, listen: SocketAddr, process: &mut Process) {
        match self.start(end.number, listen, end.to_discovery.address).await {
            Ok(next) => {
                end.clients.lead_to(Some(next.address));
                *process = next;
                end.set_deadline(deadline(end.number), self.book.now());
            }
            Err(error) => self.crash(format!("gateway {} did not start: {error}", end.number)),
        }
    }

    /// The next fault of this process waits until it is ready.
    async fn await_ready(&self, end: &GatewayEnd) {
        if let Err(error) = self.ready(end).await {
            self.crash(format!("gateway {} was not ready after its restart: {error}", end.number));
        }
    }

    pub(super) async fn configure(&self, gateway: u32, number: u32) {
        let end = &self.gateways[gateway as usize];
        let process = end.process.lock().await;
        for number in number..=number + number % 3 {
            self.reload(end, &process, number);
            sleep(SIGNAL_INTERVAL).await;
        }
    }

    /// Writes a configuration and sends SIGHUP.
    fn reload(&self, end: &GatewayEnd, process: &Process, number: u32) {
        let name = format!("g{}", end.number);
        let text = reconfiguration(&name, process.address, end.to_discovery.address, number);
        if process.configure(&text).is_ok() {
            process.signal(Signal::SIGHUP);
            if is_right(number) {
                end.set_deadline(deadline(number), self.book.now());
            }
        }
    }

    /// More clients than a gateway has descriptors for: idle ones, and such that have sent half a request.
    pub(super) async fn crowd(&self, gateway: u32, lasts: Duration) {
        use tokio::io::AsyncWriteExt;
        let end = &self.gateways[gateway as usize];
        let from = self.book.now();
        let mut crowd = Vec::new();
        for place in 0..CROWD_IDLE + CROWD_HALF {
            let Ok(mut stream) = tokio::net::TcpStream::connect(end.clients.address).await else { break };
            if place < CROWD_HALF {
                _ = stream.write_all(b"GET /look/").await;
            }
            crowd.push(stream);
        }
        sleep(lasts).await;
        drop(crowd);
        sleep(CATCH_UP).await;
        self.disturbed(gateway, Disturbance::Crowd, from);
    }

    /// Ends a process as the platform does, and notes how that went.
    pub(super) async fn end(&self, end: &GatewayEnd) {
        let mut process = end.process.lock().await;
        if let Some(status) = process.crashed() {
            return self.crash(format!("gateway {} ended unasked: {status}", end.number));
        }
        self.terminate(end, &mut process, Ending::Plain).await;
        self.complain(&process);
    }

    /// SIGTERM with what comes with it; SIGKILL is the caller's, at the page's earliest, where it has not ended by then.
    async fn terminate(&self, end: &GatewayEnd, process: &mut Process, ending: Ending) {
        let right = RELOAD_NUMBERS[end.number as usize % RELOAD_NUMBERS.len()];
        match ending {
            Ending::ReloadBefore => self.reload(end, process, right),
            Ending::Stopped => process.signal(Signal::SIGSTOP),
            _ => {}
        }
        let told = self.book.now();
        let kill_after = end.longest_deadline(told).min(LONGEST_WAIT) + KILL_MARGIN;
        process.signal(Signal::SIGTERM);
        match ending {
            Ending::ReloadAfter => self.reload(end, process, right),
            Ending::Twice => {
                sleep(SIGNAL_INTERVAL).await;
                process.signal(Signal::SIGTERM);
            }
            Ending::Stopped => {
                sleep(HOLD_UP).await;
                process.signal(Signal::SIGCONT);
                // A stop that was longer, since this test was late, is more than a gateway allows for.
                if self.book.now().saturating_sub(told) > HOLD_UP + TICK {
                    self.disturbed(end.number, Disturbance::Clients, told);
                }
            }
            _ => {}
        }
        let left = (told + kill_after).saturating_sub(self.book.now());
        let success = process.ended(left).await;
        let ended = success.map(|_| self.book.now());
        let success = success.unwrap_or_default();
        let held_up = ending == Ending::Stopped;
        let exit = Exit { gateway: end.number, told, kill_after, held_up, ended, success };
        self.book.write(|record| record.exits.push(exit));
    }
}

impl GatewayEnd {
    fn set_deadline(&self, deadline: Duration, now: Duration) {
        let former = self.deadline.swap(deadline.as_millis() as u64, Ordering::Relaxed);
        if let Ok(mut former_deadline) = self.former_deadline.lock() {
            *former_deadline = (Duration::from_millis(former), now);
        }
    }

    /// The longest deadline that may be in force: just after a reload that may be the former one.
    fn longest_deadline(&self, now: Duration) -> Duration {
        let deadline = Duration::from_millis(self.deadline.load(Ordering::Relaxed));
        let former = self.former_deadline.lock().map(|former| *former).unwrap_or_default();
        if now.saturating_sub(former.1) < RELOAD_TIME { deadline.max(former.0) } else { deadline }
    }
}
