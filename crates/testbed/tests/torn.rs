//! Fleets of processes whose parts see different things: cuts in one direction, two processes with one name, buffers that
//! are full, lists that disagree, servers that pause, and a fleet of which all servers fail. What is claimed is read from
//! the history.

mod fleets;

use fleets::{
    late, none_broken, rest, start, turn, until_errors_reported, until_explained, until_left,
    until_sent, warm, SECOND,
};
use reelfall_cluster::quorum::Quorum;
use reelfall_testbed::discovery::{ListedServer, ServerStatus};
use reelfall_testbed::fleet::history::{Event, TimedEvent};
use reelfall_testbed::fleet::probers::names_that_never_probe;
use reelfall_testbed::fleet::schedule::{execute, Step};
use reelfall_testbed::fleet::{queries, server_name, FleetSpec, ManagementResponse, TestFleet};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Whether any node wrote a line with these words since a place in the history.
fn was_said(fleet: &TestFleet, from: usize, words: &str) -> bool {
    let happened = fleet.history.events();
    happened
        .iter()
        .skip(from)
        .any(|entry| matches!(&entry.event, Event::Logged { line, .. } if line.contains(words)))
}

/// Attempts at a server by these nodes since a moment.
fn sent(fleet: &TestFleet, server: usize, from: Duration, nodes: &[usize]) -> usize {
    queries::attempts(&fleet.history.events(), server, from, Duration::MAX, nodes).len()
}

/// The most servers that a node held for sick at one time.
fn condemned_at_once(fleet: &TestFleet, from: usize, of: usize) -> usize {
    let mut held = BTreeSet::new();
    let mut most = 0;
    for TimedEvent { event, .. } in fleet.history.events().into_iter().skip(from) {
        let Event::Logged { node, line } = event else {
            continue;
        };
        let Some((_, line)) = line.split_once("fleet: ").filter(|_| node == of) else {
            continue;
        };
        let server = line.split(' ').next().unwrap_or_default().to_owned();
        if line.contains("is ejected, a quorum") {
            held.insert(server);
        } else if line.contains("is no longer ejected") {
            held.remove(&server);
        }
        most = most.max(held.len());
    }
    most
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cuts_that_leave_a_way_round_part_nobody() {
    let _turn = turn().await;
    let fleet = start(FleetSpec::default()).await;
    // The first and the second never hear each other, of two more one hears the other alone: a third hears all.
    fleet.network().partition(&[0], &[1], true);
    fleet.network().partition(&[2], &[3], false);
    let from = fleet.history.len();
    let load = fleet.start_load(40.0, 0.2, 21);
    until_sent(&fleet, 0, &[0, 1, 2, 3, 4]).await;
    // Longer than a probe and a suspicion take.
    rest(9.0).await;
    assert!(
        !was_said(&fleet, from, "is down"),
        "{}",
        fleet.history.tail(20)
    );
    for (by, server) in [(0, 0), (2, 1)] {
        fleet.ban_server(by, server, Some(300)).await.unwrap();
        let at = fleet.history.now();
        rest(2.5).await;
        assert_eq!(
            late(&fleet, server, at, &[0, 1, 2, 3, 4]),
            [],
            "sent to a banned server"
        );
    }
    load.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_processes_with_one_name_one_speaks_and_both_hear() {
    let _turn = turn().await;
    let made = FleetSpec {
        node_count: 4,
        node_names: [(3, "n2".to_owned())].into(),
        ..warm()
    };
    let fleet = TestFleet::start(&fleets::program(), &made).await.unwrap();
    let load = fleet.start_load(40.0, 0.2, 22);
    fleet
        .wait_until("one stands aside", async |fleet| {
            was_said(fleet, 0, "another process has this node's name")
        })
        .await
        .unwrap();
    let aside = fleet
        .history
        .events()
        .iter()
        .find_map(|entry| match &entry.event {
            Event::Logged { node, line } if line.contains("another process has") => Some(*node),
            _ => None,
        });
    let (aside, speaks) = if aside == Some(3) { (3, 2) } else { (2, 3) };
    assert!(
        fleet.ban_server(aside, 0, Some(300)).await.is_err(),
        "one name, two voices"
    );
    for (by, server) in [(speaks, 1), (0, 2)] {
        fleet.ban_server(by, server, Some(300)).await.unwrap();
        let at = fleet.history.now();
        rest(2.5).await;
        assert_eq!(
            late(&fleet, server, at, &[0, 1, 2, 3]),
            [],
            "sent to a banned server"
        );
    }
    load.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_buffer_and_datagrams_that_the_system_refuses_end_nothing() {
    let _turn = turn().await;
    // The system refuses to send there: a broadcast, which a process has to be allowed.
    let seeds = (1..6)
        .map(|port| ([127, 255, 255, 255], port).into())
        .collect();
    let mut fleet = start(FleetSpec { seeds, ..warm() }).await;
    let refused = async |fleet: &TestFleet| {
        for n in 0..5 {
            let Ok(ManagementResponse {
                status: 200,
                body: said,
            }) = fleet.call_management(n, "GET", "/-/fleet/members").await
            else {
                return false;
            };
            if !said.contains(" 0 not taken by the system") {
                return true;
            }
        }
        false
    };
    fleet
        .wait_until("the system refuses", refused)
        .await
        .unwrap();
    // What comes to a process that stands still fills its buffer; the news after it is lost.
    fleet.set_paused(4, true);
    fleet.network().flood(4, 8000).await;
    fleet.ban_server(0, 0, Some(300)).await.unwrap();
    rest(2.0).await;
    fleet.set_paused(4, false);
    until_explained(&fleet, "s0", "s0: out by hand").await;
    let load = fleet.start_load(40.0, 0.2, 23);
    let at = fleet.history.now();
    rest(3.0).await;
    assert_eq!(
        sent(&fleet, 0, at, &[0, 1, 2, 3, 4]),
        0,
        "sent to a banned server"
    );
    load.stop().await;
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn where_all_servers_fail_all_nodes_none_is_condemned_and_all_are_back_at_once() {
    let _turn = turn().await;
    let mut fleet = start(FleetSpec {
        node_count: 6,
        server_count: 8,
        ..warm()
    })
    .await;
    let load = fleet.start_load(50.0, 0.0, 24);
    rest(2.0).await;
    // Two of eight fail. No more than a fifth of the list is condemned, whichever services name it: one.
    let from = fleet.history.len();
    execute(
        &mut fleet,
        &[
            Step::SetServerFailures {
                server: 0,
                ratio: 1.0,
            },
            Step::SetServerFailures {
                server: 1,
                ratio: 1.0,
            },
        ],
    )
    .await
    .unwrap();
    let condemned = |e: &Event| matches!(e, Event::Logged { line, .. } if line.contains("is ejected, a quorum"));
    fleet.history.wait_for(from, condemned).await.unwrap();
    rest(2.5).await;
    let most = (0..6).map(|n| condemned_at_once(&fleet, from, n)).max();
    assert_eq!(most, Some(1), "{}", fleet.history.tail(30));
    let all: Vec<Step> = (0..8)
        .map(|s| Step::SetServerFailures {
            server: s,
            ratio: 1.0,
        })
        .collect();
    execute(&mut fleet, &all).await.unwrap();
    rest(1.5).await;
    let from = fleet.history.now();
    rest(2.0).await;
    // One that is condemned is tried by about one node in a second.
    let asked: Vec<usize> = (0..8)
        .map(|s| sent(&fleet, s, from, &[0, 1, 2, 3, 4, 5]))
        .collect();
    assert!(asked.iter().filter(|n| **n > 8).count() >= 6, "{asked:?}");
    let none: Vec<Step> = (0..8)
        .map(|s| Step::SetServerFailures {
            server: s,
            ratio: 0.0,
        })
        .collect();
    execute(&mut fleet, &none).await.unwrap();
    rest(3.0).await;
    let from = fleet.history.now();
    rest(3.0).await;
    load.stop().await;
    let queries::ServedRatio {
        ratio: share,
        requests: n,
    } = queries::served_ratio(&fleet.history.events(), from, from + 2 * SECOND);
    assert!(share > 0.9, "{share} of {n}");
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_pauses_is_left_before_any_wait_is_over_and_taken_back_when_it_answers() {
    let _turn = turn().await;
    let fleet_settings = Some("verdicts = { trial_every = \"60s\", lasts = \"60s\" }".to_owned());
    let mut fleet = start(FleetSpec {
        node_count: 6,
        server_count: 8,
        fleet_settings,
        ..warm()
    })
    .await;
    let load = fleet.start_load_at(&[0, 1, 2, 3], 60.0, 0.2, 25);
    until_sent(&fleet, 0, &[0, 1, 2, 3]).await;
    let from = fleet.history.len();
    execute(
        &mut fleet,
        &[Step::SetServerPaused {
            server: 0,
            paused: true,
        }],
    )
    .await
    .unwrap();
    let at = fleet.history.now();
    let first = |e: &Event| matches!(e, Event::Logged { line, .. } if line.contains("s0 is ejected, a quorum"));
    let ejected_at = fleet.history.wait_for(from, first).await.unwrap();
    let condemned = ejected_at - at;
    // When three nodes have sent something there is chance. From then on a tenth of the two seconds that an attempt waits
    // shows that answers are late, and what nodes know is everywhere within a second.
    let quorum_at = last_witness_at(&fleet, 0, at, ejected_at, &[0, 1, 2, 3]);
    let detection = ejected_at - quorum_at;
    assert!(detection < SECOND, "{detection:?} of {condemned:?}");
    execute(
        &mut fleet,
        &[Step::SetServerPaused {
            server: 0,
            paused: false,
        }],
    )
    .await
    .unwrap();
    until_explained(&fleet, "s0", "not condemned").await;
    let took = fleet.history.now() - at - condemned;
    assert!(
        took < 4 * SECOND,
        "it answers, and nodes kept for {took:?} to what was said of it"
    );
    // All send there again, those that had no work before as well.
    let others = fleet.start_load_at(&[4, 5], 60.0, 0.2, 26);
    until_sent(&fleet, 0, &[0, 1, 2, 3, 4, 5]).await;
    load.stop().await;
    others.stop().await;
    none_broken(&fleet);
}

/// When the last of a quorum of these nodes first sent an attempt to a server between two times; `from` if none did, since
/// attempts that were under way before are evidence too.
fn last_witness_at(
    fleet: &TestFleet,
    server: usize,
    from: Duration,
    to: Duration,
    nodes: &[usize],
) -> Duration {
    let events = fleet.history.events();
    let first_attempt = |node: &usize| {
        Some(
            queries::attempts(&events, server, from, to, &[*node])
                .first()?
                .at,
        )
    };
    let mut first_attempts: Vec<Duration> = nodes.iter().filter_map(first_attempt).collect();
    first_attempts.sort_unstable();
    let witnesses = Quorum::default().witnesses;
    first_attempts.truncate(witnesses);
    first_attempts.last().copied().unwrap_or(from)
}

/// Waits until a node was asked so many requests since a moment.
async fn until_asked(fleet: &TestFleet, from: Duration, of: usize, requests: usize) {
    let is_asked = |TimedEvent { at, event }: &&TimedEvent| {
        *at >= from && matches!(event, Event::RequestSent { node, .. } if *node == of)
    };
    fleet
        .wait_until("requests at a node", async |fleet| {
            fleet.history.events().iter().filter(is_asked).count() >= requests
        })
        .await
        .unwrap();
}

/// A line of a list: a server that began again just now, at its old address.
fn begun(fleet: &TestFleet, server: usize, status: ServerStatus) -> ListedServer {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let since_ms = now.as_millis() as u64;
    ListedServer {
        status,
        since_ms,
        ..ListedServer::active(&server_name(server), fleet.servers[server].address)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_verdict_on_one_start_says_nothing_of_another_and_lists_that_disagree_change_no_ban() {
    let _turn = turn().await;
    let fleet_settings = Some("verdicts = { trial_every = \"60s\", lasts = \"60s\" }".to_owned());
    // Nobody probes the server: a probe that it answers takes back one of the three reports that condemn it.
    let named = names_that_never_probe(7, &[0, 1, 2, 3, 4, 5, 6], &[0]);
    let fleet = start(FleetSpec {
        node_count: 7,
        server_count: 6,
        discovery_count: 2,
        fleet_settings,
        node_names: named,
        ..warm()
    })
    .await;
    let (ahead, behind) = ([0, 2, 4, 6], [1, 3]);
    // A server is replaced under its name and address. One list tells of it, the other lags; the new one fails.
    let new = begun(&fleet, 0, ServerStatus::Active);
    fleet.discoveries[0].update(std::slice::from_ref(&new));
    rest(0.5).await;
    // Its nodes hear from the others that theirs lags, and say so.
    let lags = |e: &Event| matches!(e, Event::Logged { node: 1, line } if line.contains("has index 1 here and 2 at other nodes"));
    fleet.history.wait_for(0, lags).await.unwrap();
    fleet.servers[0].update_behavior(|m| m.error_ratio = 1.0);
    // Few a second: nodes that are short of time find fault with all servers, and then send to any.
    let load = fleet.start_load_at(&ahead, 20.0, 0.2, 27);
    until_explained(&fleet, "s0", "fails several nodes").await;
    until_errors_reported(&fleet, "s0", 3).await;
    until_left(&fleet, 0, &ahead).await;
    // The nodes that know the old one alone hold nothing against it.
    fleet.servers[0].update_behavior(|m| m.error_ratio = 0.0);
    let others = fleet.start_load_at(&behind, 20.0, 0.2, 28);
    until_sent(&fleet, 0, &behind).await;
    // Their list catches up: what was said of the new one meanwhile holds at once, for one that never saw it fail.
    fleet.discoveries[1].update(&[new]);
    rest(1.0).await;
    let at = fleet.history.now();
    let last = fleet.start_load_at(&[5], 40.0, 0.2, 29);
    until_sent(&fleet, 1, &[5]).await;
    until_asked(&fleet, at, 5, 150).await;
    assert_eq!(
        sent(&fleet, 0, at, &[5]),
        0,
        "sent to what fails others\n{}",
        fleet.history.tail(20)
    );

    // Out by hand, it stays out, whatever a list says of it, and of a new start of it.
    fleet.ban_server(0, 1, None).await.unwrap();
    rest(1.5).await;
    let at = fleet.history.now();
    fleet.discoveries[1].update(&[begun(&fleet, 1, ServerStatus::Active)]);
    rest(6.0).await;
    assert_eq!(
        sent(&fleet, 1, at, &[0, 1, 2, 3, 4, 5, 6]),
        0,
        "a list brought a banned server back"
    );
    // A list's own word holds for those it tells, whatever the fleet says: its call back brings nothing back.
    fleet.discoveries[0].update(&[begun(&fleet, 2, ServerStatus::Draining)]);
    rest(0.6).await;
    fleet.lift_ban(1, 2).await.unwrap();
    let at = fleet.history.now();
    rest(6.0).await;
    assert_eq!(sent(&fleet, 2, at, &ahead), 0, "sent to a draining server");
    assert!(
        sent(&fleet, 2, at, &behind) > 0,
        "their list says nothing of it"
    );
    for load in [load, others, last] {
        load.stop().await;
    }
    none_broken(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ban_that_is_lifted_on_one_side_of_a_cut_and_renewed_on_the_other_holds() {
    let _turn = turn().await;
    let fleet = start(warm()).await;
    let load = fleet.start_load(40.0, 0.2, 30);
    let (all, here, there) = ([0, 1, 2, 3, 4], [0, 1, 2], [3, 4]);
    fleet.ban_server(0, 0, None).await.unwrap();
    fleet.ban_server(0, 1, None).await.unwrap();
    until_explained(&fleet, "s0", "s0: out by hand").await;
    until_explained(&fleet, "s1", "s1: out by hand").await;
    fleet.network().partition(&here, &there, true);
    // Both are lifted here; one is said anew there.
    fleet.lift_ban(1, 0).await.unwrap();
    fleet.lift_ban(1, 1).await.unwrap();
    fleet.ban_server(4, 0, None).await.unwrap();
    until_sent(&fleet, 0, &here).await;
    let at = fleet.history.now();
    rest(1.5).await;
    assert_eq!(
        sent(&fleet, 0, at, &there) + sent(&fleet, 1, at, &there),
        0,
        "lifted through a cut"
    );
    fleet.network().heal();
    // The newer word of the two operators is heard by all, and what was lifted alone is back for all.
    until_explained(&fleet, "s0", "s0: out by hand").await;
    until_explained(&fleet, "s1", "s1: not out by hand").await;
    let at = fleet.history.now();
    until_sent(&fleet, 1, &all).await;
    rest(2.0).await;
    assert_eq!(
        late(&fleet, 0, at, &all),
        [],
        "a ban that was renewed is gone"
    );
    fleet.lift_ban(2, 0).await.unwrap();
    until_sent(&fleet, 0, &all).await;
    load.stop().await;
    none_broken(&fleet);
}
