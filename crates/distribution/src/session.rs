//! A child's session with its upstream: what it asked for, and what is on its way.

use crate::bucket::Bucket;
use crate::chunks::Assemblies;
use crate::coverage::{Coverage, Span};
use crate::epoch::Epoch;
use crate::frame;
use crate::link::{Arrival, Link};
use crate::message::{Payload, Subscribe};
use crate::output::Output;
use crate::report::{Report, Waiting};
use crate::resource::{Change, Selector, Version};
use crate::session_end::Reason;
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Most subscriptions that have ended and are remembered in a session; with more, a new session begins.
pub(crate) const ENDED_MOST: usize = 4096;
/// Most keys in one listing.
const LISTED_MOST: usize = 2_000_000;
/// Most spans of a subscription that are told to an upstream.
const SPANS_TOLD: usize = 8;
/// What a frame with a list takes beside it.
const LIST_OVERHEAD: usize = 16;
/// What one number of a subscription takes in a frame at most.
const ID_BYTES: usize = 8;

/// What an upstream has said.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// Who the author is.
    Epoch(Epoch),
    /// Changes; once they are stored, [`crate::upstream::Upstream::cover`] is to be called.
    Changes {
        /// Of which subscription.
        selector: Selector,
        /// What is covered by them.
        span: Span,
        /// The changes.
        changes: Vec<Change>,
    },
    /// All keys of a selector: others with this version or an earlier one are no more.
    Listed {
        /// Of what.
        selector: Selector,
        /// The version.
        floor: Version,
        /// The digests of the keys.
        digests: BTreeSet<u64>,
    },
    /// All that the upstream was asked for when it wrote this has come.
    Current {
        /// The latest version that the upstream has.
        head: Version,
        /// Removals up to this version may have been forgotten there.
        floor: Version,
        /// How old that is at most, in seconds, if it holds for everything that was complete before.
        age: Option<Time>,
    },
}

/// What is known of a subscription, in whatever session.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Which versions have come.
    pub coverage: Coverage,
    /// All removals up to this version are known.
    pub floor: Version,
    /// All of it had come at some time.
    pub complete: bool,
    /// Changes of it may be here, also where nothing is covered.
    pub has_changes: bool,
    pub(crate) id: Option<u32>,
    pub(crate) asked: Option<u64>,
}

/// Subscriptions by what they ask for, and those that the upstream has not been asked for yet.
#[derive(Debug, Default)]
pub(crate) struct Subscriptions {
    pub held: BTreeMap<Selector, Held>,
    pub unasked: BTreeSet<Selector>,
}

impl Subscriptions {
    /// A session has ended: the next one is asked for all.
    pub fn ask_again(&mut self) {
        for held in self.held.values_mut() {
            held.id = None;
            held.asked = None;
        }
        self.unasked = self.held.keys().cloned().collect();
    }
}

#[derive(Debug)]
pub(crate) struct Session {
    pub link: Link,
    next_id: u32,
    selectors: BTreeMap<u32, Selector>,
    /// Subscriptions that have ended, and the payload that said so.
    ended: BTreeMap<u32, Option<u64>>,
    pub assemblies: Assemblies,
    listing: Option<(u32, BTreeSet<u64>)>,
    /// Reports that are under way.
    pub reports: Vec<Report>,
    pub progress_at: Time,
    /// It was told something fresh.
    pub brought_news: bool,
    pub inflow: Bucket,
}

impl Session {
    /// Over a link whose beginning the upstream has answered.
    pub fn new(link: Link, inflow: Bucket, now: Time) -> Session {
        Session {
            link,
            next_id: 0,
            selectors: BTreeMap::new(),
            ended: BTreeMap::new(),
            assemblies: Assemblies::default(),
            listing: None,
            reports: Vec::new(),
            progress_at: now,
            brought_news: false,
            inflow,
        }
    }

    /// What a subscription asks for; none if it has ended and the upstream may not know.
    ///
    /// Guards against an upstream that sends what was never asked for. Harm: none.
    pub fn asked_for(&self, id: u32, arrival: Arrival) -> Result<Option<Selector>, Reason> {
        if let Some(selector) = self.selectors.get(&id) {
            return Ok(Some(selector.clone()));
        }
        match self.ended.get(&id) {
            Some(Some(said)) if *said <= arrival.acknowledged => Err(Reason::Misbehaved),
            Some(_) => Ok(None),
            None => Err(Reason::Misbehaved),
        }
    }

    /// Ends a subscription; the upstream hears of it later.
    pub fn end(&mut self, id: u32) {
        self.selectors.remove(&id);
        self.ended.insert(id, None);
    }

    /// Whether too many subscriptions have ended in this session.
    pub fn is_worn(&self) -> bool {
        self.ended.len() > ENDED_MOST
    }

    /// Takes in a part of a list of keys; gives back the list after its last part.
    pub fn list(
        &mut self,
        arrival: Arrival,
        id: u32,
        first: bool,
        last: bool,
        digests: Vec<u64>,
    ) -> Result<Option<(Selector, BTreeSet<u64>)>, Reason> {
        let asked = self.asked_for(id, arrival)?;
        if first {
            self.listing = Some((id, BTreeSet::new()));
        }
        let listing = self.listing.as_mut().filter(|(listed, _)| *listed == id);
        let (_, keys) = listing.ok_or(Reason::Misbehaved)?;
        keys.extend(digests);
        if keys.len() > LISTED_MOST {
            return Err(Reason::Misbehaved);
        }
        if !last {
            return Ok(None);
        }
        let keys = self.listing.take().map(|(_, keys)| keys);
        Ok(asked.zip(keys))
    }

    /// Whether there is something to tell the upstream.
    pub fn has_work(&self, subscriptions: &Subscriptions, reports: &Waiting) -> bool {
        let ended = self.ended.values().any(Option::is_none);
        !subscriptions.unasked.is_empty() || ended || !reports.is_empty()
    }

    /// Sends the next payload, if there is one and the budget allows the longest.
    pub fn send_next(
        &mut self,
        now: Time,
        subscriptions: &mut Subscriptions,
        reports: &mut Waiting,
        outputs: &mut Vec<Output>,
    ) {
        let room = self.link.room_most();
        if !self.link.is_free()
            || self.link.room(now) < room
            || !self.has_work(subscriptions, reports)
        {
            return;
        }
        let payload = if !subscriptions.unasked.is_empty() {
            Payload::Subscribe(self.ask(subscriptions, room))
        } else if self.ended.values().any(Option::is_none) {
            Payload::Unsubscribe(self.say_ended(room))
        } else {
            self.reports = reports.take(room - LIST_OVERHEAD);
            Payload::Reports(self.reports.clone())
        };
        self.link.send(now, &payload, outputs);
    }

    /// As many subscriptions as fit into a frame, and at least one.
    fn ask(&mut self, subscriptions: &mut Subscriptions, room: usize) -> Vec<Subscribe> {
        let number = self.link.sent() + 1;
        let mut list = Vec::new();
        let mut bytes = LIST_OVERHEAD;
        while let Some(selector) = subscriptions.unasked.first().cloned() {
            let Some(held) = subscriptions.held.get_mut(&selector) else {
                subscriptions.unasked.pop_first();
                continue;
            };
            let id = self.next_id;
            let coverage = held.coverage.cut(SPANS_TOLD);
            let (floor, has_changes) = (held.floor, held.has_changes);
            let subscribe = Subscribe {
                id,
                selector: selector.clone(),
                coverage,
                floor,
                has_changes,
            };
            bytes += frame::written(&subscribe);
            if bytes > room && !list.is_empty() {
                break;
            }
            held.id = Some(id);
            held.asked = Some(number);
            self.next_id += 1;
            self.selectors.insert(id, selector);
            list.push(subscribe);
            subscriptions.unasked.pop_first();
        }
        list
    }

    fn say_ended(&mut self, room: usize) -> Vec<u32> {
        let number = self.link.sent() + 1;
        let unsaid = self.ended.iter_mut().filter(|(_, said)| said.is_none());
        let mut list = Vec::new();
        for (id, said) in unsaid.take(room / ID_BYTES) {
            *said = Some(number);
            list.push(*id);
        }
        list
    }
}
