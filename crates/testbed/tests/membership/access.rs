//! Access lists: which entries are trusted, and how the node protects its own entry.

use super::support::{count_successes, start_node, start_server, wait_until};
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::{RegisteredServer, SERVERS_PATH};
use reelfall_testbed::pool::Server;
use reelfall_testbed::registry::{digest_id, AccessRule, Registry};

/// Bit mask of all permissions.
const ALL: i32 = 31;
/// Bit mask of the read permission.
const READ: i32 = 1;
/// Credentials of the owner of trusted entries, as `name:password`.
const CREDENTIALS: &str = "ops:secret";
/// Path of the node's entry.
const ENTRY_PATH: &str = "/nodes/n1";

fn register_with_acl(registry: &Registry, server: &Server, acl: &[AccessRule]) -> RegisteredServer {
    let registration = RegisteredServer::register(registry, server, &server.name, 0);
    registry.set_acl(&format!("{SERVERS_PATH}/{}", server.name), acl);
    registration
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_trusted_entries_are_used_and_own_entry_is_protected() {
    let registry = Registry::start(1).await.unwrap();
    let (trusted, untrusted) = (
        start_server("trusted").await,
        start_server("untrusted").await,
    );
    let owner_id = digest_id(CREDENTIALS);
    let owner_rule = AccessRule::new(ALL, "digest", &owner_id);
    let read_rule = AccessRule::new(READ, "world", "anyone");
    let open_rule = AccessRule::new(ALL, "world", "anyone");
    let trusted_acl = [owner_rule.clone(), read_rule.clone()];
    let _trusted_registration = register_with_acl(&registry, &trusted, &trusted_acl);
    let _untrusted_registration = register_with_acl(&registry, &untrusted, &[open_rule]);
    registry.put("/nodes", b"", 0);
    let credentials_file =
        std::env::temp_dir().join(format!("reelfall-digest-{}", std::process::id()));
    std::fs::write(&credentials_file, format!("{CREDENTIALS}\n")).unwrap();
    let service_options = format!(", owner = {{ scheme = \"digest\", id = \"{owner_id}\" }}");
    let registry_lines = format!(
        "digest_file = \"{}\"\n[registry.entry]\npath = \"{ENTRY_PATH}\"\nname = \"n1\"\nguarded = true",
        credentials_file.display()
    );
    let mut node = start_node(&registry, &service_options, &registry_lines).await;
    std::fs::remove_file(&credentials_file).unwrap();
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "trusted", 100).await, 100);
    assert_eq!(
        untrusted.requests_received(),
        0,
        "requests were sent to the server of an untrusted entry"
    );
    node.wait_for_log("an identity other than the configured owner may change the entry")
        .await
        .unwrap();
    wait_until("the entry", async || registry.entry(ENTRY_PATH).is_some()).await;
    let acl = registry.acl(ENTRY_PATH);
    assert!(acl.contains(&owner_rule) && acl.contains(&read_rule));
    assert_eq!(acl.len(), 2, "{acl:?}");
    node.signal("TERM").unwrap();
    assert!(node.wait_for_exit().await.unwrap());
    assert!(registry.entry(ENTRY_PATH).is_none());
}
