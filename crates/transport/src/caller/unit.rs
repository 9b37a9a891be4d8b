//! One unit of a caller's messages, prepared to run on any connection: the commands to
//! send, the parts of its answer, and what it may do.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use hookpoint_coordination::request::{Access, Unit};
use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_protocol::classify::{Classifier, UnitClass};
use hookpoint_protocol::extended::{
    self, Bind, DescribeOrClose, DescribeTarget, MalformedMessage, Parse,
};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::prepared::MISSING_STATEMENT;
use hookpoint_protocol::reply;
use hookpoint_protocol::tags::{backend, frontend};
use thiserror::Error;

use crate::caller::answer::Step;
use crate::caller::local::{self, LocalStatement};
use crate::caller::statements::{Statement, StatementTable};
use crate::caller::traits::UnitTraits;

/// A unit as received from the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerUnit {
    /// The `Query` message of a simple query.
    Simple(Frame),
    /// Messages of the extended query protocol, without the `Sync`.
    Extended {
        /// The messages, in the order received.
        frames: Vec<Frame>,
        /// What ended the series of messages.
        end: UnitEnd,
    },
}

/// What ends a series of extended messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitEnd {
    /// `Sync`: the caller waits for `ReadyForQuery`.
    Sync,
    /// `Flush`: the caller waits for the answers so far; its `Sync` follows later.
    Flush,
    /// A simple query: it ends the series as well, but has an answer of its own.
    Query,
}

/// Why a unit cannot be planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// A message is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
    /// The session keeps too much statement text or too many portals.
    #[error("the session keeps too many prepared statements or portals")]
    TooManyStatements,
}

/// A unit prepared to be sent, more than once if needed.
#[derive(Debug)]
pub struct UnitPlan {
    /// Whether the unit is a simple query.
    pub simple: bool,
    /// Commands to be sent to the connection.
    pub commands: Vec<BackendCommand>,
    /// Expected parts of the answer to extended messages.
    pub steps: VecDeque<Step>,
    /// Whether further caller messages belong to the unit, because its `Sync` is still to
    /// come.
    pub open: bool,
    /// Whether `ReadyForQuery` ends the answer.
    pub ready: bool,
    /// What the unit may do.
    pub traits: UnitTraits,
    /// Steps by which the proxy answers the unit itself, if no connection is needed.
    pub local: Vec<LocalStep>,
    /// Message tags of the answer, in order, if no statement returned rows.
    pub answer_tags: Vec<u8>,
    /// Whether the unit contains a statement that must not be sent to a database.
    pub has_local: bool,
    /// Whether the proxy generated the unit itself, so that its answer is not relayed.
    pub internal: bool,
    /// Whether any part of the unit needs a connection.
    pub needs_connection: bool,
    uses_portals: bool,
    ensured: BTreeSet<String>,
    unnamed_parsed: bool,
}

/// A part of an answer that needs no connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalStep {
    /// A message to be sent to the caller.
    Message(Frame),
    /// A local statement to be run at this point.
    Run(LocalStatement),
}

/// The translation of one message of an open unit.
#[derive(Debug, Default)]
pub struct Translation {
    /// Commands to be sent for the message.
    pub commands: Vec<BackendCommand>,
    /// Expected part of the answer that belongs to the message.
    pub step: Option<Step>,
}

impl UnitPlan {
    /// Plans a simple query.
    ///
    /// # Errors
    /// When the message is malformed.
    pub fn simple(frame: &Frame, classifier: &Classifier) -> Result<Self, UnitError> {
        let text = extended::query_text(frame)?;
        let class = classifier.classify(&text);
        let mut plan = Self::empty(true);
        match LocalStatement::parse(&text, &class) {
            Some(local) => plan.run_locally(local, true),
            None => {
                plan.traits.execute(&class);
                plan.relay_class(&text, &class);
            }
        }
        plan.commands.push(frames(vec![frame.clone()]));
        Ok(plan)
    }

    /// Plans a series of extended messages. Messages that only prepare and describe
    /// statements leave nothing open, so they are a complete unit even if a `Flush` ends
    /// them; others keep their connection until the `Sync`. Statements that they prepare
    /// are stored in `statements` at once and removed again if the answer shows that
    /// preparing them failed.
    ///
    /// # Errors
    /// When a message is malformed or a limit on stored statements or portals is
    /// exceeded.
    pub fn extended(
        messages: &[Frame],
        end: UnitEnd,
        statements: &mut StatementTable,
        classifier: &Classifier,
    ) -> Result<Self, UnitError> {
        let mut plan = Self::empty(false);
        plan.ready = end == UnitEnd::Sync;
        let mut batch = Vec::new();
        for message in messages {
            let translation = plan.translate(message, statements, classifier)?;
            for command in translation.commands {
                match command {
                    BackendCommand::Frames(more) => batch.extend(more),
                    other => {
                        plan.push_batch(&mut batch);
                        plan.commands.push(other);
                    }
                }
            }
            plan.steps.extend(translation.step);
        }
        plan.open = end == UnitEnd::Flush && plan.uses_portals;
        if plan.open {
            batch.push(Frame::new(frontend::FLUSH, Vec::new()));
        } else {
            batch.push(extended::sync());
            plan.steps.push_back(Step::Sync);
        }
        plan.push_batch(&mut batch);
        Ok(plan)
    }

    fn empty(simple: bool) -> Self {
        Self {
            simple,
            commands: Vec::new(),
            steps: VecDeque::new(),
            open: false,
            ready: true,
            internal: false,
            uses_portals: false,
            traits: UnitTraits::new(),
            local: Vec::new(),
            answer_tags: Vec::new(),
            has_local: false,
            needs_connection: false,
            ensured: BTreeSet::new(),
            unnamed_parsed: false,
        }
    }

    fn push_batch(&mut self, batch: &mut Vec<Frame>) {
        if !batch.is_empty() {
            self.commands.push(frames(std::mem::take(batch)));
        }
    }

    /// Returns the unit as the request machine sees it. Inside a transaction block only
    /// the end of the block may commit. An open unit is assumed to write and to commit,
    /// because later messages may do either.
    pub fn unit(&self, in_transaction: bool, has_ledger_id: bool) -> Unit {
        if has_ledger_id && !in_transaction {
            return Unit {
                access: Access::Write,
                may_commit: true,
            };
        }
        let read = self.traits.reads_only && !self.open && !has_ledger_id;
        let may_commit = if in_transaction {
            self.traits.may_commit_in_block || self.open
        } else {
            self.traits.may_commit || self.open
        };
        Unit {
            access: if read { Access::Read } else { Access::Write },
            may_commit,
        }
    }

    /// Translates one extended message.
    ///
    /// # Errors
    /// When it is malformed or a limit on stored statements or portals is exceeded.
    pub fn translate(
        &mut self,
        message: &Frame,
        statements: &mut StatementTable,
        classifier: &Classifier,
    ) -> Result<Translation, UnitError> {
        match message.tag {
            frontend::PARSE => self.parse(message, statements, classifier),
            frontend::BIND => self.bind(message, statements),
            frontend::DESCRIBE => self.describe(message, statements),
            frontend::CLOSE => self.close(message, statements),
            frontend::EXECUTE => self.execute(message, statements),
            frontend::SYNC => Ok(relayed(message.clone(), Step::Sync)),
            tag => Err(MalformedMessage { tag }.into()),
        }
    }

    fn parse(
        &mut self,
        message: &Frame,
        statements: &mut StatementTable,
        classifier: &Classifier,
    ) -> Result<Translation, UnitError> {
        let parse = Parse::read(message)?;
        let class = classifier.classify(&parse.query);
        let statement = Arc::new(Statement::new(&parse, class));
        statements
            .insert(&parse.name, Arc::clone(&statement))
            .map_err(|_| UnitError::TooManyStatements)?;
        self.answer_locally(reply::empty(backend::PARSE_COMPLETE));
        match &statement.local {
            Some(_) => self.has_local = true,
            None => {
                self.traits.add_prepared(&statement.class);
                self.relay_class(&statement.query, &statement.class);
            }
        }
        if parse.name.is_empty() {
            self.unnamed_parsed = true;
            return Ok(relayed(message.clone(), Step::Single));
        }
        Ok(Translation {
            commands: self.ensure(&statement),
            step: Some(Step::Synthesised {
                frame: reply::empty(backend::PARSE_COMPLETE),
                parsed: Some(parse.name),
            }),
        })
    }

    fn bind(
        &mut self,
        message: &Frame,
        statements: &mut StatementTable,
    ) -> Result<Translation, UnitError> {
        let bind = Bind::read(message)?;
        self.uses_portals = true;
        let statement = statements.get(&bind.statement).cloned();
        if let Some(statement) = &statement {
            statements
                .bind(&bind.portal, Arc::clone(statement))
                .map_err(|_| UnitError::TooManyStatements)?;
        }
        self.answer_locally(reply::empty(backend::BIND_COMPLETE));
        let (mut commands, name) = self.resolve_statement(&bind.statement, statement.as_ref());
        commands.push(frames(vec![bind.with_statement(&name)]));
        Ok(Translation {
            commands,
            step: Some(Step::Single),
        })
    }

    fn describe(
        &mut self,
        message: &Frame,
        statements: &StatementTable,
    ) -> Result<Translation, UnitError> {
        let request = DescribeOrClose::read(message)?;
        if request.target == DescribeTarget::Portal {
            self.uses_portals = true;
            let statement = statements.portal(&request.name);
            self.needs_connection |= is_relayed(statement);
            self.describe_locally(statement);
            return Ok(relayed(message.clone(), Step::Description));
        }
        let statement = statements.get(&request.name);
        if let Some(statement) = statement {
            if statement.local.is_none() {
                self.traits.add_prepared(&statement.class);
            }
            self.answer_locally(reply::no_parameters());
        }
        self.describe_locally(statement);
        let (mut commands, name) = self.resolve_statement(&request.name, statement);
        commands.push(frames(vec![request.with_name(frontend::DESCRIBE, &name)]));
        Ok(Translation {
            commands,
            step: Some(Step::Description),
        })
    }

    fn close(
        &mut self,
        message: &Frame,
        statements: &mut StatementTable,
    ) -> Result<Translation, UnitError> {
        let request = DescribeOrClose::read(message)?;
        self.answer_locally(reply::empty(backend::CLOSE_COMPLETE));
        match request.target {
            DescribeTarget::Statement => {
                statements.remove(&request.name);
                Ok(Translation {
                    commands: Vec::new(),
                    step: Some(Step::Synthesised {
                        frame: reply::empty(backend::CLOSE_COMPLETE),
                        parsed: None,
                    }),
                })
            }
            DescribeTarget::Portal => {
                self.uses_portals = true;
                self.needs_connection |= is_relayed(statements.portal(&request.name));
                statements.close_portal(&request.name);
                Ok(relayed(message.clone(), Step::Single))
            }
        }
    }

    fn execute(
        &mut self,
        message: &Frame,
        statements: &StatementTable,
    ) -> Result<Translation, UnitError> {
        let portal = extended::execute_portal(message)?;
        self.uses_portals = true;
        self.answer_tags.push(backend::COMMAND_COMPLETE);
        match statements.portal(&portal) {
            Some(statement) => match &statement.local {
                Some(local) => self.run_locally(local.clone(), false),
                None => {
                    self.traits.execute(&statement.class);
                    self.needs_connection = true;
                }
            },
            None => {
                self.traits.reads_only = false;
                self.traits.may_commit = true;
                self.traits.may_commit_in_block = true;
                self.traits.executes = true;
                self.needs_connection = true;
            }
        }
        Ok(relayed(message.clone(), Step::Rows))
    }

    /// Adds a statement that goes to a database. It must not also change the proxy's own
    /// parameters: the database would apply the change and the proxy would not.
    fn relay_class(&mut self, text: &str, class: &UnitClass) {
        self.needs_connection = true;
        self.has_local |= local::changes_own_setting(text, class);
    }

    fn answer_locally(&mut self, frame: Frame) {
        self.answer_tags.push(frame.tag);
        self.local.push(LocalStep::Message(frame));
    }

    fn describe_locally(&mut self, statement: Option<&Arc<Statement>>) {
        match statement.and_then(|statement| statement.local.as_ref()) {
            Some(local) => self.answer_locally(local.description()),
            None => self.answer_tags.push(backend::NO_DATA),
        }
    }

    /// Adds a local statement to be run; for a simple query the description of its rows
    /// is sent first.
    fn run_locally(&mut self, local: LocalStatement, described: bool) {
        self.has_local = true;
        self.traits.only_ends = false;
        self.traits.only_opens = false;
        let description = local.description();
        if described && description.tag == backend::ROW_DESCRIPTION {
            self.answer_locally(description);
        }
        self.local.push(LocalStep::Run(local));
    }

    /// Returns the name of `statement` on the connection, and the commands that prepare
    /// it there.
    fn resolve_statement(
        &mut self,
        name: &str,
        statement: Option<&Arc<Statement>>,
    ) -> (Vec<BackendCommand>, String) {
        self.needs_connection |= is_relayed(statement);
        match statement {
            None => (Vec::new(), MISSING_STATEMENT.to_owned()),
            Some(_) if name.is_empty() && self.unnamed_parsed => (Vec::new(), String::new()),
            Some(statement) => (self.ensure(statement), statement.shared_name.clone()),
        }
    }

    fn ensure(&mut self, statement: &Arc<Statement>) -> Vec<BackendCommand> {
        if self.ensured.insert(statement.shared_name.clone()) {
            vec![statement.ensure()]
        } else {
            Vec::new()
        }
    }
}

fn is_relayed(statement: Option<&Arc<Statement>>) -> bool {
    statement.is_none_or(|statement| statement.local.is_none())
}

fn frames(frames: Vec<Frame>) -> BackendCommand {
    BackendCommand::Frames(frames)
}

fn relayed(frame: Frame, step: Step) -> Translation {
    Translation {
        commands: vec![frames(vec![frame])],
        step: Some(step),
    }
}
