//! Names under which prepared statements exist on shared connections.

use sha2::{Digest, Sha256};

/// Number of leading digest bytes that are written into the name.
const NAME_BYTES: usize = 16;
/// Name sent to the database for a statement that the session has not prepared, so that
/// the database itself reports the statement as missing.
pub const MISSING_STATEMENT: &str = "hookpoint_missing";

/// Returns the name that a statement with this SQL text and these parameter type OIDs has
/// on every connection. Equal statements of different sessions share the name.
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
