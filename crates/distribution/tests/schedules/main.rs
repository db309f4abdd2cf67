//! Random schedules over small trees: publishers that take over the lease from each other, relays and nodes that are
//! killed, paused and partitioned while changes are published, promoted, reverted and rejected.

mod checks;
mod rollout_checks;
mod rollouts;
mod schedule;
#[path = "../world/mod.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reelfall_distribution::output::Event;
use rollout_checks::RolloutCounts;
use rollouts::RandomRollouts;
use schedule::Schedule;

/// Steps of a schedule before its faults end.
const STEPS: usize = 60;
/// Schedules of each property, unless `SCHEDULES` has another number.
const DEFAULT_SCHEDULES: u32 = 1000;

fn run_schedule(seed: u64) -> Schedule {
    let mut schedule = Schedule::new(seed);
    for _ in 0..STEPS {
        schedule.step();
    }
    schedule.run_without_faults();
    schedule.check();
    schedule
}

/// The rollouts are drawn by a generator of their own. They change the course of the schedule of the same seed.
fn run_rollout_schedule(seed: u64) -> RolloutCounts {
    let mut schedule = Schedule::new(seed);
    let mut rollouts = RandomRollouts::new(seed);
    for _ in 0..STEPS {
        schedule.step();
        rollouts.step(&mut schedule);
    }
    schedule.run_without_faults();
    schedule.check();
    rollouts.check(&schedule)
}

fn schedule_count() -> u32 {
    std::env::var("SCHEDULES")
        .ok()
        .and_then(|number| number.parse().ok())
        .unwrap_or(DEFAULT_SCHEDULES)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: schedule_count(), failure_persistence: None, max_shrink_iters: 0, ..ProptestConfig::default() })]

    #[test]
    fn all_nodes_converge_and_no_version_regresses(seed in any::<u64>()) {
        run_schedule(seed);
    }
}

/// Seeds of schedules with rollouts: the same in each run, random ones where `SCHEDULES` is set.
fn rollout_seeds() -> RngSeed {
    match std::env::var_os("SCHEDULES") {
        Some(_) => RngSeed::Random,
        None => RngSeed::Fixed(1),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: schedule_count(), failure_persistence: None, max_shrink_iters: 0, rng_seed: rollout_seeds(), ..ProptestConfig::default() })]

    #[test]
    fn no_rollout_advances_above_its_rejection_threshold(seed in any::<u64>()) {
        run_rollout_schedule(seed);
    }
}

/// Runs the one schedule that the variable `SEED` names, for debugging.
#[test]
fn replay_schedule_of_seed() {
    if let Some(seed) = std::env::var("SEED")
        .ok()
        .and_then(|number| number.parse().ok())
    {
        run_schedule(seed);
    }
}

/// Runs the one schedule with rollouts that the variable `ROLLOUT_SEED` names, for debugging.
#[test]
fn replay_rollout_schedule_of_seed() {
    if let Some(seed) = std::env::var("ROLLOUT_SEED")
        .ok()
        .and_then(|number| number.parse().ok())
    {
        run_rollout_schedule(seed);
    }
}

/// Guards against schedules that no longer exercise rollouts.
#[test]
fn rollout_schedules_cover_advances_rollbacks_and_takeovers() {
    let mut total = RolloutCounts::default();
    for seed in 0..40 {
        let counts = run_rollout_schedule(seed);
        total.started += counts.started;
        total.advanced += counts.advanced;
        total.checked += counts.checked;
        total.resumed += counts.resumed;
        total.rolled_back += counts.rolled_back;
        total.completed += counts.completed;
    }
    assert!(total.started > 100, "{} rollouts", total.started);
    assert!(total.advanced > 30, "{} stages ended", total.advanced);
    assert!(
        total.checked * 10 > total.advanced * 9,
        "{} of {} could be checked",
        total.checked,
        total.advanced
    );
    assert!(
        total.resumed > 10,
        "{} rollouts were resumed",
        total.resumed
    );
    assert!(
        total.rolled_back > 20,
        "{} rollouts were rolled back",
        total.rolled_back
    );
    assert!(
        total.completed > 5,
        "{} rollouts completed",
        total.completed
    );
}

/// Regressions: seeds of schedules that failed once.
#[test]
fn schedules_that_failed_before_converge() {
    let seeds = [
        0,
        12,
        13,
        3263084484173318263,
        7646726559289260410,
        16691207508859021083,
        2862663161064715167,
        759400744160985781,
        5742343945015408424,
        9131996398456585369,
        13121036708355453823,
        6468240019584218397,
        14896455258556257192,
    ];
    for seed in seeds {
        run_schedule(seed);
    }
}

/// Regressions: seeds of schedules with rollouts that failed once.
#[test]
fn rollout_schedules_that_failed_before_converge() {
    for seed in [
        1751234203504354436,
        18243438213553280910,
        1352627634081030488,
        2675680900701131034,
        17639770246266840483,
    ] {
        run_rollout_schedule(seed);
    }
}

/// Guards against schedules that no longer publish or lose sessions.
#[test]
fn schedules_cover_changes_and_lost_sessions() {
    let mut published = 0;
    let mut upstreams_left = 0;
    let mut checked_names = 0;
    for seed in 0..20 {
        let schedule = run_schedule(seed);
        published += schedule.publish_count;
        checked_names += schedule.last_published.len();
        upstreams_left += schedule
            .world
            .invariants
            .events
            .iter()
            .filter(|recorded| matches!(recorded.event, Event::Left { .. }))
            .count();
    }
    assert!(published > 200, "{published} changes");
    assert!(upstreams_left > 100, "{upstreams_left} upstreams left");
    assert!(checked_names > 20, "{checked_names} names checked");
}
