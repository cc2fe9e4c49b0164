//! The ways in which a relay may lie. Some lying relays serve a false log and behave correctly otherwise;
//! others send frames that no honest relay sends.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use umbertray_store_protocol::Message;
use umbertray_store_protocol::changes::{Checkpoint, FromUpstream, MAX_RETRY_AFTER, Position};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
    /// Serves changes that the writer did not write, chained to changes that it did write.
    Forged,
    /// Serves another history from the first version on.
    OtherLog,
    /// Serves true changes, but checkpoints at the right position with another state.
    FalseState,
    /// Serves no change that was written after it started to lie.
    Old,
    /// Serves forged changes without end.
    Runaway,
    /// Edits the bodies of entries and sends them with their original hashes.
    Edited,
    /// Edits the hashes of entries and of responses to hash queries.
    Hashes,
    /// Sends heartbeats but no entries.
    Withheld,
    /// Announces a version far ahead of the newest one.
    FarAhead,
    /// Announces versions that decrease.
    Backwards,
    /// Sends frames without end.
    Endless,
    /// Sends empty parts without end.
    Empty,
    /// Sends bytes that are not a frame.
    Noise,
    /// Answers every request for a checkpoint with a time to retry.
    Later,
    /// Sends bytes that are not those of the requested checkpoint.
    Parts,
    /// Announces a path that contains the names of many members.
    Path,
    /// Uses the name of another member.
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

    /// Whether the relay serves a separate false log, as if it read that log from a folder.
    pub fn of_log(self) -> bool {
        matches!(self, Lie::Forged | Lie::OtherLog | Lie::FalseState | Lie::Old | Lie::Runaway)
    }

    /// The frames that it sends in place of a frame; `nth` is the number of frames it has sent so far.
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
            FromUpstream::HashAt { mut position } if self == Lie::Hashes => {
                position.hash[0] ^= 1;
                vec![FromUpstream::HashAt { position }]
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
        let FromUpstream::Entry { mut position, length, offset, part } = frame else { return vec![frame] };
        match self {
            Lie::Edited => {
                let mut edited = part.to_vec();
                edited.iter_mut().take(1).for_each(|byte| *byte ^= 1);
                vec![FromUpstream::Entry { position, length, offset, part: edited.into() }]
            }
            Lie::Hashes => {
                position.hash[0] ^= 1;
                vec![FromUpstream::Entry { position, length, offset, part }]
            }
            Lie::Withheld | Lie::Noise => Vec::new(),
            Lie::Empty => {
                vec![FromUpstream::Entry { position, length: 9, offset: 0, part: Bytes::new() }; 50]
            }
            _ => vec![FromUpstream::Entry { position, length, offset, part }],
        }
    }

    fn falsify_head(
        self,
        head: Position,
        oldest_version: u64,
        checkpoint: Option<Checkpoint>,
        nth: u64,
    ) -> Vec<FromUpstream> {
        let truth = FromUpstream::Head { head, oldest_version, checkpoint };
        match self {
            Lie::FarAhead => {
                let head = Position { version: head.version + 1_000_000_000 + nth, hash: [9; 32] };
                let checkpoint =
                    checkpoint.map(|held| Checkpoint { position: head, digest: [8; 32], ..held });
                vec![FromUpstream::Head { head, oldest_version, checkpoint }]
            }
            Lie::Backwards if nth % 3 == 2 => {
                let back = Position { version: head.version / 2, ..head };
                vec![truth, FromUpstream::Head { head: back, oldest_version: 0, checkpoint: None }]
            }
            _ => vec![truth],
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

/// Bytes that are not a valid frame.
fn noise() -> Bytes {
    let mut noise = BytesMut::new();
    noise.put_u32(3);
    noise.put_slice(&[200, 1, 2]);
    noise.freeze()
}
