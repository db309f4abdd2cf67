//! The control side of one node, without its socket: the only file of the scale run that uses [`reelfall_fleet`].
//!
//! A [`Hollow`] does what the node's program does between its socket and its pools, with the same pauses: it takes
//! in datagrams, ticks, judges servers and tells what it has seen of them. There are no clients and no pools; what
//! attempts at failing servers would have shown is drawn.

use crate::Draw;
use reelfall_fleet::fleet::{Change, Fleet, Rules};
use reelfall_fleet::members::Pace;
use reelfall_fleet::verdict::{Key, ServerStart};
use reelfall_fleet::wire::{self, Errand, Secret, Writer};
use reelfall_fleet::witness::Saw;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Longest datagram of a fleet, in bytes.
pub const DATAGRAM_MOST: usize = wire::DATAGRAM_MOST;
/// The pauses of the node's program: how often it looks for attempts that are overdue, in seconds.
pub const LOOK_EVERY: f64 = 0.025;
/// How often the node's program judges servers, in seconds.
pub const JUDGE_EVERY: f64 = 0.1;
/// How many attempts a second a node makes at each server of the list that fails, while it may be sent to.
pub const ATTEMPTS: f64 = 0.5;
/// The key file of every fleet of a scale run. It guards nothing: all sockets are on loopback.
pub const KEY_FILE: &[u8] = b"the key of a scale run on loopback";
/// The name of every fleet of a scale run.
pub const FLEET_NAME: &str = "scale";

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it asks to be let in.
    pub seeds: Vec<SocketAddr>,
    /// How many nodes the fleet is expected to have.
    pub size: u32,
}

/// A server that fails, as the list names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Failing {
    /// Its name.
    pub name: String,
    /// When it last started, in milliseconds.
    pub since: u64,
}

/// Bytes of one datagram by kind of message. Verdicts ride on datagrams that are sent for another reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parts {
    /// Why it was sent: one of [`KINDS`].
    pub kind: usize,
    /// Bytes of everything but verdicts.
    pub own: usize,
    /// Bytes of verdicts.
    pub verdicts: usize,
}

/// Kinds of datagrams.
///
/// `membership` holds probes and their answers as well as news of members: both are the membership library's own
/// format, which the datagram carries unread.
pub const KINDS: [&str; 5] = ["membership", "comparison", "introduction", "verdicts", "errand"];
/// The place of `membership` in [`KINDS`].
pub const MEMBERSHIP: usize = 0;
/// The place of `comparison` in [`KINDS`].
pub const COMPARISON: usize = 1;
/// The place of `introduction` in [`KINDS`].
pub const INTRODUCTION: usize = 2;
/// The place of `verdicts` in [`KINDS`].
pub const VERDICTS: usize = 3;
/// The place of `errand` in [`KINDS`].
pub const ERRAND: usize = 4;

/// The key of every fleet of a scale run.
///
/// # Errors
/// If the key is too short, which it is not.
pub fn secret() -> Result<Secret, String> {
    Secret::new(KEY_FILE, FLEET_NAME)
}

/// Reads a datagram's kinds; `None` for what is no datagram of this fleet.
pub fn parts(secret: &Secret, datagram: &[u8]) -> Option<Parts> {
    if Errand::is(datagram) {
        return Some(Parts { kind: ERRAND, own: datagram.len(), verdicts: 0 });
    }
    let (head, entries) = wire::open(secret, datagram).ok()?;
    let own = if entries.is_empty() { datagram.len() } else { Writer::new(&head)?.seal(secret).len() };
    let kind = if head.compare.is_some() {
        COMPARISON
    } else if !head.met.is_empty() {
        INTRODUCTION
    } else if !head.swim.is_empty() {
        MEMBERSHIP
    } else {
        VERDICTS
    };
    Some(Parts { kind, own, verdicts: datagram.len().saturating_sub(own) })
}

/// The control side of one node.
pub struct Hollow {
    fleet: Fleet,
    draw: Draw,
    next_look: f64,
    next_judge: f64,
    condemned: BTreeSet<ServerStart>,
    tries: BTreeSet<ServerStart>,
}

impl Hollow {
    /// A node that knows nobody yet.
    ///
    /// # Errors
    /// If the fleet's key can't be made.
    pub fn new(setup: &Setup, seed: u64, now: f64) -> Result<Hollow, String> {
        let mut draw = Draw(seed);
        let rules = Rules {
            pace: Pace { size: setup.size, ..Pace::default() },
            seeds: setup.seeds.clone(),
            zone: setup.zone.clone(),
            ..Rules::default()
        };
        let (tag, chance) = (draw.number() | 1, draw.number());
        let fleet = Fleet::new(&setup.name, setup.address, tag, rules, secret()?, chance, now);
        let (condemned, tries) = (BTreeSet::new(), BTreeSet::new());
        Ok(Hollow { fleet, draw, next_look: now, next_judge: now, condemned, tries })
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: f64, datagram: &[u8]) {
        self.fleet.receive(now, datagram);
        while self.fleet.errand().is_some() {}
    }

    /// Does what is due. Returns the servers that are newly out by hand.
    pub fn turn(&mut self, now: f64, listed: usize, failing: &[Failing]) -> Vec<String> {
        if now >= self.next_look {
            self.next_look = now + LOOK_EVERY;
            self.fleet.waits(now, &[]);
        }
        self.fleet.tick(now, listed);
        let mut out = Vec::new();
        while let Some(change) = self.fleet.change() {
            if let Change::Told(Key::Hand { server, .. }) = change {
                out.push(server);
            }
        }
        if now >= self.next_judge {
            self.next_judge = now + JUDGE_EVERY;
            self.judge(now, listed);
            self.attempt(now, failing);
        }
        out
    }

    /// When [`Hollow::turn`] has something to do.
    pub fn deadline(&self) -> f64 {
        self.fleet.deadline().min(self.next_look).min(self.next_judge)
    }

    /// What is to be sent next, and where to.
    pub fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.fleet.outgoing()
    }

    /// How many others are there.
    pub fn members(&self) -> usize {
        self.fleet.members().count()
    }

    /// An operator sends a server out for so many seconds; whether the node may say so.
    pub fn ban(&mut self, now: f64, server: &str, seconds: f64) -> bool {
        self.fleet.ban(now, server, "scale", Some(seconds)).is_some()
    }

    /// This node has taken in a list.
    pub fn saw_list(&mut self, now: f64, list: &str, index: u64) {
        self.fleet.saw_index(now, list, index);
    }

    fn judge(&mut self, now: f64, listed: usize) {
        let condemned = self.fleet.condemned(now, listed);
        self.tries = condemned.iter().filter(|c| c.tries).map(|c| c.server.clone()).collect();
        self.condemned = condemned.into_iter().map(|c| c.server).collect();
    }

    /// Attempts at failing servers: none at one that is condemned, unless it is this node's turn to try it.
    fn attempt(&mut self, now: f64, failing: &[Failing]) {
        for server in failing {
            let server = ServerStart { name: server.name.clone(), since: server.since };
            let sends = if self.condemned.contains(&server) {
                self.tries.contains(&server)
            } else {
                self.draw.fraction() < ATTEMPTS * JUDGE_EVERY
            };
            if sends {
                self.fleet.saw(now, &server, Saw::Failure);
            }
        }
    }
}
