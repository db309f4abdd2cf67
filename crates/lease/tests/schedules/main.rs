//! Keepers and clients in virtual time, on random schedules of faults: links that lose, delay and duplicate messages; processes
//! that are paused, or killed before or after their records are on disk; emptied folders, and folders restored from a backup;
//! clocks that drift.

mod fault;
mod injection;
mod network;
mod process;
mod world;

use fault::{fault_strategy, Fault};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_lease::Micros;
use world::World;

/// In units of [`Micros`].
pub const SECOND: Micros = 1_000_000;
const CLIENTS: usize = 4;
/// Schedules of the property, unless `SCHEDULES` has another number.
const DEFAULT_SCHEDULES: u32 = 96;

/// A fault, and the time since the previous one.
type Gap = Micros;

fn run_schedule(seed: u64, keepers: usize, loss: f64, faults: Vec<(Gap, Fault)>) -> World {
    let mut world = World::new(seed, keepers, CLIENTS, 2 * SECOND);
    world.acquire_all();
    world.run_until_held(15 * SECOND);
    assert!(
        world.holder().is_some(),
        "no client acquires the lease without faults"
    );
    world.loss = loss;
    let mut at = world.now;
    for (gap, fault) in faults {
        at += gap;
        world.schedule_fault(at, fault);
    }
    world.run(at + 8 * SECOND);
    world.end_faults();
    world.run_until_held(30 * SECOND);
    world
}

fn schedule_count() -> u32 {
    std::env::var("SCHEDULES")
        .ok()
        .and_then(|number| number.parse().ok())
        .unwrap_or(DEFAULT_SCHEDULES)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: schedule_count(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_leads_to_two_holders_or_a_lower_token(
        seed in any::<u64>(), has_five_keepers in any::<bool>(), loss in 0.0..0.3,
        faults in prop::collection::vec((1_000..2 * SECOND, fault_strategy(3, CLIENTS)), 1..40),
    ) {
        let world = run_schedule(seed, if has_five_keepers { 5 } else { 3 }, loss, faults);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        prop_assert!(world.holder().is_some(), "no client acquires the lease after the faults");
    }
}

/// Paused clients, crashing keepers and one folder that is restored from a backup.
fn harsh_faults(seed: u64) -> Vec<(Gap, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut faults = vec![(1000, Fault::Backup)];
    for _ in 0..15 {
        let client = rng.random_range(0..CLIENTS);
        let keeper = rng.random_range(0..3);
        let duration = 4 * SECOND;
        faults.push((SECOND, Fault::PauseClient { client, duration }));
        let is_persisted = rng.random();
        let crash = Fault::CrashKeeper {
            keeper,
            is_persisted,
        };
        faults.push((SECOND / 2, crash));
        faults.push((SECOND / 2, Fault::StartKeeper { keeper }));
    }
    let keeper = seed as usize % 3;
    faults.push((5 * SECOND, Fault::RestoreFolder { keeper }));
    faults
}

/// Guards against schedules that no longer exercise the protocol.
#[test]
fn schedules_cover_stale_writes_handovers_and_rejected_folders() {
    let mut stale = 0;
    let mut admitted = 0;
    let mut rejected_folders = 0;
    let mut acquisitions = 0;
    for seed in 0..12 {
        let world = run_schedule(seed, 3, 0.05, harsh_faults(seed));
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        stale += world.stale_writes;
        admitted += world.admitted_writes;
        rejected_folders += world.rejected_folders;
        acquisitions += world.acquired_tokens.len();
    }
    println!(
        "{admitted} writes, {stale} rejected as stale, {acquisitions} acquisitions, {rejected_folders} folders rejected"
    );
    assert!(
        stale > 0 && admitted > 1000 && acquisitions > 50,
        "{admitted} writes, {stale} stale, {acquisitions} acquisitions"
    );
    assert!(
        rejected_folders >= 6,
        "{rejected_folders} of 12 folders from a backup were rejected"
    );
}
