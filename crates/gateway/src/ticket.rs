//! The fate of a request that one site passes on to another.
//!
//! The origin offers a request under a ticket, once. While the link holds, the peer's answer is the answer. If the link fails
//! with the request on it, nobody knows whether the peer has it; then the origin asks, over another connection, what became
//! of the ticket, and the question itself settles it: a ticket that was never taken is *fenced*, and a copy that arrives
//! later is turned away. So the word "never taken" stays true, and only with it may the origin run the request itself or
//! refuse it.
//!
//! What is known when:
//!
//! | the origin has heard | the request | the origin may |
//! | --- | --- | --- |
//! | the answer | ran, and this is what came of it | pass it on |
//! | turned away | never ran, and never will | run it itself, or refuse it |
//! | never taken | the same: it is fenced | the same |
//! | open | may run | ask again, or wait for the answer |
//! | failed, forgotten, another life of the peer, nothing by the deadline | may have run | fail it; never run it again |
//!
//! The peer's memory is bounded. For each life of an origin it holds a *floor*: of a ticket below the floor that is not
//! held, nothing is known any more; a copy of it does not run, and a question is answered with "forgotten". Of a ticket at
//! or above the floor that is not held it is certain that it was never taken. Memory that runs out raises the floor.

use crate::Millis;
use std::collections::BTreeMap;

/// One life of a node at a site: greater in each life than in the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life {
    /// Which node of which site, as both ends number them.
    pub node: u32,
    /// Which of its lives.
    pub incarnation: u64,
}

/// A request that was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Who passed it on.
    pub origin: Life,
    /// Which of its requests; each is offered once.
    pub number: u64,
}

// ---- the peer ----

/// What the peer says of a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fate<A> {
    /// It never ran, and never will.
    NeverTaken,
    /// It is under way.
    Open,
    /// It is done, and this came of it.
    Done(A),
    /// It may have run, and nothing came of it that could be told.
    Failed,
    /// Nothing is known of it any more, or it was offered to another life of this node.
    Forgotten,
}

/// What to do with an offer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Taken<A> {
    /// Run it, and tell [`Fates::done`] what came of it.
    Run,
    /// Do not run it; say this of it.
    Say(Fate<A>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Held<A> {
    Fenced,
    Open,
    Done(A),
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record<A> {
    held: Held<A>,
    /// It may be forgotten then.
    until: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Origin<A> {
    incarnation: u64,
    floor: u64,
    records: BTreeMap<u64, Record<A>>,
}

/// The fates of all tickets that this life of a peer has been offered or asked about, as far as they are held.
///
/// Bounded by `most` records and by `window`; an origin takes as much as the numbers of its life.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fates<A> {
    incarnation: u64,
    window: Millis,
    most: usize,
    origins: BTreeMap<u32, Origin<A>>,
    held: usize,
}

impl<A: Clone> Fates<A> {
    /// Nothing is held yet. `incarnation` is this life of the peer; what has ended is held for `window` at least, unless
    /// more than `most` would have to be held, which ends the longest ended first.
    pub fn new(incarnation: u64, window: Millis, most: usize) -> Self {
        Fates { incarnation, window, most: most.max(1), origins: BTreeMap::new(), held: 0 }
    }

    /// Tickets that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// An origin's records, if the ticket is of its present life. A later life than the one that is known ends what is
    /// held of the earlier: nobody asks for it any more, and copies of it must not run.
    fn origin(&mut self, life: Life) -> Option<&mut Origin<A>> {
        let fresh = || Origin { incarnation: life.incarnation, floor: 0, records: BTreeMap::new() };
        let origin = self.origins.entry(life.node).or_insert_with(fresh);
        if origin.incarnation < life.incarnation {
            self.held -= origin.records.len();
            *origin = fresh();
        }
        (origin.incarnation == life.incarnation).then_some(origin)
    }

    /// A request has arrived that was offered to a life of this peer.
    ///
    /// Guards against a request that runs twice: by a copy that comes late, after its origin was told that it was never
    /// taken or after that was forgotten, and by one that was offered to the life before. Harm: while as many tickets are
    /// open as may be held, what arrives is turned away.
    pub fn take(&mut self, now: Millis, ticket: Ticket, offered_to: u64) -> Taken<A> {
        if offered_to != self.incarnation {
            // The life that it was offered to may have run it.
            return Taken::Say(Fate::Forgotten);
        }
        if let Some(fate) = self.known(ticket) {
            return Taken::Say(fate);
        }
        if self.hold(now, ticket, Held::Open) {
            return Taken::Run;
        }
        // Not held, and never to run: all below the next number is closed.
        Taken::Say(Fate::NeverTaken)
    }

    /// What is known of a ticket; `None` if it is certain that it was never taken.
    fn known(&mut self, ticket: Ticket) -> Option<Fate<A>> {
        let Some(origin) = self.origin(ticket.origin) else { return Some(Fate::Forgotten) };
        match origin.records.get(&ticket.number) {
            Some(record) => Some(Self::fate(&record.held)),
            None => (ticket.number < origin.floor).then_some(Fate::Forgotten),
        }
    }

    /// Holds a ticket that was never taken, if there is room. If there is none, the floor rises past it, which fences it
    /// as well, and costs what lies below it and is not held.
    fn hold(&mut self, now: Millis, ticket: Ticket, held: Held<A>) -> bool {
        let room = self.make_room();
        let until = now.saturating_add(self.window);
        let Some(origin) = self.origin(ticket.origin) else { return false };
        if room {
            origin.records.insert(ticket.number, Record { held, until });
            self.held += 1;
        } else {
            origin.floor = origin.floor.max(ticket.number + 1);
        }
        room
    }

    /// A request that was taken has ended: with an answer, or without one, so that it may have run.
    pub fn done(&mut self, now: Millis, ticket: Ticket, answer: Option<A>) {
        let window = self.window;
        let Some(origin) = self.origin(ticket.origin) else { return };
        if let Some(record) = origin.records.get_mut(&ticket.number).filter(|r| matches!(r.held, Held::Open))
        {
            record.held = answer.map_or(Held::Failed, Held::Done);
            record.until = now.saturating_add(window);
        }
    }

    /// A request that was taken is known not to have run after all: this site's module has refused it.
    pub fn refused(&mut self, now: Millis, ticket: Ticket) {
        let window = self.window;
        let Some(origin) = self.origin(ticket.origin) else { return };
        if let Some(record) = origin.records.get_mut(&ticket.number).filter(|r| matches!(r.held, Held::Open))
        {
            (record.held, record.until) = (Held::Fenced, now.saturating_add(window));
        }
    }

    /// An origin asks what became of a ticket. One that was never taken never will be from here on.
    pub fn ask(&mut self, now: Millis, ticket: Ticket, offered_to: u64) -> Fate<A> {
        if offered_to != self.incarnation {
            return Fate::Forgotten;
        }
        self.known(ticket).unwrap_or_else(|| {
            // The fence.
            self.hold(now, ticket, Held::Fenced);
            Fate::NeverTaken
        })
    }

    fn fate(held: &Held<A>) -> Fate<A> {
        match held {
            Held::Fenced => Fate::NeverTaken,
            Held::Open => Fate::Open,
            Held::Done(answer) => Fate::Done(answer.clone()),
            Held::Failed => Fate::Failed,
        }
    }

    /// Forgets what ended longest ago, if there is no room; whether there is now. What is open is never forgotten.
    fn make_room(&mut self) -> bool {
        if self.held < self.most {
            return true;
        }
        let ended = self.origins.iter().flat_map(|(node, o)| {
            let ended = o.records.iter().filter(|(_, r)| !matches!(r.held, Held::Open));
            ended.map(move |(number, r)| (r.until, *node, *number))
        });
        match ended.min() {
            Some((_, node, number)) => {
                self.forget(node, number);
                true
            }
            None => false,
        }
    }

    fn forget(&mut self, node: u32, number: u64) {
        if let Some(origin) = self.origins.get_mut(&node) {
            if origin.records.remove(&number).is_some() {
                self.held -= 1;
                origin.floor = origin.floor.max(number + 1);
            }
        }
    }

    /// Time has passed: what ended long enough ago is forgotten.
    pub fn tick(&mut self, now: Millis) {
        let over: Vec<(u32, u64)> = self
            .origins
            .iter()
            .flat_map(|(node, o)| {
                let over = o.records.iter().filter(|(_, r)| !matches!(r.held, Held::Open) && r.until <= now);
                over.map(move |(number, _)| (*node, *number))
            })
            .collect();
        over.into_iter().for_each(|(node, number)| self.forget(node, number));
    }
}

// ---- the origin ----

/// The end of a request that was passed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum End<A> {
    /// This came of it.
    Answer(A),
    /// It never ran abroad, and never will: it may run here, or be refused.
    NeverRan,
    /// It may have run: it fails, and never runs again.
    MayHaveRun,
}

/// What the origin has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Todo<A> {
    /// Nothing but wait.
    Wait,
    /// Ask what became of the ticket, over a connection that holds.
    Ask,
    /// It has ended. Said once.
    End(End<A>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Offered; the link holds.
    Offered,
    /// The link has failed; the ticket has been asked about, and is again at the time.
    Asking { again: Millis },
    /// Nothing more happens.
    Ended,
}

/// A request that was passed on, at its origin.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Passed {
    /// The life of the peer that it was offered to; whoever asks has to say so.
    pub offered_to: u64,
    deadline: Millis,
    ask_every: Millis,
    state: State,
}

impl Passed {
    /// A request that has just been offered. Its client has its last word by `deadline`; a ticket that was asked about
    /// is asked about again after `ask_every`.
    pub fn new(offered_to: u64, deadline: Millis, ask_every: Millis) -> Self {
        Passed { offered_to, deadline, ask_every: ask_every.max(1), state: State::Offered }
    }

    /// It has ended.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// When [`Passed::tick`] has something to do; `None` once it has ended.
    pub fn due(&self) -> Option<Millis> {
        match self.state {
            State::Offered => Some(self.deadline),
            State::Asking { again } => Some(again.min(self.deadline)),
            State::Ended => None,
        }
    }

    fn end<A>(&mut self, end: End<A>) -> Todo<A> {
        if self.is_ended() {
            return Todo::Wait;
        }
        self.state = State::Ended;
        Todo::End(end)
    }

    /// The connection that it was offered over has failed, or has said nothing for too long.
    pub fn link_failed<A>(&mut self, now: Millis) -> Todo<A> {
        match self.state {
            State::Offered => {
                self.state = State::Asking { again: now.saturating_add(self.ask_every) };
                Todo::Ask
            }
            State::Asking { .. } | State::Ended => Todo::Wait,
        }
    }

    /// The peer has said what became of it: as the answer to the offer, or to a question. `by` is the life that says so.
    pub fn told<A>(&mut self, by: u64, fate: Fate<A>) -> Todo<A> {
        match fate {
            // Another life knows nothing of it, whatever it says.
            _ if by != self.offered_to => self.end(End::MayHaveRun),
            Fate::Done(answer) => self.end(End::Answer(answer)),
            Fate::NeverTaken => self.end(End::NeverRan),
            Fate::Failed | Fate::Forgotten => self.end(End::MayHaveRun),
            // The answer comes, or the next question brings it.
            Fate::Open => Todo::Wait,
        }
    }

    /// Time has passed.
    pub fn tick<A>(&mut self, now: Millis) -> Todo<A> {
        match self.state {
            State::Ended => Todo::Wait,
            _ if now >= self.deadline => self.end(End::MayHaveRun),
            State::Asking { again } if now >= again => {
                self.state = State::Asking { again: now.saturating_add(self.ask_every) };
                Todo::Ask
            }
            _ => Todo::Wait,
        }
    }
}
