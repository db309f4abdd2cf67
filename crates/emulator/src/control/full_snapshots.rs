//! Distribution without deltas, emulated: a source sends the newest settings file to every node at each change, at the rate
//! that a node's link has for control traffic.
//!
//! Tests check the formulas of [`super::baseline`] with it, which are used at sizes that can't be emulated.

use super::endpoint::{Endpoint, OutgoingFrame};

/// Seconds between two frames to one node.
const FRAME_INTERVAL: f64 = 0.1;
/// Bytes of a frame's header: the file's version, and whether the frame is its last.
const HEADER_LEN: usize = 9;

/// Sends the newest file to all nodes.
pub struct SnapshotSource {
    transfers: Vec<Transfer>,
    file_bytes: usize,
    /// Bytes of a file within one frame.
    frame_bytes: usize,
    version: u64,
    next_send_at: f64,
}

/// The file that is being sent to a node, or that was sent last.
struct Transfer {
    node: u32,
    version: u64,
    remaining_bytes: usize,
}

/// Receives files.
#[derive(Default)]
pub struct SnapshotReceiver {
    /// The files that were received, in their order.
    pub received: Vec<ReceivedSnapshot>,
}

/// A file that was received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedSnapshot {
    /// The version of the file.
    pub version: u64,
    /// When its last frame arrived, in seconds.
    pub at: f64,
}

/// Either end of a transfer.
pub enum SnapshotEndpoint {
    /// The one that sends files.
    Source(SnapshotSource),
    /// One that receives them.
    Receiver(SnapshotReceiver),
}

impl SnapshotSource {
    /// A source of files of this size, for nodes with this bandwidth each, in bytes per second.
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
