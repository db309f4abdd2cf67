//! The management address of a node with a settings file. It is served from the start of the process to its end: what a
//! reload says of it holds from the next start.

use super::membership::Membership;
use super::node::Node;
use crate::net::management::{FleetHandler, Management};
use crate::process::file_name_of;
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

/// Binds the address.
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

/// Spawns the tasks that serve the address and apply what is requested there. `folder` is the ledger's, `name` the node's.
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
    let name = file_name_of(name);
    let management = Management::new(shared, folder, &name, is_ready, fleet_handler);
    tokio::task::spawn_local(management.clone().accept(listener));
    tokio::task::spawn_local(management.follow());
    if let Some(frontend) = node.frontend() {
        tokio::task::spawn_local(frontend.close_idle_while_draining());
    }
    Ok(())
}
