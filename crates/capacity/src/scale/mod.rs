//! Scale runs: what the control side of a fleet costs each node, measured over growing sizes.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`report`] | the figures of a scale run, as they are written to and read from JSON: the emulator's, which writes them too |
//! | [`record`] | the JSON file: the report with its notes |
//! | [`settings`] | settings files of any size |
//! | [`hollow`] | the control side of one node: all that uses the fleet's own package |
//! | [`shared`] | what the threads of hollow nodes share: places, zones, cuts |
//! | [`network`] | many hollow nodes on sockets, and faults between them |
//! | [`drive`] | one thread of them |
//! | [`counters`] | what they count, and kinds of datagrams |
//! | [`lists`] | a stand-in for the services that tell nodes their servers |
//! | [`window`] | changes at a rate, and what they cost in a window |
//! | [`faults`] | the worst moments |
//! | [`real`] | real nodes beside the hollow ones |
//! | [`computation`] | what reading settings and lists costs |
//! | [`limits`] | what fits on a machine, and when a run ends |
//! | [`machine`] | what the system tells of processor time and memory |
//! | [`single`] | one run at one size |
//! | [`fleet`] | one fleet of a sweep, in a process of its own |
//! | [`sweep`] | runs along the axes, and lines through them |
//! | [`fit`] | least squares, errors and bends |
//! | [`lines`] | lines through the runs of a report that has none |
//! | [`plot`] | plots of sweeps |
//! | [`smoke`] | the short form, in virtual time |
//! | [`command`] | the command line |

pub mod command;
pub mod computation;
pub mod counters;
pub mod drive;
pub mod faults;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod limits;
pub mod lines;
pub mod lists;
pub mod machine;
pub mod network;
pub mod plot;
pub mod real;
pub mod record;
pub mod settings;
pub mod shared;
pub mod single;
pub mod smoke;
pub mod sweep;
pub mod window;

pub use reelfall_emulator::control::report;
