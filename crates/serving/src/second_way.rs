//! Tells a connection that fell silent from a database that did.
//!
//! Open connections may go silent for good, without a reset, while new ones work. A question
//! that is not answered on an open connection is therefore asked on a new one as well, and
//! both answers are awaited until the same moment, so the loss of a database is noticed no
//! later than without.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::connection::ConnectionError;
use crate::lease::Lease;
use crate::node::Node;
use crate::pool::{AcquireError, CONTROL_LIMIT, Pool};

/// A question without an answer after this time is asked on a new connection as well: three
/// round trips between the regions of the known deployments (20 ms one way) and what a
/// loaded database takes.
const SECOND_WAY_AFTER: Duration = Duration::from_millis(150);

/// Asks a question that a database answers at once, on the connection of `lease`, and on a
/// new one when no answer comes. If only the new one answers, the open ones that said
/// nothing meanwhile are closed.
pub(crate) async fn ask(
    node: &Rc<Node>,
    pool: &Rc<Pool>,
    mut lease: Lease,
    question: impl AsyncFn(&mut Lease) -> Result<(), ConnectionError>,
) -> Result<(), ConnectionError> {
    let asked_at = node.now();
    let relayed = lease.connection().is_relayed();
    let mut open = pin!(question(&mut lease));
    if let Ok(outcome) = timeout(SECOND_WAY_AFTER, &mut open).await {
        return outcome;
    }
    if relayed {
        return open.await;
    }
    let mut new = pin!(ask_on_new(node, pool, &question));
    tokio::select! {
        outcome = &mut open => match outcome {
            Ok(()) => Ok(()),
            Err(error) => new.await.ok_or(error),
        },
        answered = &mut new => match answered {
            Some(()) => {
                node.counters.count("connections", "silent");
                pool.close_unheard_since(asked_at);
                Ok(())
            }
            None => open.await,
        },
    }
}

/// Asks on a new connection; nothing if no answer came in the time that the first is given.
async fn ask_on_new(
    node: &Rc<Node>,
    pool: &Rc<Pool>,
    question: impl AsyncFn(&mut Lease) -> Result<(), ConnectionError>,
) -> Option<()> {
    let asking = async {
        match pool.open(node, None).await {
            Ok(mut lease) => question(&mut lease).await.ok(),
            // The refusal is the database's own word.
            Err(AcquireError::Crowded) => {
                node.note_contact(pool.database());
                Some(())
            }
            Err(_) => None,
        }
    };
    timeout(CONTROL_LIMIT - SECOND_WAY_AFTER, asking)
        .await
        .ok()?
}
