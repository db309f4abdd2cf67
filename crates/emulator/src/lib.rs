//! Simulates fleets of nodes in virtual time. The nodes run the production code of the decision module, of cluster
//! membership and of configuration distribution; clients, servers, connections and networks are models. There is one clock,
//! one seed and no I/O, so that runs are reproducible.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`plan`] | the plan of a run: fleet, load and disturbances |
//! | [`world`] | executes a plan with the decision module |
//! | [`report`], [`violations`], [`digest`] | the result of a run: counts, violated rules, a digest of all commands |
//! | [`scenario`], [`trials`] | fixed plans of small fleets; plans of large fleets whose parameters are sampled from a seed |
//! | [`server`] | the model of a server; it is not calibrated by measurements of a real one |
//! | [`queue`], [`streams`] | the event queue; random number streams |
//! | [`cluster`], [`inspect`] | cluster membership and gossip, and statistics of the datagrams |
//! | [`control`] | the control plane of thousands of nodes |

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
