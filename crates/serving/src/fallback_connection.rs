//! Distinguishes a dead connection from an unresponsive database.
//!
//! Open connections may stop responding permanently, without a reset, while new ones work. A
//! control command that is not answered on an open connection is therefore also sent on a new one.
//! Both answers are awaited until the same deadline, so the loss of a database is detected no later
//! than without the new connection.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::exchange_error::ExchangeError;
use crate::lease::Lease;
use crate::node::Node;
use crate::pool::{AcquireError, CONTROL_LIMIT, Pool};

/// A command without an answer after this time is also sent on a new connection. It allows for
/// three round trips between the regions of the known deployments (20 ms one way) and the response
/// time of a loaded database.
const SECOND_CONNECTION_DELAY: Duration = Duration::from_millis(150);

/// Sends a command that a database answers immediately on the connection of `lease`, and on a new
/// connection if no answer arrives. If only the new connection is answered, the idle connections
/// on which nothing was received in the meantime are closed.
pub(crate) async fn query_with_fallback(
    node: &Rc<Node>,
    pool: &Rc<Pool>,
    mut lease: Lease,
    send_command: impl AsyncFn(&mut Lease) -> Result<(), ExchangeError>,
) -> Result<(), ExchangeError> {
    let asked_at = node.now();
    let relayed = lease.connection().is_relayed();
    let mut first = pin!(send_command(&mut lease));
    if let Ok(outcome) = timeout(SECOND_CONNECTION_DELAY, &mut first).await {
        return outcome;
    }
    if relayed {
        return first.await;
    }
    let mut second = pin!(ask_on_new_connection(node, pool, &send_command));
    tokio::select! {
        outcome = &mut first => match outcome {
            Ok(()) => Ok(()),
            Err(error) => second.await.ok_or(error),
        },
        answered = &mut second => match answered {
            Some(()) => {
                node.counters.count("connections", "silent");
                pool.close_inactive_since(asked_at);
                Ok(())
            }
            None => first.await,
        },
    }
}

/// Sends the command on a new connection; returns `None` if no answer arrived before the deadline
/// of the first connection.
async fn ask_on_new_connection(
    node: &Rc<Node>,
    pool: &Rc<Pool>,
    send_command: impl AsyncFn(&mut Lease) -> Result<(), ExchangeError>,
) -> Option<()> {
    let asking = async {
        match pool.open(node, None).await {
            Ok(mut lease) => send_command(&mut lease).await.ok(),
            // The refusal was sent by the database, so the database is responsive.
            Err(AcquireError::ConnectionLimitReached) => {
                node.note_contact(pool.database());
                Some(())
            }
            Err(_) => None,
        }
    };
    timeout(CONTROL_LIMIT - SECOND_CONNECTION_DELAY, asking)
        .await
        .ok()?
}
