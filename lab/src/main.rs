//! `hookpoint-lab`: stand-ins, workload, simulator and measurements of hookpoint.
#![forbid(unsafe_code)]

use anyhow::Context;
use hookpoint_lab::commands;
use hookpoint_lab::flags::{HookpointLab, HookpointLabCmd};

fn main() -> anyhow::Result<()> {
    let flags = HookpointLab::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("the runtime did not start")?;
    runtime.block_on(run(flags))
}

async fn run(flags: HookpointLab) -> anyhow::Result<()> {
    match flags.subcommand {
        HookpointLabCmd::Database(arguments) => commands::stand_ins::database(arguments).await,
        HookpointLabCmd::Platform(arguments) => commands::stand_ins::platform(arguments).await,
        HookpointLabCmd::Load(arguments) => commands::load::load(arguments).await,
        HookpointLabCmd::Serve(_) | HookpointLabCmd::Demo(_) => {
            anyhow::bail!("not there yet")
        }
    }
}
