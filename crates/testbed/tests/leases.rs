//! Leases among real processes: holders and keepers that are killed, frozen, cut off, or begin with old folders. Judged by
//! what the resource saw, by one clock.

mod fleets;

use fleets::{command, rest, turn, SECOND};
use reelfall_testbed::fleet::fenced_resource::{
    admitted_writes, fencing_violations, rejected_writes, FencedResource,
};
use reelfall_testbed::fleet::history::{Event, TimedEvent};
use reelfall_testbed::fleet::{FleetSpec, ManagementResponse, TestFleet, SHORT_SLOW_START};
use std::time::Duration;

/// How long a lease lasts in these tests.
const LENGTH: Duration = Duration::from_millis(1000);

struct Place {
    fleet: TestFleet,
    _resource: FencedResource,
}

async fn start(nodes: usize) -> Place {
    // The resource has to be there before the nodes, whose files name it; the history is the fleet's.
    let history = std::sync::Arc::new(reelfall_testbed::fleet::history::History::start());
    let resource = FencedResource::start(history.clone()).await.unwrap();
    let leases = format!(
        "[fleet.leases]\nkeepers = [\"n0\", \"n1\", \"n2\"]\nfolder = \"{{folder}}\"\nlength = \"1s\"\n\
         [[fleet.leases.call]]\nname = \"roll\"\naddress = \"{}\"\npath = \"/roll\"\nevery = \"50ms\"\n",
        resource.address
    );
    let made = FleetSpec {
        node_count: nodes,
        server_count: 2,
        service_settings: SHORT_SLOW_START.to_owned(),
        fleet_settings: Some(leases),
        ..FleetSpec::default()
    };
    let fleet = TestFleet::start_with_history(&fleets::program(), &made, history)
        .await
        .unwrap();
    fleet
        .wait_until("all know each other", async |fleet| {
            fleet.is_converged().await
        })
        .await
        .unwrap();
    for keeper in 0..3 {
        fleet
            .wait_until("all keepers vote", async |fleet| {
                says(fleet, keeper, "this keeper votes").await
            })
            .await
            .unwrap();
    }
    Place {
        fleet,
        _resource: resource,
    }
}

/// The holder that acted last, and its token.
fn last(fleet: &TestFleet) -> Option<(usize, u64)> {
    let last = admitted_writes(&fleet.history.events(), "roll").pop()?;
    Some((last.holder.strip_prefix('n')?.parse().ok()?, last.token))
}

/// Waits for an act by a token greater than this one; who it was, and when it came.
async fn taken_over(fleet: &TestFleet, token: u64) -> (usize, Duration) {
    fleet
        .wait_until("the lease is taken over", async |fleet| {
            last(fleet).is_some_and(|(_, t)| t > token)
        })
        .await
        .unwrap();
    let happened = fleet.history.events();
    let first = admitted_writes(&happened, "roll")
        .into_iter()
        .find(|act| act.token > token)
        .unwrap();
    (first.holder[1..].parse().unwrap(), first.at)
}

/// An operator has whoever holds the lease give it back, and somebody else has it.
async fn hand_over(fleet: &TestFleet) {
    let (_, token) = last(fleet).unwrap();
    fleet
        .wait_until("a holder gives it back", async |fleet| {
            let (holder, now) = last(fleet).unwrap();
            now > token
                || fleet
                    .call_management(holder, "POST", "/-/fleet/leases/roll/release?why=test")
                    .await
                    .is_ok_and(|response| response.status == 200)
        })
        .await
        .unwrap();
    taken_over(fleet, token).await;
}

fn said_by_all(fleet: &TestFleet) -> String {
    let all = fleet.history.events();
    let lines = all
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

/// Whether a node says so of its leases.
async fn says(fleet: &TestFleet, node: usize, words: &str) -> bool {
    matches!(fleet.call_management(node, "GET", "/-/fleet/leases").await, Ok(ManagementResponse { status: 200, body: said }) if said.contains(words))
}

fn sound(fleet: &TestFleet) {
    let broken = fencing_violations(&fleet.history.events(), "roll");
    assert!(broken.is_empty(), "{broken:#?}");
    fleets::none_broken(fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_node_acts_and_another_one_once_it_is_killed_or_ends() {
    let _turn = turn().await;
    let mut place = start(5).await;
    let fleet = &mut place.fleet;
    let (holder, _) = taken_over(fleet, 0).await;
    rest(1.0).await;
    let (same, token) = last(fleet).unwrap();
    assert_eq!(same, holder, "a lease that is renewed stays");
    let said = command(fleet, holder, &["fleet", "leases"]).await;
    assert!(
        said.contains(&format!("roll: held here, token {token}")),
        "{said}"
    );
    // Killed: the next one begins when the lease is over, not before.
    let killed = fleet.history.now();
    fleet.kill(holder);
    let (next, at) = taken_over(fleet, token).await;
    assert_ne!(next, holder);
    assert!(
        at > killed + LENGTH / 2 && at < killed + 6 * SECOND,
        "{:?} after",
        at - killed
    );
    // It may be a keeper, of which two have to be there.
    fleet.start_node(holder).await.unwrap();
    fleet
        .wait_until("all know each other", async |fleet| {
            fleet.is_converged().await
        })
        .await
        .unwrap();
    fleet
        .wait_until("it votes", async |fleet| {
            holder > 2 || says(fleet, holder, "this keeper votes").await
        })
        .await
        .unwrap();
    // Told to end: it gives the lease back.
    let token = last(fleet).unwrap().1;
    let told = fleet.history.now();
    fleet.terminate(next).await.unwrap();
    let (_, at) = taken_over(fleet, token).await;
    assert!(at < told + 6 * SECOND, "{:?} after", at - told);
    sound(fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_that_is_frozen_or_cut_off_never_acts_beside_the_next_one() {
    let _turn = turn().await;
    let mut place = start(5).await;
    let fleet = &mut place.fleet;
    let mut token = 0;
    for round in 0..4 {
        let (holder, _) = taken_over(fleet, token).await;
        token = last(fleet).unwrap().1;
        // Somewhere between two acts, or in the middle of one.
        rest(0.07 + 0.013 * f64::from(round)).await;
        fleet.set_paused(holder, true);
        taken_over(fleet, token).await;
        fleet.set_paused(holder, false);
        rest(0.3).await;
    }
    sound(fleet);
    // Cut off from all others, and not from what it acts on.
    let (holder, token) = last(fleet).unwrap();
    let others: Vec<usize> = (0..fleet.node_count()).filter(|n| *n != holder).collect();
    fleet.network().partition(&[holder], &others, true);
    let (_, at) = taken_over(fleet, token).await;
    let happened = fleet.history.events();
    let end = admitted_writes(&happened, "roll")
        .into_iter()
        .filter(|a| a.token <= token)
        .map(|a| a.at)
        .max()
        .unwrap();
    assert!(
        end < at,
        "the former acted {:?} after the next began",
        end - at
    );
    // Its clock told it: what it did came to nobody's fence.
    assert_eq!(
        rejected_writes(
            &happened
                .iter()
                .filter(|entry| entry.at > end)
                .cloned()
                .collect::<Vec<_>>()
        ),
        0
    );
    fleet.network().heal();
    sound(fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_nobody_acts_and_requests_flow_and_then_tokens_go_on() {
    let _turn = turn().await;
    let mut place = start(5).await;
    let fleet = &mut place.fleet;
    taken_over(fleet, 0).await;
    // One keeper of three may go.
    fleet.kill(2);
    let token = last(fleet).unwrap().1;
    rest(1.5).await;
    let before = fleet.history.len();
    if fleet
        .history
        .wait_for(before, |e| {
            matches!(e, Event::LeaseWrite { admitted: true, .. })
        })
        .await
        .is_err()
    {
        panic!("{}", said_by_all(fleet));
    }
    let load = fleet.start_load_at(&[3, 4], 40.0, 0.2, 7);
    fleet.kill(1);
    rest(2.0).await;
    let quiet = fleet.history.now();
    rest(1.0).await;
    let happened = fleet.history.events();
    let late = admitted_writes(&happened, "roll")
        .into_iter()
        .filter(|a| a.at > quiet)
        .count();
    assert_eq!(late, 0, "acts without a majority");
    let served = happened.iter().filter(|TimedEvent { at, event }| {
        *at > quiet
            && matches!(
                event,
                Event::ResponseReceived {
                    status: Some(200),
                    ..
                }
            )
    });
    assert!(served.count() > 20, "requests are held up by a lease");
    load.stop().await;
    // All keepers begin anew, with what they have on their disks.
    fleet.kill(0);
    for n in 0..3 {
        fleet.start_node(n).await.unwrap();
    }
    taken_over(fleet, token).await;
    sound(fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_folder_from_a_backup_does_not_vote_and_an_emptied_one_is_let_in() {
    let _turn = turn().await;
    let mut place = start(4).await;
    let fleet = &mut place.fleet;
    taken_over(fleet, 0).await;
    let folder = fleet.folder(1);
    let backup = std::fs::read(folder.join("leases")).unwrap();
    // What the folder gets after the backup.
    hand_over(fleet).await;
    while std::fs::read(folder.join("leases")).unwrap().len() == backup.len() {
        hand_over(fleet).await;
    }
    rest(1.2).await;
    fleet.kill(1);
    std::fs::write(folder.join("leases"), backup).unwrap();
    fleet.start_node(1).await.unwrap();
    fleet
        .wait_until("the backup is refused", async |fleet| {
            says(fleet, 1, "it is an old copy").await
        })
        .await
        .unwrap_or_else(|_| panic!("{}", said_by_all(fleet)));
    fleet.kill(1);
    std::fs::remove_dir_all(&folder).unwrap();
    fleet.start_node(1).await.unwrap();
    fleet
        .wait_until("it votes", async |fleet| {
            says(fleet, 1, "this keeper votes").await
        })
        .await
        .unwrap();
    // Its vote is worth something: with the third keeper gone the lease goes on.
    fleet.kill(2);
    hand_over(fleet).await;
    sound(fleet);
}
