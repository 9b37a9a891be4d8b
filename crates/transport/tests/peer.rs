//! Tests of a fleet with real sockets in one process: membership and forwarded leases.

mod peer_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::frame::Frame;
use hookpoint_state::{DatabaseName, Refusal};
use hookpoint_transport::lease::BackendLease;
use peer_support::{
    DATABASES, Ending, Node, alive, database, home_of, in_time, key, request, start_fleet,
    start_with, until,
};

const RELEASE: BackendCommand = BackendCommand::Release {
    reusable: true,
    discard: false,
};

fn frames(size: usize) -> Vec<Frame> {
    vec![Frame::new(b'Q', vec![7; size]), Frame::new(b'S', vec![])]
}

async fn lease(node: &Node, database: &DatabaseName) -> BackendLease {
    in_time(node.leases.acquire(request(database.clone())))
        .await
        .expect("the lease is granted")
}

async fn echo(lease: &mut BackendLease, size: usize) {
    let command = BackendCommand::Frames(frames(size));
    in_time(lease.commands.send(command))
        .await
        .expect("it is taken");
    let reply = in_time(lease.replies.recv()).await;
    assert_eq!(reply, Some(BackendReply::Frames(frames(size))));
}

#[actix_rt::test]
async fn three_nodes_divide_the_databases_and_forward_leases() {
    let nodes = start_fleet(3).await;
    for index in 0..DATABASES {
        let homes = nodes
            .iter()
            .filter(|node| node.fleet.is_home(&database(index)));
        assert_eq!(homes.count(), 1);
    }
    let remote = home_of(&nodes[1]);
    let mut forwarded = lease(&nodes[0], &remote).await;
    assert_eq!(forwarded.database, remote);
    for size in [0, 1, 20_000, 3_000_000] {
        echo(&mut forwarded, size).await;
    }
    in_time(forwarded.commands.send(RELEASE))
        .await
        .expect("it is taken");
    let endings = nodes[1].echo.endings.clone();
    until(|| *endings.lock() == [Ending::Released { reusable: true }]).await;
    drop(forwarded);
    until(|| nodes[0].fleet.status().streams == 0 && nodes[1].fleet.status().streams == 0).await;

    let mut local = lease(&nodes[1], &remote).await;
    echo(&mut local, 10).await;
    assert_eq!(nodes[1].fleet.status().counters.leases_served, 1);
    assert_eq!(nodes[0].echo.granted.load(Ordering::SeqCst), 0);
}

#[actix_rt::test]
async fn lease_dropped_by_the_session_is_dropped_by_the_home() {
    let nodes = start_fleet(2).await;
    let mut forwarded = lease(&nodes[0], &home_of(&nodes[1])).await;
    echo(&mut forwarded, 10).await;
    drop(forwarded);
    let endings = nodes[1].echo.endings.clone();
    until(|| *endings.lock() == [Ending::Dropped]).await;
}

#[actix_rt::test]
async fn unused_lease_is_released_as_reusable() {
    let nodes = start_fleet(2).await;
    let forwarded = lease(&nodes[0], &home_of(&nodes[1])).await;
    until(|| nodes[1].echo.granted.load(Ordering::SeqCst) == 1).await;
    drop(forwarded);
    let endings = nodes[1].echo.endings.clone();
    until(|| *endings.lock() == [Ending::Released { reusable: true }]).await;
}

#[actix_rt::test]
async fn refusal_and_remaining_wait_are_forwarded() {
    let nodes = start_fleet(2).await;
    *nodes[1].echo.refusal.lock() = Some(Refusal::QueueFull);
    let mut refused = lease(&nodes[0], &home_of(&nodes[1])).await;
    let early = BackendCommand::Frames(frames(10));
    in_time(refused.commands.send(early))
        .await
        .expect("it waits");
    let reply = in_time(refused.replies.recv()).await;
    assert_eq!(reply, Some(BackendReply::Refused(Refusal::QueueFull)));
    assert_eq!(in_time(refused.replies.recv()).await, None);
    let wait = nodes[1].echo.waits.lock()[0];
    assert!(
        wait <= Duration::from_secs(10) && wait > Duration::from_secs(1),
        "{wait:?}"
    );
}

#[actix_rt::test]
async fn lease_not_granted_in_time_is_refused() {
    let nodes = start_fleet(2).await;
    nodes[1].echo.stalled.store(true, Ordering::SeqCst);
    let mut short = request(home_of(&nodes[1]));
    short.wait = Duration::from_millis(50);
    let acquired = in_time(nodes[0].leases.acquire(short)).await;
    let mut stalled = acquired.expect("it is not waited for");
    let early = BackendCommand::Frames(frames(10));
    in_time(stalled.commands.send(early))
        .await
        .expect("it waits");
    assert_eq!(
        in_time(stalled.replies.recv()).await,
        Some(BackendReply::Refused(Refusal::WaitDeadline))
    );
    until(|| nodes[1].fleet.status().streams == 0).await;
}

#[actix_rt::test]
async fn early_commands_run_in_order_once_granted() {
    let nodes = start_fleet(2).await;
    let mut forwarded = lease(&nodes[0], &home_of(&nodes[1])).await;
    for size in 0..20 {
        let command = BackendCommand::Frames(frames(size * 1_000));
        in_time(forwarded.commands.send(command))
            .await
            .expect("taken");
    }
    for size in 0..20 {
        let reply = in_time(forwarded.replies.recv()).await;
        assert_eq!(reply, Some(BackendReply::Frames(frames(size * 1_000))));
    }
}

#[actix_rt::test]
async fn leases_of_a_failed_home_are_lost_and_other_nodes_take_over() {
    let nodes = start_fleet(3).await;
    let lost = home_of(&nodes[1]);
    let mut forwarded = lease(&nodes[0], &lost).await;
    echo(&mut forwarded, 10).await;
    nodes[1].fleet.shutdown();
    assert_eq!(
        in_time(forwarded.replies.recv()).await,
        Some(BackendReply::Lost)
    );
    // No node has detected the failure yet, but the request is routed to another node.
    let mut again = lease(&nodes[0], &lost).await;
    echo(&mut again, 10).await;
    until(|| alive(&nodes[0]) == 1 && alive(&nodes[2]) == 1).await;
    until(|| {
        let homes = [&nodes[0], &nodes[2]].map(|node| node.fleet.homes().len());
        homes.iter().sum::<usize>() == DATABASES
    })
    .await;
}

#[actix_rt::test]
async fn leaving_home_hands_over_and_finishes_its_leases() {
    let nodes = start_fleet(3).await;
    let moved = home_of(&nodes[1]);
    let mut held = lease(&nodes[0], &moved).await;
    echo(&mut held, 10).await;
    in_time(nodes[1].fleet.leave()).await;
    assert!(nodes[1].fleet.homes().is_empty());
    until(|| alive(&nodes[0]) == 1 && alive(&nodes[2]) == 1).await;
    let before = nodes[1].echo.granted.load(Ordering::SeqCst);
    let mut fresh = lease(&nodes[0], &moved).await;
    echo(&mut fresh, 10).await;
    assert_eq!(nodes[1].echo.granted.load(Ordering::SeqCst), before);
    echo(&mut held, 10).await;
    // The leaving node still forwards requests of its own sessions.
    let mut own = lease(&nodes[1], &moved).await;
    echo(&mut own, 10).await;
    for lease in [held, fresh, own] {
        in_time(lease.commands.send(RELEASE))
            .await
            .expect("it is taken");
    }
    assert_eq!(
        in_time(nodes[1].fleet.drain(Duration::from_secs(10))).await,
        0
    );
}

#[actix_rt::test]
async fn slow_session_blocks_only_its_own_stream() {
    let nodes = start_fleet(2).await;
    let remote = home_of(&nodes[1]);
    let slow = lease(&nodes[0], &remote).await;
    let mut sent = 0;
    // Replies accumulate unread until all buffers on the way back are full.
    while sent < 200 {
        let command = BackendCommand::Frames(frames(100_000));
        let limit = Duration::from_millis(200);
        if slow.commands.send_timeout(command, limit).await.is_err() {
            break;
        }
        sent += 1;
    }
    assert!(sent < 200, "no back-pressure reached the sender");
    let mut other = lease(&nodes[0], &remote).await;
    for _ in 0..20 {
        echo(&mut other, 50_000).await;
    }
    let mut slow = slow;
    for _ in 0..sent {
        let reply = in_time(slow.replies.recv()).await;
        assert_eq!(reply, Some(BackendReply::Frames(frames(100_000))));
    }
}

#[actix_rt::test]
async fn node_with_another_key_cannot_join() {
    let inside = start_with("zone", Vec::new(), vec![key(1)]);
    let seeds = vec![inside.fleet.address()];
    let outside = start_with("zone", seeds, vec![key(2)]);
    until(|| inside.fleet.status().counters.datagrams_dropped >= 3).await;
    assert_eq!((alive(&inside), alive(&outside)), (0, 0));
    // During a key rotation both keys are accepted.
    inside
        .fleet
        .set_keys(vec![key(1), key(2)])
        .expect("two keys");
    outside
        .fleet
        .set_keys(vec![key(2), key(1)])
        .expect("two keys");
    until(|| alive(&inside) == 1 && alive(&outside) == 1).await;
}

#[actix_rt::test]
async fn cancel_request_is_routed_to_the_sessions_node() {
    let nodes = start_fleet(3).await;
    let (sender, mut received_messages) = tokio::sync::mpsc::unbounded_channel();
    let handler = move |process, secret| {
        let _ = sender.send((process, secret));
    };
    nodes[2]
        .fleet
        .set_cancel_handler(std::sync::Arc::new(handler));
    let process = u32::from(nodes[2].fleet.cancel_tag()) << 16 | 17;
    in_time(nodes[0].fleet.cancel_session(process, 42)).await;
    assert_eq!(in_time(received_messages.recv()).await, Some((process, 42)));
}
