//! Randomized soak runs, each generated from a seed and checked against the rules that clients and servers can observe.
//! The command `soak` and tests run them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`plan`] | the plan of a run of kind `endings` (shutdown of a node under load), generated from a seed |
//! | [`endings`] | execution of such a plan |
//! | [`fleet_run`] | runs of kind `fleet`: servers that pause and respond again |
//! | `ejections` | checks of the ejections in a fleet run |
//! | [`upgrade_plan`] | the plan of a run of kind `upgrade`, generated from a seed |
//! | [`upgrades`] | execution of such a plan |
//! | [`answers_plan`] | the plan of a run of kind `answers` (slow, stopping and broken answers), generated from a seed |
//! | [`answers`] | execution of such a plan |
//! | [`answers_check`] | the checks of such a run |
//! | [`process`] | the process of the node |
//! | [`client`] | the clients, which use each connection until it ends |
//! | `exchange` | requests and responses on one connection |
//! | [`record`] | the events that clients and servers observed |
//! | [`checker`] | the rules, and the findings about their violations |
//! | [`stalls`] | scheduling stalls of the machine |
//! | [`injected_violation`] | rule violations that tests inject to show that the checker finds them |
//! | [`report`] | output lines and tables |

pub mod answers;
pub mod answers_check;
pub mod answers_plan;
pub mod checker;
pub mod client;
mod ejections;
pub mod endings;
mod exchange;
pub mod fleet_run;
pub mod injected_violation;
pub mod plan;
pub mod process;
pub mod record;
pub mod report;
pub mod stalls;
pub mod upgrade_plan;
pub mod upgrades;
