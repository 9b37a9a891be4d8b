//! Test of the platform follower without any platform URL.

use std::time::Duration;

use hookpoint_transport::platform::{
    PlatformClient, PlatformCommand, PlatformEvent, PlatformFollower,
};

#[actix_rt::test]
async fn without_urls_nothing_is_watched_and_fetches_fail_at_once() {
    let client = PlatformClient::new(Vec::new(), Duration::from_secs(60));
    let (commands, mut events) = PlatformFollower::start(client);
    for command in [
        PlatformCommand::Watch(true),
        PlatformCommand::Fetch,
        PlatformCommand::Fetch,
    ] {
        commands.send(command).await.expect("the follower runs");
    }
    assert_eq!(events.recv().await, Some(PlatformEvent::Failed));
    assert_eq!(events.recv().await, Some(PlatformEvent::Failed));
    drop(commands);
    // A running watch would keep the channel open.
    assert_eq!(events.recv().await, None);
}
