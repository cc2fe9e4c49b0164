//! Why a session cannot go on.

/// Why a session cannot go on: the peer breaks the protocol, or refuses.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A magic number is wrong.
    #[error("wrong magic {found:#x} in {place}")]
    Magic {
        /// The message that it belongs to.
        place: &'static str,
        /// What came instead.
        found: u64,
    },
    /// The client's handshake flags are not those of fixed newstyle.
    #[error("client flags {0:#x} are unknown or lack fixed newstyle")]
    ClientFlags(u32),
    /// An option is too long.
    #[error("option {option} carries {length} bytes, over the bound of {bound}")]
    LongOption {
        /// The option.
        option: u32,
        /// Its length, bytes.
        length: u32,
        /// The bound, bytes.
        bound: u32,
    },
    /// The client does not end its negotiation.
    #[error("{0} options without entering transmission")]
    ManyOptions(u32),
    /// EXPORT_NAME of an export that does not exist.
    #[error("export {0:?} does not exist, and the option used cannot say so")]
    NoSuchExport(String),
    /// A payload is too long.
    #[error("payload of {length} bytes, over the bound of {bound}")]
    LongPayload {
        /// Its length, bytes.
        length: u32,
        /// The bound, bytes.
        bound: u32,
    },
    /// A request has the cookie of one that is open.
    #[error("cookie {0:#x} is still in use")]
    ReusedCookie(u64),
    /// A reply that the client does not understand.
    #[error("reply of unknown shape: {0}")]
    Reply(&'static str),
    /// The server refused an option.
    #[error("the server refused: {0}")]
    Refused(String),
}
