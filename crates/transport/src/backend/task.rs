//! The task that owns one connection.

use std::sync::Arc;

use actix::Addr;
use futures::StreamExt;
use hookpoint_coordination::slots::{ConnectionNumber, OpenFailure};
use hookpoint_protocol::status_query::{STATUS_QUERY, StatusCollector};
use tokio::sync::mpsc;

use super::connection::{Connection, ConnectionContext};
use super::error::ConnectError;
use super::handshake;
use super::message::{ConnectionEvent, FromConnection, Grant, Order};
use super::pool::PoolActor;
use super::serve::{self, ServeEnd};

/// The task of one connection.
pub(super) struct ConnectionTask {
    pub context: Arc<ConnectionContext>,
    pub number: ConnectionNumber,
    pub pool: Addr<PoolActor>,
    pub orders: mpsc::Receiver<Order>,
}

/// Why a connection ended.
enum ConnectionEnd {
    Ordered,
    Broken,
    Stale(Box<Grant>),
}

impl ConnectionTask {
    /// Opens the connection and serves leases until it ends.
    pub async fn run(mut self) {
        let connection = match handshake::connect(&self.context).await {
            Ok(connection) => connection,
            Err(error) => return self.report_open_failure(&error),
        };
        self.notify_pool(ConnectionEvent::Opened);
        let limit = self.context.settings.answer_timeout;
        let mut connection = connection;
        let end = self.serve_leases(&mut connection).await;
        connection.close(limit).await;
        let last_grant = self.last_grant();
        self.notify_pool(match (end, last_grant) {
            (ConnectionEnd::Stale(grant), _) | (_, Some(grant)) => {
                ConnectionEvent::GrantFailed(grant)
            }
            (ConnectionEnd::Ordered, None) => ConnectionEvent::Closed,
            (ConnectionEnd::Broken, None) => ConnectionEvent::Broken,
        });
    }

    /// Returns a grant that arrived too late to be served, if any.
    fn last_grant(&mut self) -> Option<Box<Grant>> {
        self.orders.close();
        while let Ok(order) = self.orders.try_recv() {
            if let Order::Serve(grant) = order {
                return Some(grant);
            }
        }
        None
    }

    fn report_open_failure(&self, error: &ConnectError) {
        let failure = error.as_open_failure();
        log::warn!(
            "pool: cannot connect to {}: {error}.",
            self.context.database
        );
        if failure == OpenFailure::Unreachable {
            let ConnectionContext {
                group, database, ..
            } = &*self.context;
            self.context.shared.mark_unreachable(group, database);
        }
        self.notify_pool(ConnectionEvent::Failed(failure));
    }

    fn notify_pool(&self, event: ConnectionEvent) {
        self.pool.do_send(FromConnection {
            connection: self.number,
            event,
        });
    }

    async fn serve_leases(&mut self, connection: &mut Connection) -> ConnectionEnd {
        loop {
            let heartbeat = connection.next_use_due(self.context.settings.heartbeat_interval());
            tokio::select! {
                order = self.orders.recv() => match order {
                    Some(Order::Serve(grant)) => {
                        if let Some(end) = self.serve(connection, grant).await {
                            return end;
                        }
                    }
                    Some(Order::AbortIfSilent) => {}
                    Some(Order::Close) | None => return ConnectionEnd::Ordered,
                },
                message = connection.reader.next() => {
                    if !connection.accept_idle_message(message) {
                        return ConnectionEnd::Broken;
                    }
                }
                () = tokio::time::sleep_until(heartbeat) => {
                    if !self.heartbeat(connection).await {
                        return ConnectionEnd::Broken;
                    }
                }
            }
        }
    }

    async fn serve(
        &mut self,
        connection: &mut Connection,
        grant: Box<Grant>,
    ) -> Option<ConnectionEnd> {
        let settings = self.context.settings.clone();
        if connection.is_expired(settings.assumed_closed_after()) {
            return Some(ConnectionEnd::Stale(grant));
        }
        let end = serve::serve(connection, &self.context, *grant, &mut self.orders).await;
        let reusable = match end {
            ServeEnd::Lost => return Some(ConnectionEnd::Broken),
            ServeEnd::Unused => Ok(true),
            ServeEnd::Abandoned => Ok(false),
            ServeEnd::Released {
                reusable: false, ..
            } => Ok(false),
            ServeEnd::Released { discard, .. } => {
                connection.reset(discard, settings.answer_timeout).await
            }
        };
        let reusable = reusable.unwrap_or_else(|error| {
            log::info!(
                "pool: a connection to {} is closed: {error}.",
                self.context.database
            );
            false
        });
        self.notify_pool(ConnectionEvent::Returned { reusable });
        (!reusable).then_some(ConnectionEnd::Ordered)
    }

    /// Queries the database to restart its idle timer, and publishes the status from the
    /// answer.
    async fn heartbeat(&self, connection: &mut Connection) -> bool {
        if connection.is_expired(self.context.settings.assumed_closed_after()) {
            return false;
        }
        let mut collector = StatusCollector::new();
        let mut status = None;
        let limit = self.context.settings.answer_timeout;
        let answered = connection
            .query(STATUS_QUERY, limit, |frame| {
                if let Some(Ok(answer)) = collector.push(frame) {
                    status = Some(answer);
                }
            })
            .await;
        if let Some(status) = status {
            let ConnectionContext {
                group, database, ..
            } = &*self.context;
            self.context.shared.apply_status(group, database, &status);
        }
        answered.is_ok() && connection.is_clean()
    }
}
