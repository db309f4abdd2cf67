//! Computes the cost of distribution by full snapshots at the target size and at the size of a run, by formulas.

use super::target::{size, CHANGES_PER_DAY};
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::baseline::{
    ApplyTime, ConfigurationSize, FullSnapshots, SECONDS_PER_DAY,
};
use reelfall_emulator::control::invariants::CONTROL_BANDWIDTH;
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use reelfall_emulator::control::sizes::Sizes;
use reelfall_emulator::control::times::Times;

/// Interval at which a node polls for whole endpoint lists, in seconds.
const LIST_INTERVAL: f64 = 60.0;

/// A size and rate of changes for which the cost is computed.
struct Case {
    size_name: &'static str,
    size: ConfigurationSize,
    rate_name: &'static str,
    /// Changes per second, as a multiple of the day's rate.
    rate_factor: f64,
}

/// Prints the costs of full snapshots and returns them as runs.
pub fn runs(sizes: Sizes) -> Vec<Run> {
    println!("full snapshots, by formulas:");
    cases(sizes).iter().map(|case| run(case, sizes)).collect()
}

fn cases(sizes: Sizes) -> Vec<Case> {
    let emulated = ConfigurationSize {
        servers: 0,
        services: sizes.services as usize,
        routes: 0,
        tenants: 0,
    };
    let mut cases = Vec::new();
    for (size_name, size) in [
        ("target", ConfigurationSize::TARGET),
        ("services alone", emulated),
    ] {
        for (rate_name, rate_factor) in [("day's rate", 1.0), ("ten times the day's rate", 10.0)] {
            cases.push(Case {
                size_name,
                size,
                rate_name,
                rate_factor,
            });
        }
    }
    cases
}

fn run(case: &Case, sizes: Sizes) -> Run {
    let Case {
        size_name,
        rate_name,
        rate_factor,
        ..
    } = *case;
    let snapshots = FullSnapshots {
        size: case.size,
        changes_per_second: rate_factor * CHANGES_PER_DAY as f64 / SECONDS_PER_DAY,
        list_interval: LIST_INTERVAL,
        bandwidth: CONTROL_BANDWIDTH,
    };
    let without_lists = FullSnapshots {
        list_interval: f64::INFINITY,
        ..snapshots
    };
    println!(
        "    {size_name}, {rate_name}: {:.1} MB per change, {:.0} B/s per node; apply time {}, with coalesced changes and no endpoint lists {}",
        snapshots.bytes_per_change() / 1e6,
        snapshots.bandwidth_demand(),
        describe(snapshots.apply_time()),
        describe(without_lists.apply_time_coalesced()),
    );
    let usage = Usage {
        bytes_in: without_lists.bandwidth_demand(),
        ..Usage::default()
    };
    Run {
        name: format!("whole copies of settings, newest alone: {size_name}, {rate_name}"),
        source: Source::Computation,
        size: report_size(case.size, sizes),
        seconds: 0.0,
        per_node: PerNode::of("configuration", &usage, None),
        in_force: times(without_lists.apply_time_coalesced()),
        requests: None,
        read_bytes: None,
        played: None,
    }
}

fn report_size(configuration: ConfigurationSize, sizes: Sizes) -> Size {
    let ConfigurationSize {
        servers,
        services,
        routes,
        tenants,
    } = configuration;
    Size {
        servers,
        services,
        routes,
        tenants,
        ..size(sizes)
    }
}

fn describe(apply_time: ApplyTime) -> String {
    match apply_time {
        ApplyTime::Within { min, max } => format!("Within {{ least: {min:?}, most: {max:?} }}"),
        ApplyTime::Never => "Never".to_owned(),
    }
}

fn times(apply_time: ApplyTime) -> Option<Times> {
    match apply_time {
        ApplyTime::Within { min, max } => Some(Times {
            p50: (min + max) / 2.0,
            p99: max,
            last: max,
        }),
        ApplyTime::Never => None,
    }
}
