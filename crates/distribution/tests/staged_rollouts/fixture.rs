//! The deployment, policy and calls that all cases of this test share.

use crate::world::{claim, grant_lease, two_publishers_and_relays, World};
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::publisher::{RolloutDraft, RolloutStatus};
use reelfall_distribution::resource::{
    Content, Draft, Key, Name, NodeFraction, Selector, Slot, Version,
};
use reelfall_distribution::rollout::policy::{OnRejections, RolloutPolicy};
use reelfall_distribution::rollout::record::RolloutState;
use reelfall_distribution::Time;
use std::ops::Range;

pub use crate::world::writer::{Writer, FIRST_WRITER, LEASE_DURATION, RELAYS, SECOND_WRITER};

/// See [`follow_relay_by_parity`].
pub const RELAY_OF_ODD_NODES: u32 = 11;
/// Time after which the publishers have received acknowledgements of all nodes, and their refreshes, in seconds.
const SETTLE_TIME: Time = 90.0;

/// A change of a stage of a rollout, or its end.
pub struct StageChange {
    pub at: Time,
    /// None at the end of the rollout.
    pub thousandths: Option<u16>,
}

pub const NODES: Range<u32> = 100..112;

pub const PREVIOUS_BODY: &[u8] = b"earlier";

pub const NEW_BODY: &[u8] = b"new";

pub const SOAK_TIME: Time = 20.0;

/// See `first_stage_includes_accepting_and_rejecting_nodes`.
pub const SEED: u64 = 3;

pub const FIRST_STAGE: u16 = 300;

pub fn default_policy() -> RolloutPolicy {
    RolloutPolicy {
        stages: vec![FIRST_STAGE, 600, 1000],
        soak_time: SOAK_TIME,
        decision_time: 5.0,
        max_rejected_share: 100,
        max_rejected: 100,
        min_decisions: 1,
        min_accepted_share: 900,
        max_report_age: 150.0,
        on_rejections: OnRejections::RollBack,
    }
}

pub fn resource() -> Name {
    Name::service("a", "x")
}

pub fn rollout_draft(body: &[u8], policy: RolloutPolicy) -> RolloutDraft {
    RolloutDraft {
        name: resource(),
        content: Content::body(body),
        seed: SEED,
        policy,
    }
}

pub fn stage_nodes(thousandths: u16) -> Vec<u32> {
    let fraction = NodeFraction {
        thousandths,
        seed: SEED,
    };
    NODES.filter(|id| fraction.contains(PeerId(*id))).collect()
}

/// Two publishers, the first of which holds the lease; two relays; each node follows the relays that `relays_of` gives.
pub fn rollout_world(seed: u64, relays_of: fn(u32) -> Vec<u32>) -> World {
    let mut world = two_publishers_and_relays(seed);
    for id in NODES {
        world.add_node(
            id,
            &relays_of(id),
            &[Selector::common(), Selector::service("a")],
        );
    }
    grant_lease(
        &mut world,
        FIRST_WRITER.publisher,
        FIRST_WRITER.token,
        LEASE_DURATION,
    );
    world.run(SETTLE_TIME);
    publish(&mut world, FIRST_WRITER, PREVIOUS_BODY).unwrap();
    world.run(10.0);
    world
}

pub fn follow_both_relays(_: u32) -> Vec<u32> {
    RELAYS.to_vec()
}

/// Two regions, each with a relay: nodes with even ids, and nodes with odd ids.
pub fn follow_relay_by_parity(id: u32) -> Vec<u32> {
    vec![if id % 2 == 1 {
        RELAY_OF_ODD_NODES
    } else {
        RELAYS[0]
    }]
}

pub fn publish(world: &mut World, writer: Writer, body: &[u8]) -> Result<Version, PublishError> {
    let drafts = vec![Draft::put(resource(), body)];
    world
        .with_publisher(writer.publisher, |publisher, now, outputs| {
            publisher.publish(now, &claim(writer.token), drafts, outputs)
        })
        .unwrap()
}

pub fn roll_out(
    world: &mut World,
    writer: Writer,
    draft: RolloutDraft,
) -> Result<Version, PublishError> {
    world
        .with_publisher(writer.publisher, |publisher, now, outputs| {
            publisher.start_rollout(now, &claim(writer.token), draft, outputs)
        })
        .unwrap()
}

/// Starts a rollout of the resource that the publisher has to accept.
pub fn start_rollout(world: &mut World, writer: Writer, body: &[u8], policy: RolloutPolicy) {
    roll_out(world, writer, rollout_draft(body, policy)).unwrap();
}

pub fn rollout_status(world: &World, publisher: u32) -> RolloutStatus {
    world.publisher_of(publisher).rollout(&resource()).unwrap()
}

pub fn rollout_state(world: &World, publisher: u32) -> RolloutState {
    rollout_status(world, publisher).record.state
}

pub fn is_rolled_back(world: &World, publisher: u32) -> bool {
    matches!(rollout_state(world, publisher), RolloutState::RolledBack(_))
}

pub fn assert_applied_on_all_nodes(world: &World, body: &[u8]) {
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &resource()).as_deref(),
            Some(body),
            "{id}"
        );
    }
}

pub fn canary_version(world: &World, publisher: u32) -> Version {
    world
        .publisher_of(publisher)
        .log()
        .get(&canary_key())
        .unwrap()
        .version
}

/// Ends the rollout and withdraws its canary.
pub fn revert_canary(world: &mut World, writer: Writer) {
    let version = canary_version(world, writer.publisher);
    world
        .with_publisher(writer.publisher, |publisher, now, outputs| {
            publisher.revert(now, &claim(writer.token), version, outputs)
        })
        .unwrap()
        .unwrap();
}

/// The starts of all stages after the first, and the end of the rollout.
pub fn stage_changes(world: &World) -> Vec<StageChange> {
    let thousandths_after = |event: &Event| match event {
        Event::RolloutAdvanced { thousandths, .. } => Some(Some(*thousandths)),
        Event::RolloutStopped { .. } => Some(None),
        _ => None,
    };
    world
        .invariants
        .events
        .iter()
        .filter_map(|recorded| {
            Some(StageChange {
                at: recorded.at,
                thousandths: thousandths_after(&recorded.event)?,
            })
        })
        .collect()
}

/// A publisher acquires the lease, and publishes once it has caught up.
pub fn take_over(world: &mut World, writer: Writer) {
    grant_lease(world, writer.publisher, writer.token, LEASE_DURATION);
    world.run(15.0);
    assert!(world.publisher_of(writer.publisher).is_publishing());
}

pub fn canary_key() -> Key {
    Key {
        name: resource(),
        slot: Slot::Canary,
    }
}

pub fn is_canary_removed(world: &World, publisher: u32) -> bool {
    let log = world.publisher_of(publisher).log();
    log.get(&canary_key()).unwrap().is_removal()
}
