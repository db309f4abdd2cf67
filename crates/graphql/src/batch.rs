//! Schedules the entries of a batch, and collects their results.
//!
//! | state | next state |
//! | --- | --- |
//! | waiting | running, when fewer entries run than the limit allows; never ran, if the batch ends before that |
//! | running | done |
//! | done | none |
//!
//! Reads run concurrently up to a limit. Writes run one at a time, in the order of the request. A write that fails and
//! may have run does not stop the next one, since entries are independent requests. No entry starts after the end of
//! the batch, which is its deadline or the disconnection of its client.

/// The position of an entry in its batch, from 0.
pub type EntryIndex = usize;

/// The result of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryResult<A> {
    /// A server responded.
    Answered(A),
    /// The entry was rejected and certainly did not run. If a time in seconds is given, it may be retried after that.
    Rejected(Option<f64>),
    /// The entry failed, and may have run.
    Failed,
    /// The entry never ran, and never will.
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
    /// Creates a batch with an entry for each item of `writes`, which is `true` for a write. A limit of 0 reads counts
    /// as 1.
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

    /// Marks the entries that may run now as running, and returns them in order.
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

    /// Sets the result of a running entry. Does nothing if the entry is not running.
    pub fn finish(&mut self, entry: EntryIndex, result: EntryResult<A>) {
        let Some(entry) = self.entries.get_mut(entry) else {
            return;
        };
        if entry.is_running() {
            entry.state = State::Done(result);
        }
    }

    /// Ends the batch: no entry starts any more.
    pub fn end(&mut self) {
        self.has_ended = true;
    }

    /// Whether all entries are done.
    pub fn is_complete(&self) -> bool {
        self.entries
            .iter()
            .all(|entry| matches!(entry.state, State::Done(_)))
    }

    /// The results in the order of the entries. An entry that is still running counts as failed, and a waiting one as
    /// never run.
    pub fn into_results(self) -> Vec<EntryResult<A>> {
        let result = |entry: EntryState<A>| match entry.state {
            State::Done(result) => result,
            State::Running => EntryResult::Failed,
            State::Waiting => EntryResult::NeverRan,
        };
        self.entries.into_iter().map(result).collect()
    }
}

/// Whether the batch may be rejected as a whole, which requires that no entry has run.
pub fn can_be_rejected<A>(results: &[EntryResult<A>]) -> bool {
    results
        .iter()
        .all(|result| matches!(result, EntryResult::Rejected(_) | EntryResult::NeverRan))
}
