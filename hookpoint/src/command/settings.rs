//! The `hookpoint settings` commands.

use anyhow::Result;
use hookpoint::settings::load_settings;

use crate::flags::{Settings, SettingsCmd};

/// Runs the subcommand.
///
/// # Errors
/// Fails if the file cannot be read or its settings break a rule.
pub fn run(flags: Settings) -> Result<()> {
    match flags.subcommand {
        SettingsCmd::CheckSettings(check) => {
            let settings = load_settings(&check.file)?;
            let node = &settings.node;
            let file = check.file.display();
            println!(
                "{file}: good settings for zone {} of {}",
                node.zone, node.region
            );
            Ok(())
        }
    }
}
