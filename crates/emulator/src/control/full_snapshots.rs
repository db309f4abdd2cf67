//! Emulates configuration distribution by full snapshots: at each change, a source sends the newest settings file to every
//! node, at the bandwidth of a node's link for control traffic.
//!
//! Tests verify the formulas of [`super::baseline`] with it; the formulas are used for sizes that can't be emulated.

use super::endpoint::{Endpoint, OutgoingFrame};

/// Seconds between two frames to one node.
const FRAME_INTERVAL: f64 = 0.1;
/// Length of a frame's header in bytes: the file's version, and whether this is its last frame.
const HEADER_LEN: usize = 9;

/// Sends the newest version of a file to all nodes.
pub struct SnapshotSource {
    transfers: Vec<Transfer>,
    file_bytes: usize,
    /// Maximum number of bytes of the file in one frame.
    frame_bytes: usize,
    version: u64,
    next_send_at: f64,
}

/// The version that is being sent to a node, or that was sent last.
struct Transfer {
    node: u32,
    version: u64,
    remaining_bytes: usize,
}

/// Receives files and records when they are complete.
#[derive(Default)]
pub struct SnapshotReceiver {
    /// The received files, in order of arrival.
    pub received: Vec<ReceivedSnapshot>,
}

/// A file that was received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedSnapshot {
    /// The file's version.
    pub version: u64,
    /// When its last frame arrived, in seconds.
    pub at: f64,
}

/// A sender or a receiver of files.
pub enum SnapshotEndpoint {
    /// The sender.
    Source(SnapshotSource),
    /// A receiver.
    Receiver(SnapshotReceiver),
}

impl SnapshotSource {
    /// A source of a file of `file_bytes` bytes that sends to each node with this bandwidth, in bytes per second.
    pub fn new(
        nodes: impl IntoIterator<Item = u32>,
        file_bytes: usize,
        bandwidth: f64,
    ) -> SnapshotSource {
        let transfers = nodes
            .into_iter()
            .map(|node| Transfer {
                node,
                version: 0,
                remaining_bytes: 0,
            })
            .collect();
        let frame_bytes = (bandwidth * FRAME_INTERVAL).max(1.0) as usize;
        SnapshotSource {
            transfers,
            file_bytes,
            frame_bytes,
            version: 0,
            next_send_at: f64::INFINITY,
        }
    }

    /// Changes the file; returns its new version.
    pub fn change(&mut self, now: f64) -> u64 {
        self.version += 1;
        self.next_send_at = self.next_send_at.min(now);
        self.version
    }

    /// Sends the next frame to each node that is behind.
    fn send(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>) {
        let mut is_any_behind = false;
        for transfer in &mut self.transfers {
            if transfer.remaining_bytes == 0 && transfer.version < self.version {
                transfer.version = self.version;
                transfer.remaining_bytes = self.file_bytes;
            }
            if transfer.remaining_bytes == 0 {
                continue;
            }
            let bytes = transfer.remaining_bytes.min(self.frame_bytes);
            transfer.remaining_bytes -= bytes;
            let is_last = transfer.remaining_bytes == 0;
            is_any_behind |= !is_last || transfer.version < self.version;
            outgoing.push(OutgoingFrame {
                to: transfer.node,
                frame: encode_frame(transfer.version, is_last, bytes),
            });
        }
        self.next_send_at = if is_any_behind {
            now + FRAME_INTERVAL
        } else {
            f64::INFINITY
        };
    }
}

fn encode_frame(version: u64, is_last: bool, bytes: usize) -> Vec<u8> {
    let mut frame = vec![0; bytes.max(HEADER_LEN)];
    frame[..8].copy_from_slice(&version.to_be_bytes());
    frame[8] = u8::from(is_last);
    frame
}

impl SnapshotReceiver {
    fn receive(&mut self, now: f64, frame: &[u8]) {
        let Some((version, rest)) = frame.split_first_chunk() else {
            return;
        };
        let is_last = rest.first() == Some(&1);
        if is_last {
            self.received.push(ReceivedSnapshot {
                version: u64::from_be_bytes(*version),
                at: now,
            });
        }
    }
}

impl Endpoint for SnapshotEndpoint {
    fn receive(&mut self, now: f64, _from: u32, frame: &[u8], _outgoing: &mut Vec<OutgoingFrame>) {
        if let SnapshotEndpoint::Receiver(receiver) = self {
            receiver.receive(now, frame);
        }
    }

    fn poll(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>) {
        if let SnapshotEndpoint::Source(source) = self {
            source.send(now, outgoing);
        }
    }

    fn next_wakeup(&self) -> f64 {
        match self {
            SnapshotEndpoint::Source(source) => source.next_send_at,
            SnapshotEndpoint::Receiver(_) => f64::INFINITY,
        }
    }
}
