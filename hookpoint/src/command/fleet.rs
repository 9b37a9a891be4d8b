//! The `hookpoint fleet` commands.

use anyhow::Result;
use hookpoint_transport::admin::FleetStatus;

use super::{http, run_in_actix_system};
use crate::flags::{Fleet, FleetCmd};

/// Runs the subcommand.
///
/// # Errors
/// Fails if the endpoint does not answer or its answer cannot be decoded.
pub fn run(flags: &Fleet) -> Result<()> {
    match &flags.subcommand {
        FleetCmd::FleetStatus(status) => {
            let fleet: FleetStatus = run_in_actix_system(http::get_json(&status.admin, "/fleet"))?;
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
    let outdated = fleet.outdated().count();
    println!(
        "newest bundle {}; {} nodes; {outdated} not yet there",
        fleet.newest.0,
        fleet.present().count()
    );
}
