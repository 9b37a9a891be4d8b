//! The connection pool of one database.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use actix::{Actor, ActorContext, AsyncContext, Context, Handler, SpawnHandle};
use hookpoint_coordination::slots::{
    ConnectionNumber, RequestNumber, SlotAction, SlotCounts, SlotEvent, SlotTable,
};
use hookpoint_state::{DatabaseName, GroupName, Timestamp};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::connection::ConnectionContext;
use super::message::{
    Acquire, Cancelled, Configure, ConnectionEvent, FromConnection, Grant, ORDER_BUFFER, Order,
    OrderSender, PoolConfiguration, Reroute, Retire, SetHome,
};
use super::settings::BackendSettings;
use super::task::ConnectionTask;
use crate::shared::Shared;

/// Channel for the names of databases whose connections broke.
pub(super) type BrokenConnectionSender = mpsc::Sender<DatabaseName>;

/// Parameters of a new pool.
pub(super) struct PoolParts {
    pub shared: Arc<Shared>,
    pub settings: Arc<BackendSettings>,
    pub group: GroupName,
    pub database: DatabaseName,
    pub configuration: PoolConfiguration,
    pub home: bool,
    pub seed: u64,
    pub counts: Arc<Mutex<SlotCounts>>,
    pub broken_connections: BrokenConnectionSender,
}

/// The actor that carries out the decisions of the slot table of one database.
pub(super) struct PoolActor {
    parts: PoolParts,
    context: Arc<ConnectionContext>,
    table: SlotTable,
    waiting: BTreeMap<RequestNumber, Grant>,
    connections: BTreeMap<ConnectionNumber, OrderSender>,
    timer: Option<(Timestamp, SpawnHandle)>,
    retired: bool,
}

impl PoolActor {
    pub fn new(parts: PoolParts) -> Self {
        let table = SlotTable::new(parts.configuration.policy.clone(), parts.seed);
        Self {
            context: Arc::new(connection_context(&parts)),
            table,
            parts,
            waiting: BTreeMap::new(),
            connections: BTreeMap::new(),
            timer: None,
            retired: false,
        }
    }

    fn handle(&mut self, event: SlotEvent, context: &mut Context<Self>) {
        let now = self.parts.shared.now();
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.table.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(action, context));
            }
        }
        *self.parts.counts.lock() = self.table.counts();
        self.set_timer(now, context);
        if self.retired && self.connections.is_empty() {
            context.stop();
        }
    }

    /// Performs an action. Returns the event that follows if the action is not possible.
    fn perform(&mut self, action: SlotAction, context: &mut Context<Self>) -> Option<SlotEvent> {
        match action {
            SlotAction::OpenConnection(number) => self.open(number, context),
            SlotAction::Grant {
                request,
                connection,
            } => return self.grant(request, connection),
            SlotAction::Refuse { request, refusal } => {
                if let Some(grant) = self.waiting.remove(&request) {
                    let _gone = grant.reply.send(Err(refusal));
                }
            }
            SlotAction::CloseConnection(number) => {
                if let Some(orders) = self.connections.get(&number) {
                    let _ended = orders.try_send(Order::Close);
                }
            }
        }
        None
    }

    fn open(&mut self, number: ConnectionNumber, context: &mut Context<Self>) {
        let (sender, orders) = mpsc::channel(ORDER_BUFFER);
        self.connections.insert(number, sender);
        let task = ConnectionTask {
            context: self.context.clone(),
            number,
            pool: context.address(),
            orders,
        };
        actix_rt::spawn(task.run());
    }

    /// Hands a request to its connection. If the connection has ended meanwhile, the
    /// request returns to the queue.
    fn grant(&mut self, request: RequestNumber, connection: ConnectionNumber) -> Option<SlotEvent> {
        let Some(grant) = self.waiting.remove(&request) else {
            return Some(SlotEvent::ConnectionReturned {
                connection,
                reusable: true,
            });
        };
        let orders = self.connections.get(&connection)?;
        match orders.try_send(Order::Serve(Box::new(grant))) {
            Err(TrySendError::Full(order) | TrySendError::Closed(order)) => match order {
                Order::Serve(grant) => Some(self.grant_failed(connection, *grant)),
                Order::Close | Order::AbortIfSilent => None,
            },
            Ok(()) => None,
        }
    }

    fn grant_failed(&mut self, connection: ConnectionNumber, grant: Grant) -> SlotEvent {
        self.remove_broken(connection);
        let request = grant.request.clone();
        self.waiting.insert(request.number, grant);
        SlotEvent::GrantFailed {
            connection,
            request,
        }
    }

    fn set_timer(&mut self, now: Timestamp, context: &mut Context<Self>) {
        let due = self.table.next_timer();
        if due == self.timer.map(|(at, _)| at) {
            return;
        }
        if let Some((_, handle)) = self.timer.take() {
            context.cancel_future(handle);
        }
        self.timer = due.map(|at| {
            let handle = context.run_later(at.since(now), |pool, context| {
                pool.timer = None;
                pool.handle(SlotEvent::Timer, context);
            });
            (at, handle)
        });
    }

    /// Removes a connection that the database or the network has closed.
    fn remove_broken(&mut self, connection: ConnectionNumber) {
        if self.connections.remove(&connection).is_some() {
            let database = &self.parts.database;
            log::info!("pool: a connection to {database} broke.");
            let _full = self.parts.broken_connections.try_send(database.clone());
        }
    }
}

fn connection_context(parts: &PoolParts) -> ConnectionContext {
    ConnectionContext {
        shared: parts.shared.clone(),
        settings: parts.settings.clone(),
        group: parts.group.clone(),
        database: parts.database.clone(),
        target: parts.configuration.target.clone(),
    }
}

fn drain_event(draining: bool) -> SlotEvent {
    if draining {
        SlotEvent::Drain
    } else {
        SlotEvent::Undrain
    }
}

impl Actor for PoolActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let draining = self.parts.configuration.draining;
        self.handle(drain_event(draining), context);
        self.handle(SlotEvent::Home(self.parts.home), context);
    }
}

impl Handler<Acquire> for PoolActor {
    type Result = ();

    fn handle(&mut self, message: Acquire, context: &mut Context<Self>) {
        let Acquire { request, reply } = message;
        if reply.is_closed() {
            return;
        }
        let grant = Grant {
            request: request.clone(),
            reply,
        };
        self.waiting.insert(request.number, grant);
        self.handle(SlotEvent::Request(request), context);
    }
}

impl Handler<Cancelled> for PoolActor {
    type Result = ();

    fn handle(&mut self, message: Cancelled, context: &mut Context<Self>) {
        self.waiting.remove(&message.0);
        self.handle(SlotEvent::Cancelled(message.0), context);
    }
}

impl Handler<Configure> for PoolActor {
    type Result = ();

    fn handle(&mut self, message: Configure, context: &mut Context<Self>) {
        let before = std::mem::replace(&mut self.parts.configuration, message.0);
        if before.target != self.parts.configuration.target {
            self.context = Arc::new(connection_context(&self.parts));
            self.handle(SlotEvent::ReplaceConnections, context);
        }
        let draining = self.parts.configuration.draining;
        if before.draining != draining {
            let state = if draining { "draining" } else { "in use again" };
            log::info!("pool: database {} is {state}.", self.parts.database);
        }
        self.handle(drain_event(draining), context);
        let policy = self.parts.configuration.policy.clone();
        self.handle(SlotEvent::PolicyChanged(policy), context);
    }
}

impl Handler<SetHome> for PoolActor {
    type Result = ();

    fn handle(&mut self, message: SetHome, context: &mut Context<Self>) {
        self.handle(SlotEvent::Home(message.0), context);
    }
}

impl Handler<Reroute> for PoolActor {
    type Result = ();

    fn handle(&mut self, message: Reroute, context: &mut Context<Self>) {
        self.handle(SlotEvent::Reroute, context);
        if message.former_primary {
            for orders in self.connections.values() {
                let _ended = orders.try_send(Order::AbortIfSilent);
            }
        }
    }
}

impl Handler<Retire> for PoolActor {
    type Result = ();

    fn handle(&mut self, _message: Retire, context: &mut Context<Self>) {
        self.retired = true;
        self.handle(SlotEvent::Drain, context);
    }
}

impl Handler<FromConnection> for PoolActor {
    type Result = ();

    fn handle(&mut self, message: FromConnection, context: &mut Context<Self>) {
        let connection = message.connection;
        let event = match message.event {
            ConnectionEvent::Opened => SlotEvent::ConnectionOpened(connection),
            ConnectionEvent::Failed(failure) => {
                self.connections.remove(&connection);
                SlotEvent::ConnectionFailed {
                    connection,
                    failure,
                }
            }
            ConnectionEvent::Returned { reusable } => SlotEvent::ConnectionReturned {
                connection,
                reusable,
            },
            ConnectionEvent::Closed => {
                self.connections.remove(&connection);
                SlotEvent::ConnectionClosed(connection)
            }
            ConnectionEvent::Broken => {
                self.remove_broken(connection);
                SlotEvent::ConnectionClosed(connection)
            }
            ConnectionEvent::GrantFailed(grant) => self.grant_failed(connection, *grant),
        };
        self.handle(event, context);
    }
}
