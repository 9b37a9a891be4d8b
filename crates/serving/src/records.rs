//! The fleet's own records in the state store.

use bytes::Bytes;
use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::homes::choice_weight;
use hookpoint_state::{DatabaseName, GroupName, StoreEra, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of the keys of live nodes.
pub const MEMBER_PREFIX: &str = "members/";
/// Parts that the members of a zone are divided into by their keys. A node that starts reads
/// its own part only, to find others that start with it or run already.
const PARTS_A_ZONE: u64 = 8;
/// Prefix of the keys of the nodes that may order promotions.
const COORDINATOR_PREFIX: &str = "coordinator/";
/// Prefix of the keys that say which eras of the store have settled.
const SETTLED_ERA_PREFIX: &str = "eras/";
/// Prefix of the keys of ordered promotions.
pub const PROMOTION_PREFIX: &str = "promotions/";

/// Prefix of the keys of the nodes in the same part of a zone as the node called `name`.
pub fn member_part(zone: &ZoneName, name: &str) -> String {
    let part = choice_weight("part", name) % PARTS_A_ZONE;
    format!("{MEMBER_PREFIX}{}/{part}/", zone.as_str())
}

/// Key of the node called `name`.
pub fn member_key(zone: &ZoneName, name: &str) -> String {
    format!("{}{name}", member_part(zone, name))
}

/// Key of the node that may order promotions in an era of the store. A claim of an earlier era
/// that is carried out late does not touch it, whatever revisions the store gave out again.
pub fn coordinator_key(era: StoreEra) -> String {
    format!("{COORDINATOR_PREFIX}{era}")
}

/// Key that says that the store has been in an era for so long that nothing is missing any more
/// which it lost as it came back from a copy, and that nobody relies on an earlier era.
pub fn settled_era_key(era: StoreEra) -> String {
    format!("{SETTLED_ERA_PREFIX}{era}")
}

/// The era that a key tells of; nothing if it tells of none.
pub fn settled_era(key: &str) -> Option<StoreEra> {
    let number = key.strip_prefix(SETTLED_ERA_PREFIX)?.parse().ok()?;
    Some(StoreEra::new(number))
}

/// Whether `key` is that of the node that may order promotions in `era`.
pub fn is_coordinator_key(key: &str, era: StoreEra) -> bool {
    let named = key.strip_prefix(COORDINATOR_PREFIX);
    named.and_then(|number| number.parse().ok()) == Some(era.number())
}

/// Name of the node that a key is of; nothing if it is no node's.
pub fn member_name(key: &str) -> Option<&str> {
    let (_, name) = key.strip_prefix(MEMBER_PREFIX)?.rsplit_once('/')?;
    Some(name)
}

/// A live node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Node name.
    pub node: String,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address for datagrams and links of peers.
    pub peer_address: SocketAddr,
    /// Bandwidth of its link, in megabits a second; 0 if that is not known. Nodes with more
    /// of it pass the store's changes on to the others.
    pub bandwidth_mbps: u32,
}

/// An ordered promotion, written so that other nodes learn of it sooner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionRecord {
    /// The group.
    pub group: GroupName,
    /// The database that is to lead.
    pub candidate: DatabaseName,
    /// The token of the order.
    pub fencing_token: FencingToken,
}

/// Encodes a record.
///
/// # Panics
///
/// If it has a sequence of unknown length, which none of this module's records has.
pub fn encode<T: Serialize>(record: &T) -> Bytes {
    let encoded = postcard::to_allocvec(record).expect("a record has only fields of known length");
    Bytes::from(encoded)
}

/// Decodes a record; nothing if it is not one.
pub fn decode<T: for<'a> Deserialize<'a>>(value: &[u8]) -> Option<T> {
    postcard::from_bytes(value).ok()
}
