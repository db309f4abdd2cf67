//! Reloads the platform's configuration at each SIGHUP. Spawned by [`crate::platform`].

use super::config::Config;
use crate::net::shared::Shared;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Maximum number of attempts to read a configuration, which may be half written.
const MAX_LOAD_ATTEMPTS: u32 = 10;
/// Pause between two attempts.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the configuration again at each SIGHUP, for as long as it is polled. If it can't be read, the node keeps the one
/// that it has.
///
/// Only the address of the discovery service can change in a running node; everything else holds from the next start.
pub async fn run(
    shared: Rc<Shared>,
    mut hangup: Signal,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        for _ in 0..MAX_LOAD_ATTEMPTS {
            match Config::load() {
                Ok(config) => {
                    discovery_address.send_if_modified(|address| {
                        std::mem::replace(address, config.discovery) != config.discovery
                    });
                    break;
                }
                Err(error) => shared.log.write_line(format_args!(
                    "reload failed, the old configuration stays in force: {error}"
                )),
            }
            tokio::time::sleep(LOAD_RETRY_INTERVAL).await;
        }
    }
}
