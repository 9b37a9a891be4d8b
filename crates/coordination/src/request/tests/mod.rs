//! Tests of the request machine: tables of lives.

mod random_lives;

use std::time::Duration;

use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{
    DatabaseName, GroupName, Lsn, Position, Refusal, SessionId, TenantName, Term, Timestamp,
    UnknownCause, ZoneName,
};

use super::{
    Access, RequestAction, RequestEvent, RequestMachine, RequestProfile, Unit, UnitResult,
};
use crate::status::{BackendStatus, FlushedReplica, Role};
use crate::terms::{GroupView, Member, Proximity, TermTable};

const READ: Unit = Unit {
    access: Access::Read,
    may_commit: false,
};
const WRITE: Unit = Unit {
    access: Access::Write,
    may_commit: true,
};
const BEGIN: Unit = Unit {
    access: Access::Write,
    may_commit: false,
};

/// Longest search for evidence.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(500);

fn group() -> GroupName {
    GroupName::new("meters")
}

fn status(role: Role, term: u32, position: u64, flushed: &[(&str, u64)]) -> BackendStatus {
    BackendStatus {
        role,
        term: Term(term),
        position: Lsn(position),
        flushed: flushed
            .iter()
            .map(|(name, position)| FlushedReplica {
                name: (*name).to_owned(),
                position: Lsn(*position),
            })
            .collect(),
    }
}

/// `a` leads on term 1 at 100; `b` in this zone is at 100 and `c` at 40.
fn table() -> TermTable {
    let mut table = TermTable::new();
    let member = |name: &str, proximity| Member {
        name: DatabaseName::new(name),
        proximity,
        draining: false,
    };
    table.configure(
        &group(),
        ReadPreference::Replica,
        [
            member("a", Proximity::SameRegion),
            member("b", Proximity::SameZone),
            member("c", Proximity::Remote),
        ],
    );
    let now = Timestamp::from_millis(1);
    for (name, answer) in [
        ("a", status(Role::Primary, 1, 100, &[])),
        ("b", status(Role::Replica, 1, 100, &[])),
        ("c", status(Role::Replica, 1, 40, &[])),
    ] {
        table.observe(now, &group(), &DatabaseName::new(name), &answer);
    }
    table
}

fn profile(unit: Unit, required: Option<Position>) -> RequestProfile {
    RequestProfile {
        session: SessionId(1),
        tenant: TenantName::new("clinic"),
        group: group(),
        zone: ZoneName::new("z1"),
        unit,
        required,
        deadline: Timestamp::from_millis(1_000),
    }
}

struct Life {
    machine: RequestMachine,
    table: TermTable,
    now: Timestamp,
}

impl Life {
    fn new(unit: Unit, required: Option<Position>) -> Self {
        Self {
            machine: RequestMachine::new(profile(unit, required), ACKNOWLEDGE_WITHIN),
            table: table(),
            now: Timestamp::from_millis(2),
        }
    }

    fn view(&self) -> GroupView {
        self.table.view(&group()).cloned().unwrap_or_default()
    }

    /// Feeds an event; records are left out of what is returned.
    fn feed(&mut self, event: RequestEvent) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        self.machine
            .handle(self.now, &self.view(), event, &mut actions);
        actions.retain(|action| !matches!(action, RequestAction::Record(_)));
        actions
    }

    fn acquire(&mut self, event: RequestEvent) -> String {
        let actions = self.feed(event);
        actions
            .iter()
            .find_map(|action| match action {
                RequestAction::Acquire { database, .. } => Some(database.as_str().to_owned()),
                _ => None,
            })
            .unwrap_or_else(|| panic!("no connection is asked for in {actions:?}"))
    }

    fn grant(&mut self, name: &str) -> Vec<RequestAction> {
        self.feed(RequestEvent::LeaseGranted {
            database: DatabaseName::new(name),
        })
    }

    /// Brings a write to the point where its evidence is awaited.
    fn commit(&mut self) {
        self.acquire(RequestEvent::Begin);
        self.grant("a");
        self.check(status(Role::Primary, 1, 120, &[]));
        assert_eq!(self.finish_unit(false), [], "its end is held back");
    }

    fn finish_unit(&mut self, in_transaction: bool) -> Vec<RequestAction> {
        self.feed(RequestEvent::UnitFinished {
            result: UnitResult::Succeeded,
            in_transaction,
        })
    }

    fn check(&mut self, answer: BackendStatus) -> Vec<RequestAction> {
        self.feed(RequestEvent::CheckAnswered { status: answer })
    }

    fn probe(&mut self, answer: BackendStatus) -> Vec<RequestAction> {
        self.feed(RequestEvent::ProbeAnswered { status: answer })
    }
}

fn at(term: u32, lsn: u64) -> Option<Position> {
    Some(Position::new(term, lsn))
}

fn finished(mut actions: Vec<RequestAction>) -> Vec<RequestAction> {
    assert_eq!(actions.pop(), Some(RequestAction::Finished));
    actions
}

#[test]
fn requests_go_where_they_must() {
    let cases = [
        ("fresh replica in the zone", READ, at(1, 100), "b"),
        ("replica that once was past it", READ, at(1, 40), "b"),
        ("nothing is known to be fresh", READ, at(1, 500), "a"),
        ("write", WRITE, at(1, 10), "a"),
        ("transaction", BEGIN, at(1, 10), "a"),
        ("lone write without a history", WRITE, None, "a"),
    ];
    for (case, unit, required, expected) in cases {
        let mut life = Life::new(unit, required);
        assert_eq!(life.acquire(RequestEvent::Begin), expected, "{case}");
    }
}

#[test]
fn a_session_without_history_is_verified_before_it_reads() {
    for unit in [READ, BEGIN] {
        let mut life = Life::new(unit, None);
        assert_eq!(life.feed(RequestEvent::Begin), [RequestAction::VerifyTerm]);
        let actions = life.feed(RequestEvent::VerifyFailed);
        assert!(matches!(actions[..], [RequestAction::Wait { .. }]));
        assert_eq!(
            life.feed(RequestEvent::TimerFired),
            [RequestAction::VerifyTerm]
        );
        let position = Position::new(1, 100);
        let actions = life.feed(RequestEvent::TermVerified { position });
        assert_eq!(actions[0], RequestAction::Require { position });
        assert!(matches!(actions[1], RequestAction::Acquire { .. }));
    }
}

#[test]
fn a_stale_answer_is_thrown_away_and_read_again_on_the_primary() {
    let behind = [
        status(Role::Replica, 1, 99, &[]),
        status(Role::Replica, 0, 5_000, &[]),
    ];
    for answer in behind {
        let mut life = Life::new(READ, at(1, 100));
        assert_eq!(life.acquire(RequestEvent::Begin), "b");
        assert_eq!(
            life.grant("b"),
            [RequestAction::Send {
                check: true,
                probe: false
            }]
        );
        let actions = life.check(answer);
        assert_eq!(actions[0], RequestAction::Discard);
        assert_eq!(actions[1], RequestAction::Release { reusable: true });
        assert!(
            matches!(&actions[2], RequestAction::Acquire { database, .. } if database.as_str() == "a")
        );
        life.grant("a");
        assert_eq!(
            life.check(status(Role::Primary, 1, 120, &[])),
            [RequestAction::Deliver]
        );
        assert_eq!(
            finished(life.finish_unit(false)),
            [RequestAction::Release { reusable: true }]
        );
    }
}

#[test]
fn a_commit_needs_a_majority_on_its_own_term() {
    let held = RequestAction::Acknowledge {
        position: at(1, 130),
    };
    let unknown = |cause| RequestAction::Unknown { cause };
    let cases = [
        (
            "majority",
            status(Role::Primary, 1, 130, &[("b", 130)]),
            Some(held),
        ),
        ("nobody else", status(Role::Primary, 1, 130, &[]), None),
        (
            "replica behind",
            status(Role::Primary, 1, 130, &[("b", 129)]),
            None,
        ),
        (
            "standby outside the group",
            status(Role::Primary, 1, 130, &[("x", 200)]),
            None,
        ),
        (
            "demoted",
            status(Role::Replica, 1, 130, &[("b", 130)]),
            Some(unknown(UnknownCause::TermChanged)),
        ),
        (
            "newer term",
            status(Role::Primary, 2, 130, &[("b", 130)]),
            Some(unknown(UnknownCause::TermChanged)),
        ),
    ];
    for (case, answer, expected) in cases {
        let mut life = Life::new(WRITE, at(1, 10));
        life.acquire(RequestEvent::Begin);
        assert_eq!(
            life.grant("a"),
            [RequestAction::Send {
                check: true,
                probe: true
            }],
            "{case}"
        );
        life.check(status(Role::Primary, 1, 120, &[]));
        assert_eq!(life.finish_unit(false), [], "{case}: held back");
        let actions = life.probe(answer);
        match expected {
            Some(expected) => assert!(finished(actions).contains(&expected), "{case}"),
            None => assert!(
                matches!(
                    actions[..],
                    [
                        RequestAction::Release { reusable: true },
                        RequestAction::AskStatus { .. }
                    ]
                ),
                "{case}"
            ),
        }
    }
}

#[test]
fn a_commit_is_not_acknowledged_once_a_higher_term_is_known() {
    let mut life = Life::new(WRITE, at(1, 10));
    life.commit();
    life.table.learn_term(&group(), Term(2));
    let actions = finished(life.probe(status(Role::Primary, 1, 130, &[("b", 130), ("c", 130)])));
    assert_eq!(
        actions,
        [
            RequestAction::Release { reusable: false },
            RequestAction::Unknown {
                cause: UnknownCause::TermChanged
            }
        ]
    );
}

#[test]
fn a_failed_block_needs_no_evidence_and_can_be_ended() {
    let mut life = Life::new(BEGIN, at(1, 10));
    life.acquire(RequestEvent::Begin);
    life.grant("a");
    life.check(status(Role::Primary, 1, 100, &[]));
    assert_eq!(life.finish_unit(true), []);
    let end = RequestEvent::NextUnit { unit: WRITE };
    let sent = RequestAction::Send {
        check: false,
        probe: true,
    };
    assert_eq!(
        life.feed(end.clone()),
        [sent.clone(), RequestAction::Deliver]
    );
    let failed = RequestEvent::UnitFinished {
        result: UnitResult::Failed {
            sqlstate: "23514".to_owned(),
        },
        in_transaction: true,
    };
    assert_eq!(life.feed(failed), []);
    assert_eq!(life.feed(end), [sent, RequestAction::Deliver]);
}

#[test]
fn a_commit_is_proved_after_its_connection_was_given_back() {
    // (case, answers to the repeated questions, expected end)
    let unknown = |cause| RequestAction::Unknown { cause };
    let held = RequestAction::Acknowledge {
        position: at(1, 130),
    };
    let later = Some(status(Role::Primary, 1, 150, &[("c", 130)]));
    let behind = Some(status(Role::Primary, 1, 150, &[("c", 129)]));
    let cases = [
        ("flushed later", vec![behind.clone(), None, later], held),
        (
            "silent",
            vec![None, None, None],
            unknown(UnknownCause::NoMajority),
        ),
        (
            "another term",
            vec![behind, Some(status(Role::Primary, 2, 150, &[("c", 150)]))],
            unknown(UnknownCause::TermChanged),
        ),
    ];
    for (case, answers, expected) in cases {
        let mut life = Life::new(WRITE, at(1, 10));
        life.commit();
        life.probe(status(Role::Primary, 1, 130, &[]));
        assert_eq!(life.feed(RequestEvent::ConnectionLost), [], "{case}");
        let mut end = Vec::new();
        for answer in answers {
            assert!(!life.machine.is_finished(), "{case}");
            end = life.feed(match answer {
                Some(status) => RequestEvent::ProbeAnswered { status },
                None => RequestEvent::ProbeFailed,
            });
        }
        assert_eq!(finished(end), [expected], "{case}");
    }
}

#[test]
fn a_primary_that_confirms_late_gets_no_more_writes_until_it_does() {
    let mut life = Life::new(WRITE, at(1, 10));
    life.commit();
    life.probe(status(Role::Primary, 1, 130, &[]));
    life.now = life.now + Duration::from_millis(99);
    let alone = || status(Role::Primary, 1, 130, &[("b", 129)]);
    assert!(matches!(
        life.probe(alone())[..],
        [RequestAction::AskStatus { .. }]
    ));
    life.now = life.now + Duration::from_millis(1);
    let primary = DatabaseName::new("a");
    let position = Position::new(1, 130);
    let doubt = RequestAction::Doubt {
        database: primary.clone(),
        position,
    };
    assert_eq!(life.probe(alone())[0], doubt);
    assert!(!life.probe(alone()).contains(&doubt), "it is told once");
    let mut next = Life::new(WRITE, at(1, 10));
    next.table.doubt(&group(), &primary, position);
    let held = next.feed(RequestEvent::Begin);
    assert!(matches!(held[..], [RequestAction::Wait { .. }]));
    let now = next.now;
    next.table.observe(now, &group(), &primary, &alone());
    let held = next.feed(RequestEvent::TimerFired);
    assert!(matches!(held[..], [RequestAction::Wait { .. }]));
    let confirmed = status(Role::Primary, 1, 140, &[("c", 130)]);
    next.table.observe(now, &group(), &primary, &confirmed);
    assert_eq!(next.acquire(RequestEvent::TimerFired), "a");
}

#[test]
fn evidence_is_given_up_at_its_deadline() {
    let mut life = Life::new(WRITE, at(1, 10));
    life.commit();
    life.now = life.now + ACKNOWLEDGE_WITHIN;
    let actions = finished(life.probe(status(Role::Primary, 1, 130, &[])));
    assert!(actions.contains(&RequestAction::Unknown {
        cause: UnknownCause::NoMajority
    }));
}

#[test]
fn a_lost_connection_is_told_as_what_it_proves() {
    let unknown = Some(RequestAction::Unknown {
        cause: UnknownCause::ConnectionLost,
    });
    let rolled_back = Some(RequestAction::Refuse {
        refusal: Refusal::RolledBack,
    });
    // (case, unit, whether the check passed, whether a block is open, expected end)
    let cases = [
        ("write sent", WRITE, false, false, unknown.clone()),
        ("write running", WRITE, true, false, unknown.clone()),
        ("read not delivered", READ, false, false, None),
        ("read half delivered", READ, true, false, unknown),
        ("BEGIN not delivered", BEGIN, false, false, None),
        ("between statements", BEGIN, true, true, rolled_back),
    ];
    for (case, unit, checked, open, expected) in cases {
        let mut life = Life::new(unit, at(1, 10));
        let database = life.acquire(RequestEvent::Begin);
        life.grant(&database);
        if checked {
            life.check(status(Role::Primary, 1, 120, &[]));
        }
        if open {
            life.finish_unit(true);
        }
        let actions = life.feed(RequestEvent::ConnectionLost);
        match expected {
            Some(expected) => assert!(finished(actions).contains(&expected), "{case}"),
            None => assert!(!life.machine.is_finished(), "{case}: {actions:?}"),
        }
    }
}

#[test]
fn a_lease_refused_after_the_unit_was_sent_early_is_no_doubt() {
    // (refusal, whether the request goes on waiting)
    let cases = [(Refusal::NoDatabase, true), (Refusal::QueueFull, false)];
    for (refusal, goes_on) in cases {
        for unit in [WRITE, READ, BEGIN] {
            let mut life = Life::new(unit, at(1, 10));
            let database = life.acquire(RequestEvent::Begin);
            life.grant(&database);
            let actions = life.feed(RequestEvent::LeaseRefused {
                database: DatabaseName::new(&database),
                refusal: refusal.clone(),
            });
            let told = RequestAction::Refuse {
                refusal: refusal.clone(),
            };
            assert_eq!(actions.contains(&told), !goes_on, "{unit:?}");
            assert_eq!(life.machine.is_finished(), !goes_on, "{unit:?}");
        }
    }
}

#[test]
fn a_write_refused_by_a_replica_moves_to_the_new_primary() {
    let mut life = Life::new(WRITE, at(1, 10));
    life.acquire(RequestEvent::Begin);
    life.grant("a");
    assert_eq!(life.check(status(Role::Replica, 1, 120, &[])), []);
    let actions = life.feed(RequestEvent::UnitFinished {
        result: UnitResult::Failed {
            sqlstate: "25006".to_owned(),
        },
        in_transaction: false,
    });
    assert_eq!(actions[0], RequestAction::Discard);
    assert!(matches!(actions[2], RequestAction::Wait { .. }));
    let answer = status(Role::Primary, 2, 130, &[]);
    let now = life.now;
    life.table
        .observe(now, &group(), &DatabaseName::new("b"), &answer);
    assert_eq!(life.acquire(RequestEvent::ViewChanged), "b");
}

#[test]
fn a_held_write_is_refused_at_its_deadline_and_not_before() {
    let mut life = Life::new(WRITE, at(2, 10));
    let actions = life.feed(RequestEvent::Begin);
    assert!(matches!(actions[..], [RequestAction::Wait { .. }]));
    life.now = Timestamp::from_millis(999);
    let actions = life.feed(RequestEvent::TimerFired);
    assert!(matches!(actions[..], [RequestAction::Wait { until }] if until.0 == 1_000_000));
    life.now = Timestamp::from_millis(1_000);
    assert_eq!(
        finished(life.feed(RequestEvent::TimerFired)),
        [RequestAction::Refuse {
            refusal: Refusal::NoPrimary
        }]
    );
}

#[test]
fn a_draining_primary_gets_no_new_work() {
    let mut life = Life::new(WRITE, at(1, 10));
    life.table.configure(
        &group(),
        ReadPreference::Replica,
        ["a", "b", "c"].map(|name| Member {
            name: DatabaseName::new(name),
            proximity: Proximity::SameZone,
            draining: name == "a",
        }),
    );
    let actions = life.feed(RequestEvent::Begin);
    assert!(matches!(actions[..], [RequestAction::Wait { .. }]));
}
