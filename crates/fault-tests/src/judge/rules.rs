//! The seven rules, each checked against the complete record. The name of rule 6 and the units of the verdict
//! call an attempt a dispatch.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use umbertray_fakes::event_log;
use umbertray_routing::Settings;
use umbertray_routing::settings::Idempotency;
use umbertray_store_protocol::volume_id;

use super::Finding;
use super::concurrent_events::concurrent_events;
use crate::record::{Asked, Outcome, Record, RequestKind, TestEvent};
use crate::script::Scenario;

/// An attempt as its store saw it.
pub(crate) struct Attempt {
    /// When it arrived, in microseconds since the record began.
    pub at: u64,
    pub store: u64,
    pub run: u64,
    pub number: u64,
    pub op: u64,
    pub volume: u64,
    pub extent: u64,
    pub units: f64,
    pub mark: u64,
    pub ran_at: Option<u64>,
    /// Time and result code of the store's response.
    pub response: Option<(u64, String)>,
}

/// The record with indexes over its attempts, writes and gateways.
pub(crate) struct IndexedRecord<'a> {
    pub scenario: &'a Scenario,
    pub record: &'a Record,
    pub settings: &'a Settings,
    pub slack: u64,
    /// In order of arrival.
    pub attempts: Vec<Attempt>,
    /// Write requests by mark.
    pub writes: HashMap<u64, &'a Asked>,
    /// Gateway of each run, where the mark of one of its writes identifies it.
    pub gateways_by_run: HashMap<u64, usize>,
}

/// Time before a breach of a plan's limit whose events the breach's text lists, in microseconds.
const LIMIT_CONTEXT_MICROS: u64 = 1_000_000;

pub(crate) fn micros(duration: std::time::Duration) -> u64 {
    duration.as_micros() as u64
}

impl<'a> IndexedRecord<'a> {
    pub(super) fn new(scenario: &'a Scenario, record: &'a Record) -> IndexedRecord<'a> {
        let mut attempts: Vec<Attempt> = Vec::new();
        let mut index: HashMap<(u64, u64), usize> = HashMap::new();
        for entry in &record.stores {
            match &entry.seen {
                event_log::StoreEvent::Received { run, number, op, volume, extent, units, mark, .. } => {
                    index.insert((*run, *number), attempts.len());
                    attempts.push(Attempt {
                        at: entry.at,
                        store: entry.store,
                        run: *run,
                        number: *number,
                        op: *op,
                        volume: *volume,
                        extent: *extent,
                        units: *units,
                        mark: *mark,
                        ran_at: None,
                        response: None,
                    });
                }
                event_log::StoreEvent::Ran { run, number } => {
                    if let Some(i) = index.get(&(*run, *number)) {
                        attempts[*i].ran_at = attempts[*i].ran_at.or(Some(entry.at));
                    }
                }
                event_log::StoreEvent::Answered { run, number, code } => {
                    if let Some(i) = index.get(&(*run, *number)) {
                        attempts[*i].response = Some((entry.at, code.clone()));
                    }
                }
                event_log::StoreEvent::Up { .. }
                | event_log::StoreEvent::Down
                | event_log::StoreEvent::Fell
                | event_log::StoreEvent::Ordered { .. } => {}
            }
        }
        let of_kind =
            |kind: RequestKind| record.client_requests.iter().filter(move |request| request.kind == kind);
        let writes: HashMap<u64, &Asked> =
            of_kind(RequestKind::Write).map(|request| (request.mark, request)).collect();
        let marked = attempts.iter().filter_map(|a| Some((a.run, writes.get(&a.mark)?.gateway)));
        let gateways_by_run = marked.collect();
        let slack = micros(scenario.slack);
        IndexedRecord {
            scenario,
            record,
            settings: &scenario.document.settings,
            slack,
            attempts,
            writes,
            gateways_by_run,
        }
    }

    pub(super) fn op_type(&self, request: &Asked) -> usize {
        self.settings.op_type(request.kind.operation_kind(), request.length)
    }

    /// End of the stall of the gateway that covers the time `at`.
    fn stalled_until(&self, gateway: usize, at: u64) -> Option<u64> {
        let stalls = self.record.events.iter().filter_map(|(from, event)| match event {
            TestEvent::Stalled { gateway: g, until } if *g == gateway => Some((*from, *until)),
            _ => None,
        });
        stalls.filter(|(from, until)| (*from..=*until).contains(&at)).map(|(_, until)| until).max()
    }
}

/// Rule 1: each request has one final response, in time; and no attempt of a write reaches a store after the
/// client has received the final response.
pub(crate) fn one_final_response(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("1 one final answer", "largest part of an op timeout used");
    for reply in &indexed.record.unmatched_replies {
        finding.breach(|| format!("reply without a pending request: {reply}"));
    }
    for request in &indexed.record.client_requests {
        finding.cases_checked += 1;
        let timeout = micros(indexed.settings.op_types[indexed.op_type(request)].op_timeout);
        if request.outcome == Outcome::Silent {
            finding.breach(|| format!("no response: {request:?}"));
        }
        if matches!(request.outcome, Outcome::Lost | Outcome::Silent) {
            continue;
        }
        // A request sent to a stalled gateway waits in the operating system's buffers, and no process can see
        // for how long: its timeout counts from when the gateway resumes. A gateway that is stalled when a
        // response is due must send it as soon as it resumes.
        let began = indexed.stalled_until(request.gateway, request.sent).unwrap_or(request.sent);
        let due = began + timeout;
        let due = indexed.stalled_until(request.gateway, due).unwrap_or(due);
        if request.ended > due + indexed.slack {
            finding.breach(|| {
                let events = concurrent_events(indexed.record, request.gateway, request.sent, request.ended);
                format!("response {} ms late: {request:?}; {events}", (request.ended - due) / 1000)
            });
        }
        finding.record_max((request.ended - request.sent) as f64 / timeout as f64);
    }
    for attempt in &indexed.attempts {
        let Some(request) =
            indexed.writes.get(&attempt.mark).filter(|request| request.outcome != Outcome::Lost)
        else {
            continue;
        };
        if attempt.at > request.ended + indexed.slack {
            finding.breach(|| {
                let Attempt { number, at, .. } = attempt;
                format!(
                    "attempt {number} reached its store at {at} us, after the final response: {request:?}"
                )
            });
        }
    }
    finding
}

/// Rule 2: a write runs at most once, and a once-only write is retried only if it certainly has not run.
pub(crate) fn at_most_one_effect(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("2 no effect twice", "most dispatches of a write");
    // Attempts are grouped by the client's mark, not by the op number that the gateway reports.
    let mut writes: BTreeMap<(u64, u64), Vec<&Attempt>> = BTreeMap::new();
    for attempt in indexed.attempts.iter().filter(|attempt| indexed.writes.contains_key(&attempt.mark)) {
        writes.entry((attempt.mark, attempt.extent)).or_default().push(attempt);
    }
    for ((mark, extent), dispatches) in writes {
        finding.cases_checked += 1;
        finding.record_max(dispatches.len() as f64);
        let ran = dispatches.iter().filter(|attempt| attempt.ran_at.is_some()).count();
        if ran > 1 {
            finding.breach(|| format!("write {mark} ran {ran} times in extent {extent}"));
        }
        let request = indexed.writes[&mark];
        if indexed.settings.op_types[indexed.op_type(request)].idempotency != Idempotency::NotIdempotent {
            continue;
        }
        let proven = |attempt: &&&Attempt| {
            let response = attempt.response.as_ref();
            response
                .is_some_and(|(_, code)| matches!(code.as_str(), "Full" | "Fenced" | "Elsewhere" | "Stale"))
        };
        let unproven = dispatches.iter().filter(|attempt| !proven(attempt)).count();
        if unproven > 1 {
            finding.breach(|| format!("once-only write {mark}: {unproven} attempts may have run"));
        }
        if request.outcome == Outcome::Throttled && unproven > 0 {
            finding.breach(|| format!("once-only write {mark} may have run and was throttled"));
        }
    }
    finding
}

/// Rule 3: no new attempt is sent to a draining or gone store after the drain grace.
pub(crate) fn drained_stores(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("3 drains are kept", "ms after the list told of the last new dispatch");
    let grace = micros(indexed.settings.rules.drain_grace);
    let mut delay = 0;
    // Store, start and end of each drain. The start includes the delay of the list service.
    let mut drains: Vec<(u64, u64, u64)> = Vec::new();
    for (at, event) in &indexed.record.events {
        match event {
            TestEvent::ListDelay { delay: now } => delay = *now,
            TestEvent::Barred { store } => drains.push((*store, *at + delay, u64::MAX)),
            TestEvent::Ready { store } => {
                let open = drains.iter_mut().filter(|(s, _, to)| s == store && *to == u64::MAX);
                open.for_each(|(_, _, to)| *to = *at);
            }
            _ => {}
        }
    }
    for (store, from, to) in drains {
        finding.cases_checked += 1;
        for attempt in indexed.attempts.iter().filter(|a| a.store == store && (from..to).contains(&a.at)) {
            // A stalled gateway learned of the drain when it resumed.
            let gateway = indexed.gateways_by_run.get(&attempt.run).copied();
            let notified = gateway.and_then(|g| indexed.stalled_until(g, from)).unwrap_or(from).max(from);
            let after = attempt.at.saturating_sub(notified);
            finding.record_max(after as f64 / 1000.0);
            if after > grace + indexed.slack {
                finding.breach(|| {
                    let events =
                        gateway.map(|gateway| concurrent_events(indexed.record, gateway, from, attempt.at));
                    let events = events.unwrap_or_default();
                    format!(
                        "attempt {} reached store {store} {} ms after its drain was announced; {events}",
                        attempt.number,
                        after / 1000
                    )
                });
            }
        }
    }
    finding
}

/// Rule 4: no cold store is overloaded. A cold store crashes when the load that arrives within a window
/// exceeds a multiple of its current capacity.
pub(crate) fn cold_stores(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("4 no cold store pushed over", "largest part of what a cold store bears");
    let performance = &indexed.scenario.store_performance;
    let window = (performance.crash_window_seconds * 1e6) as u64;
    let mut cold_starts: BTreeMap<u64, (u64, f64)> = BTreeMap::new();
    let mut recent: BTreeMap<u64, VecDeque<(u64, f64)>> = BTreeMap::new();
    for entry in &indexed.record.stores {
        match &entry.seen {
            event_log::StoreEvent::Up { units_a_second, cold: true } => {
                finding.cases_checked += 1;
                cold_starts.insert(entry.store, (entry.at, *units_a_second));
                recent.remove(&entry.store);
            }
            event_log::StoreEvent::Fell => finding.breach(|| {
                let (store, at) = (entry.store, entry.at);
                format!("store {store} crashed at {at} us under more load than a cold store can take")
            }),
            event_log::StoreEvent::Received { units, .. } => {
                let Some((started, units_a_second)) = cold_starts.get(&entry.store) else { continue };
                let age = (entry.at - started) as f64 / 1e6 / performance.warm_up_seconds;
                if age >= 1.0 {
                    continue;
                }
                let sent = recent.entry(entry.store).or_default();
                sent.push_back((entry.at, *units));
                while sent.front().is_some_and(|(at, _)| at + window < entry.at) {
                    sent.pop_front();
                }
                let sent: f64 = sent.iter().map(|(_, units)| units).sum();
                let warmth = performance.cold_speed_fraction + (1.0 - performance.cold_speed_fraction) * age;
                finding.record_max(
                    sent / (performance.crash_multiple
                        * units_a_second
                        * warmth
                        * performance.crash_window_seconds),
                );
            }
            _ => {}
        }
    }
    if finding.value > 1.0 {
        let figure = finding.value;
        finding.breach(|| format!("a cold store was sent {figure:.2} times the load that it can take"));
    }
    finding
}

/// Rule 5: for ordered op types, no attempt of a key is sent while an attempt of an earlier op is pending, or
/// before the order pause after an unknown outcome has passed.
pub(crate) fn order_by_key(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("5 order by key", "ms of the shortest wait after an unknown outcome");
    let pause = micros(indexed.settings.rules.key_pause);
    let mut by_key: HashMap<(u64, u64, u64), Vec<&Attempt>> = HashMap::new();
    let mut shortest = f64::INFINITY;
    for attempt in &indexed.attempts {
        let Some(request) = indexed.writes.get(&attempt.mark) else { continue };
        if !indexed.settings.op_types[indexed.op_type(request)].ordered_by_key {
            continue;
        }
        let earlier = by_key.entry((attempt.run, attempt.volume, attempt.extent)).or_default();
        for other in earlier.iter().filter(|other| other.op != attempt.op) {
            finding.cases_checked += 1;
            // A store records its response before sending it, so an attempt with a recorded response was no
            // longer pending, unless the response was lost on the way; in that case the order pause has
            // passed as well.
            if other.response.as_ref().is_some_and(|(at, _)| *at <= attempt.at) {
                continue;
            }
            let waited = attempt.at - other.at;
            shortest = shortest.min(waited as f64 / 1000.0);
            if waited < pause {
                let (a, b) = (attempt.number, other.number);
                finding.breach(|| {
                    format!(
                        "attempt {a} of run {} arrived while {b} of the same key was pending",
                        attempt.run
                    )
                });
            }
        }
        earlier.push(attempt);
    }
    finding.value = if shortest.is_finite() { shortest } else { 0.0 };
    finding
}

/// Rule 6: the further attempts of a gateway's run stay within the retry budget in any window.
pub(crate) fn retry_budget(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("6 budget of further dispatches", "largest part of the budget used");
    let Some(rule) = &indexed.settings.rules.retry_budget else { return finding };
    let window = micros(rule.window);
    let mut first_attempts: HashSet<(u64, u64)> = HashSet::new();
    let mut further: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    // An attempt rejected as stale, because its range had moved, never ran and does not count against the
    // budget.
    let stale = |attempt: &&Attempt| attempt.response.as_ref().is_some_and(|(_, code)| code == "Stale");
    for attempt in indexed.attempts.iter().filter(|attempt| !stale(attempt)) {
        if !first_attempts.insert((attempt.run, attempt.op)) {
            further.entry(attempt.run).or_default().push(attempt.at);
        }
    }
    for (run, times) in further {
        let Some(gateway) = indexed.gateways_by_run.get(&run) else { continue };
        for (i, at) in times.iter().enumerate() {
            finding.cases_checked += 1;
            let from = at.saturating_sub(window);
            let made = times[..=i].iter().filter(|time| **time >= from).count() as f64;
            // A gateway received the ops of a window from its clients within that window. The slack before
            // it can only add requests, so the allowed number is never too low.
            let received = indexed.record.client_requests.iter().filter(|request| {
                request.gateway == *gateway
                    && (from.saturating_sub(indexed.slack)..=*at).contains(&request.sent)
            });
            let received: u64 = received.map(|request| max_operations(indexed, request)).sum();
            let allowed = rule.reserve + rule.ratio * received as f64;
            finding.record_max(made / allowed.max(f64::MIN_POSITIVE));
            if made > allowed {
                finding
                    .breach(|| format!("run {run}: {made} further attempts where {allowed:.1} are allowed"));
            }
        }
    }
    finding
}

/// Most ops that a request can be split into: one per extent, and one per store for a flush.
fn max_operations(indexed: &IndexedRecord, request: &Asked) -> u64 {
    let size = u64::from(indexed.settings.extent_bytes);
    match request.kind {
        RequestKind::Flush => u64::from(indexed.scenario.stores),
        _ => (request.offset + u64::from(request.length) - 1) / size - request.offset / size + 1,
    }
}

/// Changes of a plan's limit: when each applies, its rate and its burst. A raised limit applies from the
/// start of its commit, since gateways may read it before the writer learns that the commit has finished. A
/// lowered limit applies once every gateway has had time to learn of it, counted from when the commit was
/// synced.
fn limit_changes(indexed: &IndexedRecord, plan: &str) -> Vec<(u64, f64, f64)> {
    let mut changes = Vec::new();
    for (at, event) in &indexed.record.events {
        let TestEvent::Limit { plan: changed_plan, rate, burst, began } = event else { continue };
        if changed_plan == plan {
            let lowered = changes.last().is_some_and(|(_, before, _)| rate < before);
            changes.push((if lowered { at + indexed.slack } else { *began }, *rate, *burst));
        }
    }
    changes
}

/// Rule 7: the first attempts of a volume's ops, through all gateways together, stay within the plan's limit.
pub(crate) fn volume_limits(indexed: &IndexedRecord) -> Finding {
    let mut finding = Finding::new("7 limits are kept", "units left at the least, below 0 within the slack");
    let mut least = f64::INFINITY;
    for volume in &indexed.settings.volumes {
        let Some(limit) = &indexed.settings.plans[volume.plan].limit else { continue };
        let (id, mut units_left, mut updated_at) = (volume_id(&volume.name), limit.burst, 0);
        let mut changes =
            limit_changes(indexed, &indexed.settings.plans[volume.plan].name).into_iter().peekable();
        let (mut rate, mut burst) = (limit.rate, limit.burst);
        let mut counted = HashSet::new();
        for attempt in indexed.attempts.iter().filter(|attempt| attempt.volume == id) {
            if !counted.insert((attempt.run, attempt.op)) {
                continue;
            }
            finding.cases_checked += 1;
            while let Some((at, new_rate, new_burst)) = changes.next_if(|(at, ..)| *at <= attempt.at) {
                let refill = rate * at.saturating_sub(updated_at) as f64 / 1e6;
                units_left = (units_left + refill).min(burst).min(new_burst);
                (rate, burst, updated_at) = (new_rate, new_burst, updated_at.max(at));
            }
            let refill = rate * (attempt.at - updated_at) as f64 / 1e6;
            units_left = (units_left + refill).min(burst) - attempt.units;
            updated_at = attempt.at;
            least = least.min(units_left);
            if units_left < -limit.slack {
                finding.breach(|| {
                    let gateway = indexed.gateways_by_run.get(&attempt.run).copied().unwrap_or(usize::MAX);
                    let from = attempt.at.saturating_sub(LIMIT_CONTEXT_MICROS);
                    let events = concurrent_events(indexed.record, gateway, from, attempt.at);
                    let (name, at) = (&volume.name, attempt.at);
                    format!("volume {name}: {units_left:.1} units left at {at} us; {events}")
                });
            }
        }
    }
    finding.value = if least.is_finite() { least } else { 0.0 };
    finding
}
