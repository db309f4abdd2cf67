//! What each role requires at three sizes. The page's tables of roles come from here.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`node_state`] | the state of a node |
//! | [`node_messages`] | what it sends and receives |
//! | [`node_processor`] | its processor time |
//! | [`node_connections`] | its connections |
//! | [`control_machine`] | a machine set aside for control |
//! | [`lease_keeper`] | a keeper of leases |
//! | [`list_service`] | a service that serves endpoint lists |
//! | [`server`] | a server |
//! | [`operator`] | manual operations |
//! | [`alternatives`] | where else a node's state could be stored |

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

/// The tables of all roles, by their names.
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
