//! Negotiation: the client's flags, then its options until it enters transmission.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use super::option_data::{InfoOption, MetaContextOption, parse_info, parse_meta_context};
use super::{Exports, Session, SessionEvent, State};
use crate::ProtocolError;
use crate::proto::{
    ALLOCATION_ID, BASE_ALLOCATION, Export, FLAG_FIXED_NEWSTYLE, FLAG_NO_ZEROES, HAS_FLAGS, IHAVEOPT,
    INFO_BLOCK_SIZE, INFO_DESCRIPTION, INFO_EXPORT, INFO_NAME, OPT_ABORT, OPT_EXPORT_NAME, OPT_GO, OPT_INFO,
    OPT_LIST, OPT_LIST_META_CONTEXT, OPT_SET_META_CONTEXT, OPT_STRUCTURED_REPLY, OPTION_REPLY, REP_ACK,
    REP_ERR_INVALID, REP_ERR_SHUTDOWN, REP_ERR_UNKNOWN, REP_ERR_UNSUP, REP_INFO, REP_META_CONTEXT,
    REP_SERVER, SEND_DF,
};

/// Size of the client's flags, bytes.
const CLIENT_FLAGS_BYTES: usize = 4;
/// Size of an option's header (magic number, option, length), bytes.
const OPTION_HEADER_BYTES: usize = 16;
/// Number of zero bytes after the reply to EXPORT_NAME, unless the client has declined them.
const ZERO_PADDING_BYTES: usize = 124;
/// The query of LIST_META_CONTEXT for all contexts of the namespace `base`.
const BASE_NAMESPACE: &str = "base:";

impl Session {
    /// Reads the client's flags. Returns an event only if they are incomplete.
    pub(super) fn receive_client_flags(
        &mut self,
        input: &mut BytesMut,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        if input.len() < CLIENT_FLAGS_BYTES {
            return Ok(Some(SessionEvent::Incomplete));
        }
        let flags = input.get_u32();
        let known_flags = u32::from(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
        if flags & !known_flags != 0 || flags & u32::from(FLAG_FIXED_NEWSTYLE) == 0 {
            return Err(ProtocolError::ClientFlags(flags));
        }
        self.omits_zero_padding = flags & u32::from(FLAG_NO_ZEROES) != 0;
        self.state = State::Options;
        Ok(None)
    }

    /// Reads an option and replies to it. Returns an event only if the option is incomplete or negotiation
    /// has ended.
    pub(super) fn receive_option(
        &mut self,
        input: &mut BytesMut,
        exports: &dyn Exports,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        let Some(mut header) = input.get(..OPTION_HEADER_BYTES) else {
            return Ok(Some(SessionEvent::Incomplete));
        };
        let magic = header.get_u64();
        if magic != IHAVEOPT {
            return Err(ProtocolError::WrongMagic { message: "an option", found: magic });
        }
        let option = header.get_u32();
        let length = header.get_u32();
        let limit = self.limits.max_option_bytes;
        if length > limit {
            return Err(ProtocolError::OptionTooLong { option, length, limit });
        }
        if input.len() < OPTION_HEADER_BYTES + length as usize {
            return Ok(Some(SessionEvent::Incomplete));
        }
        input.advance(OPTION_HEADER_BYTES);
        let data = input.split_to(length as usize).freeze();
        self.option_count += 1;
        if self.option_count > self.limits.max_options {
            return Err(ProtocolError::TooManyOptions(self.option_count));
        }
        if option == OPT_ABORT {
            self.put_option_reply(option, REP_ACK, &[]);
            return Ok(Some(self.disconnect()));
        }
        if self.is_shutting_down {
            return Ok(self.reject_during_shutdown(option));
        }
        self.reply_to_option(option, &data, exports)
    }

    fn disconnect(&mut self) -> SessionEvent {
        self.state = State::Ended;
        SessionEvent::Disconnected
    }

    /// Rejects an option because of the shutdown. EXPORT_NAME has no error reply ("NBD_OPT_EXPORT_NAME"), so
    /// the session ends instead.
    fn reject_during_shutdown(&mut self, option: u32) -> Option<SessionEvent> {
        if option == OPT_EXPORT_NAME {
            return Some(self.disconnect());
        }
        self.put_option_reply(option, REP_ERR_SHUTDOWN, b"the server is shutting down");
        None
    }

    fn reply_to_option(
        &mut self,
        option: u32,
        data: &Bytes,
        exports: &dyn Exports,
    ) -> Result<Option<SessionEvent>, ProtocolError> {
        match option {
            OPT_EXPORT_NAME => return self.reply_to_export_name(data, exports).map(Some),
            OPT_LIST if !data.is_empty() => self.put_invalid(option, "LIST carries no data"),
            OPT_LIST => self.reply_to_list(exports),
            OPT_STRUCTURED_REPLY if !data.is_empty() => {
                self.put_invalid(option, "STRUCTURED_REPLY carries no data");
            }
            OPT_STRUCTURED_REPLY => {
                self.has_structured_replies = true;
                self.put_option_reply(option, REP_ACK, &[]);
            }
            OPT_INFO | OPT_GO => return Ok(self.reply_to_info(option, data, exports)),
            OPT_LIST_META_CONTEXT | OPT_SET_META_CONTEXT => self.reply_to_meta_context(option, data, exports),
            _ => self.put_option_reply(option, REP_ERR_UNSUP, b"this option is not supported"),
        }
        Ok(None)
    }

    /// Handles EXPORT_NAME, which enters transmission ("NBD_OPT_EXPORT_NAME").
    fn reply_to_export_name(
        &mut self,
        data: &[u8],
        exports: &dyn Exports,
    ) -> Result<SessionEvent, ProtocolError> {
        let name = String::from_utf8_lossy(data).into_owned();
        let Some(export) = exports.find(&name) else { return Err(ProtocolError::NoSuchExport(name)) };
        self.output.put_u64(export.size);
        self.output.put_u16(self.transmission_flags(&export));
        if !self.omits_zero_padding {
            self.output.put_bytes(0, ZERO_PADDING_BYTES);
        }
        Ok(self.attach(export))
    }

    /// Handles LIST ("NBD_OPT_LIST").
    fn reply_to_list(&mut self, exports: &dyn Exports) {
        for name in exports.names() {
            let mut entry = BytesMut::new();
            entry.put_u32(name.len() as u32);
            entry.put_slice(name.as_bytes());
            self.put_option_reply(OPT_LIST, REP_SERVER, &entry);
        }
        self.put_option_reply(OPT_LIST, REP_ACK, &[]);
    }

    /// Handles INFO and GO ("NBD_OPT_INFO and NBD_OPT_GO"). Size, flags and block sizes are always sent,
    /// requested or not.
    fn reply_to_info(&mut self, option: u32, data: &[u8], exports: &dyn Exports) -> Option<SessionEvent> {
        let Some(InfoOption { export: name, info_types }) = parse_info(data) else {
            self.put_inconsistent_lengths(option);
            return None;
        };
        let Some(export) = exports.find(&name) else {
            self.put_unknown_export(option);
            return None;
        };
        let mut info = BytesMut::new();
        info.put_u16(INFO_EXPORT);
        info.put_u64(export.size);
        info.put_u16(self.transmission_flags(&export));
        self.put_option_reply(option, REP_INFO, &info);
        for (info_type, text) in [(INFO_NAME, &export.name), (INFO_DESCRIPTION, &export.description)] {
            if info_types.contains(&info_type) {
                info.clear();
                info.put_u16(info_type);
                info.put_slice(text.as_bytes());
                self.put_option_reply(option, REP_INFO, &info);
            }
        }
        info.clear();
        info.put_u16(INFO_BLOCK_SIZE);
        info.put_u32(export.block_sizes.minimum);
        info.put_u32(export.block_sizes.preferred);
        info.put_u32(export.block_sizes.maximum);
        self.put_option_reply(option, REP_INFO, &info);
        self.put_option_reply(option, REP_ACK, &[]);
        (option == OPT_GO).then(|| self.attach(export))
    }

    /// Handles LIST_META_CONTEXT and SET_META_CONTEXT ("Metadata querying"); `base:allocation` is the only
    /// context.
    fn reply_to_meta_context(&mut self, option: u32, data: &[u8], exports: &dyn Exports) {
        let Some(MetaContextOption { export, queries }) = parse_meta_context(data) else {
            return self.put_inconsistent_lengths(option);
        };
        if !self.has_structured_replies {
            return self.put_invalid(option, "structured replies were not negotiated");
        }
        if exports.find(&export).is_none() {
            return self.put_unknown_export(option);
        }
        let is_list = option == OPT_LIST_META_CONTEXT;
        let is_match = |query: &String| query == BASE_ALLOCATION || is_list && query == BASE_NAMESPACE;
        let is_selected = queries.iter().any(is_match) || is_list && queries.is_empty();
        if !is_list {
            self.allocation_export = is_selected.then_some(export);
        }
        if is_selected {
            let mut entry = BytesMut::new();
            entry.put_u32(if is_list { 0 } else { ALLOCATION_ID });
            entry.put_slice(BASE_ALLOCATION.as_bytes());
            self.put_option_reply(option, REP_META_CONTEXT, &entry);
        }
        self.put_option_reply(option, REP_ACK, &[]);
    }

    /// Enters transmission for an export. A metadata context that was selected for another export is dropped
    /// ("NBD_OPT_SET_META_CONTEXT").
    fn attach(&mut self, export: Export) -> SessionEvent {
        self.allocation_export = self.allocation_export.take().filter(|name| *name == export.name);
        self.state = State::Transmission(export.clone());
        SessionEvent::ExportSelected(export)
    }

    /// The transmission flags of an export. DF is offered only with structured replies, because simple
    /// replies are not fragmented.
    fn transmission_flags(&self, export: &Export) -> u16 {
        let allowed_flags = if self.has_structured_replies { u16::MAX } else { !SEND_DF };
        HAS_FLAGS | export.flags & allowed_flags
    }

    fn put_option_reply(&mut self, option: u32, kind: u32, data: &[u8]) {
        self.output.put_u64(OPTION_REPLY);
        self.output.put_u32(option);
        self.output.put_u32(kind);
        self.output.put_u32(data.len() as u32);
        self.output.put_slice(data);
    }

    fn put_invalid(&mut self, option: u32, reason: &str) {
        self.put_option_reply(option, REP_ERR_INVALID, reason.as_bytes());
    }

    fn put_inconsistent_lengths(&mut self, option: u32) {
        self.put_invalid(option, "lengths within the option contradict its length");
    }

    fn put_unknown_export(&mut self, option: u32) {
        self.put_option_reply(option, REP_ERR_UNKNOWN, b"there is no such export");
    }
}
