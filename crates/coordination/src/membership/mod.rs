//! Membership of the fleet: which nodes are alive, suspected, leaving or dead, with
//! their zones and regions.
//!
//! The protocol follows SWIM: each node probes one other member per period, asks a few
//! members to probe an unresponsive one, suspects it, and declares it dead only if it
//! does not refute the suspicion in time. Changes are piggybacked on probes and sent in
//! short bursts of gossip. Every datagram contains a digest of the sender's table;
//! tables whose digests differ are compared page by page. `docs/design/membership.md`
//! compares the alternatives.

mod datagram;
mod gossip;
mod hints;
mod machine;
mod member;
mod probe;
mod receive;
mod ring;
mod settings;
mod suspicion;
mod sync;
mod table;
mod updates;

pub use datagram::{Datagram, DatagramBody, Sender};
pub use machine::{Membership, MembershipAction, MembershipEvent};
pub use member::{Member, MemberInfo, MemberState, MemberUpdate};
pub use settings::MembershipSettings;
