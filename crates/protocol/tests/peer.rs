//! Messages between nodes: data that is not authentic is refused, and the reassembly of
//! messages is bounded.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use hookpoint_coordination::membership::{
    Datagram, DatagramBody, MemberInfo, MemberState, MemberUpdate, Sender,
};
use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::peer::{
    Assembler, DatagramError, DatagramSealer, FleetKey, FleetKeyError, FleetKeys, HANDSHAKE_BYTES,
    HandshakeInitiator, LinkCipher, LinkError, LinkFrame, MAXIMUM_DATAGRAM_BYTES,
    MAXIMUM_FRAGMENT_BYTES, ReplayGuard, StreamError, accept_handshake, decode_frames,
    encode_frame, fragments, open_datagram,
};
use hookpoint_state::{BundleVersion, NodeId, RegionName, ZoneName};
use quickcheck::{Gen, QuickCheck};

fn key(number: u32, secret: u8) -> FleetKey {
    FleetKey::new(number, &[secret; 32]).expect("the secret is long enough")
}

fn keys(keys: &[FleetKey]) -> FleetKeys {
    FleetKeys::new(keys.to_vec()).expect("the keys are valid")
}

fn member_info(node: u64) -> MemberInfo {
    MemberInfo {
        node: NodeId(node),
        zone: ZoneName::new("sj-sala-a"),
        region: RegionName::new("san-jose"),
        address: "10.1.2.3:7000".parse().expect("the address is valid"),
    }
}

fn datagram(updates: usize) -> Datagram {
    let update = |node| MemberUpdate {
        node: NodeId(node),
        incarnation: 3,
        state: MemberState::Suspect,
        info: Some(Arc::new(member_info(node))),
    };
    Datagram {
        sender: Sender {
            node: NodeId(u64::MAX),
            incarnation: 1,
            leaving: false,
            bundle: BundleVersion(9),
            digest: u64::MAX,
            info: Some(Arc::new(member_info(u64::MAX))),
        },
        receiver: Some(NodeId(5)),
        body: DatagramBody::Ping { probe: 7 },
        updates: (0..updates as u64).map(update).collect(),
    }
}

#[test]
fn datagrams_are_decrypted_with_ascending_sequence_numbers() {
    let mut sealer = DatagramSealer::default();
    for sequence in 1..4 {
        let sealed = sealer
            .seal(&key(1, 1), &datagram(3))
            .expect("the size is within the limit");
        let opened = open_datagram(&keys(&[key(2, 2), key(1, 1)]), &sealed);
        assert_eq!(opened, Ok((sequence, datagram(3))));
    }
}

#[test]
fn unauthentic_datagrams_are_refused() {
    let good = DatagramSealer::default()
        .seal(&key(1, 1), &datagram(2))
        .expect("the size is within the limit");
    let changed = |place: usize, value: u8| {
        let mut bytes = good.clone();
        bytes[place] = value;
        bytes
    };
    let too_large = vec![1; MAXIMUM_DATAGRAM_BYTES + 1];
    let cases = [
        ("empty", Vec::new(), DatagramError::Malformed),
        ("short", good[..52].to_vec(), DatagramError::Malformed),
        (
            "cut",
            good[..good.len() - 1].to_vec(),
            DatagramError::NotAuthentic,
        ),
        ("of another format", changed(0, 2), DatagramError::Malformed),
        (
            "of an unknown key",
            changed(4, 9),
            DatagramError::UnknownKey,
        ),
        (
            "of the wrong key",
            changed(4, 2),
            DatagramError::NotAuthentic,
        ),
        ("too large", too_large, DatagramError::TooLarge),
    ];
    let accepted = keys(&[key(1, 1), key(2, 2)]);
    for (name, bytes, error) in cases {
        assert_eq!(open_datagram(&accepted, &bytes), Err(error), "{name}");
    }
    for (place, byte) in good.iter().enumerate() {
        let garbled = changed(place, byte ^ 0x10);
        assert!(open_datagram(&accepted, &garbled).is_err(), "byte {place}");
    }
}

#[test]
fn oversized_datagrams_are_not_sealed() {
    let sent = DatagramSealer::default().seal(&key(1, 1), &datagram(60));
    assert_eq!(sent, Err(DatagramError::TooLarge));
}

#[test]
fn sequence_numbers_are_accepted_once() {
    let mut guard = ReplayGuard::default();
    // (sequence number, whether it is accepted), in the order of arrival.
    let arrivals = [
        (0, false),
        (1, true),
        (1, false),
        (5, true),
        (3, true),
        (3, false),
        (300, true),
        (300, false),
        (173, true),
        (172, false),
        (5, false),
        (u64::MAX, true),
        (300, false),
    ];
    for (sequence, accepted) in arrivals {
        assert_eq!(
            guard.accept(NodeId(1), sequence),
            accepted,
            "number {sequence}"
        );
    }
    assert!(
        guard.accept(NodeId(2), 1),
        "the windows of two senders are not independent"
    );
}

#[test]
fn no_sequence_number_is_accepted_twice_in_any_order() {
    fn property(arrivals: Vec<u16>) -> bool {
        let mut guard = ReplayGuard::default();
        let mut seen = BTreeSet::new();
        arrivals.into_iter().all(|sequence| {
            let accepted = guard.accept(NodeId(1), u64::from(sequence % 400));
            !accepted || seen.insert(sequence % 400)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 3))
        .tests(200)
        .quickcheck(property as fn(Vec<u16>) -> bool);
}

#[test]
fn invalid_keys_are_refused() {
    assert_eq!(
        FleetKey::new(1, &[0; 15]).err(),
        Some(FleetKeyError::TooShort)
    );
    assert_eq!(FleetKeys::new(Vec::new()).err(), Some(FleetKeyError::NoKey));
    let duplicate = FleetKeys::new(vec![key(1, 1), key(1, 2)]);
    assert_eq!(duplicate.err(), Some(FleetKeyError::SameNumber(1)));
}

/// Performs a handshake; returns the ciphers of the dialling and the accepting node.
fn link(dialling: &FleetKey, accepting: &FleetKeys) -> Result<(LinkCipher, LinkCipher), LinkError> {
    let (initiator, message) = HandshakeInitiator::start(dialling)?;
    let (accepted, response) = accept_handshake(accepting, &message)?;
    Ok((initiator.finish(&response)?, accepted))
}

#[test]
fn both_ends_of_a_link_can_exchange_records() {
    let (initiator_cipher, acceptor_cipher) =
        link(&key(2, 2), &keys(&[key(1, 1), key(2, 2)])).expect("the handshake succeeds");
    for number in 0..3 {
        let record = initiator_cipher
            .seal(number, b"there")
            .expect("the size is within the limit");
        assert_eq!(
            acceptor_cipher.open(number, &record[2..]),
            Ok(b"there".to_vec())
        );
        let record = acceptor_cipher
            .seal(number, b"back")
            .expect("the size is within the limit");
        assert_eq!(
            initiator_cipher.open(number, &record[2..]),
            Ok(b"back".to_vec())
        );
    }
}

#[test]
fn handshakes_without_an_accepted_key_are_refused() {
    let accepting = keys(&[key(1, 1)]);
    assert_eq!(
        link(&key(2, 1), &accepting).err(),
        Some(LinkError::UnknownKey)
    );
    assert_eq!(
        link(&key(1, 2), &accepting).err(),
        Some(LinkError::NotAuthentic)
    );
    let without_magic = accept_handshake(&accepting, &[7; HANDSHAKE_BYTES]);
    assert_eq!(without_magic.err(), Some(LinkError::Malformed));
    let (_, message) = HandshakeInitiator::start(&key(1, 1)).expect("the handshake starts");
    for place in 0..HANDSHAKE_BYTES {
        let mut garbled = message;
        garbled[place] ^= 1;
        assert!(
            accept_handshake(&accepting, &garbled).is_err(),
            "byte {place}"
        );
    }
}

#[test]
fn response_to_another_handshake_is_refused() {
    let (initiator, _) = HandshakeInitiator::start(&key(1, 1)).expect("the handshake starts");
    let (_, message) = HandshakeInitiator::start(&key(1, 1)).expect("the handshake starts");
    let (_, response) =
        accept_handshake(&keys(&[key(1, 1)]), &message).expect("the handshake is accepted");
    assert_eq!(
        initiator.finish(&response).err(),
        Some(LinkError::NotAuthentic)
    );
}

#[test]
fn repeated_reordered_or_changed_records_are_refused() {
    let (initiator_cipher, acceptor_cipher) =
        link(&key(1, 1), &keys(&[key(1, 1)])).expect("the handshake succeeds");
    let first = initiator_cipher
        .seal(0, b"first")
        .expect("the size is within the limit");
    let second = initiator_cipher
        .seal(1, b"second")
        .expect("the size is within the limit");
    let mut changed = first.clone();
    changed[4] ^= 1;
    let cases: [(&str, u64, &[u8]); 5] = [
        ("reordered", 0, &second[2..]),
        ("repeated", 1, &first[2..]),
        ("changed", 0, &changed[2..]),
        ("cut", 0, &first[2..first.len() - 1]),
        ("empty", 0, &[]),
    ];
    for (name, number, record) in cases {
        assert_eq!(
            acceptor_cipher.open(number, record),
            Err(LinkError::NotAuthentic),
            "{name}"
        );
    }
    assert_eq!(
        initiator_cipher.seal(2, &[0; 70_000]),
        Err(LinkError::TooLarge)
    );
}

#[test]
fn record_can_hold_several_frames() {
    let frames = [
        LinkFrame::Ping,
        LinkFrame::Data {
            stream: 3,
            last: false,
            bytes: Bytes::from_static(b"piece"),
        },
        LinkFrame::Closed { stream: 3 },
    ];
    let record = frames
        .iter()
        .fold(Vec::new(), |record, frame| encode_frame(frame, record));
    assert_eq!(decode_frames(&record).as_deref(), Ok(&frames[..]));
    assert!(decode_frames(&record[..record.len() - 1]).is_err());
    assert!(decode_frames(&[0xFF]).is_err());
}

#[test]
fn messages_of_any_size_are_reassembled_from_fragments() {
    for size in [0, 1, MAXIMUM_FRAGMENT_BYTES, 3 * MAXIMUM_FRAGMENT_BYTES + 5] {
        let command = BackendCommand::Frames(vec![Frame::new(b'Q', vec![1; size])]);
        let mut assembler = Assembler::default();
        let mut received = None;
        for (last, fragment) in fragments(&command).expect("the message is encoded") {
            assert!(fragment.len() <= MAXIMUM_FRAGMENT_BYTES);
            assert!(received.is_none());
            received = assembler
                .push::<BackendCommand>(last, &fragment)
                .expect("the fragment is valid");
        }
        assert_eq!(received, Some(command));
    }
}

#[test]
fn messages_over_the_size_limit_are_refused() {
    let fragment = vec![0; 1024 * 1024];
    let mut assembler = Assembler::default();
    let failure = (0..200)
        .find_map(|_| assembler.push::<BackendCommand>(false, &fragment).err())
        .expect("no size limit was enforced");
    assert_eq!(failure, StreamError::TooLarge);
    let undecodable = Assembler::default().push::<BackendCommand>(true, &[0xFF; 9]);
    assert_eq!(undecodable, Err(StreamError::Malformed));
}
