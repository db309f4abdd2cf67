//! A fleet in virtual time: many nodes with the decision module that real nodes have, over modelled clients, servers,
//! connections and a list of servers that comes late. One clock, one seed, no I/O: the same run each time.
//!
//! [`plan`] says what there is and what happens; [`world`] plays it; [`violations`] records broken rules;
//! [`report`] is the result. [`scenario`] holds the plans that the project measures itself by, [`trials`] those
//! drawn from seeds at the size of the whole fleet; [`cluster`] emulates nodes that know each other, [`control`] the control
//! side of thousands of nodes. The servers are models and no measurements of real machines.

pub mod cluster;
pub mod control;
pub mod digest;
pub mod inspect;
pub mod plan;
pub mod queue;
pub mod report;

pub mod scenario;
pub mod server;
pub mod streams;
pub mod trials;
pub mod violations;
pub mod world;

pub use plan::Plan;
pub use report::Report;
pub use world::play;
