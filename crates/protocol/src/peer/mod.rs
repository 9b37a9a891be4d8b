//! Messages between the nodes of a fleet: the encrypted datagrams of the membership
//! protocol, and the frames of the links that carry leases and control messages.
//!
//! Everything is authenticated and encrypted with a fleet key. Data that was not encrypted
//! with one of the accepted keys is dropped and has no effect.

mod datagram;
mod frame;
mod handshake;
mod key;
mod replay;
mod stream;

pub use datagram::{DatagramError, DatagramSealer, MAXIMUM_DATAGRAM_BYTES, open_datagram};
pub use frame::{FrameDecodeError, LinkFrame, OpenRequest, decode_frames, encode_frame};
pub use handshake::{
    HANDSHAKE_BYTES, HANDSHAKE_RESPONSE_BYTES, HandshakeInitiator, LinkCipher, LinkError,
    MAXIMUM_RECORD_BYTES, accept_handshake,
};
pub use key::{FleetKey, FleetKeyError, FleetKeys};
pub use replay::ReplayGuard;
pub use stream::{
    Assembler, CREDIT_GRANT_THRESHOLD, INITIAL_CREDIT, MAXIMUM_FRAGMENT_BYTES, StreamError,
    fragments,
};
