//! Whether a keeper's folder is what its fellows know it to be.
//!
//! A keeper's vote is worth what its disk remembers. A folder that is emptied, or brought back from a backup, has
//! forgotten promises, and with its vote a token would be given twice. So each folder has a seal, each fellow remembers
//! the latest seal and how many records it has heard of, and
//!
//! | the folder | votes |
//! | --- | --- |
//! | is empty | once it has a seal greater than any before it, the fellows have written that down, and it has read what a majority of trusted fellows, or all fellows, have promised |
//! | has a seal that fellows know, and no fellow knows of more records than it has | once so many fellows agree that it makes a majority with them |
//! | has fewer records than a fellow knows of: it comes from a backup | never; it has to be emptied |
//! | has a lesser seal than a fellow knows: another folder took its place | never |
//!
//! This holds while no more than a minority of folders is lost or brought back since they last voted together. When all
//! folders are lost, so are the tokens: see the operators' page.

use crate::image::{Image, Record};
use crate::majority;
use crate::say::{Between, Seal, Seen};
use crate::token::Name;
use crate::Micros;
use thiserror::Error;

/// How often a keeper asks its fellows, in microseconds, while it does not vote.
pub const ASKS_EVERY: Micros = 200_000;
/// The same while it does.
pub const TELLS_EVERY: Micros = 1_000_000;

/// Why a folder is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum Fault {
    /// Another one took its place.
    #[error("another folder has taken this keeper's place (generation {by}); this one must not vote")]
    Replaced {
        /// The other's generation.
        by: u32,
    },
    /// It has lost records.
    #[error(
        "the folder has {here} records, a fellow knows of {known}: it is an old copy; empty it to begin anew"
    )]
    Older {
        /// Records that are here.
        here: u64,
        /// Records that a fellow knows of.
        known: u64,
    },
}

/// Where a keeper stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Its folder is empty: it asks what was before.
    Empty,
    /// It has a new folder and reads what its fellows have promised.
    Joining,
    /// It has a folder of old and asks whether that is the latest.
    Asking,
    /// It votes.
    Trusted,
    /// It must not.
    Refused(Fault),
}

/// What is known of a fellow since this keeper's start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Fellow {
    /// It has answered.
    answered: bool,
    /// It votes.
    trusted: bool,
    /// It has this keeper's present folder for the latest.
    agrees: bool,
    /// What it promised was read up to this name.
    read: Option<Name>,
    /// It was read to its end, and whether it voted then.
    done: Option<bool>,
}

/// See the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Trust {
    me: usize,
    standing: Standing,
    fellows: Vec<Fellow>,
    /// The latest generation of this keeper's folders that any fellow knows.
    generation: u32,
    /// Drawn, for a new folder's seal.
    tag: u64,
    next: Micros,
}

impl Trust {
    /// A keeper begins.
    pub fn new(me: usize, keepers: usize, image: &Image, tag: u64, now: Micros) -> Trust {
        let standing = match (image.seal, image.admitted) {
            (None, _) => Standing::Empty,
            (Some(_), false) => Standing::Joining,
            (Some(_), true) => Standing::Asking,
        };
        Trust { me, standing, fellows: vec![Fellow::default(); keepers], generation: 0, tag, next: now }
    }

    /// Where it stands.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether it votes.
    pub fn trusted(&self) -> bool {
        self.standing == Standing::Trusted
    }

    /// When there is something to ask.
    pub fn deadline(&self) -> Micros {
        self.next
    }

    fn others(&self) -> impl Iterator<Item = &Fellow> {
        let me = self.me;
        self.fellows.iter().enumerate().filter(move |(n, _)| *n != me).map(|(_, fellow)| fellow)
    }

    /// Time has passed: what is to be asked of whom.
    pub fn tick(&mut self, now: Micros, image: &Image) -> Vec<(usize, Between)> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + if self.trusted() { TELLS_EVERY } else { ASKS_EVERY };
        let mut asks = Vec::new();
        for (n, fellow) in self.fellows.iter().enumerate().filter(|(n, _)| *n != self.me) {
            asks.push((n, Between::Who { own: image.seen() }));
            if self.standing == Standing::Joining && fellow.agrees && fellow.done.is_none() {
                asks.push((n, Between::Read { after: fellow.read.clone() }));
            }
        }
        asks
    }

    /// A fellow says what it knows of this keeper.
    pub fn known(&mut self, now: Micros, from: usize, image: &Image, of_me: Option<Seen>, trusted: bool) {
        let Some(fellow) = self.fellows.get_mut(from) else { return };
        (fellow.answered, fellow.trusted) = (true, trusted);
        self.generation = self.generation.max(of_me.map_or(0, |of_me| of_me.seal.generation));
        if let (Some(own), Some(known)) = (image.seen(), of_me) {
            if known.seal > own.seal {
                self.standing = Standing::Refused(Fault::Replaced { by: known.seal.generation });
            } else if known.seal == own.seal && known.written > own.written {
                self.standing = Standing::Refused(Fault::Older { here: own.written, known: known.written });
            } else if known.seal == own.seal && !fellow.agrees {
                fellow.agrees = true;
                // What it has promised is asked for at once.
                self.next = now;
            }
        }
    }

    /// A part of what a fellow has promised was read.
    pub fn read(&mut self, now: Micros, from: usize, up_to: Option<Name>, last: bool, trusted: bool) {
        let Some(fellow) = self.fellows.get_mut(from).filter(|f| f.agrees && f.done.is_none()) else {
            return;
        };
        if last {
            fellow.done = Some(trusted);
        } else if up_to > fellow.read {
            fellow.read = up_to;
        }
        self.next = now;
    }

    /// Goes on where it can; what has to be written down for that.
    pub fn advance(&mut self, now: Micros, image: &Image) -> Option<Record> {
        let (keepers, most) = (self.fellows.len(), self.fellows.len() - 1);
        // Who voted with this keeper's former folder is among these, or all others are lost as well.
        let enough = |trusted: usize, all: usize| trusted >= majority(keepers) || all == most;
        match self.standing {
            Standing::Empty => {
                let answered: Vec<&Fellow> = self.others().filter(|f| f.answered).collect();
                if !enough(answered.iter().filter(|f| f.trusted).count(), answered.len()) {
                    return None;
                }
                self.standing = Standing::Joining;
                self.next = now;
                Some(Record::Sealed(Seal { generation: self.generation + 1, tag: self.tag }))
            }
            Standing::Joining => {
                let done: Vec<bool> = self.others().filter_map(|f| f.done).collect();
                if !enough(done.iter().filter(|trusted| **trusted).count(), done.len()) {
                    return None;
                }
                self.standing = Standing::Trusted;
                Some(Record::Admitted)
            }
            Standing::Asking => {
                if self.others().filter(|f| f.agrees).count() + 1 >= majority(keepers) && image.admitted {
                    self.standing = Standing::Trusted;
                }
                None
            }
            Standing::Trusted | Standing::Refused(_) => None,
        }
    }
}
