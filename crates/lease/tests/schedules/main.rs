//! Simulates keepers and clients in virtual time, with random schedules of faults: links that lose, delay and duplicate
//! messages; processes that are paused, or that crash before or after their records are on disk; folders that are emptied
//! or restored from a backup; clocks that drift.

mod fault;
mod injection;
mod network;
mod process;
mod simulation;

use fault::{fault_strategy, Fault};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_lease::Micros;
use simulation::Simulation;

/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;
const CLIENTS: usize = 4;
/// Number of random schedules, unless the environment variable `SCHEDULES` contains another.
const DEFAULT_SCHEDULES: u32 = 96;

/// The time from one fault to the next.
type Interval = Micros;

fn run_schedule(
    seed: u64,
    keepers: usize,
    loss: f64,
    faults: Vec<(Interval, Fault)>,
) -> Simulation {
    let mut simulation = Simulation::new(seed, keepers, CLIENTS, 2 * SECOND);
    simulation.acquire_all();
    simulation.run_until_held(15 * SECOND);
    assert!(
        simulation.holder().is_some(),
        "no client acquires the lease without faults"
    );
    simulation.loss = loss;
    let mut at = simulation.now;
    for (interval, fault) in faults {
        at += interval;
        simulation.schedule_fault(at, fault);
    }
    simulation.run(at + 8 * SECOND);
    simulation.end_faults();
    simulation.run_until_held(30 * SECOND);
    simulation
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
        let simulation = run_schedule(seed, if has_five_keepers { 5 } else { 3 }, loss, faults);
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
        prop_assert!(simulation.holder().is_some(), "no client acquires the lease after the faults");
    }
}

/// Pauses of clients, crashes of keepers, and one folder that is restored from a backup.
fn severe_faults(seed: u64) -> Vec<(Interval, Fault)> {
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

/// Guards against schedules that no longer lead to the situations that the protocol has to handle.
#[test]
fn schedules_cover_stale_writes_reacquisitions_and_rejected_folders() {
    let mut stale_writes = 0;
    let mut admitted_writes = 0;
    let mut rejected_folders = 0;
    let mut acquisitions = 0;
    for seed in 0..12 {
        let simulation = run_schedule(seed, 3, 0.05, severe_faults(seed));
        assert!(
            simulation.violations.is_empty(),
            "{:?}",
            simulation.violations
        );
        stale_writes += simulation.stale_writes;
        admitted_writes += simulation.admitted_writes;
        rejected_folders += simulation.rejected_folders;
        acquisitions += simulation.acquired_tokens.len();
    }
    println!(
        "{admitted_writes} writes admitted, {stale_writes} rejected as stale, {acquisitions} acquisitions, {rejected_folders} folders rejected"
    );
    assert!(
        stale_writes > 0 && admitted_writes > 1000 && acquisitions > 50,
        "{admitted_writes} writes admitted, {stale_writes} rejected as stale, {acquisitions} acquisitions"
    );
    assert!(
        rejected_folders >= 6,
        "{rejected_folders} of 12 folders from a backup were rejected"
    );
}
