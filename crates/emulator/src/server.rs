//! The model of a server: one core, a bounded queue, connections, and slow start.

use crate::plan::{Plan, ServerBehavior};
use reelfall_balancer::interface::{Endpoint, Time};
use std::collections::VecDeque;

/// Number of an attempt within a run.
pub type AttemptId = usize;

/// Whether a server runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It runs and is reachable.
    Up,
    /// Its process has ended: new connections are refused, open ones are reset.
    Ended,
    /// It is unreachable: no connection can be established and nothing is received from it.
    Lost,
}

/// Work that a server received during its slow start.
struct ReceivedWork {
    at: Time,
    work: f64,
    /// Whether the sending node knew when the server had started.
    sender_knew: bool,
}

/// The load of a server during its slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartLoad {
    /// Work received within the overload window, as a multiple of the server's capacity.
    pub factor: f64,
    /// Fraction of this work from nodes that knew when the server had started.
    pub informed_fraction: f64,
}

/// A modelled server.
pub struct Server {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Work per second after slow start, in standard cores.
    pub speed: f64,
    /// Whether it runs.
    pub state: State,
    /// Its fault, if any.
    pub behavior: ServerBehavior,
    /// Incremented when it ends; attempts that were sent to an earlier incarnation are not served.
    pub incarnation: u32,
    /// Maximum number of waiting attempts; further ones are rejected.
    pub queue_capacity: usize,
    /// Work done since it started, in seconds on a standard core.
    pub work_done: f64,
    /// Number of open connections.
    pub connections: u32,
    /// The attempt that it executes.
    pub running: Option<AttemptId>,
    /// Waiting attempts, in the order of execution.
    pub queue: VecDeque<AttemptId>,
    /// Work received during slow start, within the overload window.
    received: VecDeque<ReceivedWork>,
}

impl Server {
    /// An idle server without fault.
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

    /// Its current capacity as a fraction of its full capacity, which it reaches at the end of slow start.
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

    /// Its current capacity, in work per second.
    pub fn capacity(&self, now: Time, plan: &Plan) -> f64 {
        let slowdown = match self.behavior {
            ServerBehavior::Slow(factor) => factor,
            _ => 1.0,
        };
        self.speed * self.capacity_fraction(now, plan) / slowdown
    }

    /// Its current capacity, reduced by a long queue, in work per second.
    pub fn capacity_with_queue(&self, now: Time, plan: &Plan) -> f64 {
        let excess = self
            .queue
            .len()
            .saturating_sub(plan.queue_slowdown.threshold) as f64;
        self.capacity(now, plan) / (1.0 + plan.queue_slowdown.per_request * excess)
    }

    /// When work that takes this long without pauses is completed, given the pauses of the server.
    pub fn completion_time(&self, now: Time, work_time: Time) -> Time {
        let ServerBehavior::Pausing { interval, duration } = self.behavior else {
            return now + work_time;
        };
        // The phase differs between servers, so that they do not pause at the same time.
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

    /// Ends it or makes it unreachable; its queue and connections are lost.
    pub fn end(&mut self, state: State) {
        self.state = state;
        self.incarnation += 1;
        self.running = None;
        self.queue.clear();
        self.received.clear();
        self.connections = 0;
        self.work_done = 0.0;
    }

    /// Starts it; slow start begins.
    pub fn start(&mut self, now: Time) {
        self.state = State::Up;
        self.endpoint.started_at = now;
    }

    /// Records received work; returns the load, which is zero unless the server is in slow start.
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
