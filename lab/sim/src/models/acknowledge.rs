//! Acknowledgement of one write with three databases, up to two changes of primary and every
//! order of messages. The production request machine drives the write.

use std::collections::VecDeque;
use std::time::Duration;

use hookpoint_coordination::request::{
    Access, RequestAction, RequestEvent, RequestMachine, RequestProfile, SafetyChecks, Unit,
    UnitResult,
};
use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_coordination::terms::{GroupMember, Proximity, TermTable};
use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{
    DatabaseName, GroupName, Lsn, Position, SessionId, TenantName, Term, Timestamp, ZoneName,
};

use super::explore::Model;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Length of every log before the write.
const INITIAL_LENGTH: u8 = 1;
/// A time after all deadlines.
const AFTER_DEADLINES: Timestamp = Timestamp(60_000_000);
/// Highest term that is explored.
const MAX_TERM: u8 = 3;

/// A database. Its log is represented by its length, the term of its last entry and whether
/// it holds the write.
#[derive(Clone, Copy, Debug)]
struct Replica {
    length: u8,
    last_term: u8,
    holds_write: bool,
    timeline: u8,
    current_term: u8,
    is_primary: bool,
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

/// Outcome reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerOutcome {
    Pending,
    Acknowledged,
    NotRun,
    Unknown,
}

/// State of the model.
#[derive(Clone, Debug)]
pub struct State {
    replicas: [Replica; 3],
    /// Replicas that have flushed the write for the first primary.
    flushed: [bool; 3],
    /// Replicas whose flush has been confirmed to the first primary.
    confirmed: [bool; 3],
    machine: RequestMachine,
    table: TermTable,
    commands: VecDeque<Command>,
    replies: VecDeque<Reply>,
    connected: bool,
    deadlines_passed: bool,
    caller_outcome: CallerOutcome,
}

/// A step of the model.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The first primary executes the next command on the connection.
    RunCommand,
    /// The next reply of the first primary reaches the request machine.
    Deliver,
    /// A replica flushes the write.
    Flush(usize),
    /// The first primary receives the confirmation of a flush.
    Confirm(usize),
    /// The database with the first index is elected with the vote of the one with the second.
    Elect(usize, usize),
    /// The database with the first index starts to follow the primary with the second.
    Follow(usize, usize),
    /// The connection breaks.
    Break,
    /// The proxy receives the latest term.
    LearnTerm,
    /// All deadlines pass.
    PassDeadlines,
}

/// Model of the acknowledgement of a write.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcknowledgeModel {
    /// Safety checks that the request machine makes.
    pub checks: SafetyChecks,
}

fn group() -> GroupName {
    GroupName::new("group")
}

impl State {
    fn now(&self) -> Timestamp {
        if self.deadlines_passed {
            AFTER_DEADLINES
        } else {
            Timestamp(1_000)
        }
    }

    /// Returns whether the write was reported to the caller as committed.
    pub fn is_acknowledged(&self) -> bool {
        self.caller_outcome == CallerOutcome::Acknowledged
    }

    fn status(&self) -> BackendStatus {
        let own = self.replicas[0];
        let confirmed = (1..3).filter(|index| self.confirmed[*index]);
        let flushed = confirmed.map(|index| FlushedReplica {
            name: NAMES[index].to_owned(),
            position: Lsn(u64::from(INITIAL_LENGTH) + 1),
        });
        BackendStatus {
            role: if own.is_primary {
                Role::Primary
            } else {
                Role::Replica
            },
            term: Term(u32::from(own.timeline)),
            position: Lsn(u64::from(own.length)),
            flushed: if own.is_primary {
                flushed.collect()
            } else {
                Vec::new()
            },
        }
    }

    fn request_event(&mut self, event: RequestEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        if let Some(view) = self.table.view(&group()) {
            self.machine.handle(now, view, event, &mut actions);
        }
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: RequestAction) {
        match action {
            RequestAction::Send { check, probe } => {
                let status = |wanted: bool| wanted.then_some(Command::Status);
                self.commands.extend(status(check));
                self.commands.push_back(Command::Write);
                self.commands.extend(status(probe));
            }
            RequestAction::Probe { .. } => self.commands.push_back(Command::Status),
            RequestAction::Acknowledge { .. } => self.caller_outcome = CallerOutcome::Acknowledged,
            RequestAction::Refuse { .. } => self.caller_outcome = CallerOutcome::NotRun,
            RequestAction::Unknown { .. } => self.caller_outcome = CallerOutcome::Unknown,
            RequestAction::Release { .. } => {
                self.connected = false;
                self.replies.clear();
            }
            _ => {}
        }
    }

    fn run_command(&mut self) {
        let Some(command) = self.commands.pop_front() else {
            return;
        };
        let reply = match command {
            Command::Status => Reply::Status(self.status()),
            Command::Write => {
                let is_primary = self.replicas[0].is_primary;
                if is_primary {
                    self.replicas[0].length += 1;
                    self.replicas[0].last_term = self.replicas[0].timeline;
                    self.replicas[0].holds_write = true;
                }
                Reply::Written(is_primary)
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
                return self.request_event(event);
            }
            Some(Reply::Written(true)) => UnitResult::Succeeded,
            Some(Reply::Written(false)) => UnitResult::Failed {
                sqlstate: "25006".to_owned(),
            },
            None => return,
        };
        self.request_event(RequestEvent::UnitFinished {
            result: unit,
            in_transaction: false,
        });
    }

    /// Returns whether the status query before the write has been answered; the next status then
    /// answers a probe.
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
            .current_term
            .max(self.replicas[voter].current_term)
            + 1;
        self.replicas[voter].current_term = term;
        self.step_down(voter);
        let winner = &mut self.replicas[candidate];
        winner.current_term = term;
        winner.timeline = term;
        winner.is_primary = true;
        winner.length += 1;
        winner.last_term = term;
        if candidate == 0 {
            self.confirmed = [false; 3];
        }
    }

    /// Makes a database a replica, as a message of a later term does. If database 0 was the
    /// primary, it restarts and the connection to it breaks.
    fn step_down(&mut self, index: usize) {
        let was_primary = std::mem::replace(&mut self.replicas[index].is_primary, false);
        if index == 0 && was_primary {
            self.break_connection();
        }
    }

    fn break_connection(&mut self) {
        self.commands.clear();
        self.replies.clear();
        if std::mem::replace(&mut self.connected, false) {
            self.request_event(RequestEvent::ConnectionLost);
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
        replica.current_term = leader.timeline;
    }

    fn can_elect(&self, candidate: usize, voter: usize) -> bool {
        let (first, second) = (self.replicas[candidate], self.replicas[voter]);
        let term = first.current_term.max(second.current_term) + 1;
        candidate != voter
            && !first.is_primary
            && term <= MAX_TERM
            && (first.last_term, first.length) >= (second.last_term, second.length)
    }

    fn can_follow(&self, index: usize, primary: usize) -> bool {
        let (follower, leader) = (self.replicas[index], self.replicas[primary]);
        index != primary
            && leader.is_primary
            && leader.timeline > 1
            && leader.timeline >= follower.current_term
    }

    fn first_primary_is_active(&self) -> bool {
        self.replicas[0].is_primary && self.replicas[0].timeline == 1
    }
}

impl Model for AcknowledgeModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let mut table = TermTable::new();
        let members = NAMES.map(|name| GroupMember {
            name: DatabaseName::new(name),
            proximity: Proximity::SameZone,
            draining: false,
        });
        table.configure(&group(), ReadPreference::Replica, members);
        let replica = |is_primary| Replica {
            length: INITIAL_LENGTH,
            last_term: 1,
            holds_write: false,
            timeline: 1,
            current_term: 1,
            is_primary,
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
            required: Some(Position::new(1, u64::from(INITIAL_LENGTH))),
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
            deadlines_passed: false,
            caller_outcome: CallerOutcome::Pending,
        };
        let status = state.status();
        let database = DatabaseName::new(NAMES[0]);
        state
            .table
            .apply_status(Timestamp(1), &group(), &database, &status);
        state.request_event(RequestEvent::Begin);
        state.request_event(RequestEvent::LeaseGranted { database });
        state
    }

    fn key(&self, state: &State) -> String {
        format!("{state:?}")
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        let work = !state.commands.is_empty();
        steps.extend(work.then_some(Step::RunCommand));
        let deliver = state.connected && !state.replies.is_empty();
        steps.extend(deliver.then_some(Step::Deliver));
        steps.extend(state.connected.then_some(Step::Break));
        steps.extend((!state.deadlines_passed).then_some(Step::PassDeadlines));
        steps.push(Step::LearnTerm);
        for index in 1..3 {
            let replica = state.replicas[index];
            let may_flush = state.first_primary_is_active()
                && state.replicas[0].holds_write
                && replica.current_term == 1
                && !replica.holds_write;
            steps.extend(may_flush.then_some(Step::Flush(index)));
            let may_confirm =
                state.first_primary_is_active() && state.flushed[index] && !state.confirmed[index];
            steps.extend(may_confirm.then_some(Step::Confirm(index)));
        }
        for first in 0..3 {
            for second in 0..3 {
                steps.extend(
                    state
                        .can_elect(first, second)
                        .then_some(Step::Elect(first, second)),
                );
                steps.extend(
                    state
                        .can_follow(first, second)
                        .then_some(Step::Follow(first, second)),
                );
            }
        }
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::RunCommand => state.run_command(),
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
            Step::LearnTerm => {
                let latest = state.replicas.iter().map(|replica| replica.timeline).max();
                let term = Term(u32::from(latest.unwrap_or(1)));
                if state.table.raise_term(&group(), term) {
                    state.request_event(RequestEvent::ViewChanged);
                }
            }
            Step::PassDeadlines => state.deadlines_passed = true,
        }
    }

    fn violation(&self, state: &State) -> Option<String> {
        let primaries = state.replicas.iter().filter(|replica| replica.is_primary);
        let latest = primaries.max_by_key(|replica| replica.timeline);
        if state.caller_outcome == CallerOutcome::Acknowledged
            && latest.is_some_and(|replica| !replica.holds_write)
        {
            return Some("an acknowledged write is not held by the latest primary".to_owned());
        }
        let held = state.replicas.iter().any(|replica| replica.holds_write);
        let queued = state
            .commands
            .iter()
            .any(|command| matches!(command, Command::Write));
        if state.caller_outcome == CallerOutcome::NotRun && (held || queued) {
            return Some("a write reported as \"not run\" is held or still queued".to_owned());
        }
        None
    }
}
