//! Rollouts that are invalid, and the bounds on open rollouts and their records.

use crate::fixture::{
    default_policy, follow_both_relays, resource, roll_out, rollout_draft, rollout_world, Writer,
    FIRST_WRITER, NEW_BODY, SECOND_WRITER, SOAK_TIME,
};
use crate::world::{claim, World};
use reelfall_distribution::publish::{PublishError, MAX_OPEN_ROLLOUTS};
use reelfall_distribution::publisher::RolloutDraft;
use reelfall_distribution::resource::{Content, Draft, Name, Selector, Version};
use reelfall_distribution::rollout::policy::{InvalidPolicy, RolloutPolicy};
use reelfall_distribution::rollout::record::RolloutRecord;
use reelfall_distribution::subscriber::ACKNOWLEDGEMENT_REFRESH_INTERVAL;

/// Number of records of ended rollouts that a publisher retains.
const MAX_RETAINED_RECORDS: usize = 64;

#[test]
fn rollout_records_match_no_selector_of_a_node() {
    let group = RolloutRecord::key_of(&resource()).name.group;
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
fn open_rollouts_and_retained_records_are_bounded() {
    let mut world = rollout_world(20, follow_both_relays);
    let numbered_draft = |index: usize| RolloutDraft {
        name: Name::service("a", &format!("n{index}")),
        ..rollout_draft(NEW_BODY, default_policy())
    };
    for index in 0..MAX_OPEN_ROLLOUTS {
        roll_out(&mut world, FIRST_WRITER, numbered_draft(index)).unwrap();
    }
    assert_eq!(
        roll_out(&mut world, FIRST_WRITER, numbered_draft(MAX_OPEN_ROLLOUTS)),
        Err(PublishError::TooManyRollouts)
    );
    world.run(100.0);
    for index in MAX_OPEN_ROLLOUTS..100 {
        roll_out(&mut world, FIRST_WRITER, numbered_draft(index)).unwrap();
        let drafts = vec![Draft::put(numbered_draft(index).name, b"other")];
        world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
            publisher.publish(now, &claim(FIRST_WRITER.token), drafts, outputs)
        });
    }
    let retained = (0..100)
        .filter(|index| {
            let name = numbered_draft(*index).name;
            world
                .publisher_of(FIRST_WRITER.publisher)
                .rollout(&name)
                .is_some()
        })
        .count();
    assert_eq!(retained, MAX_RETAINED_RECORDS);
}

/// Starts a rollout by the default policy after a change.
fn roll_out_with(
    world: &mut World,
    change: fn(&mut RolloutPolicy),
) -> Result<Version, PublishError> {
    let mut policy = default_policy();
    change(&mut policy);
    roll_out(world, FIRST_WRITER, rollout_draft(NEW_BODY, policy))
}

#[test]
fn policies_with_invalid_stages_are_rejected() {
    let mut world = rollout_world(19, follow_both_relays);
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.stages = vec![]),
        Err(InvalidPolicy::Stages.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.stages = vec![0, 1000]),
        Err(InvalidPolicy::Stages.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.stages = vec![500, 400, 1000]),
        Err(InvalidPolicy::Stages.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.stages = vec![500]),
        Err(InvalidPolicy::Stages.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.stages = (984..=1000).collect()),
        Err(InvalidPolicy::Stages.into())
    );
}

#[test]
fn policies_with_invalid_thresholds_are_rejected() {
    let mut world = rollout_world(19, follow_both_relays);
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.max_rejected_share = 1001),
        Err(InvalidPolicy::Share.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.min_accepted_share = 1001),
        Err(InvalidPolicy::Share.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.min_decisions = 0),
        Err(InvalidPolicy::MinDecisions.into())
    );
}

#[test]
fn policies_with_invalid_times_are_rejected() {
    let mut world = rollout_world(19, follow_both_relays);
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.soak_time = -1.0),
        Err(InvalidPolicy::SoakTime.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.soak_time = f64::NAN),
        Err(InvalidPolicy::SoakTime.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.decision_time = SOAK_TIME + 1.0),
        Err(InvalidPolicy::DecisionTime.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.decision_time = f64::NAN),
        Err(InvalidPolicy::DecisionTime.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.max_report_age = 60.0),
        Err(InvalidPolicy::ReportAge.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.max_report_age = f64::NAN),
        Err(InvalidPolicy::ReportAge.into())
    );
    assert_eq!(
        roll_out_with(&mut world, |policy| policy.max_report_age =
            ACKNOWLEDGEMENT_REFRESH_INTERVAL),
        Err(InvalidPolicy::ReportAge.into())
    );
}

#[test]
fn rollouts_of_removals_and_reserved_names_are_rejected() {
    let mut world = rollout_world(19, follow_both_relays);
    let removal = RolloutDraft {
        content: Content::Removed,
        ..rollout_draft(NEW_BODY, default_policy())
    };
    assert_eq!(
        roll_out(&mut world, FIRST_WRITER, removal),
        Err(InvalidPolicy::Removal.into())
    );
    let record = RolloutRecord::key_of(&resource()).name;
    let reserved = PublishError::Reserved(Box::new(record.clone()));
    let rollout_of_record = RolloutDraft {
        name: record.clone(),
        ..rollout_draft(NEW_BODY, default_policy())
    };
    assert_eq!(
        roll_out(&mut world, FIRST_WRITER, rollout_of_record),
        Err(reserved.clone())
    );
    let drafts = vec![Draft::put(record, b"")];
    let published = world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.publish(now, &claim(FIRST_WRITER.token), drafts, outputs)
    });
    assert_eq!(published, Some(Err(reserved)));
}

#[test]
fn publisher_without_the_lease_cannot_roll_out() {
    let mut world = rollout_world(19, follow_both_relays);
    let publisher_without_lease = Writer {
        token: FIRST_WRITER.token,
        ..SECOND_WRITER
    };
    assert_eq!(
        roll_out(
            &mut world,
            publisher_without_lease,
            rollout_draft(NEW_BODY, default_policy())
        ),
        Err(PublishError::LeaseNotHeld)
    );
}
