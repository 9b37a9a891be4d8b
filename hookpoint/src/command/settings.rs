//! `hookpoint settings`.

use anyhow::Result;
use hookpoint::settings::load_settings;

use crate::flags::{Settings, SettingsCmd};

/// Carries out the command.
///
/// # Errors
/// When the file has problems.
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
