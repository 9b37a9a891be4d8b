//! Tests that datagrams and records are understood between this version and the one before it.

use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::primary_lease::{LeaseAnswer, ProcessTime};
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_serving::peer_message::PeerMessage;
use hookpoint_serving::primary_lease::{Announcement, Promotions};
use hookpoint_serving::records::{PromotionRecord, decode_promotion, encode};
use hookpoint_state::{DatabaseName, GroupName, StoreEra, StoreRevision, Term, Timestamp};
use serde::Deserialize;

/// Space for a datagram and the byte after it.
const BUFFER: usize = 512;

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(1), number)
}

fn announcement(group: &str, withheld: WithheldCommits) -> Announcement {
    Announcement {
        group: GroupName::new(group),
        candidate: DatabaseName::new("b"),
        token: FencingToken::new(revision(7), 3).unwrap(),
        revision: revision(9),
        withheld,
    }
}

fn lease_answer(withheld: WithheldCommits) -> PeerMessage {
    let time = ProcessTime {
        process: 5,
        time: Timestamp(1_000),
    };
    let newer = vec![
        announcement("first", WithheldCommits::None),
        announcement("second", withheld),
    ];
    PeerMessage::TellLease {
        answer: LeaseAnswer {
            coordinator: revision(7),
            asked_at: time,
            answered_at: time,
            granted: true,
        },
        promotions: Promotions::new(newer, revision(11)),
    }
}

fn announce(withheld: WithheldCommits) -> PeerMessage {
    PeerMessage::Announce {
        coordinator: revision(7),
        node: "front-1".to_owned(),
        announcement: announcement("first", WithheldCommits::None),
        withheld,
    }
}

fn decode(datagram: &[u8]) -> PeerMessage {
    // The buffer holds bytes of an earlier, longer datagram.
    let mut buffer = vec![0xff; BUFFER];
    buffer[..datagram.len()].copy_from_slice(datagram);
    PeerMessage::decode(&mut buffer, datagram.len()).unwrap()
}

fn announcements(message: &PeerMessage) -> Vec<Announcement> {
    match message {
        PeerMessage::TellLease { promotions, .. } => promotions.announcements().collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn withheld_commits_are_sent() {
    for withheld in [WithheldCommits::UpTo(Term(4)), WithheldCommits::All] {
        let datagram = postcard::to_allocvec(&lease_answer(withheld)).unwrap();
        let expected = [
            announcement("first", WithheldCommits::None),
            announcement("second", withheld),
        ];
        assert_eq!(announcements(&decode(&datagram)), expected);
        let datagram = postcard::to_allocvec(&announce(withheld)).unwrap();
        assert_eq!(decode(&datagram), announce(withheld));
    }
}

/// The version before does not send what a promotion withholds, which is the last field.
#[test]
fn messages_of_the_version_before_are_read() {
    for message in [
        lease_answer(WithheldCommits::None),
        announce(WithheldCommits::None),
    ] {
        let mut datagram = postcard::to_allocvec(&message).unwrap();
        assert_eq!(datagram.pop(), Some(0), "the encoding of the default value");
        assert_eq!(decode(&datagram), message);
    }
}

/// An announcement as the version before reads it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierAnnouncement {
    group: GroupName,
    candidate: DatabaseName,
    token: FencingToken,
    revision: StoreRevision,
}

/// The promotions as the version before reads them.
#[derive(Debug, Deserialize)]
struct EarlierPromotions {
    newer: Vec<EarlierAnnouncement>,
    known: StoreRevision,
}

#[test]
fn the_version_before_reads_the_announcements() {
    let newer = vec![
        announcement("first", WithheldCommits::UpTo(Term(4))),
        announcement("second", WithheldCommits::All),
    ];
    let promotions = Promotions::new(newer, revision(11));
    let encoded = postcard::to_allocvec(&promotions).unwrap();
    let earlier: EarlierPromotions = postcard::from_bytes(&encoded).unwrap();
    assert_eq!(earlier.known, revision(11));
    let groups: Vec<_> = earlier.newer.iter().map(|read| &read.group).collect();
    assert_eq!(
        groups,
        [&GroupName::new("first"), &GroupName::new("second")]
    );
    for read in &earlier.newer {
        assert_eq!(read.candidate, DatabaseName::new("b"));
        assert_eq!(read.revision, revision(9));
        assert_eq!(read.token, FencingToken::new(revision(7), 3).unwrap());
    }
}

#[test]
fn promotion_records_of_the_version_before_are_read() {
    let record = |withheld| PromotionRecord {
        group: GroupName::new("first"),
        candidate: DatabaseName::new("b"),
        fencing_token: FencingToken::new(revision(7), 3).unwrap(),
        withheld,
    };
    let earlier = encode(&record(WithheldCommits::None));
    let (last, earlier) = earlier.split_last().unwrap();
    assert_eq!(*last, 0, "the encoding of the default value");
    let expected = record(WithheldCommits::None);
    assert_eq!(decode_promotion(earlier), Some(expected));
    let present = record(WithheldCommits::UpTo(Term(4)));
    assert_eq!(decode_promotion(&encode(&present)), Some(present));
}
