//! Adapter between the simulator's wire protocol and the scheduler.
//!
//! [`codec`] decodes frames into records and encodes replies, [`host`] runs a scheduler for each instance.
//! The adapter itself makes no decisions.

pub mod codec;
pub mod error;
pub mod host;

use std::io::{Read, Write};

use error::{FrameError, ServeError};

/// Size in bytes of the length field before each frame.
const LENGTH_BYTES: usize = 4;

/// Responds to frames until the input ends.
///
/// # Errors
///
/// Serving ends at a frame that cannot be read or is malformed, or at a reply that cannot be written.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), ServeError> {
    let mut host = host::Host::default();
    for number in 0u64.. {
        let in_frame = |error| ServeError::Frame { number, error };
        let Some(frame) = read_frame(&mut input).map_err(in_frame)? else { break };
        let batch = codec::read_batch(&frame).map_err(|error| in_frame(error.into()))?;
        let reply = host.handle(batch).map_err(|error| in_frame(error.into()))?;
        let written = output.write_all(&reply.frame()).and_then(|()| output.flush());
        written.map_err(|error| ServeError::Write(error.to_string()))?;
    }
    Ok(())
}

/// Reads the next frame without its length field; `None` if the input ends before it.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let length = read_up_to(input, LENGTH_BYTES as u64)?;
    if length.is_empty() {
        return Ok(None);
    }
    let length = <[u8; LENGTH_BYTES]>::try_from(length.as_slice()).map_err(|_| FrameError::EndsInLength)?;
    let size = u32::from_le_bytes(length);
    let frame = read_up_to(input, size.into())?;
    if frame.len() < size as usize {
        return Err(FrameError::Truncated { read: frame.len(), size });
    }
    Ok(Some(frame))
}

fn read_up_to(input: &mut impl Read, limit: u64) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::new();
    input.take(limit).read_to_end(&mut bytes).map_err(|error| FrameError::Read(error.to_string()))?;
    Ok(bytes)
}
