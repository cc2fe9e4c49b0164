//! Constants of the specification ("Values").

/// First magic number of the greeting: "NBDMAGIC".
pub const NBDMAGIC: u64 = 0x4e42_444d_4147_4943;
/// Second magic number of the greeting, and the magic number of an option: "IHAVEOPT".
pub const IHAVEOPT: u64 = 0x4948_4156_454f_5054;
/// Magic number of an option reply.
pub const OPTION_REPLY: u64 = 0x0003_e889_0455_65a9;
/// Magic number of a request.
pub const REQUEST_MAGIC: u32 = 0x2560_9513;
/// Magic number of a simple reply.
pub const SIMPLE_REPLY_MAGIC: u32 = 0x6744_6698;
/// Magic number of a structured reply chunk.
pub const STRUCTURED_REPLY_MAGIC: u32 = 0x668e_33ef;

/// Handshake flag: fixed newstyle negotiation.
pub const FLAG_FIXED_NEWSTYLE: u16 = 1;
/// Handshake flag: the reply to EXPORT_NAME is not padded with zeroes.
pub const FLAG_NO_ZEROES: u16 = 2;

/// Transmission flag: the flags are valid; always set.
pub const HAS_FLAGS: u16 = 1;
/// Transmission flag: FLUSH is supported.
pub const SEND_FLUSH: u16 = 1 << 2;
/// Transmission flag: FUA is supported.
pub const SEND_FUA: u16 = 1 << 3;
/// Transmission flag: TRIM is supported.
pub const SEND_TRIM: u16 = 1 << 5;
/// Transmission flag: WRITE_ZEROES is supported.
pub const SEND_WRITE_ZEROES: u16 = 1 << 6;
/// Transmission flag: DF is supported.
pub const SEND_DF: u16 = 1 << 7;
/// Transmission flag: a client may use several connections to the export as if they were one.
pub const CAN_MULTI_CONN: u16 = 1 << 8;

/// Command flag: the effect is durable before the reply (FUA, force unit access).
pub const CMD_FLAG_FUA: u16 = 1;
/// Command flag: the zeroed range must stay allocated.
pub const CMD_FLAG_NO_HOLE: u16 = 1 << 1;
/// Command flag: the data must be sent in one chunk (DF, don't fragment).
pub const CMD_FLAG_DF: u16 = 1 << 2;
/// Command flag: the reply needs to describe only one extent.
pub const CMD_FLAG_REQ_ONE: u16 = 1 << 3;

/// Option: selects an export and enters transmission; it has no error reply.
pub const OPT_EXPORT_NAME: u32 = 1;
/// Option: ends the session.
pub const OPT_ABORT: u32 = 2;
/// Option: lists the exports.
pub const OPT_LIST: u32 = 3;
/// Option: describes an export.
pub const OPT_INFO: u32 = 6;
/// Option: describes an export and enters transmission.
pub const OPT_GO: u32 = 7;
/// Option: negotiates structured replies.
pub const OPT_STRUCTURED_REPLY: u32 = 8;
/// Option: lists metadata contexts.
pub const OPT_LIST_META_CONTEXT: u32 = 9;
/// Option: selects metadata contexts.
pub const OPT_SET_META_CONTEXT: u32 = 10;

/// Option reply: the option is completed.
pub const REP_ACK: u32 = 1;
/// Option reply: the name of an export.
pub const REP_SERVER: u32 = 2;
/// Option reply: information about an export.
pub const REP_INFO: u32 = 3;
/// Option reply: a metadata context.
pub const REP_META_CONTEXT: u32 = 4;
/// Option reply: the bit that is set in all errors.
pub const REP_ERR: u32 = 1 << 31;
/// Option reply: the option is not supported.
pub const REP_ERR_UNSUP: u32 = REP_ERR | 1;
/// Option reply: the option is malformed.
pub const REP_ERR_INVALID: u32 = REP_ERR | 3;
/// Option reply: there is no such export.
pub const REP_ERR_UNKNOWN: u32 = REP_ERR | 6;
/// Option reply: the server is shutting down.
pub const REP_ERR_SHUTDOWN: u32 = REP_ERR | 7;
/// Option reply: the request or the reply is too large.
pub const REP_ERR_TOO_BIG: u32 = REP_ERR | 9;

/// Information type: size and transmission flags.
pub const INFO_EXPORT: u16 = 0;
/// Information type: the canonical name.
pub const INFO_NAME: u16 = 1;
/// Information type: a description.
pub const INFO_DESCRIPTION: u16 = 2;
/// Information type: block sizes.
pub const INFO_BLOCK_SIZE: u16 = 3;

/// Chunk flag: the last chunk of a reply.
pub const CHUNK_DONE: u16 = 1;
/// Chunk type: no content.
pub const CHUNK_NONE: u16 = 0;
/// Chunk type: data.
pub const CHUNK_OFFSET_DATA: u16 = 1;
/// Chunk type: a range of zeroes.
pub const CHUNK_OFFSET_HOLE: u16 = 2;
/// Chunk type: extents of a metadata context.
pub const CHUNK_BLOCK_STATUS: u16 = 5;
/// Chunk type: an error.
pub const CHUNK_ERROR: u16 = 1 << 15 | 1;
/// Chunk type: an error at an offset.
pub const CHUNK_ERROR_OFFSET: u16 = 1 << 15 | 2;

/// Extent flag of `base:allocation`: not allocated.
pub const STATE_HOLE: u32 = 1;
/// Extent flag of `base:allocation`: reads as zeroes.
pub const STATE_ZERO: u32 = 2;
/// Name of the only metadata context that the server offers.
pub const BASE_ALLOCATION: &str = "base:allocation";
/// Id of the metadata context `base:allocation` in each session that has selected it.
pub const ALLOCATION_ID: u32 = 1;

/// Maximum length of a string, bytes ("Terminology").
pub const MAX_STRING: usize = 4096;
