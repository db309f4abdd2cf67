//! Manual bans: propagation, expiry and lifting, with and without partitions.

use crate::fleets::{
    assert_no_violations, attempt_count, late_attempts, reserve_fleet, run_command, run_for,
    spec_with_short_slow_start, start, wait_until_attempted, wait_until_explained, SECOND,
};
use crate::ALL_NODES;
use reelfall_testbed::fleet::{invariants, queries, server_name, FleetSpec, ManagementResponse};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ban_and_lift_reach_all_nodes() {
    let _reservation = reserve_fleet().await;
    let fleet = start(FleetSpec::default()).await;
    let load = fleet.start_load(60.0, 0.3, 1);
    wait_until_attempted(&fleet, 2, &ALL_NODES).await;
    fleet.ban_server(0, 2, None).await.unwrap();
    let since = fleet.history.now();
    run_for(3.0).await;
    assert_eq!(
        late_attempts(&fleet, 2, since, &ALL_NODES),
        [],
        "attempts at a banned server\n{}",
        fleet.history.tail(20)
    );
    let ManagementResponse { status, body } = fleet
        .call_management(4, "GET", &format!("/-/fleet/servers/{}", server_name(2)))
        .await
        .unwrap();
    assert_eq!(status, 200);
    assert!(body.contains("s2: out by hand, for 604"), "{body}");
    assert!(body.contains("s2: out by operator, call 1 at n0"), "{body}");
    let explanation = run_command(&fleet, 4, &["fleet", "explain", "s2"]).await;
    assert!(explanation.contains("s2: out by operator"), "{explanation}");
    let members = run_command(&fleet, 4, &["fleet", "members"]).await;
    assert!(
        ["n0 at", "n4 at"].iter().all(|node| members.contains(node)),
        "{members}"
    );
    // A server that is disabled at a single node.
    run_command(&fleet, 1, &["disable", "s5"]).await;
    let since = fleet.history.now();
    run_for(2.5).await;
    assert_eq!(
        late_attempts(&fleet, 5, since, &[1]),
        [],
        "attempts at a server that is disabled at this node"
    );
    assert!(
        !late_attempts(&fleet, 5, since, &[0, 2, 3, 4]).is_empty(),
        "disabled at one node, but avoided by the others, too"
    );
    run_command(&fleet, 1, &["enable", "s5"]).await;
    // The ban is lifted through another node.
    fleet.lift_ban(3, 2).await.unwrap();
    wait_until_attempted(&fleet, 2, &ALL_NODES).await;
    load.stop().await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ban_expires_on_both_sides_of_a_partition_and_spreads_after_it() {
    let _reservation = reserve_fleet().await;
    let fleet = start(spec_with_short_slow_start()).await;
    let load = fleet.start_load(60.0, 0.2, 2);
    let (side_a, side_b) = ([0, 1], [2, 3, 4]);
    fleet.ban_server(0, 0, Some(6)).await.unwrap();
    let banned_at = fleet.history.now();
    // A ban that does not reach a node before the partition can't reach it until the partition heals.
    wait_until_explained(&fleet, "s0", "s0: out by hand").await;
    fleet.network().partition(&side_a, &side_b, true);
    fleet.ban_server(0, 1, None).await.unwrap();
    run_for(2.0).await;
    let events = fleet.history.events();
    let recent_attempts = queries::attempts(
        &events,
        1,
        fleet.history.now() - SECOND,
        Duration::MAX,
        &side_b,
    );
    assert!(!recent_attempts.is_empty(), "a ban crossed the partition");
    // The first ban expires in time on both sides.
    wait_until_attempted(&fleet, 0, &ALL_NODES).await;
    let longest = fleet.history.now() - banned_at;
    assert!(
        longest < Duration::from_secs(9),
        "a ban of 6 s lasted {longest:?} at some node"
    );
    let attempts_after_ban = queries::attempts(
        &fleet.history.events(),
        0,
        banned_at + SECOND + invariants::BAN_GRACE,
        Duration::MAX,
        &ALL_NODES,
    );
    let readmitted_after = attempts_after_ban[0].at - banned_at;
    assert!(
        readmitted_after > Duration::from_millis(5500),
        "readmitted after {readmitted_after:?}, before the ban expired"
    );
    assert!(
        readmitted_after < Duration::from_secs(8),
        "a ban of 6 s lasted {readmitted_after:?}"
    );
    fleet.network().heal();
    let healed_at = fleet.history.now();
    let propagation_time = fleet
        .wait_until("the second ban on the other side", async |fleet| {
            let recent = fleet.history.now().saturating_sub(SECOND).max(healed_at);
            fleet.history.now() > healed_at + SECOND
                && queries::attempts(&fleet.history.events(), 1, recent, Duration::MAX, &side_b)
                    .is_empty()
        })
        .await
        .unwrap();
    assert!(
        propagation_time < Duration::from_secs(10),
        "{propagation_time:?}"
    );
    load.stop().await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ban_renewed_during_a_partition_outlives_a_concurrent_lift() {
    let _reservation = reserve_fleet().await;
    let fleet = start(spec_with_short_slow_start()).await;
    let load = fleet.start_load(40.0, 0.2, 30);
    let (side_a, side_b) = ([0, 1, 2], [3, 4]);
    fleet.ban_server(0, 0, None).await.unwrap();
    fleet.ban_server(0, 1, None).await.unwrap();
    wait_until_explained(&fleet, "s0", "s0: out by hand").await;
    wait_until_explained(&fleet, "s1", "s1: out by hand").await;
    fleet.network().partition(&side_a, &side_b, true);
    // Both bans are lifted on one side; one is renewed on the other.
    fleet.lift_ban(1, 0).await.unwrap();
    fleet.lift_ban(1, 1).await.unwrap();
    fleet.ban_server(4, 0, None).await.unwrap();
    wait_until_attempted(&fleet, 0, &side_a).await;
    let since = fleet.history.now();
    run_for(1.5).await;
    assert_eq!(
        attempt_count(&fleet, 0, since, &side_b) + attempt_count(&fleet, 1, since, &side_b),
        0,
        "a lift crossed the partition"
    );
    fleet.network().heal();
    // The renewed ban is in force at all nodes, and so is the lift of the other ban.
    wait_until_explained(&fleet, "s0", "s0: out by hand").await;
    wait_until_explained(&fleet, "s1", "s1: not out by hand").await;
    let since = fleet.history.now();
    wait_until_attempted(&fleet, 1, &ALL_NODES).await;
    run_for(2.0).await;
    assert_eq!(
        late_attempts(&fleet, 0, since, &ALL_NODES),
        [],
        "a renewed ban was lost"
    );
    fleet.lift_ban(2, 0).await.unwrap();
    wait_until_attempted(&fleet, 0, &ALL_NODES).await;
    load.stop().await;
    assert_no_violations(&fleet);
}
