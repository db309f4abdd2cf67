//! Ids of processes.

use serde::{Deserialize, Serialize};

/// A publisher, a relay or a node. The driver knows its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId(pub u32);
