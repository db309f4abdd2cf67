//! What there is in a run, and what happens.

use reelfall_balancer::interface::{Idempotency, Time};

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Part of the requests.
    pub share: f64,
    /// Mean work, in seconds on a standard core.
    pub work: f64,
    /// Answers within this time earn the worth.
    pub aim: Time,
    /// The client's whole patience.
    pub deadline: Time,
    /// Worth of a unit of work.
    pub worth: f64,
    /// What a second run would do.
    pub effect: Idempotency,
}

/// A kind of machines.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Part of the servers.
    pub share: f64,
    /// What the list says of its size.
    pub weight: f64,
    /// Work a second of a warm one, from and to.
    pub speed: (f64, f64),
}

/// How a server serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// As it should.
    Sound,
    /// So many times slower.
    Slow(f64),
    /// It stands still every so often for so long.
    Pausing(f64, f64),
    /// It takes requests and says nothing.
    Silent,
    /// It answers at once that it failed.
    Failing,
}

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Happening {
    /// This part of the nodes dies at once; they start again after so long, knowing the list that they had.
    NodesDie(f64, Time),
    /// All nodes and servers of a zone vanish without a word and come back after so long, the servers cold.
    ZoneLost(u16, Time),
    /// This part of the servers drains and ends; as many cold ones under new names are there so much later.
    Replace(f64, Time),
    /// This part of the servers ends without a drain.
    Vanish(f64),
    /// Of this part of the servers, the list says so many times that they drain and that they don't.
    Flap(f64, u32),
    /// This part of the servers serves in this manner from now on, for so long.
    Trouble(f64, Manner, Time),
    /// The list tells nobody anything for so long.
    ListDown(Time),
    /// This part of the nodes gets no requests for so long.
    Shunned(f64, Time),
    /// All nodes are restarted in so many steps, so far apart: each answers what it has, ends, and is back so much later.
    Restarts(u32, Time, Time),
    /// Nothing passes between a zone and the others for so long; clients still reach the nodes of both.
    Cut(u16, Time),
    /// This part of the answers gets lost with its connection for so long.
    Losing(f64, Time),
    /// So many times the usual requests come for so long.
    Surge(f64, Time),
    /// This part of the clients is in the first zone from now on.
    Shift(f64),
    /// All servers work so many times slower for so long: what they share is slow.
    AllSlow(f64, Time),
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it is called.
    pub name: String,
    /// For all that is drawn.
    pub seed: u64,
    /// How many nodes share the servers.
    pub nodes: usize,
    /// How many servers there are at the start.
    pub servers: usize,
    /// Part of the nodes, and of the servers, in the first of two zones.
    pub zones: (f64, f64),
    /// How long clients ask.
    pub length: Time,
    /// Work asked for, as a part of what the warm servers can do.
    pub load: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The kinds.
    pub kinds: Vec<Kind>,
    /// Requests that the first node gets for each one that another gets.
    pub heavy: f64,
    /// Nodes hold the whole list rather than parts of it: they are not told what the tenants may send.
    pub whole: bool,
    /// One way between nodes and servers of one zone, and of two.
    pub latency: (Time, Time),
    /// Requests that wait at a server at most, from and to.
    pub waiting: (usize, usize),
    /// From so many requests in hand on, each further one takes such a part of a server's speed.
    pub thrash: (usize, f64),
    /// Connections that a server takes.
    pub connections: u32,
    /// Work that a new connection costs a server.
    pub handshake: f64,
    /// A dial is given up after.
    pub connect_within: Time,
    /// An idle connection is closed after.
    pub idle: Time,
    /// A server that starts has this part of its capacity, and all of it after this time.
    pub cold: (f64, Time),
    /// It is warm sooner when it has done so much of the work that it could do warm in that time; 1 and more: never.
    pub warms: f64,
    /// Work within the window past this multiple of its capacity ends a cold server, and the window.
    pub tips: (f64, Time),
    /// Nodes hear of a change after this time, and spread over as much again.
    pub notice: Time,
    /// The front goes on sending to a dead node for so long.
    pub front: Time,
    /// Part of the deadline after which a client gives a try up.
    pub patience: f64,
    /// Part of the clients that give up after a third of that.
    pub hurried: f64,
    /// Times that a client tries again, its pause, and how many follow advice on when to come back.
    pub retries: (u32, Time, f64),
    /// Each at its time from the start.
    pub happenings: Vec<(Time, Happening)>,
}
