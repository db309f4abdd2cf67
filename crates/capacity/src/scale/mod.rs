//! Scale runs: measurements of the cost of the control side for each node of a fleet, over growing sizes.
//!
//! Runs, and the command line that starts them:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`command`] | the command line |
//! | [`single`] | one run at one size; its parts are [`request_rounds`] and [`faults`] |
//! | [`sweep`] | runs along the axes; each fleet in a process of its own, by [`fleet`] |
//! | [`smoke`] | a small fleet in virtual time, with a verdict |
//! | [`lines`] | lines through the runs of a report that has none |
//!
//! Simulated and real nodes, and computations:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`simulated_node`] | the control side of one node, without its socket |
//! | [`drive`] | one thread of simulated nodes on sockets |
//! | [`network`] | a fleet of simulated nodes; what its threads share is [`fleet_state`] |
//! | [`discovery_stub`] | a stub of the discovery services |
//! | [`real`] | real nodes beside the simulated ones; their settings files are in [`real_settings`] |
//! | [`computation`] | single computations of a node, run in processes by [`computation_process`] |
//! | [`settings`] | settings files of any size |
//!
//! Measurement, statistics and reports:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`window`] | a window of measurement; its changes are in [`schedule`] |
//! | [`counters`] | counters of simulated nodes |
//! | [`datagram`], [`sampler`] | kinds of datagrams, and their shares of the traffic |
//! | [`machine`], [`limits`] | resources that the system reports, and limits of a run |
//! | [`report`] | the figures in JSON, as the emulator writes them too |
//! | [`record`] | the JSON file: a report with notes; its printed form is in [`record_text`] |
//! | [`figure`], [`sweep_fit`] | figures of runs, and fits through them |
//! | [`fit`], [`least_squares`] | the statistics |
//! | [`plan`] | the parameters of a run |
//! | [`plot`] | plots of sweeps |
//! | [`error`] | the errors of all modules |

pub mod command;
pub mod computation;
pub mod computation_process;
pub mod counters;
pub mod datagram;
pub mod discovery_stub;
pub mod drive;
pub mod error;
pub mod faults;
pub mod figure;
pub mod fit;
pub mod fleet;
pub mod fleet_state;
pub mod least_squares;
pub mod limits;
pub mod lines;
pub mod machine;
pub mod network;
pub mod plan;
pub mod plot;
pub mod real;
pub mod real_settings;
pub mod record;
pub mod record_text;
pub mod request_rounds;
pub mod sampler;
pub mod schedule;
pub mod settings;
pub mod simulated_node;
pub mod single;
pub mod smoke;
pub mod sweep;
pub mod sweep_fit;
pub mod window;

pub use reelfall_emulator::control::report;
