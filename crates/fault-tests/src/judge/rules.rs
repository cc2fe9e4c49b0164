//! The seven rules, each over the whole record.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use umbertray_fakes::book;
use umbertray_routing::Settings;
use umbertray_routing::settings::Idempotency;
use umbertray_store_protocol::volume_id;

use super::Finding;
use super::surroundings::surroundings;
use crate::day::Day;
use crate::record::{Asked, Deed, Kind, Outcome, Record};

/// A dispatch as its store saw it.
pub(crate) struct Arrived {
    pub at: u64,
    pub store: u64,
    pub run: u64,
    pub number: u64,
    pub op: u64,
    pub volume: u64,
    pub extent: u64,
    pub units: f64,
    pub mark: u64,
    pub ran: Option<u64>,
    /// When and with what it was answered.
    pub answered: Option<(u64, String)>,
}

/// The record, put together.
pub(crate) struct Seen<'a> {
    pub day: &'a Day,
    pub record: &'a Record,
    pub settings: &'a Settings,
    pub slack: u64,
    /// In the order of arrival.
    pub arrived: Vec<Arrived>,
    /// Each write by its mark.
    pub writes: HashMap<u64, &'a Asked>,
    /// Which gateway a run is of, as far as its writes' marks tell.
    pub runs: HashMap<u64, usize>,
}

/// What happened in this time before a plan's limit was passed goes into the breach, microseconds.
const LIMIT_SURROUNDINGS: u64 = 1_000_000;

pub(crate) fn micros(span: std::time::Duration) -> u64 {
    span.as_micros() as u64
}

impl<'a> Seen<'a> {
    pub(super) fn new(day: &'a Day, record: &'a Record) -> Seen<'a> {
        let mut arrived: Vec<Arrived> = Vec::new();
        let mut index: HashMap<(u64, u64), usize> = HashMap::new();
        for entry in &record.stores {
            match &entry.seen {
                book::Seen::Received { run, number, op, volume, extent, units, mark, .. } => {
                    index.insert((*run, *number), arrived.len());
                    arrived.push(Arrived {
                        at: entry.at,
                        store: entry.store,
                        run: *run,
                        number: *number,
                        op: *op,
                        volume: *volume,
                        extent: *extent,
                        units: *units,
                        mark: *mark,
                        ran: None,
                        answered: None,
                    });
                }
                book::Seen::Ran { run, number } => {
                    if let Some(i) = index.get(&(*run, *number)) {
                        arrived[*i].ran = arrived[*i].ran.or(Some(entry.at));
                    }
                }
                book::Seen::Answered { run, number, code } => {
                    if let Some(i) = index.get(&(*run, *number)) {
                        arrived[*i].answered = Some((entry.at, code.clone()));
                    }
                }
                book::Seen::Up { .. } | book::Seen::Down | book::Seen::Fell | book::Seen::Ordered { .. } => {}
            }
        }
        let of_kind = |kind: Kind| record.asked.iter().filter(move |asked| asked.kind == kind);
        let writes: HashMap<u64, &Asked> = of_kind(Kind::Write).map(|asked| (asked.mark, asked)).collect();
        let marked = arrived.iter().filter_map(|a| Some((a.run, writes.get(&a.mark)?.gateway)));
        let runs = marked.collect();
        let slack = micros(day.slack);
        Seen { day, record, settings: &day.document.settings, slack, arrived, writes, runs }
    }

    pub(super) fn op_type(&self, asked: &Asked) -> usize {
        self.settings.op_type(asked.kind.work(), asked.length)
    }

    /// The end of a stand-still of the gateway that covers this moment.
    fn stalled(&self, gateway: usize, at: u64) -> Option<u64> {
        let stalls = self.record.deeds.iter().filter_map(|(from, deed)| match deed {
            Deed::Stalled { gateway: g, until } if *g == gateway => Some((*from, *until)),
            _ => None,
        });
        stalls.filter(|(from, until)| (*from..=*until).contains(&at)).map(|(_, until)| until).max()
    }
}

/// Rule 1: one final answer, in time; and nothing new reaches a store for a write after its client has its answer.
pub(crate) fn one_answer(seen: &Seen) -> Finding {
    let mut finding = Finding::new("1 one final answer", "largest part of an op timeout used");
    for stray in &seen.record.strays {
        finding.breach(|| format!("a reply to nothing: {stray}"));
    }
    for asked in &seen.record.asked {
        finding.looked += 1;
        let timeout = micros(seen.settings.op_types[seen.op_type(asked)].op_timeout);
        if asked.outcome == Outcome::Silent {
            finding.breach(|| format!("no answer: {asked:?}"));
        }
        if matches!(asked.outcome, Outcome::Lost | Outcome::Silent) {
            continue;
        }
        // What is sent to a gateway that stands still lies in the system's buffers, and no process can see for how long:
        // its time counts from where the gateway goes on. One that stands still when an answer is due must give
        // it as soon as it goes on.
        let began = seen.stalled(asked.gateway, asked.sent).unwrap_or(asked.sent);
        let due = began + timeout;
        let due = seen.stalled(asked.gateway, due).unwrap_or(due);
        if asked.ended > due + seen.slack {
            finding.breach(|| {
                let around = surroundings(seen.record, asked.gateway, asked.sent, asked.ended);
                format!("answered {} ms late: {asked:?}; {around}", (asked.ended - due) / 1000)
            });
        }
        finding.at_most((asked.ended - asked.sent) as f64 / timeout as f64);
    }
    for arrived in &seen.arrived {
        let Some(asked) = seen.writes.get(&arrived.mark).filter(|asked| asked.outcome != Outcome::Lost)
        else {
            continue;
        };
        if arrived.at > asked.ended + seen.slack {
            finding.breach(|| {
                format!("dispatch {} at {} after the answer: {asked:?}", arrived.number, arrived.at)
            });
        }
    }
    finding
}

/// Rule 2: a write runs once at most, and a once-only one is sent again only if it surely has not run.
pub(crate) fn no_effect_twice(seen: &Seen) -> Finding {
    let mut finding = Finding::new("2 no effect twice", "most dispatches of a write");
    // By the client's own mark, not by the gateway's word for the op.
    let mut writes: BTreeMap<(u64, u64), Vec<&Arrived>> = BTreeMap::new();
    for arrived in seen.arrived.iter().filter(|arrived| seen.writes.contains_key(&arrived.mark)) {
        writes.entry((arrived.mark, arrived.extent)).or_default().push(arrived);
    }
    for ((mark, extent), dispatches) in writes {
        finding.looked += 1;
        finding.at_most(dispatches.len() as f64);
        let ran = dispatches.iter().filter(|arrived| arrived.ran.is_some()).count();
        if ran > 1 {
            finding.breach(|| format!("write {mark} ran {ran} times in extent {extent}"));
        }
        let asked = seen.writes[&mark];
        if seen.settings.op_types[seen.op_type(asked)].idempotency != Idempotency::NotIdempotent {
            continue;
        }
        let proven = |arrived: &&&Arrived| {
            let answered = arrived.answered.as_ref();
            answered
                .is_some_and(|(_, code)| matches!(code.as_str(), "Full" | "Fenced" | "Elsewhere" | "Stale"))
        };
        let unproven = dispatches.iter().filter(|arrived| !proven(arrived)).count();
        if unproven > 1 {
            finding.breach(|| format!("once-only write {mark}: {unproven} dispatches may have run"));
        }
        if asked.outcome == Outcome::Throttled && unproven > 0 {
            finding.breach(|| format!("once-only write {mark} may have run and was throttled"));
        }
    }
    finding
}

/// Rule 3: nothing new to a store draining or gone after the grace.
pub(crate) fn drains(seen: &Seen) -> Finding {
    let mut finding = Finding::new("3 drains are kept", "ms after the list told of the last new dispatch");
    let grace = micros(seen.settings.rules.drain_grace);
    let mut delay = 0;
    let mut barred: Vec<(u64, u64, u64)> = Vec::new();
    for (at, deed) in &seen.record.deeds {
        match deed {
            Deed::ListDelay { delay: now } => delay = *now,
            Deed::Barred { store } => barred.push((*store, *at + delay, u64::MAX)),
            Deed::Ready { store } => {
                barred.iter_mut().filter(|(s, _, to)| s == store && *to == u64::MAX).for_each(|b| b.2 = *at);
            }
            _ => {}
        }
    }
    for (store, from, to) in barred {
        finding.looked += 1;
        for arrived in seen.arrived.iter().filter(|a| a.store == store && (from..to).contains(&a.at)) {
            // A gateway that stood still learned of it when it went on.
            let gateway = seen.runs.get(&arrived.run).copied();
            let told = gateway.and_then(|g| seen.stalled(g, from)).unwrap_or(from).max(from);
            let after = arrived.at.saturating_sub(told);
            finding.at_most(after as f64 / 1000.0);
            if after > grace + seen.slack {
                finding.breach(|| {
                    let around = gateway.map(|gateway| surroundings(seen.record, gateway, from, arrived.at));
                    let around = around.unwrap_or_default();
                    format!(
                        "dispatch {} to store {store}, {} ms after; {around}",
                        arrived.number,
                        after / 1000
                    )
                });
            }
        }
    }
    finding
}

/// Rule 4: no cold store is pushed over.
pub(crate) fn cold_stores(seen: &Seen) -> Finding {
    let mut finding = Finding::new("4 no cold store pushed over", "largest part of what a cold store bears");
    let power = &seen.day.power;
    let window = (power.fall_s * 1e6) as u64;
    let mut ups: BTreeMap<u64, (u64, f64)> = BTreeMap::new();
    let mut recent: BTreeMap<u64, VecDeque<(u64, f64)>> = BTreeMap::new();
    for entry in &seen.record.stores {
        match &entry.seen {
            book::Seen::Up { units_a_second, cold: true } => {
                finding.looked += 1;
                ups.insert(entry.store, (entry.at, *units_a_second));
                recent.remove(&entry.store);
            }
            book::Seen::Fell => finding.breach(|| format!("store {} at {} fell", entry.store, entry.at)),
            book::Seen::Received { units, .. } => {
                let Some((up, units_a_second)) = ups.get(&entry.store) else { continue };
                let age = (entry.at - up) as f64 / 1e6 / power.cold_s;
                if age >= 1.0 {
                    continue;
                }
                let sent = recent.entry(entry.store).or_default();
                sent.push_back((entry.at, *units));
                while sent.front().is_some_and(|(at, _)| at + window < entry.at) {
                    sent.pop_front();
                }
                let sent: f64 = sent.iter().map(|(_, units)| units).sum();
                let warmth = power.cold_from + (1.0 - power.cold_from) * age;
                finding.at_most(sent / (power.fall_multiple * units_a_second * warmth * power.fall_s));
            }
            _ => {}
        }
    }
    if finding.figure > 1.0 {
        let figure = finding.figure;
        finding.breach(|| format!("a cold store was sent {figure:.2} times what it bears"));
    }
    finding
}

/// Rule 5: for op types in order, nothing of a key goes out while an earlier op's dispatch is out, or rests.
pub(crate) fn order(seen: &Seen) -> Finding {
    let mut finding = Finding::new("5 order by key", "ms of the shortest wait after an unknown outcome");
    let pause = micros(seen.settings.rules.order_pause);
    let mut open: HashMap<(u64, u64, u64), Vec<&Arrived>> = HashMap::new();
    let mut shortest = f64::INFINITY;
    for arrived in &seen.arrived {
        let Some(asked) = seen.writes.get(&arrived.mark) else { continue };
        if !seen.settings.op_types[seen.op_type(asked)].ordered_by_key {
            continue;
        }
        let earlier = open.entry((arrived.run, arrived.volume, arrived.extent)).or_default();
        for other in earlier.iter().filter(|other| other.op != arrived.op) {
            finding.looked += 1;
            // The store's books are written before the answer leaves: an answered one was surely not out, unless its
            // answer was lost on the way, and then the pause has passed as well.
            if other.answered.as_ref().is_some_and(|(at, _)| *at <= arrived.at) {
                continue;
            }
            let waited = arrived.at - other.at;
            shortest = shortest.min(waited as f64 / 1000.0);
            if waited < pause {
                let (a, b) = (arrived.number, other.number);
                finding
                    .breach(|| format!("dispatch {a} of run {} while {b} of its key was out", arrived.run));
            }
        }
        earlier.push(arrived);
    }
    finding.figure = if shortest.is_finite() { shortest } else { 0.0 };
    finding
}

/// Rule 6: a run's further dispatches stay within the budget in any span.
pub(crate) fn budget(seen: &Seen) -> Finding {
    let mut finding = Finding::new("6 budget of further dispatches", "largest part of the budget used");
    let Some(rule) = &seen.settings.rules.retry_budget else { return finding };
    let span = micros(rule.window);
    let mut firsts: HashSet<(u64, u64)> = HashSet::new();
    let mut further: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    // What was turned away since its range had moved never ran and is no dispatch in vain.
    let stale = |arrived: &&Arrived| arrived.answered.as_ref().is_some_and(|(_, code)| code == "Stale");
    for arrived in seen.arrived.iter().filter(|arrived| !stale(arrived)) {
        if !firsts.insert((arrived.run, arrived.op)) {
            further.entry(arrived.run).or_default().push(arrived.at);
        }
    }
    for (run, times) in further {
        let Some(gateway) = seen.runs.get(&run) else { continue };
        for (i, at) in times.iter().enumerate() {
            finding.looked += 1;
            let from = at.saturating_sub(span);
            let made = times[..=i].iter().filter(|time| **time >= from).count() as f64;
            // What a gateway took came from its clients within the span; the slack lets in a little more, never less.
            let taken = seen.record.asked.iter().filter(|asked| {
                asked.gateway == *gateway && (from.saturating_sub(seen.slack)..=*at).contains(&asked.sent)
            });
            let taken: u64 = taken.map(|asked| pieces(seen, asked)).sum();
            let allowed = rule.reserve + rule.ratio * taken as f64;
            finding.at_most(made / allowed.max(f64::MIN_POSITIVE));
            if made > allowed {
                finding.breach(|| {
                    format!("run {run}: {made} further dispatches where {allowed:.1} are allowed")
                });
            }
        }
    }
    finding
}

/// How many ops a request is at most.
fn pieces(seen: &Seen, asked: &Asked) -> u64 {
    let size = u64::from(seen.settings.extent_bytes);
    match asked.kind {
        Kind::Flush => u64::from(seen.day.stores),
        _ => (asked.offset + u64::from(asked.length) - 1) / size - asked.offset / size + 1,
    }
}

/// When a plan's limit is in force as what: a raised one from where its commit began, since gateways may read it before the
/// writer hears of its end; a lowered one when every gateway has had time to hear of it, counted from the commit's synced end.
fn limit_changes(seen: &Seen, plan: &str) -> Vec<(u64, f64, f64)> {
    let mut changes = Vec::new();
    for (at, deed) in &seen.record.deeds {
        let Deed::Limit { plan: of, rate, burst, began } = deed else { continue };
        if of == plan {
            let lowered = changes.last().is_some_and(|(_, before, _)| rate < before);
            changes.push((if lowered { at + seen.slack } else { *began }, *rate, *burst));
        }
    }
    changes
}

/// Rule 7: a volume's first dispatches through all gateways stay within its plan's limit.
pub(crate) fn limits(seen: &Seen) -> Finding {
    let mut finding = Finding::new("7 limits are kept", "units left at the least, below 0 within the slack");
    let mut least = f64::INFINITY;
    for volume in &seen.settings.volumes {
        let Some(limit) = &seen.settings.plans[volume.plan].limit else { continue };
        let (id, mut left, mut last) = (volume_id(&volume.name), limit.burst, 0);
        let mut changes = limit_changes(seen, &seen.settings.plans[volume.plan].name).into_iter().peekable();
        let (mut rate, mut burst) = (limit.rate, limit.burst);
        let mut known = HashSet::new();
        for arrived in seen.arrived.iter().filter(|arrived| arrived.volume == id) {
            if !known.insert((arrived.run, arrived.op)) {
                continue;
            }
            finding.looked += 1;
            while let Some((at, now, most)) = changes.next_if(|(at, ..)| *at <= arrived.at) {
                left = (left + rate * at.saturating_sub(last) as f64 / 1e6).min(burst).min(most);
                (rate, burst, last) = (now, most, last.max(at));
            }
            left = (left + rate * (arrived.at - last) as f64 / 1e6).min(burst) - arrived.units;
            last = arrived.at;
            least = least.min(left);
            if left < -limit.slack {
                finding.breach(|| {
                    let gateway = seen.runs.get(&arrived.run).copied().unwrap_or(usize::MAX);
                    let from = arrived.at.saturating_sub(LIMIT_SURROUNDINGS);
                    let around = surroundings(seen.record, gateway, from, arrived.at);
                    format!("volume {}: {left:.1} units left at {}; {around}", volume.name, arrived.at)
                });
            }
        }
    }
    finding.figure = if least.is_finite() { least } else { 0.0 };
    finding
}
