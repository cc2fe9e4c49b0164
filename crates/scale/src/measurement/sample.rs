//! All counters of a fleet at one instant.

use std::time::Instant;

use umbertray_fakes::traffic::Crossed;

use super::Stage;
use super::usage::{Used, used};
use crate::ScaleError;
use crate::crew::Worker;
use crate::relays::Relays;

/// All that is counted, at one instant.
pub(super) struct Sample {
    pub(super) at: Instant,
    pub(super) workers: Vec<Used>,
    pub(super) real: Vec<Used>,
    pub(super) keeper: Used,
    pub(super) relays: Vec<Used>,
    pub(super) list: Used,
    pub(super) stores: Vec<Used>,
    pub(super) list_traffic: Crossed,
    pub(super) link_traffic: Crossed,
    pub(super) turns: u64,
}

impl Stage {
    /// Reads all counters.
    pub(super) async fn sample(&mut self) -> Result<Sample, ScaleError> {
        let (list_traffic, link_traffic) = self.traffic().await?;
        let (_, turns) = self.look().await?;
        let of = |workers: &[Worker]| workers.iter().map(|worker| used(worker.id())).collect();
        Ok(Sample {
            at: Instant::now(),
            workers: of(&self.workers),
            real: self.real.iter().map(|process| used(process.id())).collect(),
            keeper: used(self.keeper.id()),
            relays: self.relays.iter().flat_map(Relays::ids).map(used).collect(),
            list: used(self.list.id()),
            stores: of(&self.stores),
            list_traffic,
            link_traffic,
            turns,
        })
    }
}
