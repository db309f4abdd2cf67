//! A soak: many days drawn from seeds, each judged by what clients and servers saw. The command `soak` and tests run it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`plan`] | what happens on a day of endings, drawn from its seed |
//! | [`endings`] | playing such a day |
//! | [`fleet_day`] | a day of a fleet, with servers that pause and respond again |
//! | `ejections` | the judgement of ejections on such a day |
//! | [`upgrade_plan`] | what happens on a day of upgrades, drawn from its seed |
//! | [`upgrades`] | playing such a day |
//! | [`process`] | the process of the node |
//! | [`client`] | the clients, which use each connection until it ends |
//! | `exchange` | requests and responses on one connection |
//! | [`record`] | what clients and servers saw |
//! | [`judge`] | the findings |
//! | [`stalls`] | delays of the machine |
//! | [`sabotage`] | violations that are put in on purpose |
//! | [`report`] | lines and tables |

pub mod client;
mod ejections;
pub mod endings;
mod exchange;
pub mod fleet_day;
pub mod judge;
pub mod plan;
pub mod process;
pub mod record;
pub mod report;
pub mod sabotage;
pub mod stalls;
pub mod upgrade_plan;
pub mod upgrades;
