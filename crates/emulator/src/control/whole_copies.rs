//! Whole settings files to every node at each change, played: a source that sends each node the newest file at the rate
//! that its link has for control. It checks the formulas of [`super::baseline`], which are used at sizes that can't be
//! played.

use super::endpoint::Endpoint;

/// Seconds between two frames to one node.
const FRAME_EVERY: f64 = 0.1;
/// Bytes of a frame's head: its version, and whether it is the file's last.
const HEAD: usize = 9;

/// Sends files.
pub struct Source {
    nodes: Vec<Transfer>,
    file_bytes: usize,
    /// Bytes of a file within one frame.
    frame_bytes: usize,
    version: u64,
    due: f64,
}

struct Transfer {
    node: u32,
    version: u64,
    left: usize,
}

/// Takes files in.
#[derive(Default)]
pub struct Receiver {
    /// Versions and when each was in force.
    pub in_force: Vec<(u64, f64)>,
}

/// Either end.
pub enum Copier {
    /// The one that has the file.
    Source(Source),
    /// One that needs it.
    Receiver(Receiver),
}

impl Source {
    /// A source of files of a size for nodes that take in so many bytes a second each.
    pub fn new(nodes: impl IntoIterator<Item = u32>, file_bytes: usize, budget: f64) -> Source {
        let nodes = nodes
            .into_iter()
            .map(|node| Transfer {
                node,
                version: 0,
                left: 0,
            })
            .collect();
        let frame_bytes = (budget * FRAME_EVERY).max(1.0) as usize;
        Source {
            nodes,
            file_bytes,
            frame_bytes,
            version: 0,
            due: f64::INFINITY,
        }
    }

    /// The file changes; its version.
    pub fn change(&mut self, now: f64) -> u64 {
        self.version += 1;
        self.due = self.due.min(now);
        self.version
    }

    fn send(&mut self, now: f64, sends: &mut Vec<(u32, Vec<u8>)>) {
        let mut busy = false;
        for transfer in &mut self.nodes {
            if transfer.left == 0 && transfer.version < self.version {
                transfer.version = self.version;
                transfer.left = self.file_bytes;
            }
            if transfer.left == 0 {
                continue;
            }
            let bytes = transfer.left.min(self.frame_bytes);
            transfer.left -= bytes;
            let behind = transfer.left > 0 || transfer.version < self.version;
            busy |= behind;
            sends.push((
                transfer.node,
                frame(transfer.version, transfer.left == 0, bytes),
            ));
        }
        self.due = if busy {
            now + FRAME_EVERY
        } else {
            f64::INFINITY
        };
    }
}

fn frame(version: u64, last: bool, bytes: usize) -> Vec<u8> {
    let mut frame = vec![0; bytes.max(HEAD)];
    frame[..8].copy_from_slice(&version.to_be_bytes());
    frame[8] = u8::from(last);
    frame
}

impl Receiver {
    fn receive(&mut self, now: f64, frame: &[u8]) {
        let Some((version, rest)) = frame.split_first_chunk() else {
            return;
        };
        if rest.first() == Some(&1) {
            self.in_force.push((u64::from_be_bytes(*version), now));
        }
    }
}

impl Endpoint for Copier {
    fn receive(&mut self, now: f64, _from: u32, frame: &[u8], _sends: &mut Vec<(u32, Vec<u8>)>) {
        if let Copier::Receiver(receiver) = self {
            receiver.receive(now, frame);
        }
    }

    fn poll(&mut self, now: f64, sends: &mut Vec<(u32, Vec<u8>)>) {
        if let Copier::Source(source) = self {
            source.send(now, sends);
        }
    }

    fn next_wakeup(&self) -> f64 {
        match self {
            Copier::Source(source) => source.due,
            Copier::Receiver(_) => f64::INFINITY,
        }
    }
}
