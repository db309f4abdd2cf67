//! Bounds how much of a streamed message is on its way to its receiver.
//!
//! The HTTP library queues what it is given until the socket takes it. A [`StreamWindow`] counts these bytes until the
//! library drops them, so that no more is read from the sender than the window allows.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// The parts of one streamed message that are on their way to its receiver.
pub struct StreamWindow {
    max_bytes: usize,
    bytes_in_flight: AtomicUsize,
    /// Wakes the task that waits for the window to open.
    waker: AtomicWaker,
}

impl StreamWindow {
    /// A window that is open while fewer than `max_bytes` are on their way.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(StreamWindow {
            max_bytes,
            bytes_in_flight: AtomicUsize::new(0),
            waker: AtomicWaker::new(),
        })
    }

    /// Ready while more may be passed on.
    pub fn poll_open(&self, cx: &Context) -> Poll<()> {
        if self.is_open() {
            return Poll::Ready(());
        }
        self.waker.register(cx.waker());
        // A part may have been dropped before the waker was registered.
        if self.is_open() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    fn is_open(&self) -> bool {
        self.bytes_in_flight.load(Ordering::Acquire) < self.max_bytes
    }

    /// Passes on a part of a message, which counts until the returned bytes are dropped.
    pub fn pass(self: &Arc<Self>, data: Bytes) -> Bytes {
        self.bytes_in_flight.fetch_add(data.len(), Ordering::AcqRel);
        Bytes::from_owner(PartInFlight {
            data,
            window: self.clone(),
        })
    }
}

/// A part of a message that counts towards its window.
struct PartInFlight {
    data: Bytes,
    window: Arc<StreamWindow>,
}

impl AsRef<[u8]> for PartInFlight {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for PartInFlight {
    fn drop(&mut self) {
        let length = self.data.len();
        self.window
            .bytes_in_flight
            .fetch_sub(length, Ordering::AcqRel);
        self.window.waker.wake();
    }
}
