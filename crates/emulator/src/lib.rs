//! A fleet in virtual time: many nodes with the decision module of real nodes, over modelled clients, servers and
//! connections, with an endpoint list that is delayed. There is one clock, one seed and no I/O, so that a run can be
//! repeated exactly.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`plan`] | the plan of a run: what there is, and what happens |
//! | [`world`] | executes a plan, for the decision module |
//! | [`report`], [`violations`], [`digest`] | the result of a run: counts, broken rules, all commands |
//! | [`scenario`], [`trials`] | plans of small fleets; plans sampled from seeds at the size of a whole fleet |
//! | [`server`] | the model of a server; no measurement of a real one |
//! | [`queue`], [`streams`] | the event queue; random numbers |
//! | [`cluster`], [`inspect`] | nodes that know each other, and their datagrams |
//! | [`control`] | the control side of thousands of nodes |

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
pub use world::run_plan;
