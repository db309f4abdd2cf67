//! The addresses where clients connect.

use crate::net::client::ListenerTag;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Binds the address; one that an earlier life left is taken again at once. With `beside`, another process of this node
/// may listen there too, which has to want that as well.
///
/// # Errors
/// Says why it can't be had.
pub fn bind(listen: SocketAddr, backlog: usize, reuse_port: bool) -> Result<TcpListener, String> {
    let bound = || -> io::Result<TcpListener> {
        let domain = socket2::Domain::for_address(listen);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(reuse_port)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
        TcpListener::from_std(socket.into())
    };
    bound().map_err(|e| format!("{listen}: {e}"))
}

/// An address where clients connect.
pub struct Listening {
    pub(super) address: SocketAddr,
    pub(super) tag: Rc<ListenerTag>,
    pub(super) listener: TcpListener,
}

impl Listening {
    /// Binds a listener.
    ///
    /// # Errors
    /// Says why the address can't be had.
    pub fn bind(
        name: &str,
        address: SocketAddr,
        backlog: usize,
        reuse_port: bool,
    ) -> Result<Rc<Self>, String> {
        Ok(Self::of(name, address, bind(address, backlog, reuse_port)?))
    }

    fn of(name: &str, address: SocketAddr, listener: TcpListener) -> Rc<Self> {
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

    /// A listener whose socket another process gave.
    ///
    /// # Errors
    /// If it is none, or listens elsewhere.
    pub fn from_descriptor(
        name: &str,
        address: SocketAddr,
        descriptor: OwnedFd,
    ) -> Result<Rc<Self>, String> {
        let socket = socket2::Socket::from(descriptor);
        let listens = socket.is_listener().map_err(|e| e.to_string())?;
        let at = socket.local_addr().ok().and_then(|a| a.as_socket());
        if !listens || at != Some(address) {
            return Err("what was given is no socket that listens at this address".to_owned());
        }
        socket.set_nonblocking(true).map_err(|e| e.to_string())?;
        let listener = TcpListener::from_std(socket.into()).map_err(|e| e.to_string())?;
        Ok(Self::of(name, address, listener))
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.tag.name
    }
}

impl AsFd for Listening {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}
