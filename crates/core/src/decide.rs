//! Every decision of a node. The types, events and actions are in `crates/core/src/interface.rs`.
//!
//! One learning automaton a node, after Yazidi et al.: a request's server is drawn from the vector `p`; an
//! answer no slower than the mean of the averages pays off and moves `p` towards the server that gave it.
//! Everything else is an exception around that draw, a function of its own with its condition stated.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Step of an average. A node that sees a server once in seconds must learn from a handful of answers.
const ALPHA: f64 = 0.2;
/// Step of the vector, for a mean entry: theta = STEP / r, so that a payoff moves an entry by a tenth of its
/// fair share however long the list. At hundreds of payoffs a second a larger step makes the vector noise.
const STEP: f64 = 0.1;
/// From this many servers on, the step grows with the list, to three times as much.
const LONG_LIST: f64 = 24.0;
/// Visits a second that a node should make to each server of its part of a long list: enough that an average
/// is of the last seconds, that a connection is met again before it is closed, and that few nodes find each
/// sick one.
const VISITS: f64 = 2.0;
/// The least part, and the least nodes that each server is a part of: chance must not decide what it gets.
const PART_LEAST: f64 = 8.0;
/// The whole floor: p_min = FLOOR / r leaves this share of the draws to exploration at any length.
const FLOOR: f64 = 0.1;
/// An attempt is overdue at this multiple of the mean response for its size; three means are rare by chance.
const OVERDUE: f64 = 3.0;
/// Most of the list that ejection may mask, so that a trouble common to all ejects nobody in effect.
const EJECT_CAP: f64 = 0.2;
/// The same for servers that can't be reached: a zone may be lost.
const DEAD_CAP: f64 = 0.5;
/// Longest doubling of an ejection.
const EJECT_DOUBLINGS: u32 = 3;
/// A server that holds more than this multiple of its part of the node's open requests waits its turn.
const HELD: f64 = 1.5;
/// How steeply a server's weight falls with what this node has out there: a draw should find the few that are
/// free. The vector alone learns of a queue when the answers that waited in it are back.
const QUEUE_SHY: i32 = 8;
/// How steeply it falls with the server's average against the mean, and the most that counts for.
const SLOW_SHY: i32 = 2;
const SLOW_MOST: f64 = 3.0;
/// The average of a server that was sent nothing for so long, or nothing yet, is hearsay: it shuns nobody.
const UNSEEN: Time = 2.0;
/// A server that was off the list for no longer than this has flapped, and comes back with its average.
const FLAP: Time = 0.5;
/// A returning server gets this share of its draws until it has answered well once.
const RETURN_SHARE: f64 = 0.3;
/// What may not be repeated goes to a server that has not answered well yet, or not since it failed, with
/// this part of its draws where there is something else to try it with.
const UNSOUND: f64 = 0.2;
/// Retries that a quiet stretch may save up.
const RETRY_SAVED: f64 = 10.0;
/// Part of a cold server's stated tolerance that is used; the rest covers uneven nodes and chance.
const COLD_SAFETY: f64 = 0.7;
/// Capacity assumed for a server before any was seen working: half of one standard core.
const COLD_PRIOR: f64 = 0.5;
/// An answer past this part of the aim counts as late for admission: past the aim is too late to act.
const EARLY: f64 = 0.95;
/// Nothing under this part of the aim counts as late for admission: where the unloaded response is a small
/// part of the aim, three of it are a short queue, and cutting on it refuses work that there is room for.
const LATE_FROM: f64 = 0.6;
/// How fast the unloaded response may rise a second, so that a slower fleet becomes the rule in a minute; and
/// how fast it is forgotten what servers were seen to bear.
const BASE_CREEP: f64 = 0.01;
/// Share of late answers at which admission is cut, and the cut.
const LATE_HIGH: f64 = 0.18;
const ADMIT_CUT: f64 = 0.8;
/// Admission regained in one shortest deadline.
const ADMIT_GAIN: f64 = 0.12;
/// Where the lateness stands after a cut, and under which recovery starts, as parts of `LATE_HIGH`.
const LATE_AFTER: f64 = 0.85;
const LATE_CALM: f64 = 0.85;
/// Admission never falls below this, or nothing would show that the trouble has passed.
const ADMIT_MIN: f64 = 0.1;
/// Least weight of a server outside the zone beside one inside: its worth stays known, and an idle far server
/// is preferred to a near one that holds two requests more than it can work on.
const SPILL_MIN: f64 = 0.15;
/// Step of the share of answers past the aim, inside and outside the zone.
const MISSED_STEP: f64 = 0.05;
/// How fast the weight of servers outside the zone follows what crossing gains: by which part a second for a
/// gain of one request in time.
const SPILL_PACE: f64 = 7.0;
/// A key that draws this part of a server's fair share of traffic is hot.
const HOT_KEY: f64 = 0.5;
/// Counters for hot keys; a collision only costs a sticky draw.
const KEY_SLOTS: usize = 256;
/// Servers of which something is kept after they left, and for how long: one that flaps comes back as it was.
const LEFT_MOST: usize = 64;
const LEFT_FOR: Time = 60.0;
const SWEEP: u64 = 0;
const WATCH: u64 = 1;

/// Sampling vector and response averages of one node, by position in its list.
#[derive(Clone, Debug, Default)]
pub struct Automaton {
    /// Sending probabilities; they sum to 1 and none is under [`Automaton::floor`].
    pub p: Vec<f64>,
    /// Moving averages of response time.
    pub average: Vec<f64>,
}

impl Automaton {
    /// p_min: shrinks with the list, so that it never eats the vector.
    pub fn floor(&self) -> f64 {
        FLOOR / self.p.len().max(1) as f64
    }

    fn theta(&self) -> f64 {
        let r = self.p.len().max(1) as f64;
        // Payoffs are rare where many nodes share a long list: there the step stays what it was before.
        (STEP * (r / LONG_LIST).clamp(1.0, 3.0) / r).min(ALPHA / 2.0)
    }

    /// Moves the one average that was seen.
    pub fn observe(&mut self, i: usize, response: f64) {
        self.average[i] += ALPHA * (response - self.average[i]);
    }

    /// A payoff for `i`: its entry moves towards p_max, all others towards p_min.
    pub fn reward(&mut self, i: usize) {
        let (theta, floor) = (self.theta(), self.floor());
        for p in &mut self.p {
            *p += theta * (floor - *p);
        }
        // p_max - p_min = 1 - r p_min = 1 - FLOOR.
        self.p[i] += theta * (1.0 - FLOOR);
    }

    /// Adds an entry with `share` times the mean entry.
    pub fn join(&mut self, share: f64, average: f64) {
        let mean = 1.0 / self.p.len().max(1) as f64;
        self.p.push(share.max(FLOOR) * mean);
        self.average.push(average);
        self.settle();
    }

    /// Removes an entry; the last one takes its place.
    pub fn leave(&mut self, i: usize) {
        self.p.swap_remove(i);
        self.average.swap_remove(i);
        self.settle();
    }

    /// Restores the sum and the floor, keeping the proportions of what lies above it.
    pub fn settle(&mut self) {
        let floor = self.floor();
        let above: f64 = self.p.iter().map(|p| (p - floor).max(0.0)).sum();
        let (n, even) = (self.p.len() as f64, above <= 0.0);
        for p in &mut self.p {
            let part = if even { 1.0 / n } else { (*p - floor).max(0.0) / above };
            *p = floor + (1.0 - FLOOR) * part;
        }
    }
}

/// What this node knows of one listed server.
struct Server {
    entry: Entry,
    /// Bad answers in a row, and whether the last of them was more than lateness.
    strikes: u32,
    failing: bool,
    /// It could not be reached, or said nothing time and again: no load of the fleet explains that.
    dead: bool,
    /// Its last word was a good answer.
    sound: bool,
    /// It is of this node's part of the list.
    own: bool,
    ejected_until: Time,
    /// Tells this stay on the list from an earlier one: attempts of that one count no more.
    stay: u32,
    /// Attempts out, and those of them that are overdue.
    open: u32,
    overdue: u32,
    /// The latest time of sending that it has answered: what was sent before and is still out is held up on
    /// its own connection, and tells nothing of the server.
    heard: Time,
    /// Work that may still be sent while it is cold.
    budget: f64,
    /// Answers since the last look at kin.
    visits: f64,
    /// When it was sent something last; 0 if nothing since it came.
    asked: Time,
}

/// What is kept of a server that left the list.
struct Left {
    hash: u64,
    ready_at: Time,
    at: Time,
    /// Its entry of the vector as a multiple of the mean.
    share: f64,
    average: f64,
    budget: f64,
}

struct Attempt {
    server: ServerId,
    stay: u32,
    sent: Time,
    overdue: bool,
}

/// One request until its last attempt has ended.
struct Request {
    class: ClassId,
    key: Option<u64>,
    work: f64,
    hinted: bool,
    /// Work against the typical request, pulled half way to it: waiting does not grow with a request's size.
    size: f64,
    deadline: Time,
    made: u32,
    out: Option<Attempt>,
    tried: Vec<ServerId>,
    /// Zone, cell and time of the first attempt that may have run.
    ran: Option<(ZoneId, u32, Time)>,
    answered: bool,
    /// Row in the admission tally.
    row: usize,
}

/// Work asked for and served of one class, within or over the tenant's share.
#[derive(Clone, Copy, Default)]
struct Tally {
    asked: f64,
    served: f64,
}

/// The decision maker of one node.
pub struct Balancer {
    settings: Settings,
    rng: u64,
    started: bool,
    automaton: Automaton,
    servers: Vec<Server>,
    slot: Vec<Option<usize>>,
    stays: u32,
    /// The latest last.
    left: VecDeque<Left>,
    requests: BTreeMap<RequestId, Request>,
    /// Typical work by class, and over all classes.
    class_work: Vec<f64>,
    typical: f64,
    tenants: Vec<(f64, Time)>,
    /// Steps between two nodes that are neighbours in the order of parts.
    stride: u64,
    /// Requests a second that the tenants may send, by all nodes.
    quota: f64,
    /// Requests that came since the last slow sweep, and how many come a second.
    came: f64,
    arrivals: f64,
    retries: f64,
    tally: Vec<Tally>,
    admit: f64,
    /// Late share inside and outside the zone and when it was told last, and the weight of servers outside.
    late: [f64; 2],
    late_at: [Time; 2],
    spill: f64,
    /// Share of answers past the aim, inside and outside the zone.
    missed: [f64; 2],
    /// More servers fail than ejection may mask: the trouble is common to all.
    common: bool,
    /// Mean response when little waits: the least seen, creeping up.
    base: f64,
    last_cut: Time,
    /// Work delivered a second, and the most a warm server was seen to bear of late.
    delivered: f64,
    delivered_rate: f64,
    bearable: f64,
    keys: Vec<f64>,
    subscribed: bool,
    backoff: f64,
    last_sweep: Time,
    last_slow: Time,
    weights: Vec<f64>,
}

impl Balancer {
    /// Makes a balancer for one life of a node.
    ///
    /// # Errors
    /// Says which setting cannot be used.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, String> {
        if settings.classes.is_empty() {
            return Err("there are no classes".into());
        }
        let fine = |x: f64| x.is_finite() && x > 0.0;
        if let Some(i) = settings.classes.iter().position(|c| !fine(c.deadline) || !fine(c.aim)) {
            return Err(format!("class {i} has no usable aim and deadline"));
        }
        if !now.is_finite() || settings.limits.max_attempts == 0 || settings.replicas == 0 {
            return Err("clock, attempts and replicas must be positive numbers".into());
        }
        let n = settings.classes.len();
        let first_guess = settings.classes.iter().map(|c| c.aim).fold(f64::MAX, f64::min) / 4.0;
        Ok(Balancer {
            rng: seed,
            started: false,
            automaton: Automaton::default(),
            servers: Vec::new(),
            slot: Vec::new(),
            stays: 0,
            left: VecDeque::new(),
            requests: BTreeMap::new(),
            class_work: vec![first_guess; n],
            typical: first_guess,
            tenants: vec![(f64::NAN, now); settings.tenants.len()],
            stride: stride(u64::from(settings.replicas)),
            quota: settings.tenants.iter().map(|t| t.quota.max(0.0)).sum(),
            came: 0.0,
            arrivals: 0.0,
            retries: RETRY_SAVED,
            tally: vec![Tally::default(); 2 * n],
            admit: 1.0,
            late: [0.0; 2],
            late_at: [now; 2],
            spill: 1.0,
            missed: [0.0; 2],
            common: false,
            base: first_guess,
            last_cut: now,
            delivered: 0.0,
            delivered_rate: 0.0,
            bearable: COLD_PRIOR,
            keys: vec![0.0; KEY_SLOTS],
            subscribed: false,
            backoff: 1.0,
            last_sweep: now,
            last_slow: now,
            weights: Vec::new(),
            settings,
        })
    }

    /// The automaton, for inspection.
    pub fn automaton(&self) -> &Automaton {
        &self.automaton
    }

    /// What it has learned.
    pub fn learned(&self, now: Time) -> Learned {
        let r = self.servers.len() as f64;
        let of = |(i, s): (usize, &Server)| LearnedServer {
            hash: s.entry.hash,
            ready_at: s.entry.ready_at,
            share: self.automaton.p[i] * r,
            average: self.automaton.average[i],
            budget: s.budget,
            out_for: (s.ejected_until - now).max(0.0),
        };
        Learned {
            servers: self.servers.iter().enumerate().map(of).collect(),
            class_work: self.class_work.clone(),
            typical: self.typical,
            base: self.base,
            bearable: self.bearable,
            admit: self.admit,
            spill: self.spill,
        }
    }

    /// Begins with what another has learned, after the first list. Figures that can be none are left.
    pub fn adopt(&mut self, now: Time, learned: &Learned) {
        let fine = |x: f64| x.is_finite() && x > 0.0;
        let r = self.servers.len() as f64;
        for l in learned.servers.iter().filter(|l| fine(l.share) && fine(l.average) && l.budget.is_finite()) {
            let same = |s: &Server| s.entry.hash == l.hash && s.entry.ready_at == l.ready_at;
            let LearnedServer { hash, ready_at, share, average, budget, out_for } = *l;
            match self.servers.iter().position(same) {
                Some(i) => {
                    (self.automaton.p[i], self.automaton.average[i]) = (share / r, average);
                    let s = &mut self.servers[i];
                    s.budget = s.budget.min(budget);
                    s.ejected_until = now + out_for.clamp(0.0, LEFT_FOR);
                }
                None if self.left.len() < LEFT_MOST => {
                    self.left.push_back(Left { hash, ready_at, at: now, share, average, budget });
                }
                None => {}
            }
        }
        self.automaton.settle();
        if learned.class_work.len() == self.class_work.len() && learned.class_work.iter().all(|w| fine(*w)) {
            self.class_work.clone_from(&learned.class_work);
        }
        let figures = [
            (&mut self.typical, learned.typical),
            (&mut self.base, learned.base),
            (&mut self.bearable, learned.bearable),
        ];
        figures.into_iter().filter(|(_, new)| fine(*new)).for_each(|(old, new)| *old = new);
        self.admit = if fine(learned.admit) { learned.admit.clamp(ADMIT_MIN, 1.0) } else { 1.0 };
        self.spill = if fine(learned.spill) { learned.spill.clamp(SPILL_MIN, 1.0) } else { SPILL_MIN };
    }

    /// Takes one event and appends what the node has to do about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !now.is_finite() {
            return;
        }
        if !self.started {
            self.start(actions);
        }
        match event {
            Event::Members { list, entries } => self.members(now, list, entries, actions),
            Event::Request { request, class, tenant, hint, key, left } => {
                self.arrive(now, request, class, tenant, hint, key, left, actions)
            }
            Event::Outcome { request, attempt, server, outcome, ended, .. } => {
                self.outcome(now, request, attempt, server, outcome, ended, actions)
            }
            Event::FirstByte { request, .. } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.answered = true;
                }
            }
            Event::Upload { request, left } => self.upload(now, request, left),
            Event::Gone { request } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.answered = true;
                    if r.out.is_none() {
                        self.requests.remove(&request);
                    }
                }
            }
            Event::Timer { tag: SWEEP } => self.sweep(now, actions),
            Event::Timer { tag: WATCH } if !self.subscribed => actions.push(Action::Watch),
            Event::Timer { .. } | Event::Probed { .. } => {}
        }
    }

    /// SplitMix64, as a fraction.
    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        fraction(self.rng)
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.started = true;
        let after = self.sweep_period() * (0.5 + self.random());
        actions.push(Action::Timer { after, tag: SWEEP });
        if self.settings.discovery == Discovery::Ask {
            // All nodes start together; a fifth of the time in which they must ask spreads their calls.
            let after = self.random() * self.settings.rules.must_ask_in / 5.0;
            actions.push(Action::Timer { after, tag: WATCH });
        }
    }

    fn shortest(&self, of: impl Fn(&Class) -> Time) -> Time {
        self.settings.classes.iter().map(of).fold(f64::MAX, f64::min)
    }

    fn sweep_period(&self) -> Time {
        (self.shortest(|c| c.aim) / 3.0).max(self.settings.tick)
    }

    // ---- the list ----

    fn members(&mut self, now: Time, list: ListKind, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        if list == ListKind::Failed {
            // Many nodes fail together: each waits a jittered time that doubles.
            self.subscribed = false;
            let after = self.backoff * (0.5 + self.random());
            self.backoff = (self.backoff * 2.0).min(self.settings.rules.must_ask_in);
            actions.push(Action::Timer { after, tag: WATCH });
            return;
        }
        if list != ListKind::Cached {
            self.subscribed = true;
            self.backoff = 1.0;
        }
        if list != ListKind::Delta {
            let mut listed: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
            listed.sort_unstable();
            for i in (0..self.servers.len()).rev() {
                if listed.binary_search(&self.servers[i].entry.server).is_err() {
                    self.leave(now, i);
                }
            }
        }
        let fresh = self.servers.is_empty() && self.left.is_empty();
        for e in entries {
            let known = self.slot.get(e.server as usize).copied().flatten();
            match known {
                // A drain is kept at once, not at the end of its grace.
                Some(i) if e.state != ServerState::Up => self.leave(now, i),
                Some(i) if self.servers[i].entry.ready_at < e.ready_at => {
                    self.leave(now, i);
                    self.join(now, e);
                }
                Some(i) => self.servers[i].entry = e,
                None if e.state == ServerState::Up => self.join(now, e),
                None => {}
            }
        }
        self.part(fresh);
    }

    // ---- this node's part of a long list ----

    /// How many nodes each server of a list of `r` is a part of: as many as make `VISITS` to it, if all nodes
    /// have their share of what the tenants may send. All of them where that is not known, or nodes are not
    /// told from each other: they would have one part.
    fn block(&self, r: f64) -> u32 {
        let n = f64::from(self.settings.replicas);
        if self.settings.number.is_none() || self.quota <= 0.0 || n < 2.0 * PART_LEAST {
            return self.settings.replicas;
        }
        let part = (self.quota / n / VISITS).max(PART_LEAST);
        (n * part / r.max(1.0)).clamp(2.0 * PART_LEAST, n).ceil() as u32
    }

    /// Whether a server is of this node's part. Each server takes a block of the nodes in an order that
    /// scatters neighbours: all have as many nodes, a new one moves no other, and a zone's nodes gone are
    /// missed by all alike.
    fn owns(&self, hash: u64, block: u32) -> bool {
        let n = u64::from(self.settings.replicas);
        let first = (fraction(hash) * n as f64) as u64;
        let place = u64::from(self.settings.number.unwrap_or(0)) * self.stride;
        (place + n - first) % n < u64::from(block)
    }

    /// Concentrates the vector on this node's part: at the start by listed size, later as the part changes.
    fn part(&mut self, fresh: bool) {
        let block = self.block(self.servers.len() as f64);
        if block >= self.settings.replicas && self.servers.iter().all(|s| s.own) {
            return;
        }
        let owned: Vec<bool> = self.servers.iter().map(|s| self.owns(s.entry.hash, block)).collect();
        let size = self.mean_size();
        let mean = owned.iter().zip(&self.automaton.p).filter(|(own, _)| **own).map(|(_, p)| p).sum::<f64>()
            / owned.iter().filter(|own| **own).count().max(1) as f64;
        for (i, own) in owned.into_iter().enumerate() {
            let p = &mut self.automaton.p[i];
            if fresh {
                let listed = listed(self.settings.weighted, self.servers[i].entry.weight / size);
                *p = if own { listed } else { 0.0 };
            } else if own != self.servers[i].own {
                *p = if own { mean } else { 0.0 };
            }
            self.servers[i].own = own;
        }
        self.automaton.settle();
    }

    /// Mean listed size.
    fn mean_size(&self) -> f64 {
        self.servers.iter().map(|s| s.entry.weight).sum::<f64>() / self.servers.len() as f64
    }

    fn leave(&mut self, now: Time, i: usize) {
        let share = self.automaton.p[i] * self.automaton.p.len() as f64;
        let average = self.automaton.average[i];
        self.automaton.leave(i);
        let gone = self.servers.swap_remove(i);
        let Entry { hash, ready_at, .. } = gone.entry;
        self.left.retain(|l| l.hash != hash && now - l.at < LEFT_FOR);
        if self.left.len() >= LEFT_MOST {
            self.left.pop_front();
        }
        self.left.push_back(Left { hash, ready_at, at: now, share, average, budget: gone.budget });
        self.slot[gone.entry.server as usize] = None;
        if let Some(moved) = self.servers.get(i) {
            self.slot[moved.entry.server as usize] = Some(i);
        }
    }

    /// A new entry starts from what its kind showed, and from its listed weight before anything was shown.
    fn join(&mut self, now: Time, entry: Entry) {
        let r = self.servers.len() as f64;
        let own = self.owns(entry.hash, self.block(r + 1.0));
        let part = (0..self.servers.len()).filter(|i| self.servers[*i].own == own);
        let kin = part.clone().filter(|i| self.servers[*i].entry.kind == entry.kind);
        let mean =
            |of: &[f64], n: f64, from: &mut dyn Iterator<Item = usize>| from.map(|i| of[i]).sum::<f64>() / n;
        let (n, others) = (kin.clone().count() as f64, part.clone().count() as f64);
        let (mut share, mut average) = (1.0, self.typical);
        if n > 0.0 {
            share = r * mean(&self.automaton.p, n, &mut kin.clone());
            average = mean(&self.automaton.average, n, &mut kin.clone());
        } else if others > 0.0 {
            let size = listed(self.settings.weighted, entry.weight / self.mean_size());
            share = r * size * mean(&self.automaton.p, others, &mut part.clone());
        }
        // Guards what was learned against a server that is off the list for a moment, and the budget of a
        // cold one against being drawn anew at each return. Harm: one that went for a reason is taken for
        // what it was.
        let known = self.left.iter().position(|l| l.hash == entry.hash && l.ready_at == entry.ready_at);
        let known = known.and_then(|n| self.left.remove(n)).filter(|l| now - l.at < LEFT_FOR);
        if let Some(l) = &known {
            // What made it slow may be why it went: after more than a flap it is not shunned for that.
            let most = if r > 0.0 && now - l.at > FLAP { self.mean(now) } else { l.average };
            (share, average) = (l.share, l.average.min(most));
        }
        self.automaton.join(share, average);
        let id = entry.server as usize;
        if self.slot.len() <= id {
            self.slot.resize(id + 1, None);
        }
        self.slot[id] = Some(self.servers.len());
        let drawn = f64::from(own) * self.random() * self.typical / f64::from(entry.sharers.max(1));
        let budget = known.map_or(drawn, |l| l.budget.min(drawn));
        self.stays = self.stays.wrapping_add(1);
        self.servers.push(Server {
            entry,
            stay: self.stays,
            strikes: 0,
            failing: false,
            dead: false,
            sound: false,
            own,
            ejected_until: now,
            open: 0,
            overdue: 0,
            heard: now,
            budget,
            visits: 0.0,
            asked: 0.0,
        });
    }

    // ---- one request ----

    #[allow(clippy::too_many_arguments)]
    fn arrive(
        &mut self, now: Time, id: RequestId, class: ClassId, tenant: Option<TenantId>, hint: Option<f64>,
        key: Option<u64>, left: Time, actions: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        let c = class as usize;
        if c >= self.settings.classes.len() || !left.is_finite() || left <= 0.0 {
            actions.push(Action::Refuse { request: id, retry_after: None });
            return;
        }
        let hint = hint.filter(|h| h.is_finite() && *h > 0.0);
        let work = hint.unwrap_or(self.class_work[c]);
        self.class_work[c] += 0.02 * (work - self.class_work[c]);
        self.typical += 0.01 * (work - self.typical);
        if let Some(k) = key {
            self.keys[k as usize % KEY_SLOTS] += 1.0;
        }
        self.came += 1.0;
        let over = tenant.is_some_and(|t| self.over_share(now, t));
        let row = 2 * c + usize::from(over);
        self.tally[row].asked += work;
        if !self.admitted(row) {
            self.refuse(id, actions);
            return;
        }
        let request = Request {
            class,
            key,
            work,
            hinted: hint.is_some(),
            size: 0.5 + 0.5 * work / self.typical,
            deadline: now + left,
            made: 0,
            out: None,
            tried: Vec::new(),
            ran: None,
            answered: false,
            row,
        };
        self.retries = (self.retries + self.settings.limits.retry_share).min(RETRY_SAVED);
        self.requests.insert(id, request);
        if !self.send(now, id, actions) {
            self.requests.remove(&id);
            self.refuse(id, actions);
        }
    }

    fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let longest = self.settings.limits.max_retry_after;
        let retry_after = (longest > 0.0).then(|| longest * (0.5 + 0.5 * self.random()));
        actions.push(Action::Refuse { request: id, retry_after });
    }

    /// Draws a server and starts an attempt; false if no server may be used.
    fn send(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(i) = self.draw(now, id) else { return false };
        let mean = self.mean(now);
        let Some(r) = self.requests.get_mut(&id) else { return false };
        let class = &self.settings.classes[r.class as usize];
        let server = self.servers[i].entry.server;
        let timeout = timeout(class, r, mean, self.servers[i].sound, now).filter(|_| {
            self.retries >= 1.0 && self.admit >= 1.0 && r.made + 1 < self.settings.limits.max_attempts
        });
        r.made += 1;
        r.tried.push(server);
        r.out = Some(Attempt { server, stay: self.servers[i].stay, sent: now, overdue: false });
        self.servers[i].open += 1;
        self.servers[i].asked = now;
        self.servers[i].budget -= r.work;
        actions.push(Action::Attempt { request: id, server, timeout });
        true
    }

    #[allow(clippy::too_many_arguments)]
    fn outcome(
        &mut self, now: Time, id: RequestId, attempt: u32, server: ServerId, outcome: Outcome, ended: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut r) = self.requests.remove(&id) else { return };
        let Some(out) = r.out.take_if(|o| o.server == server && attempt + 1 == r.made) else {
            self.requests.insert(id, r);
            return;
        };
        let never_ran = matches!(outcome, Outcome::Shed | Outcome::DialFailed | Outcome::Unused);
        self.learn(now, &r, &out, outcome);
        if !never_ran && r.ran.is_none() {
            let at = self.slot[server as usize].map(|i| &self.servers[i].entry);
            let sent = out.sent.min(now);
            r.ran = Some(at.map_or((ZoneId::MAX, u32::MAX, sent), |e| (e.zone, e.cell, sent)));
        }
        if ended || r.answered {
            return;
        }
        let room = r.deadline - now > self.mean(now) * r.size / 2.0;
        let may = room
            && outcome != Outcome::Unused
            && r.made < self.settings.limits.max_attempts
            && self.retries >= 1.0
            && self.repeatable(now, &r);
        let class = &self.settings.classes[r.class as usize];
        let harmless = match class.effect {
            Effect::Idempotent | Effect::Keyed { group: Group::All, .. } => true,
            _ => r.ran.is_none(),
        };
        self.requests.insert(id, r);
        if may && self.send(now, id, actions) {
            self.retries -= 1.0;
            return;
        }
        self.requests.remove(&id);
        if harmless {
            self.refuse(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    /// A body that comes slowly is its client's affair: a server is waited for from the last byte on.
    fn upload(&mut self, now: Time, id: RequestId, left: Option<Time>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(out) = r.out.as_mut() else { return };
        out.sent = if left.is_some() { now } else { f64::MAX };
        r.deadline = left.map_or(r.deadline, |left| now + left);
    }

    /// Whether another attempt keeps "no effect twice"; where it may go is `draw`'s to mask.
    fn repeatable(&self, now: Time, r: &Request) -> bool {
        match (self.settings.classes[r.class as usize].effect, r.ran) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Keyed { window, .. }, Some((_, _, first))) => now < first + window,
        }
    }

    // ---- learning ----

    /// Mean of the averages. An ejected server's frozen average would skew every payoff: it leaves the mean.
    fn mean(&self, now: Time) -> f64 {
        self.mean_by(now, |_| 1.0)
    }

    /// The same as the draws see it. The few that answer nothing hardly move it, however long they take.
    fn drawn_mean(&self, now: Time) -> f64 {
        self.mean_by(now, |p| p)
    }

    fn mean_by(&self, now: Time, weight: impl Fn(f64) -> f64) -> f64 {
        let (mut sum, mut n) = (0.0, 0.0);
        for ((s, a), p) in self.servers.iter().zip(&self.automaton.average).zip(&self.automaton.p) {
            if s.ejected_until <= now {
                sum += weight(*p) * a;
                n += weight(*p);
            }
        }
        // With nothing to average, what a typical request takes.
        [self.typical, sum / n][usize::from(n > 0.0)]
    }

    fn far(&self, i: usize) -> usize {
        usize::from(self.settings.zone.is_some_and(|z| z != self.servers[i].entry.zone))
    }

    /// Where a server stands, if it is listed still and has not left and come back.
    fn at(&self, server: ServerId, stay: u32) -> Option<usize> {
        let i = self.slot.get(server as usize).copied().flatten()?;
        (self.servers[i].stay == stay).then_some(i)
    }

    fn learn(&mut self, now: Time, r: &Request, out: &Attempt, outcome: Outcome) {
        let Some(i) = self.at(out.server, out.stay) else { return };
        let mean = self.mean(now);
        // One that ends while its body comes has waited for nothing.
        let sent = out.sent.min(now);
        let waited = now - sent;
        let (aim, class) = (self.settings.classes[r.class as usize].aim, r.class as usize);
        let s = &mut self.servers[i];
        s.open = s.open.saturating_sub(1);
        s.overdue = s.overdue.saturating_sub(u32::from(out.overdue));
        s.visits += 1.0;
        let suspect = !s.sound && !self.common;
        let (response, far) = (waited / r.size, self.far(i));
        match outcome {
            Outcome::Delivered => {
                self.missed[far] += MISSED_STEP * (f64::from(waited > aim) - self.missed[far]);
                let s = &mut self.servers[i];
                s.heard = s.heard.max(sent);
                s.overdue = 0;
                self.automaton.observe(i, response);
                if response <= mean {
                    self.automaton.reward(i);
                }
                if response <= OVERDUE * mean {
                    self.servers[i].strikes = 0;
                    self.servers[i].failing = false;
                    self.servers[i].sound = true;
                    self.servers[i].dead = false;
                }
                self.delivered += r.work;
                self.tally[r.row].served += r.work;
                if !r.hinted {
                    // The class's own response stands in for its work.
                    self.class_work[class] += 0.02 * (waited - self.class_work[class]);
                }
            }
            Outcome::Unused | Outcome::Revoked => return,
            // The client's time was short: that tells nothing of the server but that it takes longer, and
            // nothing of the load. Taken for failures, a few hurried clients would eject a sound fleet.
            Outcome::Expired if self.servers[i].heard > out.sent => return,
            Outcome::Expired if waited < (OVERDUE * mean * r.size).min(aim) => {
                if response > self.automaton.average[i] {
                    self.automaton.observe(i, response);
                }
                return;
            }
            // A quick error answer must not win payoffs: it is a miss, charged at least the aim.
            _ => {
                self.automaton.observe(i, waited.max(aim) / r.size);
                // One broken connection, spoilt or overlong answer can come from any server; the second in a
                // row, silence to the end, or an error that the server itself states tells of a sick one.
                let again = self.servers[i].strikes > u32::from(out.overdue) || outcome == Outcome::Expired;
                let failing = outcome == Outcome::Error || (outcome != Outcome::Shed && again);
                let dead = match outcome {
                    Outcome::DialFailed => true,
                    Outcome::Expired => self.servers[i].strikes > 1 + u32::from(out.overdue),
                    _ => false,
                };
                self.strike(now, i, failing, dead);
            }
        }
        let late =
            outcome != Outcome::Delivered || waited > early(aim, self.base * r.size).max(LATE_FROM * aim);
        // What a server already known to fail does says nothing of the fleet's load.
        if !suspect
            && !out.overdue
            && !matches!(outcome, Outcome::Error | Outcome::Dropped | Outcome::DialFailed)
        {
            self.pressure(now, sent, far, late);
        }
    }

    /// Ejection, when an attempt fails or is overdue: of the `dead`, more may be out. Each strike in a row
    /// doubles the time, jittered so that nodes do not return together.
    fn strike(&mut self, now: Time, i: usize, failing: bool, dead: bool) {
        let ejected = self.servers.iter().filter(|s| s.ejected_until > now).count();
        let base = if failing { 4.0 * self.shortest(|c| c.deadline) } else { self.shortest(|c| c.aim) };
        let jitter = 0.75 + 0.5 * self.random();
        let cap = if dead { DEAD_CAP * self.servers.len() as f64 } else { 0.0 };
        let room = (ejected + 1) as f64 <= self.ejectable().max(cap);
        let s = &mut self.servers[i];
        s.sound = false;
        if room {
            s.dead |= dead;
            s.failing |= failing;
            let doubled = f64::from(1u32 << s.strikes.min(EJECT_DOUBLINGS));
            s.ejected_until = s.ejected_until.max(now + base * jitter * doubled);
        }
        s.strikes += 1;
    }

    /// How many servers ejection may mask; one of a short list.
    fn ejectable(&self) -> f64 {
        (EJECT_CAP * self.servers.len() as f64).max(1.0)
    }

    fn sweep(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { after: self.sweep_period(), tag: SWEEP });
        let dt = (now - self.last_sweep).max(0.0);
        self.last_sweep = now;
        if self.late[0] < LATE_CALM * LATE_HIGH {
            self.admit = (self.admit + ADMIT_GAIN * dt / self.shortest(|c| c.deadline)).min(1.0);
        }
        let failing = self.servers.iter().filter(|s| s.failing && !s.dead).count() as f64;
        self.common = failing > self.ejectable();
        self.charge_overdue(now);
        self.refill_cold(now, dt);
        if now - self.last_slow >= 2.0 * self.shortest(|c| c.deadline).min(0.5) {
            self.slow_sweep(now);
        }
    }

    /// A hung server answers nothing and so would never lose share: attempts out beyond `OVERDUE` means are
    /// charged and struck before they end.
    fn charge_overdue(&mut self, now: Time) {
        let mean = self.mean(now);
        let mut struck = Vec::new();
        for r in self.requests.values_mut() {
            let Some(out) = r.out.as_mut().filter(|o| !o.overdue) else { continue };
            let aim = self.settings.classes[r.class as usize].aim;
            if now - out.sent > (OVERDUE * mean * r.size).clamp(early(aim, self.base * r.size), aim) {
                out.overdue = true;
                struck.push((out.server, out.stay, out.sent, (now - out.sent) / r.size));
            }
        }
        for (server, stay, sent, waited) in struck {
            if let Some(i) = self.at(server, stay).filter(|i| self.servers[*i].heard <= sent) {
                if self.common || self.servers[i].sound {
                    let far = self.far(i);
                    self.pressure(now, sent, far, true);
                }
                self.automaton.observe(i, waited);
                self.servers[i].overdue += 1;
                self.strike(now, i, false, false);
            }
        }
    }

    /// What needs no haste: rates, tallies, the zone's spill, kin.
    fn slow_sweep(&mut self, now: Time) {
        let dt = now - self.last_slow;
        self.last_slow = now;
        let keep = (-dt / 5.0).exp();
        for t in &mut self.tally {
            t.asked *= keep;
            t.served *= keep;
        }
        self.keys.iter_mut().for_each(|k| *k *= keep);
        let rate = self.came / dt;
        self.came = 0.0;
        self.arrivals = if self.arrivals > 0.0 { self.arrivals + 0.2 * (rate - self.arrivals) } else { rate };
        self.delivered_rate += (1.0 - keep) * (self.delivered / dt - self.delivered_rate);
        self.delivered = 0.0;
        let warm = self.servers.iter().filter(|s| self.warmth(s, now) >= 1.0).count().max(1);
        // Guards against one busy second, and against the traffic of nodes that died, being taken for what
        // servers bear for ever. Harm: after a quiet hour, a cold server is sent less than it could do.
        let borne = self.delivered_rate / self.traffic_part() / warm as f64;
        self.bearable = borne.max(self.bearable * (1.0 - BASE_CREEP * dt)).max(COLD_PRIOR);
        let gain = self.missed[0] - self.missed[1] - self.settings.prices.cross_zone;
        self.spill = (self.spill * (SPILL_PACE * gain * dt).exp()).clamp(SPILL_MIN, 1.0);
        let mean = self.mean(now);
        self.base = if mean < self.base { mean } else { self.base * (1.0 + BASE_CREEP * dt) };
        self.relax_to_kin(dt);
    }

    /// Kinship, for servers seen under about once a second: entries and averages drift to the mean of their
    /// kind, a tenth of the way a second, so that what one server taught serves its kin.
    fn relax_to_kin(&mut self, dt: Time) {
        let group = |s: &Server| 2 * s.entry.kind as usize + usize::from(s.own);
        let kinds = self.servers.iter().map(|s| group(s) + 1).max().unwrap_or(0);
        let mut sums = vec![(0.0, 0.0, 0.0); kinds];
        for (i, s) in self.servers.iter().enumerate() {
            let k = &mut sums[group(s)];
            *k = (k.0 + 1.0, k.1 + self.automaton.p[i], k.2 + self.automaton.average[i]);
        }
        for (i, s) in self.servers.iter_mut().enumerate() {
            let rate = s.visits / dt;
            let pull = (0.1 * dt / (1.0 + rate * rate)).min(1.0);
            s.visits = 0.0;
            let (n, p, average) = sums[group(s)];
            self.automaton.p[i] += pull * (p / n - self.automaton.p[i]);
            self.automaton.average[i] += pull * (average / n - self.automaton.average[i]);
        }
    }

    // ---- admission ----

    /// This node's part of the traffic: that of one among all, or what it has of what the tenants may send
    /// where that is more: others may be gone.
    fn traffic_part(&self) -> f64 {
        let alike = 1.0 / f64::from(self.settings.replicas);
        [alike, (self.arrivals / self.quota).clamp(alike, 1.0)][usize::from(self.quota > 0.0)]
    }

    /// A client's tenant is over its share when this node's part of the quota is used up.
    fn over_share(&mut self, now: Time, tenant: TenantId) -> bool {
        let part = self.traffic_part();
        let Some((tokens, at)) = self.tenants.get_mut(tenant as usize) else { return false };
        let rate = self.settings.tenants[tenant as usize].quota * part;
        if rate <= 0.0 {
            return false;
        }
        // Two seconds of quota and a few requests: arrivals at one node are uneven.
        let most = 2.0 * rate + 3.0;
        *tokens = if tokens.is_nan() { most } else { (*tokens + rate * (now - *at)).min(most) };
        *at = now;
        let over = *tokens < 1.0;
        *tokens -= if over { 0.0 } else { 1.0 };
        over
    }

    /// Lateness of what was sent after the last step tells of too much load: in the zone alone it spills over
    /// where that gains more than crossing costs; everywhere, less is admitted.
    fn pressure(&mut self, now: Time, sent: Time, far: usize, late: bool) {
        if far == 0 && sent < self.last_cut {
            return;
        }
        // The far side is seen less, so each of its answers counts for more. Where answers come by hundreds a
        // second, half a shortest deadline is looked back on: sixteen of them are chance, not load.
        let passed = (now - std::mem::replace(&mut self.late_at[far], now)).max(0.0);
        let most = if far == 1 { 1.0 / 6.0 } else { 1.0 / 16.0 };
        let step = (1.0 - (-2.0 * passed / self.shortest(|c| c.deadline)).exp()).min(most);
        self.late[far] += step * (f64::from(late) - self.late[far]);
        if self.late[0] > LATE_HIGH && sent >= self.last_cut {
            self.admit = (self.admit * ADMIT_CUT).max(ADMIT_MIN);
            // Good answers in a row must come before more is admitted, or a fleet in collapse stays there.
            self.last_cut = now;
            self.late[0] = LATE_AFTER * LATE_HIGH;
        }
    }

    /// Under pressure, what is worth least for its work is refused first; a row at the edge in part.
    fn admitted(&mut self, row: usize) -> bool {
        if self.admit >= 1.0 {
            return true;
        }
        let total: f64 = self.tally.iter().map(|t| t.asked).sum();
        let mine = self.value(row);
        let above: f64 = (0..self.tally.len())
            .filter(|o| *o != row && (self.value(*o), *o) > (mine, row))
            .map(|o| self.tally[o].asked)
            .sum();
        let room = (self.admit * total - above) / self.tally[row].asked;
        self.random() < room
    }

    /// What a unit of work of this row adds to the goal; the class served worst carries its own weight.
    fn value(&self, row: usize) -> f64 {
        let density = |row: usize| {
            let class = &self.settings.classes[row / 2];
            let per = if self.settings.worth_by_work { 1.0 } else { self.class_work[row / 2] };
            let share = if row % 2 == 1 { self.settings.over_share_worth } else { 1.0 };
            class.worth / per * share
        };
        let all: f64 = (0..self.tally.len()).map(|o| density(o) * self.tally[o].asked).sum();
        let served = |row: usize| self.tally[row].served / self.tally[row].asked.max(f64::MIN_POSITIVE);
        let mut value = self.settings.goal.overall * density(row) / all.max(f64::MIN_POSITIVE);
        let worst = (0..self.tally.len()).step_by(2).all(|o| served(row) <= served(o));
        if row % 2 == 0 && worst {
            value += self.settings.goal.worst_class / self.tally[row].asked.max(f64::MIN_POSITIVE);
        }
        value
    }

    // ---- the draw and its masks ----

    /// Mask, weigh, renormalise, draw from p. Zone, load and health give way together if they leave nobody;
    /// drained, cold and effect masks never fall.
    fn draw(&mut self, now: Time, id: RequestId) -> Option<usize> {
        let fresh = self.random();
        let r = self.requests.get(&id)?;
        let near = self.settings.zone;
        let part = HELD * self.requests.len() as f64;
        let size = self.mean_size();
        let mean = self.drawn_mean(now);
        let safe = |c: &Class| c.effect == Effect::Idempotent;
        let risky = !safe(&self.settings.classes[r.class as usize]) && self.settings.classes.iter().any(safe);
        for healthy in [true, false] {
            let mut total = 0.0;
            self.weights.clear();
            for ((s, p), average) in self.servers.iter().zip(&self.automaton.p).zip(&self.automaton.average) {
                let mut w = if self.may_take(s, r) { p * self.cold_share(s, r, now) } else { 0.0 };
                if healthy {
                    let least = if now - s.asked < UNSEEN { 0.0 } else { 1.0 };
                    let pace = pace(mean / average).max(least);
                    w *= self.health(s, r, risky, now) * self.room(s, size) * pace;
                    w *= if near.is_some_and(|z| z != s.entry.zone) { self.spill } else { 1.0 };
                    // More out than its part of what this node has out: it waits its turn.
                    w *= f64::from(f64::from(s.open) <= 1.0 + part * p);
                }
                total += w;
                self.weights.push(w);
            }
            if total > 0.0 {
                let sticky = self.settings.warm_keys.then_some(r.key).flatten().filter(|k| !self.hot(*k));
                return match sticky {
                    Some(key) => self.rendezvous(key),
                    None => pick(&self.weights, fresh * total),
                };
            }
        }
        None
    }

    /// What p can't know yet: a queue that forms at a server. The weight falls with what this node has out
    /// there, against the server's listed size where the list tells one. A node that has few out, as among a
    /// hundred, is hardly touched by this.
    fn room(&self, s: &Server, mean: f64) -> f64 {
        (1.0 + f64::from(s.open) / listed(self.settings.weighted, s.entry.weight / mean)).powi(-QUEUE_SHY)
    }

    /// A keyed request that may have run goes only where its repeat is dropped.
    fn may_take(&self, s: &Server, r: &Request) -> bool {
        match (self.settings.classes[r.class as usize].effect, r.ran) {
            (Effect::Keyed { group: Group::Zone, .. }, Some((zone, ..))) => s.entry.zone == zone,
            (Effect::Keyed { group: Group::Cell, .. }, Some((_, cell, _))) => s.entry.cell == cell,
            _ => true,
        }
    }

    /// Ejected, overdue or tried before: out. Back from failures: little, one at a time, nothing that is
    /// `risky`: that may not be repeated, where another class may. In doubt: little of what is.
    fn health(&self, s: &Server, r: &Request, risky: bool, now: Time) -> f64 {
        if s.ejected_until > now || s.overdue > 0 || r.tried.contains(&s.entry.server) {
            return 0.0;
        }
        if !s.failing || (self.common && !s.dead) {
            return if risky && !s.sound { UNSOUND } else { 1.0 };
        }
        RETURN_SHARE * f64::from(!risky && s.open == 0)
    }

    /// The least share of its capacity that a fresh server has by now.
    fn warmth(&self, s: &Server, now: Time) -> f64 {
        let rules = &self.settings.rules;
        let age = (now - s.entry.ready_at).max(0.0);
        if s.entry.ready_at <= 0.0 || age >= rules.warm_after {
            return 1.0;
        }
        rules.cold_from + (1.0 - rules.cold_from) * age / rules.warm_after
    }

    /// Slow start: a cold server's draws shrink with its capacity, and stop beyond this node's part of what
    /// it tolerates.
    fn cold_share(&self, s: &Server, r: &Request, now: Time) -> f64 {
        let warmth = self.warmth(s, now);
        warmth * f64::from(warmth >= 1.0 || s.budget >= r.work)
    }

    /// The budget of a cold server fills at this node's part of its tolerance. It starts at chance, so that
    /// nodes whose part is under one request a window do not all send at once.
    fn refill_cold(&mut self, now: Time, dt: Time) {
        let rules = &self.settings.rules;
        let nodes = f64::from(self.block(self.servers.len() as f64));
        let rate = COLD_SAFETY * rules.overload_factor * self.bearable / nodes;
        let size = self.mean_size();
        for i in 0..self.servers.len() {
            let warmth = self.warmth(&self.servers[i], now);
            if warmth < 1.0 {
                let s = &mut self.servers[i];
                if !s.own {
                    s.budget = 0.0;
                    continue;
                }
                let rate = rate * listed(self.settings.weighted, s.entry.weight / size);
                // Other balancers of this node that send to it have their parts.
                let rate = rate / f64::from(s.entry.sharers.max(1));
                // One that may go at once is left to each; were it more, idle balancers would save up a push.
                let least = if s.entry.sharers > 1 { self.typical } else { 2.0 * self.typical };
                let most = (rate * warmth * rules.tip_after).max(least);
                s.budget = (s.budget + rate * warmth * dt).min(most);
            }
        }
    }

    /// A key that alone would fill much of a server is drawn afresh each time.
    fn hot(&self, key: u64) -> bool {
        let seen = self.keys[key as usize % KEY_SLOTS];
        let eligible = self.weights.iter().filter(|w| **w > 0.0).count() as f64;
        seen > 2.0 && seen * eligible > HOT_KEY * self.keys.iter().sum::<f64>()
    }

    /// Weighted rendezvous hashing: all nodes pick alike for a key; over keys the marginal is the vector.
    fn rendezvous(&self, key: u64) -> Option<usize> {
        let mut best = (f64::MAX, None);
        for (i, w) in self.weights.iter().enumerate().filter(|(_, w)| **w > 0.0) {
            let score = -fraction(key ^ self.servers[i].entry.hash).max(f64::MIN_POSITIVE).ln() / w;
            if score < best.0 {
                best = (score, Some(i));
            }
        }
        best.1
    }
}

/// What a server's pace, the mean response over its own, is worth in the draw. A payoff moves an entry by a
/// tenth of its share, so that the vector is behind by seconds where servers differ by a factor.
fn pace(pace: f64) -> f64 {
    if pace.is_finite() {
        pace.clamp(1.0 / SLOW_MOST, SLOW_MOST).powi(SLOW_SHY)
    } else {
        1.0
    }
}

/// A server's listed size against the mean, where the list tells one.
fn listed(told: bool, size: f64) -> f64 {
    if told && size.is_finite() {
        size.clamp(0.25, 4.0)
    } else {
        1.0
    }
}

/// Time-out of an attempt that may be repeated, where that leaves room for another. At a server in doubt, an
/// overdue answer is more likely lost than late. At a sound one it is queued as a rule, and a repeat would
/// double the work: it is waited for as long as another attempt has its time after it, lest a server that has
/// just frozen keeps the request to its end. What may not be repeated waits to the end.
fn timeout(class: &Class, r: &Request, mean: f64, sound: bool, now: Time) -> Option<Time> {
    let left = r.deadline - now;
    let another = OVERDUE * mean * r.size;
    let soon = another.max(class.aim);
    let patience = if sound { soon.max(left - another) } else { soon };
    (class.effect != Effect::AtMostOnce && left - patience > mean * r.size).then_some(patience)
}

/// From when on an answer tells of waiting: short of the aim, or three unloaded responses if that is sooner.
fn early(aim: Time, unloaded: Time) -> Time {
    (EARLY * aim).min(OVERDUE * unloaded)
}

/// The entry in which the point `at` falls; rounding at the end goes to the last open entry.
fn pick(weights: &[f64], mut at: f64) -> Option<usize> {
    for (i, w) in weights.iter().enumerate() {
        at -= w;
        if at < 0.0 && *w > 0.0 {
            return Some(i);
        }
    }
    weights.iter().rposition(|w| *w > 0.0)
}

/// A step through `n` places that visits each and scatters neighbours: next to the golden section, with no
/// common divisor.
fn stride(n: u64) -> u64 {
    let divides = |a: u64| {
        let (mut a, mut b) = (a, n);
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a > 1
    };
    (((n as f64 * 0.618) as u64).max(1)..n).find(|a| !divides(*a)).unwrap_or(1)
}

/// Mixes bits into a fraction of [0, 1).
fn fraction(x: u64) -> f64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
