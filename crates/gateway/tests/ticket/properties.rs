//! Properties that hold in every state, and properties that hold in some states.

use crate::model::Gateway;
use crate::world::{Outcome, Request, World};
use stateright::Property;

/// Holds in every state, unless a safeguard is disabled.
pub const EXECUTED_AT_MOST_ONCE: &str = "a request is executed at most once";

/// Properties that hold in some states, which show that the exploration reaches all kinds of outcomes.
pub const REACHABLE: [&str; 3] = [ALL_ANSWERED_BY_PEER, SETTLED_BY_FENCE, EXECUTION_UNKNOWN];

const ALL_ANSWERED_BY_PEER: &str = "the peer answers all requests";
const SETTLED_BY_FENCE: &str = "after a fence the origin executes or rejects a request";
const EXECUTION_UNKNOWN: &str = "it is unknown whether a request was executed";

fn all_requests(world: &World, condition: impl Fn(&Request) -> bool) -> bool {
    world.requests.iter().all(condition)
}

fn executed_at_most_once(_: &Gateway, world: &World) -> bool {
    all_requests(world, |request| {
        request.executions_at_peer + request.executions_at_origin <= 1
    })
}

fn at_most_one_outcome(_: &Gateway, world: &World) -> bool {
    all_requests(world, |request| request.outcomes.len() <= 1)
}

fn rejected_was_not_executed(_: &Gateway, world: &World) -> bool {
    all_requests(world, |request| {
        request.outcomes != [Outcome::Rejected] || request.executions_at_peer == 0
    })
}

fn answered_was_executed(_: &Gateway, world: &World) -> bool {
    all_requests(world, |request| {
        request.outcomes != [Outcome::Answered] || request.executions_at_peer == 1
    })
}

fn ended_has_outcome(_: &Gateway, world: &World) -> bool {
    all_requests(world, |request| {
        request.forwarded.is_ended() == (request.outcomes.len() == 1)
    })
}

fn records_are_limited(gateway: &Gateway, world: &World) -> bool {
    world.store.record_count() <= gateway.max_records
}

fn all_answered_by_peer(_: &Gateway, world: &World) -> bool {
    all_requests(world, |request| request.outcomes == [Outcome::Answered])
}

fn settled_by_fence(_: &Gateway, world: &World) -> bool {
    world.requests.iter().any(|request| {
        matches!(
            request.outcomes[..],
            [Outcome::ExecutedAtOrigin | Outcome::Rejected]
        )
    })
}

fn execution_unknown(_: &Gateway, world: &World) -> bool {
    world
        .requests
        .iter()
        .any(|request| request.outcomes == [Outcome::MayHaveRun])
}

/// All properties that the checker examines.
pub fn all() -> Vec<Property<Gateway>> {
    vec![
        Property::always(EXECUTED_AT_MOST_ONCE, executed_at_most_once),
        Property::always("a request has at most one outcome", at_most_one_outcome),
        Property::always(
            "a rejected request was not executed",
            rejected_was_not_executed,
        ),
        Property::always("an answered request was executed", answered_was_executed),
        Property::always("a request that has ended has an outcome", ended_has_outcome),
        Property::always("the number of records is limited", records_are_limited),
        Property::sometimes(ALL_ANSWERED_BY_PEER, all_answered_by_peer),
        Property::sometimes(SETTLED_BY_FENCE, settled_by_fence),
        Property::sometimes(EXECUTION_UNKNOWN, execution_unknown),
    ]
}
