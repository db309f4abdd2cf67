//! Who waits for a lease, the longest first.
//!
//! Each keeper has a queue of its own, sorted by what the askers say of their waits, so that the queues are alike. When a
//! lease is free, the first is told so, and for a while nobody else is promised it: a release wakes one and not three
//! hundred. The first may be gone, so its turn has an end, after which whoever asks may have it.

use crate::say::Asker;
use crate::Micros;

/// Askers who have waited for as long as each other, but for so many microseconds, are sorted by their names.
///
/// Guards against keepers whose first is not the same: what an asker says of its wait comes to each of them after another
/// time, and of two that began together one keeper would have the one and another keeper the other. Harm: of two that
/// began nearly together the second may be the first.
const TOGETHER: i64 = 250_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiter {
    who: Asker,
    /// Since when it waits, by this keeper's clock; before the clock's begin where it waits for longer.
    since: i64,
    /// When it last asked.
    asked: Micros,
}

/// See the module.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Queue {
    waiting: Vec<Waiter>,
    /// Whose turn it is, and until when.
    turn: Option<(Asker, Micros)>,
    /// It is free, and nobody's turn.
    open: bool,
}

/// How long things take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Patience {
    /// Whose turn it is has so long to get the lease, in microseconds.
    pub turn: Micros,
    /// Who has not asked for so long waits no more, in microseconds.
    pub lasts: Micros,
}

impl Queue {
    /// Somebody has asked in vain; whether there is room for it.
    pub fn wait(&mut self, now: Micros, who: &Asker, waited: Micros, most: usize) -> bool {
        if let Some(waiter) = self.waiting.iter_mut().find(|w| w.who == *who) {
            waiter.asked = now;
            return true;
        }
        if self.waiting.len() >= most {
            return false;
        }
        let since = now as i64 - i64::try_from(waited).unwrap_or(i64::MAX);
        let order = |since: i64| since.div_euclid(TOGETHER);
        let after = self.waiting.partition_point(|w| (order(w.since), &w.who) < (order(since), who));
        self.waiting.insert(after, Waiter { who: who.clone(), since, asked: now });
        true
    }

    /// The lease is granted, and its next end is another matter.
    pub fn granted(&mut self, who: &Asker) {
        self.waiting.retain(|w| w.who != *who);
        (self.turn, self.open) = (None, false);
    }

    /// Whether the lease, which is free, may go to this asker.
    pub fn may_go(&mut self, now: Micros, who: &Asker, patience: &Patience) -> bool {
        self.lapse(now);
        if !self.open && self.turn.is_none() {
            self.next(now, patience);
        }
        self.turn.as_ref().is_none_or(|(whose, _)| whose == who)
    }

    /// The lease is free from now on: who has to be told so.
    pub fn next(&mut self, now: Micros, patience: &Patience) -> Option<Asker> {
        self.waiting.retain(|w| w.asked + patience.lasts > now);
        let first = self.waiting.first().map(|first| first.who.clone());
        self.open = first.is_none();
        self.turn = first.clone().map(|first| (first, now + patience.turn));
        first
    }

    /// Ends a turn that is over.
    ///
    /// Guards against a first who is gone, and against keepers that have not the same one for the first, where turn after
    /// turn nobody would have a majority: from here on whoever asks may get the lease. Harm: one that is slow by more than
    /// a turn waits on.
    pub fn lapse(&mut self, now: Micros) {
        if self.turn.take_if(|(_, until)| *until <= now).is_some() {
            self.open = true;
        }
    }

    /// When a turn ends.
    pub fn deadline(&self) -> Option<Micros> {
        self.turn.as_ref().map(|(_, until)| *until)
    }

    /// Who waits, the longest first.
    pub fn waiting(&self) -> impl Iterator<Item = &Asker> {
        self.waiting.iter().map(|w| &w.who)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
