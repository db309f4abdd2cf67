//! Staged rollouts: stages, soak times, refusals, regions that are cut off, authors that end or are followed by another.

mod world;

use reelfall_distribution::author::{RolloutDraft, RolloutStatus};
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::{PublishError, MAX_OPEN_ROLLOUTS};
use reelfall_distribution::resource::{
    Content, Draft, Key, Name, NodeFraction, Selector, Slot, Version,
};
use reelfall_distribution::rollout::policy::{InvalidPolicy, OnRejections, RolloutPolicy};
use reelfall_distribution::rollout::record::{RolloutRecord, RolloutState};
use reelfall_distribution::rollout::stage::{self, AdvanceBlocker, StageCounts, Verdict};
use reelfall_distribution::subscriber::ACKNOWLEDGEMENT_REFRESH_INTERVAL;
use reelfall_distribution::Time;
use world::{claim, hold, two_authors_and_relays, World, REJECTED_BY_ODD_NODES};

const NODES: std::ops::Range<u32> = 100..112;
const EARLIER: &[u8] = b"earlier";
const NEW: &[u8] = b"new";
const SOAK: Time = 20.0;
/// With it the first stage has nodes of both kinds: `the_first_stage_has_both_kinds_of_nodes`.
const SEED: u64 = 3;
const FIRST_STAGE: u16 = 300;
/// All nodes have been heard, and again.
const SETTLED: Time = 90.0;

fn policy() -> RolloutPolicy {
    RolloutPolicy {
        stages: vec![FIRST_STAGE, 600, 1000],
        soak_time: SOAK,
        decision_time: 5.0,
        max_rejected_share: 100,
        max_rejected: 100,
        min_decisions: 1,
        min_accepted_share: 900,
        max_report_age: 150.0,
        on_rejections: OnRejections::RollBack,
    }
}

fn name() -> Name {
    Name::service("a", "x")
}

fn draft(body: &[u8], policy: RolloutPolicy) -> RolloutDraft {
    RolloutDraft {
        name: name(),
        content: Content::body(body),
        seed: SEED,
        policy,
    }
}

fn stage_nodes(thousandths: u16) -> Vec<u32> {
    let part = NodeFraction {
        thousandths,
        seed: SEED,
    };
    NODES.filter(|id| part.contains(PeerId(*id))).collect()
}

/// Two authors, of whom the first writes with token 1; two relays; the nodes follow those of `relays_of`.
fn tree(seed: u64, relays_of: fn(u32) -> Vec<u32>) -> World {
    let mut world = two_authors_and_relays(seed);
    for id in NODES {
        world.node(
            id,
            &relays_of(id),
            &[Selector::common(), Selector::service("a")],
        );
    }
    hold(&mut world, 1, 1, 1e6);
    world.run(SETTLED);
    publish(&mut world, 1, 1, EARLIER).unwrap();
    world.run(10.0);
    world
}

fn both_relays(_: u32) -> Vec<u32> {
    vec![10, 11]
}

/// Two regions: even numbers follow 10, odd ones 11.
fn own_relay(id: u32) -> Vec<u32> {
    vec![10 + id % 2]
}

fn publish(
    world: &mut World,
    author: u32,
    token: u64,
    body: &[u8],
) -> Result<Version, PublishError> {
    let drafts = vec![Draft::put(name(), body)];
    world
        .with_author(author, |author, now, outputs| {
            author.publish(now, &claim(token), drafts, outputs)
        })
        .unwrap()
}

fn roll_out(
    world: &mut World,
    author: u32,
    token: u64,
    draft: RolloutDraft,
) -> Result<Version, PublishError> {
    world
        .with_author(author, |author, now, outputs| {
            author.start_rollout(now, &claim(token), draft, outputs)
        })
        .unwrap()
}

fn status(world: &World, author: u32) -> RolloutStatus {
    world.author_of(author).rollout(&name()).unwrap()
}

fn state(world: &World, author: u32) -> RolloutState {
    status(world, author).record.state
}

fn is_rolled_back(world: &World, author: u32) -> bool {
    matches!(state(world, author), RolloutState::RolledBack(_))
}

fn assert_everywhere(world: &World, body: &[u8]) {
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name()).as_deref(), Some(body), "{id}");
    }
}

/// When each stage after the first began, and when the rollout stopped.
fn steps(world: &World) -> Vec<(Time, Option<u16>)> {
    let step = |event: &Event| match event {
        Event::RolloutAdvanced { thousandths, .. } => Some(Some(*thousandths)),
        Event::RolloutStopped { .. } => Some(None),
        _ => None,
    };
    world
        .invariants
        .events
        .iter()
        .filter_map(|(t, _, event)| Some((*t, step(event)?)))
        .collect()
}

/// The author gets the lease with its next token, from a crash or not.
fn take_over(world: &mut World, author: u32, token: u64) {
    hold(world, author, token, 1e6);
    world.run(15.0);
    assert!(world.author_of(author).is_writing());
}

#[test]
fn the_first_stage_has_both_kinds_of_nodes() {
    let first = stage_nodes(FIRST_STAGE);
    assert!(
        first.iter().any(|id| id % 2 == 0) && first.iter().any(|id| id % 2 == 1),
        "{first:?}"
    );
    assert!(first.len() < stage_nodes(600).len() && stage_nodes(600).len() < NODES.len());
}

#[test]
fn what_all_accept_soaks_in_each_stage_and_comes_to_all() {
    let mut world = tree(1, both_relays);
    let begun = world.now;
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(SOAK / 2.0);
    let seen = status(&world, 1);
    assert_eq!(
        (seen.thousandths, seen.waiting),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Soak))
    );
    for id in NODES {
        let expected = if stage_nodes(FIRST_STAGE).contains(&id) {
            NEW
        } else {
            EARLIER
        };
        assert_eq!(world.bytes_at(id, &name()).unwrap(), expected, "{id}");
    }
    world.run(100.0);
    let steps = steps(&world);
    assert_eq!(
        steps.iter().map(|step| step.1).collect::<Vec<_>>(),
        [Some(600), Some(1000), None]
    );
    let mut before = begun;
    for (t, _) in steps {
        // The author's clock may go wrong by as much as all do.
        let lasted = t - before;
        assert!(
            (SOAK * 0.999..SOAK + 5.0).contains(&lasted),
            "a stage of {lasted} s"
        );
        before = t;
    }
    assert_eq!(state(&world, 1), RolloutState::Completed);
    assert_everywhere(&world, NEW);
    let trial = Key {
        name: name(),
        slot: Slot::Canary,
    };
    assert!(world.author_of(1).log().get(&trial).unwrap().is_removal());
    world.invariants.verdict();
}

#[test]
fn what_too_many_refuse_is_taken_back_with_their_reasons() {
    let mut world = tree(2, both_relays);
    let begun = world.now;
    roll_out(&mut world, 1, 1, draft(REJECTED_BY_ODD_NODES, policy())).unwrap();
    world.run(5.0);
    let (stopped_at, _) = steps(&world)[0];
    assert!(
        stopped_at - begun < 2.0,
        "taken back after {} s",
        stopped_at - begun
    );
    let refusing: Vec<u32> = stage_nodes(FIRST_STAGE)
        .into_iter()
        .filter(|id| id % 2 == 1)
        .collect();
    let seen = status(&world, 1);
    let named: Vec<u32> = seen
        .rejecting_nodes
        .iter()
        .map(|refusing| refusing.node.0)
        .collect();
    assert!(
        !named.is_empty() && named.iter().all(|id| refusing.contains(id)),
        "{named:?} of {refusing:?}"
    );
    assert!(seen
        .rejecting_nodes
        .iter()
        .all(|refusing| refusing.reason == "odd numbers can't"));
    let RolloutState::RolledBack(stop) = seen.record.state else {
        panic!("{:?}", seen.record.state)
    };
    assert_eq!(
        (stop.thousandths, stop.rejecting_nodes.len() as u32),
        (FIRST_STAGE, stop.rejected)
    );
    assert_everywhere(&world, EARLIER);
    world.run(3.0 * SOAK);
    assert_eq!(steps(&world).len(), 1, "it went on");
    assert_everywhere(&world, EARLIER);
    // Another author tells the operator the same.
    world.kill(PeerId(1));
    take_over(&mut world, 2, 2);
    assert_eq!(state(&world, 2), RolloutState::RolledBack(stop));
    world.invariants.verdict();
}

#[test]
fn refusals_within_the_threshold_do_not_stop_it() {
    let mut world = tree(3, both_relays);
    let tolerant = RolloutPolicy {
        max_rejected_share: 800,
        min_accepted_share: 200,
        ..policy()
    };
    roll_out(&mut world, 1, 1, draft(REJECTED_BY_ODD_NODES, tolerant)).unwrap();
    world.run(120.0);
    assert_eq!(state(&world, 1), RolloutState::Completed);
    for id in NODES {
        let expected = if id % 2 == 1 {
            EARLIER
        } else {
            REJECTED_BY_ODD_NODES
        };
        assert_eq!(world.bytes_at(id, &name()).unwrap(), expected, "{id}");
    }
    world.invariants.verdict();
}

#[test]
fn a_number_of_refusals_stops_it_whatever_their_share() {
    let mut world = tree(4, both_relays);
    let policy = RolloutPolicy {
        max_rejected_share: 1000,
        max_rejected: 0,
        ..policy()
    };
    roll_out(&mut world, 1, 1, draft(REJECTED_BY_ODD_NODES, policy)).unwrap();
    world.run(5.0);
    assert!(is_rolled_back(&world, 1));
    assert_everywhere(&world, EARLIER);
}

#[test]
fn a_halted_rollout_stays_at_its_stage_until_it_is_ended_by_hand() {
    let mut world = tree(5, both_relays);
    let halting = RolloutPolicy {
        on_rejections: OnRejections::Halt,
        ..policy()
    };
    roll_out(
        &mut world,
        1,
        1,
        draft(REJECTED_BY_ODD_NODES, halting.clone()),
    )
    .unwrap();
    world.run(3.0 * SOAK);
    assert!(matches!(state(&world, 1), RolloutState::Halted(_)));
    assert_eq!(status(&world, 1).thousandths, Some(FIRST_STAGE));
    for id in NODES {
        let accepted = id % 2 == 0 && stage_nodes(FIRST_STAGE).contains(&id);
        assert_eq!(
            world.bytes_at(id, &name()).unwrap(),
            if accepted {
                REJECTED_BY_ODD_NODES
            } else {
                EARLIER
            }
        );
    }
    assert_eq!(
        roll_out(&mut world, 1, 1, draft(NEW, halting)),
        Err(PublishError::RolloutOpen)
    );
    // A successor neither goes on.
    world.kill(PeerId(1));
    take_over(&mut world, 2, 2);
    world.run(3.0 * SOAK);
    assert!(matches!(state(&world, 2), RolloutState::Halted(_)));
    assert_eq!(steps(&world).len(), 1);
    revert(&mut world, 2, 2);
    world.run(5.0);
    assert_eq!(state(&world, 2), RolloutState::Ended);
    assert_everywhere(&world, EARLIER);
    world.invariants.verdict();
}

fn trial_version(world: &World, author: u32) -> Version {
    world
        .author_of(author)
        .log()
        .get(&Key {
            name: name(),
            slot: Slot::Canary,
        })
        .unwrap()
        .version
}

fn revert(world: &mut World, author: u32, token: u64) {
    let version = trial_version(world, author);
    world
        .with_author(author, |author, now, outputs| {
            author.revert(now, &claim(token), version, outputs)
        })
        .unwrap()
        .unwrap();
}

#[test]
fn an_operator_ends_a_rollout_either_way() {
    for releases in [true, false] {
        let mut world = tree(6, both_relays);
        roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
        world.run(SOAK / 2.0);
        if releases {
            let released = world.with_author(1, |author, now, outputs| {
                author.promote_canary(now, &claim(1), &name(), outputs)
            });
            released.unwrap().unwrap();
        } else {
            revert(&mut world, 1, 1);
        }
        world.run(3.0 * SOAK);
        let (ended, body) = if releases {
            (RolloutState::Completed, NEW)
        } else {
            (RolloutState::Ended, EARLIER)
        };
        assert_eq!(state(&world, 1), ended);
        assert_eq!(steps(&world).len(), 1, "it went on by itself");
        assert_everywhere(&world, body);
        roll_out(&mut world, 1, 1, draft(b"newer", policy())).unwrap();
        world.invariants.verdict();
    }
}

#[test]
fn a_further_change_of_the_resource_ends_its_rollout() {
    let mut world = tree(7, both_relays);
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(SOAK / 2.0);
    publish(&mut world, 1, 1, b"other").unwrap();
    world.run(3.0 * SOAK);
    assert_eq!(state(&world, 1), RolloutState::Superseded);
    assert!(world
        .author_of(1)
        .log()
        .get(&Key {
            name: name(),
            slot: Slot::Canary
        })
        .unwrap()
        .is_removal());
    assert_everywhere(&world, b"other");
    // A trial by hand takes the place of a rollout's trial, and is left alone.
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(SOAK / 2.0);
    let by_hand = Draft::put(name(), b"by hand");
    let part = NodeFraction {
        thousandths: 1000,
        seed: SEED,
    };
    world
        .with_author(1, |author, now, outputs| {
            author.publish_canary(now, &claim(1), by_hand, part, outputs)
        })
        .unwrap()
        .unwrap();
    world.run(3.0 * SOAK);
    assert_eq!(state(&world, 1), RolloutState::Superseded);
    assert_everywhere(&world, b"by hand");
    world.invariants.verdict();
}

#[test]
fn nodes_that_were_not_heard_hold_a_stage_back() {
    let mut world = tree(8, own_relay);
    world.cut(PeerId(1), PeerId(11), 1e6);
    world.cut(PeerId(2), PeerId(11), 1e6);
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(300.0);
    let seen = status(&world, 1);
    assert_eq!(
        (seen.thousandths, seen.waiting),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Acceptances))
    );
    assert!(
        seen.counts.accepted > 0 && seen.counts.accepted < seen.counts.known,
        "{:?}",
        seen.counts
    );
    // A later author never heard of the region; the record says how many nodes there were.
    world.kill(PeerId(1));
    take_over(&mut world, 2, 2);
    world.run(300.0);
    let seen = status(&world, 2);
    assert_eq!(
        (seen.thousandths, seen.waiting),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Acceptances))
    );
    world.cut(PeerId(2), PeerId(11), 0.0);
    world.run(200.0);
    assert_eq!(state(&world, 2), RolloutState::Completed);
    assert_everywhere(&world, NEW);
    world.invariants.verdict();
}

#[test]
fn reports_that_grew_too_old_hold_a_stage_back() {
    let mut world = tree(9, own_relay);
    let slow = RolloutPolicy {
        soak_time: 300.0,
        max_report_age: 150.0,
        ..policy()
    };
    roll_out(&mut world, 1, 1, draft(NEW, slow)).unwrap();
    world.run(100.0);
    assert_eq!(status(&world, 1).waiting, Some(AdvanceBlocker::Soak));
    for author in [1, 2] {
        world.cut(PeerId(author), PeerId(11), 400.0);
    }
    world.run(300.0);
    let seen = status(&world, 1);
    assert_eq!(
        (seen.thousandths, seen.waiting),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Acceptances))
    );
    assert_eq!(
        seen.counts.accepted, seen.counts.known,
        "all accepted once: {:?}",
        seen.counts
    );
    assert!(seen.counts.accepted_recently < seen.counts.known);
    world.run(200.0);
    assert!(status(&world, 1).thousandths > Some(FIRST_STAGE));
}

#[test]
fn too_few_decisions_hold_a_stage_back() {
    let mut world = tree(10, both_relays);
    let many = RolloutPolicy {
        min_decisions: stage_nodes(FIRST_STAGE).len() as u32 + 1,
        ..policy()
    };
    roll_out(&mut world, 1, 1, draft(NEW, many)).unwrap();
    world.run(200.0);
    let seen = status(&world, 1);
    assert_eq!(
        (seen.thousandths, seen.waiting),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Decisions))
    );
}

#[test]
fn an_author_that_ends_between_stages_goes_on_after_its_start() {
    let mut world = tree(11, both_relays);
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(SOAK + 10.0);
    assert_eq!(status(&world, 1).thousandths, Some(600));
    world.kill(PeerId(1));
    world.run(60.0);
    assert_eq!(steps(&world).len(), 1, "nobody writes");
    world.start(PeerId(1));
    let began = world.now;
    take_over(&mut world, 1, 2);
    let resumed = Event::RolloutResumed {
        name: name(),
        thousandths: 600,
    };
    assert!(world
        .invariants
        .events
        .iter()
        .any(|(_, _, event)| *event == resumed));
    assert_eq!(
        status(&world, 1).waiting,
        Some(AdvanceBlocker::Soak),
        "the stage soaks anew"
    );
    world.run(150.0);
    assert!(steps(&world)[1].0 - began >= SOAK, "{:?}", steps(&world));
    assert_eq!(state(&world, 1), RolloutState::Completed);
    assert_everywhere(&world, NEW);
    world.invariants.verdict();
}

#[test]
fn a_successor_goes_on_and_knows_who_refused() {
    let mut world = tree(12, both_relays);
    let tolerant = RolloutPolicy {
        max_rejected_share: 800,
        min_accepted_share: 200,
        ..policy()
    };
    roll_out(&mut world, 1, 1, draft(REJECTED_BY_ODD_NODES, tolerant)).unwrap();
    world.run(SOAK / 2.0);
    let counts = status(&world, 1).counts;
    assert!(counts.rejected > 0);
    let refusing = status(&world, 1).rejecting_nodes;
    world.kill(PeerId(1));
    take_over(&mut world, 2, 2);
    assert_eq!(status(&world, 2).thousandths, Some(FIRST_STAGE));
    assert_eq!(status(&world, 2).rejecting_nodes, refusing);
    world.run(200.0);
    assert_eq!(state(&world, 2), RolloutState::Completed);
    world.invariants.verdict();
}

/// An author that loses the lease and gets it again has the standings that it heard, and nothing of who refused.
#[test]
fn standings_of_an_earlier_lease_are_no_acceptances() {
    let mut world = tree(22, both_relays);
    let tolerant = RolloutPolicy {
        max_rejected_share: 800,
        min_accepted_share: 200,
        soak_time: 300.0,
        ..policy()
    };
    roll_out(&mut world, 1, 1, draft(REJECTED_BY_ODD_NODES, tolerant)).unwrap();
    world.run(20.0);
    assert!(status(&world, 1).counts.accepted > 0);
    world.with_author(1, |author, now, outputs| author.stand_down(now, outputs));
    for relay in [10, 11] {
        world.cut(PeerId(1), PeerId(relay), 100.0);
    }
    hold(&mut world, 1, 2, 1e6);
    world.run(30.0);
    let counts = status(&world, 1).counts;
    assert!(world.author_of(1).is_writing() && counts.known > 0);
    assert_eq!(
        (counts.accepted, counts.rejected),
        (0, 0),
        "nobody was heard"
    );
}

/// A relay that took refusals and ended before it passed them on: its nodes tell them again before their standing.
#[test]
fn refusals_that_a_relay_took_and_lost_come_again() {
    let mut world = tree(13, own_relay);
    let patient = RolloutPolicy {
        soak_time: 60.0,
        ..policy()
    };
    roll_out(&mut world, 1, 1, draft(REJECTED_BY_ODD_NODES, patient)).unwrap();
    // The relay has the trial, and what the nodes say of it does not leave it.
    world.run(0.08);
    for author in [1, 2] {
        world.cut(PeerId(author), PeerId(11), 30.0);
    }
    world.run(20.0);
    let refusing: Vec<u32> = stage_nodes(FIRST_STAGE)
        .into_iter()
        .filter(|id| id % 2 == 1)
        .collect();
    let asked = |id: &u32| world.node_of(*id).head() >= trial_version(&world, 1);
    assert!(refusing.iter().all(asked), "the trial has not come");
    assert_eq!(state(&world, 1), RolloutState::Running);
    assert_eq!(status(&world, 1).counts.rejected, 0);
    world.kill(PeerId(11));
    world.start(PeerId(11));
    world.run(150.0);
    let RolloutState::RolledBack(stop) = state(&world, 1) else {
        panic!("{:?}", status(&world, 1))
    };
    assert_eq!(
        stop.thousandths, FIRST_STAGE,
        "the stage ended without them"
    );
    assert_everywhere(&world, EARLIER);
    world.invariants.verdict();
}

/// The author with the older token was cut off with its trial. What its successor decides holds.
#[test]
fn an_author_with_an_older_token_rolls_nothing_out() {
    let mut world = tree(14, both_relays);
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(SOAK / 2.0);
    for relay in [10, 11] {
        world.cut(PeerId(1), PeerId(relay), 200.0);
    }
    world.run(5.0);
    hold(&mut world, 2, 2, 1e6);
    world.run(15.0);
    revert(&mut world, 2, 2);
    world.run(100.0);
    // It believes that it holds the lease, and had heard all of its first stage.
    assert!(world.author_of(1).is_writing());
    world.run(200.0);
    assert!(
        !world.author_of(1).is_writing()
            || status(&world, 1).record.state != RolloutState::Completed
    );
    assert_eq!(state(&world, 2), RolloutState::Ended);
    assert_everywhere(&world, EARLIER);
    assert!(roll_out(&mut world, 1, 1, draft(NEW, policy())).is_err());
    world.run(60.0);
    assert_everywhere(&world, EARLIER);
    world.invariants.verdict();
}

/// Nodes that have much else to take get the end of the trial alone.
#[test]
fn the_end_of_a_rollout_overtakes_its_change() {
    let mut world = tree(15, own_relay);
    let mut body = REJECTED_BY_ODD_NODES.to_vec();
    body.resize(30_000, 7);
    // Even numbers are behind by a half of the trial; the odd ones refuse it meanwhile.
    for id in NODES.filter(|id| id % 2 == 0) {
        world.freeze(PeerId(id), 2.5);
    }
    roll_out(&mut world, 1, 1, draft(&body, policy())).unwrap();
    let trial = trial_version(&world, 1);
    while !is_rolled_back(&world, 1) {
        world.run(0.01);
        assert!(world.now < 200.0, "it was not taken back");
    }
    let drafts = (0..60)
        .map(|n| Draft::put(Name::service("a", &format!("r{n}")), &[n; 1000]))
        .collect();
    world.with_author(1, |author, now, outputs| {
        author.publish(now, &claim(1), drafts, outputs)
    });
    for _ in 0..15 {
        world.run(0.1);
        for id in stage_nodes(FIRST_STAGE) {
            assert_eq!(
                world.bytes_at(id, &name()).as_deref(),
                Some(EARLIER),
                "{id}"
            );
        }
    }
    for id in stage_nodes(FIRST_STAGE) {
        let version = world.node_of(id).applied_change(&name()).unwrap().version;
        assert!(version > trial, "{id} has not heard of the end");
    }
    world.run(60.0);
    assert_everywhere(&world, EARLIER);
    world.invariants.verdict();
}

/// A node outside of the stage that refuses what is for all says so under the version of the trial's end.
#[test]
fn refusals_outside_of_the_stage_do_not_count() {
    let mut world = tree(16, both_relays);
    publish(&mut world, 1, 1, REJECTED_BY_ODD_NODES).unwrap();
    world.run(10.0);
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(150.0);
    assert_eq!(state(&world, 1), RolloutState::Completed);
    assert_everywhere(&world, NEW);
}

/// Refusals of an earlier rollout of the resource come again with each session.
#[test]
fn refusals_of_an_earlier_rollout_do_not_count() {
    let mut world = tree(17, both_relays);
    roll_out(&mut world, 1, 1, draft(REJECTED_BY_ODD_NODES, policy())).unwrap();
    world.run(10.0);
    assert!(is_rolled_back(&world, 1));
    roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
    world.run(SOAK / 2.0);
    for relay in [10, 11] {
        world.kill(PeerId(relay));
        world.start(PeerId(relay));
    }
    world.run(150.0);
    assert_eq!(state(&world, 1), RolloutState::Completed);
    assert_everywhere(&world, NEW);
}

/// The author ends after each of the outputs of a rollback and of a completion; its successor, or itself, brings all to one
/// content, and says how the rollout ended.
#[test]
fn an_author_may_end_after_any_output_of_the_end_of_a_rollout() {
    for body in [REJECTED_BY_ODD_NODES, NEW] {
        for outputs in 0..12 {
            for successor in [1, 2] {
                end_after(body, outputs, successor);
            }
        }
    }
}

fn end_after(body: &[u8], outputs: usize, successor: u32) {
    let mut world = tree(18, both_relays);
    let short = RolloutPolicy {
        stages: vec![1000],
        ..policy()
    };
    let accepted = body == NEW;
    roll_out(&mut world, 1, 1, draft(body, short)).unwrap();
    if accepted {
        world.run(SOAK - 0.1);
    }
    // Of acknowledgements nothing is left then, so that what follows is what the end asks for.
    while state(&world, 1) == RolloutState::Running {
        let seat = &world.processes[&PeerId(1)];
        let ends_soon = seat.machine.is_some();
        assert!(ends_soon);
        world.kill_after(PeerId(1), outputs);
        world.run(0.02);
        if world.processes[&PeerId(1)].machine.is_none() {
            break;
        }
    }
    world.kill(PeerId(1));
    if successor == 1 {
        world.start(PeerId(1));
    }
    world.run(20.0);
    take_over(&mut world, successor, 2);
    world.run(150.0);
    let ended = state(&world, successor);
    assert!(!ended.is_open(), "{outputs} {successor}: {ended:?}");
    let expected = if ended == RolloutState::Completed {
        body
    } else {
        EARLIER
    };
    assert!(
        accepted || ended != RolloutState::Completed,
        "{outputs} {successor}: {ended:?}"
    );
    assert_everywhere(&world, expected);
    world.invariants.verdict();
}

#[test]
fn what_can_not_be_rolled_out_is_refused() {
    let mut world = tree(19, both_relays);
    let mut refused = |draft| roll_out(&mut world, 1, 1, draft).unwrap_err();
    let mut with = |change: fn(&mut RolloutPolicy)| {
        let mut policy = policy();
        change(&mut policy);
        refused(draft(NEW, policy))
    };
    assert_eq!(
        with(|policy| policy.stages = vec![]),
        InvalidPolicy::Stages.into()
    );
    assert_eq!(
        with(|policy| policy.stages = vec![0, 1000]),
        InvalidPolicy::Stages.into()
    );
    assert_eq!(
        with(|policy| policy.stages = vec![500, 400, 1000]),
        InvalidPolicy::Stages.into()
    );
    assert_eq!(
        with(|policy| policy.stages = vec![500]),
        InvalidPolicy::Stages.into()
    );
    assert_eq!(
        with(|policy| policy.stages = (984..=1000).collect()),
        InvalidPolicy::Stages.into()
    );
    assert_eq!(
        with(|policy| policy.max_rejected_share = 1001),
        InvalidPolicy::Share.into()
    );
    assert_eq!(
        with(|policy| policy.min_accepted_share = 1001),
        InvalidPolicy::Share.into()
    );
    assert_eq!(
        with(|policy| policy.min_decisions = 0),
        InvalidPolicy::Decisions.into()
    );
    assert_eq!(
        with(|policy| policy.soak_time = -1.0),
        InvalidPolicy::Soak.into()
    );
    assert_eq!(
        with(|policy| policy.soak_time = f64::NAN),
        InvalidPolicy::Soak.into()
    );
    assert_eq!(
        with(|policy| policy.decision_time = SOAK + 1.0),
        InvalidPolicy::DecisionTime.into()
    );
    assert_eq!(
        with(|policy| policy.decision_time = f64::NAN),
        InvalidPolicy::DecisionTime.into()
    );
    assert_eq!(
        with(|policy| policy.max_report_age = 60.0),
        InvalidPolicy::ReportAge.into()
    );
    assert_eq!(
        with(|policy| policy.max_report_age = f64::NAN),
        InvalidPolicy::ReportAge.into()
    );
    let again = RolloutPolicy {
        max_report_age: ACKNOWLEDGEMENT_REFRESH_INTERVAL,
        ..policy()
    };
    assert_eq!(refused(draft(NEW, again)), InvalidPolicy::ReportAge.into());
    let removal = RolloutDraft {
        content: Content::Removed,
        ..draft(NEW, policy())
    };
    assert_eq!(refused(removal), InvalidPolicy::Removal.into());
    let record = RolloutRecord::key_of(&name()).name;
    let reserved = PublishError::Reserved(Box::new(record.clone()));
    assert_eq!(
        refused(RolloutDraft {
            name: record.clone(),
            ..draft(NEW, policy())
        }),
        reserved
    );
    let drafts = vec![Draft::put(record, b"")];
    let published = world.with_author(1, |author, now, outputs| {
        author.publish(now, &claim(1), drafts, outputs)
    });
    assert_eq!(published, Some(Err(reserved)));
    assert_eq!(
        roll_out(&mut world, 2, 1, draft(NEW, policy())),
        Err(PublishError::LeaseNotHeld)
    );
}

#[test]
fn records_of_rollouts_do_not_go_to_nodes() {
    let group = RolloutRecord::key_of(&name()).name.group;
    for selector in [
        Selector::Services,
        Selector::common(),
        Selector::service("a"),
        Selector::tenant("t"),
    ] {
        assert!(!selector.matches(&group), "{selector:?}");
    }
    assert!(Selector::Everything.matches(&group));
}

#[test]
fn rollouts_and_their_records_are_bounded() {
    let mut world = tree(20, both_relays);
    let of = |n: usize| RolloutDraft {
        name: Name::service("a", &format!("n{n}")),
        ..draft(NEW, policy())
    };
    for n in 0..MAX_OPEN_ROLLOUTS {
        roll_out(&mut world, 1, 1, of(n)).unwrap();
    }
    assert_eq!(
        roll_out(&mut world, 1, 1, of(MAX_OPEN_ROLLOUTS)),
        Err(PublishError::TooManyRollouts)
    );
    world.run(100.0);
    for n in MAX_OPEN_ROLLOUTS..100 {
        roll_out(&mut world, 1, 1, of(n)).unwrap();
        let drafts = vec![Draft::put(Name::service("a", &format!("n{n}")), b"other")];
        world.with_author(1, |author, now, outputs| {
            author.publish(now, &claim(1), drafts, outputs)
        });
    }
    let kept = (0..100)
        .filter(|n| world.author_of(1).rollout(&of(*n).name).is_some())
        .count();
    assert_eq!(kept, 64);
}

#[test]
fn the_same_seed_gives_the_same_rollout() {
    let events = |seed| {
        let mut world = tree(seed, both_relays);
        roll_out(&mut world, 1, 1, draft(NEW, policy())).unwrap();
        world.run(100.0);
        world.invariants.events
    };
    assert_eq!(events(21), events(21));
}

#[test]
fn verdicts_by_counts() {
    let policy = RolloutPolicy {
        max_rejected_share: 100,
        max_rejected: 50,
        min_decisions: 20,
        min_accepted_share: 800,
        ..policy()
    };
    let verdict_after = |lasted, (known, accepted, accepted_lately, refused)| {
        let counts = StageCounts {
            known,
            accepted,
            accepted_recently: accepted_lately,
            rejected: refused,
        };
        stage::evaluate(&policy, counts, lasted)
    };
    let soaked = |counts| verdict_after(SOAK, counts);
    // Of 20 decisions two may refuse, also while fewer have decided.
    assert_eq!(
        soaked((100, 0, 0, 2)),
        Verdict::Wait(AdvanceBlocker::Decisions)
    );
    assert_eq!(soaked((100, 0, 0, 3)), Verdict::Stop);
    assert_eq!(soaked((30, 27, 27, 3)), Verdict::Advance);
    assert_eq!(soaked((30, 26, 26, 4)), Verdict::Stop);
    // Whoever accepted once counts against refusals, though it was not heard of late.
    assert_eq!(
        soaked((1000, 90, 10, 10)),
        Verdict::Wait(AdvanceBlocker::Acceptances)
    );
    assert_eq!(
        soaked((1000, 800, 799, 0)),
        Verdict::Wait(AdvanceBlocker::Acceptances)
    );
    assert_eq!(soaked((1000, 800, 800, 0)), Verdict::Advance);
    assert_eq!(soaked((1000, 900, 900, 51)), Verdict::Stop);
    // While nodes still decide, the others are taken to accept.
    let early = |counts| verdict_after(policy.decision_time / 2.0, counts);
    assert_eq!(early((100, 0, 0, 10)), Verdict::Wait(AdvanceBlocker::Soak));
    assert_eq!(
        verdict_after(policy.decision_time, (100, 0, 0, 10)),
        Verdict::Stop
    );
    assert_eq!(early((100, 0, 0, 11)), Verdict::Stop);
    assert_eq!(
        early((100, 100, 100, 0)),
        Verdict::Wait(AdvanceBlocker::Soak)
    );
}
