//! A node that takes its servers from ephemeral entries in a registry, over loopback sockets.
//!
//! | module | what it tests |
//! | --- | --- |
//! | `sessions` | expiry of the sessions of servers |
//! | `flapping` | a server with a flapping entry |
//! | `outages` | a registry that is silent, down, slow or lagging |
//! | `entries` | invalid entries, and many entries |
//! | `protocol` | a registry that violates the protocol |
//! | `access` | access lists and credentials |
//! | `own_entry` | the entry of the node itself |
//! | `support` | common helpers |

mod access;
mod entries;
mod flapping;
mod outages;
mod own_entry;
mod protocol;
mod sessions;
mod support;
