//! A machine set aside for control.

use super::super::kind::Kind::{Assumed, WorkedOut};
use super::super::model::{self, budget, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, Of};
use crate::scale::report::Size;

/// Machines of a zone's own among the eighteen; the others keep the record.
const RELAYS: f64 = model::ZONES;

pub fn control(costs: &Costs) -> Vec<Row> {
    let each = |size: &Size| model::nodes_of_a_machine(size, RELAYS);
    let change = costs.change_bytes + 2.0 * costs.packet_overhead;
    let none = "none; worked out for 13 that tell changes on, one in each zone, and 5 \
                that keep the record";
    let link = Some(costs.machine_link);
    vec![
        Of(
            "nodes of one that tells on",
            "nodes, zones",
            WorkedOut,
            Unit::Count,
        )
        .row(at(each), None, none),
        Of(
            "its bytes, the day's mean",
            "changes by themselves, to each node",
            Assumed,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| each(size) * model::changes(size) * change),
            link,
            none,
        ),
        Of(
            "its bytes, 500 changes in a minute",
            "the same",
            Assumed,
            Unit::BytesPerSecond,
        )
        .row(at(|size| each(size) * 500.0 / 60.0 * change), link, none),
        Of(
            "the same by whole files",
            "`settings_bytes` by entries",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| each(size) * 500.0 / 60.0 * model::settings(costs, size)),
            link,
            none,
        ),
        Of(
            "to give its nodes the whole settings at once",
            "links filled",
            WorkedOut,
            Unit::Seconds,
        )
        .row(
            at(|size| {
                model::given_in(
                    costs,
                    model::settings(costs, size),
                    size.nodes as f64,
                    RELAYS,
                )
            }),
            Some(budget::IN_FORCE),
            none,
        ),
        Of(
            "which node has which version",
            "16 bytes a node, all nodes",
            Assumed,
            Unit::Bytes,
        )
        .row(at(|size| 16.0 * size.nodes as f64), None, none),
    ]
}
