//! The socket of a connection to a server.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that counts what was written to it, and that the pool can look at beside its connection.
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    pub(super) written: Cell<u64>,
}

impl Socket {
    /// Whether the other side has said nothing. An end that has come is seen here before the connection's own
    /// task has run, so that no request is written to a socket that is known to be closed.
    pub(super) fn is_quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads and writes on a [`Socket`] for the HTTP library.
pub(super) struct SocketIo(pub(super) Rc<Socket>);

impl SocketIo {
    fn wrote(&self, n: io::Result<usize>) -> Poll<io::Result<usize>> {
        if let Ok(n) = n {
            self.0.written.set(self.0.written.get() + n as u64);
        }
        Poll::Ready(n)
    }
}

fn blocked<T>(result: &io::Result<T>) -> bool {
    result
        .as_ref()
        .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let read = self.0.stream.try_read_buf(buf);
            if !blocked(&read) {
                return Poll::Ready(read.map(drop));
            }
        }
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            let wrote = self.0.stream.try_write(data);
            if !blocked(&wrote) {
                return self.wrote(wrote);
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        data: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            let wrote = self.0.stream.try_write_vectored(data);
            if !blocked(&wrote) {
                return self.wrote(wrote);
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
