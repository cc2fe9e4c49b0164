//! Decoding of the data of options.

use winnow::binary::{be_u16, be_u32};

use crate::proto::{MAX_STRING, parse_numbers};

/// The data of INFO and GO.
pub(super) struct InfoOption {
    pub(super) export: String,
    /// The types of information that the client requests.
    pub(super) info_types: Vec<u16>,
}

/// The data of LIST_META_CONTEXT and SET_META_CONTEXT.
pub(super) struct MetaContextOption {
    pub(super) export: String,
    pub(super) queries: Vec<String>,
}

/// `None` if the lengths inside the data do not match the data's length, or a string is invalid.
pub(super) fn parse_info(data: &[u8]) -> Option<InfoOption> {
    let (export, mut rest) = parse_string(data)?;
    let count = parse_numbers(&mut rest, be_u16)?;
    let info_types: Option<Vec<u16>> = (0..count).map(|_| parse_numbers(&mut rest, be_u16)).collect();
    let info_types = info_types?;
    rest.is_empty().then_some(InfoOption { export, info_types })
}

/// `None` if the lengths inside the data do not match the data's length, or a string is invalid.
pub(super) fn parse_meta_context(data: &[u8]) -> Option<MetaContextOption> {
    let (export, mut rest) = parse_string(data)?;
    let count = parse_numbers(&mut rest, be_u32)?;
    let mut queries = Vec::new();
    for _ in 0..count {
        let (query, remaining) = parse_string(rest)?;
        queries.push(query);
        rest = remaining;
    }
    rest.is_empty().then_some(MetaContextOption { export, queries })
}

/// Reads a string; returns it and the data after it.
fn parse_string(mut data: &[u8]) -> Option<(String, &[u8])> {
    let length = parse_numbers(&mut data, be_u32)? as usize;
    if length > MAX_STRING {
        return None;
    }
    let (text, rest) = data.split_at_checked(length)?;
    Some((String::from_utf8(text.to_vec()).ok()?, rest))
}
