//! Orders replaced primaries to step down, where the promotion service does not fence.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_state::DatabaseName;
use tokio::time::sleep;

use super::replicas::ask_all;
use crate::message::Command;
use crate::node::Node;
use crate::ports::PromotionOrder;

/// How long replaced primaries that come back are ordered to step down.
const STEP_DOWN_TIME: Duration = Duration::from_secs(30);
/// Number of times that one round sends the order to a database that does not answer.
const STEP_DOWN_ATTEMPTS: usize = 3;
/// Pause between two rounds.
const STEP_DOWN_PAUSE: Duration = Duration::from_millis(250);

pub(super) fn step_down_in_background(node: &Rc<Node>, order: &PromotionOrder) {
    let stepping_down = step_down_until_replaced(Rc::clone(node), order.clone());
    tokio::task::spawn_local(stepping_down);
}

/// Orders replaced primaries to step down for [`STEP_DOWN_TIME`], or until another promotion is
/// announced.
///
/// Continues after this node's tenure as coordinator, which may end at any time. This is safe
/// because a database is only ordered to step down from a term below the newest.
async fn step_down_until_replaced(node: Rc<Node>, order: PromotionOrder) {
    let began = node.now();
    let is_newest = || {
        let announced = node.with_group(&order.group, |state| state.announced);
        announced == Some(order.fencing_token)
    };
    step_down_others(&node, &order).await;
    while node.now().since(began) < STEP_DOWN_TIME && is_newest() {
        sleep(STEP_DOWN_PAUSE).await;
        if node.leader(&order.group).as_ref() == Some(&order.candidate) {
            step_down_others(&node, &order).await;
        }
    }
}

/// Orders every reachable database of the group to step down, except the candidate and those that
/// report that they are replicas.
async fn step_down_others(node: &Rc<Node>, order: &PromotionOrder) {
    let databases = node.by_stated_role(&order.group);
    let states = ask_all(node, &databases, &Command::Status).await;
    let Some(newest) = states.iter().map(|(_, status)| status.term).max() else {
        return;
    };
    let candidate_leads = states
        .iter()
        .any(|(name, status)| *name == order.candidate && status.primary);
    let term = if candidate_leads {
        newest
    } else {
        newest.next()
    };
    let replicas: Vec<&DatabaseName> = states
        .iter()
        .filter(|(_, status)| !status.primary)
        .map(|(name, _)| name)
        .collect();
    let mut others: Vec<DatabaseName> = databases
        .iter()
        .filter(|name| **name != order.candidate && !replicas.contains(name))
        .filter(|name| !node.is_in_evacuated_zone(name))
        .cloned()
        .collect();
    for _ in 0..STEP_DOWN_ATTEMPTS {
        if others.is_empty() {
            return;
        }
        for name in &others {
            node.log("step_down_ordered", &[("database", name.as_str().into())]);
        }
        let answered = ask_all(node, &others, &Command::StepDown { term }).await;
        others.retain(|name| answered.iter().all(|(done, _)| done != name));
    }
}
