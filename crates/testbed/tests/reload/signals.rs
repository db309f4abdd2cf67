//! Reload signals that arrive while the node reads its settings file.

use crate::fixtures::{get_status, settings_for, start_healthy_server, start_node};
use crate::pending_read::PendingRead;
use reelfall_testbed::client::Client;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn signals_during_read_coalesce_into_one_reload_of_latest_file() {
    let server = start_healthy_server("s").await;
    let settings_with = |path: &str| settings_for(&[path], &server);
    let mut node = start_node(&settings_with("/n0")).await;
    let client = Client::new(node.address());
    let read = PendingRead::start(&node)
        .await
        .complete_and_hold_verification(&settings_with("/n1"))
        .await;
    for _ in 0..5 {
        node.signal("HUP").unwrap();
    }
    // A response to a request sent after the signals shows that the node has received them.
    assert_eq!(get_status(&client, "/n0", "before").await, 200);
    read.complete(&settings_with("/n1"), &settings_with("/n2"))
        .await;
    node.wait_for_log("is in force").await.unwrap();
    node.wait_for_log("is in force").await.unwrap();
    assert_eq!(get_status(&client, "/n2", "after").await, 200);
    assert_eq!(get_status(&client, "/n1", "gone").await, 404);
    // If the signals had caused a third reload, it would be logged before this one ends.
    let read = PendingRead::start(&node).await;
    read.complete(&settings_with("/n3"), &settings_with("/n3"))
        .await;
    node.wait_for_log("is in force").await.unwrap();
    assert_eq!(get_status(&client, "/n3", "last").await, 200);
    node.signal("TERM").unwrap();
    assert!(node.wait_for_exit().await.unwrap());
    while let Some(line) = node.next_log_line().await {
        assert!(!line.contains("is in force"), "one reload too many: {line}");
    }
}
