//! Ids of processes.

use serde::{Deserialize, Serialize};

/// Identifies a publisher, a relay or a node. The driver knows the address of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId(pub u32);
