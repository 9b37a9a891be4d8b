//! What is in flight on a connection for one unit, and which part of the stream of
//! replies belongs to what.

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
    /// Answer to the insert of a request identifier.
    Ledger,
    /// Answer to the unit.
    Unit,
    /// Answer to the `COMMIT` put around a request that is not repeatable.
    Commit,
    /// Answer to a status query behind the unit.
    Probe,
    /// Answer to a status query that nobody waits for any more.
    Stale,
}

/// Commands still to be handed over and sections still to be read.
#[derive(Debug, Default)]
pub struct Flight {
    /// Commands to be handed to the connection, in order.
    pub outgoing: VecDeque<BackendCommand>,
    /// Sections to be read, in order.
    pub sections: VecDeque<Section>,
    trailer: Vec<(Section, BackendCommand)>,
}

/// Which statements are put around a unit.
#[derive(Clone, Debug, Default)]
pub struct Wrapping {
    /// The status query ahead.
    pub check: bool,
    /// The status query behind.
    pub probe: bool,
    /// The request identifier to be put into the ledger.
    pub ledger: Option<RequestId>,
    /// Whether the ledger row and the unit need a transaction block of their own.
    pub block: bool,
    /// Whether what stands behind the unit has to wait until the caller has sent all
    /// of it, because it is open or takes COPY data.
    pub defer: bool,
}

impl Flight {
    /// Adds a unit with what is put around it.
    pub fn launch(&mut self, unit: &[BackendCommand], wrapping: &Wrapping) {
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
            self.unit_sent();
        }
    }

    /// The caller has sent all of the unit; what stands behind it may follow.
    pub fn unit_sent(&mut self) {
        for (section, command) in std::mem::take(&mut self.trailer) {
            self.push(section, command);
        }
    }

    /// Adds a status query alone.
    pub fn probe(&mut self) {
        self.push(Section::Probe, status_query());
    }

    /// Nobody waits for the status behind the unit any more.
    pub fn forget_probes(&mut self) {
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
