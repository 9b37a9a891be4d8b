//! Commands and replies in flight on a connection for one unit, and which part of the
//! reply stream answers which command.

use std::collections::VecDeque;

use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_protocol::extended;
use hookpoint_protocol::status_query::STATUS_QUERY;
use hookpoint_state::RequestId;

/// A part of the reply stream. Each ends with a `ReadyForQuery`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// Answer to the status query ahead of the unit.
    Check,
    /// Answer to the `BEGIN` put around a request that is not repeatable.
    Begin,
    /// Answer to the insert of a request identifier into the ledger.
    Ledger,
    /// Answer to the unit.
    Unit,
    /// Answer to the `COMMIT` put around a request that is not repeatable.
    Commit,
    /// Answer to a status query behind the unit.
    Probe,
    /// Answer to a status query whose result is no longer needed.
    Stale,
}

/// Commands still to be sent and reply sections still to be read.
#[derive(Debug, Default)]
pub struct Pipeline {
    /// Commands to be sent to the connection, in order.
    pub outgoing: VecDeque<BackendCommand>,
    /// Reply sections to be read, in order.
    pub sections: VecDeque<Section>,
    trailer: Vec<(Section, BackendCommand)>,
}

/// Which statements are added around a unit.
#[derive(Clone, Debug, Default)]
pub struct Wrapping {
    /// Whether a status query is sent ahead of the unit.
    pub check: bool,
    /// Whether a status query is sent behind the unit.
    pub probe: bool,
    /// Request identifier to be written to the ledger.
    pub ledger: Option<RequestId>,
    /// Whether the ledger row and the unit need a transaction block of their own.
    pub block: bool,
    /// Whether the commands behind the unit have to wait until the caller has sent all of
    /// the unit, because it is open or takes COPY data.
    pub defer: bool,
}

impl Pipeline {
    /// Queues a unit and the statements around it.
    pub fn push_unit(&mut self, unit: &[BackendCommand], wrapping: &Wrapping) {
        if wrapping.check {
            self.push(Section::Check, status_query());
        }
        if let Some(request) = &wrapping.ledger {
            if wrapping.block {
                self.push(Section::Begin, statement("BEGIN"));
            }
            self.push(Section::Ledger, statement(&ledger_insert(request)));
        }
        self.sections.push_back(Section::Unit);
        self.outgoing.extend(unit.iter().cloned());
        let mut trailer = Vec::new();
        if wrapping.ledger.is_some() && wrapping.block {
            trailer.push((Section::Commit, statement("COMMIT")));
        }
        if wrapping.probe {
            trailer.push((Section::Probe, status_query()));
        }
        self.trailer = trailer;
        if !wrapping.defer {
            self.push_trailer();
        }
    }

    /// Queues the commands behind the unit, once the caller has sent all of it.
    pub fn push_trailer(&mut self) {
        for (section, command) in std::mem::take(&mut self.trailer) {
            self.push(section, command);
        }
    }

    /// Queues a status query without a unit.
    pub fn push_probe(&mut self) {
        self.push(Section::Probe, status_query());
    }

    /// Marks the status queries behind the unit as stale; their results are no longer
    /// needed.
    pub fn mark_probes_stale(&mut self) {
        for section in &mut self.sections {
            if *section == Section::Probe {
                *section = Section::Stale;
            }
        }
    }

    fn push(&mut self, section: Section, command: BackendCommand) {
        self.sections.push_back(section);
        self.outgoing.push_back(command);
    }
}

fn status_query() -> BackendCommand {
    statement(STATUS_QUERY)
}

fn statement(text: &str) -> BackendCommand {
    BackendCommand::Frames(vec![extended::query(text)])
}

fn ledger_insert(request: &RequestId) -> String {
    format!(
        "INSERT INTO hookpoint.request_ledger(request_id) VALUES ('{}')",
        request.as_str().replace('\'', "''")
    )
}
