//! The model of a server: a core, a queue, a number of connections, and a slow start. [`crate::world`] has many of them.

use crate::plan::{Plan, ServerBehavior};
use reelfall_balancer::interface::{Endpoint, Time};
use std::collections::VecDeque;

/// Number of an attempt in its world.
pub type AttemptId = usize;

/// Whether a server runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It serves.
    Up,
    /// It has ended: connections are refused, open ones are reset.
    Ended,
    /// It is partitioned: no connection is established and nothing is received from it.
    Lost,
}

/// Work that a server in its slow start has received.
struct ReceivedWork {
    at: Time,
    work: f64,
    /// The sender knew of the start.
    sender_knew: bool,
}

/// The load of a server in its slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartLoad {
    /// Received work, as a multiple of what the server can do in the same time.
    pub factor: f64,
    /// Fraction of it from senders who knew of the start.
    pub informed_fraction: f64,
}

/// A modelled server.
pub struct Server {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Work per second when warm, in standard cores.
    pub speed: f64,
    /// Whether it runs.
    pub state: State,
    /// How it behaves.
    pub behavior: ServerBehavior,
    /// Incremented when it ends: attempts that were sent to an earlier incarnation are not served.
    pub incarnation: u32,
    /// Maximum length of its queue.
    pub queue_capacity: usize,
    /// Work done since it started.
    pub work_done: f64,
    /// Open connections.
    pub connections: u32,
    /// The attempt that it works on.
    pub running: Option<AttemptId>,
    /// The attempts that wait, the next one at the front.
    pub queue: VecDeque<AttemptId>,
    /// What it has received lately during its slow start.
    received: VecDeque<ReceivedWork>,
}

impl Server {
    /// A warm and idle server.
    pub fn new(endpoint: Endpoint, speed: f64, queue_capacity: usize) -> Self {
        Server {
            endpoint,
            speed,
            state: State::Up,
            behavior: ServerBehavior::Healthy,
            incarnation: 0,
            queue_capacity,
            work_done: 0.0,
            connections: 0,
            running: None,
            queue: VecDeque::new(),
            received: VecDeque::new(),
        }
    }

    /// The fraction of its capacity that it has at present.
    pub fn capacity_fraction(&self, now: Time, plan: &Plan) -> f64 {
        let slow_start = plan.slow_start;
        if self.endpoint.started_at <= 0.0 {
            return 1.0;
        }
        let by_age = ((now - self.endpoint.started_at) / slow_start.duration).max(0.0);
        let by_work = if slow_start.work_fraction < 1.0 {
            self.work_done / (slow_start.work_fraction * slow_start.duration * self.speed)
        } else {
            0.0
        };
        let progress = by_age.max(by_work).min(1.0);
        slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * progress
    }

    /// Work per second that it can do at present.
    pub fn capacity(&self, now: Time, plan: &Plan) -> f64 {
        let slowdown = match self.behavior {
            ServerBehavior::Slow(factor) => factor,
            _ => 1.0,
        };
        self.speed * self.capacity_fraction(now, plan) / slowdown
    }

    /// The same, with the effect of a long queue.
    pub fn capacity_with_queue(&self, now: Time, plan: &Plan) -> f64 {
        let excess = self
            .queue
            .len()
            .saturating_sub(plan.queue_slowdown.threshold) as f64;
        self.capacity(now, plan) / (1.0 + plan.queue_slowdown.per_request * excess)
    }

    /// When work that takes this long is done, with the pauses of the server.
    pub fn completion_time(&self, now: Time, work_time: Time) -> Time {
        let ServerBehavior::Pausing { interval, duration } = self.behavior else {
            return now + work_time;
        };
        // Servers pause at different times.
        let phase = (self.endpoint.hash % 1000) as f64 / 1000.0 * interval;
        let since_pause_began = (now + phase).rem_euclid(interval);
        let working_time = interval - duration;
        let (rest_of_pause, until_next_pause) = if since_pause_began < duration {
            (duration - since_pause_began, working_time)
        } else {
            (0.0, interval - since_pause_began)
        };
        let further_pauses = if work_time <= until_next_pause {
            0.0
        } else {
            1.0 + ((work_time - until_next_pause) / working_time).floor()
        };
        now + rest_of_pause + work_time + further_pauses * duration
    }

    /// Ends it, or partitions it; it loses its queue and its connections.
    pub fn end(&mut self, state: State) {
        self.state = state;
        self.incarnation += 1;
        self.running = None;
        self.queue.clear();
        self.received.clear();
        self.connections = 0;
        self.work_done = 0.0;
    }

    /// Starts it, with slow start.
    pub fn start(&mut self, now: Time) {
        self.state = State::Up;
        self.endpoint.started_at = now;
    }

    /// Counts received work; returns the load during its slow start.
    pub fn receive(
        &mut self,
        now: Time,
        work: f64,
        sender_knew: bool,
        plan: &Plan,
    ) -> SlowStartLoad {
        let window = plan.overload.window;
        if self.capacity_fraction(now, plan) >= 1.0 {
            self.received.clear();
            return SlowStartLoad::default();
        }
        self.received.push_back(ReceivedWork {
            at: now,
            work,
            sender_knew,
        });
        while self
            .received
            .front()
            .is_some_and(|oldest| now - oldest.at > window)
        {
            self.received.pop_front();
        }
        let total: f64 = self.received.iter().map(|received| received.work).sum();
        let informed = self.received.iter().filter(|received| received.sender_knew);
        let informed: f64 = informed.map(|received| received.work).sum();
        SlowStartLoad {
            factor: total / (self.capacity(now, plan) * window),
            informed_fraction: informed / total,
        }
    }
}
