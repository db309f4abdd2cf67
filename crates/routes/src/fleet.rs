//! Servers that several pools list.
//!
//! Each pool has a list of its own and decides for itself. What one list says of a server still concerns every pool
//! that sends to it: a drain holds for all of them, and what a cold server tolerates is one amount, to be parted.
//!
//! | said of an address by another pool | what holds here |
//! | --- | --- |
//! | it serves | both send; the cold server's tolerance is parted |
//! | it drains | it drains here |
//! | it is gone | it drains here for [`GONE_HOLDS`], unless this pool's list says that it has started anew since |
//! | nothing any more (the list was taken from the settings, or the pool ended) | nothing |

use crate::Time;
use std::collections::HashMap;
use std::hash::Hash;

/// How long the word of another pool's list that a server is gone holds, in seconds. Lists come seconds late, so a
/// list that still has the server is most likely behind; after this time it is taken at its word.
pub const GONE_HOLDS: Time = 10.0;

/// What a list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It takes requests.
    Up,
    /// It finishes what it has.
    Draining,
    /// It has ended.
    Gone,
}

/// What holds for a pool beyond its own list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Another list says that nothing new may go there.
    pub drained: bool,
    /// How many pools send there, this one included.
    pub sharers: u32,
}

impl View {
    /// Nobody else knows the server.
    pub const ALONE: View = View { drained: false, sharers: 1 };
}

#[derive(Clone, Debug)]
struct Said<P> {
    pool: P,
    word: Word,
    /// When it said so first.
    at: Time,
    /// When, by its list, the server last started.
    ready_at: Time,
}

/// What the lists of all pools say, by address.
#[derive(Clone, Debug)]
pub struct Fleet<A, P> {
    servers: HashMap<A, Vec<Said<P>>>,
}

impl<A, P> Default for Fleet<A, P> {
    fn default() -> Self {
        Fleet { servers: HashMap::new() }
    }
}

impl<A: Clone + Eq + Hash, P: Copy + Eq> Fleet<A, P> {
    /// A list says something of a server; `None` takes back what it said. Gives whether that may change what holds
    /// for other pools.
    pub fn tell(&mut self, now: Time, pool: P, address: &A, word: Option<Word>, ready_at: Time) -> bool {
        let said = self.servers.entry(address.clone()).or_default();
        let old = said.iter().position(|s| s.pool == pool);
        let changed = match (old, word) {
            (None, None) => false,
            (Some(n), None) => {
                said.swap_remove(n);
                true
            }
            // An end of something that was never named concerns nobody.
            (None, Some(Word::Gone)) => false,
            (None, Some(word)) => {
                said.push(Said { pool, word, at: now, ready_at });
                true
            }
            (Some(n), Some(word)) => said.get_mut(n).is_some_and(|s| {
                let changed = s.word != word;
                if changed || s.ready_at != ready_at {
                    (s.word, s.at, s.ready_at) = (word, now, ready_at);
                }
                changed
            }),
        };
        if said.is_empty() {
            self.servers.remove(address);
        }
        changed
    }

    /// What holds for a pool of which the list says that the server started at `ready_at`.
    pub fn view(&self, now: Time, pool: P, address: &A, ready_at: Time) -> View {
        let Some(said) = self.servers.get(address) else { return View::ALONE };
        let others = || said.iter().filter(|s| s.pool != pool);
        let drained = others().any(|s| match s.word {
            Word::Up => false,
            Word::Draining => true,
            Word::Gone => now - s.at < GONE_HOLDS && ready_at <= s.ready_at,
        });
        let sharers = 1 + others().filter(|s| s.word != Word::Gone).count();
        View { drained, sharers: u32::try_from(sharers).unwrap_or(u32::MAX) }
    }

    /// The pools that list a server.
    pub fn pools<'a>(&'a self, address: &A) -> impl Iterator<Item = P> + 'a {
        self.servers.get(address).into_iter().flatten().map(|s| s.pool)
    }

    /// Forgets words of an end that no longer hold, and gives the addresses that they were about.
    pub fn lapse(&mut self, now: Time) -> Vec<A> {
        let mut lapsed = Vec::new();
        self.servers.retain(|address, said| {
            let before = said.len();
            said.retain(|s| s.word != Word::Gone || now - s.at < GONE_HOLDS);
            if said.len() < before {
                lapsed.push(address.clone());
            }
            !said.is_empty()
        });
        lapsed
    }

    /// A pool has ended: nothing it said holds. Gives the addresses that it was about.
    pub fn leave(&mut self, pool: P) -> Vec<A> {
        let mut left = Vec::new();
        self.servers.retain(|address, said| {
            let before = said.len();
            said.retain(|s| s.pool != pool);
            if said.len() < before {
                left.push(address.clone());
            }
            !said.is_empty()
        });
        left
    }

    /// How many servers are known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Nothing is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
