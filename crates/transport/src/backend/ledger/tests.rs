//! Tests of the tracking of outstanding answers: which messages are relayed, and when no
//! answer is outstanding.

use hookpoint_protocol::frame::Frame;
use quickcheck::{Arbitrary, Gen};

use super::{MessageAction, OutstandingAnswers, StatementOutcome};

/// Records the sent messages, one for each letter: `p`, `x` and `q` are the proxy's own
/// `Parse`, `Close` and query; `D` to `S` are the session's messages, as is `c`
/// (`CopyDone`).
fn send(outstanding: &mut OutstandingAnswers, letters: &str) {
    for letter in letters.chars() {
        match letter {
            'p' => outstanding.own_parse("s".to_owned()),
            'x' => outstanding.own_close("s".to_owned()),
            'q' => outstanding.own_query(),
            tag => outstanding.sent(&Frame::new(tag as u8, Vec::new())),
        }
    }
}

/// Returns the tags of `answer` that are relayed, with `!` where a query of the proxy
/// itself failed.
fn receive(outstanding: &mut OutstandingAnswers, answer: &str) -> String {
    let mut relayed = String::new();
    for tag in answer.chars() {
        match outstanding.received(tag as u8) {
            MessageAction::Relay => relayed.push(tag),
            MessageAction::OwnQueryEnded { succeeded: false } => relayed.push('!'),
            MessageAction::Discard | MessageAction::OwnQueryEnded { succeeded: true } => {}
        }
    }
    relayed
}

/// Each case names the sent messages, the tags that the database answers with and the tags
/// that must reach the session. Fails if an answer to a message of the proxy itself is
/// relayed, an answer to the session is lost, or the answers count as complete too early
/// or never.
#[test]
fn answers_are_matched_with_what_was_sent() {
    let cases = [
        ("simple query", "Q", "TDDCZ", "TDDCZ"),
        ("two statements in one", "Q", "TDCTDCZ", "TDCTDCZ"),
        ("simple error", "Q", "TDEZ", "TDEZ"),
        ("empty query", "Q", "IZ", "IZ"),
        ("extended", "PBDES", "12TDDCZ", "12TDDCZ"),
        ("described without rows", "PDS", "1tnZ", "1tnZ"),
        ("suspended and resumed", "BEES", "2DDsDCZ", "2DDsDCZ"),
        ("own statement first", "pBES", "12DCZ", "2DCZ"),
        ("own close and parse", "xpBES", "312DCZ", "2DCZ"),
        ("own statement refused", "pBES", "EZ", "EZ"),
        ("own statement after an error", "BEpBES", "EZ", "EZ"),
        ("own query first", "qPBES", "CZ12CZ", "12CZ"),
        ("own query between", "QqQ", "CZTDCZCZ", "CZCZ"),
        ("own query failed", "qQ", "EZCZ", "!CZ"),
        (
            "notice and parameter in an own query",
            "qQ",
            "SNCZNCZ",
            "NCZ",
        ),
        ("pipelined", "BESBES", "2CZ2CZ", "2CZ2CZ"),
        ("error in the first of two", "BESBES", "EZ2CZ", "EZ2CZ"),
        ("error of the commit at a sync", "BES", "2CEZ", "2CEZ"),
        ("copy out", "BES", "2HddcCZ", "2HddcCZ"),
        ("old function call", "F", "VZ", "VZ"),
    ];
    for (name, sent, answer, relayed) in cases {
        let mut outstanding = OutstandingAnswers::default();
        send(&mut outstanding, sent);
        for (index, _) in answer.char_indices().skip(1) {
            let mut partial = OutstandingAnswers::default();
            send(&mut partial, sent);
            receive(&mut partial, &answer[..index]);
            assert!(!partial.is_complete(), "{name} is complete too early");
        }
        assert_eq!(receive(&mut outstanding, answer), relayed, "{name}");
        assert!(
            outstanding.is_complete() && !outstanding.is_out_of_sync(),
            "{name}"
        );
    }
}

/// A database ignores every `Sync` while it receives COPY data.
#[test]
fn copy_in_ignores_syncs_until_its_data_ends() {
    let cases: [(&str, &[(&str, &str)]); 6] = [
        ("simple", &[("Q", "G"), ("ddc", "CZ")]),
        ("simple, pipelined", &[("Qddc", "GCZ")]),
        (
            "a sync at once and one at the end",
            &[("PBES", "12G"), ("ddcS", "CZ")],
        ),
        ("all at once", &[("PBESddcS", "12GCZ")]),
        ("a sync amid the data", &[("PBE", "12G"), ("dSdcS", "CZ")]),
        ("it fails before any data", &[("PBES", "12EZ")]),
    ];
    for (name, steps) in cases {
        let mut outstanding = OutstandingAnswers::default();
        for (index, (sent, answer)) in steps.iter().enumerate() {
            send(&mut outstanding, sent);
            assert_eq!(receive(&mut outstanding, answer), *answer, "{name}");
            let ended = index + 1 == steps.len();
            assert_eq!(outstanding.is_complete(), ended, "{name}, step {index}");
        }
        assert!(!outstanding.is_out_of_sync(), "{name}");
    }
}

/// A wrong outcome would make the proxy use a statement that the connection does not have,
/// or prepare one again under a name that is in use.
#[test]
fn the_outcome_of_each_own_statement_is_reported() {
    let parsed = StatementOutcome::Parsed("s".to_owned());
    let not_parsed = StatementOutcome::NotParsed("s".to_owned());
    let closed = StatementOutcome::Closed("s".to_owned());
    let not_closed = StatementOutcome::NotClosed("s".to_owned());
    let cases = [
        ("xpS", "31Z", vec![closed, parsed.clone()]),
        ("xpS", "EZ", vec![not_closed, not_parsed.clone()]),
        ("pBSpBS", "EZ12Z", vec![not_parsed, parsed]),
    ];
    for (sent, answer, outcomes) in cases {
        let mut outstanding = OutstandingAnswers::default();
        send(&mut outstanding, sent);
        receive(&mut outstanding, answer);
        assert_eq!(outstanding.take_outcomes(), outcomes, "{sent} {answer}");
    }
}

/// A connection whose answers match no message sent must not serve another session. The
/// random messages check that no sequence of tags makes the tracking panic.
#[test]
fn unexpected_answers_are_detected_and_none_panics() {
    for (sent, answer) in [("", "CZ"), ("Q", "CZZ"), ("BS", "2Z1"), ("S", "C")] {
        let mut outstanding = OutstandingAnswers::default();
        send(&mut outstanding, sent);
        receive(&mut outstanding, answer);
        assert!(outstanding.is_out_of_sync(), "{sent} {answer}");
    }
    for seed in 0..2_000 {
        let mut random = Gen::from_size_and_seed(40, seed);
        let mut outstanding = OutstandingAnswers::default();
        for byte in Vec::<u8>::arbitrary(&mut random) {
            if bool::arbitrary(&mut random) {
                outstanding.sent(&Frame::new(byte, Vec::new()));
            } else {
                outstanding.received(byte);
            }
        }
    }
}
