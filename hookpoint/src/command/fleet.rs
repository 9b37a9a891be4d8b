//! `hookpoint fleet`.

use anyhow::Result;
use hookpoint_transport::admin::FleetStatus;

use super::{http, in_system};
use crate::flags::{Fleet, FleetCmd};

/// Carries out the command.
///
/// # Errors
/// When the endpoint does not answer.
pub fn run(flags: &Fleet) -> Result<()> {
    match &flags.subcommand {
        FleetCmd::FleetStatus(status) => {
            let fleet: FleetStatus = in_system(http::get_json(&status.admin, "/fleet"))?;
            print(&fleet);
            Ok(())
        }
    }
}

fn print(fleet: &FleetStatus) {
    for node in &fleet.nodes {
        println!(
            "node {} {} zone {} region {} address {} bundle {}",
            node.node, node.state, node.zone, node.region, node.address, node.bundle.0
        );
    }
    let behind = fleet.outdated().count();
    println!(
        "newest bundle {}; {} nodes; {behind} not yet there",
        fleet.newest.0,
        fleet.present().count()
    );
}
