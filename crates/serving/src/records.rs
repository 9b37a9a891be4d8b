//! Keys and encodings of the records that the nodes write to the state store.

use bytes::Bytes;
use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::homes::choice_weight;
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_state::{DatabaseName, GroupName, StoreEra, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of the keys of member records.
pub const MEMBER_PREFIX: &str = "members/";
/// Number of parts that the members of a zone are divided into by their keys. A node that starts
/// reads only its own part, to find other nodes that start at the same time or already run.
const PARTS_PER_ZONE: u64 = 8;
/// Prefix of the keys of coordinator records, one per era of the store.
const COORDINATOR_PREFIX: &str = "coordinator/";
/// Prefix of the keys that mark eras of the store as settled.
const SETTLED_ERA_PREFIX: &str = "eras/";
/// Prefix of the keys of promotion announcements.
pub const PROMOTION_PREFIX: &str = "promotions/";

/// Returns the key prefix of the nodes in the same part of a zone as the node `name`.
pub fn member_part_prefix(zone: &ZoneName, name: &str) -> String {
    let part = choice_weight("part", name) % PARTS_PER_ZONE;
    format!("{MEMBER_PREFIX}{}/{part}/", zone.as_str())
}

/// Returns the key of the member record of the node `name`.
pub fn member_key(zone: &ZoneName, name: &str) -> String {
    format!("{}{name}", member_part_prefix(zone, name))
}

/// Returns the key of the coordinator record in an era of the store. Because the era is part of
/// the key, a late claim of an earlier era cannot modify the record, even if the store assigns the
/// same revision numbers again.
pub fn coordinator_key(era: StoreEra) -> String {
    format!("{COORDINATOR_PREFIX}{era}")
}

/// Returns the key that marks an era as settled: the store has been in the era for so long that
/// everything lost in its restore from a copy has been written again, and no node relies on an
/// earlier era.
pub fn settled_era_key(era: StoreEra) -> String {
    format!("{SETTLED_ERA_PREFIX}{era}")
}

/// Returns the era that a key marks as settled, or `None` if it is no such key.
pub fn settled_era(key: &str) -> Option<StoreEra> {
    let number = key.strip_prefix(SETTLED_ERA_PREFIX)?.parse().ok()?;
    Some(StoreEra::new(number))
}

/// Returns whether `key` is the key of the coordinator record in `era`.
pub fn is_coordinator_key(key: &str, era: StoreEra) -> bool {
    let named = key.strip_prefix(COORDINATOR_PREFIX);
    named.and_then(|number| number.parse().ok()) == Some(era.number())
}

/// Returns the name of the node whose member record has this key, or `None` if it is no such key.
pub fn member_name(key: &str) -> Option<&str> {
    let (_, name) = key.strip_prefix(MEMBER_PREFIX)?.rsplit_once('/')?;
    Some(name)
}

/// The record of a live node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the node.
    pub node: String,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address for datagrams and links from peers.
    pub peer_address: SocketAddr,
    /// Bandwidth of the node's link in megabits per second; 0 if unknown. Nodes with more
    /// bandwidth pass the store's changes on to the others.
    pub bandwidth_mbps: u32,
}

/// The announcement of a promotion, written so that other nodes learn of it sooner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionRecord {
    /// The group whose primary is replaced.
    pub group: GroupName,
    /// The database that is to become the primary.
    pub candidate: DatabaseName,
    /// Fencing token of the promotion order.
    pub fencing_token: FencingToken,
    /// The commits that nodes no longer acknowledge.
    pub withheld: WithheldCommits,
}

/// Decodes a promotion record; returns `None` if `value` is not a valid encoding of one.
///
/// Records of versions without the field `withheld` end before it. The appended byte encodes its
/// default value and is ignored after a complete record.
pub fn decode_promotion(value: &[u8]) -> Option<PromotionRecord> {
    let mut extended = value.to_vec();
    extended.push(0);
    decode(&extended)
}

/// Encodes a record.
///
/// # Panics
///
/// Panics if the record contains a sequence of unknown length. No record of this module does.
pub fn encode<T: Serialize>(record: &T) -> Bytes {
    let encoded = postcard::to_allocvec(record).expect("a record has only fields of known length");
    Bytes::from(encoded)
}

/// Decodes a record; returns `None` if `value` is not a valid encoding.
pub fn decode<T: for<'a> Deserialize<'a>>(value: &[u8]) -> Option<T> {
    postcard::from_bytes(value).ok()
}
