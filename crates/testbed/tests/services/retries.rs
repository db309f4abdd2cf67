//! Retries after failures of servers.

use crate::harness::{start_node, workload};
use crate::settings::{idempotent_service, non_idempotent_service, settings_file};
use reelfall_testbed::load::{self, Workload};
use reelfall_testbed::pool::{Pool, ServerBehavior};
use std::time::Duration;

/// Statuses by which the node reports that a request took no effect.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_runs_at_most_once_when_servers_fail() {
    let behavior = ServerBehavior {
        close_after_effect_ratio: 0.3,
        close_before_effect_ratio: 0.2,
        error_ratio: 0.1,
        shed_ratio: 0.1,
        ..ServerBehavior::healthy(Duration::from_millis(2))
    };
    let pool = Pool::start("s", 4, behavior, 5).await.unwrap();
    let servers = pool.server_settings();
    let node = start_node(&settings_file(&[
        &non_idempotent_service("a", "", &servers),
        &idempotent_service("b", "", &servers),
    ]))
    .await;
    let non_idempotent = Workload {
        method: "POST",
        ..workload("a", 100.0)
    };
    let workloads = [non_idempotent, workload("b", 100.0)];
    let stats = load::run(node.address(), &workloads, Duration::from_secs(3), 9).await;
    assert_eq!(
        stats
            .iter()
            .map(|service_stats| service_stats.lost)
            .sum::<u64>(),
        0,
        "a request was not answered"
    );
    let effect_counts = pool.effect_counts();
    let duplicates: Vec<_> = effect_counts
        .iter()
        .filter(|(id, count)| id.starts_with("a-") && **count > 1)
        .collect();
    assert!(duplicates.is_empty(), "duplicate effects: {duplicates:?}");
    assert!(
        effect_counts
            .iter()
            .any(|(id, count)| id.starts_with("b-") && *count > 1),
        "no idempotent request was retried"
    );
    let effects = effect_counts
        .keys()
        .filter(|id| id.starts_with("a-"))
        .count() as u64;
    let rejected = stats[0].with_status(&REJECTION_STATUSES);
    assert!(
        effects + rejected <= stats[0].sent,
        "of {} requests {rejected} were rejected and {effects} ran",
        stats[0].sent
    );
}
