//! Memory and processor time of a keeper with many leases, for the command `names`.

use crate::error::{Error, Result};
use crate::fixtures::{node_name, tag};
use crate::measure::{mean_seconds, resident_bytes, Figures, THIS_PROCESS};
use reelfall_lease::keeper::{self, Keeper};
use reelfall_lease::message::{ClientId, Request};
use reelfall_lease::token::LeaseName;
use std::hint::black_box;

/// Number of zones, each with a lease for every service.
const ZONES: usize = 13;
/// Number of clients that hold the leases.
const CLIENTS: usize = 6000;
/// The time of all requests, in microseconds.
const NOW_US: u64 = 1_000_000;
/// The duration of the leases, in microseconds.
const LEASE_LENGTH_US: u64 = 60_000_000;
const BALLOT: u64 = 1;
const ROUND: u64 = 1;
/// The seed of the keeper's random numbers.
const SEED: u64 = 7;
/// Number of scans that are timed.
const SCANS: usize = 20;

/// Returns the identity of a client of the keepers.
pub fn client(number: usize) -> ClientId {
    ClientId {
        name: node_name(number),
        instance_id: tag(number),
    }
}

/// Returns the name of a lease.
pub fn lease_name(number: usize) -> Result<LeaseName> {
    let name = format!(
        "asker/service-{:04}/zone-{:02}",
        number / ZONES,
        number % ZONES
    );
    Ok(LeaseName::try_from(name)?)
}

/// Measures a single keeper that has granted `size` leases.
pub fn names(size: usize) -> Result<Figures> {
    let config = keeper::Config {
        max_leases: size,
        ..keeper::Config::default()
    };
    let mut keeper = Keeper::open(0, 1, config, Default::default(), SEED, NOW_US);
    keeper.tick(NOW_US);
    let _ = keeper.take_effects();
    let before = resident_bytes(THIS_PROCESS)?;
    for number in 0..size {
        acquire(&mut keeper, number)?;
    }
    let after = resident_bytes(THIS_PROCESS)?;
    let granted = keeper
        .leases(NOW_US)
        .filter(|lease| lease.remaining.is_some())
        .count();
    if granted != size {
        return Err(Error::LeasesNotGranted { granted, size });
    }
    Ok(Figures::from([
        ("bytes".to_owned(), after - before),
        ("scan_seconds".to_owned(), scan_seconds(&keeper)),
    ]))
}

fn acquire(keeper: &mut Keeper, number: usize) -> Result<()> {
    let lease = lease_name(number)?;
    let prepare = Request::Prepare {
        lease: lease.clone(),
        round: ROUND,
        ballot: BALLOT,
        duration: LEASE_LENGTH_US,
        waited: 0,
    };
    keeper.handle_request(NOW_US, &client(number % CLIENTS), prepare);
    let grant = Request::Grant {
        lease,
        round: ROUND,
        token: BALLOT,
        duration: LEASE_LENGTH_US,
        known_positions: Vec::new(),
    };
    keeper.handle_request(NOW_US, &client(number % CLIENTS), grant);
    let _ = keeper.take_effects();
    Ok(())
}

/// Measures the seconds of the two scans for the next deadline per message: one before it and one after it.
fn scan_seconds(keeper: &Keeper) -> f64 {
    mean_seconds(SCANS, |_| {
        black_box(keeper.deadline());
        black_box(keeper.deadline());
    })
}
