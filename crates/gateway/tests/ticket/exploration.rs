//! Runs of the model checker.

use crate::model::{Disabled, Gateway};
use crate::properties::{EXECUTED_AT_MOST_ONCE, REACHABLE};
use crate::world::FaultLimits;
use stateright::{Checker, Model};
use std::collections::BTreeSet;

const ALL_FAULTS: FaultLimits = FaultLimits {
    duplicates: 1,
    restarts: 1,
    expiries: 1,
};

const NO_FAULTS: FaultLimits = FaultLimits {
    duplicates: 0,
    restarts: 0,
    expiries: 0,
};

/// A lower bound of the states of each model, far below the actual numbers, to show that the checker explores them.
const MIN_STATES: usize = 500;

/// The result of a run of the checker.
struct Exploration {
    states: usize,
    /// The `always` properties with a counterexample, and the `sometimes` properties with an example.
    discoveries: BTreeSet<&'static str>,
}

fn explore(model: Gateway) -> Exploration {
    let checker = model.checker().threads(2).spawn_bfs().join();
    Exploration {
        states: checker.unique_state_count(),
        discoveries: checker.discoveries().into_keys().collect(),
    }
}

fn assert_safe(model: Gateway) {
    let Gateway {
        requests,
        max_records,
        faults,
        ..
    } = model;
    let Exploration {
        states,
        discoveries,
    } = explore(model);
    assert!(
        discoveries == REACHABLE.into(),
        "{requests} requests, {max_records} records, {faults:?}: {discoveries:?}"
    );
    assert!(states > MIN_STATES, "only {states} states");
}

#[test]
fn one_request_is_safe_under_all_faults() {
    for executes_at_origin in [true, false] {
        assert_safe(Gateway {
            requests: 1,
            max_records: 2,
            executes_at_origin,
            disabled: Disabled::Nothing,
            faults: ALL_FAULTS,
        });
    }
}

#[test]
fn two_requests_with_one_record_are_safe_under_each_fault() {
    let faults_of_each_kind = [
        FaultLimits {
            duplicates: 1,
            ..NO_FAULTS
        },
        FaultLimits {
            restarts: 1,
            ..NO_FAULTS
        },
        FaultLimits {
            expiries: 1,
            ..NO_FAULTS
        },
    ];
    for faults in faults_of_each_kind {
        assert_safe(Gateway {
            requests: 2,
            max_records: 1,
            // Rejecting a request at the origin instead would make no difference to the other request.
            executes_at_origin: true,
            disabled: Disabled::Nothing,
            faults,
        });
    }
}

#[test]
fn disabled_safeguard_leads_to_a_second_execution() {
    for disabled in [Disabled::Fence, Disabled::Incarnation, Disabled::Floor] {
        let discoveries = explore(Gateway {
            requests: 1,
            max_records: 2,
            executes_at_origin: true,
            disabled,
            faults: ALL_FAULTS,
        })
        .discoveries;
        assert!(
            discoveries.contains(EXECUTED_AT_MOST_ONCE),
            "{disabled:?}: {discoveries:?}"
        );
    }
}
