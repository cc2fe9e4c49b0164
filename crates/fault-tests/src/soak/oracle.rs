//! Finds the rules that a soak broke, using the record alone. Counted rules hold however slow the machine is.
//! Timed rules are not checked during pauses of the test process.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::soak::record::{
    Arrival, Attempt, Disturbance, Effect, Exit, Outcome, Record, Request, StoppedClient,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time within which a client that stopped in the middle of a request must get an error or a close. From the
/// operators' standing page, "More than these days".
const BAD_CLIENT_LIMIT: Duration = ms(3000);
/// No attempt may begin later than this after its client has closed the connection, from the operators'
/// terms.
const CANCEL_LIMIT: Duration = ms(100);
/// Slack of the time left that an attempt sends to its store, from the operators' terms.
const TIME_LEFT_SLACK: Duration = ms(150);
/// Slack of the final response: a request with a later response counts as lost. From the operators' standing
/// page, "Hundreds of gateways".
const RESPONSE_SLACK: Duration = ms(500);
/// Slack added to every limit, from the operators' protocol page.
const LIMIT_SLACK: Duration = ms(50);
/// The drain grace in the soak's settings.
pub const DRAIN_GRACE: Duration = ms(1000);
/// A gateway counts as notified of a change this long after discovery had it, even if it was cut off from
/// discovery.
const MAX_NOTIFICATION_DELAY: Duration = ms(6000);
/// A request that arrives later than this after SIGTERM is lost if it has no response at SIGKILL. From the
/// operators' protocol page.
const LATE_AFTER_TERM: Duration = ms(700);
/// A connection that ended less than this before SIGKILL counts as ended by it.
const KILL_SLACK: Duration = ms(5);
/// Delay that this test's own tasks and proxies may add to a measured time.
const TEST_SLACK: Duration = ms(60);

/// A rule that a soak can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request had no final response.
    Lost,
    /// A request arrived well after SIGTERM, on a connection that the gateway kept open, and had no response
    /// at SIGKILL.
    UnansweredAtKill,
    /// A request had its response after its time left and the slack. Timed.
    Late,
    /// A request had a response that no store sent for it.
    Mismatch,
    /// An op that may run at most once ran more often.
    Duplicate,
    /// An attempt was sent to a draining store after the drain grace. Timed.
    Drain,
    /// An attempt began after its client had closed the connection. Timed.
    AfterCancel,
    /// A store was sent more time left than the client had. Timed.
    ToldTime,
    /// A client that stopped in the middle of a request had no error and no close in time. Timed.
    BadClient,
    /// A process exited unexpectedly, did not start, was not ready in time after a restart, or logged a
    /// panic, or a close or exit with a response pending.
    Crash,
    /// A process did not exit in time after SIGTERM, or exited with an error.
    Exit,
    /// A gateway served no request after the last fault.
    Stuck,
}

impl Rule {
    /// Whether the rule depends on times, so that its findings count only on a machine that keeps up.
    pub fn is_timed(self) -> bool {
        matches!(self, Rule::Late | Rule::Drain | Rule::AfterCancel | Rule::ToldTime | Rule::BadClient)
    }
}

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// Description of the breach.
    pub description: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.description)
    }
}

/// All breaches that a record shows.
pub fn judge(record: &Record) -> Vec<Finding> {
    let indexed = IndexedRecord::new(record);
    let mut findings = Vec::new();
    let mut report = |rule, description: String| findings.push(Finding { rule, description });
    record.requests.iter().for_each(|request| indexed.judge_request(request, &mut report));
    indexed.judge_duplicates(&mut report);
    record.attempts.iter().for_each(|attempt| indexed.judge_attempt(attempt, &mut report));
    indexed.judge_stopped_clients(&mut report);
    indexed.judge_processes(&mut report);
    findings
}

/// Number of requests that arrived so long after SIGTERM that they must have a response before SIGKILL: the
/// number of cases that [`Rule::UnansweredAtKill`] was checked for.
pub fn late_requests(record: &Record) -> usize {
    let is_late = |request: &&Request| {
        record.exits.iter().any(|exit| {
            let until = exit.ended_at.unwrap_or(exit.sigterm_at + exit.kill_after);
            exit.gateway == request.gateway
                && (exit.sigterm_at + LATE_AFTER_TERM..until).contains(&request.last_byte)
        })
    };
    record.requests.iter().filter(is_late).count()
}

/// The record with indexes over its requests, attempts and arrivals.
struct IndexedRecord<'a> {
    record: &'a Record,
    requests: HashMap<u64, &'a Request>,
    attempted: HashSet<u64>,
    ran: HashMap<u64, Vec<&'a Arrival>>,
}

type Report<'f> = dyn FnMut(Rule, String) + 'f;

impl<'a> IndexedRecord<'a> {
    fn new(record: &'a Record) -> IndexedRecord<'a> {
        let mut ran: HashMap<u64, Vec<&Arrival>> = HashMap::new();
        for arrival in record.arrivals.iter().filter(|arrival| arrival.ran) {
            ran.entry(arrival.id).or_default().push(arrival);
        }
        IndexedRecord {
            record,
            requests: record.requests.iter().map(|request| (request.id, request)).collect(),
            attempted: record.attempts.iter().map(|attempt| attempt.id).collect(),
            ran,
        }
    }

    fn was_disturbed(&self, gateway: u32, by: &[Disturbance], from: Duration, to: Duration) -> bool {
        self.record.windows.iter().any(|window| {
            window.gateway == gateway
                && by.contains(&window.disturbance)
                && window.from <= to
                && from <= window.to + TEST_SLACK
        })
    }

    /// Whether the test process paused between two times for longer than half of its slack.
    fn test_was_held_up(&self, from: Duration, to: Duration) -> bool {
        self.record
            .held_up
            .iter()
            .any(|(at, late)| *late > TEST_SLACK / 2 && from <= *at && at.saturating_sub(*late) <= to)
    }

    fn judge_request(&self, request: &Request, report: &mut Report) {
        use Disturbance::{Clients, Drain, Killed};
        let Request { gateway, id, last_byte, ended_at, .. } = *request;
        let describe = |reason: &str| {
            format!("request {id:016x} at gateway {gateway}, {last_byte:?} to {ended_at:?}: {reason}")
        };
        if self.was_disturbed(gateway, &[Clients, Killed], request.first_byte, ended_at) {
            return;
        }
        if let Some(exit) = self.exit_that_cut_off(request) {
            if last_byte >= exit.sigterm_at + LATE_AFTER_TERM {
                let reason = format!("SIGTERM at {:?}, then SIGKILL without a response", exit.sigterm_at);
                report(Rule::UnansweredAtKill, describe(&reason));
            }
            return;
        }
        let draining =
            self.was_disturbed(gateway, &[Drain, Disturbance::Crowd], request.first_byte, ended_at);
        match request.outcome {
            Outcome::Responded { status: 200, is_own: false } => {
                report(Rule::Mismatch, describe("response does not belong to the request"));
            }
            Outcome::Responded { .. } => {
                let late = ended_at > last_byte + request.time_left + RESPONSE_SLACK + TEST_SLACK;
                if late && !self.test_was_held_up(last_byte, ended_at) {
                    report(Rule::Late, describe("response was late"));
                }
            }
            Outcome::Closed if self.attempted.contains(&id) => {
                report(Rule::Lost, describe("sent to a store, then closed without a response"));
            }
            Outcome::Closed if request.is_first_on_connection && !draining => {
                report(Rule::Lost, describe("closed without a response on a new connection"));
            }
            Outcome::Closed | Outcome::Cancelled => {}
            Outcome::Silent => report(Rule::Lost, describe("neither a response nor a close")),
        }
    }

    /// The exit whose SIGKILL ended a request's connection.
    fn exit_that_cut_off(&self, request: &Request) -> Option<&Exit> {
        let has_no_response = matches!(request.outcome, Outcome::Closed | Outcome::Silent);
        self.record.exits.iter().find(|exit| {
            let killed_at = exit.sigterm_at + exit.kill_after;
            has_no_response
                && exit.gateway == request.gateway
                && exit.ended_at.is_none()
                && request.last_byte <= killed_at
                && request.ended_at + KILL_SLACK >= killed_at
        })
    }

    fn judge_duplicates(&self, report: &mut Report) {
        for (id, arrivals) in &self.ran {
            let once = self.requests.get(id).is_some_and(|request| request.effect == Effect::Once);
            if once && arrivals.len() > 1 {
                report(Rule::Duplicate, format!("request {id:016x} ran at {arrivals:?}"));
            }
        }
    }

    fn judge_attempt(&self, attempt: &Attempt, report: &mut Report) {
        let Attempt { gateway, store, id, at, time_left } = *attempt;
        let describe = |reason: String| {
            format!("attempt of {id:016x} from gateway {gateway} to store {store} at {at:?}: {reason}")
        };
        if self.test_was_held_up(at.saturating_sub(ms(500)), at + ms(50)) {
            return;
        }
        if let Some(late) = self.time_past_grace(attempt) {
            report(Rule::Drain, describe(format!("{late:?} after the drain grace")));
        }
        let Some(request) = self.requests.get(&id) else { return };
        let disturbed = self.was_disturbed(gateway, &[Disturbance::Clients], request.first_byte, at);
        if disturbed {
            return;
        }
        if request.outcome == Outcome::Cancelled && at > request.ended_at + CANCEL_LIMIT + TEST_SLACK {
            let reason = format!("its client had closed the connection at {:?}", request.ended_at);
            report(Rule::AfterCancel, describe(reason));
        }
        // The time of a request on a new connection counts from when the gateway's machine has accepted the
        // connection. When a crowd fills the accept queue, this test cannot know that time: its proxy
        // forwards the request only after a second SYN.
        if request.is_first_on_connection
            && self.was_disturbed(gateway, &[Disturbance::Crowd], request.first_byte, at)
        {
            return;
        }
        let client_time_left = (request.last_byte + request.time_left).saturating_sub(at);
        if time_left > client_time_left + TIME_LEFT_SLACK + TEST_SLACK {
            let reason = format!("sent {time_left:?} as time left, its client had {client_time_left:?}");
            report(Rule::ToldTime, describe(reason));
        }
    }

    /// How long after the drain grace an attempt to a draining store began. The grace counts from when the
    /// gateway was notified of the drain.
    fn time_past_grace(&self, attempt: &Attempt) -> Option<Duration> {
        let drained = self.record.drains.iter().find(|drained| {
            drained.store == attempt.store && drained.from <= attempt.at && attempt.at < drained.to
        })?;
        let cut_off = |from, to| {
            self.was_disturbed(attempt.gateway, &[Disturbance::Discovery, Disturbance::Clients], from, to)
        };
        // A gateway that is cut off cannot be notified; it counts as notified after the longest delay.
        let notified = if cut_off(drained.from.saturating_sub(MAX_NOTIFICATION_DELAY), attempt.at) {
            drained.from + MAX_NOTIFICATION_DELAY
        } else {
            drained.from
        };
        let late = attempt.at.checked_sub(notified + DRAIN_GRACE + LIMIT_SLACK + TEST_SLACK)?;
        (!late.is_zero()).then_some(late)
    }

    fn judge_stopped_clients(&self, report: &mut Report) {
        use Disturbance::{Clients, Drain, Killed};
        for stopped in &self.record.stopped_clients {
            let until = stopped.ended_at.unwrap_or(stopped.stopped_at + 2 * BAD_CLIENT_LIMIT);
            let disturbed =
                self.was_disturbed(stopped.gateway, &[Clients, Killed, Drain], stopped.stopped_at, until);
            if disturbed || self.test_was_held_up(stopped.stopped_at, until) {
                continue;
            }
            if until > stopped.stopped_at + BAD_CLIENT_LIMIT + TEST_SLACK {
                let StoppedClient { gateway, stopped_at, ended_at } = stopped;
                report(
                    Rule::BadClient,
                    format!(
                        "at gateway {gateway}, stopped at {stopped_at:?}, error or close at {ended_at:?}"
                    ),
                );
            }
        }
    }

    fn judge_processes(&self, report: &mut Report) {
        self.record.crashes.iter().for_each(|crash| report(Rule::Crash, crash.clone()));
        for exit in &self.record.exits {
            let Exit { gateway, sigterm_at, .. } = *exit;
            let killed_at = sigterm_at + exit.kill_after;
            let was_disturbed = self.was_disturbed(gateway, &[Disturbance::Clients], sigterm_at, killed_at);
            match exit.ended_at {
                Some(_) if exit.success => {}
                None if was_disturbed => {}
                // A gateway responds by 0.49 s after the longest deadline, and closes the remaining
                // connections within another 0.105 s and a third of that deadline. After a stall of 0.15 s it
                // may still be doing that at SIGKILL. Requests without a response at SIGKILL are judged by
                // the rules for requests.
                None if exit.held_up => {}
                None => {
                    let description =
                        format!("gateway {gateway} had not exited at SIGKILL; SIGTERM at {sigterm_at:?}");
                    report(Rule::Exit, description);
                }
                Some(at) => {
                    report(
                        Rule::Exit,
                        format!(
                            "gateway {gateway} exited with an error at {at:?}; SIGTERM at {sigterm_at:?}"
                        ),
                    );
                }
            }
        }
        for gateway in &self.record.unresponsive {
            report(Rule::Stuck, format!("gateway {gateway} serves nothing after the last fault"));
        }
    }
}
