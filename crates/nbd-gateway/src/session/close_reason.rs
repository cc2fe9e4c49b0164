//! The reasons for closing a session.

use std::io;

use umbertray_nbd::ProtocolError;

/// Why a session was closed, for the log.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloseReason {
    /// The gateway is draining, and no request is open.
    #[error("the gateway is stopping")]
    GatewayStopping,
    /// The volume was removed, and no request is open.
    #[error("its volume was removed")]
    VolumeRemoved,
    /// The client has sent a disconnect, and all its requests are answered.
    #[error("the client disconnected")]
    ClientDisconnected,
    /// The client closed the connection without a disconnect.
    #[error("the client closed the connection")]
    ConnectionClosed,
    /// The event loop has ended, so no more replies will arrive.
    #[error("the gateway's event loop ended")]
    EventLoopEnded,
    /// The rest of a message, or the end of the negotiation, did not arrive in time.
    #[error("the client did not complete a message in time")]
    MessageTimeout,
    /// The client violated the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
}

impl CloseReason {
    /// Whether the client or the connection is at fault.
    pub(super) fn is_fault(&self) -> bool {
        match self {
            CloseReason::GatewayStopping
            | CloseReason::VolumeRemoved
            | CloseReason::ClientDisconnected
            | CloseReason::ConnectionClosed
            | CloseReason::EventLoopEnded => false,
            CloseReason::MessageTimeout | CloseReason::Protocol(_) | CloseReason::Socket(_) => true,
        }
    }
}
