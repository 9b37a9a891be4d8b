//! Messages of callers: start-up packets and extended messages, well-formed or not, and
//! the run-time parameters that follow a session.

use std::collections::BTreeMap;

use bytes::Bytes;
use hookpoint_protocol::classify::SettingChange;
use hookpoint_protocol::extended::{self, Bind, Named, Parse};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::prepared::shared_name;
use hookpoint_protocol::settings_tracking::SettingsTracker;
use hookpoint_protocol::startup::{PROTOCOL_3_0, StartupError, StartupPacket, body_length};
use hookpoint_protocol::tags::frontend;
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 2_000;

/// A session's packet with these parameters.
fn session(parameters: &[(&str, &str)]) -> Result<StartupPacket, StartupError> {
    let mut body = PROTOCOL_3_0.to_be_bytes().to_vec();
    for (name, value) in parameters {
        body.extend(format!("{name}\0{value}\0").into_bytes());
    }
    body.push(0);
    StartupPacket::read(Bytes::from(body))
}

/// Settings that options give, or the option that is refused.
type Parsed = Result<&'static [(&'static str, &'static str)], &'static str>;

#[test]
fn start_up_options_become_settings() {
    let cases: [(&str, Parsed); 9] = [
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
        match (session(&[("user", "u"), ("options", options)]), expected) {
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
fn the_database_is_the_user_where_none_is_named() {
    let Ok(StartupPacket::Session(parameters)) = session(&[("user", "clinic")]) else {
        panic!("a session's packet");
    };
    assert_eq!(parameters.database, "clinic");
    assert_eq!(session(&[("database", "x")]), Err(StartupError::NoUser));
    assert_eq!(body_length(7), Err(StartupError::BadLength { length: 7 }));
    assert_eq!(body_length(8), Ok(4));
    let huge = u32::MAX;
    assert_eq!(
        body_length(huge),
        Err(StartupError::BadLength { length: huge })
    );
}

/// Readers of message bodies; true where the body was accepted.
type Reader = fn(&Frame) -> bool;

#[test]
fn random_bytes_are_read_or_refused_and_never_read_past_their_end() {
    let readers: [(u8, Reader); 6] = [
        (frontend::QUERY, |frame| extended::query_text(frame).is_ok()),
        (frontend::PARSE, |frame| Parse::read(frame).is_ok()),
        (frontend::BIND, |frame| Bind::read(frame).is_ok()),
        (frontend::DESCRIBE, |frame| Named::read(frame).is_ok()),
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
        for (tag, reader) in readers {
            accepted += usize::from(reader(&Frame::new(tag, bytes.clone())));
        }
    }
    assert!(accepted > 0, "some bodies are well-formed by chance");
}

#[test]
fn renaming_changes_nothing_but_the_name() {
    for seed in 0..CASES {
        let mut generator = Gen::from_size_and_seed(16, seed);
        let rest = Vec::<u8>::arbitrary(&mut generator);
        let mut body = b"portal\0statement\0".to_vec();
        body.extend(&rest);
        let bind = Bind::read(&Frame::new(frontend::BIND, body)).expect("a bind");
        let renamed = Bind::read(&bind.with_statement("other")).expect("a bind");
        assert_eq!(renamed.portal, "portal");
        assert_eq!(renamed.statement, "other");
        assert_eq!(renamed.rest, rest);
    }
}

#[test]
fn shared_names_tell_statements_apart() {
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
        "a name fits into PostgreSQL's limit"
    );
}

#[test]
fn settings_follow_commits_and_forget_rollbacks() {
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
            "set and undone",
            vec![set("a", "2", false)],
            false,
            "a=1 b=1",
        ),
        (
            "set for the transaction",
            vec![set("a", "2", true)],
            true,
            "a=1 b=1",
        ),
        ("new one", vec![set("c", "3", false)], true, "a=1 b=1 c=3"),
        (
            "reset to the start",
            vec![set("a", "2", false), reset("a")],
            true,
            "a=1 b=1",
        ),
        (
            "reset of a new one",
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
        tracker.note(&changes);
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
