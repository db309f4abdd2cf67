//! The memory of the real program while many clients hold as much of it as they can, over loopback sockets.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `clients` | clients that hold memory in one way each |
//! | `nodes` | nodes of both kinds with little memory, and what they use |
//! | `servers` | servers that write as fast as they are read |
//! | `platform` | a node with one service, with the limits that the platform gives |
//! | `services` | a node with a settings file, with a plain service and a GraphQL service |

mod clients;
mod nodes;
mod platform;
mod servers;
mod services;

use std::sync::{PoisonError, RwLock};

/// Held in common by tests whose clients fill the buffers of many sockets, and alone by one that needs the system to buffer
/// answers: with little memory left for sockets, it buffers less for each of them.
static SOCKET_MEMORY: RwLock<()> = RwLock::new(());

/// Runs a test on a runtime with two threads.
fn block_on(test: impl std::future::Future<Output = ()>) {
    let _shared = SOCKET_MEMORY.read().unwrap_or_else(PoisonError::into_inner);
    run(test);
}

/// Runs a test at a time when no other one of these runs.
fn block_on_alone(test: impl std::future::Future<Output = ()>) {
    let _alone = SOCKET_MEMORY
        .write()
        .unwrap_or_else(PoisonError::into_inner);
    run(test);
}

fn run(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
        .block_on(test);
}
