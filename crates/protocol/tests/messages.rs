//! Error messages, the response to the status query and the frame codec, with well-formed
//! and malformed input.

use bytes::{BufMut, Bytes, BytesMut};
use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_protocol::errors::{BackendError, ErrorReport, Severity};
use hookpoint_protocol::frame::{Frame, FrameCodec, FrameError};
use hookpoint_protocol::status_query::{STATUS_QUERY, StatusCollector, StatusQueryError};
use hookpoint_state::{Lsn, Refusal, Term, UnknownCause};
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::{DecodeContext, Message as _};
use quickcheck::{Arbitrary, Gen};
use tokio_util::codec::Decoder as _;

/// Encodes the report and decodes its fields with `pgwire`.
fn fields_of(report: &ErrorReport) -> Vec<(u8, String)> {
    let mut wire = BytesMut::new();
    report.to_frame().write_to(&mut wire);
    let message = ErrorResponse::decode(&mut wire, &DecodeContext::default());
    message.unwrap().unwrap().fields
}

fn field(fields: &[(u8, String)], code: u8) -> Option<&str> {
    let found = fields.iter().find(|(candidate, _)| *candidate == code);
    found.map(|(_, text)| text.as_str())
}

#[test]
fn refusals_report_that_nothing_ran() {
    let unsupported = Refusal::Unsupported {
        feature: "LISTEN".to_owned(),
    };
    let table = [
        (
            Refusal::QueueFull,
            "HN001",
            "queue_full",
            Some("retry_after_ms=250"),
        ),
        (
            Refusal::NoPrimary,
            "HN004",
            "no_primary",
            Some("retry_after_ms=1000"),
        ),
        (
            Refusal::Stopping,
            "HN006",
            "stopping",
            Some("retry_after_ms=0"),
        ),
        (unsupported, "0A000", "unsupported", None),
        (Refusal::AlreadyRan, "HR001", "already_ran", None),
    ];
    for (refusal, sqlstate, reason, hint) in table {
        let fields = fields_of(&ErrorReport::refusal(&refusal));
        let detail = format!("hookpoint.outcome=not_run hookpoint.reason={reason}");
        assert_eq!(field(&fields, b'S'), Some("ERROR"));
        assert_eq!(field(&fields, b'V'), Some("ERROR"));
        assert_eq!(field(&fields, b'C'), Some(sqlstate));
        assert_eq!(field(&fields, b'M'), Some(&*refusal.to_string()));
        assert_eq!(field(&fields, b'D'), Some(&*detail));
        assert_eq!(field(&fields, b'H'), hint);
    }
}

#[test]
fn unknown_outcomes_and_fatal_errors_have_their_sqlstates() {
    let fields = fields_of(&ErrorReport::unknown_outcome(UnknownCause::NoMajority));
    assert_eq!(field(&fields, b'C'), Some("08007"));
    let detail = "hookpoint.outcome=unknown hookpoint.reason=no_majority";
    assert_eq!(field(&fields, b'D'), Some(detail));
    for (report, sqlstate) in [
        (ErrorReport::protocol("bad\0 frame"), "08P01"),
        (ErrorReport::authentication("clerk"), "28P01"),
        (ErrorReport::shutdown(), "57P01"),
        (ErrorReport::refusal(&Refusal::Stopping).fatal(), "HN006"),
    ] {
        assert_eq!(report.severity, Severity::Fatal);
        let error = BackendError::from_frame(&report.to_frame()).unwrap();
        assert_eq!(error.sqlstate, sqlstate);
        assert!(error.is_fatal());
    }
}

#[test]
fn database_errors_are_parsed_even_when_truncated() {
    let table: [(&[u8], [&str; 3]); 6] = [
        (
            b"SFEHLER\0VERROR\0C53300\0Mtoo many\0\0",
            ["ERROR", "53300", "too many"],
        ),
        (b"SFATAL\0C57P01\0Mgone\0\0", ["FATAL", "57P01", "gone"]),
        (b"SERROR\0C535", ["ERROR", "XX000", ""]),
        (b"\0", ["", "XX000", ""]),
        (b"", ["", "XX000", ""]),
        (b"M\xff\0\0", ["", "XX000", "\u{fffd}"]),
    ];
    for (body, [severity, sqlstate, message]) in table {
        let frame = Frame::new(b'E', Bytes::copy_from_slice(body));
        let error = BackendError::from_frame(&frame).unwrap();
        assert_eq!(error.severity, severity);
        assert_eq!(error.sqlstate, sqlstate);
        assert_eq!(error.message, message);
    }
    assert_eq!(BackendError::from_frame(&Frame::new(b'Z', &b"I"[..])), None);
}

/// Builds a `DataRow`; `None` is a null value.
fn row(values: &[Option<&str>]) -> Frame {
    let mut body = BytesMut::new();
    body.put_u16(values.len() as u16);
    for value in values {
        match value {
            Some(text) => {
                body.put_i32(text.len() as i32);
                body.put_slice(text.as_bytes());
            }
            None => body.put_i32(-1),
        }
    }
    Frame::new(b'D', body.freeze())
}

/// Passes a response with these rows to a collector and returns the result.
fn collect_status(rows: &[Frame]) -> Result<BackendStatus, StatusQueryError> {
    let mut collector = StatusCollector::new();
    let mut frames = vec![Frame::new(b'T', Bytes::new())];
    frames.extend_from_slice(rows);
    frames.push(Frame::new(b'C', &b"SELECT 1\0"[..]));
    for frame in &frames {
        assert_eq!(collector.push(frame), None);
    }
    let ready = Frame::new(b'Z', &b"I"[..]);
    let result = collector.push(&ready).unwrap();
    assert_eq!(
        collector.push(&ready),
        Some(Err(StatusQueryError::NoRow)),
        "the collector was not reset after a response"
    );
    result
}

#[test]
fn status_responses_are_parsed() {
    let replica = collect_status(&[row(&[Some("t"), Some("3"), Some("1/A0"), Some("")])]);
    let expected = BackendStatus {
        role: Role::Replica,
        term: Term(3),
        position: Lsn(0x1_0000_00A0),
        flushed: Vec::new(),
    };
    assert_eq!(replica, Ok(expected));
    let list = "a=0/10,b,=x=0/20";
    let primary =
        collect_status(&[row(&[Some("f"), Some("4"), Some("0/20"), Some(list)])]).unwrap();
    let flushed = |name: &str, position| FlushedReplica {
        name: name.to_owned(),
        position: Lsn(position),
    };
    assert_eq!(primary.role, Role::Primary);
    assert_eq!(primary.flushed, [flushed("a", 0x10), flushed("b,=x", 0x20)]);
    assert!(STATUS_QUERY.starts_with("SELECT pg_is_in_recovery() AS in_recovery, CASE"));
}

#[test]
fn malformed_status_responses_are_refused() {
    let good = [Some("t"), Some("3"), Some("0/1"), Some("")];
    let with = |index: usize, value| {
        let mut values = good;
        values[index] = value;
        row(&values)
    };
    let bad = |column| StatusQueryError::BadColumn { column };
    let table = [
        (vec![], StatusQueryError::NoRow),
        (vec![row(&good), row(&good)], StatusQueryError::MultipleRows),
        (vec![row(&good[..3])], StatusQueryError::MalformedRow),
        (
            vec![Frame::new(b'D', &b"\0\x04\0\0\0\x09x"[..])],
            StatusQueryError::MalformedRow,
        ),
        (
            vec![Frame::new(b'D', Bytes::new())],
            StatusQueryError::MalformedRow,
        ),
        (vec![with(0, None)], bad("in_recovery")),
        (vec![with(0, Some("maybe"))], bad("in_recovery")),
        (vec![with(1, Some("-1"))], bad("term")),
        (vec![with(1, None)], bad("term")),
        (vec![with(2, None)], bad("position")),
        (vec![with(3, None)], bad("flushed")),
        (vec![with(3, Some("a=0/1,b"))], bad("flushed")),
        (
            vec![row(&good), Frame::new(b'1', Bytes::new())],
            StatusQueryError::UnexpectedMessage { tag: b'1' },
        ),
    ];
    for (rows, error) in table {
        assert_eq!(collect_status(&rows), Err(error), "{rows:?}");
    }
    assert!(matches!(
        collect_status(&[with(2, Some("01"))]),
        Err(StatusQueryError::BadPosition(_))
    ));
    let refused = Frame::new(b'E', &b"SERROR\0C42501\0Mno\0\0"[..]);
    let Err(StatusQueryError::Refused(error)) = collect_status(&[refused]) else {
        panic!("the error of the database was not returned");
    };
    assert_eq!(error.sqlstate, "42501");
}

#[test]
fn frames_are_decoded_from_chunks_of_any_size() {
    for seed in 0..500 {
        let mut random = Gen::from_size_and_seed(30, seed);
        let frames: Vec<Frame> = Vec::<(u8, Vec<u8>)>::arbitrary(&mut random)
            .into_iter()
            .map(|(tag, body)| Frame::new(tag, body))
            .collect();
        let mut wire = BytesMut::new();
        frames.iter().for_each(|frame| frame.write_to(&mut wire));
        let mut codec = FrameCodec::new(1_000);
        let mut source = BytesMut::new();
        let mut decoded = Vec::new();
        while !wire.is_empty() {
            let step = (usize::arbitrary(&mut random) % 9 + 1).min(wire.len());
            source.extend_from_slice(&wire.split_to(step));
            while let Some(frame) = codec.decode(&mut source).unwrap() {
                decoded.push(frame);
            }
        }
        assert_eq!(decoded, frames);
    }
}

#[test]
fn bad_lengths_are_refused_before_memory_is_allocated() {
    let mut codec = FrameCodec::new(100);
    let mut short = BytesMut::from(&b"Q\0\0\0\x03"[..]);
    assert!(matches!(
        codec.decode(&mut short),
        Err(FrameError::BadLength { length: 3, .. })
    ));
    let mut large = BytesMut::from(&b"Q\x7f\xff\xff\xff"[..]);
    assert!(matches!(
        codec.decode(&mut large),
        Err(FrameError::TooLarge { limit: 100, .. })
    ));
    assert!(large.capacity() < 1_000);
}

#[test]
fn random_bytes_do_not_make_the_parsers_panic() {
    for seed in 0..3_000 {
        let mut random = Gen::from_size_and_seed(80, seed);
        let mut source = BytesMut::from(&Vec::<u8>::arbitrary(&mut random)[..]);
        let length = source.len();
        let _ = FrameCodec::new(50).decode(&mut source);
        assert!(source.len() <= length);
        let mut collector = StatusCollector::new();
        for tag in [b'T', b'D', b'E', b'C', b'x'] {
            let frame = Frame::new(tag, Vec::<u8>::arbitrary(&mut random));
            assert_eq!(collector.push(&frame), None);
            assert_eq!(BackendError::from_frame(&frame).is_some(), tag == b'E');
        }
        let end = collector.push(&Frame::new(b'Z', Bytes::new()));
        assert!(end.unwrap().is_err());
    }
}
