//! Whom a process follows: an author for the first relays, a relay for the others and for nodes.
//!
//! | state | ends |
//! | --- | --- |
//! | idle | when [`Upstream::resume`] is called |
//! | resting | after a drawn time, see [`Upstream::rest`] and [`Upstream::rest_in_vain`] |
//! | opening: one candidate after the other is asked | when the first answers; when none has answered within [`FollowRules::answer`] |
//! | following | when nothing was heard for [`FollowRules::silence`]; when nothing new came for [`FollowRules::stale`] and there is somebody else; when the upstream says so or breaks the rules |

use crate::attempts::Attempts;
use crate::bucket::Bucket;
use crate::candidates::Candidates;
use crate::chance::Chance;
use crate::chunks::Part;
use crate::coverage::{Coverage, Span};
use crate::epoch::Epoch;
use crate::follow::{FollowRules, PATIENCE_MOST};
use crate::link::Arrival;
use crate::message::{Head, Payload, Received};
use crate::output::{Event, Output};
use crate::peer::PeerId;
use crate::report::{Report, Waiting};
use crate::resource::{Change, Selector, Version};
use crate::session::{Heard, Held, Session, Subscriptions};
use crate::session_end::Reason;
use crate::Time;
use reelfall_lease::token::{Fence, LeaseName};

mod opening;

#[derive(Debug)]
enum State {
    Resting { until: Time },
    Opening(Attempts),
    Following(Box<Session>),
}

/// An upstream is left alone after it broke the rules, in seconds.
const BROKE_RULES_REST: Time = 120.0;
/// Any upstream would send what there is no room for again, so it is left alone for longer, in seconds.
const NO_ROOM_REST: Time = 30.0;

/// See the module.
#[derive(Debug)]
pub struct Upstream {
    rules: FollowRules,
    lease: LeaseName,
    chance: Chance,
    state: State,
    subscriptions: Subscriptions,
    candidates: Candidates,
    /// How many times [`FollowRules::stale`] the upstream is borne with.
    patience: f64,
    fence: Fence,
    /// What may be sent, while no session is followed.
    bucket: Bucket,
    reports: Waiting,
}

impl Upstream {
    /// Follows nobody yet; the first is drawn within [`FollowRules::spread`].
    pub fn new(rules: FollowRules, lease: LeaseName, seed: u64, now: Time) -> Upstream {
        let mut chance = Chance::new(seed);
        let until = now + chance.between(0.0, rules.spread);
        Upstream {
            candidates: Candidates::new(&rules),
            bucket: Bucket::new(rules.budget, now),
            rules,
            lease,
            chance,
            state: State::Resting { until },
            subscriptions: Subscriptions::default(),
            patience: 1.0,
            fence: Fence::new(1),
            reports: Waiting::default(),
        }
    }

    /// Asks for more, of which so much is known already.
    pub fn subscribe(&mut self, selector: Selector, coverage: Coverage, floor: Version) {
        if self.subscriptions.held.contains_key(&selector) {
            return;
        }
        let complete = coverage.is_whole();
        let has_changes = !coverage.is_empty();
        let held = Held {
            coverage,
            floor,
            complete,
            has_changes,
            ..Held::default()
        };
        self.subscriptions.unasked.insert(selector.clone());
        self.subscriptions.held.insert(selector, held);
    }

    /// Asks for less; whether it was asked for.
    pub fn unsubscribe(&mut self, selector: &Selector) -> bool {
        let Some(held) = self.subscriptions.held.remove(selector) else {
            return false;
        };
        self.subscriptions.unasked.remove(selector);
        if let (State::Following(session), Some(id)) = (&mut self.state, held.id) {
            session.end(id);
        }
        true
    }

    /// What is asked for.
    pub fn held(&self) -> impl Iterator<Item = (&Selector, &Held)> {
        self.subscriptions.held.iter()
    }

    /// What is known of a subscription.
    pub fn held_of(&self, selector: &Selector) -> Option<&Held> {
        self.subscriptions.held.get(selector)
    }

    /// Whom it follows; while nobody has answered, whom it asked last.
    pub fn following(&self) -> Option<PeerId> {
        match &self.state {
            State::Following(session) => Some(session.link.peer()),
            State::Opening(attempts) => attempts.latest(),
            State::Resting { .. } => None,
        }
    }

    /// A change has been stored: this span is covered.
    pub fn cover(&mut self, selector: &Selector, span: Span) {
        if let Some(held) = self.subscriptions.held.get_mut(selector) {
            held.coverage.add(span);
            held.has_changes = true;
        }
    }

    /// Changes of a subscription are here, though none may be covered.
    ///
    /// Guards against removals that are never heard of: who ended before it stored what it covers would be taken for one
    /// that has nothing. Harm: a list of keys where removals were forgotten meanwhile.
    pub fn has_changes(&mut self, selector: &Selector) {
        if let Some(held) = self.subscriptions.held.get_mut(selector) {
            held.has_changes = true;
        }
    }

    /// What was taken for covered has never come: it is asked for again in a new session.
    pub(crate) fn ask_anew(&mut self, now: Time, lacking: &Coverage, outputs: &mut Vec<Output>) {
        let Some(first) = lacking.spans().first() else {
            return;
        };
        for held in self.subscriptions.held.values_mut() {
            held.coverage = held.coverage.without(lacking);
            held.floor = held.floor.min(first.after);
        }
        self.leave(now, Reason::Replaced, outputs);
    }

    /// All removals of a selector up to a version are known.
    pub fn removals_known(&mut self, selector: &Selector, floor: Version) {
        if let Some(held) = self.subscriptions.held.get_mut(selector) {
            held.floor = held.floor.max(floor);
        }
    }

    /// Something to tell upwards.
    pub fn report(&mut self, report: Report) {
        self.reports.add(report);
    }

    /// Takes an author's claim in.
    ///
    /// # Errors
    /// If it is of another lease, or if a later token has been seen.
    pub fn admit(&mut self, epoch: &Epoch) -> Result<(), Reason> {
        if epoch.claim.lease != self.lease {
            return Err(Reason::Misbehaved);
        }
        self.fence.admit(&epoch.claim).map_err(|_| Reason::Fenced)
    }

    /// The highest token that was seen.
    pub fn token_seen(&self) -> u64 {
        self.fence.highest(&self.lease).unwrap_or(0)
    }

    /// Follows nobody until [`Upstream::resume`].
    pub fn suspend(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.end_attempts(now, outputs);
        self.leave(now, Reason::Replaced, outputs);
        self.state = State::Resting {
            until: f64::INFINITY,
        };
    }

    /// Follows again.
    pub fn resume(&mut self, now: Time) {
        if let State::Resting { until } = &mut self.state {
            *until = until.min(now + self.chance.between(0.0, self.rules.spread));
        }
    }

    /// Leaves the upstream, which has nothing more to say, and follows another one at once.
    pub fn move_on(&mut self, now: Time, rest: Time, outputs: &mut Vec<Output>) {
        let State::Following(session) = &self.state else {
            return;
        };
        let peer = session.link.peer();
        self.leave(now, Reason::Replaced, outputs);
        self.candidates.bar(peer, now + rest);
        self.state = State::Resting { until: now };
    }

    /// Leaves the upstream; another one is drawn after a rest.
    pub fn leave(&mut self, now: Time, why: Reason, outputs: &mut Vec<Output>) {
        let alone_for = match why {
            Reason::Misbehaved | Reason::Flooded => BROKE_RULES_REST,
            Reason::Busy => NO_ROOM_REST,
            Reason::Fenced => self.rules.rest_most,
            Reason::Unknown | Reason::Replaced | Reason::Silent | Reason::Stale => 0.0,
        };
        if let State::Following(session) = &mut self.state {
            session
                .link
                .say(now, &Payload::Close { why, rest_ms: 0 }, outputs);
        }
        self.leave_for(now, why, alone_for, outputs);
    }

    fn leave_for(&mut self, now: Time, why: Reason, alone_for: Time, outputs: &mut Vec<Output>) {
        if !matches!(self.state, State::Following(_)) {
            return;
        }
        let old = std::mem::replace(&mut self.state, State::Resting { until: now });
        let State::Following(session) = old else {
            return;
        };
        let is_silent = now >= self.silent_at(&session);
        self.failed(now, session.link.peer(), why, is_silent, alone_for, outputs);
        if why == Reason::Stale && !session.brought_news {
            self.patience = (2.0 * self.patience).min(PATIENCE_MOST);
        }
        let rest = if session.link.is_answered() {
            self.rest()
        } else {
            self.rest_in_vain(0.0)
        };
        self.state = State::Resting { until: now + rest };
        self.bucket = session.link.bucket().clone();
        self.reports.restore(session.reports);
        self.subscriptions.ask_again();
    }

    /// A candidate was of no use; it is left alone for a time.
    fn failed(
        &mut self,
        now: Time,
        upstream: PeerId,
        why: Reason,
        is_silent: bool,
        alone_for: Time,
        outputs: &mut Vec<Output>,
    ) {
        self.candidates.bar(upstream, now + alone_for);
        if why != Reason::Replaced {
            let broke_rules = matches!(why, Reason::Misbehaved | Reason::Flooded);
            self.candidates
                .failed(upstream, now, broke_rules || is_silent);
        }
        outputs.push(Output::Event(Event::Left { upstream, why }));
    }

    /// How long to rest after an upstream that was heard. Guards against all children of a relay that died coming to the
    /// next at once. Harm: a child alone waits, too.
    fn rest(&mut self) -> Time {
        self.chance
            .between(0.0, self.rules.spread.min(self.rules.rest_most))
    }

    /// Takes an upstream's frame in. Frames of others are left.
    pub fn receive(
        &mut self,
        now: Time,
        received: Received,
        outputs: &mut Vec<Output>,
    ) -> Option<Heard> {
        self.take_answer(now, &received, outputs);
        let Received {
            from,
            bytes,
            head,
            payload,
        } = received;
        let State::Following(session) = &mut self.state else {
            return None;
        };
        if session.link.peer() != from || session.link.session() != head.session {
            return None;
        }
        // Guards against an upstream that sends without end. Harm: none; a relay's own bucket is a quarter of it.
        if !session.inflow.take(now, bytes) {
            self.leave(now, Reason::Flooded, outputs);
            return None;
        }
        self.take(now, &head, payload, outputs)
            .unwrap_or_else(|why| {
                self.leave(now, why, outputs);
                None
            })
    }

    fn take(
        &mut self,
        now: Time,
        head: &Head,
        payload: Payload,
        outputs: &mut Vec<Output>,
    ) -> Result<Option<Heard>, Reason> {
        let State::Following(session) = &mut self.state else {
            return Ok(None);
        };
        let arrival = session.link.take(now, head)?;
        if !arrival.fresh {
            return Ok(None);
        }
        if session.link.is_free() {
            session.reports.clear();
        }
        match payload {
            Payload::Acknowledge => Ok(None),
            Payload::Close { why, rest_ms } => {
                self.leave_for(now, why, self.rest_asked(rest_ms), outputs);
                Ok(None)
            }
            Payload::Epoch(epoch) => self.epoch(epoch),
            Payload::Changes { id, span, changes } => self.changes(now, arrival, id, span, changes),
            Payload::Chunk { id, span, chunk } => {
                if session.asked_for(id, arrival)?.is_none() {
                    return Ok(None);
                }
                session.progress_at = now;
                match session.assemblies.take(id, chunk) {
                    Part::More => Ok(None),
                    Part::Whole(change) => self.changes(now, arrival, id, span, vec![*change]),
                    Part::Wrong => Err(Reason::Misbehaved),
                }
            }
            Payload::Manifest {
                id,
                first,
                last,
                floor,
                digests,
            } => {
                let listed = session.list(arrival, id, first, last, digests)?;
                session.progress_at = now;
                Ok(listed.map(|(selector, digests)| Heard::Listed {
                    selector,
                    floor,
                    digests,
                }))
            }
            Payload::Current {
                head,
                removals,
                floor,
                age_us,
            } => {
                let age = self.current(now, arrival, head, removals, age_us);
                Ok(Some(Heard::Current { head, floor, age }))
            }
            _ => Err(Reason::Misbehaved),
        }
    }

    fn epoch(&mut self, epoch: Epoch) -> Result<Option<Heard>, Reason> {
        if !epoch.known.sound() {
            return Err(Reason::Misbehaved);
        }
        self.admit(&epoch)?;
        Ok(Some(Heard::Epoch(epoch)))
    }

    /// Guards against changes that nobody asked for, and against spans that their changes are not in. Harm: none.
    fn changes(
        &mut self,
        now: Time,
        arrival: Arrival,
        id: u32,
        span: Span,
        changes: Vec<Change>,
    ) -> Result<Option<Heard>, Reason> {
        let State::Following(session) = &mut self.state else {
            return Ok(None);
        };
        let Some(selector) = session.asked_for(id, arrival)? else {
            return Ok(None);
        };
        let fits = |change: &Change| {
            let inside = span.after < change.version && change.version <= span.upto;
            change.sound() && inside && selector.holds(&change.key.name.group)
        };
        if span.after >= span.upto || !changes.iter().all(fits) {
            return Err(Reason::Misbehaved);
        }
        session.progress_at = now;
        Ok(Some(Heard::Changes {
            selector,
            span,
            changes,
        }))
    }

    /// How old what is here is at most, by the word that all was sent. What was asked for after the upstream wrote it is not
    /// in it. Removals are known as far as the upstream knew them: it may have all changes before it is told which keys are
    /// no more.
    fn current(
        &mut self,
        now: Time,
        arrival: Arrival,
        head: Version,
        removals: Version,
        age_us: Option<u64>,
    ) -> Option<Time> {
        let mut all = true;
        for held in self.subscriptions.held.values_mut() {
            if held
                .asked
                .is_some_and(|asked| asked <= arrival.acknowledged)
            {
                held.coverage.add(Span {
                    after: Version::ZERO,
                    upto: head,
                });
                held.floor = held.floor.max(removals);
                held.complete = true;
            } else {
                // A copy of everything is whole or it is not; a node may wait for one subscription of many.
                all &= !held.complete && !self.rules.relay;
            }
        }
        let age = age_us
            .zip(arrival.transit)
            .map(|(age_us, transit)| age_us as f64 / 1e6 + transit);
        if let State::Following(session) = &mut self.state {
            if age.is_some_and(|age| age <= self.rules.stale) {
                session.progress_at = now;
                session.brought_news = true;
                self.patience = 1.0;
                self.candidates.succeeded();
            }
        }
        age.filter(|_| all)
    }

    /// Sends what is due; draws an upstream after a rest, and leaves one that is of no use.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        match &self.state {
            State::Resting { until } if now >= *until => {
                self.state = State::Opening(Attempts::new(now))
            }
            State::Resting { .. } | State::Opening(_) => {}
            State::Following(session) => {
                if let Some(why) = self.fault(now, session) {
                    self.leave(now, why, outputs);
                }
            }
        }
        self.end_late_attempts(now, outputs);
        self.begin_attempt(now, outputs);
        let State::Following(session) = &mut self.state else {
            return;
        };
        session.link.flush_repeats(now, outputs);
        session.send_next(now, &mut self.subscriptions, &mut self.reports, outputs);
        session.link.flush(now, outputs);
        if now >= session.link.wrote_at() + self.rules.keepalive {
            session.link.say(now, &Payload::Acknowledge, outputs);
        }
    }

    /// Guards against an upstream that died, stands still, or is itself cut off. Harm: a child of a relay that is silent for
    /// a moment longer comes back elsewhere, with what it has.
    fn fault(&self, now: Time, session: &Session) -> Option<Reason> {
        if now >= self.silent_at(session) {
            return Some(Reason::Silent);
        }
        if now >= self.stale_at(session) {
            return Some(Reason::Stale);
        }
        session.is_worn().then_some(Reason::Replaced)
    }

    fn silent_at(&self, session: &Session) -> Time {
        session.link.heard_at() + self.rules.silence
    }

    /// Guards against children that go from one relay to the next while all are cut off: each finds the others as old as the
    /// first. Harm: after two that are cut off, a third that is not is found later.
    fn stale_at(&self, session: &Session) -> Time {
        if self.candidates.has_others() {
            session.progress_at + self.patience * self.rules.stale
        } else {
            f64::INFINITY
        }
    }

    /// For how long an upstream asks to be left alone.
    fn rest_asked(&self, rest_ms: u32) -> Time {
        let rest = f64::from(rest_ms) / 1e3;
        rest.min(self.rules.rest_most)
    }

    /// When something is due.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let session = match &self.state {
            State::Resting { until } => return *until,
            State::Opening(attempts) => {
                let free_at = self.candidates.free_at(&attempts.peers());
                return attempts.next_wakeup(now, &self.bucket, free_at);
            }
            State::Following(session) => session,
        };
        let fault = self.silent_at(session).min(self.stale_at(session));
        let keepalive = session.link.wrote_at() + self.rules.keepalive;
        let keepalive = keepalive.max(session.link.ready(now, 0));
        let work = session.link.is_free() && session.has_work(&self.subscriptions, &self.reports);
        let payload = if work {
            session.link.ready(now, session.link.room_most())
        } else {
            f64::INFINITY
        };
        fault
            .min(keepalive)
            .min(payload)
            .min(session.link.next_wakeup(now))
    }
}
