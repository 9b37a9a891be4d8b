//! Tests reading the resource usage of a process from `/proc`.

use std::time::Duration;

use hookpoint_measure::process::{Process, parse_processor, parse_status};

#[test]
fn processor_time_is_parsed_after_any_process_name() {
    let fields = "S 1 1 1 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 7 0 12345";
    let cases = [
        (format!("42 (proxy) {fields}"), Some(Duration::from_secs(2))),
        (
            format!("42 (a b) c) {fields}"),
            Some(Duration::from_secs(2)),
        ),
        (format!("42 proxy {fields}"), None),
        ("42 (proxy) S 1 1".to_owned(), None),
        (String::new(), None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_processor(&text), expected, "{text}");
    }
}

#[test]
fn status_fields_are_parsed() {
    let text = "Name:\tproxy\nVmRSS:\t    1234 kB\nThreads:\t9\n";
    let cases = [
        ("VmRSS:", Some(1_234)),
        ("Threads:", Some(9)),
        ("Name:", None),
        ("VmSwap:", None),
    ];
    for (field, expected) in cases {
        assert_eq!(parse_status(text, field), expected, "{field}");
    }
}

#[test]
fn own_process_is_read_and_a_missing_process_is_an_error() {
    let own = Process::Own.read().expect("this process runs");
    assert!(own.resident_bytes > 0 && own.threads > 0);
    // Above the highest process ID that the system assigns.
    assert!(Process::Other(u32::MAX).read().is_err());
}
