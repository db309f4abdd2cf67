//! One node's part in one lease: asking, holding, renewing, giving back.
//!
//! | state | ends |
//! | --- | --- |
//! | idle | when the lease is wanted |
//! | resting | at its end, or when a keeper says that the lease is free |
//! | asking for promises | by a majority; by too many noes; after [`Rules::answer_within`] |
//! | asking for grants | the same |
//! | holding | when it is given back, or at its end if a majority has not renewed it |
//!
//! Requests never wait for any of this: who does not hold a lease does what its task does without one.

use crate::clock::Margins;
use crate::majority;
use crate::say::{Ask, No, Said, Seen, Vote};
use crate::token::{Act, Name, Token};
use crate::Micros;

/// How a lease is asked for and kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// How many keepers there are.
    pub keepers: usize,
    /// How far clocks may drift.
    pub margins: Margins,
    /// How long a lease lasts without being renewed, in microseconds.
    pub length: Micros,
    /// Keepers that have not answered by then are asked anew, in microseconds.
    pub answer_within: Micros,
    /// The shortest and the longest rest between two askings, in microseconds.
    pub rest: (Micros, Micros),
}

impl Rules {
    /// Defaults for a lease of this length, of so many keepers.
    pub fn of(keepers: usize, length: Micros) -> Rules {
        Rules {
            keepers,
            margins: Margins::default(),
            length,
            answer_within: (length / 8).clamp(50_000, 1_000_000),
            // Nobody rests for longer than a lease takes to end by itself.
            rest: (50_000, length.clamp(500_000, 5_000_000)),
        }
    }
}

/// What has become of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// It is held.
    Got(Token),
    /// It was given back.
    Gave(Token),
    /// It has ended without a majority's renewal.
    Lost(Token),
}

/// Who has said yes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Votes {
    yes: Vec<Option<Vote>>,
    no: Vec<bool>,
}

impl Votes {
    fn of(keepers: usize) -> Votes {
        Votes { yes: vec![None; keepers], no: vec![false; keepers] }
    }

    /// The latest of each keeper's folders that anybody here has heard of.
    fn fellows(&self) -> Vec<Option<Seen>> {
        let mut all = vec![None; self.yes.len()];
        for (n, vote) in self.yes.iter().enumerate() {
            let Some(vote) = vote else { continue };
            for (known, told) in all.iter_mut().zip(&vote.fellows) {
                *known = (*known).max(*told);
            }
            all[n] = all[n].max(Some(vote.own));
        }
        all
    }

    /// Whether a majority has said yes.
    ///
    /// Guards against a folder whose place another one has taken, and that has not heard of it: it forgot nothing, but
    /// what it promises its successor does not know. Harm: none; its vote is no vote.
    fn carried(&self) -> bool {
        let known = self.fellows();
        let counts = |(vote, known): (&Option<Vote>, &Option<Seen>)| {
            vote.as_ref().is_some_and(|v| known.is_none_or(|known| known.seal <= v.own.seal))
        };
        self.yes.iter().zip(&known).filter(|pair| counts(*pair)).count() >= majority(self.yes.len())
    }

    /// Whether too many have said no for a majority.
    fn lost(&self) -> bool {
        let no = self.no.iter().filter(|no| **no).count();
        no > self.no.len() - majority(self.no.len())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle,
    Resting { until: Micros },
    Asking { counter: u64, began: Micros, votes: Votes },
    Proposing { token: u64, began: Micros, votes: Votes },
    Held { token: u64, until: Micros, renewal: Option<Renewal>, next: Micros },
}

/// A renewal that was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    began: Micros,
    votes: Votes,
}

/// See the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    name: Name,
    rules: Rules,
    wanted: bool,
    /// Since when it is waited for.
    since: Micros,
    /// The highest number that was heard of.
    counter: u64,
    /// Counts what was asked, so that answers to something else are told apart.
    round: u64,
    /// Askings in vain, one after the other.
    vain: u32,
    /// It is this asker's turn, of which it heard while it was asking.
    called: bool,
    /// When the lease that somebody else has can end, as far as keepers say.
    held_until: Option<Micros>,
    state: State,
    asks: Vec<(usize, Ask)>,
    changes: Vec<Change>,
}

/// A lease that is held at this moment.
#[derive(Clone, Copy, Debug)]
pub struct Held<'a> {
    name: &'a Name,
    token: u64,
    left: Micros,
}

impl Held<'_> {
    /// Something to be done by grace of it.
    pub fn act<T>(&self, what: T) -> Act<T> {
        Act::by(self.name, self.token, what)
    }

    /// Its token.
    pub fn token(&self) -> Token {
        Token(self.token)
    }

    /// How long it is held without being renewed, in microseconds.
    pub fn left(&self) -> Micros {
        self.left
    }
}

impl Lease {
    /// One that is not wanted yet.
    pub fn new(name: Name, rules: Rules) -> Lease {
        Lease {
            name,
            rules,
            wanted: false,
            since: 0,
            counter: 0,
            round: 0,
            vain: 0,
            called: false,
            held_until: None,
            state: State::Idle,
            asks: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Whether it is wanted.
    pub fn wanted(&self) -> bool {
        self.wanted
    }

    /// What is to be said, and to which keeper.
    pub fn asks(&mut self) -> Vec<(usize, Ask)> {
        std::mem::take(&mut self.asks)
    }

    /// What has become of it.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The lease, if it is held at this moment. To be asked anew before each act.
    pub fn held(&self, now: Micros) -> Option<Held<'_>> {
        match self.state {
            State::Held { token, until, .. } if now < until => {
                Some(Held { name: &self.name, token, left: until - now })
            }
            _ => None,
        }
    }

    /// It is wanted from now on.
    pub fn want(&mut self, now: Micros) {
        if !self.wanted {
            self.wanted = true;
            self.since = now;
            self.state = State::Resting { until: now };
        }
    }

    /// It is not wanted any more, and given back if it is held.
    pub fn give_back(&mut self, now: Micros) {
        self.wanted = false;
        self.drop_number(now);
        self.state = State::Idle;
    }

    /// The number that was got, or asked for, is used no more; keepers are told so.
    fn drop_number(&mut self, now: Micros) {
        let token = match self.state {
            State::Held { token, until, .. } => {
                let change = if now < until { Change::Gave } else { Change::Lost };
                self.changes.push(change(Token(token)));
                token
            }
            State::Proposing { token, .. } => token,
            _ => return,
        };
        for keeper in 0..self.rules.keepers {
            self.asks.push((keeper, Ask::Release { lease: self.name.clone(), token }));
        }
    }

    // ---- time ----

    /// When [`Lease::tick`] has something to do.
    pub fn deadline(&self) -> Option<Micros> {
        match &self.state {
            State::Idle => None,
            State::Resting { until } => Some(*until),
            State::Asking { began, .. } | State::Proposing { began, .. } => {
                Some(began + self.rules.answer_within)
            }
            State::Held { until, next, .. } => Some(*until.min(next)),
        }
    }

    /// Time has passed. `chance` is drawn anew for each call, over all numbers.
    pub fn tick(&mut self, now: Micros, chance: u32) {
        match &self.state {
            State::Resting { until } if now >= *until => self.ask(now),
            State::Asking { began, .. } | State::Proposing { began, .. }
                if now >= began + self.rules.answer_within =>
            {
                self.in_vain(now, chance);
            }
            State::Held { token, until, .. } if now >= *until => {
                let token = Token(*token);
                self.changes.push(Change::Lost(token));
                self.since = now;
                self.ask(now);
            }
            State::Held { next, .. } if now >= *next => self.renew(now),
            _ => {}
        }
    }

    /// Asks all keepers for a promise of a number higher than any that was heard of.
    fn ask(&mut self, now: Micros) {
        self.counter = self.counter.saturating_add(1);
        self.round += 1;
        (self.held_until, self.called) = (None, false);
        let (counter, round) = (self.counter, self.round);
        let (length, waited) = (self.rules.length, now.saturating_sub(self.since));
        for keeper in 0..self.rules.keepers {
            let lease = self.name.clone();
            self.asks.push((keeper, Ask::Promise { lease, round, counter, length, waited }));
        }
        self.state = State::Asking { counter, began: now, votes: Votes::of(self.rules.keepers) };
    }

    /// Asks for grants. The lease counts from here, before anybody can have granted it.
    fn propose(&mut self, now: Micros, token: u64, fellows: &[Option<Seen>]) {
        self.round += 1;
        self.grants(token, fellows);
        self.state = State::Proposing { token, began: now, votes: Votes::of(self.rules.keepers) };
    }

    fn renew(&mut self, now: Micros) {
        let State::Held { token, .. } = self.state else { return };
        self.round += 1;
        self.grants(token, &[]);
        let votes = Votes::of(self.rules.keepers);
        if let State::Held { renewal, next, .. } = &mut self.state {
            *renewal = Some(Renewal { began: now, votes });
            *next = now + self.rules.answer_within;
        }
    }

    fn grants(&mut self, token: u64, fellows: &[Option<Seen>]) {
        let (round, length) = (self.round, self.rules.length);
        for keeper in 0..self.rules.keepers {
            let (lease, fellows) = (self.name.clone(), fellows.to_vec());
            self.asks.push((keeper, Ask::Grant { lease, round, token, length, fellows }));
        }
    }

    /// Rests before asking anew: until the lease can be free, or longer from time to time, never in step with others.
    ///
    /// Guards against askers that outbid each other for ever, and against three hundred that ask at once. Harm: a lease
    /// that nobody has may be without a holder for as long.
    fn in_vain(&mut self, now: Micros, chance: u32) {
        self.drop_number(now);
        let (least, most) = self.rules.rest;
        if std::mem::take(&mut self.called) {
            (self.vain, self.held_until) = (0, None);
        }
        let rest = match self.held_until {
            Some(until) => until.saturating_sub(now).clamp(least, most),
            None => (least << self.vain.min(16)).min(most),
        };
        self.vain = self.vain.saturating_add(1);
        let drawn = rest / 2 + rest * u64::from(chance) / u64::from(u32::MAX);
        self.state = State::Resting { until: now + drawn };
    }

    // ---- answers ----

    /// A keeper has said something. `chance` is drawn anew for each call, over all numbers.
    pub fn heard(&mut self, now: Micros, keeper: usize, said: Said, chance: u32) {
        if keeper >= self.rules.keepers || said.lease() != &self.name {
            return;
        }
        match said {
            Said::Promised { round, vote, .. } if round == self.round => self.promised(now, keeper, vote),
            Said::Granted { round, vote, .. } if round == self.round => self.granted(now, keeper, vote),
            Said::Refused { round, why, promised, .. } => {
                self.counter = self.counter.max(promised);
                self.refused(now, keeper, round, why, chance);
            }
            Said::Free { .. } => match self.state {
                State::Resting { .. } => {
                    self.vain = 0;
                    self.ask(now);
                }
                // What is asked now may have been refused before the lease was free.
                State::Asking { .. } | State::Proposing { .. } => self.called = true,
                State::Idle | State::Held { .. } => {}
            },
            Said::Promised { .. } | Said::Granted { .. } => {}
        }
    }

    fn promised(&mut self, now: Micros, keeper: usize, vote: Vote) {
        let State::Asking { counter, votes, .. } = &mut self.state else { return };
        votes.yes[keeper] = Some(vote);
        if votes.carried() {
            let (token, fellows) = (*counter, votes.fellows());
            self.propose(now, token, &fellows);
        }
    }

    fn granted(&mut self, now: Micros, keeper: usize, vote: Vote) {
        let lasts = self.rules.margins.holder(self.rules.length);
        let again = self.rules.length / 3;
        match &mut self.state {
            State::Proposing { token, began, votes } => {
                votes.yes[keeper] = Some(vote);
                let (token, until, next) = (*token, *began + lasts, *began + again);
                if votes.carried() && now < until {
                    self.state = State::Held { token, until, renewal: None, next };
                    self.vain = 0;
                    self.changes.push(Change::Got(Token(token)));
                }
            }
            State::Held { until, renewal: Some(asked), next, .. } => {
                asked.votes.yes[keeper] = Some(vote);
                // One that comes after the end renews nothing: the next holder may have begun.
                if asked.votes.carried() && now < *until {
                    (*until, *next) = (asked.began + lasts, asked.began + again);
                }
            }
            _ => {}
        }
    }

    fn refused(&mut self, now: Micros, keeper: usize, round: u64, why: No, chance: u32) {
        if round != self.round {
            return;
        }
        if let No::Held { left } = why {
            let until = now + left;
            self.held_until = Some(self.held_until.map_or(until, |known| known.min(until)));
        }
        let (State::Asking { votes, .. } | State::Proposing { votes, .. }) = &mut self.state else { return };
        votes.no[keeper] = true;
        if !votes.lost() {
            return;
        }
        if why == No::Behind && self.vain == 0 && matches!(self.state, State::Asking { .. }) {
            // The number was too low, which is all that was wrong: the first time the next one is tried at once.
            self.vain = 1;
            self.ask(now);
        } else {
            self.in_vain(now, chance);
        }
    }
}
