//! Messages of clients: start-up packets and extended-query messages, well-formed and
//! malformed, names of shared prepared statements, and tracking of run-time parameters.

use std::collections::BTreeMap;

use bytes::Bytes;
use hookpoint_protocol::classify::SettingChange;
use hookpoint_protocol::extended::{self, Bind, DescribeOrClose, Parse};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::prepared::shared_name;
use hookpoint_protocol::settings_tracking::SettingsTracker;
use hookpoint_protocol::startup::{PROTOCOL_3_0, StartupError, StartupPacket, body_length};
use hookpoint_protocol::tags::frontend;
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 2_000;

/// Parses a start-up packet with these parameters.
fn parse_session(parameters: &[(&str, &str)]) -> Result<StartupPacket, StartupError> {
    let mut body = PROTOCOL_3_0.to_be_bytes().to_vec();
    for (name, value) in parameters {
        body.extend(format!("{name}\0{value}\0").into_bytes());
    }
    body.push(0);
    StartupPacket::read(Bytes::from(body))
}

/// Expected settings of an `options` value, or the option that is refused.
type ExpectedSettings = Result<&'static [(&'static str, &'static str)], &'static str>;

#[test]
fn startup_options_are_parsed_into_settings() {
    let cases: [(&str, ExpectedSettings); 9] = [
        ("", Ok(&[])),
        ("-c a=1", Ok(&[("a", "1")])),
        ("-ca=1 -c B.c=x", Ok(&[("a", "1"), ("b.c", "x")])),
        ("--statement-timeout=5s", Ok(&[("statement_timeout", "5s")])),
        (r"-c a=one\ two\\", Ok(&[("a", r"one two\")])),
        ("-c a=b=c", Ok(&[("a", "b=c")])),
        ("-c", Err("-c")),
        ("-c a", Err("-c")),
        ("-x", Err("-x")),
    ];
    for (options, expected) in cases {
        match (
            parse_session(&[("user", "u"), ("options", options)]),
            expected,
        ) {
            (Ok(StartupPacket::Session(parameters)), Ok(settings)) => {
                let expected: BTreeMap<String, String> = settings
                    .iter()
                    .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
                    .collect();
                assert_eq!(parameters.settings, expected, "{options}");
            }
            (Err(StartupError::BadOption { option }), Err(bad)) => assert_eq!(option, bad),
            (result, _) => panic!("{options}: {result:?}"),
        }
    }
}

#[test]
fn database_defaults_to_the_user_name() {
    let Ok(StartupPacket::Session(parameters)) = parse_session(&[("user", "clinic")]) else {
        panic!("the packet does not start a session");
    };
    assert_eq!(parameters.database, "clinic");
    assert_eq!(
        parse_session(&[("database", "x")]),
        Err(StartupError::NoUser)
    );
    assert_eq!(body_length(7), Err(StartupError::BadLength { length: 7 }));
    assert_eq!(body_length(8), Ok(4));
    let huge = u32::MAX;
    assert_eq!(
        body_length(huge),
        Err(StartupError::BadLength { length: huge })
    );
}

/// Parses a message body and returns whether it was accepted.
type BodyParser = fn(&Frame) -> bool;

/// A parser that reads past the end of a body panics.
#[test]
fn random_bodies_are_accepted_or_refused_without_panic() {
    let parsers: [(u8, BodyParser); 6] = [
        (frontend::QUERY, |frame| extended::query_text(frame).is_ok()),
        (frontend::PARSE, |frame| Parse::read(frame).is_ok()),
        (frontend::BIND, |frame| Bind::read(frame).is_ok()),
        (frontend::DESCRIBE, |frame| {
            DescribeOrClose::read(frame).is_ok()
        }),
        (frontend::EXECUTE, |frame| {
            extended::execute_portal(frame).is_ok()
        }),
        (0, |frame| StartupPacket::read(frame.body.clone()).is_ok()),
    ];
    let mut accepted = 0;
    for seed in 0..CASES {
        let mut generator = Gen::from_size_and_seed(24, seed);
        let mut bytes = Vec::<u8>::arbitrary(&mut generator);
        for byte in &mut bytes {
            *byte = if *byte > 160 { 0 } else { *byte % 128 };
        }
        for (tag, parser) in parsers {
            accepted += usize::from(parser(&Frame::new(tag, bytes.clone())));
        }
    }
    assert!(accepted > 0, "no random body was well-formed");
}

#[test]
fn replacing_the_statement_name_keeps_the_rest_of_a_bind() {
    for seed in 0..CASES {
        let mut generator = Gen::from_size_and_seed(16, seed);
        let rest = Vec::<u8>::arbitrary(&mut generator);
        let mut body = b"portal\0statement\0".to_vec();
        body.extend(&rest);
        let bind =
            Bind::read(&Frame::new(frontend::BIND, body)).expect("the Bind message is well-formed");
        let read_back =
            Bind::read(&bind.with_statement("other")).expect("the Bind message is well-formed");
        assert_eq!(read_back.portal, "portal");
        assert_eq!(read_back.statement, "other");
        assert_eq!(read_back.parameters_and_formats, rest);
    }
}

#[test]
fn shared_names_differ_for_different_statements() {
    let statements: [(&str, &[u32]); 5] = [
        ("SELECT 1", &[]),
        ("SELECT 1 ", &[]),
        ("SELECT 1", &[23]),
        ("SELECT 1", &[25]),
        ("SELECT 1", &[23, 25]),
    ];
    let names: std::collections::BTreeSet<String> = statements
        .iter()
        .map(|(query, types)| shared_name(query, types))
        .collect();
    assert_eq!(names.len(), statements.len());
    assert_eq!(
        shared_name("SELECT 1", &[23]),
        shared_name("SELECT 1", &[23])
    );
    assert!(
        names.iter().all(|name| name.len() < 64),
        "a name exceeds PostgreSQL's limit of 63 bytes"
    );
}

#[test]
fn parameter_changes_apply_on_commit_and_are_dropped_on_rollback() {
    let set = |name: &str, value: &str, local| SettingChange::Set {
        name: name.to_owned(),
        value: value.to_owned(),
        local,
    };
    let reset = |name: &str| SettingChange::Reset {
        name: name.to_owned(),
    };
    let cases: Vec<(&str, Vec<SettingChange>, bool, &str)> = vec![
        ("set", vec![set("a", "2", false)], true, "a=2 b=1"),
        (
            "set and rolled back",
            vec![set("a", "2", false)],
            false,
            "a=1 b=1",
        ),
        ("SET LOCAL", vec![set("a", "2", true)], true, "a=1 b=1"),
        (
            "new parameter",
            vec![set("c", "3", false)],
            true,
            "a=1 b=1 c=3",
        ),
        (
            "reset to the start-up value",
            vec![set("a", "2", false), reset("a")],
            true,
            "a=1 b=1",
        ),
        (
            "reset of a new parameter",
            vec![set("c", "3", false), reset("c")],
            true,
            "a=1 b=1",
        ),
        (
            "reset of all",
            vec![
                set("a", "2", false),
                set("c", "3", false),
                SettingChange::ResetAll,
            ],
            true,
            "a=1 b=1",
        ),
    ];
    for (case, changes, committed, expected) in cases {
        let initial = [("a", "1"), ("b", "1")];
        let initial = initial.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let mut tracker = SettingsTracker::new(initial.into_iter().collect());
        tracker.record_pending(&changes);
        if committed {
            tracker.commit();
        } else {
            tracker.roll_back();
            tracker.commit();
        }
        let current = tracker.current().iter();
        let current: Vec<String> = current
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        assert_eq!(current.join(" "), expected, "{case}");
    }
}
