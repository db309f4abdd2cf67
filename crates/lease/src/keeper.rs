//! Who has promised and granted what.
//!
//! | what | owner | bound | ends |
//! | --- | --- | --- | --- |
//! | promises | [`Image`], on the disk | [`Rules::leases_most`] | forgotten after [`Rules::forget_after`] without use; the floor keeps the number |
//! | grants | this, in memory | one of each lease | at their end, or given back |
//! | who waits | [`Queue`] | [`Rules::waiters_most`] of each lease | granted, or not heard any more |
//! | what fellows are known to have | [`Image`] and this | the keepers | never |
//!
//! Promises are on the disk, grants are not: a keeper that begins anew takes each lease that it has promised for one
//! that was granted at that moment, for its whole length. So a lease costs two writes when it is got and none while it
//! is held.

use crate::clock::Margins;
use crate::image::{Image, Record};
use crate::queue::{Patience, Queue};
use crate::say::{Ask, Asker, Between, Kept, Message, No, Said, Seen, Vote, MESSAGE_MOST};
use crate::token::Name;
use crate::trust::{Standing, Trust};
use crate::Micros;
use std::collections::BTreeMap;
use std::ops::Bound;

/// How a keeper keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// How far clocks may drift.
    pub margins: Margins,
    /// No lease is longer, in microseconds.
    pub longest: Micros,
    /// Leases that can be told apart.
    pub leases_most: usize,
    /// Askers that wait for one lease.
    pub waiters_most: usize,
    /// How long turns and waits last.
    pub patience: Patience,
    /// A lease that nobody has asked for in so long is forgotten, in microseconds.
    pub forget_after: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            margins: Margins::default(),
            longest: 60_000_000,
            leases_most: 1024,
            waiters_most: 512,
            patience: Patience { turn: 500_000, lasts: 15_000_000 },
            forget_after: 86_400_000_000,
        }
    }
}

impl Rules {
    /// A moment, rounded down to what matters for forgetting.
    fn roughly(&self, now: Micros) -> Micros {
        now - now % (self.forget_after / 64).max(1)
    }
}

/// Whom something is said to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum To {
    /// An asker.
    Asker(Asker),
    /// A fellow, by its place in the settings.
    Keeper(usize),
}

/// What comes of something. The records have to be on the disk before anything is said; what comes of later things is
/// said after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Effects {
    /// To be written.
    pub records: Vec<Record>,
    /// To be said.
    pub says: Vec<(To, Message)>,
}

/// What is known of a lease in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Live {
    /// It is granted until then.
    until: Option<Micros>,
    /// This number was given back: a grant of it that comes late counts for nothing.
    over: Option<u64>,
    queue: Queue,
    /// When it was asked for last, roughly.
    used: Micros,
}

/// A lease as a keeper sees it, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat<'a> {
    /// Which lease.
    pub lease: &'a Name,
    /// The last number, and to whom it was promised.
    pub kept: &'a Kept,
    /// How long it is granted, in microseconds; `None` for not at all.
    pub left: Option<Micros>,
    /// Who waits, the longest first.
    pub waiting: Vec<&'a Asker>,
}

/// See the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    me: usize,
    keepers: usize,
    rules: Rules,
    image: Image,
    trust: Trust,
    /// The latest of each fellow's folders that was heard of, written down or not.
    heard: Vec<Option<Seen>>,
    live: BTreeMap<Name, Live>,
    effects: Effects,
}

impl Keeper {
    /// A keeper begins with what its folder holds. `tag` is drawn anew by each process.
    pub fn open(me: usize, keepers: usize, rules: Rules, image: Image, tag: u64, now: Micros) -> Keeper {
        // What was granted before is not known: all of it may have been, a moment ago.
        let live = |(name, kept): (&Name, &Kept)| {
            let until = Some(now + rules.margins.keeper(kept.length));
            (name.clone(), Live { until, used: rules.roughly(now), ..Live::default() })
        };
        let heard = (0..keepers).map(|n| image.fellows.get(&(n as u8)).copied()).collect();
        let mut keeper = Keeper {
            me,
            keepers,
            rules,
            trust: Trust::new(me, keepers, &image, tag, now),
            heard,
            live: image.leases.iter().map(live).collect(),
            image,
            effects: Effects::default(),
        };
        keeper.advance(now);
        keeper
    }

    /// What is to be written and said.
    pub fn effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Where it stands.
    pub fn standing(&self) -> Standing {
        self.trust.standing()
    }

    /// What is on the disk once all records are.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// The leases.
    pub fn seats(&self, now: Micros) -> impl Iterator<Item = Seat<'_>> {
        self.image.leases.iter().map(move |(lease, kept)| {
            let live = self.live.get(lease);
            let left = live.and_then(|l| l.until).filter(|until| *until > now).map(|until| until - now);
            let waiting = live.map(|l| l.queue.waiting().collect()).unwrap_or_default();
            Seat { lease, kept, left, waiting }
        })
    }

    fn write(&mut self, record: Record) {
        self.image.apply(&record);
        self.effects.records.push(record);
    }

    fn say(&mut self, to: To, message: Message) {
        self.effects.says.push((to, message));
    }

    // ---- askers ----

    /// An asker asks.
    pub fn asked(&mut self, now: Micros, from: &Asker, ask: Ask) {
        let said = match ask {
            Ask::Promise { lease, round, counter, length, waited } => {
                Some(match self.promise(now, from, &lease, counter, length, waited) {
                    Ok(()) => Said::Promised { lease, round, vote: self.vote() },
                    Err(why) => self.refusal(lease, round, why),
                })
            }
            Ask::Grant { lease, round, token, length, fellows } => {
                Some(match self.grant(now, from, &lease, token, length, &fellows) {
                    Ok(()) => Said::Granted { lease, round, vote: self.vote() },
                    Err(why) => self.refusal(lease, round, why),
                })
            }
            Ask::Release { lease, token } => {
                self.release(now, from, &lease, token);
                None
            }
        };
        if let Some(said) = said {
            self.say(To::Asker(from.clone()), Message::Said(said));
        }
    }

    fn refusal(&self, lease: Name, round: u64, why: No) -> Said {
        let promised = self.image.promised(&lease);
        Said::Refused { lease, round, why, promised }
    }

    fn vote(&self) -> Vote {
        let own = self
            .image
            .seen()
            .unwrap_or(Seen { seal: crate::say::Seal { generation: 0, tag: 0 }, written: 0 });
        let mut fellows = self.heard.clone();
        if let Some(mine) = fellows.get_mut(self.me) {
            *mine = Some(own);
        }
        Vote { own, fellows }
    }

    /// Nobody is promised what somebody else was granted, and no number is promised twice: that is all of the safety.
    fn promise(
        &mut self, now: Micros, from: &Asker, lease: &Name, counter: u64, length: Micros, waited: Micros,
    ) -> Result<(), No> {
        if !self.trust.trusted() {
            return Err(No::Untrusted);
        }
        if length == 0 || length > self.rules.longest {
            return Err(No::Long);
        }
        self.room(now, lease)?;
        let (rules, promised) = (self.rules, self.image.promised(lease));
        let own = self.image.leases.get(lease).is_some_and(|kept| kept.to.as_ref() == Some(from));
        let same = own && counter == promised;
        let live = self.live.entry(lease.clone()).or_default();
        live.used = rules.roughly(now);
        if let Some(until) = live.until.filter(|until| *until > now && !own) {
            let fits = live.queue.wait(now, from, waited, rules.waiters_most);
            return Err(if fits { No::Held { left: until - now } } else { No::Full });
        }
        if same {
            return Ok(());
        }
        if counter <= promised {
            return Err(No::Behind);
        }
        // A greater number of the same process: whatever it held before, it holds no more.
        live.until = None;
        if !live.queue.may_go(now, from, &rules.patience) {
            let fits = live.queue.wait(now, from, waited, rules.waiters_most);
            return Err(if fits { No::Turn } else { No::Full });
        }
        let kept = Kept { promised: counter, to: Some(from.clone()), length };
        self.write(Record::Promised(lease.clone(), kept));
        Ok(())
    }

    /// Makes room for one more lease, if it is a new one.
    fn room(&mut self, now: Micros, lease: &Name) -> Result<(), No> {
        if self.image.leases.contains_key(lease) || self.image.leases.len() < self.rules.leases_most {
            return Ok(());
        }
        let free = |l: &&Name| self.live.get(*l).is_none_or(|l| l.until.is_none_or(|until| until <= now));
        let unused = |l: &&Name| self.live.get(*l).map_or(0, |l| l.used);
        let oldest = self.image.leases.keys().filter(free).min_by_key(unused).cloned().ok_or(No::Full)?;
        self.forget(oldest);
        Ok(())
    }

    /// Forgets a name; the floor goes on for it.
    fn forget(&mut self, lease: Name) {
        self.live.remove(&lease);
        self.write(Record::Forgotten(lease));
    }

    fn grant(
        &mut self, now: Micros, from: &Asker, lease: &Name, token: u64, length: Micros,
        fellows: &[Option<Seen>],
    ) -> Result<(), No> {
        if !self.trust.trusted() {
            return Err(No::Untrusted);
        }
        let kept = self.image.leases.get(lease);
        let is_so =
            kept.is_some_and(|k| k.promised == token && k.to.as_ref() == Some(from) && length <= k.length);
        let live = self.live.entry(lease.clone()).or_default();
        if !is_so || live.over == Some(token) {
            return Err(No::Behind);
        }
        live.until = Some(now + self.rules.margins.keeper(length));
        live.used = self.rules.roughly(now);
        live.queue.granted(from);
        // Who grants with whom is remembered, so that none of these can come back with less than it had.
        let (me, keepers) = (self.me, self.keepers);
        for (n, seen) in fellows.iter().enumerate().filter(|(n, _)| *n != me && *n < keepers) {
            let known = self.image.fellows.get(&(n as u8));
            if let Some(seen) = seen.filter(|seen| known.is_none_or(|known| known < seen)) {
                self.write(Record::Fellow(n as u8, seen));
                self.heard[n] = self.heard[n].max(Some(seen));
            }
        }
        Ok(())
    }

    fn release(&mut self, now: Micros, from: &Asker, lease: &Name, token: u64) {
        let is_so =
            self.image.leases.get(lease).is_some_and(|k| k.promised == token && k.to.as_ref() == Some(from));
        let Some(live) = self.live.get_mut(lease).filter(|_| is_so) else { return };
        live.until = None;
        live.over = Some(token);
        self.free(now, &lease.clone());
    }

    /// A lease may be free: whoever is first is told so.
    fn free(&mut self, now: Micros, lease: &Name) {
        let Some(live) = self.live.get_mut(lease).filter(|l| l.until.is_none_or(|until| until <= now)) else {
            return;
        };
        live.until = None;
        if let Some(first) = live.queue.next(now, &self.rules.patience) {
            self.say(To::Asker(first), Message::Said(Said::Free { lease: lease.clone() }));
        }
    }

    // ---- fellows ----

    /// A fellow says something.
    pub fn heard(&mut self, now: Micros, from: usize, between: Between) {
        if from >= self.keepers || from == self.me {
            return;
        }
        match between {
            Between::Who { own } => {
                let before = self.image.fellows.get(&(from as u8)).copied();
                let new = own.filter(|own| before.is_none_or(|before| before.seal < own.seal));
                // Guards against an old copy that grows: with records of its own it would have as many as its fellows know
                // of before they have said so. Until it is trusted it writes nothing, and knows no new folder of a fellow.
                // Harm: a fellow that is to be let in waits until this one votes.
                let writes = !matches!(self.trust.standing(), Standing::Asking | Standing::Refused(_));
                if own > self.heard[from] && (writes || new.is_none()) {
                    self.heard[from] = own;
                    if let Some(seen) = new {
                        self.write(Record::Fellow(from as u8, seen));
                    }
                }
                let know = Between::Know { of_you: self.heard[from], trusted: self.trust.trusted() };
                self.say(To::Keeper(from), Message::Between(know));
            }
            Between::Know { of_you, trusted } => {
                self.trust.known(now, from, &self.image, of_you, trusted);
                self.advance(now);
            }
            Between::Read { after } => {
                let page = self.page(after);
                self.say(To::Keeper(from), Message::Between(page));
            }
            Between::Page { after, kept, floor, last, trusted } => {
                self.learn(now, &kept, floor);
                let up_to = kept.last().map(|(name, _)| name.clone()).or(after);
                self.trust.read(now, from, up_to, last, trusted);
                self.advance(now);
            }
        }
    }

    /// Goes on where it can, and asks what it has to.
    fn advance(&mut self, now: Micros) {
        while let Some(record) = self.trust.advance(now, &self.image) {
            self.write(record);
        }
        for (to, ask) in self.trust.tick(now, &self.image) {
            self.say(To::Keeper(to), Message::Between(ask));
        }
    }

    /// What was promised of leases after this one, as much as fits.
    fn page(&self, after: Option<Name>) -> Between {
        let from = after.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.image.leases.range((from, Bound::Unbounded)).peekable();
        let (mut kept, mut left) = (Vec::new(), MESSAGE_MOST - 2 * crate::token::NAME_MOST - 64);
        while let Some(one) = rest.next_if(|one| {
            // Names with their lengths, the tag, the number and the length.
            let size = one.0.as_str().len() + one.1.to.as_ref().map_or(0, |to| to.name.len()) + 2 + 3 * 10;
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        }) {
            kept.push((one.0.clone(), one.1.clone()));
        }
        let last = rest.peek().is_none();
        Between::Page { after, kept, floor: self.image.floor, last, trusted: self.trust.trusted() }
    }

    /// No number that a fellow has promised is promised here.
    ///
    /// Guards against a vote by a promise that another keeper gave: who holds the lease by this keeper's former folder is
    /// known to one fellow, and what another fellow has promised since is no majority's. So these are promises to nobody,
    /// and for a lease's whole length nobody gets one. Harm: a holder that has one fellow's vote and the former folder's
    /// loses its lease.
    fn learn(&mut self, now: Micros, all: &[(Name, Kept)], floor: u64) {
        if !matches!(self.trust.standing(), Standing::Joining) {
            return;
        }
        for (name, kept) in all {
            if self.room(now, name).is_err() {
                // What can't be kept still counts: no name that is not kept gets a number as low as this.
                self.write(Record::Floor(kept.promised));
                continue;
            }
            // The longest of what several fellows tell: after a restart the disk alone says for how long nobody gets it.
            let here = self.image.leases.get(name).map_or((0, 0), |here| (here.promised, here.length));
            let (promised, length) = (kept.promised.max(here.0), kept.length.max(here.1));
            if (promised, length) != here {
                self.write(Record::Promised(name.clone(), Kept { promised, to: None, length }));
            }
            let live = self.live.entry(name.clone()).or_default();
            live.until = live.until.max(Some(now + self.rules.margins.keeper(kept.length)));
            live.used = self.rules.roughly(now);
        }
        if floor > self.image.floor {
            self.write(Record::Floor(floor));
        }
    }

    // ---- time ----

    /// When [`Keeper::tick`] has something to do.
    pub fn deadline(&self) -> Micros {
        let lives = self.live.values().filter_map(|l| l.until.or(l.queue.deadline()));
        lives.fold(self.trust.deadline(), Micros::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        self.advance(now);
        let over = |l: &Live| l.until.is_some_and(|until| until <= now);
        let turns = |l: &Live| l.until.is_none() && l.queue.deadline().is_some_and(|until| until <= now);
        self.live.values_mut().filter(|l| turns(l)).for_each(|l| l.queue.lapse(now));
        let due: Vec<Name> =
            self.live.iter().filter(|(_, l)| over(l)).map(|(name, _)| name.clone()).collect();
        due.iter().for_each(|lease| self.free(now, lease));
        let unused =
            |l: &Live| l.until.is_none() && l.queue.is_empty() && l.used + self.rules.forget_after <= now;
        let unused: Vec<Name> =
            self.live.iter().filter(|(_, l)| unused(l)).map(|(name, _)| name.clone()).collect();
        unused.into_iter().for_each(|lease| self.forget(lease));
    }
}
