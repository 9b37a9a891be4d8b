//! A session's prepared statements and portals. Statements live with the session and
//! are put on whichever connection its transaction runs on, under a name derived from
//! their text, so that sessions share them.

use std::collections::BTreeMap;
use std::sync::Arc;

use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_protocol::classify::UnitClass;
use hookpoint_protocol::extended::Parse;
use hookpoint_protocol::prepared;

use crate::caller::local::LocalStatement;

/// Bytes of statement text one session may keep.
const STATEMENT_BYTES: usize = 4 * 1024 * 1024;
/// Portals one transaction may have at a time.
const PORTALS: usize = 10_000;
/// Bytes counted for a statement besides its text.
const STATEMENT_OVERHEAD: usize = 256;

/// A statement as the caller prepared it.
#[derive(Debug)]
pub struct Statement {
    /// Name on shared connections.
    pub shared_name: String,
    /// Its text.
    pub query: String,
    /// Its parameter types.
    pub parameter_types: Vec<u32>,
    /// What it does.
    pub class: UnitClass,
    /// What the proxy answers by itself, if it does.
    pub local: Option<LocalStatement>,
}

impl Statement {
    /// The statement of a `Parse` message.
    pub fn new(parse: &Parse, class: UnitClass) -> Self {
        Self {
            shared_name: prepared::shared_name(&parse.query, &parse.parameter_types),
            query: parse.query.clone(),
            parameter_types: parse.parameter_types.clone(),
            local: LocalStatement::of(&parse.query, &class),
            class,
        }
    }

    /// The command that puts it on a connection.
    pub fn ensure(&self) -> BackendCommand {
        BackendCommand::EnsurePrepared {
            name: self.shared_name.clone(),
            query: self.query.clone(),
            parameter_types: self.parameter_types.clone(),
        }
    }

    fn weight(&self) -> usize {
        self.query.len() + STATEMENT_OVERHEAD
    }
}

/// The session keeps more statement text than it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyStatements;

/// Statements and portals of one session.
#[derive(Debug, Default)]
pub struct StatementTable {
    named: BTreeMap<String, Arc<Statement>>,
    unnamed: Option<Arc<Statement>>,
    portals: BTreeMap<String, Arc<Statement>>,
    bytes: usize,
}

impl StatementTable {
    /// Keeps `statement` as `name`, in place of an earlier one of that name.
    ///
    /// # Errors
    /// When the session's statements would take too much memory.
    pub fn insert(
        &mut self,
        name: &str,
        statement: Arc<Statement>,
    ) -> Result<(), TooManyStatements> {
        if name.is_empty() {
            self.unnamed = Some(statement);
            return Ok(());
        }
        self.remove(name);
        if self.bytes + statement.weight() > STATEMENT_BYTES {
            return Err(TooManyStatements);
        }
        self.bytes += statement.weight();
        self.named.insert(name.to_owned(), statement);
        Ok(())
    }

    /// The statement called `name`.
    pub fn get(&self, name: &str) -> Option<&Arc<Statement>> {
        if name.is_empty() {
            self.unnamed.as_ref()
        } else {
            self.named.get(name)
        }
    }

    /// Forgets the statement called `name`. Returns whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        if name.is_empty() {
            return self.unnamed.take().is_some();
        }
        match self.named.remove(name) {
            Some(statement) => {
                self.bytes -= statement.weight();
                true
            }
            None => false,
        }
    }

    /// Forgets all statements.
    pub fn clear(&mut self) {
        self.named.clear();
        self.unnamed = None;
        self.bytes = 0;
    }

    /// Notes that `portal` runs `statement`.
    ///
    /// # Errors
    /// When the transaction has too many portals.
    pub fn bind(
        &mut self,
        portal: &str,
        statement: Arc<Statement>,
    ) -> Result<(), TooManyStatements> {
        if self.portals.len() >= PORTALS {
            return Err(TooManyStatements);
        }
        self.portals.insert(portal.to_owned(), statement);
        Ok(())
    }

    /// The statement that `portal` runs.
    pub fn portal(&self, portal: &str) -> Option<&Arc<Statement>> {
        self.portals.get(portal)
    }

    /// Forgets `portal`.
    pub fn close_portal(&mut self, portal: &str) {
        self.portals.remove(portal);
    }

    /// Forgets all portals, at the end of a transaction.
    pub fn end_transaction(&mut self) {
        self.portals.clear();
    }
}
