//! The simulator's wire on one side, the decision module on the other.

pub mod codec;
pub mod host;

use std::io::{self, Read, Write};

use codec::Malformed;

/// Answers frames until the input ends.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Malformed> {
    let mut host = host::Host::default();
    let lost = |error: io::Error| Malformed(format!("reply: {error}"));
    for frame_no in 0u64.. {
        let at = |Malformed(what)| Malformed(format!("frame {frame_no}: {what}"));
        let Some(frame) = read_frame(&mut input).map_err(at)? else {
            break;
        };
        let reply = codec::read_batch(&frame).and_then(|batch| host.handle(batch)).map_err(at)?;
        output.write_all(&reply.frame()).and_then(|()| output.flush()).map_err(lost)?;
    }
    Ok(())
}

fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, Malformed> {
    let mut length = Vec::with_capacity(4);
    let io = |error: io::Error| Malformed(format!("input: {error}"));
    input.take(4).read_to_end(&mut length).map_err(io)?;
    if length.is_empty() {
        return Ok(None);
    }
    let Ok(bytes) = <[u8; 4]>::try_from(length.as_slice()) else {
        return Err(Malformed("input ends inside the length field".into()));
    };
    let size = u32::from_le_bytes(bytes);
    let mut frame = Vec::new();
    input.take(size.into()).read_to_end(&mut frame).map_err(io)?;
    if frame.len() < size as usize {
        return Err(Malformed(format!("input ends after {} of {size} bytes", frame.len())));
    }
    Ok(Some(frame))
}
