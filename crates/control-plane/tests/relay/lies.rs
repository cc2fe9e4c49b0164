//! Relays that lie. Some serve another log and are correct in all else; some send frames that no honest relay sends.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use umbertray_store_protocol::Message;
use umbertray_store_protocol::changes::{Checkpoint, FromUpstream, MAX_RETRY_AFTER, Position};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
    /// Changes that nobody wrote, chained to those that were written.
    Forged,
    /// Another history from the beginning on.
    OtherLog,
    /// True changes, and checkpoints at the right position with another state.
    FalseState,
    /// Nothing that was written since it began to lie.
    Old,
    /// Forged changes without end.
    Runaway,
    /// Bodies edited under the hashes that belong to them.
    Edited,
    /// Hashes edited.
    Hashes,
    /// Entries are left out; heartbeats are not.
    Withheld,
    /// A version far ahead of what was written.
    FarAhead,
    /// Versions that run backwards.
    Backwards,
    /// Frames without end.
    Endless,
    /// Empty parts without end.
    Empty,
    /// Bytes that are no frame.
    Noise,
    /// Every request for a checkpoint is answered with a time to retry.
    Later,
    /// Another checkpoint's bytes.
    Parts,
    /// A path with all names on it.
    Path,
    /// Another's name.
    Name,
}

impl Lie {
    pub const ALL: [Lie; 17] = [
        Lie::Forged,
        Lie::OtherLog,
        Lie::FalseState,
        Lie::Old,
        Lie::Runaway,
        Lie::Edited,
        Lie::Hashes,
        Lie::Withheld,
        Lie::FarAhead,
        Lie::Backwards,
        Lie::Endless,
        Lie::Empty,
        Lie::Noise,
        Lie::Later,
        Lie::Parts,
        Lie::Path,
        Lie::Name,
    ];

    /// Whether it serves a log of its own, as if it read it from a folder.
    pub fn of_log(self) -> bool {
        matches!(self, Lie::Forged | Lie::OtherLog | Lie::FalseState | Lie::Old | Lie::Runaway)
    }

    /// What it sends in place of a frame; `nth` counts its frames.
    pub fn falsify(self, frame: FromUpstream, nth: u64, names: &[String]) -> Vec<Bytes> {
        let frames = match frame {
            FromUpstream::Entry { .. } => self.falsify_entry(frame),
            FromUpstream::Head { head, oldest_version, checkpoint } => {
                self.falsify_head(head, oldest_version, checkpoint, nth)
            }
            FromUpstream::CheckpointPart { version, offset, part } => {
                self.falsify_checkpoint_part(version, offset, part)
            }
            FromUpstream::Hello { name, path } => self.falsify_hello(name, path, names),
            FromUpstream::HashAt { mut at } if self == Lie::Hashes => {
                at.hash[0] ^= 1;
                vec![FromUpstream::HashAt { at }]
            }
            FromUpstream::Heartbeat if self == Lie::Noise => return vec![noise()],
            frame => vec![frame],
        };
        match self {
            Lie::Noise if frames.is_empty() => vec![noise()],
            Lie::Endless => {
                let heartbeats = std::iter::repeat_n(FromUpstream::Heartbeat, 199);
                frames.iter().map(Message::frame).chain(heartbeats.map(|frame| frame.frame())).collect()
            }
            _ => frames.iter().map(Message::frame).collect(),
        }
    }

    fn falsify_entry(self, frame: FromUpstream) -> Vec<FromUpstream> {
        let FromUpstream::Entry { mut at, length, offset, part } = frame else { return vec![frame] };
        match self {
            Lie::Edited => {
                let mut edited = part.to_vec();
                edited.iter_mut().take(1).for_each(|byte| *byte ^= 1);
                vec![FromUpstream::Entry { at, length, offset, part: edited.into() }]
            }
            Lie::Hashes => {
                at.hash[0] ^= 1;
                vec![FromUpstream::Entry { at, length, offset, part }]
            }
            Lie::Withheld | Lie::Noise => Vec::new(),
            Lie::Empty => vec![FromUpstream::Entry { at, length: 9, offset: 0, part: Bytes::new() }; 50],
            _ => vec![FromUpstream::Entry { at, length, offset, part }],
        }
    }

    fn falsify_head(
        self,
        head: Position,
        oldest_version: u64,
        checkpoint: Option<Checkpoint>,
        nth: u64,
    ) -> Vec<FromUpstream> {
        let told = FromUpstream::Head { head, oldest_version, checkpoint };
        match self {
            Lie::FarAhead => {
                let head = Position { version: head.version + 1_000_000_000 + nth, hash: [9; 32] };
                let checkpoint = checkpoint.map(|held| Checkpoint { at: head, digest: [8; 32], ..held });
                vec![FromUpstream::Head { head, oldest_version, checkpoint }]
            }
            Lie::Backwards if nth % 3 == 2 => {
                let back = Position { version: head.version / 2, ..head };
                vec![told, FromUpstream::Head { head: back, oldest_version: 0, checkpoint: None }]
            }
            _ => vec![told],
        }
    }

    fn falsify_checkpoint_part(self, version: u64, offset: u32, part: Bytes) -> Vec<FromUpstream> {
        match self {
            Lie::Later => {
                vec![FromUpstream::RetryAfter { after: MAX_RETRY_AFTER.min(Duration::from_secs(60)) }]
            }
            Lie::Parts => {
                vec![FromUpstream::CheckpointPart { version, offset, part: vec![7; part.len()].into() }]
            }
            _ => vec![FromUpstream::CheckpointPart { version, offset, part }],
        }
    }

    fn falsify_hello(self, name: String, path: Vec<String>, names: &[String]) -> Vec<FromUpstream> {
        match self {
            Lie::Path => {
                let path = names.iter().take(15).cloned().chain([name.clone()]).collect();
                vec![FromUpstream::Hello { name, path }]
            }
            Lie::Name => vec![FromUpstream::Hello { name: names[0].clone(), path }],
            _ => vec![FromUpstream::Hello { name, path }],
        }
    }
}

/// Bytes that are no frame.
fn noise() -> Bytes {
    let mut noise = BytesMut::new();
    noise.put_u32(3);
    noise.put_slice(&[200, 1, 2]);
    noise.freeze()
}
