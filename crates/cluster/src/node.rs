//! The identity of a node in the fleet.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of the name of a node, a server, a list or a person, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// One incarnation of a node: a process from its start to its end.
///
/// It does not depend on a clock. A process begins with the first number and learns from the others which one its name had
/// last; it goes on from there. The tag tells processes apart that have the same name at the same time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Counts the incarnations of the name; a later one takes precedence over an earlier one.
    pub number: u64,
    /// Random for each process.
    pub tag: u64,
}

/// A node of a fleet, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl Identity for Node {
    type Addr = SocketAddr;

    /// A node that was declared dead rejoins as a later incarnation.
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
