//! Tests that the relay copies in both directions and closes a connection when its target
//! does.

use std::time::Duration;

use hookpoint_measure::relay::Relay;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn copies_both_directions_until_the_target_closes() {
    let target = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Relay::start(target.local_addr().expect("an address"))
        .await
        .expect("a relay");
    let mut client = TcpStream::connect(relay.address()).await.expect("connects");
    let (mut server, _) = target.accept().await.expect("the relay connects");
    let work = async {
        let request: Vec<u8> = (0..100_000u32).map(|byte| byte as u8).collect();
        let reading = async {
            let mut received = vec![0; request.len()];
            server
                .read_exact(&mut received)
                .await
                .expect("the whole request");
            received
        };
        let (sent, received) = tokio::join!(client.write_all(&request), reading);
        sent.expect("sent");
        assert_eq!(received, request);
        server.write_all(b"answer").await.expect("sent");
        drop(server);
        let mut answer = Vec::new();
        client
            .read_to_end(&mut answer)
            .await
            .expect("an orderly close");
        assert_eq!(answer, b"answer");
    };
    tokio::time::timeout(TEST_TIMEOUT, work)
        .await
        .expect("completes in time");
}
