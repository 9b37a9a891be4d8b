//! The score of a node for a database.

use std::hash::Hasher;

use hookpoint_state::{DatabaseName, NodeId};
use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;

/// Separates this use of the hash from any other.
const LABEL: &[u8] = b"hookpoint home 1";

/// Key of a database: 128 bits of the SHA-256 of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatabaseKey([u8; 16]);

impl DatabaseKey {
    /// The key of `database`; the same in every build.
    pub fn new(database: &DatabaseName) -> Self {
        let digest = Sha256::new()
            .chain_update(LABEL)
            .chain_update(database.as_str())
            .finalize();
        let mut key = [0; 16];
        key.copy_from_slice(&digest[..16]);
        Self(key)
    }
}

/// Score of `node`: SipHash-1-3 of its identifier under the database's key. The node
/// with the highest score is home.
pub fn score(database: DatabaseKey, node: NodeId) -> u64 {
    let mut hasher = SipHasher13::new_with_key(&database.0);
    hasher.write(&node.0.to_le_bytes());
    hasher.finish()
}
