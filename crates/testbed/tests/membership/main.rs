//! A node that follows the ephemeral entries of servers in a registry, over loopback sockets.
//!
//! | module | what it tests |
//! | --- | --- |
//! | `sessions` | sessions of servers that expire |
//! | `flapping` | a server whose entry comes and goes |
//! | `outages` | a registry that is silent, down, late or behind |
//! | `entries` | invalid entries, and many entries |
//! | `protocol` | a registry that violates the protocol |
//! | `access` | access lists and credentials |
//! | `own_entry` | the entry of the node itself |
//! | `support` | what these tests share |

mod access;
mod entries;
mod flapping;
mod outages;
mod own_entry;
mod protocol;
mod sessions;
mod support;
