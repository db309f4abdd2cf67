//! A keeper's storage folder, on a thread of its own so that a slow disk delays no request. Used by `local_keeper`.

use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::keeper::OutgoingMessage;
use reelfall_lease_store::{Store, StoreError};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc as async_mpsc;

/// Maximum number of pending writes; requests that arrive beyond it are dropped, as if lost on the network.
pub const MAX_PENDING_WRITES: usize = 256;
/// Maximum number of writes in one batch.
const MAX_BATCH: usize = 64;
/// Pause before a folder that could not be used is opened again.
const REOPEN_INTERVAL: Duration = Duration::from_secs(5);

/// Messages of the keeper that are to be sent.
pub type Outbox = Vec<OutgoingMessage>;

/// An event that the disk thread reports.
pub enum DiskEvent {
    /// The folder is open.
    Opened {
        /// Distinguishes this opening of the folder from earlier ones; counts from 1.
        opening: u64,
        /// The state that was read from the folder.
        state: Box<DurableState>,
    },
    /// Writes are durable.
    Written {
        /// The opening of the folder that the writes were made for.
        opening: u64,
        /// Number of writes.
        writes: usize,
        /// Messages that had to wait for the writes, and may be sent now.
        messages: Outbox,
    },
    /// The folder can't be opened or written; further writes for this opening are discarded.
    Failed(StoreError),
}

struct WriteJob {
    opening: u64,
    records: Vec<Record>,
    messages: Outbox,
}

/// A handle to the disk thread.
pub struct Disk {
    jobs: mpsc::SyncSender<WriteJob>,
    /// Number of writes that are not completed yet.
    pending: Cell<usize>,
}

impl Disk {
    /// Spawns the thread, which opens the folder, retries while it can't be used, and reports to `events`.
    ///
    /// # Errors
    /// If the thread can't be spawned.
    pub fn start(
        folder: PathBuf,
        events: async_mpsc::UnboundedSender<DiskEvent>,
    ) -> std::io::Result<Disk> {
        let (jobs, receiver) = mpsc::sync_channel(2 * MAX_PENDING_WRITES);
        std::thread::Builder::new()
            .name("leases".to_owned())
            .spawn(move || run(&folder, &receiver, &events))?;
        Ok(Disk {
            jobs,
            pending: Cell::new(0),
        })
    }

    /// Whether the keeper may handle more requests.
    pub fn has_capacity(&self) -> bool {
        self.pending.get() < MAX_PENDING_WRITES
    }

    /// Whether no write is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.get() == 0
    }

    /// Queues records to be written, and messages that are reported back after the write; returns whether the queue had
    /// room for them.
    pub fn write(&self, opening: u64, records: Vec<Record>, messages: Outbox) -> bool {
        let queued = self
            .jobs
            .try_send(WriteJob {
                opening,
                records,
                messages,
            })
            .is_ok();
        self.pending.set(self.pending.get() + usize::from(queued));
        queued
    }

    /// Subtracts completed writes from the pending ones.
    pub fn complete(&self, writes: usize) {
        self.pending.set(self.pending.get().saturating_sub(writes));
    }

    /// Resets the number of pending writes: those of an earlier opening are never reported.
    pub fn reset(&self) {
        self.pending.set(0);
    }
}

fn run(
    folder: &Path,
    jobs: &mpsc::Receiver<WriteJob>,
    events: &async_mpsc::UnboundedSender<DiskEvent>,
) {
    for opening in 1.. {
        let failure = match Store::open(folder) {
            Ok((store, state)) => {
                // Discards the jobs of the previous opening, whose keeper was stopped.
                while jobs.try_recv().is_ok() {}
                let state = Box::new(state);
                if events.send(DiskEvent::Opened { opening, state }).is_err() {
                    return;
                }
                match write_jobs(opening, store, jobs, events) {
                    Some(failure) => failure,
                    None => return,
                }
            }
            Err(error) => error,
        };
        if events.send(DiskEvent::Failed(failure)).is_err() {
            return;
        }
        std::thread::sleep(REOPEN_INTERVAL);
    }
}

/// Writes jobs in batches until a write fails; `None` if the other end of a channel was dropped.
fn write_jobs(
    opening: u64,
    mut store: Store,
    jobs: &mpsc::Receiver<WriteJob>,
    events: &async_mpsc::UnboundedSender<DiskEvent>,
) -> Option<StoreError> {
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        while let Some(job) = jobs.try_recv().ok().filter(|_| batch.len() < MAX_BATCH) {
            batch.push(job);
        }
        batch.retain(|job| job.opening == opening);
        let writes = batch.len();
        let mut records = Vec::new();
        let mut messages = Vec::new();
        for job in batch {
            records.extend(job.records);
            messages.extend(job.messages);
        }
        if !records.is_empty() {
            if let Err(error) = store.write(&records) {
                return Some(error);
            }
        }
        let written = DiskEvent::Written {
            opening,
            writes,
            messages,
        };
        events.send(written).ok()?;
    }
    None
}
