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

/// Runs a test on a runtime with two threads.
fn block_on(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
        .block_on(test);
}
