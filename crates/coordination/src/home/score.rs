//! Rendezvous-hashing score of a node for a database.

use std::hash::Hasher;

use hookpoint_state::{DatabaseName, NodeId};
use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;

/// Domain separation label of the hash.
const LABEL: &[u8] = b"hookpoint home 1";

/// Hash key of a database: the first 128 bits of the SHA-256 of a label and the
/// database's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatabaseKey([u8; 16]);

impl DatabaseKey {
    /// Returns the key of `database`, which is the same in every build.
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

/// Returns the score of `node`: SipHash-1-3 of its identifier under the database's key.
/// The node with the highest score is the home.
pub fn score(database: DatabaseKey, node: NodeId) -> u64 {
    let mut hasher = SipHasher13::new_with_key(&database.0);
    hasher.write(&node.0.to_le_bytes());
    hasher.finish()
}
