//! The known entries under a path, and the queue of those to be read. At most one read of an entry is in flight.

use std::collections::{BTreeSet, HashMap, VecDeque};

/// Number of outdated queue items, beyond the number of valid ones, at which the queue is compacted.
const MAX_OUTDATED: usize = 64;

#[derive(Debug, Default)]
struct Child {
    is_reading: bool,
    /// It changed during the read in flight.
    read_again: bool,
    /// The transaction id of the data that was read last.
    mzxid: Option<i64>,
}

/// The result of a completed read.
pub(super) struct CompletedRead {
    /// The data differs from that of the last read.
    pub(super) is_new_version: bool,
    /// The entry changed during the read.
    pub(super) read_again: bool,
}

/// The known entries by name.
#[derive(Debug, Default)]
pub(super) struct Children {
    children: HashMap<String, Child>,
    /// The entries to be read, in order. Names that are not in `queued` are outdated.
    queue: VecDeque<String>,
    queued: BTreeSet<String>,
    /// Number of reads in flight.
    reading: usize,
}

impl Children {
    pub(super) fn len(&self) -> usize {
        self.children.len()
    }

    /// Length of the queue, outdated items included.
    pub(super) fn queue_len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn contains(&self, child: &str) -> bool {
        self.children.contains_key(child)
    }

    /// Whether no read is queued or in flight.
    pub(super) fn is_settled(&self) -> bool {
        self.queue.is_empty() && self.reading == 0
    }

    /// The known entries that are missing from a list.
    pub(super) fn missing_from(&self, listed: &BTreeSet<&str>) -> Vec<String> {
        self.children
            .keys()
            .filter(|child| !listed.contains(child.as_str()))
            .cloned()
            .collect()
    }

    /// Adds an entry that has not been read.
    pub(super) fn insert(&mut self, child: String) {
        self.children.insert(child, Child::default());
    }

    /// Removes an entry; returns whether it was known.
    pub(super) fn remove(&mut self, child: &str) -> bool {
        let was_known = self.children.remove(child).is_some();
        if was_known {
            self.queued.remove(child);
        }
        self.compact_queue();
        was_known
    }

    /// Removes outdated items. Without this, the queue would grow while entries are created and removed faster than
    /// they are read.
    fn compact_queue(&mut self) {
        if self.queue.len() > 2 * self.queued.len() + MAX_OUTDATED {
            let queued = &self.queued;
            let mut seen = BTreeSet::new();
            self.queue
                .retain(|child| queued.contains(child) && seen.insert(child.clone()));
        }
    }

    /// Queues a read of a known entry; if a read is in flight, the entry is read again after it.
    pub(super) fn request_read(&mut self, child: String) {
        let Some(known) = self.children.get_mut(&child) else {
            return;
        };
        if known.is_reading {
            known.read_again = true;
        } else if self.queued.insert(child.clone()) {
            self.queue.push_back(child);
        }
    }

    /// Queues a read of every known entry.
    pub(super) fn request_all(&mut self) {
        let all: Vec<String> = self.children.keys().cloned().collect();
        for child in all {
            self.request_read(child);
        }
    }

    /// Starts the read of the next queued entry, if there is one and fewer than `max_parallel` reads are in flight.
    pub(super) fn start_read(&mut self, max_parallel: usize) -> Option<String> {
        while self.reading < max_parallel {
            let child = self.queue.pop_front()?;
            if !self.queued.remove(&child) {
                continue;
            }
            let Some(known) = self.children.get_mut(&child) else {
                continue;
            };
            known.is_reading = true;
            known.read_again = false;
            self.reading += 1;
            return Some(child);
        }
        None
    }

    /// Ends a read whose entry was removed or whose connection was lost.
    pub(super) fn end_read(&mut self) {
        self.reading = self.reading.saturating_sub(1);
    }

    /// Ends a read that failed; the entry stays known.
    pub(super) fn fail_read(&mut self, child: &str) {
        self.end_read();
        if let Some(known) = self.children.get_mut(child) {
            known.is_reading = false;
        }
    }

    /// Ends a successful read; `None` if the entry was removed during it.
    pub(super) fn complete_read(&mut self, child: &str, mzxid: i64) -> Option<CompletedRead> {
        self.end_read();
        let known = self.children.get_mut(child)?;
        known.is_reading = false;
        Some(CompletedRead {
            read_again: std::mem::take(&mut known.read_again),
            is_new_version: known.mzxid.replace(mzxid) != Some(mzxid),
        })
    }

    /// Forgets all reads, queued or in flight.
    pub(super) fn cancel_reads(&mut self) {
        self.queue.clear();
        self.queued.clear();
        self.reading = 0;
        for child in self.children.values_mut() {
            child.is_reading = false;
            child.read_again = false;
        }
    }
}
