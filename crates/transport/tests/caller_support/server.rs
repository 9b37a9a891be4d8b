//! State shared by the fake databases of one group: roles, logs and injected faults.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_state::{Lsn, Position, Term};

/// One database of the group.
#[derive(Debug)]
pub struct Node {
    pub role: Role,
    pub position: Position,
}

/// State shared by all fake databases of a group.
pub struct Server {
    pub nodes: BTreeMap<String, Node>,
    /// Whether replicas confirm the primary's writes.
    pub replicas_confirm: bool,
    /// Whether replicas apply the primary's writes at once.
    pub replicas_follow: bool,
    /// Statements that ran, as pairs of database and text.
    pub log: Vec<(String, String)>,
    /// Identifiers in the request ledger.
    pub ledger: BTreeSet<String>,
    /// Whether the ledger table exists.
    pub has_ledger: bool,
    /// Breaks the connection when a statement containing this text arrives, this many
    /// times.
    pub break_before: Option<(String, usize)>,
    /// Breaks the connection after a statement containing this text ran, before its
    /// answer.
    pub break_after: Option<String>,
    /// COPY data received.
    pub copied: Vec<u8>,
    /// Run-time parameters set on connections before their first statement.
    pub settings: Vec<BTreeMap<String, String>>,
    /// Statements that were prepared on a connection.
    pub prepared: Vec<String>,
    /// Number of status queries behind a statement that fail, as if a late cancel request
    /// had hit them.
    pub failing_probes: usize,
    /// Databases that send nothing, as if partitioned.
    pub silent: BTreeSet<String>,
    /// Number of cancel commands that reached a connection.
    pub cancels: usize,
}

impl Server {
    pub fn new(names: &[&str]) -> Self {
        let nodes = names.iter().enumerate().map(|(index, name)| {
            let role = if index == 0 {
                Role::Primary
            } else {
                Role::Replica
            };
            let position = Position::new(1, 100);
            ((*name).to_owned(), Node { role, position })
        });
        Self {
            nodes: nodes.collect(),
            replicas_confirm: true,
            replicas_follow: true,
            log: Vec::new(),
            ledger: BTreeSet::new(),
            has_ledger: true,
            break_before: None,
            break_after: None,
            copied: Vec::new(),
            settings: Vec::new(),
            prepared: Vec::new(),
            failing_probes: 0,
            silent: BTreeSet::new(),
            cancels: 0,
        }
    }

    pub fn status(&self, name: &str) -> BackendStatus {
        let node = &self.nodes[name];
        let replicas = self
            .nodes
            .iter()
            .filter(|(_, node)| node.role == Role::Replica);
        let flushed = replicas.map(|(name, _)| FlushedReplica {
            name: name.clone(),
            position: if self.replicas_confirm {
                node.position.lsn
            } else {
                Lsn(0)
            },
        });
        BackendStatus {
            role: node.role,
            term: node.position.term,
            position: node.position.lsn,
            flushed: match node.role {
                Role::Primary => flushed.collect(),
                Role::Replica => Vec::new(),
            },
        }
    }

    /// Makes another database the primary of a new term.
    pub fn promote(&mut self, name: &str) {
        let term = self.nodes.values().map(|node| node.position.term.0).max();
        let term = Term(term.unwrap_or_default() + 1);
        for (other, node) in &mut self.nodes {
            node.role = if other == name {
                Role::Primary
            } else {
                Role::Replica
            };
            node.position.term = term;
        }
    }

    pub fn advance(&mut self, name: &str) {
        let lsn = self.nodes[name].position.lsn.0 + 1;
        for (other, node) in &mut self.nodes {
            if other == name || self.replicas_follow {
                node.position.lsn = Lsn(lsn);
            }
        }
    }
}
