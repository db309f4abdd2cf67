//! The children of a relay or of an author.

use crate::bucket::{Bucket, Budget, TRANSPORT_OVERHEAD};
use crate::chance::Chance;
use crate::child::Child;
use crate::feed::Source;
use crate::link::Link;
use crate::message::{self, Head, Payload, Received};
use crate::output::{Event, Output};
use crate::peer::PeerId;
use crate::report::Report;
use crate::resource::{Key, Selector};
use crate::session_end::Reason;
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// How children are served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServeRules {
    /// Most children at once; more are told to go elsewhere.
    pub children: usize,
    /// What is sent to a child that is a node.
    pub to_node: Budget,
    /// What is sent to a child that is a relay or an author.
    pub to_relay: Budget,
    /// A child hears something at least so often, in seconds.
    pub keepalive: Time,
    /// A child that was not heard for so long is forgotten, in seconds.
    pub silence: Time,
    /// New sessions a second; more are told to come back later.
    pub opens: f64,
    /// A child that is sent away comes back after so long at least and after twice as long at most, in seconds.
    pub rest: Time,
    /// How many times a child's own budget it may send before it is sent away.
    pub inflow: f64,
}

impl Default for ServeRules {
    fn default() -> ServeRules {
        ServeRules {
            children: 1024,
            to_node: Budget::DOWN,
            to_relay: Budget::CONTROL,
            keepalive: 2.0,
            silence: 20.0,
            opens: 100.0,
            rest: 2.0,
            inflow: 4.0,
        }
    }
}

/// See the module.
#[derive(Debug)]
pub struct Downstream {
    rules: ServeRules,
    chance: Chance,
    children: BTreeMap<PeerId, Child>,
    interests: BTreeMap<Selector, BTreeSet<(PeerId, u32)>>,
    /// Budgets of children that have gone: a new session brings no new budget.
    spent: BTreeMap<PeerId, Bucket>,
    /// Who sent more than it may is not heard until then.
    barred: BTreeMap<PeerId, Time>,
    opens: Bucket,
    wakes: BTreeMap<PeerId, Time>,
    due: BTreeSet<(u64, PeerId)>,
    fenced: bool,
}

/// The longest that a child that broke the rules is not heard, in seconds.
pub const BARRED_FOR: Time = 30.0;

/// A child is looked at so often at most without a cause, in seconds.
const LEAST_SLEEP: Time = 1e-3;

/// For so many times as many peers as there may be children, budgets are kept.
const SPENT_MOST: usize = 4;

/// What one new session takes of the bucket of new sessions.
const OPEN_COST: f64 = 100.0;

/// Moments are not negative, so their bits are in their order.
fn order(time: Time) -> u64 {
    time.max(0.0).to_bits()
}

impl Downstream {
    /// Without children.
    pub fn new(rules: ServeRules, seed: u64, now: Time) -> Downstream {
        let rate = rules.opens * OPEN_COST;
        Downstream {
            rules,
            chance: Chance::new(seed),
            children: BTreeMap::new(),
            interests: BTreeMap::new(),
            spent: BTreeMap::new(),
            barred: BTreeMap::new(),
            opens: Bucket::new(
                Budget {
                    rate,
                    burst: rate.max(OPEN_COST),
                },
                now,
            ),
            wakes: BTreeMap::new(),
            due: BTreeSet::new(),
            fenced: false,
        }
    }

    /// Who the children are.
    pub fn children(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.children.keys().copied()
    }

    /// Takes a child's frame in; gives back what it reports.
    pub fn receive(
        &mut self,
        now: Time,
        received: Received,
        source: Source,
        outputs: &mut Vec<Output>,
    ) -> Vec<Report> {
        let Received {
            from,
            bytes,
            head,
            payload,
        } = received;
        if self.barred.get(&from).is_some_and(|until| now < *until) {
            return Vec::new();
        }
        if let (Payload::Open { relay }, 1) = (&payload, head.number) {
            if !self.open(now, from, &head, *relay, outputs) {
                return Vec::new();
            }
        }
        let Some(child) = self.children.get_mut(&from) else {
            self.refuse(now, from, head.session, Reason::Unknown, outputs);
            return Vec::new();
        };
        if child.link().session() != head.session {
            self.refuse(now, from, head.session, Reason::Unknown, outputs);
            return Vec::new();
        }
        if !child.admits(now, bytes) {
            self.close(now, from, Reason::Flooded, outputs);
            return Vec::new();
        }
        let told = match child.link().take(now, &head) {
            Ok(arrival) if arrival.fresh => self.handle(from, payload, source),
            Ok(_) => Ok(Vec::new()),
            Err(why) => Err(why),
        };
        self.wake(now, from);
        told.unwrap_or_else(|why| {
            self.close(now, from, why, outputs);
            Vec::new()
        })
    }

    fn handle(
        &mut self,
        from: PeerId,
        payload: Payload,
        source: Source,
    ) -> Result<Vec<Report>, Reason> {
        let child = self.children.get_mut(&from).ok_or(Reason::Unknown)?;
        match payload {
            Payload::Acknowledge | Payload::Open { .. } => {}
            Payload::Subscribe(list) => {
                for new in list {
                    let (id, selector) = (new.id, new.selector.clone());
                    child.subscribe(new, source)?;
                    self.interests
                        .entry(selector)
                        .or_default()
                        .insert((from, id));
                }
            }
            Payload::Unsubscribe(list) => {
                for id in list {
                    if let Some(selector) = child.unsubscribe(id) {
                        forget(&mut self.interests, &selector, (from, id));
                    }
                }
            }
            Payload::Reports(reports) => {
                let sound = reports.iter().all(Report::sound);
                return if sound {
                    Ok(reports)
                } else {
                    Err(Reason::Misbehaved)
                };
            }
            Payload::Close { why, .. } => {
                self.fenced |= why == Reason::Fenced && child.is_relay();
                return Err(if why == Reason::Fenced {
                    why
                } else {
                    Reason::Replaced
                });
            }
            _ => return Err(Reason::Misbehaved),
        }
        Ok(Vec::new())
    }

    /// Whether a relay has said since the last call that it has heard of a later token.
    pub fn take_fenced(&mut self) -> bool {
        std::mem::take(&mut self.fenced)
    }

    /// Begins a session, unless there are too many or too many begin at once; whether it is there.
    ///
    /// Guards against all children of a relay that died coming at once. Harm: some come some seconds later.
    fn open(
        &mut self,
        now: Time,
        from: PeerId,
        head: &Head,
        relay: bool,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let old = self.children.get_mut(&from);
        if old.is_some_and(|child| child.link().session() == head.session) {
            return true;
        }
        let full = !self.children.contains_key(&from) && self.children.len() >= self.rules.children;
        if full
            || !self
                .opens
                .take(now, OPEN_COST as usize - TRANSPORT_OVERHEAD)
        {
            self.refuse(now, from, head.session, Reason::Busy, outputs);
            return false;
        }
        if self.children.contains_key(&from) {
            self.drop_child(from);
            outputs.push(Output::Event(Event::ChildLost {
                child: from,
                why: Reason::Replaced,
            }));
        }
        let budget = if relay {
            self.rules.to_relay
        } else {
            self.rules.to_node
        };
        let mut link = Link::new(from, head.session, false, budget, now);
        let spent = self.spent.remove(&from);
        if let Some(bucket) = spent.filter(|bucket| bucket.budget() == budget) {
            link = link.with_bucket(bucket);
        }
        let own = if relay { Budget::CONTROL } else { Budget::UP };
        let inflow = Budget {
            rate: self.rules.inflow * own.rate,
            burst: self.rules.inflow * own.burst,
        };
        self.children.insert(
            from,
            Child::new(link, relay, self.rules.keepalive, inflow, now),
        );
        true
    }

    /// Ends a child's session and tells it so.
    fn close(&mut self, now: Time, child: PeerId, why: Reason, outputs: &mut Vec<Output>) {
        if matches!(why, Reason::Flooded | Reason::Misbehaved) {
            self.bar(now, child);
        }
        let session = self
            .children
            .get_mut(&child)
            .map(|child| child.link().session());
        self.drop_child(child);
        outputs.push(Output::Event(Event::ChildLost { child, why }));
        if let Some(session) = session {
            self.refuse(now, child, session, why, outputs);
        }
    }

    /// Ends all sessions: an author has lost its lease.
    pub fn close_all(&mut self, now: Time, why: Reason, outputs: &mut Vec<Output>) {
        let all: Vec<PeerId> = self.children().collect();
        for child in all {
            self.close(now, child, why, outputs);
        }
    }

    fn bar(&mut self, now: Time, child: PeerId) {
        self.barred.retain(|_, until| now < *until);
        if self.barred.len() < self.rules.children {
            self.barred.insert(child, now + BARRED_FOR);
        }
    }

    /// Tells somebody that its session is not there, within its budget.
    pub fn refuse(
        &mut self,
        now: Time,
        to: PeerId,
        session: u64,
        why: Reason,
        outputs: &mut Vec<Output>,
    ) {
        let rest = self.chance.between(self.rules.rest, 2.0 * self.rules.rest);
        let payload = Payload::Close {
            why,
            rest_ms: (rest * 1e3) as u32,
        };
        let head = Head {
            session,
            up: false,
            number: 0,
            acknowledged: 0,
            stamp_us: 0,
            echo: None,
        };
        let frame = message::encode(&head, &payload);
        self.forget_spent(now);
        if !self.spent.contains_key(&to) && self.spent.len() >= self.spent_most() {
            return;
        }
        let full = Bucket::new(self.rules.to_node, now);
        let bucket = match self.children.get_mut(&to) {
            Some(child) => child.link().bucket_mut(),
            None => self.spent.entry(to).or_insert(full),
        };
        if bucket.take(now, frame.len()) {
            outputs.push(Output::Send { to, frame });
        }
    }

    fn spent_most(&self) -> usize {
        SPENT_MOST * self.rules.children
    }

    /// Buckets that are full again say nothing.
    fn forget_spent(&mut self, now: Time) {
        if self.spent.len() >= self.spent_most() {
            let most = self.rules.to_node.burst;
            self.spent.retain(|_, bucket| bucket.level(now) < most);
        }
    }

    fn drop_child(&mut self, peer: PeerId) {
        let Some(mut child) = self.children.remove(&peer) else {
            return;
        };
        if self.spent.len() < self.spent_most() {
            self.spent.insert(peer, child.link().bucket().clone());
        }
        for (id, selector) in child.selectors() {
            forget(&mut self.interests, selector, (peer, id));
        }
        self.unwake(peer);
    }

    /// The log has changed at a key.
    pub fn changed(&mut self, now: Time, key: &Key, source: Source) {
        for selector in Selector::all_of(&key.name.group) {
            let Some(interested) = self.interests.get(&selector) else {
                continue;
            };
            for (peer, id) in interested.clone() {
                if let Some(child) = self.children.get_mut(&peer) {
                    child.requeue(id, source);
                }
                self.wake(now, peer);
            }
        }
    }

    /// Something has changed that concerns all children.
    pub fn wake_all(&mut self, now: Time) {
        let all: Vec<PeerId> = self.children().collect();
        for peer in all {
            self.wake(now, peer);
        }
    }

    fn wake(&mut self, at: Time, peer: PeerId) {
        if !self.children.contains_key(&peer) {
            return;
        }
        self.unwake(peer);
        self.wakes.insert(peer, at);
        self.due.insert((order(at), peer));
    }

    fn unwake(&mut self, peer: PeerId) {
        if let Some(at) = self.wakes.remove(&peer) {
            self.due.remove(&(order(at), peer));
        }
    }

    /// Sends what is due and what the budgets allow.
    pub fn poll(&mut self, now: Time, source: Source, outputs: &mut Vec<Output>) {
        let due = self.due.range(..=(order(now), PeerId(u32::MAX)));
        let due: Vec<PeerId> = due.map(|(_, peer)| *peer).collect();
        for peer in due {
            let Some(child) = self.children.get_mut(&peer) else {
                continue;
            };
            let silent_at = child.heard_at() + self.rules.silence;
            if now >= silent_at {
                self.close(now, peer, Reason::Silent, outputs);
                continue;
            }
            child.poll(now, source, outputs);
            let next = child.next_wakeup(now, source).min(silent_at);
            self.wake(next.max(now + LEAST_SLEEP), peer);
        }
    }

    /// When a child is due.
    pub fn next_wakeup(&self) -> Time {
        self.due
            .first()
            .map_or(f64::INFINITY, |(bits, _)| f64::from_bits(*bits))
    }
}

fn forget(
    interests: &mut BTreeMap<Selector, BTreeSet<(PeerId, u32)>>,
    selector: &Selector,
    who: (PeerId, u32),
) {
    if let Some(set) = interests.get_mut(selector) {
        set.remove(&who);
        if set.is_empty() {
            interests.remove(selector);
        }
    }
}
