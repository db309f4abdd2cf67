//! Model checking of three keepers, two clients and one lease: explores all orders of messages, keeper restarts, pauses
//! of clients and clock drifts. Keepers and clients are the production code; the network, the disks and the resource are
//! models.

mod actions;
mod config;
mod delivery;
mod properties;
mod state;

use config::{Exploration, RemovedPart, KEEPERS, NOMINAL_RATE_EIGHTHS};
use properties::{LEASE_PASSES_ON, NO_LOWER_TOKEN, NO_SHARED_TOKEN, ONE_HOLDER};
use stateright::{Checker, Model};

/// An exploration with more states, repeated ones included, fails, since it would not be exhaustive.
const MAX_STATES: usize = 2_000_000;
/// An exploration with fewer states fails, since it covers too little to show anything.
const MIN_STATES: usize = 1000;

struct Findings {
    /// Names of the properties that have an example (of those that must be reachable) or a counterexample (of the
    /// others).
    properties: Vec<&'static str>,
    states: usize,
}

fn explore(model: Exploration) -> Findings {
    let checker = model
        .checker()
        .threads(2)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    // The exploration was exhaustive if it did not reach the bound.
    assert!(
        checker.state_count() < MAX_STATES,
        "the exploration reached the bound on states"
    );
    Findings {
        properties: checker.discoveries().into_keys().collect(),
        states: checker.unique_state_count(),
    }
}

/// Asserts that no property is violated in any state, and that the lease passes from one client to the other.
fn assert_safe(model: Exploration) {
    let findings = explore(model);
    assert_eq!(
        findings.properties,
        [LEASE_PASSES_ON],
        "in {} states",
        findings.states
    );
    assert!(
        findings.states > MIN_STATES,
        "only {} states",
        findings.states
    );
}

/// Asserts that this property is violated without a part of the protocol.
fn assert_violates(model: Exploration, property: &str) {
    assert_ne!(model.removed, RemovedPart::None);
    let findings = explore(model);
    assert!(
        findings.properties.contains(&property),
        "{:?} in {} states",
        findings.properties,
        findings.states
    );
}

fn with_delayed_writes(removed: RemovedPart) -> Exploration {
    Exploration {
        removed,
        has_writes: true,
        max_late_responses: 0,
        ..Exploration::default()
    }
}

fn with_clock_drift(removed: RemovedPart) -> Exploration {
    Exploration {
        removed,
        keeper_clock_eighths: NOMINAL_RATE_EIGHTHS + 1,
        client_clock_eighths: NOMINAL_RATE_EIGHTHS - 1,
        lease_duration: 8,
        end: 9,
        max_late_responses: 0,
        ..Exploration::default()
    }
}

fn with_keeper_restarts(removed: RemovedPart) -> Exploration {
    Exploration {
        removed,
        max_restarts: 1,
        max_acquisitions: [1, 1],
        max_late_responses: 0,
        lease_duration: 2,
        end: 3,
        ..Exploration::default()
    }
}

#[test]
fn delayed_write_with_an_older_token_is_rejected() {
    assert_safe(with_delayed_writes(RemovedPart::None));
    assert_violates(with_delayed_writes(RemovedPart::Fence), NO_LOWER_TOKEN);
}

#[test]
fn lease_expires_at_the_holder_before_the_keepers_despite_clock_drift() {
    assert_safe(with_clock_drift(RemovedPart::None));
    assert_violates(with_clock_drift(RemovedPart::DriftMargin), ONE_HOLDER);
}

#[test]
fn restarted_keepers_keep_their_promises_and_grants() {
    assert_safe(with_keeper_restarts(RemovedPart::None));
    assert_violates(with_keeper_restarts(RemovedPart::Disk), NO_SHARED_TOKEN);
}

#[test]
fn any_two_majorities_share_a_keeper() {
    assert_safe(Exploration {
        max_renewals: 1,
        end: 4,
        max_late_responses: 0,
        ..Exploration::default()
    });
    assert_violates(
        Exploration {
            removed: RemovedPart::Majority,
            ..Exploration::default()
        },
        ONE_HOLDER,
    );
}

#[test]
fn late_or_duplicated_messages_are_safe() {
    assert_safe(Exploration {
        end: 4,
        ..Exploration::default()
    });
    assert_safe(Exploration {
        max_duplicates: 1,
        max_late_responses: 0,
        end: 4,
        ..Exploration::default()
    });
}

#[test]
fn concurrent_acquisitions_are_safe() {
    assert_safe(Exploration {
        is_held_at_start: false,
        max_acquisitions: [1, 1],
        reachable_keepers: [[true; KEEPERS]; 2],
        end: 1,
        max_late_responses: 0,
        ..Exploration::default()
    });
}
