//! Nodes that know each other, as processes, with faults between them. What is claimed is read from the history: what
//! clients were answered and what servers were sent, by one clock.

mod fleets;

use fleets::{
    command, late, none_broken, rest, start, turn, until_explained, until_left, until_sent, warm,
    SECOND,
};
use reelfall_testbed::fleet::probers::names_that_never_probe;
use reelfall_testbed::fleet::schedule::{execute, generate, Step};
use reelfall_testbed::fleet::{invariants, queries, server_name, FleetSpec, ManagementResponse};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ban_at_one_node_holds_at_all_and_its_lift_does() {
    let _turn = turn().await;
    let fleet = start(FleetSpec::default()).await;
    let load = fleet.start_load(60.0, 0.3, 1);
    let all = [0, 1, 2, 3, 4];
    until_sent(&fleet, 2, &all).await;
    fleet.ban_server(0, 2, None).await.unwrap();
    let at = fleet.history.now();
    rest(3.0).await;
    assert_eq!(
        late(&fleet, 2, at, &all),
        [],
        "sent to a banned server\n{}",
        fleet.history.tail(20)
    );
    let ManagementResponse { status, body: said } = fleet
        .call_management(4, "GET", &format!("/-/fleet/servers/{}", server_name(2)))
        .await
        .unwrap();
    assert_eq!(status, 200);
    assert!(said.contains("s2: out by hand, for 604"), "{said}");
    assert!(said.contains("s2: out by operator, call 1 at n0"), "{said}");
    // The same words by the command line, and a ban of one node alone.
    let said = command(&fleet, 4, &["fleet", "explain", "s2"]).await;
    assert!(said.contains("s2: out by operator"), "{said}");
    let said = command(&fleet, 4, &["fleet", "members"]).await;
    assert!(
        ["n0 at", "n4 at"].iter().all(|n| said.contains(n)),
        "{said}"
    );
    command(&fleet, 1, &["disable", "s5"]).await;
    let at = fleet.history.now();
    rest(2.5).await;
    assert_eq!(
        late(&fleet, 5, at, &[1]),
        [],
        "sent to a server that this node was told to leave"
    );
    assert!(
        !late(&fleet, 5, at, &[0, 2, 3, 4]).is_empty(),
        "told to one, and done by all"
    );
    command(&fleet, 1, &["enable", "s5"]).await;
    // Called back by way of another node.
    fleet.lift_ban(3, 2).await.unwrap();
    until_sent(&fleet, 2, &all).await;
    load.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ban_is_heard_after_a_cut_and_ends_by_itself_where_nobody_is_heard() {
    let _turn = turn().await;
    let fleet = start(warm()).await;
    let load = fleet.start_load(60.0, 0.2, 2);
    let (here, there) = ([0, 1], [2, 3, 4]);
    fleet.ban_server(0, 0, Some(6)).await.unwrap();
    let first = fleet.history.now();
    // Nodes that the ban has not reached before the partition do not hear of it within its six seconds.
    until_explained(&fleet, "s0", "s0: out by hand").await;
    fleet.network().partition(&here, &there, true);
    fleet.ban_server(0, 1, None).await.unwrap();
    rest(2.0).await;
    let happened = fleet.history.events();
    let cut_off = queries::attempts(
        &happened,
        1,
        fleet.history.now() - SECOND,
        Duration::MAX,
        &there,
    );
    assert!(!cut_off.is_empty(), "a ban came through a cut");
    // The first one ends at its time on both sides, whoever is heard.
    until_sent(&fleet, 0, &[0, 1, 2, 3, 4]).await;
    let last = fleet.history.now() - first;
    assert!(
        last < Duration::from_secs(9),
        "a ban of 6 s held at some node for {last:?}"
    );
    let back = queries::attempts(
        &fleet.history.events(),
        0,
        first + SECOND + invariants::BAN_GRACE,
        Duration::MAX,
        &[0, 1, 2, 3, 4],
    );
    let after = back[0].at - first;
    assert!(
        after > Duration::from_millis(5500),
        "back after {after:?}, before its time"
    );
    assert!(
        after < Duration::from_secs(8),
        "a ban of 6 s held for {after:?}"
    );
    fleet.network().heal();
    let healed = fleet.history.now();
    let took = fleet
        .wait_until("the news after the cut", async |fleet| {
            let recent = fleet.history.now().saturating_sub(SECOND).max(healed);
            fleet.history.now() > healed + SECOND
                && queries::attempts(&fleet.history.events(), 1, recent, Duration::MAX, &there)
                    .is_empty()
        })
        .await
        .unwrap();
    assert!(took < Duration::from_secs(10), "{took:?}");
    load.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_wakes_with_old_verdicts_neither_keeps_to_them_nor_spreads_them() {
    let _turn = turn().await;
    let mut fleet = start(warm()).await;
    // It has no work as it falls asleep: requests that slept with it would tell it of slow servers.
    let load = fleet.start_load_at(&[0, 1, 2, 3], 40.0, 0.2, 3);
    // It has heard of one as it stands still, and the other comes to its buffer meanwhile.
    fleet.ban_server(0, 0, Some(12)).await.unwrap();
    rest(1.0).await;
    fleet.set_paused(4, true);
    fleet.ban_server(1, 1, Some(12)).await.unwrap();
    rest(13.0).await;
    fleet.set_paused(4, false);
    let woke = fleet.history.now();
    let its = fleet.start_load_at(&[4], 40.0, 0.2, 4);
    for server in [0, 1] {
        until_sent(&fleet, server, &[4]).await;
    }
    let took = fleet.history.now() - woke;
    assert!(
        took < Duration::from_secs(8),
        "old verdicts were kept for {took:?}"
    );
    rest(3.0).await;
    // Nobody else took them for new: all others sent to both all the time.
    for server in [0, 1] {
        let gaps = queries::attempts(
            &fleet.history.events(),
            server,
            woke - SECOND,
            Duration::MAX,
            &[0, 1, 2, 3],
        );
        let longest = gaps.windows(2).map(|w| w[1].at - w[0].at).max().unwrap();
        assert!(
            longest < Duration::from_secs(6),
            "server {server} was left for {longest:?}"
        );
    }
    load.stop().await;
    its.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_three_nodes_find_out_the_others_need_not() {
    let _turn = turn().await;
    // Whose turn it is to try it does not change within the test, and it is not that of the last two.
    let fleet_settings = Some("verdicts = { trial_every = \"60s\" }".to_owned());
    let named = names_that_never_probe(6, &[4, 5], &[0]);
    let fleet = start(FleetSpec {
        node_count: 6,
        server_count: 8,
        fleet_settings,
        node_names: named,
        ..FleetSpec::default()
    })
    .await;
    let load = fleet.start_load_at(&[0, 1, 2, 3], 60.0, 0.2, 4);
    until_sent(&fleet, 0, &[0, 1, 2, 3]).await;
    fleet.servers[0].update_behavior(|m| m.error_ratio = 1.0);
    let at = fleet.history.now();
    until_explained(&fleet, "s0", "fails several nodes").await;
    let took = fleet.history.now() - at;
    assert!(took < Duration::from_secs(8), "{took:?}");
    until_left(&fleet, 0, &[4, 5]).await;
    // Two that had no work so far, and so saw nothing fail, send nothing there: it is not their turn to try it.
    let from = fleet.history.now();
    let others = fleet.start_load_at(&[4, 5], 100.0, 0.2, 5);
    until_sent(&fleet, 1, &[4, 5]).await;
    rest(1.0).await;
    let sent = queries::attempts(&fleet.history.events(), 0, from, Duration::MAX, &[4, 5]);
    assert_eq!(
        sent,
        [],
        "sent to what fails others\n{}",
        fleet.history.tail(20)
    );
    // Well again, it is found out by whose turn it is or when the verdict ends, and all send there.
    fleet.servers[0].update_behavior(|m| m.error_ratio = 0.0);
    until_explained(&fleet, "s0", "not condemned").await;
    until_sent(&fleet, 0, &[4, 5]).await;
    others.stop().await;
    // Those that it failed remember that: of their requests about one in two hundred goes there, so they get more of them.
    let more = fleet.start_load_at(&[0, 1, 2, 3], 60.0, 0.2, 6);
    until_sent(&fleet, 0, &[0, 1, 2, 3]).await;
    load.stop().await;
    more.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_with_a_bad_link_and_one_that_is_flooded_cost_nobody_else_anything() {
    let _turn = turn().await;
    let mut fleet = start(FleetSpec {
        node_count: 6,
        ..FleetSpec::default()
    })
    .await;
    // One node reaches no server, and finds fault with all.
    for server in 0..fleet.servers.len() {
        fleet
            .server_link(5, server)
            .update_faults(|f| f.is_frozen = true);
    }
    let load = fleet.start_load(40.0, 0.2, 5);
    let from = fleet.history.now();
    for _ in 0..10 {
        fleet.network().flood(1, 2000).await;
        rest(0.3).await;
    }
    rest(4.0).await;
    let to = fleet.history.now();
    let happened = fleet.history.events();
    // What is condemned is tried by one node a second; each of these is sent more.
    for server in 0..fleet.servers.len() {
        let sent = queries::attempts(&happened, server, to - 4 * SECOND, to, &[0, 1, 2, 3, 4]);
        assert!(
            sent.len() > 8,
            "server {server} was sent {} requests in 4 s",
            sent.len()
        );
    }
    for server in 0..fleet.servers.len() {
        fleet
            .server_link(5, server)
            .update_faults(|f| f.is_frozen = false);
    }
    fleet.kill(5);
    load.stop().await;
    let queries::ServedRatio {
        ratio: share,
        requests: n,
    } = queries::served_ratio(&happened, from, to - 5 * SECOND);
    // A sixth of the requests were asked of the node that reaches nobody.
    assert!(share > 0.8, "{share} of {n}");
    let ManagementResponse { body: said, .. } = fleet
        .call_management(1, "GET", "/-/fleet/members")
        .await
        .unwrap();
    for why in ["not under this fleet's key", "repeated"] {
        assert!(said.contains(why), "{said}");
    }
    fleet.ban_server(0, 0, None).await.unwrap();
    fleet
        .wait_until("a ban at the one that was flooded", async |fleet| {
            let said = fleet
                .call_management(1, "GET", "/-/fleet/servers/s0")
                .await
                .unwrap()
                .body;
            said.contains("s0: out by hand")
        })
        .await
        .unwrap();
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_begins_again_in_a_cut_is_heard_when_it_is_healed() {
    let _turn = turn().await;
    let mut fleet = start(FleetSpec::default()).await;
    fleet.network().partition(&[4], &[0, 1, 2, 3], true);
    fleet.kill(4);
    fleet.start_node(4).await.unwrap();
    fleet.ban_server(4, 0, Some(300)).await.unwrap();
    rest(6.0).await;
    fleet.network().heal();
    let all = [0, 1, 2, 3, 4];
    until_explained(&fleet, "s0", "s0: out by hand").await;
    // What it said in its first life of the same name counts for nothing less.
    let load = fleet.start_load(40.0, 0.2, 6);
    let at = fleet.history.now();
    rest(3.0).await;
    assert_eq!(late(&fleet, 0, at, &all), []);
    load.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn on_a_drawn_schedule_the_rules_hold_and_what_is_healed_agrees() {
    let _turn = turn().await;
    let mut fleet = start(FleetSpec {
        node_count: 7,
        ..FleetSpec::default()
    })
    .await;
    let steps = generate(20261201, 7, 6, Duration::from_secs(15));
    let read: Vec<Step> = steps
        .iter()
        .map(|s| Step::parse(&s.to_line()).unwrap())
        .collect();
    assert_eq!(steps, read, "a schedule is not what was written down");
    let load = fleet.start_load(30.0, 0.3, 7);
    execute(&mut fleet, &steps).await.unwrap();
    load.stop().await;
    fleet
        .wait_until("all know each other again", async |fleet| {
            fleet.running_nodes().len() == 7 && fleet.is_converged().await
        })
        .await
        .unwrap();
    fleet.ban_server(2, 3, Some(60)).await.unwrap();
    until_explained(&fleet, "s3", "s3: out by hand").await;
    none_broken(&fleet);
}
