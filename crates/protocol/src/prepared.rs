//! Names of prepared statements on shared connections.

use sha2::{Digest, Sha256};

/// Bytes of the digest that make the name.
const NAME_BYTES: usize = 16;
/// What a statement is called that the session does not have, so that the database
/// itself answers with its error for a missing statement.
pub const MISSING_STATEMENT: &str = "hookpoint_missing";

/// The name of the statement of this text and these types on every connection. Equal
/// statements of different sessions share it.
pub fn shared_name(query: &str, parameter_types: &[u32]) -> String {
    let mut digest = Sha256::new();
    digest.update((query.len() as u64).to_be_bytes());
    digest.update(query.as_bytes());
    for parameter_type in parameter_types {
        digest.update(parameter_type.to_be_bytes());
    }
    let hash = digest.finalize();
    let mut name = String::from("hp_");
    for byte in &hash[..NAME_BYTES] {
        name.push_str(&format!("{byte:02x}"));
    }
    name
}
