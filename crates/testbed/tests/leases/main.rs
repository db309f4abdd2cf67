//! Leases among real processes: holders and keepers are killed, paused, partitioned, or start with old data. The assertions
//! use the writes that a fenced resource received, by a single clock.

mod calls_in_progress;
#[path = "../fleets/mod.rs"]
mod fleets;

use fleets::{reserve_fleet, run_command, run_for};
use reelfall_testbed::fleet::fenced_resource::{
    admitted_writes, fencing_violations, rejected_writes, FencedResource,
};
use reelfall_testbed::fleet::history::{Event, History, TimedEvent};
use reelfall_testbed::fleet::{FleetSpec, TestFleet, SHORT_SLOW_START};
use reelfall_testbed::scripted;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Name of the lease.
const LEASE: &str = "roll";
/// Duration of a lease.
const LEASE_DURATION: Duration = Duration::from_millis(1000);
/// Longest time until another node acquires the lease of a node whose process has ended.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of keepers: the first nodes.
const KEEPER_COUNT: usize = 3;
/// Text in the log and the status of a keeper that takes part in votes.
const VOTES: &str = "this keeper votes";
/// Name of the file with the leases in the folder of a keeper.
const LEASE_FILE: &str = "leases";

/// A fleet whose nodes write to a resource while they hold the lease.
struct LeaseFleet {
    fleet: TestFleet,
    _resource: FencedResource,
}

/// The holder of the lease, as of the last admitted write, and its fencing token.
#[derive(Clone, Copy)]
struct Holder {
    node: usize,
    token: u64,
}

/// The first write of a new holder.
struct Takeover {
    node: usize,
    at: Duration,
}

fn lease_settings(resource: SocketAddr) -> String {
    format!(
        "[fleet.leases]\nkeepers = [\"n0\", \"n1\", \"n2\"]\nfolder = \"{{folder}}\"\nlength = \"1s\"\n\
         [[fleet.leases.call]]\nname = \"{LEASE}\"\naddress = \"{resource}\"\npath = \"/roll\"\nevery = \"50ms\"\n"
    )
}

async fn start(node_count: usize) -> LeaseFleet {
    // The resource starts before the nodes, whose settings name it, and shares the history of the fleet.
    let history = Arc::new(History::start());
    let resource = FencedResource::start(history.clone()).await.unwrap();
    let spec = FleetSpec {
        node_count,
        server_count: 2,
        service_settings: SHORT_SLOW_START.to_owned(),
        fleet_settings: Some(lease_settings(resource.address)),
        ..FleetSpec::default()
    };
    let fleet = TestFleet::start_with_history(&fleets::program(), &spec, history)
        .await
        .unwrap();
    wait_until_converged(&fleet).await;
    wait_until_keepers_vote(&fleet).await;
    LeaseFleet {
        fleet,
        _resource: resource,
    }
}

async fn wait_until_converged(fleet: &TestFleet) {
    fleet
        .wait_until("all nodes are members", async |fleet| {
            fleet.is_converged().await
        })
        .await
        .unwrap();
}

async fn wait_until_keepers_vote(fleet: &TestFleet) {
    for keeper in 0..KEEPER_COUNT {
        fleet
            .wait_until("all keepers vote", async |fleet| {
                status_contains(fleet, keeper, VOTES).await
            })
            .await
            .unwrap();
    }
}

/// The current holder, as of the last admitted write; `None` before the first.
fn holder(fleet: &TestFleet) -> Option<Holder> {
    let last = admitted_writes(&fleet.history.events(), LEASE).pop()?;
    Some(Holder {
        node: last.holder.strip_prefix('n')?.parse().ok()?,
        token: last.token,
    })
}

/// Waits for the first admitted write with a token greater than this one.
async fn wait_for_takeover(fleet: &TestFleet, token: u64) -> Takeover {
    fleet
        .wait_until("the lease is taken over", async |fleet| {
            holder(fleet).is_some_and(|holder| holder.token > token)
        })
        .await
        .unwrap();
    let first = admitted_writes(&fleet.history.events(), LEASE)
        .into_iter()
        .find(|write| write.token > token)
        .unwrap();
    Takeover {
        node: first.holder[1..].parse().unwrap(),
        at: first.at,
    }
}

/// Has the holder release the lease through its management address, and waits until a node acquires it again.
async fn hand_over(fleet: &TestFleet) {
    let released = holder(fleet).unwrap();
    fleet
        .wait_until("a holder releases the lease", async |fleet| {
            let current = holder(fleet).unwrap();
            current.token > released.token
                || fleet
                    .call_management(
                        current.node,
                        "POST",
                        "/-/fleet/leases/roll/release?why=test",
                    )
                    .await
                    .is_ok_and(|response| response.status == 200)
        })
        .await
        .unwrap();
    wait_for_takeover(fleet, released.token).await;
}

/// The log lines about leases, with the starts and ends of processes.
fn lease_log(fleet: &TestFleet) -> String {
    let events = fleet.history.events();
    let lines = events
        .iter()
        .filter_map(|TimedEvent { at, event }| match event {
            Event::Logged { node, line } if line.contains("lease") => {
                Some(format!("{at:?} n{node} {line}\n"))
            }
            Event::Killed { .. } | Event::ProcessStarted { .. } => {
                Some(format!("{at:?} {event}\n"))
            }
            _ => None,
        });
    lines.collect()
}

/// Whether the lease status of a node contains this text.
async fn status_contains(fleet: &TestFleet, node: usize, text: &str) -> bool {
    let response = fleet.call_management(node, "GET", "/-/fleet/leases").await;
    response.is_ok_and(|response| response.status == 200 && response.body.contains(text))
}

fn assert_no_lease_violations(fleet: &TestFleet) {
    let violations = fencing_violations(&fleet.history.events(), LEASE);
    assert!(violations.is_empty(), "{violations:#?}");
    fleets::assert_no_violations(fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lease_is_taken_over_after_holder_is_killed_or_terminated() {
    let _reservation = reserve_fleet().await;
    let mut lease_fleet = start(5).await;
    let fleet = &mut lease_fleet.fleet;
    let first = wait_for_takeover(fleet, 0).await;
    run_for(1.0).await;
    let Holder { node, token } = holder(fleet).unwrap();
    assert_eq!(node, first.node, "a renewed lease changed its holder");
    let status = run_command(fleet, first.node, &["fleet", "leases"]).await;
    assert!(
        status.contains(&format!("{LEASE}: held here, token {token}")),
        "{status}"
    );
    // After a kill, the next holder starts only when the lease has expired.
    let killed_at = fleet.history.now();
    fleet.kill(first.node);
    let second = wait_for_takeover(fleet, token).await;
    assert_ne!(second.node, first.node);
    assert!(
        second.at > killed_at + LEASE_DURATION / 2 && second.at < killed_at + TAKEOVER_TIMEOUT,
        "taken over {:?} after",
        second.at - killed_at
    );
    // The killed node may be a keeper, and two keepers are a quorum.
    fleet.start_node(first.node).await.unwrap();
    wait_until_converged(fleet).await;
    fleet
        .wait_until("the restarted keeper votes", async |fleet| {
            first.node >= KEEPER_COUNT || status_contains(fleet, first.node, VOTES).await
        })
        .await
        .unwrap();
    // A node that is terminated releases the lease.
    let token = holder(fleet).unwrap().token;
    let terminated_at = fleet.history.now();
    fleet.terminate(second.node).await.unwrap();
    let third = wait_for_takeover(fleet, token).await;
    assert!(
        third.at < terminated_at + TAKEOVER_TIMEOUT,
        "taken over {:?} after",
        third.at - terminated_at
    );
    assert_no_lease_violations(fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_or_partitioned_holder_never_writes_beside_its_successor() {
    let _reservation = reserve_fleet().await;
    let mut lease_fleet = start(5).await;
    let fleet = &mut lease_fleet.fleet;
    let mut token = 0;
    for round in 0..4 {
        let paused = wait_for_takeover(fleet, token).await.node;
        token = holder(fleet).unwrap().token;
        // The pause starts between two writes or during one, depending on the round.
        run_for(0.07 + 0.013 * f64::from(round)).await;
        fleet.set_paused(paused, true);
        wait_for_takeover(fleet, token).await;
        fleet.set_paused(paused, false);
        run_for(0.3).await;
    }
    assert_no_lease_violations(fleet);
    // The holder is partitioned from all other nodes, but not from the resource.
    let former = holder(fleet).unwrap();
    let others: Vec<usize> = (0..fleet.node_count())
        .filter(|node| *node != former.node)
        .collect();
    fleet.network().partition(&[former.node], &others, true);
    let takeover = wait_for_takeover(fleet, former.token).await;
    let events = fleet.history.events();
    let last_write_at = admitted_writes(&events, LEASE)
        .into_iter()
        .filter(|write| write.token <= former.token)
        .map(|write| write.at)
        .max()
        .unwrap();
    assert!(
        last_write_at < takeover.at,
        "the former holder wrote {:?} after its successor started",
        last_write_at - takeover.at
    );
    // The former holder stopped by its own clock, so the resource had nothing to reject.
    let later_events: Vec<TimedEvent> = events
        .iter()
        .filter(|entry| entry.at > last_write_at)
        .cloned()
        .collect();
    assert_eq!(rejected_writes(&later_events), 0);
    fleet.network().heal();
    assert_no_lease_violations(fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_quorum_no_node_writes_and_requests_are_served() {
    let _reservation = reserve_fleet().await;
    let mut lease_fleet = start(5).await;
    let fleet = &mut lease_fleet.fleet;
    wait_for_takeover(fleet, 0).await;
    // The failure of one of three keepers is tolerated.
    fleet.kill(2);
    let token = holder(fleet).unwrap().token;
    run_for(1.5).await;
    let events_before = fleet.history.len();
    let is_admitted = |event: &Event| matches!(event, Event::LeaseWrite { admitted: true, .. });
    if fleet
        .history
        .wait_for(events_before, is_admitted)
        .await
        .is_err()
    {
        panic!("{}", lease_log(fleet));
    }
    let load = fleet.start_load_at(&[3, 4], 40.0, 0.2, 7);
    fleet.kill(1);
    run_for(2.0).await;
    let expired_at = fleet.history.now();
    run_for(1.0).await;
    let events = fleet.history.events();
    let late_writes = admitted_writes(&events, LEASE)
        .into_iter()
        .filter(|write| write.at > expired_at)
        .count();
    assert_eq!(late_writes, 0, "writes without a quorum");
    let successes = events
        .iter()
        .filter(|entry| entry.at > expired_at && is_success(&entry.event));
    assert!(
        successes.count() > 20,
        "requests are not served without a lease"
    );
    load.stop().await;
    // All keepers restart with the data in their folders, so the tokens continue to increase.
    fleet.kill(0);
    for keeper in 0..KEEPER_COUNT {
        fleet.start_node(keeper).await.unwrap();
    }
    wait_for_takeover(fleet, token).await;
    assert_no_lease_violations(fleet);
}

fn is_success(event: &Event) -> bool {
    matches!(
        event,
        Event::ResponseReceived {
            status: Some(200),
            ..
        }
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restored_folder_does_not_vote_and_emptied_one_does() {
    let _reservation = reserve_fleet().await;
    let mut lease_fleet = start(4).await;
    let fleet = &mut lease_fleet.fleet;
    wait_for_takeover(fleet, 0).await;
    let folder = fleet.folder(1);
    let lease_file = folder.join(LEASE_FILE);
    let backup = std::fs::read(&lease_file).unwrap();
    // Handovers make the keeper write data after the backup.
    hand_over(fleet).await;
    while std::fs::read(&lease_file).unwrap().len() == backup.len() {
        hand_over(fleet).await;
    }
    run_for(1.2).await;
    fleet.kill(1);
    std::fs::write(&lease_file, backup).unwrap();
    fleet.start_node(1).await.unwrap();
    fleet
        .wait_until("the backup is rejected", async |fleet| {
            status_contains(fleet, 1, "it is an old copy").await
        })
        .await
        .unwrap_or_else(|_| panic!("{}", lease_log(fleet)));
    fleet.kill(1);
    std::fs::remove_dir_all(&folder).unwrap();
    fleet.start_node(1).await.unwrap();
    fleet
        .wait_until("the emptied keeper votes", async |fleet| {
            status_contains(fleet, 1, VOTES).await
        })
        .await
        .unwrap();
    // Its vote counts: without the third keeper, leases are still granted.
    fleet.kill(2);
    hand_over(fleet).await;
    assert_no_lease_violations(fleet);
}

/// The call of a lease has a timeout of its own: a resource that reads calls and answers none does not stop them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lease_calls_go_on_though_the_resource_hangs() {
    const CALLS: usize = 5;
    let _permit = reserve_fleet().await;
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let resource = scripted::serve(move |mut stream, _| {
        let mut call = [0; 1];
        if stream.read_exact(&mut call).is_ok() {
            counted.fetch_add(1, Ordering::SeqCst);
        }
        // The connection stays open until the node ends it.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let spec = FleetSpec {
        node_count: KEEPER_COUNT,
        server_count: 2,
        service_settings: SHORT_SLOW_START.to_owned(),
        fleet_settings: Some(lease_settings(resource)),
        ..FleetSpec::default()
    };
    let fleet = fleets::start(spec).await;
    fleet
        .wait_until("the resource gets further calls", async |_| {
            calls.load(Ordering::SeqCst) >= CALLS
        })
        .await
        .unwrap();
}
