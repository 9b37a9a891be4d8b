//! The acknowledgement of one write, with three databases, up to two changes of primary
//! and every order of messages. The write is driven by the shipped request machine.

use std::collections::VecDeque;
use std::time::Duration;

use hookpoint_coordination::request::{
    Access, RequestAction, RequestEvent, RequestMachine, RequestProfile, SafetyChecks, Unit,
    UnitResult,
};
use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_coordination::terms::{Member, Proximity, TermTable};
use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{
    DatabaseName, GroupName, Lsn, Position, SessionId, TenantName, Term, Timestamp, ZoneName,
};

use super::explore::Model;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Length of the log before the write.
const START: u8 = 1;
/// Time after all deadlines.
const LATE: Timestamp = Timestamp(60_000_000);
/// Latest term that is explored.
const LAST_TERM: u8 = 3;

/// A database. Its log is told by its length, the term of its last entry and whether it
/// holds the write.
#[derive(Clone, Copy, Debug)]
struct Replica {
    length: u8,
    last_term: u8,
    holds_write: bool,
    timeline: u8,
    promised: u8,
    leads: bool,
}

#[derive(Clone, Copy, Debug)]
enum Command {
    Status,
    Write,
}

#[derive(Clone, Debug)]
enum Reply {
    Status(BackendStatus),
    Written(bool),
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    Acknowledged,
    NotRun,
    Unknown,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
    replicas: [Replica; 3],
    /// Replicas that have flushed the write for the first primary, and those of which it
    /// has heard so.
    flushed: [bool; 3],
    confirmed: [bool; 3],
    machine: RequestMachine,
    table: TermTable,
    commands: VecDeque<Command>,
    replies: VecDeque<Reply>,
    connected: bool,
    late: bool,
    told: Told,
}

/// A step of the model.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The first primary does the next command on the connection.
    Work,
    /// Its next reply reaches the machine.
    Deliver,
    /// A replica flushes the write.
    Flush(usize),
    /// The primary hears of that.
    Confirm(usize),
    /// A database is elected with the vote of another.
    Elect(usize, usize),
    /// A database follows a primary.
    Follow(usize, usize),
    /// The connection breaks.
    Break,
    /// The proxy hears of the latest term.
    Learn,
    /// All deadlines pass.
    Wait,
}

/// The model.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcknowledgeModel {
    /// Safety checks of the machine.
    pub checks: SafetyChecks,
}

fn group() -> GroupName {
    GroupName::new("group")
}

impl State {
    fn now(&self) -> Timestamp {
        if self.late { LATE } else { Timestamp(1_000) }
    }

    /// Whether the caller was told that the write is committed.
    pub fn is_acknowledged(&self) -> bool {
        self.told == Told::Acknowledged
    }

    fn status(&self) -> BackendStatus {
        let own = self.replicas[0];
        let confirmed = (1..3).filter(|index| self.confirmed[*index]);
        let flushed = confirmed.map(|index| FlushedReplica {
            name: NAMES[index].to_owned(),
            position: Lsn(u64::from(START) + 1),
        });
        BackendStatus {
            role: if own.leads {
                Role::Primary
            } else {
                Role::Replica
            },
            term: Term(u32::from(own.timeline)),
            position: Lsn(u64::from(own.length)),
            flushed: if own.leads {
                flushed.collect()
            } else {
                Vec::new()
            },
        }
    }

    fn feed(&mut self, event: RequestEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        if let Some(view) = self.table.view(&group()) {
            self.machine.handle(now, view, event, &mut actions);
        }
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: RequestAction) {
        match action {
            RequestAction::Send { check, probe } => {
                let status = |wanted: bool| wanted.then_some(Command::Status);
                self.commands.extend(status(check));
                self.commands.push_back(Command::Write);
                self.commands.extend(status(probe));
            }
            RequestAction::Probe { .. } => self.commands.push_back(Command::Status),
            RequestAction::Acknowledge { .. } => self.told = Told::Acknowledged,
            RequestAction::Refuse { .. } => self.told = Told::NotRun,
            RequestAction::Unknown { .. } => self.told = Told::Unknown,
            RequestAction::Release { .. } => {
                self.connected = false;
                self.replies.clear();
            }
            _ => {}
        }
    }

    fn work(&mut self) {
        let Some(command) = self.commands.pop_front() else {
            return;
        };
        let reply = match command {
            Command::Status => Reply::Status(self.status()),
            Command::Write => {
                let leads = self.replicas[0].leads;
                if leads {
                    self.replicas[0].length += 1;
                    self.replicas[0].last_term = self.replicas[0].timeline;
                    self.replicas[0].holds_write = true;
                }
                Reply::Written(leads)
            }
        };
        if self.connected {
            self.replies.push_back(reply);
        }
    }

    fn deliver(&mut self) {
        let unit = match self.replies.pop_front() {
            Some(Reply::Status(status)) => {
                let name = DatabaseName::new(NAMES[0]);
                let now = self.now();
                self.table.apply_status(now, &group(), &name, &status);
                let event = if self.checked() {
                    RequestEvent::ProbeAnswered { status }
                } else {
                    RequestEvent::CheckAnswered { status }
                };
                return self.feed(event);
            }
            Some(Reply::Written(true)) => UnitResult::Succeeded,
            Some(Reply::Written(false)) => UnitResult::Failed {
                sqlstate: "25006".to_owned(),
            },
            None => return,
        };
        self.feed(RequestEvent::UnitFinished {
            result: unit,
            in_transaction: false,
        });
    }

    /// Whether the check has been answered: then the next status is a probe's.
    fn checked(&self) -> bool {
        let written = self
            .replies
            .iter()
            .any(|reply| matches!(reply, Reply::Written(_)));
        let waiting = self
            .commands
            .iter()
            .any(|command| matches!(command, Command::Write));
        !(written || waiting)
    }

    fn elect(&mut self, candidate: usize, voter: usize) {
        let term = self.replicas[candidate]
            .promised
            .max(self.replicas[voter].promised)
            + 1;
        self.replicas[voter].promised = term;
        self.step_down(voter);
        let winner = &mut self.replicas[candidate];
        winner.promised = term;
        winner.timeline = term;
        winner.leads = true;
        winner.length += 1;
        winner.last_term = term;
        if candidate == 0 {
            self.confirmed = [false; 3];
        }
    }

    /// A primary that hears of a later term starts anew as a replica.
    fn step_down(&mut self, index: usize) {
        let led = std::mem::replace(&mut self.replicas[index].leads, false);
        if index == 0 && led {
            self.break_connection();
        }
    }

    fn break_connection(&mut self) {
        self.commands.clear();
        self.replies.clear();
        if std::mem::replace(&mut self.connected, false) {
            self.feed(RequestEvent::ConnectionLost);
        }
    }

    fn follow(&mut self, index: usize, primary: usize) {
        let leader = self.replicas[primary];
        self.step_down(index);
        let replica = &mut self.replicas[index];
        replica.length = leader.length;
        replica.last_term = leader.last_term;
        replica.holds_write = leader.holds_write;
        replica.timeline = leader.timeline;
        replica.promised = leader.timeline;
    }

    fn can_elect(&self, candidate: usize, voter: usize) -> bool {
        let (one, other) = (self.replicas[candidate], self.replicas[voter]);
        let term = one.promised.max(other.promised) + 1;
        candidate != voter
            && !one.leads
            && term <= LAST_TERM
            && (one.last_term, one.length) >= (other.last_term, other.length)
    }

    fn can_follow(&self, index: usize, primary: usize) -> bool {
        let (one, leader) = (self.replicas[index], self.replicas[primary]);
        index != primary && leader.leads && leader.timeline > 1 && leader.timeline >= one.promised
    }

    fn first_primary_leads(&self) -> bool {
        self.replicas[0].leads && self.replicas[0].timeline == 1
    }
}

impl Model for AcknowledgeModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let mut table = TermTable::new();
        let members = NAMES.map(|name| Member {
            name: DatabaseName::new(name),
            proximity: Proximity::SameZone,
            draining: false,
        });
        table.configure(&group(), ReadPreference::Replica, members);
        let replica = |leads| Replica {
            length: START,
            last_term: 1,
            holds_write: false,
            timeline: 1,
            promised: 1,
            leads,
        };
        let profile = RequestProfile {
            session: SessionId(1),
            tenant: TenantName::new("tenant"),
            group: group(),
            zone: ZoneName::new("zone"),
            unit: Unit {
                access: Access::Write,
                may_commit: true,
            },
            required: Some(Position::new(1, u64::from(START))),
            deadline: Timestamp(30_000_000),
        };
        let within = Duration::from_secs(5);
        let mut state = State {
            replicas: [replica(true), replica(false), replica(false)],
            flushed: [false; 3],
            confirmed: [false; 3],
            machine: RequestMachine::with_checks(profile, within, self.checks),
            table,
            commands: VecDeque::new(),
            replies: VecDeque::new(),
            connected: true,
            late: false,
            told: Told::Nothing,
        };
        let status = state.status();
        let database = DatabaseName::new(NAMES[0]);
        state
            .table
            .apply_status(Timestamp(1), &group(), &database, &status);
        state.feed(RequestEvent::Begin);
        state.feed(RequestEvent::LeaseGranted { database });
        state
    }

    fn key(&self, state: &State) -> String {
        format!("{state:?}")
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        let work = !state.commands.is_empty();
        steps.extend(work.then_some(Step::Work));
        let deliver = state.connected && !state.replies.is_empty();
        steps.extend(deliver.then_some(Step::Deliver));
        steps.extend(state.connected.then_some(Step::Break));
        steps.extend((!state.late).then_some(Step::Wait));
        steps.push(Step::Learn);
        for index in 1..3 {
            let replica = state.replicas[index];
            let may_flush = state.first_primary_leads()
                && state.replicas[0].holds_write
                && replica.promised == 1
                && !replica.holds_write;
            steps.extend(may_flush.then_some(Step::Flush(index)));
            let may_confirm =
                state.first_primary_leads() && state.flushed[index] && !state.confirmed[index];
            steps.extend(may_confirm.then_some(Step::Confirm(index)));
        }
        for one in 0..3 {
            for other in 0..3 {
                steps.extend(
                    state
                        .can_elect(one, other)
                        .then_some(Step::Elect(one, other)),
                );
                steps.extend(
                    state
                        .can_follow(one, other)
                        .then_some(Step::Follow(one, other)),
                );
            }
        }
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::Work => state.work(),
            Step::Deliver => state.deliver(),
            Step::Flush(index) => {
                let primary = state.replicas[0];
                let replica = &mut state.replicas[index];
                replica.length = primary.length;
                replica.last_term = primary.last_term;
                replica.holds_write = true;
                state.flushed[index] = true;
            }
            Step::Confirm(index) => state.confirmed[index] = true,
            Step::Elect(candidate, voter) => state.elect(candidate, voter),
            Step::Follow(index, primary) => state.follow(index, primary),
            Step::Break => state.break_connection(),
            Step::Learn => {
                let latest = state.replicas.iter().map(|replica| replica.timeline).max();
                let term = Term(u32::from(latest.unwrap_or(1)));
                if state.table.raise_term(&group(), term) {
                    state.feed(RequestEvent::ViewChanged);
                }
            }
            Step::Wait => state.late = true,
        }
    }

    fn broken(&self, state: &State) -> Option<String> {
        let leaders = state.replicas.iter().filter(|replica| replica.leads);
        let latest = leaders.max_by_key(|replica| replica.timeline);
        if state.told == Told::Acknowledged && latest.is_some_and(|replica| !replica.holds_write) {
            return Some("an acknowledged write is not held by the latest primary".to_owned());
        }
        let held = state.replicas.iter().any(|replica| replica.holds_write);
        let coming = state
            .commands
            .iter()
            .any(|command| matches!(command, Command::Write));
        if state.told == Told::NotRun && (held || coming) {
            return Some("a write told as \"not run\" is held or still to come".to_owned());
        }
        None
    }
}
