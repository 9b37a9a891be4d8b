//! The `hookpoint` command: runs a proxy and carries out operators' commands.
#![forbid(unsafe_code)]

mod command;
mod flags;

use std::process::ExitCode;

/// Exit code for a command line that cannot be read.
const EXIT_BAD_COMMAND_LINE: u8 = 2;

fn main() -> ExitCode {
    match flags::Hookpoint::from_env() {
        Ok(flags) => command::run(flags.subcommand),
        Err(help) if help.is_help() => help.exit(),
        Err(error) => {
            eprintln!("hookpoint: {error}; `hookpoint --help` tells the commands");
            ExitCode::from(EXIT_BAD_COMMAND_LINE)
        }
    }
}
