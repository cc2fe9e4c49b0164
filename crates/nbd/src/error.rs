//! Errors that end a session.

/// Why a session must end: the peer violates the protocol, or the server rejects an option.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A magic number is wrong.
    #[error("wrong magic {found:#x} in {message}")]
    WrongMagic {
        /// The kind of message that has the wrong magic number.
        message: &'static str,
        /// The number that was received.
        found: u64,
    },
    /// The client's handshake flags include an unknown flag, or lack fixed newstyle negotiation.
    #[error("client flags {0:#x} are unknown or lack fixed newstyle")]
    ClientFlags(u32),
    /// The data of an option is too long.
    #[error("option {option} has {length} bytes of data, over the limit of {limit} bytes")]
    OptionTooLong {
        /// The option's number.
        option: u32,
        /// Length of its data, bytes.
        length: u32,
        /// Maximum length, bytes.
        limit: u32,
    },
    /// The client has sent more options than [`Limits`](crate::Limits) allows.
    #[error("client sent {0} options without entering transmission")]
    TooManyOptions(u32),
    /// With EXPORT_NAME, which has no error reply, the client selected an export that does not exist.
    #[error("export {0:?} does not exist, and EXPORT_NAME has no error reply")]
    NoSuchExport(String),
    /// A payload is too long.
    #[error("payload of {length} bytes is over the limit of {limit} bytes")]
    PayloadTooLong {
        /// Length of the payload, bytes.
        length: u32,
        /// Maximum length, bytes.
        limit: u32,
    },
    /// A request has the cookie of another request that has no final reply yet.
    #[error("cookie {0:#x} is still in use by an open request")]
    ReusedCookie(u64),
    /// The client received an invalid reply.
    #[error("invalid reply: {0}")]
    InvalidReply(&'static str),
    /// The server rejected an option, with this message.
    #[error("the server rejected an option: {0}")]
    OptionRejected(String),
}
