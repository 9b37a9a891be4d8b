//! The `hookpoint key` commands.

use std::path::Path;

use anyhow::{Context, Result};
use hookpoint_state::bundle::OperatorKey;

use crate::flags::{Key, KeyCmd};

/// Runs the subcommand.
///
/// # Errors
/// Fails if the key file cannot be read or holds no key.
pub fn run(flags: Key) -> Result<()> {
    match flags.subcommand {
        KeyCmd::Generate(_) => {
            let key = OperatorKey::from_secret(rand::random());
            println!("secret {}", key.secret_text());
            print_public(&key);
        }
        KeyCmd::Public(public) => print_public(&read(&public.key)?),
    }
    Ok(())
}

fn print_public(key: &OperatorKey) {
    println!("public {}", key.public_text());
    println!("name   {}", key.id());
}

/// Reads an operator's secret key from a file, which holds either the bare key or the
/// output of `key generate`.
///
/// # Errors
/// Fails if the file cannot be read or holds no key.
pub fn read(path: &Path) -> Result<OperatorKey> {
    let context = || format!("cannot read the key in {}", path.display());
    let text = std::fs::read_to_string(path).with_context(context)?;
    let secret = text.lines().find_map(|line| line.strip_prefix("secret "));
    OperatorKey::read(secret.unwrap_or(&text)).with_context(context)
}
