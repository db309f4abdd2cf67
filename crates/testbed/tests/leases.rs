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
    rig: TestFleet,
    _resource: FencedResource,
}

async fn start(nodes: usize) -> Place {
    // The resource has to be there before the nodes, whose files name it; the history is the rig's.
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
    let rig = TestFleet::start_with_history(&fleets::program(), &made, history)
        .await
        .unwrap();
    rig.wait_until("all know each other", async |rig| rig.is_converged().await)
        .await
        .unwrap();
    for keeper in 0..3 {
        rig.wait_until("all keepers vote", async |rig| {
            says(rig, keeper, "this keeper votes").await
        })
        .await
        .unwrap();
    }
    Place {
        rig,
        _resource: resource,
    }
}

/// The holder that acted last, and its token.
fn last(rig: &TestFleet) -> Option<(usize, u64)> {
    let last = admitted_writes(&rig.history.events(), "roll").pop()?;
    Some((last.holder.strip_prefix('n')?.parse().ok()?, last.token))
}

/// Waits for an act by a token greater than this one; who it was, and when it came.
async fn taken_over(rig: &TestFleet, token: u64) -> (usize, Duration) {
    rig.wait_until("the lease is taken over", async |rig| {
        last(rig).is_some_and(|(_, t)| t > token)
    })
    .await
    .unwrap();
    let happened = rig.history.events();
    let first = admitted_writes(&happened, "roll")
        .into_iter()
        .find(|act| act.token > token)
        .unwrap();
    (first.holder[1..].parse().unwrap(), first.at)
}

/// An operator has whoever holds the lease give it back, and somebody else has it.
async fn hand_over(rig: &TestFleet) {
    let (_, token) = last(rig).unwrap();
    rig.wait_until("a holder gives it back", async |rig| {
        let (holder, now) = last(rig).unwrap();
        now > token
            || rig
                .call_management(holder, "POST", "/-/fleet/leases/roll/release?why=test")
                .await
                .is_ok_and(|response| response.status == 200)
    })
    .await
    .unwrap();
    taken_over(rig, token).await;
}

fn said_by_all(rig: &TestFleet) -> String {
    let all = rig.history.events();
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
async fn says(rig: &TestFleet, node: usize, words: &str) -> bool {
    matches!(rig.call_management(node, "GET", "/-/fleet/leases").await, Ok(ManagementResponse { status: 200, body: said }) if said.contains(words))
}

fn sound(rig: &TestFleet) {
    let broken = fencing_violations(&rig.history.events(), "roll");
    assert!(broken.is_empty(), "{broken:#?}");
    fleets::none_broken(rig);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_node_acts_and_another_one_once_it_is_killed_or_ends() {
    let _turn = turn().await;
    let mut place = start(5).await;
    let rig = &mut place.rig;
    let (holder, _) = taken_over(rig, 0).await;
    rest(1.0).await;
    let (same, token) = last(rig).unwrap();
    assert_eq!(same, holder, "a lease that is renewed stays");
    let said = command(rig, holder, &["fleet", "leases"]).await;
    assert!(
        said.contains(&format!("roll: held here, token {token}")),
        "{said}"
    );
    // Killed: the next one begins when the lease is over, not before.
    let killed = rig.history.now();
    rig.kill(holder);
    let (next, at) = taken_over(rig, token).await;
    assert_ne!(next, holder);
    assert!(
        at > killed + LENGTH / 2 && at < killed + 6 * SECOND,
        "{:?} after",
        at - killed
    );
    // It may be a keeper, of which two have to be there.
    rig.start_node(holder).await.unwrap();
    rig.wait_until("all know each other", async |rig| rig.is_converged().await)
        .await
        .unwrap();
    rig.wait_until("it votes", async |rig| {
        holder > 2 || says(rig, holder, "this keeper votes").await
    })
    .await
    .unwrap();
    // Told to end: it gives the lease back.
    let token = last(rig).unwrap().1;
    let told = rig.history.now();
    rig.terminate(next).await.unwrap();
    let (_, at) = taken_over(rig, token).await;
    assert!(at < told + 6 * SECOND, "{:?} after", at - told);
    sound(rig);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_that_is_frozen_or_cut_off_never_acts_beside_the_next_one() {
    let _turn = turn().await;
    let mut place = start(5).await;
    let rig = &mut place.rig;
    let mut token = 0;
    for round in 0..4 {
        let (holder, _) = taken_over(rig, token).await;
        token = last(rig).unwrap().1;
        // Somewhere between two acts, or in the middle of one.
        rest(0.07 + 0.013 * f64::from(round)).await;
        rig.set_paused(holder, true);
        taken_over(rig, token).await;
        rig.set_paused(holder, false);
        rest(0.3).await;
    }
    sound(rig);
    // Cut off from all others, and not from what it acts on.
    let (holder, token) = last(rig).unwrap();
    let others: Vec<usize> = (0..rig.node_count()).filter(|n| *n != holder).collect();
    rig.network().partition(&[holder], &others, true);
    let (_, at) = taken_over(rig, token).await;
    let happened = rig.history.events();
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
    rig.network().heal();
    sound(rig);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_nobody_acts_and_requests_flow_and_then_tokens_go_on() {
    let _turn = turn().await;
    let mut place = start(5).await;
    let rig = &mut place.rig;
    taken_over(rig, 0).await;
    // One keeper of three may go.
    rig.kill(2);
    let token = last(rig).unwrap().1;
    rest(1.5).await;
    let before = rig.history.len();
    if rig
        .history
        .wait_for(before, |e| {
            matches!(e, Event::LeaseWrite { admitted: true, .. })
        })
        .await
        .is_err()
    {
        panic!("{}", said_by_all(rig));
    }
    let load = rig.start_load_at(&[3, 4], 40.0, 0.2, 7);
    rig.kill(1);
    rest(2.0).await;
    let quiet = rig.history.now();
    rest(1.0).await;
    let happened = rig.history.events();
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
    rig.kill(0);
    for n in 0..3 {
        rig.start_node(n).await.unwrap();
    }
    taken_over(rig, token).await;
    sound(rig);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_folder_from_a_backup_does_not_vote_and_an_emptied_one_is_let_in() {
    let _turn = turn().await;
    let mut place = start(4).await;
    let rig = &mut place.rig;
    taken_over(rig, 0).await;
    let folder = rig.folder(1);
    let backup = std::fs::read(folder.join("leases")).unwrap();
    // What the folder gets after the backup.
    hand_over(rig).await;
    while std::fs::read(folder.join("leases")).unwrap().len() == backup.len() {
        hand_over(rig).await;
    }
    rest(1.2).await;
    rig.kill(1);
    std::fs::write(folder.join("leases"), backup).unwrap();
    rig.start_node(1).await.unwrap();
    rig.wait_until("the backup is refused", async |rig| {
        says(rig, 1, "it is an old copy").await
    })
    .await
    .unwrap_or_else(|_| panic!("{}", said_by_all(rig)));
    rig.kill(1);
    std::fs::remove_dir_all(&folder).unwrap();
    rig.start_node(1).await.unwrap();
    rig.wait_until("it votes", async |rig| {
        says(rig, 1, "this keeper votes").await
    })
    .await
    .unwrap();
    // Its vote is worth something: with the third keeper gone the lease goes on.
    rig.kill(2);
    hand_over(rig).await;
    sound(rig);
}
