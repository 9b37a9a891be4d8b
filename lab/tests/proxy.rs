//! One proxy between a client, a group of databases and the platform, in one process.

mod common;

use std::sync::Arc;

use common::{bundle_of, connect, in_force, roll, settings};
use hookpoint::proxy::Proxy;
use hookpoint_lab::stack::{DatabaseOptions, Stack};
use hookpoint_state::ZoneName;
use hookpoint_workload::deployment::costa_rica;

#[actix_rt::test]
async fn a_write_and_its_read_pass_through_a_proxy_with_a_rolled_bundle() {
    let stack = Stack::start(Arc::new(costa_rica()), DatabaseOptions::default())
        .await
        .expect("stand-ins");
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let version = roll(&stack, bundle_of(&stack)).await;
    in_force(&proxy, version).await;
    let group = stack.deployment.groups[0].name.to_string();
    let client = connect(&proxy, &group).await;
    client
        .batch_execute("CREATE TABLE notes (id integer, text text)")
        .await
        .expect("a table");
    client
        .execute("INSERT INTO notes VALUES (1, 'hello')", &[])
        .await
        .expect("a write");
    let row = client
        .query_one("SELECT text FROM notes WHERE id = 1", &[])
        .await
        .expect("a read");
    assert_eq!(row.get::<_, String>(0), "hello");
    assert_eq!(proxy.shared().zone, ZoneName::new("sj-sala-a"));
    proxy.stop().await;
    let ended = client.query_one("SELECT 1", &[]).await;
    assert!(ended.is_err(), "a stopped proxy serves nothing");
}
