//! The schedule of faults and rolls in a demo.

use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName};

use crate::fault::{Fault, Target};
use crate::stack::Stack;

/// Replay lag of the replica that falls behind.
const LARGE_REPLICA_LAG: Duration = Duration::from_secs(2);

/// A step of a demo's schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Injects a fault.
    Inject(Fault),
    /// Rolls out a new bundle (version of the fleet's configuration).
    Roll,
}

/// A step with its time, as a fraction of the demo's length.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStep {
    /// Time from 0 to 1.
    pub at: f64,
    /// Step to take.
    pub step: Step,
}

/// Returns the steps of a demo on `stack`, which has at least three groups, in the order of
/// time.
pub fn timeline(stack: &Stack) -> Vec<TimedStep> {
    let groups: Vec<GroupName> = stack
        .databases
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    let [killed, lagging, isolated] = [&groups[0], &groups[1], &groups[2]];
    let primary_of = |group: &GroupName| current_primary(stack, group);
    let replica = replica_of(stack, lagging);
    let mut steps = vec![
        fault_at(0.05, Fault::Lag(replica.clone(), LARGE_REPLICA_LAG)),
        fault_at(0.12, Fault::Kill(Target::PrimaryOf(killed.clone()))),
        TimedStep {
            at: 0.30,
            step: Step::Roll,
        },
        fault_at(0.38, Fault::Restart(primary_of(killed))),
        fault_at(0.40, Fault::Lag(replica, stack.deployment.replica_lag)),
        fault_at(0.42, Fault::Isolate(Target::PrimaryOf(isolated.clone()))),
        fault_at(0.50, Fault::PlatformDown),
        fault_at(0.56, Fault::StopProxy(2)),
        fault_at(0.62, Fault::Rejoin(primary_of(isolated))),
        fault_at(0.70, Fault::StartProxy(2)),
        fault_at(0.76, Fault::PlatformUp),
        fault_at(0.80, Fault::KillProxy(1)),
        fault_at(0.88, Fault::StartProxy(1)),
    ];
    steps.sort_by(|left, right| left.at.total_cmp(&right.at));
    steps
}

fn fault_at(at: f64, fault: Fault) -> TimedStep {
    TimedStep {
        at,
        step: Step::Inject(fault),
    }
}

/// Returns the primary of `group` when the timeline is built, before any fault; an empty
/// name if there is none.
fn current_primary(stack: &Stack, group: &GroupName) -> DatabaseName {
    let running = stack.databases.group(group);
    let primary = running.and_then(|running| running.primary());
    primary.map_or_else(|| DatabaseName::new(""), |(name, _, _)| name)
}

/// Returns the first replica of `group` when the timeline is built, before any fault; an empty
/// name if there is none.
fn replica_of(stack: &Stack, group: &GroupName) -> DatabaseName {
    let running = stack.databases.group(group);
    let replica = running.and_then(|running| running.replicas().into_iter().next());
    replica.unwrap_or_else(|| DatabaseName::new(""))
}
