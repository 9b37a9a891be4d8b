//! Tests of cancel requests that arrive at another node than the session's.

mod caller_support;

use std::sync::Arc;

use caller_support::raw::{RawClient, first_error, packet};
use caller_support::{FakeGroup, start};
use hookpoint_protocol::extended::query;

const CANCEL_CODE: u32 = 80_877_102;

#[actix_rt::test]
async fn cancel_request_is_routed_from_another_node() {
    let group = FakeGroup::new();
    let home = start(&group).await;
    let other = start(&group).await;
    let at_home = home.clone();
    home.set_cancel_route(0x1234, Arc::new(|_, _| {}));
    other.set_cancel_route(
        0x4321,
        Arc::new(move |process, secret| {
            assert_eq!(process >> 16, 0x1234);
            at_home.cancel(process, secret);
        }),
    );
    let (mut client, greeting) = RawClient::begin(&home, &[]).await;
    let key = greeting.iter().find(|frame| frame.tag == b'K');
    let mut body = CANCEL_CODE.to_be_bytes().to_vec();
    body.extend_from_slice(&key.expect("a key").body);
    client.send(&[query("SELECT SLEEPS")]).await;
    group
        .until("it sleeps", |group| !group.ran_on("SLEEPS").is_empty())
        .await;
    let mut other_client = RawClient::open(&other).await;
    other_client.send_raw(&packet(&body)).await;
    assert!(other_client.next().await.is_none(), "it is not answered");
    let error = first_error(&client.until_ready().await);
    assert_eq!(error.as_deref(), Some("57014"));
    home.stop().await;
    other.stop().await;
}
