//! Schedules the entries of a batch, and collects their results.
//!
//! | state | next state |
//! | --- | --- |
//! | waiting | running, when there is a slot; never ran, if the batch ends before |
//! | running | done |
//! | done | |
//!
//! Reads run concurrently up to a limit. Writes run one at a time, in the order of the client; one that may have run
//! without a response does not stop the next, since entries are independent requests. Nothing starts after the end of
//! the batch, which is at its deadline or when its client disconnects.

/// The index of an entry in its batch.
pub type EntryIndex = usize;

/// The result of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryResult<A> {
    /// A server responded.
    Answered(A),
    /// It was rejected and certainly did not run. It may be retried after this time, in seconds.
    Rejected(Option<f64>),
    /// It failed, and may have run.
    Failed,
    /// It never ran, and never will.
    NeverRan,
}

#[derive(Clone, Debug, PartialEq)]
enum State<A> {
    Waiting,
    Running,
    Done(EntryResult<A>),
}

#[derive(Clone, Debug)]
struct EntryState<A> {
    is_write: bool,
    state: State<A>,
}

impl<A> EntryState<A> {
    fn is_running(&self) -> bool {
        matches!(self.state, State::Running)
    }
}

/// A batch in progress.
#[derive(Clone, Debug)]
pub struct Batch<A> {
    entries: Vec<EntryState<A>>,
    max_parallel_reads: usize,
    has_ended: bool,
}

impl<A> Batch<A> {
    /// A batch with an entry for each item of `writes`, which says whether it is a write. At least one read runs at a time.
    pub fn new(writes: impl IntoIterator<Item = bool>, max_parallel_reads: usize) -> Self {
        let waiting = |is_write| EntryState {
            is_write,
            state: State::Waiting,
        };
        Batch {
            entries: writes.into_iter().map(waiting).collect(),
            max_parallel_reads: max_parallel_reads.max(1),
            has_ended: false,
        }
    }

    /// Starts the entries that may run now, and returns them in their order.
    pub fn start_ready(&mut self) -> Vec<EntryIndex> {
        if self.has_ended {
            return Vec::new();
        }
        let mut free_reads = self.max_parallel_reads.saturating_sub(self.running(false));
        let mut free_writes = 1usize.saturating_sub(self.running(true));
        let mut started = Vec::new();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let free = if entry.is_write {
                &mut free_writes
            } else {
                &mut free_reads
            };
            if *free > 0 && matches!(entry.state, State::Waiting) {
                *free -= 1;
                entry.state = State::Running;
                started.push(index);
            }
        }
        started
    }

    /// Number of running writes, or of running reads.
    fn running(&self, is_write: bool) -> usize {
        self.entries
            .iter()
            .filter(|entry| entry.is_write == is_write && entry.is_running())
            .count()
    }

    /// Sets the result of an entry that is running; for any other entry, it does nothing.
    pub fn finish(&mut self, entry: EntryIndex, fate: EntryResult<A>) {
        let Some(entry) = self.entries.get_mut(entry) else {
            return;
        };
        if entry.is_running() {
            entry.state = State::Done(fate);
        }
    }

    /// Ends the batch: nothing starts any more.
    pub fn end(&mut self) {
        self.has_ended = true;
    }

    /// Whether all entries are done.
    pub fn is_complete(&self) -> bool {
        self.entries
            .iter()
            .all(|entry| matches!(entry.state, State::Done(_)))
    }

    /// The results in the order of the entries. One that is still running may have run; one that waits never will.
    pub fn into_results(self) -> Vec<EntryResult<A>> {
        let fate = |entry: EntryState<A>| match entry.state {
            State::Done(fate) => fate,
            State::Running => EntryResult::Failed,
            State::Waiting => EntryResult::NeverRan,
        };
        self.entries.into_iter().map(fate).collect()
    }
}

/// Whether the response to a batch may be a rejection as a whole: only if no entry has run.
pub fn can_be_rejected<A>(fates: &[EntryResult<A>]) -> bool {
    fates
        .iter()
        .all(|fate| matches!(fate, EntryResult::Rejected(_) | EntryResult::NeverRan))
}
