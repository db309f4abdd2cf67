//! The components of the protocol by themselves: coverage, change log, history, links, budgets, reports and stored
//! records.

mod changes;
mod coverage;
mod link;
mod log;
mod reports;
mod restore;
