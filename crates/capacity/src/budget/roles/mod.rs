//! What each role needs at three sizes.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`node_state`] | what a node holds |
//! | [`node_messages`] | what it sends and receives |
//! | [`node_processor`] | its processor time |
//! | [`node_connections`] | its connections |
//! | [`control`] | a machine set aside for control |
//! | [`keeper`] | a keeper of leases |
//! | [`lists`] | a service that tells lists of servers |
//! | [`server`] | a server |
//! | [`operator`] | an operator, by hand |
//! | [`elsewhere`] | where else something could be held |
//! | [`row`] | rows of these, made short |

mod control;
mod elsewhere;
mod keeper;
mod lists;
mod node_connections;
mod node_messages;
mod node_processor;
mod node_state;
mod operator;
mod row;
mod server;

use super::model::Costs;
use super::table::rows;
use crate::scale::report::Run;
use std::collections::BTreeMap;

/// The tables of all roles, by their names.
pub fn tables(costs: &Costs, runs: &[(String, Run)]) -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("node-state", rows(&node_state::node_state(costs))),
        (
            "node-messages",
            rows(&node_messages::node_messages(costs, runs)),
        ),
        (
            "node-processor",
            rows(&node_processor::node_processor(costs)),
        ),
        (
            "node-connections",
            rows(&node_connections::node_connections(costs)),
        ),
        ("control", rows(&control::control(costs))),
        ("keeper", rows(&keeper::keeper(costs))),
        ("lists", rows(&lists::list_service(costs))),
        ("server", rows(&server::server(costs))),
        ("operator", rows(&operator::operator(costs))),
        ("elsewhere", elsewhere::elsewhere(costs)),
    ])
}
