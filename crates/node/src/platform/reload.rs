//! Reloads the platform's configuration at each SIGHUP. Spawned by [`crate::platform`].

use super::config::Config;
use crate::net::shared::Shared;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Maximum number of attempts to load the configuration, whose file may be half written.
const MAX_LOAD_ATTEMPTS: u32 = 10;
/// Pause between two attempts to load the configuration.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Loads the configuration again at each SIGHUP, for as long as it is polled. If it can't be loaded, the old one stays in
/// force.
///
/// Only the address of the discovery service changes in a running node; all other changes take effect at the next start.
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
