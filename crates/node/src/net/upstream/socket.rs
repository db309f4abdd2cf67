//! The socket of a connection to a server, used by the HTTP library and inspected by the connection pool.

use crate::net::memory::{MemoryAccount, Reservation};
use crate::net::MAX_RESPONSE_HEAD_BYTES;
use bytes::BufMut;
use std::cell::{Cell, RefCell};
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

/// How much is read at once while the head of an answer is awaited, in bytes.
const HEAD_READ_BYTES: usize = 8 << 10;
/// How much may be read before the head of an answer is complete without a reservation of memory, in bytes: the head and the
/// two reads behind it that the HTTP library may make before this is notified that the head is complete.
const MAX_UNRESERVED_HEAD_BYTES: usize = 3 * HEAD_READ_BYTES;
/// Reserved for a larger head, in bytes: the library's buffer, which grows to twice its size, and the parsed fields.
const LARGE_HEAD_BYTES: usize = 5 * MAX_RESPONSE_HEAD_BYTES / 2;

/// A socket that counts the bytes written to it and can be inspected while the HTTP library uses it.
pub(super) struct Socket {
    stream: TcpStream,
    bytes_written: Cell<u64>,
    /// How much is read at once, in bytes. The HTTP library's buffer grows while reads fill it.
    read_bytes: usize,
    /// The bytes that were read since the head of an answer is awaited; `None` while none is.
    head_bytes: Cell<Option<usize>>,
    account: Rc<MemoryAccount>,
    large_head_memory: RefCell<Option<Reservation>>,
}

impl Socket {
    /// Wraps a connected stream, of which `read_bytes` are read at once.
    pub(super) fn new(stream: TcpStream, read_bytes: usize, account: Rc<MemoryAccount>) -> Self {
        Socket {
            stream,
            bytes_written: Cell::new(0),
            read_bytes,
            head_bytes: Cell::new(None),
            account,
            large_head_memory: RefCell::default(),
        }
    }

    /// Records that the head of an answer is awaited, or that it was received.
    pub(super) fn set_awaiting_head(&self, is_awaiting: bool) {
        self.head_bytes.set(is_awaiting.then_some(0));
    }

    /// Whether a large head was received, for which the buffers of the connection have grown.
    pub(super) fn has_large_buffers(&self) -> bool {
        self.large_head_memory.borrow().is_some()
    }

    /// How much may be read at once now, in bytes. Reads of less than the library's buffer do not let it grow.
    fn max_read_bytes(&self) -> usize {
        match self.head_bytes.get() {
            Some(_) => HEAD_READ_BYTES - 1,
            None => self.read_bytes - 1,
        }
    }

    /// Counts what was read of a head, and reserves memory for a large one.
    ///
    /// # Errors
    /// If there is no memory for it.
    fn record_read(&self, length: usize) -> io::Result<()> {
        let Some(head_bytes) = self.head_bytes.get() else {
            return Ok(());
        };
        let head_bytes = head_bytes + length;
        self.head_bytes.set(Some(head_bytes));
        let mut memory = self.large_head_memory.borrow_mut();
        if head_bytes > MAX_UNRESERVED_HEAD_BYTES && memory.is_none() {
            *memory = self.account.try_reserve(LARGE_HEAD_BYTES);
            if memory.is_none() {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
        }
        Ok(())
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
            ..
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
        let socket = &*self.socket;
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            let read = socket
                .stream
                .try_read_buf(&mut (&mut *buf).limit(socket.max_read_bytes()));
            if !would_block(&read) {
                return Poll::Ready(read.and_then(|length| socket.record_read(length)));
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
