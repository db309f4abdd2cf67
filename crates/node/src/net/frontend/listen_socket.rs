//! The sockets that accept client connections.

use crate::net::client::ListenerTag;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpListener;

/// An address can't be bound.
#[derive(Debug, Error)]
#[error("{address}: {source}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// The error of the system.
    pub source: io::Error,
}

/// Why a socket that was received from another process can't be used.
#[derive(Debug, Error)]
pub enum InheritError {
    /// It is not a listening socket, or not one of this address.
    #[error("the received descriptor is not a socket that listens at this address")]
    OtherSocket,
    /// A system call failed.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Binds a listening socket. An address can be bound again immediately after an earlier process has closed it. With
/// `reuse_port`, another process of this node may bind the address too, if it also sets this.
///
/// # Errors
/// If the system refuses it.
fn bind(address: SocketAddr, backlog: usize, reuse_port: bool) -> Result<TcpListener, BindError> {
    let try_bind = || -> io::Result<TcpListener> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(reuse_port)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
        TcpListener::from_std(socket.into())
    };
    try_bind().map_err(|source| BindError { address, source })
}

/// A listener for clients.
pub struct ListenSocket {
    pub(super) address: SocketAddr,
    pub(super) tag: Rc<ListenerTag>,
    pub(super) listener: TcpListener,
}

impl ListenSocket {
    /// Binds a listener.
    ///
    /// # Errors
    /// If the system refuses the address.
    pub fn bind(
        name: &str,
        address: SocketAddr,
        backlog: usize,
        reuse_port: bool,
    ) -> Result<Rc<Self>, BindError> {
        let listener = bind(address, backlog, reuse_port)?;
        Ok(Self::new(name, address, listener))
    }

    fn new(name: &str, address: SocketAddr, listener: TcpListener) -> Rc<Self> {
        let tag = Rc::new(ListenerTag {
            id: Cell::new(Some(0)),
            name: name.to_owned(),
        });
        Rc::new(ListenSocket {
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
    ) -> Result<Rc<Self>, InheritError> {
        let socket = socket2::Socket::from(descriptor);
        let is_listener = socket.is_listener()?;
        let bound_address = socket.local_addr().ok().and_then(|a| a.as_socket());
        if !is_listener || bound_address != Some(address) {
            return Err(InheritError::OtherSocket);
        }
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from_std(socket.into())?;
        Ok(Self::new(name, address, listener))
    }

    /// The name that the settings give it.
    pub fn name(&self) -> &str {
        &self.tag.name
    }

    /// The address that it is bound to. If the settings specify port 0, the system has chosen the port.
    pub(super) fn bound_address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or(self.address)
    }
}

impl AsFd for ListenSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}
