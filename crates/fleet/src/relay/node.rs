//! The node: events in, actions out.

use std::time::Duration;

use umbertray_store_wire::changes::{Position, Sums};

use super::{Action, Config, Event, Standing, Unsound};

/// A relay or gateway as a follower and, if a relay, as an upstream.
pub struct Node {
    config: Config,
    acted: Option<Position>,
}

impl Node {
    /// `acted` is what an earlier run had acted on: nothing before it is given out, and no other history.
    pub fn new(config: Config, acted: Option<Position>) -> Result<Node, Unsound> {
        Ok(Node { config, acted })
    }

    /// What is to be done about an event, in this order. `now` never goes back.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let _ = (now, event);
        Vec::new()
    }

    pub fn config(&self) -> &Config {
        &self.config
    }

    pub fn standing(&self) -> Standing {
        Standing {
            head: self.acted.unwrap_or_default(),
            checkpoint: None,
            from: 0,
            path: Vec::new(),
            followed: None,
            linked: Vec::new(),
            followers: 0,
            held_entries: 0,
            held_bytes: 0,
            sums: Sums::default(),
        }
    }
}
