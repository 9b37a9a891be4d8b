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

/// How the life of a connection ended.
enum LifeEnd {
    Ordered,
    Broken,
    Stale(Box<Grant>),
}

impl ConnectionTask {
    /// Opens the connection and serves until it ends.
    pub async fn run(mut self) {
        let connection = match handshake::connect(&self.context).await {
            Ok(connection) => connection,
            Err(error) => return self.failed(&error),
        };
        self.tell(ConnectionEvent::Opened);
        let limit = self.context.settings.answer_timeout;
        let mut connection = connection;
        let end = self.live(&mut connection).await;
        connection.close(limit).await;
        let last_grant = self.last_grant();
        self.tell(match (end, last_grant) {
            (LifeEnd::Stale(grant), _) | (_, Some(grant)) => ConnectionEvent::GrantFailed(grant),
            (LifeEnd::Ordered, None) => ConnectionEvent::Closed,
            (LifeEnd::Broken, None) => ConnectionEvent::Broken,
        });
    }

    /// A grant that came too late to be served.
    fn last_grant(&mut self) -> Option<Box<Grant>> {
        self.orders.close();
        while let Ok(order) = self.orders.try_recv() {
            if let Order::Serve(grant) = order {
                return Some(grant);
            }
        }
        None
    }

    fn failed(&self, error: &ConnectError) {
        let failure = error.open_failure();
        log::warn!("pool: no connection to {}: {error}.", self.context.database);
        if failure == OpenFailure::Unreachable {
            let ConnectionContext {
                group, database, ..
            } = &*self.context;
            self.context.shared.unreachable(group, database);
        }
        self.tell(ConnectionEvent::Failed(failure));
    }

    fn tell(&self, event: ConnectionEvent) {
        self.pool.do_send(FromConnection {
            connection: self.number,
            event,
        });
    }

    async fn live(&mut self, connection: &mut Connection) -> LifeEnd {
        loop {
            let heartbeat = connection.due(self.context.settings.heartbeat_interval());
            tokio::select! {
                order = self.orders.recv() => match order {
                    Some(Order::Serve(grant)) => {
                        if let Some(end) = self.serve(connection, grant).await {
                            return end;
                        }
                    }
                    Some(Order::Doubt) => {}
                    Some(Order::Close) | None => return LifeEnd::Ordered,
                },
                message = connection.reader.next() => {
                    if !connection.is_harmless(message) {
                        return LifeEnd::Broken;
                    }
                }
                () = tokio::time::sleep_until(heartbeat) => {
                    if !self.heartbeat(connection).await {
                        return LifeEnd::Broken;
                    }
                }
            }
        }
    }

    async fn serve(&mut self, connection: &mut Connection, grant: Box<Grant>) -> Option<LifeEnd> {
        let settings = self.context.settings.clone();
        if connection.is_gone(settings.lapse()) {
            return Some(LifeEnd::Stale(grant));
        }
        let end = serve::serve(connection, &self.context, *grant, &mut self.orders).await;
        let reusable = match end {
            ServeEnd::Lost => return Some(LifeEnd::Broken),
            ServeEnd::Unused => Ok(true),
            ServeEnd::Abandoned => Ok(false),
            ServeEnd::Released {
                reusable: false, ..
            } => Ok(false),
            ServeEnd::Released { discard, .. } => {
                connection.restore(discard, settings.answer_timeout).await
            }
        };
        let reusable = reusable.unwrap_or_else(|error| {
            log::info!(
                "pool: a connection to {} is given up: {error}.",
                self.context.database
            );
            false
        });
        self.tell(ConnectionEvent::Returned { reusable });
        (!reusable).then_some(LifeEnd::Ordered)
    }

    /// Shows the database that the holder lives, and takes its status along.
    async fn heartbeat(&self, connection: &mut Connection) -> bool {
        if connection.is_gone(self.context.settings.lapse()) {
            return false;
        }
        let mut collector = StatusCollector::new();
        let mut status = None;
        let limit = self.context.settings.answer_timeout;
        let answered = connection
            .ask(STATUS_QUERY, limit, |frame| {
                if let Some(Ok(answer)) = collector.push(frame) {
                    status = Some(answer);
                }
            })
            .await;
        if let Some(status) = status {
            let ConnectionContext {
                group, database, ..
            } = &*self.context;
            self.context.shared.observe(group, database, &status);
        }
        answered.is_ok() && connection.is_clean()
    }
}
