//! The relay copies both ways, and ends a connection when its target does.

use std::time::Duration;

use hookpoint_measure::relay::Relay;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PATIENCE: Duration = Duration::from_secs(30);

#[tokio::test]
async fn copies_both_ways_until_the_target_closes() {
    let target = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Relay::start(target.local_addr().expect("an address"))
        .await
        .expect("a relay");
    let mut near = TcpStream::connect(relay.address()).await.expect("connects");
    let (mut far, _) = target.accept().await.expect("the relay connects");
    let work = async {
        let question: Vec<u8> = (0..100_000u32).map(|byte| byte as u8).collect();
        let reading = async {
            let mut received = vec![0; question.len()];
            far.read_exact(&mut received).await.expect("all of it");
            received
        };
        let (sent, received) = tokio::join!(near.write_all(&question), reading);
        sent.expect("sent");
        assert_eq!(received, question);
        far.write_all(b"answer").await.expect("sent");
        drop(far);
        let mut answer = Vec::new();
        near.read_to_end(&mut answer)
            .await
            .expect("closed in order");
        assert_eq!(answer, b"answer");
    };
    tokio::time::timeout(PATIENCE, work).await.expect("in time");
}
