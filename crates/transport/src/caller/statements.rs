//! A session's prepared statements and portals. Statements belong to the session and are
//! prepared on whichever connection its transaction runs on, under a name derived from
//! their text, so that sessions share them.

use std::collections::BTreeMap;
use std::sync::Arc;

use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_protocol::classify::UnitClass;
use hookpoint_protocol::extended::Parse;
use hookpoint_protocol::prepared;

use crate::caller::local::LocalStatement;

/// Maximum bytes of statement text that one session may keep.
const MAXIMUM_STATEMENT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of portals that one transaction may have at a time.
const MAXIMUM_PORTALS: usize = 10_000;
/// Bytes counted for a statement in addition to its text.
const STATEMENT_OVERHEAD: usize = 256;

/// A statement as the caller prepared it.
#[derive(Debug)]
pub struct Statement {
    /// Name of the statement on shared connections.
    pub shared_name: String,
    /// Text of the statement.
    pub query: String,
    /// Object identifiers of the parameter types.
    pub parameter_types: Vec<u32>,
    /// Classification of the statement.
    pub class: UnitClass,
    /// The local statement, if the proxy answers it by itself.
    pub local: Option<LocalStatement>,
}

impl Statement {
    /// Creates the statement of a `Parse` message.
    pub fn new(parse: &Parse, class: UnitClass) -> Self {
        Self {
            shared_name: prepared::shared_name(&parse.query, &parse.parameter_types),
            query: parse.query.clone(),
            parameter_types: parse.parameter_types.clone(),
            local: LocalStatement::parse(&parse.query, &class),
            class,
        }
    }

    /// Returns the command that prepares the statement on a connection, unless it is
    /// prepared already.
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

/// The session keeps more statement text or portals than it may.
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
    /// Stores `statement` as `name`, replacing an earlier one of that name.
    ///
    /// # Errors
    /// When the session's statements would exceed the memory limit.
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
        if self.bytes + statement.weight() > MAXIMUM_STATEMENT_BYTES {
            return Err(TooManyStatements);
        }
        self.bytes += statement.weight();
        self.named.insert(name.to_owned(), statement);
        Ok(())
    }

    /// Returns the statement called `name`.
    pub fn get(&self, name: &str) -> Option<&Arc<Statement>> {
        if name.is_empty() {
            self.unnamed.as_ref()
        } else {
            self.named.get(name)
        }
    }

    /// Removes the statement called `name`. Returns whether there was one.
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

    /// Removes all statements, including the unnamed one. Portals are kept.
    pub fn clear(&mut self) {
        self.named.clear();
        self.unnamed = None;
        self.bytes = 0;
    }

    /// Binds `portal` to `statement`.
    ///
    /// # Errors
    /// When the transaction has too many portals.
    pub fn bind(
        &mut self,
        portal: &str,
        statement: Arc<Statement>,
    ) -> Result<(), TooManyStatements> {
        if self.portals.len() >= MAXIMUM_PORTALS {
            return Err(TooManyStatements);
        }
        self.portals.insert(portal.to_owned(), statement);
        Ok(())
    }

    /// Returns the statement that `portal` runs.
    pub fn portal(&self, portal: &str) -> Option<&Arc<Statement>> {
        self.portals.get(portal)
    }

    /// Removes `portal`.
    pub fn close_portal(&mut self, portal: &str) {
        self.portals.remove(portal);
    }

    /// Removes all portals, at the end of a transaction.
    pub fn end_transaction(&mut self) {
        self.portals.clear();
    }
}
