//! The addresses where clients connect.

use crate::net::client::ListenerTag;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Binds a listening socket; an address that an earlier process has left is available at once. With `reuse_port`,
/// another process of this node may bind the address too, if it also sets this.
///
/// # Errors
/// Names the address and the error of the system.
fn bind(listen: SocketAddr, backlog: usize, reuse_port: bool) -> Result<TcpListener, String> {
    let try_bind = || -> io::Result<TcpListener> {
        let domain = socket2::Domain::for_address(listen);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(reuse_port)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
        TcpListener::from_std(socket.into())
    };
    try_bind().map_err(|e| format!("{listen}: {e}"))
}

/// A listener for clients.
pub struct Listening {
    pub(super) address: SocketAddr,
    pub(super) tag: Rc<ListenerTag>,
    pub(super) listener: TcpListener,
}

impl Listening {
    /// Binds a listener.
    ///
    /// # Errors
    /// Names the address and the error of the system.
    pub fn bind(
        name: &str,
        address: SocketAddr,
        backlog: usize,
        reuse_port: bool,
    ) -> Result<Rc<Self>, String> {
        let listener = bind(address, backlog, reuse_port)?;
        Ok(Self::new(name, address, listener))
    }

    fn new(name: &str, address: SocketAddr, listener: TcpListener) -> Rc<Self> {
        let tag = Rc::new(ListenerTag {
            id: Cell::new(Some(0)),
            name: name.to_owned(),
        });
        Rc::new(Listening {
            address,
            tag,
            listener,
        })
    }

    /// A listener whose socket was received from another process.
    ///
    /// # Errors
    /// If it is not a listening socket, or not one of this address.
    pub fn from_descriptor(
        name: &str,
        address: SocketAddr,
        descriptor: OwnedFd,
    ) -> Result<Rc<Self>, String> {
        let socket = socket2::Socket::from(descriptor);
        let is_listener = socket.is_listener().map_err(|e| e.to_string())?;
        let bound_address = socket.local_addr().ok().and_then(|a| a.as_socket());
        if !is_listener || bound_address != Some(address) {
            return Err("what was given is no socket that listens at this address".to_owned());
        }
        socket.set_nonblocking(true).map_err(|e| e.to_string())?;
        let listener = TcpListener::from_std(socket.into()).map_err(|e| e.to_string())?;
        Ok(Self::new(name, address, listener))
    }

    /// The name that the settings give it.
    pub fn name(&self) -> &str {
        &self.tag.name
    }

    /// The address that it is bound to, which has a port of the system's choice if the settings ask for that.
    pub(super) fn bound_address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or(self.address)
    }
}

impl AsFd for Listening {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}
