//! A peer of the coordinator or of the list's directory, as a gateway is one: it claims extents and looks them
//! up (docs/store-protocol.md). Only the standard library is used.
#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MAGIC: u32 = 0x554d_4254;
const VERSION: u16 = 2;

/// A volume's number on the wire: FNV-1a of its name.
pub fn volume_number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Where an extent lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub shard: u32,
    pub epoch: u64,
}

/// A connection to the coordinator, or to the list's directory.
pub struct Directory {
    stream: TcpStream,
    /// The term that it told: 0 of a list without a coordinator.
    pub term: u64,
    next_token: u64,
}

fn frame(kind: u8, fields: &[u8]) -> Vec<u8> {
    let mut bytes = ((fields.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend(fields);
    bytes
}

fn read_frame(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut bytes)?;
    let kind = bytes.remove(0);
    Ok((kind, bytes))
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

fn read_place(fields: &[u8]) -> Option<Place> {
    (fields.get(8) == Some(&1))
        .then(|| Place { shard: number(&fields[9..13]) as u32, epoch: number(&fields[13..21]) })
}

impl Directory {
    pub fn connect(address: SocketAddr) -> io::Result<Directory> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut hello = MAGIC.to_be_bytes().to_vec();
        hello.extend(VERSION.to_be_bytes());
        hello.extend(77u64.to_be_bytes());
        stream.write_all(&frame(1, &hello))?;
        let (kind, fields) = read_frame(&mut stream)?;
        if kind != 65 {
            return Err(io::Error::other("no welcome"));
        }
        Ok(Directory { stream, term: number(&fields[6..14]), next_token: 1 })
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn claim_frame(&mut self, volume: u64, extent: u64, shard: u32) -> Vec<u8> {
        let mut fields = self.token().to_be_bytes().to_vec();
        fields.extend(volume.to_be_bytes());
        fields.extend(extent.to_be_bytes());
        fields.extend(shard.to_be_bytes());
        frame(5, &fields)
    }

    fn place(&mut self) -> io::Result<Option<Place>> {
        loop {
            let (kind, fields) = read_frame(&mut self.stream)?;
            if kind == 69 {
                return Ok(read_place(&fields));
            }
        }
    }

    /// Claims an extent for a shard; returns where it lies.
    pub fn claim(&mut self, volume: u64, extent: u64, shard: u32) -> io::Result<Option<Place>> {
        let frame = self.claim_frame(volume, extent, shard);
        self.stream.write_all(&frame)?;
        self.place()
    }

    /// Claims many extents, many at a time.
    pub fn claim_all(&mut self, volume: u64, claims: impl Iterator<Item = (u64, u32)>) -> io::Result<()> {
        let claims: Vec<(u64, u32)> = claims.collect();
        for batch in claims.chunks(4096) {
            let frames: Vec<u8> =
                batch.iter().flat_map(|(extent, shard)| self.claim_frame(volume, *extent, *shard)).collect();
            self.stream.write_all(&frames)?;
            for _ in batch {
                self.place()?;
            }
        }
        Ok(())
    }

    /// Asks where an extent lies.
    pub fn look_up(&mut self, volume: u64, extent: u64) -> io::Result<Option<Place>> {
        let mut fields = self.token().to_be_bytes().to_vec();
        fields.extend(volume.to_be_bytes());
        fields.extend(extent.to_be_bytes());
        fields.extend(0u64.to_be_bytes());
        self.stream.write_all(&frame(4, &fields))?;
        self.place()
    }
}
