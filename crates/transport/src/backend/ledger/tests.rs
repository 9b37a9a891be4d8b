//! Tests of the tracking of outstanding answers: which messages are relayed, and when no
//! answer is outstanding.

use hookpoint_protocol::frame::Frame;
use quickcheck::{Arbitrary, Gen};

use super::{MessageAction, OutstandingAnswers, StatementOutcome};

/// Records the sent messages, one for each letter: `p`, `x` and `q` are the proxy's own
/// `Parse`, `Close` and query; `D` to `S` are the session's messages, as is `c`
/// (`CopyDone`).
fn send(ledger: &mut OutstandingAnswers, letters: &str) {
    for letter in letters.chars() {
        match letter {
            'p' => ledger.own_parse("s".to_owned()),
            'x' => ledger.own_close("s".to_owned()),
            'q' => ledger.own_query(),
            tag => ledger.sent(&Frame::new(tag as u8, Vec::new())),
        }
    }
}

/// Returns the tags of `answer` that are relayed, with `!` where a query of the proxy
/// itself failed.
fn receive(ledger: &mut OutstandingAnswers, answer: &str) -> String {
    let mut relayed = String::new();
    for tag in answer.chars() {
        match ledger.received(tag as u8) {
            MessageAction::Relay => relayed.push(tag),
            MessageAction::OwnQueryEnded { succeeded: false } => relayed.push('!'),
            MessageAction::Discard | MessageAction::OwnQueryEnded { succeeded: true } => {}
        }
    }
    relayed
}

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
        let mut ledger = OutstandingAnswers::default();
        send(&mut ledger, sent);
        for (index, _) in answer.char_indices().skip(1) {
            let mut partial = OutstandingAnswers::default();
            send(&mut partial, sent);
            receive(&mut partial, &answer[..index]);
            assert!(!partial.is_complete(), "{name} is complete too early");
        }
        assert_eq!(receive(&mut ledger, answer), relayed, "{name}");
        assert!(ledger.is_complete() && !ledger.is_out_of_sync(), "{name}");
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
        let mut ledger = OutstandingAnswers::default();
        for (index, (sent, answer)) in steps.iter().enumerate() {
            send(&mut ledger, sent);
            assert_eq!(receive(&mut ledger, answer), *answer, "{name}");
            let ended = index + 1 == steps.len();
            assert_eq!(ledger.is_complete(), ended, "{name}, step {index}");
        }
        assert!(!ledger.is_out_of_sync(), "{name}");
    }
}

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
        let mut ledger = OutstandingAnswers::default();
        send(&mut ledger, sent);
        receive(&mut ledger, answer);
        assert_eq!(ledger.take_outcomes(), outcomes, "{sent} {answer}");
    }
}

#[test]
fn unexpected_answers_are_detected_and_none_panics() {
    for (sent, answer) in [("", "CZ"), ("Q", "CZZ"), ("BS", "2Z1"), ("S", "C")] {
        let mut ledger = OutstandingAnswers::default();
        send(&mut ledger, sent);
        receive(&mut ledger, answer);
        assert!(ledger.is_out_of_sync(), "{sent} {answer}");
    }
    for seed in 0..2_000 {
        let mut random = Gen::from_size_and_seed(40, seed);
        let mut ledger = OutstandingAnswers::default();
        for byte in Vec::<u8>::arbitrary(&mut random) {
            if bool::arbitrary(&mut random) {
                ledger.sent(&Frame::new(byte, Vec::new()));
            } else {
                ledger.received(byte);
            }
        }
    }
}
