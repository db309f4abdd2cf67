//! Which entries of a batch may run now, and what became of each.
//!
//! | state | next |
//! | --- | --- |
//! | waiting | running, once its turn comes; never ran, once the batch has ended |
//! | running | done |
//! | done | |
//!
//! Entries that read run side by side, up to a bound; entries that write run one at a time in their order, as their
//! client wrote them. One that may have run without an answer does not hold up the next: they are requests of their own.
//! Once the batch has ended (its deadline, or its client left) nothing starts any more.

/// An entry's place in its batch.
pub type Entry = usize;

/// What became of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate<A> {
    /// A server's answer.
    Answered(A),
    /// Refused; it is known not to have run. When to come back, in seconds.
    Refused(Option<f64>),
    /// It may have run.
    Failed,
    /// It never ran, and never will.
    NeverRan,
}

#[derive(Clone, Debug, PartialEq)]
enum State<A> {
    Waiting,
    Running,
    Done(Fate<A>),
}

/// A batch under way.
#[derive(Clone, Debug)]
pub struct Batch<A> {
    entries: Vec<(bool, State<A>)>,
    side_by_side: usize,
    ended: bool,
}

impl<A> Batch<A> {
    /// A batch of entries, each writing or not; so many reads run at once, one at least.
    pub fn new(writes: impl IntoIterator<Item = bool>, side_by_side: usize) -> Self {
        let entries = writes.into_iter().map(|w| (w, State::Waiting)).collect();
        Batch {
            entries,
            side_by_side: side_by_side.max(1),
            ended: false,
        }
    }

    /// Starts what may run now, and gives it in its order.
    pub fn start(&mut self) -> Vec<Entry> {
        if self.ended {
            return Vec::new();
        }
        let running = |writes: bool| {
            let running = self
                .entries
                .iter()
                .filter(|(w, s)| *w == writes && matches!(s, State::Running));
            running.count()
        };
        let mut reads = self.side_by_side.saturating_sub(running(false));
        let mut writes = 1usize.saturating_sub(running(true));
        let mut started = Vec::new();
        for (n, (write, state)) in self.entries.iter_mut().enumerate() {
            let room = if *write { &mut writes } else { &mut reads };
            if *room > 0 && matches!(state, State::Waiting) {
                *room -= 1;
                *state = State::Running;
                started.push(n);
            }
        }
        started
    }

    /// An entry that was running has ended. A second word on it, or one on an entry that does not run, changes nothing.
    pub fn done(&mut self, entry: Entry, fate: Fate<A>) {
        if let Some((_, state)) = self
            .entries
            .get_mut(entry)
            .filter(|(_, s)| matches!(s, State::Running))
        {
            *state = State::Done(fate);
        }
    }

    /// Nothing starts any more: the deadline has come, or the client left.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// All entries have ended.
    pub fn complete(&self) -> bool {
        self.entries
            .iter()
            .all(|(_, s)| matches!(s, State::Done(_)))
    }

    /// What became of each entry, in the client's order. One that runs still may have run; one that waits never will.
    pub fn fates(self) -> Vec<Fate<A>> {
        let fate = |(_, state)| match state {
            State::Done(fate) => fate,
            State::Running => Fate::Failed,
            State::Waiting => Fate::NeverRan,
        };
        self.entries.into_iter().map(fate).collect()
    }
}

/// Whether a whole batch may be answered as a refusal: only if no entry has run.
pub fn refusable<A>(fates: &[Fate<A>]) -> bool {
    fates
        .iter()
        .all(|f| matches!(f, Fate::Refused(_) | Fate::NeverRan))
}
