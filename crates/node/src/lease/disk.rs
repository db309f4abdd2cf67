//! A keeper's storage folder, on a thread of its own: a slow disk delays no request. Used by `dispatch`.

use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::keeper::OutgoingMessage;
use reelfall_lease_store::{Store, StoreError};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc as async_mpsc;

/// Maximum number of writes that wait for the disk; requests that arrive meanwhile are dropped, as if lost on the network.
pub const MAX_PENDING_WRITES: usize = 256;
/// Maximum number of writes in one batch.
const MAX_BATCH: usize = 64;
/// Pause before a folder that can't be used is opened again.
const REOPEN_INTERVAL: Duration = Duration::from_secs(5);

/// Messages to send.
pub type Outbox = Vec<OutgoingMessage>;

/// An event of the folder.
pub enum DiskEvent {
    /// The folder is open.
    Opened {
        /// The number of this opening, from 1.
        opening: u64,
        /// The state that is stored there.
        state: Box<DurableState>,
    },
    /// Writes are durable.
    Written {
        /// The opening that the writes belong to.
        opening: u64,
        /// Number of writes.
        writes: usize,
        /// Messages that may be sent now.
        messages: Outbox,
    },
    /// The folder can't be used: nothing more is written for this opening of it.
    Failed(StoreError),
}

struct WriteJob {
    opening: u64,
    records: Vec<Record>,
    messages: Outbox,
}

/// The sending end of the disk thread.
pub struct Disk {
    jobs: mpsc::SyncSender<WriteJob>,
    /// Number of writes that are not done yet.
    pending: Cell<usize>,
}

impl Disk {
    /// Starts the thread, which opens the folder, again and again while it can't be used. It reports to `events`.
    ///
    /// # Errors
    /// If no thread can be started.
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

    /// Whether all writes are done.
    pub fn is_idle(&self) -> bool {
        self.pending.get() == 0
    }

    /// Queues records to be written, and messages to be returned after that; returns whether the queue had capacity.
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

    /// Notes that so many writes are done.
    pub fn complete(&self, writes: usize) {
        self.pending.set(self.pending.get().saturating_sub(writes));
    }

    /// Forgets the writes of an earlier opening, which will not be reported.
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
                // Jobs of the previous opening are not answered: its keeper is gone.
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

/// Writes jobs in batches until a write fails; `None` once the other end is gone.
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
