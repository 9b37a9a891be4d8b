//! Tests the event log and the selection of events that explain a request or a zone.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use hookpoint_serving::events::EventLog;
use hookpoint_serving::explanation::{Event, Subject, format_lines, select};
use hookpoint_state::Timestamp;

/// A writer that never returns.
struct BlockedWriter;

impl Write for BlockedWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct LineSender(std::sync::mpsc::Sender<String>);

impl Write for LineSender {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn next(lines: &Receiver<String>) -> String {
    lines.recv_timeout(Duration::from_secs(5)).unwrap()
}

#[test]
fn a_blocked_writer_does_not_delay_logging() {
    let log = EventLog::new("n", BlockedWriter);
    let began = Instant::now();
    for second in 0..1_000 {
        for _ in 0..100 {
            log.write(Timestamp::from_millis(second * 1_000), "busy", &[]);
        }
    }
    assert!(began.elapsed() < Duration::from_secs(5));
}

#[test]
fn ordinary_events_have_a_smaller_budget_and_build_no_fields_beyond_it() {
    let (sender, lines) = channel();
    let log = EventLog::new("n", LineSender(sender));
    let mut fields_built = 0;
    for _ in 0..100 {
        log.write_ordinary(Timestamp::from_millis(1_000), "served", || {
            fields_built += 1;
            Vec::new()
        });
    }
    assert_eq!(fields_built, 10);
    log.write_ordinary(Timestamp::from_millis(2_100), "served", Vec::new);
    let line = (0..11).map(|_| next(&lines)).nth(10).unwrap();
    assert!(line.contains("\"left_out\":90"), "{line}");
}

#[test]
fn dropped_events_are_counted_in_the_next_line() {
    let (sender, lines) = channel();
    let log = EventLog::new("n", LineSender(sender));
    for _ in 0..100 {
        log.write(Timestamp::from_millis(1_000), "busy", &[]);
    }
    log.write(Timestamp::from_millis(1_000), "other", &[]);
    log.write(Timestamp::from_millis(2_500), "busy", &[]);
    let mut written = Vec::new();
    while !written
        .iter()
        .any(|line: &String| line.contains("left_out"))
    {
        written.push(next(&lines));
    }
    assert_eq!(
        written.len(),
        42,
        "40 of one kind, one of another, one later"
    );
    assert!(written[40].contains("other"));
    assert!(written[41].contains("\"left_out\":60"));
}

fn event(wall: u64, steady: u64, node: &str, rest: &str) -> Event {
    let line = format!(
        "  1.25 {node} {{\"wall_ms\":{wall},\"at_ms\":{steady},\"node\":\"{node}\",{rest}}}"
    );
    Event::parse(&line).unwrap()
}

#[test]
fn a_request_selects_its_events_and_the_state_changes_near_it() {
    let events = [
        event(
            50_000,
            10,
            "b",
            "\"event\":\"leader_confirmed\",\"group\":\"other\"",
        ),
        event(
            50_100,
            20,
            "c",
            "\"event\":\"promotion_ordered\",\"group\":\"g\",\"candidate\":\"d2\"",
        ),
        event(
            50_200,
            30,
            "a",
            "\"event\":\"statement_decided\",\"group\":\"g\",\"request\":\"r1\"",
        ),
        event(
            50_300,
            40,
            "a",
            "\"event\":\"statement_decided\",\"group\":\"g\",\"request\":\"r2\"",
        ),
        event(
            50_400,
            5_000,
            "a",
            "\"event\":\"dependency_lost\",\"dependency\":\"store\"",
        ),
    ];
    let selected = select(&events, &Subject::Request("r1".to_owned()));
    let names: Vec<&str> = selected.iter().map(|event| event.name.as_str()).collect();
    assert_eq!(
        names,
        ["promotion_ordered", "statement_decided", "dependency_lost"]
    );
    let lines = format_lines(&selected);
    assert!(lines[2].contains("its clock was stepped"), "{lines:?}");
    let database = select(&events, &Subject::Database("d2".to_owned()));
    assert_eq!(database.len(), 1);
    assert!(select(&events, &Subject::Request("r9".to_owned())).is_empty());
}

#[test]
fn a_zone_selects_its_evacuation_events_and_the_moves_of_its_primaries() {
    let zone_event = |wall: u64, node: &str, name: &str, rest: &str| {
        event(wall, wall, node, &format!("\"event\":\"{name}\",{rest}"))
    };
    let zone = "\"zone\":\"z1\"";
    let events = [
        zone_event(40, "a", "promotion_ordered", "\"group\":\"g\""),
        zone_event(50, "a", "started", zone),
        zone_event(60, "a", "evacuation_changed", zone),
        zone_event(61, "b", "evacuation_changed", "\"zone\":\"z2\""),
        zone_event(70, "a", "promotion_ordered", "\"group\":\"g\""),
        zone_event(71, "a", "promotion_ordered", "\"group\":\"other\""),
        zone_event(
            80,
            "a",
            "handover_decided",
            &format!("\"group\":\"g\",{zone}"),
        ),
        zone_event(90, "b", "zone_emptied", zone),
    ];
    let selected = select(&events, &Subject::Zone("z1".to_owned()));
    let names: Vec<(u64, &str)> = selected
        .iter()
        .map(|event| (event.wall_ms, event.name.as_str()))
        .collect();
    assert_eq!(
        names,
        [
            (60, "evacuation_changed"),
            (70, "promotion_ordered"),
            (80, "handover_decided"),
            (90, "zone_emptied")
        ]
    );
    assert!(select(&events, &Subject::Zone("z3".to_owned())).is_empty());
}
