//! The stream of frames and descriptors between two processes of one node. Used by [`super::Takeover`] and
//! [`super::HandoverSocket`].

use bytes::{Buf, BytesMut};
use reelfall_admin::takeover::{DecodedFrame, Frame, MAX_DESCRIPTORS};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::time::Duration;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// How long the peer may take to send or receive one frame.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes of one read.
const READ_LEN: usize = 16 << 10;
/// Maximum number of descriptors that may be received ahead of their frames.
const MAX_PENDING_DESCRIPTORS: usize = 2 * MAX_DESCRIPTORS;

/// Why an exchange ends.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The stream failed, ended or timed out.
    #[error(transparent)]
    Stream(#[from] io::Error),
    /// A frame can't be encoded or decoded.
    #[error(transparent)]
    Frame(#[from] serde_json::Error),
    /// The peer belongs to another user, who could take over the sockets or pass others in.
    #[error("the peer process belongs to another user")]
    ForeignUser,
    /// A frame came without its descriptors.
    #[error("received a frame without its descriptors")]
    MissingDescriptors,
    /// Descriptors came without a frame.
    #[error("received descriptors without a frame")]
    MissingFrame,
    /// The predecessor does not allow a takeover at present.
    #[error("the predecessor refused the takeover")]
    Refused,
    /// This process is about to exit and accepts nothing any more, and the successor does not serve yet.
    #[error("this process accepts no more connections")]
    AcceptingEnded,
    /// The peer sent a frame that is not allowed in the current state.
    #[error("the peer violated the protocol")]
    ProtocolViolation,
}

/// A frame with the descriptors that came with it.
pub struct ReceivedFrame {
    /// The frame.
    pub frame: Frame,
    /// Its descriptors.
    pub descriptors: Vec<OwnedFd>,
}

/// The connection between two processes of one node.
pub struct Exchange {
    stream: UnixStream,
    buffer: BytesMut,
    descriptors: VecDeque<OwnedFd>,
}

impl Exchange {
    /// An exchange with the peer of a stream.
    ///
    /// # Errors
    /// If the peer belongs to another user.
    pub fn new(stream: UnixStream) -> Result<Exchange, ExchangeError> {
        if stream.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
            return Err(ExchangeError::ForeignUser);
        }
        Ok(Exchange {
            stream,
            buffer: BytesMut::new(),
            descriptors: VecDeque::new(),
        })
    }

    /// The stream, without anything that was received on it behind the last frame.
    ///
    /// # Errors
    /// If the runtime can't give it up.
    pub fn into_stream(self) -> io::Result<std::os::unix::net::UnixStream> {
        self.stream.into_std()
    }

    /// Sends a frame with its descriptors.
    ///
    /// # Errors
    /// If the frame is too large, or the peer does not receive it in time.
    pub async fn send(
        &self,
        frame: &Frame,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), ExchangeError> {
        let bytes = frame.encode()?;
        let write = timeout(FRAME_TIMEOUT, self.write_all(&bytes, descriptors));
        let written = write.await;
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(())
    }

    /// Writes the bytes, and the descriptors with the first of them.
    async fn write_all(&self, bytes: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let mut written = 0;
        while written < bytes.len() {
            let rest = bytes.get(written..).unwrap_or_default();
            let descriptors = if written == 0 { descriptors } else { &[] };
            let write = || write(&self.stream, rest, descriptors);
            written += self.stream.async_io(Interest::WRITABLE, write).await?;
        }
        Ok(())
    }

    /// The next frame and its descriptors. Cancellation-safe: if the future is dropped, no received data is lost.
    ///
    /// # Errors
    /// If the stream fails or ends, or its bytes are not a valid frame.
    pub async fn receive(&mut self) -> Result<ReceivedFrame, ExchangeError> {
        loop {
            if let Some(received) = self.next_buffered()? {
                return Ok(received);
            }
            if self.descriptors.len() > MAX_PENDING_DESCRIPTORS {
                return Err(ExchangeError::MissingFrame);
            }
            let (buffer, descriptors, stream) =
                (&mut self.buffer, &mut self.descriptors, &self.stream);
            let read = || read(stream, buffer, descriptors);
            let length = stream.async_io(Interest::READABLE, read).await?;
            if length == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// The next frame, if it is in the buffer already.
    fn next_buffered(&mut self) -> Result<Option<ReceivedFrame>, ExchangeError> {
        let Some(DecodedFrame { frame, encoded_len }) = Frame::decode(&self.buffer)? else {
            return Ok(None);
        };
        let count = frame.descriptor_count();
        if self.descriptors.len() < count {
            return Err(ExchangeError::MissingDescriptors);
        }
        self.buffer.advance(encoded_len);
        let descriptors = self.descriptors.drain(..count).collect();
        Ok(Some(ReceivedFrame { frame, descriptors }))
    }
}

fn write(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd]) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !control.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(io::Error::other("too many descriptors"));
    }
    let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
    let written = sendmsg(stream, &[IoSlice::new(bytes)], &mut control, flags)?;
    Ok(written)
}

fn read(
    stream: &UnixStream,
    buffer: &mut BytesMut,
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = [0; READ_LEN];
    let mut slices = [IoSliceMut::new(&mut bytes)];
    let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
    let received = recvmsg(stream, &mut slices, &mut control, flags)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    buffer.extend_from_slice(bytes.get(..received.bytes).unwrap_or_default());
    Ok(received.bytes)
}
