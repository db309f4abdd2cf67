//! Requirements of each role at the three sizes of the page, and their tables.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`node_state`] | the state of a node |
//! | [`node_messages`] | control messages of a node |
//! | [`node_processor`] | processor time of a node |
//! | [`node_connections`] | connections of a node |
//! | [`control_machine`] | a machine dedicated to control |
//! | [`lease_keeper`] | a lease keeper |
//! | [`list_service`] | a service that serves endpoint lists |
//! | [`server`] | a server |
//! | [`operator`] | manual operations |
//! | [`alternatives`] | alternatives for storing a node's state |

mod alternatives;
mod control_machine;
mod lease_keeper;
mod list_service;
mod node_connections;
mod node_messages;
mod node_processor;
mod node_state;
mod operator;
mod server;

use super::measurements::MeasuredRun;
use super::model::costs::Costs;
use super::requirement::{table, Requirement};
use super::Tables;

/// Renders the tables of all roles.
pub fn tables(costs: &Costs, runs: &[MeasuredRun]) -> Tables {
    let requirements: [(&str, Vec<Requirement>); 9] = [
        ("node-state", node_state::requirements(costs)),
        ("node-messages", node_messages::requirements(costs, runs)),
        ("node-processor", node_processor::requirements(costs)),
        ("node-connections", node_connections::requirements(costs)),
        ("control", control_machine::requirements(costs)),
        ("keeper", lease_keeper::requirements(costs)),
        ("lists", list_service::requirements(costs)),
        ("server", server::requirements(costs)),
        ("operator", operator::requirements(costs)),
    ];
    let mut tables: Tables = requirements
        .map(|(name, requirements)| (name, table(&requirements)))
        .into();
    tables.insert("elsewhere", alternatives::table(costs));
    tables
}
