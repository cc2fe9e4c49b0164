//! Termination and restart of processes: series of signals, SIGKILL at the earliest time that the protocol
//! page allows, reloads, and crowds of clients.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;
use umbertray_fakes::fleet::any_port;

use super::{GatewayUnderTest, MAX_TOLERATED_STALL, RECOVERY_TIME, TIMER_INTERVAL, Testbed};
use crate::soak::plan::Termination;
use crate::soak::process::{Process, is_valid, longest_deadline, reconfiguration};
use crate::soak::record::{Disturbance, Exit};

/// SIGKILL follows SIGTERM no sooner than the longest deadline, which counts as [`MAX_COUNTED_DEADLINE`] at
/// most, plus this margin. From the operators' protocol page, "Figures".
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Longest deadline that SIGKILL waits for.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time after SIGHUP within which the previous configuration may still be in force.
const RELOAD_WINDOW: Duration = Duration::from_millis(500);
/// Time between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// Idle clients of a crowd. Together with [`CROWD_PARTIAL`] they exceed a gateway's file descriptors.
const CROWD_IDLE: usize = 220;
/// Clients of a crowd that have sent part of a request.
const CROWD_PARTIAL: usize = 60;
/// Numbers of valid configurations that are loaded around a SIGTERM, with shorter and longer deadlines.
const RELOAD_CONFIGURATIONS: [u32; 4] = [0, 1, 5, 10];

impl Testbed {
    /// Terminates a gateway and starts it again.
    pub(super) async fn restart(&self, gateway: u32, termination: Termination) {
        let target = &self.gateways[gateway as usize];
        let mut process = target.process.lock().await;
        self.record_unexpected_exit(gateway, &mut process);
        let from = self.record.now();
        self.terminate(target, &mut process, termination).await;
        process.kill().await;
        self.record_log_errors(&process);
        self.start_successor(target, any_port(), &mut process).await;
        if termination == Termination::BeforeReady {
            self.terminate(target, &mut process, Termination::Plain).await;
            process.kill().await;
            self.record_log_errors(&process);
            self.start_successor(target, any_port(), &mut process).await;
        }
        self.await_ready_after_restart(target).await;
        drop(process);
        self.record_disturbance(gateway, Disturbance::Drain, from);
    }

    /// Kills a gateway with SIGKILL and starts it again on the same port.
    pub(super) async fn kill(&self, gateway: u32) {
        let target = &self.gateways[gateway as usize];
        let mut process = target.process.lock().await;
        self.record_unexpected_exit(gateway, &mut process);
        let from = self.record.now();
        process.kill().await;
        self.record_log_errors(&process);
        let address = process.address;
        self.start_successor(target, address, &mut process).await;
        self.await_ready_after_restart(target).await;
        drop(process);
        self.record_disturbance(gateway, Disturbance::Killed, from);
    }

    fn record_unexpected_exit(&self, gateway: u32, process: &mut Process) {
        if let Some(status) = process.unexpected_exit() {
            self.record_crash(format!("gateway {gateway} exited unexpectedly: {status}"));
        }
    }

    async fn start_successor(&self, target: &GatewayUnderTest, listen: SocketAddr, process: &mut Process) {
        match self.start_process(target.number, listen, target.discovery_proxy.address).await {
            Ok(next) => {
                target.client_proxy.set_upstream(Some(next.address));
                *process = next;
                target.set_deadline(longest_deadline(target.number), self.record.now());
            }
            Err(error) => self.record_crash(format!("gateway {} did not start: {error}", target.number)),
        }
    }

    /// Waits until a restarted gateway is ready, so that no other fault of this process begins before that.
    async fn await_ready_after_restart(&self, target: &GatewayUnderTest) {
        if let Err(error) = self.await_ready(target).await {
            self.record_crash(format!("gateway {} was not ready after its restart: {error}", target.number));
        }
    }

    /// Loads a series of up to three configurations, valid or not.
    pub(super) async fn reconfigure(&self, gateway: u32, number: u32) {
        let target = &self.gateways[gateway as usize];
        let process = target.process.lock().await;
        for number in number..=number + number % 3 {
            self.reload(target, &process, number);
            sleep(SIGNAL_INTERVAL).await;
        }
    }

    /// Writes a configuration and sends SIGHUP.
    fn reload(&self, target: &GatewayUnderTest, process: &Process, number: u32) {
        let name = format!("g{}", target.number);
        let text = reconfiguration(&name, process.address, target.discovery_proxy.address, number);
        if process.configure(&text).is_ok() {
            process.signal(Signal::SIGHUP);
            if is_valid(number) {
                target.set_deadline(longest_deadline(number), self.record.now());
            }
        }
    }

    /// Opens more connections than a gateway has file descriptors for: idle clients, and clients that have
    /// sent part of a request.
    pub(super) async fn crowd(&self, gateway: u32, duration: Duration) {
        use tokio::io::AsyncWriteExt;
        let target = &self.gateways[gateway as usize];
        let from = self.record.now();
        let mut crowd = Vec::new();
        for index in 0..CROWD_IDLE + CROWD_PARTIAL {
            let Ok(mut stream) = tokio::net::TcpStream::connect(target.client_proxy.address).await else {
                break;
            };
            if index < CROWD_PARTIAL {
                _ = stream.write_all(b"GET /look/").await;
            }
            crowd.push(stream);
        }
        sleep(duration).await;
        drop(crowd);
        sleep(RECOVERY_TIME).await;
        self.record_disturbance(gateway, Disturbance::Crowd, from);
    }

    /// Terminates a gateway as the platform does, and records how it ended.
    pub(super) async fn stop_gateway(&self, target: &GatewayUnderTest) {
        let mut process = target.process.lock().await;
        if let Some(status) = process.unexpected_exit() {
            return self.record_crash(format!("gateway {} exited unexpectedly: {status}", target.number));
        }
        self.terminate(target, &mut process, Termination::Plain).await;
        self.record_log_errors(&process);
    }

    /// Sends SIGTERM with the other signals and reloads of the termination, and records the exit. Returns at
    /// the exit, or at the earliest time that the protocol page allows for SIGKILL, which the caller sends.
    async fn terminate(&self, target: &GatewayUnderTest, process: &mut Process, termination: Termination) {
        let valid_number = RELOAD_CONFIGURATIONS[target.number as usize % RELOAD_CONFIGURATIONS.len()];
        match termination {
            Termination::ReloadBefore => self.reload(target, process, valid_number),
            Termination::Stalled => process.signal(Signal::SIGSTOP),
            _ => {}
        }
        let sigterm_at = self.record.now();
        let kill_after = target.longest_deadline(sigterm_at).min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        process.signal(Signal::SIGTERM);
        match termination {
            Termination::ReloadAfter => self.reload(target, process, valid_number),
            Termination::Twice => {
                sleep(SIGNAL_INTERVAL).await;
                process.signal(Signal::SIGTERM);
            }
            Termination::Stalled => {
                sleep(MAX_TOLERATED_STALL).await;
                process.signal(Signal::SIGCONT);
                // This test may have been late, so that the stall was longer than a gateway must tolerate.
                if self.record.now().saturating_sub(sigterm_at) > MAX_TOLERATED_STALL + TIMER_INTERVAL {
                    self.record_disturbance(target.number, Disturbance::Clients, sigterm_at);
                }
            }
            _ => {}
        }
        let time_left = (sigterm_at + kill_after).saturating_sub(self.record.now());
        let success = process.await_exit(time_left).await;
        let ended_at = success.map(|_| self.record.now());
        let success = success.unwrap_or_default();
        let held_up = termination == Termination::Stalled;
        let exit = Exit { gateway: target.number, sigterm_at, kill_after, held_up, ended_at, success };
        self.record.update(|record| record.exits.push(exit));
    }
}

impl GatewayUnderTest {
    fn set_deadline(&self, deadline: Duration, now: Duration) {
        let former = self.longest_deadline_ms.swap(deadline.as_millis() as u64, Ordering::Relaxed);
        if let Ok(mut former_deadline) = self.former_deadline.lock() {
            *former_deadline = (Duration::from_millis(former), now);
        }
    }

    /// The longest deadline that may be in force. Just after a reload it may still be that of the previous
    /// configuration.
    fn longest_deadline(&self, now: Duration) -> Duration {
        let deadline = Duration::from_millis(self.longest_deadline_ms.load(Ordering::Relaxed));
        let (former, replaced_at) = self.former_deadline.lock().map(|former| *former).unwrap_or_default();
        if now.saturating_sub(replaced_at) < RELOAD_WINDOW { deadline.max(former) } else { deadline }
    }
}
