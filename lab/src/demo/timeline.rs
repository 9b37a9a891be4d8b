//! What goes wrong in a demo, and when.

use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName};

use crate::fault::{Fault, Target};
use crate::stack::Stack;

/// How far the replica that falls behind does so.
const FAR_BEHIND: Duration = Duration::from_secs(2);

/// A step of a demo.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A fault strikes.
    Strike(Fault),
    /// A bundle is rolled.
    Roll,
}

/// A step at a share of the demo's length.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStep {
    /// When, from 0 to 1.
    pub at: f64,
    /// What.
    pub step: Step,
}

/// The steps of a demo on `stack`, in the order of their times.
pub fn timeline(stack: &Stack) -> Vec<TimedStep> {
    let groups: Vec<GroupName> = stack
        .databases
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    let [killed, lagging, isolated] = [&groups[0], &groups[1], &groups[2]];
    let first = |group: &GroupName| first_primary(stack, group);
    let replica = replica_of(stack, lagging);
    let mut steps = vec![
        at(0.05, Fault::Lag(replica.clone(), FAR_BEHIND)),
        at(0.12, Fault::Kill(Target::PrimaryOf(killed.clone()))),
        TimedStep {
            at: 0.30,
            step: Step::Roll,
        },
        at(0.38, Fault::Restart(first(killed))),
        at(0.40, Fault::Lag(replica, stack.deployment.replica_lag)),
        at(0.42, Fault::Isolate(Target::PrimaryOf(isolated.clone()))),
        at(0.50, Fault::PlatformDown),
        at(0.56, Fault::StopProxy(2)),
        at(0.62, Fault::Rejoin(first(isolated))),
        at(0.70, Fault::StartProxy(2)),
        at(0.76, Fault::PlatformUp),
        at(0.80, Fault::KillProxy(1)),
        at(0.88, Fault::StartProxy(1)),
    ];
    steps.sort_by(|one, other| one.at.total_cmp(&other.at));
    steps
}

fn at(at: f64, fault: Fault) -> TimedStep {
    TimedStep {
        at,
        step: Step::Strike(fault),
    }
}

/// The database that leads `group` in the beginning.
fn first_primary(stack: &Stack, group: &GroupName) -> DatabaseName {
    let running = stack.databases.group(group);
    let primary = running.and_then(|running| running.primary());
    primary.map_or_else(|| DatabaseName::new(""), |(name, _, _)| name)
}

fn replica_of(stack: &Stack, group: &GroupName) -> DatabaseName {
    let running = stack.databases.group(group);
    let replica = running.and_then(|running| running.replicas().into_iter().next());
    replica.unwrap_or_else(|| DatabaseName::new(""))
}
