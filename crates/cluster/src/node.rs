//! The identity of a node in the fleet.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of the name of a node, a server, an endpoint list or an operator, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// One incarnation of a node.
///
/// The number does not depend on a clock: a process starts with 1, and when it learns from the others which number its
/// name had last, it continues with the next one. The tag distinguishes processes that have the same name at the same
/// time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Counts the incarnations of a name; a greater number takes precedence.
    pub number: u64,
    /// Chosen at random when the process starts, and kept until it ends.
    pub tag: u64,
}

/// A node of a fleet, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Node {
    /// Unique in the fleet, and kept over restarts.
    pub name: String,
    /// Where the others send their datagrams for this node.
    pub address: SocketAddr,
    /// Tells this process from earlier ones with the same name.
    pub incarnation: Incarnation,
}

impl Identity for Node {
    type Addr = SocketAddr;

    /// The identity with which a node rejoins after it was declared dead.
    fn renew(&self) -> Option<Self> {
        let number = self.incarnation.number.checked_add(1)?;
        Some(Node {
            incarnation: Incarnation {
                number,
                ..self.incarnation
            },
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
