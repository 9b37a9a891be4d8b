//! The `hookpoint` command: runs a proxy and carries out operators' commands.
#![forbid(unsafe_code)]

mod command;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Hookpoint::from_env_or_exit();
    command::run(flags.subcommand)
}
