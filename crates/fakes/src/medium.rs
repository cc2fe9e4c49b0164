//! A shard's data, which outlives the stores that serve it, and what keeps late dispatches from it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use bytes::Bytes;
use umbertray_control_plane::fence::{EpochCheck, Fences, OrderCheck};
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply, PAGE};
use umbertray_store_protocol::store::{Attempt, DataRange, OperationKind};

/// How long the marks of what ran and the voided numbers are kept after their fence in time, microseconds.
const KEPT: u64 = 10_000_000;

type Page = Box<[u8; PAGE]>;

/// Data of one shard in memory, with the fences that protect it from late attempts.
#[derive(Default)]
pub struct Medium {
    /// Pages by volume, extent and page within the extent.
    pages: HashMap<(u64, u64), BTreeMap<u32, Page>>,
    /// Dispatches that must not run, by gateway run and number; and ops that have run. Forgotten by time.
    voided: HashSet<(u64, u64)>,
    ran: HashMap<(u64, u64), Ran>,
    forget: BTreeMap<u64, Vec<(u64, u64, bool)>>,
    fences: Fences,
    /// What is to be copied for moves from here, by their number.
    following: BTreeMap<u64, Following>,
    /// How often anything has changed, and each extent's last change; while a range is incoming, those of its source.
    changes: u64,
    stamps: HashMap<(u64, u64), u64>,
}

/// Where an op ran, and until when that is kept.
#[derive(Clone, Copy)]
struct Ran {
    volume: u64,
    extent: u64,
    until: u64,
}

struct Following {
    span: ExtentRange,
    dirty: BTreeSet<u64>,
}

/// What applying a dispatch came to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Applied {
    /// Data read, as parts by offset: bytes, or the length of a hole.
    Read(Vec<(u32, Result<Bytes, u32>)>),
    /// Which parts of the range hold data.
    Status(Vec<DataRange>),
    /// Applied.
    Done,
    /// The op ran before, by another dispatch: a repeat changes nothing.
    Repeat,
    /// It is superseded, or past its time limit.
    Fenced,
    /// The range has moved, and has this epoch.
    Stale(u64),
    /// The gateway knows of a move of which the coordinator's word has not come yet.
    Early,
}

impl Medium {
    /// Marks what a dispatch voids, on its arrival.
    pub(crate) fn void(&mut self, run: u64, dispatch: &Attempt) {
        for number in &dispatch.supersedes {
            self.voided.insert((run, *number));
            self.forget.entry(dispatch.not_after + KEPT).or_default().push((run, *number, true));
        }
    }

    /// Whether an attempt may no longer run: past its time limit, or superseded.
    pub(crate) fn fenced(&self, clock: u64, run: u64, dispatch: &Attempt) -> bool {
        clock > dispatch.not_after || self.voided.contains(&(run, dispatch.number))
    }

    /// Applies a dispatch at the store's time `clock`, unless it is fenced off.
    pub(crate) fn apply(&mut self, clock: u64, run: u64, dispatch: &Attempt) -> Applied {
        while let Some(first) = self.forget.first_entry().filter(|first| *first.key() < clock) {
            for (run, number, void) in first.remove() {
                if void {
                    self.voided.remove(&(run, number));
                } else if self.ran.get(&(run, number)).is_some_and(|ran| ran.until < clock) {
                    self.ran.remove(&(run, number));
                }
            }
        }
        if self.fenced(clock, run, dispatch) {
            return Applied::Fenced;
        }
        let (volume, extent) = (dispatch.volume, dispatch.extent);
        if dispatch.kind != OperationKind::Flush {
            match self.fences.check(volume, extent, dispatch.epoch) {
                EpochCheck::Current => {}
                EpochCheck::Stale(epoch) => return Applied::Stale(epoch),
                EpochCheck::NotActiveYet => return Applied::Early,
            }
        }
        match dispatch.kind {
            OperationKind::Read => return Applied::Read(self.read(dispatch)),
            OperationKind::Status => return Applied::Status(self.status(dispatch)),
            OperationKind::Flush => return Applied::Done,
            OperationKind::Write | OperationKind::Zero | OperationKind::Trim => {}
        }
        if self.ran.contains_key(&(run, dispatch.op)) {
            return Applied::Repeat;
        }
        let until = dispatch.not_after + KEPT;
        self.mark((run, dispatch.op), Ran { volume, extent, until });
        self.change(dispatch);
        self.changed(volume, extent);
        Applied::Done
    }

    fn mark(&mut self, (run, op): (u64, u64), ran: Ran) {
        self.forget.entry(ran.until).or_default().push((run, op, false));
        self.ran.insert((run, op), ran);
    }

    fn changed(&mut self, volume: u64, extent: u64) {
        self.changes += 1;
        self.stamps.insert((volume, extent), self.changes);
        let followers =
            self.following.values_mut().filter(|following| following.span.contains(volume, extent));
        followers.for_each(|following| _ = following.dirty.insert(extent));
    }

    /// Takes a coordinator's order for the move of this number.
    pub(crate) fn order(&mut self, clock: u64, term: u64, number: u64, order: &Order) -> OrderReply {
        let fits = match self.fences.take(term, number, order) {
            Ok(fits) => fits,
            Err(reply) => return reply,
        };
        let span = *order.span();
        match order {
            Order::Prepare { .. } if fits == OrderCheck::Apply => self.empty(&span),
            Order::Prepare { .. } | Order::Sync { .. } | Order::Activate { .. } => {}
            Order::TrackChanges { .. } => return OrderReply::ExtentsLeft(self.follow(number, span)),
            Order::FetchNext { copied, .. } => return self.fetch(number, &span, *copied),
            Order::Put { content, .. } => self.put(&span, content),
            Order::Fence { .. } => {
                let left = self.following.get(&number).map_or(0, |following| following.dirty.len());
                return OrderReply::ExtentsLeft(left as u64);
            }
            Order::FetchExecuted { .. } => return OrderReply::ExecutedOps(self.marks(clock, &span)),
            Order::RecordExecuted { marks, .. } => {
                for ExecutedOp { gateway_run: run, op, extent, remembered_for: kept } in marks {
                    let ran = Ran { volume: span.volume, extent: *extent, until: clock + kept };
                    self.mark((*run, *op), ran);
                }
            }
            Order::Clear { .. } => {
                if self.fences.closed(&span) {
                    self.empty(&span);
                }
                self.following.remove(&number);
            }
            Order::Reactivate { .. } | Order::StopTracking { .. } => _ = self.following.remove(&number),
        }
        OrderReply::Done
    }

    fn empty(&mut self, span: &ExtentRange) {
        self.pages.retain(|(volume, extent), _| !span.contains(*volume, *extent));
        self.stamps.retain(|(volume, extent), _| !span.contains(*volume, *extent));
    }

    /// Hazard: a move begun anew copies again what it copied before; what was emptied since the first copy must not be
    /// left out, or the target would keep it. So nothing is struck off that is still to be copied.
    fn follow(&mut self, number: u64, span: ExtentRange) -> u64 {
        let held = self.pages.keys().filter(|(volume, extent)| span.contains(*volume, *extent));
        let held: Vec<u64> = held.map(|(_, extent)| *extent).collect();
        let following = self.following.entry(number).or_insert(Following { span, dirty: BTreeSet::new() });
        following.dirty.extend(held);
        following.dirty.len() as u64
    }

    fn fetch(&mut self, number: u64, span: &ExtentRange, copied: Option<(u64, u64)>) -> OrderReply {
        let Some(following) = self.following.get_mut(&number) else { return OrderReply::WrongState };
        let stamp = |extent: u64| self.stamps.get(&(span.volume, extent)).copied().unwrap_or_default();
        if let Some((extent, _)) = copied.filter(|(extent, copied)| stamp(*extent) == *copied) {
            following.dirty.remove(&extent);
        }
        // The one after what was copied last, so that a hot extent does not keep the others waiting.
        let after = copied.map_or(0, |(extent, _)| extent + 1);
        let next = following.dirty.range(after..).next().or(following.dirty.first()).copied();
        OrderReply::NextExtent(next.map(|extent| {
            let pages = self.pages.get(&(span.volume, extent)).into_iter().flatten();
            let pages = pages.map(|(page, bytes)| (*page, Bytes::copy_from_slice(&bytes[..]))).collect();
            ExtentContent { extent, change_count: stamp(extent), pages }
        }))
    }

    /// Hazard: an older copy that lay about must not undo a newer one.
    fn put(&mut self, span: &ExtentRange, content: &ExtentContent) {
        let at = (span.volume, content.extent);
        if self.stamps.get(&at).is_some_and(|held| *held > content.change_count) {
            return;
        }
        let page = |(number, bytes): &(u32, Bytes)| {
            let mut page = Box::new([0; PAGE]);
            page.copy_from_slice(bytes);
            (*number, page)
        };
        self.pages.insert(at, content.pages.iter().map(page).collect());
        self.stamps.insert(at, content.change_count);
        // Its own changes are counted on from there, so that no stamp comes twice.
        self.changes = self.changes.max(content.change_count);
    }

    fn marks(&self, clock: u64, span: &ExtentRange) -> Vec<ExecutedOp> {
        let here = self.ran.iter().filter(|(_, ran)| span.contains(ran.volume, ran.extent));
        let mark = |((run, op), ran): (&(u64, u64), &Ran)| ExecutedOp {
            gateway_run: *run,
            op: *op,
            extent: ran.extent,
            remembered_for: ran.until.saturating_sub(clock),
        };
        here.map(mark).collect()
    }

    /// Bytes of a span that lie here, in whole pages.
    pub fn holds(&self, span: &ExtentRange) -> usize {
        let here = self.pages.iter().filter(|((volume, extent), _)| span.contains(*volume, *extent));
        here.map(|(_, pages)| pages.len() * PAGE).sum()
    }

    fn change(&mut self, dispatch: &Attempt) {
        let pages = self.pages.entry((dispatch.volume, dispatch.extent)).or_default();
        let data = dispatch.data.as_ref();
        for (page, within, range) in spans(dispatch.offset, dispatch.length) {
            if dispatch.kind == OperationKind::Write {
                let page = pages.entry(page).or_insert_with(|| Box::new([0; PAGE]));
                page[within..within + range.len()].copy_from_slice(&data[range]);
            } else if range.len() == PAGE {
                pages.remove(&page);
            } else if let Some(page) = pages.get_mut(&page) {
                page[within..within + range.len()].fill(0);
            }
        }
    }

    /// The range in stretches: data, or the length of a hole.
    fn read(&self, dispatch: &Attempt) -> Vec<(u32, Result<Bytes, u32>)> {
        let pages = self.pages.get(&(dispatch.volume, dispatch.extent));
        let mut parts: Vec<(u32, Result<Vec<u8>, u32>)> = Vec::new();
        for (page, within, range) in spans(dispatch.offset, dispatch.length) {
            let at = dispatch.offset + range.start as u32;
            let found =
                pages.and_then(|pages| pages.get(&page)).map(|page| &page[within..within + range.len()]);
            match (found, parts.last_mut().map(|(_, part)| part)) {
                (Some(bytes), Some(Ok(last))) => last.extend_from_slice(bytes),
                (None, Some(Err(last))) => *last += range.len() as u32,
                (Some(bytes), _) => parts.push((at, Ok(bytes.to_vec()))),
                (None, _) => parts.push((at, Err(range.len() as u32))),
            }
        }
        parts.into_iter().map(|(at, part)| (at, part.map(Bytes::from))).collect()
    }

    fn status(&self, dispatch: &Attempt) -> Vec<DataRange> {
        let parts = self.read(dispatch).into_iter();
        let stretch = |part: Result<Bytes, u32>| match part {
            Ok(data) => DataRange { length: data.len() as u32, has_data: true },
            Err(length) => DataRange { length, has_data: false },
        };
        parts.map(|(_, part)| stretch(part)).collect()
    }
}

/// The pages of a range: page, offset within it, and the part of the range.
fn spans(offset: u32, length: u32) -> impl Iterator<Item = (u32, usize, std::ops::Range<usize>)> {
    let (offset, length) = (offset as usize, length as usize);
    let mut at = 0;
    std::iter::from_fn(move || {
        let within = (offset + at) % PAGE;
        let size = (PAGE - within).min(length - at);
        let span = ((offset + at) / PAGE) as u32;
        let range = at..at + size;
        at += size;
        (size > 0).then_some((span, within, range))
    })
}
