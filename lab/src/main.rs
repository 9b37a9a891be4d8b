//! `hookpoint-lab`: stand-ins, workload, simulator and measurements of hookpoint.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use anyhow::Context;
use hookpoint_lab::commands;
use hookpoint_lab::flags::{HookpointLab, HookpointLabCmd};

fn main() -> anyhow::Result<ExitCode> {
    let flags = HookpointLab::from_env_or_exit();
    hookpoint_lab::logs::start()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the tokio runtime")?;
    runtime.block_on(run(flags))
}

async fn run(flags: HookpointLab) -> anyhow::Result<ExitCode> {
    match flags.subcommand {
        HookpointLabCmd::Database(arguments) => commands::stand_ins::database(arguments).await?,
        HookpointLabCmd::Platform(arguments) => commands::stand_ins::platform(arguments).await?,
        HookpointLabCmd::Load(arguments) => commands::load::load(arguments).await?,
        HookpointLabCmd::Scale(arguments) => commands::measure::scale(arguments)?,
        HookpointLabCmd::Experiment(arguments) => {
            commands::measure::experiment(arguments).await?;
        }
        HookpointLabCmd::Idle(arguments) => commands::measure::idle(arguments).await?,
        HookpointLabCmd::Relay(arguments) => commands::measure::relay(arguments).await?,
        HookpointLabCmd::Serve(arguments) => commands::serve::serve(arguments).await?,
        HookpointLabCmd::Sim(arguments) => return commands::sim::sim(arguments),
        HookpointLabCmd::Demo(arguments) => return commands::demo::demo(arguments).await,
    }
    Ok(ExitCode::SUCCESS)
}
