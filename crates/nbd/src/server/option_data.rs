//! The data of options.

use winnow::binary::{be_u16, be_u32};

use crate::proto::{MAX_STRING, numbers};

/// The data of INFO and GO.
pub(super) struct InfoOption {
    pub(super) export: String,
    /// The kinds of information that are asked for.
    pub(super) kinds: Vec<u16>,
}

/// The data of LIST_META_CONTEXT and SET_META_CONTEXT.
pub(super) struct MetaContextOption {
    pub(super) export: String,
    pub(super) queries: Vec<String>,
}

/// Nothing where lengths within the data contradict its length.
pub(super) fn parse_info(data: &[u8]) -> Option<InfoOption> {
    let (export, mut rest) = string(data)?;
    let count = numbers(&mut rest, be_u16)?;
    let kinds: Option<Vec<u16>> = (0..count).map(|_| numbers(&mut rest, be_u16)).collect();
    let kinds = kinds?;
    rest.is_empty().then_some(InfoOption { export, kinds })
}

/// Nothing where lengths within the data contradict its length.
pub(super) fn parse_meta_context(data: &[u8]) -> Option<MetaContextOption> {
    let (export, mut rest) = string(data)?;
    let count = numbers(&mut rest, be_u32)?;
    let mut queries = Vec::new();
    for _ in 0..count {
        let (query, after) = string(rest)?;
        queries.push(query);
        rest = after;
    }
    rest.is_empty().then_some(MetaContextOption { export, queries })
}

/// A string, and what follows it.
fn string(mut data: &[u8]) -> Option<(String, &[u8])> {
    let length = numbers(&mut data, be_u32)? as usize;
    if length > MAX_STRING {
        return None;
    }
    let (text, rest) = data.split_at_checked(length)?;
    Some((String::from_utf8(text.to_vec()).ok()?, rest))
}
