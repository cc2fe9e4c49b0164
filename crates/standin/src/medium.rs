//! A shard's data, which outlives the stores that serve it, and what keeps late dispatches from it.

use std::collections::{BTreeMap, HashMap, HashSet};

use bytes::Bytes;
use umbertray_store_wire::store::{Dispatch, Stretch, Work};

const PAGE: usize = 4096;

/// How long the marks of what ran and the voided numbers are kept after their fence in time, microseconds.
const KEPT: u64 = 10_000_000;

type Page = Box<[u8; PAGE]>;

#[derive(Default)]
pub struct Medium {
    /// Pages by volume, extent and page within the extent.
    pages: HashMap<(u64, u64), BTreeMap<u32, Page>>,
    /// Dispatches that must not run, by gateway run and number; and ops that have run. Forgotten by time.
    voided: HashSet<(u64, u64)>,
    ran: HashSet<(u64, u64)>,
    forget: BTreeMap<u64, Vec<(u64, u64, bool)>>,
}

/// What applying a dispatch came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    Read(Vec<(u32, Result<Bytes, u32>)>),
    Status(Vec<Stretch>),
    Done,
    /// The op ran before, by another dispatch: a repeat changes nothing.
    Repeat,
    Fenced,
}

impl Medium {
    /// Marks what a dispatch voids, on its arrival.
    pub fn void(&mut self, run: u64, dispatch: &Dispatch) {
        for number in &dispatch.voids {
            self.voided.insert((run, *number));
            self.forget.entry(dispatch.not_after + KEPT).or_default().push((run, *number, true));
        }
    }

    pub fn fenced(&self, clock: u64, run: u64, dispatch: &Dispatch) -> bool {
        clock > dispatch.not_after || self.voided.contains(&(run, dispatch.number))
    }

    /// Applies a dispatch at the store's time `clock`, unless it is fenced off.
    pub fn apply(&mut self, clock: u64, run: u64, dispatch: &Dispatch) -> Applied {
        while let Some(first) = self.forget.first_entry().filter(|first| *first.key() < clock) {
            for (run, number, void) in first.remove() {
                if void { &mut self.voided } else { &mut self.ran }.remove(&(run, number));
            }
        }
        if self.fenced(clock, run, dispatch) {
            return Applied::Fenced;
        }
        match dispatch.work {
            Work::Read => return Applied::Read(self.read(dispatch)),
            Work::Status => return Applied::Status(self.status(dispatch)),
            Work::Flush => return Applied::Done,
            Work::Write | Work::Zero | Work::Trim => {}
        }
        if !self.ran.insert((run, dispatch.op)) {
            return Applied::Repeat;
        }
        self.forget.entry(dispatch.not_after + KEPT).or_default().push((run, dispatch.op, false));
        self.change(dispatch);
        Applied::Done
    }

    fn change(&mut self, dispatch: &Dispatch) {
        let pages = self.pages.entry((dispatch.volume, dispatch.extent)).or_default();
        let data = dispatch.data.as_ref();
        for (page, within, range) in spans(dispatch.offset, dispatch.length) {
            if dispatch.work == Work::Write {
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
    fn read(&self, dispatch: &Dispatch) -> Vec<(u32, Result<Bytes, u32>)> {
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

    fn status(&self, dispatch: &Dispatch) -> Vec<Stretch> {
        let parts = self.read(dispatch).into_iter();
        let stretch = |part: Result<Bytes, u32>| match part {
            Ok(data) => Stretch { length: data.len() as u32, data: true },
            Err(length) => Stretch { length, data: false },
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
