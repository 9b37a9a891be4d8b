//! Tests that a node which is stalled itself does not take its peers for silent.

use std::time::Duration;

use hookpoint_coordination::serving::local_stalls::LocalStalls;
use hookpoint_state::Timestamp;
use quickcheck::quickcheck;

const REQUIRED_TIME: Duration = Duration::from_millis(120);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + millis)
}

#[test]
fn stalled_time_does_not_count_as_silence() {
    let mut stalls = LocalStalls::default();
    let since = stalls.begin(at(0));
    assert!(
        stalls.has_received_for(REQUIRED_TIME, since, at(120)),
        "control: it was never stalled"
    );
    stalls.note_timer(at(40), at(130));
    assert!(!stalls.has_received_for(REQUIRED_TIME, since, at(130)));
    assert!(!stalls.has_received_for(REQUIRED_TIME, since, at(209)));
    assert!(stalls.has_received_for(REQUIRED_TIME, since, at(210)));
}

#[test]
fn timers_that_report_the_same_stall_count_once() {
    let mut stalls = LocalStalls::default();
    let since = stalls.begin(at(0));
    for due in [40, 41, 55, 80, 129] {
        stalls.note_timer(at(due), at(130));
    }
    assert!(stalls.has_received_for(REQUIRED_TIME, since, at(210)));
}

#[test]
fn a_slightly_late_timer_changes_nothing() {
    let mut stalls = LocalStalls::default();
    let since = stalls.begin(at(0));
    for due in (0..120).step_by(10) {
        stalls.note_timer(at(due), at(due + 3));
    }
    assert!(stalls.has_received_for(REQUIRED_TIME, since, at(120)));
}

#[test]
fn messages_received_during_a_stall_are_read_before_a_silence_is_detected() {
    let mut stalls = LocalStalls::default();
    let since = stalls.begin(at(0));
    stalls.note_timer(at(119), at(300));
    assert!(
        !stalls.has_received_for(REQUIRED_TIME, since, at(301)),
        "the time has passed, but messages may still be unread"
    );
    assert!(stalls.has_received_for(REQUIRED_TIME, since, at(320)));
}

#[test]
fn a_node_that_is_always_slightly_late_still_detects_silence() {
    let mut stalls = LocalStalls::default();
    let since = stalls.begin(at(0));
    let mut now = 0;
    while !stalls.has_received_for(REQUIRED_TIME, since, at(now)) {
        now += 40;
        stalls.note_timer(at(now - 16), at(now));
        assert!(now < 700, "never detected");
    }
    assert!(now >= 240, "{now}");
}

quickcheck! {
    /// Whatever the timers report, detecting a silence takes at least the required time, and at
    /// most twice that time plus the duration of all stalls.
    fn detecting_a_silence_takes_the_required_time(timers: Vec<(u8, u8)>) -> bool {
        let mut stalls = LocalStalls::default();
        let since = stalls.begin(at(0));
        let mut now = 0;
        let mut stalled = 0;
        for (pause, late) in timers {
            now += u64::from(pause);
            let due = now;
            now += u64::from(late);
            stalls.note_timer(at(due), at(now));
            stalled += u64::from(late);
            let detected = stalls.has_received_for(REQUIRED_TIME, since, at(now));
            if detected && now < 120 || !detected && now >= stalled + 240 {
                return false;
            }
        }
        true
    }
}
