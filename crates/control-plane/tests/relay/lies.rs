//! Relays that lie. Some tell another log and are right in all else; some send frames that no honest one does.

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
    /// True changes, and checkpoints of the right place with another state.
    FalseState,
    /// Nothing that was written since it began to lie.
    Old,
    /// Forged changes without end.
    Runaway,
    /// Bodies edited under the hashes that belong to them.
    Edited,
    /// Hashes edited.
    Hashes,
    /// Entries are left out; signs of life are not.
    Withheld,
    /// A version that is far from written.
    FarAhead,
    /// Versions that run backwards.
    Backwards,
    /// Frames without end.
    Endless,
    /// Empty parts without end.
    Empty,
    /// Bytes that are no frame.
    Noise,
    /// Whoever asks for a checkpoint is to come later, for ever.
    Later,
    /// Another checkpoint's bytes.
    Parts,
    /// A path that everyone is on.
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

    /// It tells a log of its own, as one that reads it from a folder.
    pub fn of_log(self) -> bool {
        matches!(self, Lie::Forged | Lie::OtherLog | Lie::FalseState | Lie::Old | Lie::Runaway)
    }

    /// What it sends in place of a frame; `nth` counts its frames.
    pub fn told(self, frame: FromUpstream, nth: u64, names: &[String]) -> Vec<Bytes> {
        let whole = |frames: Vec<FromUpstream>| frames.iter().map(Message::frame).collect();
        match (self, frame) {
            (Lie::Edited, FromUpstream::Entry { at, length, offset, part }) => {
                let mut edited = part.to_vec();
                edited.iter_mut().take(1).for_each(|byte| *byte ^= 1);
                whole(vec![FromUpstream::Entry { at, length, offset, part: edited.into() }])
            }
            (Lie::Hashes, FromUpstream::Entry { mut at, length, offset, part }) => {
                at.hash[0] ^= 1;
                whole(vec![FromUpstream::Entry { at, length, offset, part }])
            }
            (Lie::Hashes, FromUpstream::HashAt { mut at }) => {
                at.hash[0] ^= 1;
                whole(vec![FromUpstream::HashAt { at }])
            }
            (Lie::Withheld, FromUpstream::Entry { .. }) => Vec::new(),
            (Lie::FarAhead, FromUpstream::Head { head, oldest_version: from, checkpoint }) => {
                let head = Position { version: head.version + 1_000_000_000 + nth, hash: [9; 32] };
                let checkpoint = checkpoint.map(|held| Checkpoint { at: head, digest: [8; 32], ..held });
                whole(vec![FromUpstream::Head { head, oldest_version: from, checkpoint }])
            }
            (Lie::Backwards, FromUpstream::Head { head, oldest_version: from, checkpoint })
                if nth % 3 == 2 =>
            {
                let back = Position { version: head.version / 2, ..head };
                whole(vec![
                    FromUpstream::Head { head, oldest_version: from, checkpoint },
                    FromUpstream::Head { head: back, oldest_version: 0, checkpoint: None },
                ])
            }
            (Lie::Endless, frame) => {
                let mut frames = vec![frame];
                frames.resize(200, FromUpstream::Heartbeat);
                whole(frames)
            }
            (Lie::Empty, FromUpstream::Entry { at, .. }) => {
                let empty = FromUpstream::Entry { at, length: 9, offset: 0, part: Bytes::new() };
                whole(vec![empty; 50])
            }
            (Lie::Noise, FromUpstream::Entry { .. } | FromUpstream::Heartbeat) => {
                let mut noise = BytesMut::new();
                noise.put_u32(3);
                noise.put_slice(&[200, 1, 2]);
                vec![noise.freeze()]
            }
            (Lie::Later, FromUpstream::CheckpointPart { .. }) => {
                whole(vec![FromUpstream::RetryAfter { after: MAX_RETRY_AFTER.min(Duration::from_secs(60)) }])
            }
            (Lie::Parts, FromUpstream::CheckpointPart { version, offset, part }) => {
                whole(vec![FromUpstream::CheckpointPart {
                    version,
                    offset,
                    part: vec![7; part.len()].into(),
                }])
            }
            (Lie::Path, FromUpstream::Hello { name, .. }) => {
                let path = names.iter().take(15).cloned().chain([name.clone()]).collect();
                whole(vec![FromUpstream::Hello { name, path }])
            }
            (Lie::Name, FromUpstream::Hello { path, .. }) => {
                whole(vec![FromUpstream::Hello { name: names[0].clone(), path }])
            }
            (_, frame) => whole(vec![frame]),
        }
    }
}
