//! What a node sends and receives for control.

use super::super::kind::Kind::{Assumed, Measured, WorkedOut};
use super::super::model::{self, budget, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, with, Of};
use crate::scale::report::{Run, Size};

/// What nodes tell each other with nothing to tell: as measured, at the sizes at which it was.
fn quiet(costs: &Costs, runs: &[(String, Run)]) -> Row {
    let measured = |size: &Size| {
        let run = runs
            .iter()
            .map(|(_, run)| run)
            .find(|run| run.name == "quiet" && run.size.nodes == size.nodes);
        let bytes = |run: &Run| {
            run.per_node
                .traffic
                .iter()
                .map(|t| t.bytes_in + t.bytes_out)
                .sum()
        };
        run.map(bytes)
    };
    let [few, middle, target] = model::sizes();
    let (at_300, at_1500) = (2.0 * costs.gossip_bytes_300, 2.0 * costs.gossip_bytes_1500);
    let at = [
        measured(&few).or(Some(at_300)),
        measured(&middle).or(Some(at_1500)),
        measured(&target),
    ];
    let how = "in and out; nothing is extended: out of a node come 604 bytes at 300 nodes, 602 \
                at 1,000 and 604 at 1,500";
    Of("fleet, quiet", how, Measured, Unit::BytesPerSecond).known(
        at,
        Some(budget::TRAFFIC),
        "`crates/cluster`",
    )
}

pub fn node_messages(costs: &Costs, runs: &[(String, Run)]) -> Vec<Row> {
    let target = Size::TARGET;
    let traffic = Some(budget::TRAFFIC);
    let by_change =
        |size: &Size| model::changes(size) * (costs.change_bytes + 2.0 * costs.packet_overhead);
    let restarts = |size: &Size| size.restarts as f64 / model::DAY;
    vec![
        with(
            Of(
                "settings, a file for each change, the day's mean",
                "`settings_bytes` by entries, changes a day",
                WorkedOut,
                Unit::BytesPerSecond,
            )
            .row(
                at(|size| model::settings(costs, size) * model::changes(size)),
                traffic,
                "none: nothing carries files; `crates/node/src/standalone.rs` reads one \
                from the disk",
            ),
            "each change by itself",
            by_change(&target),
        ),
        with(
            Of(
                "the same at the rate of 500 changes in a minute",
                "the same",
                WorkedOut,
                Unit::BytesPerSecond,
            )
            .row(
                at(|size| model::settings(costs, size) * 500.0 / 60.0),
                traffic,
                "none",
            ),
            "each change by itself",
            500.0 / 60.0 * (costs.change_bytes + 2.0 * costs.packet_overhead),
        ),
        with(
            Of(
                "lists: signs of life of the watches",
                "services, each `beat_every`",
                Assumed,
                Unit::BytesPerSecond,
            )
            .row(
                at(|size| model::beats(costs, size)),
                traffic,
                "`crates/node/src/net/discovery.rs`: a connection for each service",
            ),
            "one connection for all lists",
            (costs.beat_bytes + 2.0 * costs.packet_overhead) / costs.beat_every,
        ),
        Of(
            "lists: changes",
            "restarts a day, three changes each",
            Assumed,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::list_changes(costs, restarts(size))),
            traffic,
            "`crates/node/src/net/discovery.rs`",
        ),
        Of(
            "a registry in place of list services: entries read again",
            "all entries each `reread_every`, `entry_read_bytes` each",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::rereads(costs, size).0),
            traffic,
            "`crates/registry-client/src/follow.rs` (`tick`)",
        ),
        quiet(costs, runs),
        Of(
            "fleet: restarts of nodes, the day's mean",
            "an end, a beginning and a later life, each told as often as the size \
                asks",
            Assumed,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::membership_news(costs, size, restarts(size))),
            traffic,
            "`crates/cluster/src/members.rs`",
        ),
        Of(
            "fleet: news, all datagrams full",
            "three to each tenth of a second, in and out",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            [model::most_news(); 3],
            traffic,
            "`crates/cluster/src/fleet`: nothing bounds bytes a second",
        ),
        Of(
            "leases: a node that waits for one in each service",
            "all keepers once in a lease's length",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::asker_traffic(costs, size)),
            traffic,
            "`crates/lease/src/holder.rs`; not switched on for lists",
        ),
    ]
}
