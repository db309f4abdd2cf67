//! Processor time that a node takes for control.

use super::super::kind::Kind::{Measured, WorkedOut};
use super::super::model::{self, budget, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, with, Of};
use crate::scale::report::Size;

pub fn node_processor(costs: &Costs) -> Vec<Row> {
    let processor = Some(budget::PROCESSOR);
    let restarts = |size: &Size| size.restarts as f64 / model::DAY;
    let updates = |size: &Size| {
        let nodes = size.nodes as f64;
        3.0 * model::node_restarts(size, restarts(size))
            * model::tellings(nodes)
            * model::update(costs, nodes)
    };
    vec![
        Of(
            "reading the whole file at each change",
            "`read_seconds` by length, changes a day",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::read_time(costs, model::settings(costs, size)) * model::changes(size)),
            processor,
            "`crates/config/src/reader.rs`",
        ),
        with(
            Of(
                "at rest, nobody asking: timers of pools, looks at pools",
                "`rest_cores`, `service_rest_cores`; measured to 256 services",
                WorkedOut,
                Unit::Cores,
            )
            .row(
                at(|size| model::at_rest(costs, size)),
                processor,
                "`crates/balancer/src/decide/mod.rs` (`sweep`), `crates/node/src/net/pool.rs`, \
                `crates/node/src/net/shared.rs`",
            ),
            "pools that rest without a timer: as one service",
            costs.rest_cores,
        ),
        Of(
            "entries of a registry read again",
            "all of them each `reread_every`, `entry_read_seconds` each",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::rereads(costs, size).1),
            processor,
            "`crates/registry-client/src/follow.rs` (`tick`)",
        ),
        Of(
            "words of lists looked through, four times a second",
            "`lapse_seconds` for each server",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::lapses(costs, size)),
            processor,
            "`crates/routing/src/shared_servers.rs` (`expire`)",
        ),
        Of(
            "each pool told of each server held for sick, at the worst moment",
            "a full table of verdicts, ten times a second",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::judging(costs, size)),
            processor,
            "`crates/node/src/fleet/mod.rs` (`judge`), \
                `crates/node/src/net/shared.rs`",
        ),
        Of(
            "sorting members while there is news",
            "ten draws a second",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::draws(costs, size.nodes as f64)),
            processor,
            "`crates/cluster/src/fleet` (`draw`)",
        ),
        Of(
            "words about members, the day's mean",
            "members are looked through for each",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(updates),
            processor,
            "the library `foca` below `crates/cluster/src/members.rs`",
        ),
        Of(
            "a choice among 1,000 servers",
            "one core",
            Measured,
            Unit::Seconds,
        )
        .row(
            [costs.choice_seconds_1000; 3],
            Some(budget::ADDED),
            "`crates/balancer/src/decide/selection.rs`",
        ),
        Of(
            "a list of 5,000 servers taken in",
            "one core; requests wait",
            Measured,
            Unit::Seconds,
        )
        .row(
            [costs.join_seconds_5000; 3],
            Some(budget::ADDED),
            "`crates/balancer/src/decide/endpoint_list.rs`, `crates/balancer/src/floored.rs`",
        ),
    ]
}
