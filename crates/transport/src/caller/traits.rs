//! Properties of a unit (a simple query, or extended-protocol messages up to and including
//! `Sync`), combined over all its statements.

use hookpoint_coordination::request::Access;
use hookpoint_protocol::classify::{
    CopyDirection, SessionEffect, SettingChange, StatementKind, TransactionMode, UnitClass,
};
use hookpoint_state::RequestId;

/// Run-time parameter that determines whether the transaction is read-only.
const READ_ONLY_SETTING: &str = "transaction_read_only";

/// Properties of a unit, combined over all its statements.
#[derive(Clone, Debug, Default)]
pub struct UnitTraits {
    /// Whether every statement is proved to be a read.
    pub reads_only: bool,
    /// Whether the unit may commit when it runs outside a transaction block.
    pub may_commit: bool,
    /// Whether the unit may commit when it runs inside a transaction block.
    pub may_commit_in_block: bool,
    /// Mode of the transaction block that the unit opens; `None` if the unit opens none.
    pub opens_transaction: Option<TransactionMode>,
    /// Whether the unit ends a transaction block.
    pub ends_transaction: bool,
    /// Whether the unit may leave session state on the connection.
    pub leaves_state: bool,
    /// Changes of run-time parameters by the unit's statements, in order.
    pub settings: Vec<SettingChange>,
    /// A feature in use that is not compatible with connection pooling.
    pub unsupported: Option<String>,
    /// Identifier given by the caller for a request that must not be run twice.
    pub request_id: Option<RequestId>,
    /// Whether the caller has to send COPY data.
    pub copies_in: bool,
    /// Whether the unit consists only of statements that end a transaction block.
    pub only_ends: bool,
    /// Whether the unit consists only of statements that open a transaction block.
    pub only_opens: bool,
    /// Whether the unit executes any statement, rather than only preparing or describing some.
    pub executes: bool,
    /// Whether the unit may turn a read-only transaction into one that writes.
    pub changes_mode: bool,
    /// Whether the unit sets, rolls back to or releases a savepoint.
    pub savepoints: bool,
}

impl UnitTraits {
    /// Returns whether the unit changes a run-time parameter for longer than its transaction.
    pub fn sets_beyond_transaction(&self) -> bool {
        let local =
            |change: &SettingChange| matches!(change, SettingChange::Set { local: true, .. });
        !self.settings.iter().all(local)
    }

    /// Returns the traits of a unit without statements.
    pub fn new() -> Self {
        Self {
            reads_only: true,
            only_ends: true,
            only_opens: true,
            ..Self::default()
        }
    }

    /// Adds a statement that is executed.
    pub fn execute(&mut self, class: &UnitClass) {
        self.executes = true;
        self.changes_mode |= changes_mode(class);
        self.savepoints |= class.statements.contains(&StatementKind::Savepoint);
        self.reads_only &= class.access == Access::Read;
        self.may_commit |= class.may_commit;
        self.may_commit_in_block |= class.may_commit_in_block;
        if class.opens_transaction.is_some() {
            self.opens_transaction = class.opens_transaction;
        }
        self.ends_transaction |= class.ends_transaction.is_some();
        self.leaves_state |= class.session_effect != SessionEffect::None;
        self.settings.extend(class.settings.iter().cloned());
        self.copies_in |= class.copy == Some(CopyDirection::FromCaller);
        if self.request_id.is_none() {
            self.request_id.clone_from(&class.request_id);
        }
        self.add_prepared(class);
    }

    /// Adds a statement that is only prepared or described.
    pub fn add_prepared(&mut self, class: &UnitClass) {
        self.only_ends &= class.ends_transaction.is_some() && class.statements.len() == 1;
        self.only_opens &= class.opens_transaction.is_some() && class.statements.len() == 1;
        if self.unsupported.is_none() {
            self.unsupported.clone_from(&class.unsupported);
        }
    }
}

/// Returns whether the statement is `SET TRANSACTION`, or `SET` of the underlying
/// parameter.
fn changes_mode(class: &UnitClass) -> bool {
    let read_only = |change: &SettingChange| match change {
        SettingChange::Set { name, .. } | SettingChange::Reset { name } => {
            name == READ_ONLY_SETTING
        }
        SettingChange::ResetAll => false,
    };
    class.statements.contains(&StatementKind::Set)
        && (class.settings.is_empty() || class.settings.iter().any(read_only))
}
