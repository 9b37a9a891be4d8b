//! The `hookpoint` binary: runs a proxy or an operator's command.
#![forbid(unsafe_code)]

mod command;
mod flags;

use std::process::ExitCode;

/// Exit code for an invalid command line.
const EXIT_BAD_COMMAND_LINE: u8 = 2;

fn main() -> ExitCode {
    match flags::Hookpoint::from_env() {
        Ok(flags) => command::run(flags.subcommand),
        Err(help) if help.is_help() => help.exit(),
        Err(error) => {
            eprintln!("hookpoint: {error}; run `hookpoint --help` for the commands");
            ExitCode::from(EXIT_BAD_COMMAND_LINE)
        }
    }
}
