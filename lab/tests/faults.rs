//! Parsing of faults and schedules.

use std::time::Duration;

use hookpoint_lab::fault::{Fault, FaultError, ScheduledFault, Target, parse_schedule};
use hookpoint_state::{DatabaseName, GroupName, ZoneName};

#[test]
fn every_fault_is_parsed() {
    let database = || DatabaseName::new("mensajes-1-b");
    let table = [
        (
            "kill primary mensajes-1",
            Fault::Kill(Target::PrimaryOf(GroupName::new("mensajes-1"))),
        ),
        (
            "kill mensajes-1-b",
            Fault::Kill(Target::Database(database())),
        ),
        ("restart mensajes-1-b", Fault::Restart(database())),
        (
            "pause mensajes-1-b",
            Fault::Pause(Target::Database(database())),
        ),
        ("resume mensajes-1-b", Fault::Resume(database())),
        (
            "isolate mensajes-1-b",
            Fault::Isolate(Target::Database(database())),
        ),
        ("rejoin mensajes-1-b", Fault::Rejoin(database())),
        (
            "lag mensajes-1-b 2000",
            Fault::Lag(database(), Duration::from_secs(2)),
        ),
        (
            "switchover mensajes-1 mensajes-1-b",
            Fault::Switchover(GroupName::new("mensajes-1"), database()),
        ),
        (
            "cut zone al-sala-b",
            Fault::CutZone(ZoneName::new("al-sala-b")),
        ),
        (
            "heal zone al-sala-b",
            Fault::HealZone(ZoneName::new("al-sala-b")),
        ),
        ("stop proxy 2", Fault::StopProxy(2)),
        ("kill proxy 1", Fault::KillProxy(1)),
        ("start proxy 1", Fault::StartProxy(1)),
        ("platform down", Fault::PlatformDown),
        (
            "platform slow 500",
            Fault::PlatformSlow(Duration::from_millis(500)),
        ),
        ("platform up", Fault::PlatformUp),
        ("heal", Fault::Heal),
    ];
    for (text, expected) in table {
        assert_eq!(text.parse(), Ok(expected), "{text}");
    }
}

#[test]
fn a_schedule_is_sorted_by_time() {
    let text = "# a comment\n\nat 2.5 heal\nat 1 platform down\n";
    let expected = vec![
        ScheduledFault {
            after: Duration::from_secs(1),
            fault: Fault::PlatformDown,
        },
        ScheduledFault {
            after: Duration::from_millis(2_500),
            fault: Fault::Heal,
        },
    ];
    assert_eq!(parse_schedule(text), Ok(expected));
}

#[test]
fn errors_name_the_invalid_line() {
    let unknown = |line, text: &str| FaultError::Unknown {
        line,
        text: text.to_owned(),
    };
    let number = |line, text: &str| FaultError::Number {
        line,
        text: text.to_owned(),
    };
    let table = [
        ("heal\nboom", unknown(2, "boom")),
        ("kill", unknown(1, "kill")),
        ("at x heal", number(1, "x")),
        ("at -1 heal", number(1, "-1")),
        ("at 1", unknown(1, "")),
        ("lag a-b soon", number(1, "soon")),
        ("stop proxy two", number(1, "two")),
    ];
    for (text, expected) in table {
        assert_eq!(parse_schedule(text), Err(expected), "{text}");
    }
}
