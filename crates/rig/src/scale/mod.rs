//! Scale runs: what the control side of a fleet costs each node, measured over growing sizes.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`report`] | the figures of a scale run, as they are written to and read from JSON |
//! | [`settings`] | settings files of any size |

pub mod report;
pub mod settings;
