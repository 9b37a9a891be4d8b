//! Command dispatch and exit codes.

mod bundle;
mod explain;
mod fleet;
mod http;
mod key;
mod logging;
mod proxy;
mod settings;

use std::future::Future;
use std::process::ExitCode;

use anyhow::Result;
use hookpoint::operator::OperatorError;
use hookpoint::settings::SettingsError;
use hookpoint_state::bundle::BundleProblems;

use crate::flags::HookpointCmd;

/// Exit code for errors without a specific code.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a settings file or bundle that breaks rules.
const EXIT_BAD_DOCUMENT: u8 = 2;

/// Runs a command and returns its exit code.
pub fn run(command: HookpointCmd) -> ExitCode {
    let result = match command {
        HookpointCmd::Version(_) => {
            println!("hookpoint {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        HookpointCmd::Proxy(flags) => proxy::run(flags),
        HookpointCmd::Settings(flags) => settings::run(flags),
        HookpointCmd::Key(flags) => key::run(flags),
        HookpointCmd::Bundle(flags) => bundle::run(flags),
        HookpointCmd::Explain(flags) => explain::run(&flags),
        HookpointCmd::Fleet(flags) => fleet::run(&flags),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hookpoint: {}", error_text(&error));
            ExitCode::from(exit_code(&error))
        }
    }
}

/// Formats the error and its causes, skipping causes whose text is already included.
fn error_text(error: &anyhow::Error) -> String {
    let mut text = String::new();
    for cause in error.chain() {
        let cause = cause.to_string();
        if text.is_empty() {
            text = cause;
        } else if !text.contains(&cause) {
            text = format!("{text}: {cause}");
        }
    }
    text
}

fn exit_code(error: &anyhow::Error) -> u8 {
    if let Some(error) = error.downcast_ref::<OperatorError>() {
        return error.exit_code();
    }
    let bad_document = error.is::<BundleProblems>()
        || matches!(
            error.downcast_ref::<SettingsError>(),
            Some(SettingsError::Problems { .. })
        );
    if bad_document {
        EXIT_BAD_DOCUMENT
    } else {
        EXIT_FAILURE
    }
}

/// Runs `task` to completion in a new actix system.
fn run_in_actix_system<T>(task: impl Future<Output = Result<T>>) -> Result<T> {
    actix_rt::System::new().block_on(task)
}
