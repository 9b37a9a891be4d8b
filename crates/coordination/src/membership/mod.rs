//! Who is in the fleet: alive, suspected, leaving or dead, per zone and region.
//!
//! The protocol follows SWIM: each node probes one other per period, asks a few more to
//! probe a silent one, suspects it, and declares it dead only when it has not refuted
//! the suspicion in time. Changes travel on the back of probes and in short bursts of
//! gossip; a digest in every datagram reveals tables that differ, and these are then
//! compared page by page. `docs/design/membership.md` weighs the ways.

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
