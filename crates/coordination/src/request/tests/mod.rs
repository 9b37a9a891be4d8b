//! Tests of the request machine with fixed sequences of events.

mod random_events;

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
use crate::terms::{GroupMember, GroupView, Proximity, TermTable};

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

/// Time limit for collecting evidence.
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

/// `a` is the primary on term 1 at position 100; replica `b` in this zone is at 100 and
/// replica `c` at 40.
fn table() -> TermTable {
    let mut table = TermTable::new();
    let member = |name: &str, proximity| GroupMember {
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
        table.apply_status(now, &group(), &DatabaseName::new(name), &answer);
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

struct Harness {
    machine: RequestMachine,
    table: TermTable,
    now: Timestamp,
}

impl Harness {
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

    /// Handles an event. Returns the actions without the explain records.
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
            .unwrap_or_else(|| panic!("no connection is requested in {actions:?}"))
    }

    fn grant(&mut self, name: &str) -> Vec<RequestAction> {
        self.feed(RequestEvent::LeaseGranted {
            database: DatabaseName::new(name),
        })
    }

    /// Runs a write up to the point where its evidence is awaited.
    fn commit(&mut self) {
        self.acquire(RequestEvent::Begin);
        self.grant("a");
        self.check(status(Role::Primary, 1, 120, &[]));
        assert_eq!(
            self.finish_unit(false),
            [],
            "the end of the answer is held back"
        );
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
fn requests_are_routed_by_access_and_required_position() {
    let cases = [
        ("fresh replica in the zone", READ, at(1, 100), "b"),
        (
            "replica observed past the required position",
            READ,
            at(1, 40),
            "b",
        ),
        ("no replica is expected to be fresh", READ, at(1, 500), "a"),
        ("write", WRITE, at(1, 10), "a"),
        ("transaction", BEGIN, at(1, 10), "a"),
        ("single-unit write without a history", WRITE, None, "a"),
    ];
    for (case, unit, required, expected) in cases {
        let mut harness = Harness::new(unit, required);
        assert_eq!(harness.acquire(RequestEvent::Begin), expected, "{case}");
    }
}

#[test]
fn a_session_without_history_is_verified_before_it_reads() {
    for unit in [READ, BEGIN] {
        let mut harness = Harness::new(unit, None);
        assert_eq!(
            harness.feed(RequestEvent::Begin),
            [RequestAction::VerifyTerm]
        );
        let actions = harness.feed(RequestEvent::VerifyFailed);
        assert!(matches!(actions[..], [RequestAction::Wait { .. }]));
        assert_eq!(
            harness.feed(RequestEvent::TimerFired),
            [RequestAction::VerifyTerm]
        );
        let position = Position::new(1, 100);
        let actions = harness.feed(RequestEvent::TermVerified { position });
        assert_eq!(actions[0], RequestAction::Require { position });
        assert!(matches!(actions[1], RequestAction::Acquire { .. }));
    }
}

#[test]
fn a_stale_answer_is_discarded_and_the_read_repeated_on_the_primary() {
    let behind = [
        status(Role::Replica, 1, 99, &[]),
        status(Role::Replica, 0, 5_000, &[]),
    ];
    for answer in behind {
        let mut harness = Harness::new(READ, at(1, 100));
        assert_eq!(harness.acquire(RequestEvent::Begin), "b");
        assert_eq!(
            harness.grant("b"),
            [RequestAction::Send {
                check: true,
                probe: false
            }]
        );
        let actions = harness.check(answer);
        assert_eq!(actions[0], RequestAction::Discard);
        assert_eq!(actions[1], RequestAction::Release { reusable: true });
        assert!(
            matches!(&actions[2], RequestAction::Acquire { database, .. } if database.as_str() == "a")
        );
        harness.grant("a");
        assert_eq!(
            harness.check(status(Role::Primary, 1, 120, &[])),
            [RequestAction::Deliver]
        );
        assert_eq!(
            finished(harness.finish_unit(false)),
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
        ("primary alone", status(Role::Primary, 1, 130, &[]), None),
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
        let mut harness = Harness::new(WRITE, at(1, 10));
        harness.acquire(RequestEvent::Begin);
        assert_eq!(
            harness.grant("a"),
            [RequestAction::Send {
                check: true,
                probe: true
            }],
            "{case}"
        );
        harness.check(status(Role::Primary, 1, 120, &[]));
        assert_eq!(
            harness.finish_unit(false),
            [],
            "{case}: the end of the answer is held back"
        );
        let actions = harness.probe(answer);
        match expected {
            Some(expected) => assert!(finished(actions).contains(&expected), "{case}"),
            None => assert!(
                matches!(
                    actions[..],
                    [
                        RequestAction::Release { reusable: true },
                        RequestAction::QueryStatus { .. }
                    ]
                ),
                "{case}"
            ),
        }
    }
}

#[test]
fn a_commit_is_not_acknowledged_once_a_higher_term_is_known() {
    let mut harness = Harness::new(WRITE, at(1, 10));
    harness.commit();
    harness.table.raise_term(&group(), Term(2));
    let actions = finished(harness.probe(status(Role::Primary, 1, 130, &[("b", 130), ("c", 130)])));
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
    let mut harness = Harness::new(BEGIN, at(1, 10));
    harness.acquire(RequestEvent::Begin);
    harness.grant("a");
    harness.check(status(Role::Primary, 1, 100, &[]));
    assert_eq!(harness.finish_unit(true), []);
    let end = RequestEvent::NextUnit { unit: WRITE };
    let sent = RequestAction::Send {
        check: false,
        probe: true,
    };
    assert_eq!(
        harness.feed(end.clone()),
        [sent.clone(), RequestAction::Deliver]
    );
    let failed = RequestEvent::UnitFinished {
        result: UnitResult::Failed {
            sqlstate: "23514".to_owned(),
        },
        in_transaction: true,
    };
    assert_eq!(harness.feed(failed), []);
    assert_eq!(harness.feed(end), [sent, RequestAction::Deliver]);
}

#[test]
fn a_commit_is_confirmed_after_its_connection_was_released() {
    // (case, answers to the repeated probes, expected end)
    let unknown = |cause| RequestAction::Unknown { cause };
    let held = RequestAction::Acknowledge {
        position: at(1, 130),
    };
    let later = Some(status(Role::Primary, 1, 150, &[("c", 130)]));
    let behind = Some(status(Role::Primary, 1, 150, &[("c", 129)]));
    let cases = [
        ("flushed later", vec![behind.clone(), None, later], held),
        (
            "unanswered",
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
        let mut harness = Harness::new(WRITE, at(1, 10));
        harness.commit();
        harness.probe(status(Role::Primary, 1, 130, &[]));
        assert_eq!(harness.feed(RequestEvent::ConnectionLost), [], "{case}");
        let mut end = Vec::new();
        for answer in answers {
            assert!(!harness.machine.is_finished(), "{case}");
            end = harness.feed(match answer {
                Some(status) => RequestEvent::ProbeAnswered { status },
                None => RequestEvent::ProbeFailed,
            });
        }
        assert_eq!(finished(end), [expected], "{case}");
    }
}

#[test]
fn a_primary_with_an_unconfirmed_commit_gets_no_writes() {
    let mut harness = Harness::new(WRITE, at(1, 10));
    harness.commit();
    harness.probe(status(Role::Primary, 1, 130, &[]));
    harness.now = harness.now + Duration::from_millis(99);
    let alone = || status(Role::Primary, 1, 130, &[("b", 129)]);
    assert!(matches!(
        harness.probe(alone())[..],
        [RequestAction::QueryStatus { .. }]
    ));
    harness.now = harness.now + Duration::from_millis(1);
    let primary = DatabaseName::new("a");
    let position = Position::new(1, 130);
    let mark_unconfirmed = RequestAction::MarkUnconfirmed {
        database: primary.clone(),
        position,
    };
    assert_eq!(harness.probe(alone())[0], mark_unconfirmed);
    assert!(
        !harness.probe(alone()).contains(&mark_unconfirmed),
        "reported once"
    );
    let mut next = Harness::new(WRITE, at(1, 10));
    next.table.mark_unconfirmed(&group(), &primary, position);
    let held = next.feed(RequestEvent::Begin);
    assert!(matches!(held[..], [RequestAction::Wait { .. }]));
    let now = next.now;
    next.table.apply_status(now, &group(), &primary, &alone());
    let held = next.feed(RequestEvent::TimerFired);
    assert!(matches!(held[..], [RequestAction::Wait { .. }]));
    let confirmed = status(Role::Primary, 1, 140, &[("c", 130)]);
    next.table.apply_status(now, &group(), &primary, &confirmed);
    assert_eq!(next.acquire(RequestEvent::TimerFired), "a");
}

#[test]
fn waiting_for_evidence_stops_at_its_deadline() {
    let mut harness = Harness::new(WRITE, at(1, 10));
    harness.commit();
    harness.now = harness.now + ACKNOWLEDGE_WITHIN;
    let actions = finished(harness.probe(status(Role::Primary, 1, 130, &[])));
    assert!(actions.contains(&RequestAction::Unknown {
        cause: UnknownCause::NoMajority
    }));
}

#[test]
fn a_lost_connection_is_reported_by_what_it_implies() {
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
        let mut harness = Harness::new(unit, at(1, 10));
        let database = harness.acquire(RequestEvent::Begin);
        harness.grant(&database);
        if checked {
            harness.check(status(Role::Primary, 1, 120, &[]));
        }
        if open {
            harness.finish_unit(true);
        }
        let actions = harness.feed(RequestEvent::ConnectionLost);
        match expected {
            Some(expected) => assert!(finished(actions).contains(&expected), "{case}"),
            None => assert!(!harness.machine.is_finished(), "{case}: {actions:?}"),
        }
    }
}

#[test]
fn a_lease_refused_after_the_unit_was_sent_early_is_not_an_unknown_outcome() {
    // (refusal, whether the request keeps waiting)
    let cases = [(Refusal::NoDatabase, true), (Refusal::QueueFull, false)];
    for (refusal, keeps_waiting) in cases {
        for unit in [WRITE, READ, BEGIN] {
            let mut harness = Harness::new(unit, at(1, 10));
            let database = harness.acquire(RequestEvent::Begin);
            harness.grant(&database);
            let actions = harness.feed(RequestEvent::LeaseRefused {
                database: DatabaseName::new(&database),
                refusal: refusal.clone(),
            });
            let refused = RequestAction::Refuse {
                refusal: refusal.clone(),
            };
            assert_eq!(actions.contains(&refused), !keeps_waiting, "{unit:?}");
            assert_eq!(harness.machine.is_finished(), !keeps_waiting, "{unit:?}");
        }
    }
}

#[test]
fn a_write_refused_by_a_replica_moves_to_the_new_primary() {
    let mut harness = Harness::new(WRITE, at(1, 10));
    harness.acquire(RequestEvent::Begin);
    harness.grant("a");
    assert_eq!(harness.check(status(Role::Replica, 1, 120, &[])), []);
    let actions = harness.feed(RequestEvent::UnitFinished {
        result: UnitResult::Failed {
            sqlstate: "25006".to_owned(),
        },
        in_transaction: false,
    });
    assert_eq!(actions[0], RequestAction::Discard);
    assert!(matches!(actions[2], RequestAction::Wait { .. }));
    let answer = status(Role::Primary, 2, 130, &[]);
    let now = harness.now;
    harness
        .table
        .apply_status(now, &group(), &DatabaseName::new("b"), &answer);
    assert_eq!(harness.acquire(RequestEvent::ViewChanged), "b");
}

#[test]
fn a_held_write_is_refused_at_its_deadline_and_not_before() {
    let mut harness = Harness::new(WRITE, at(2, 10));
    let actions = harness.feed(RequestEvent::Begin);
    assert!(matches!(actions[..], [RequestAction::Wait { .. }]));
    harness.now = Timestamp::from_millis(999);
    let actions = harness.feed(RequestEvent::TimerFired);
    assert!(matches!(actions[..], [RequestAction::Wait { until }] if until.0 == 1_000_000));
    harness.now = Timestamp::from_millis(1_000);
    assert_eq!(
        finished(harness.feed(RequestEvent::TimerFired)),
        [RequestAction::Refuse {
            refusal: Refusal::NoPrimary
        }]
    );
}

#[test]
fn a_draining_primary_gets_no_new_work() {
    let mut harness = Harness::new(WRITE, at(1, 10));
    harness.table.configure(
        &group(),
        ReadPreference::Replica,
        ["a", "b", "c"].map(|name| GroupMember {
            name: DatabaseName::new(name),
            proximity: Proximity::SameZone,
            draining: name == "a",
        }),
    );
    let actions = harness.feed(RequestEvent::Begin);
    assert!(matches!(actions[..], [RequestAction::Wait { .. }]));
}
