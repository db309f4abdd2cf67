//! One modelled server: a core, a waiting room, a table of connections, and a start from cold.

use crate::plan::{Manner, Plan};
use reelfall_balancer::interface::{Endpoint, Time};
use std::collections::VecDeque;

/// Number of an attempt in its world.
pub type AttemptId = usize;

/// Whether a server is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It serves.
    Up,
    /// It has ended: dials are refused, open connections are reset.
    Ended,
    /// It is cut off: nothing comes up and nothing is said.
    Lost,
}

/// See the module.
pub struct Server {
    /// What the list says of it.
    pub entry: Endpoint,
    /// Work a second when warm.
    pub speed: f64,
    /// Whether it is there.
    pub state: State,
    /// How it serves.
    pub manner: Manner,
    /// Grows with each start: what was sent in an earlier life is not served in this one.
    pub life: u32,
    /// Requests that may wait.
    pub room: usize,
    /// Work done since it started.
    pub done: f64,
    /// Open connections.
    pub connections: u32,
    /// What it works on.
    pub busy: Option<AttemptId>,
    /// What waits, the next first.
    pub waiting: VecDeque<AttemptId>,
    /// While it is cold: when work came, how much, and whether its sender knew of the start.
    pub pushed: VecDeque<(Time, f64, bool)>,
}

impl Server {
    /// A warm server, idle.
    pub fn new(entry: Endpoint, speed: f64, room: usize) -> Self {
        Server {
            entry,
            speed,
            state: State::Up,
            manner: Manner::Sound,
            life: 0,
            room,
            done: 0.0,
            connections: 0,
            busy: None,
            waiting: VecDeque::new(),
            pushed: VecDeque::new(),
        }
    }

    /// Part of its capacity that it has by now; `cold` is the part at its start, and when it is warm.
    pub fn warmth(&self, now: Time, plan: &Plan) -> f64 {
        let (from, after) = plan.cold;
        if self.entry.started_at <= 0.0 {
            return 1.0;
        }
        let age = ((now - self.entry.started_at) / after).max(0.0);
        let work = if plan.warms < 1.0 {
            self.done / (plan.warms * after * self.speed)
        } else {
            0.0
        };
        from + (1.0 - from) * age.max(work).min(1.0)
    }

    /// Work a second that it can do now.
    pub fn capacity(&self, now: Time, plan: &Plan) -> f64 {
        let slow = if let Manner::Slow(times) = self.manner {
            times
        } else {
            1.0
        };
        self.speed * self.warmth(now, plan) / slow
    }

    /// The same with what crowding takes.
    pub fn crowded(&self, now: Time, plan: &Plan) -> f64 {
        let past = self.waiting.len().saturating_sub(plan.thrash.0) as f64;
        self.capacity(now, plan) / (1.0 + plan.thrash.1 * past)
    }

    /// When it is done with what takes so long, standing still now and then if that is its manner.
    pub fn awake(&self, now: Time, takes: Time) -> Time {
        let Manner::Pausing(every, pause) = self.manner else {
            return now + takes;
        };
        // Each has its own turn: the hash of its name is as good as any phase.
        let phase = (self.entry.hash % 1000) as f64 / 1000.0 * every;
        let (into, works) = ((now + phase).rem_euclid(every), every - pause);
        // What is left of the pause that it stands in, then whole turns, then the rest of the work.
        let (wait, first) = if into < pause {
            (pause - into, works)
        } else {
            (0.0, every - into)
        };
        let further = if takes <= first {
            0.0
        } else {
            1.0 + ((takes - first) / works).floor()
        };
        now + wait + takes + further * pause
    }

    /// It is gone, with all that it had in hand.
    pub fn end(&mut self, state: State) {
        self.state = state;
        self.life += 1;
        self.busy = None;
        self.waiting.clear();
        self.pushed.clear();
        self.connections = 0;
        self.done = 0.0;
    }

    /// It has started, cold.
    pub fn start(&mut self, now: Time) {
        self.state = State::Up;
        self.entry.started_at = now;
    }

    /// Takes work that has come to it while it is cold. Gives the multiple of what it can do in the window, and which
    /// part of that came from those who knew of its start.
    pub fn push(&mut self, now: Time, work: f64, knew: bool, plan: &Plan) -> (f64, f64) {
        let window = plan.tips.1;
        if self.warmth(now, plan) >= 1.0 {
            self.pushed.clear();
            return (0.0, 0.0);
        }
        self.pushed.push_back((now, work, knew));
        while self
            .pushed
            .front()
            .is_some_and(|(at, ..)| now - at > window)
        {
            self.pushed.pop_front();
        }
        let sum: f64 = self.pushed.iter().map(|(_, work, _)| work).sum();
        let knowing: f64 = self
            .pushed
            .iter()
            .filter(|p| p.2)
            .map(|(_, work, _)| work)
            .sum();
        (sum / (self.capacity(now, plan) * window), knowing / sum)
    }
}
