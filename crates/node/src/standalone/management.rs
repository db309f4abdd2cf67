//! The management address of a node with a settings file. It is bound once, as the process starts: a change in the
//! settings file takes effect at the next start.

use super::membership::Membership;
use super::node::Node;
use crate::net::management::{FleetHandler, Management};
use crate::process::sanitize_file_name;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use thiserror::Error;

/// Why the management address can't be served.
#[derive(Debug, Error)]
pub enum ManagementError {
    /// The address can't be bound.
    #[error("management address {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The runtime can't use the listener.
    #[error("{0}")]
    Listener(#[source] io::Error),
}

/// Binds the management address, without serving it yet.
///
/// # Errors
/// If it can't be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener, ManagementError> {
    let bind = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    bind().map_err(|source| ManagementError::Bind { address, source })
}

/// Spawns the tasks that serve the address and apply the requests. `folder` is the ledger's, `name` the node's.
///
/// # Errors
/// If the runtime can't use the listener.
pub fn spawn(
    node: &Rc<Node>,
    folder: Option<&Path>,
    name: &str,
    listener: TcpListener,
    membership: Option<Rc<Membership>>,
) -> Result<(), ManagementError> {
    let listener =
        tokio::net::TcpListener::from_std(listener).map_err(ManagementError::Listener)?;
    let serving = node.clone();
    let is_ready = Box::new(move || serving.services.are_ready());
    let fleet_handler = membership.map(|membership| {
        Box::new(move |request: &_| membership.handle_request(request)) as FleetHandler
    });
    let shared = node.shared.clone();
    let name = sanitize_file_name(name);
    let management = Management::new(shared, folder, &name, is_ready, fleet_handler);
    tokio::task::spawn_local(management.clone().accept(listener));
    tokio::task::spawn_local(management.follow());
    if let Some(frontend) = node.frontend() {
        tokio::task::spawn_local(frontend.close_idle_while_draining());
    }
    Ok(())
}
