//! The socket of a connection to a server, used by the HTTP library and inspected by the connection pool.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the system's send buffer for a streamed body, in bytes. A larger one would hide that a slow server has stopped
/// reading.
const STREAM_SEND_BUFFER: usize = 128 << 10;

/// A socket that counts the bytes written to it and can be inspected while the HTTP library uses it.
pub(super) struct Socket {
    stream: TcpStream,
    bytes_written: Cell<u64>,
}

impl Socket {
    /// Wraps a connected stream.
    pub(super) fn new(stream: TcpStream) -> Self {
        Socket {
            stream,
            bytes_written: Cell::new(0),
        }
    }

    /// Bytes that the system has accepted so far.
    pub(super) fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Reduces the system's send buffer to [`STREAM_SEND_BUFFER`].
    pub(super) fn limit_send_buffer(&self) {
        // If this fails, a slow server is only detected later.
        let _ = socket2::SockRef::from(&self.stream).set_send_buffer_size(STREAM_SEND_BUFFER);
    }

    /// Shuts down both directions.
    pub(super) fn shutdown(&self) {
        let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
    }

    /// Whether the socket is open and has no unread data. This detects a close by the server before the connection's
    /// own task has run, so that no request is written to a closed connection.
    pub(super) fn is_quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads and writes on a [`Socket`] for the HTTP library.
pub(super) struct SocketIo {
    socket: Rc<Socket>,
}

impl SocketIo {
    pub(super) fn new(socket: Rc<Socket>) -> Self {
        SocketIo { socket }
    }

    /// Writes once the socket is writable, waits again if the write would block, and counts the written bytes.
    fn poll_counted_write(
        &self,
        cx: &mut Context,
        try_write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let Socket {
            stream,
            bytes_written,
        } = &*self.socket;
        loop {
            ready!(stream.poll_write_ready(cx))?;
            let written = try_write(stream);
            if would_block(&written) {
                continue;
            }
            if let Ok(length) = written {
                bytes_written.set(bytes_written.get() + length as u64);
            }
            return Poll::Ready(written);
        }
    }
}

fn would_block<T>(result: &io::Result<T>) -> bool {
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
            ready!(self.socket.stream.poll_read_ready(cx))?;
            let read = self.socket.stream.try_read_buf(buf);
            if !would_block(&read) {
                return Poll::Ready(read.map(drop));
            }
        }
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_counted_write(cx, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        data: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_counted_write(cx, |stream| stream.try_write_vectored(data))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.socket.stream).shutdown(std::net::Shutdown::Write))
    }
}
