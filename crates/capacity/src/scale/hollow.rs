//! The control side of one node, without its socket: the only file of the scale run that uses [`reelfall_cluster`].
//!
//! A [`Hollow`] does what the node's program does between its socket and its pools, with the same pauses: it takes
//! in datagrams, ticks, judges servers and tells what it has seen of them. There are no clients and no pools; what
//! attempts at failing servers would have shown is drawn.

use reelfall_cluster::entry::{Key, ServerInstance};
use reelfall_cluster::fleet::{Config, Fleet, FleetEvent};
use reelfall_cluster::members::MembershipConfig;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_cluster::wire::{self, AppMessage, Secret, Writer};
use reelfall_testbed::SeededRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Longest datagram of a fleet, in bytes.
pub const DATAGRAM_MOST: usize = wire::MAX_DATAGRAM_LEN;
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
pub const KINDS: [&str; 5] = [
    "membership",
    "comparison",
    "introduction",
    "verdicts",
    "errand",
];
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
    Secret::new(KEY_FILE, FLEET_NAME).map_err(|error| error.to_string())
}

/// Reads a datagram's kinds; `None` for what is no datagram of this fleet.
pub fn parts(secret: &Secret, datagram: &[u8]) -> Option<Parts> {
    if AppMessage::matches(datagram) {
        return Some(Parts {
            kind: ERRAND,
            own: datagram.len(),
            verdicts: 0,
        });
    }
    let (header, entries) = wire::open(secret, datagram).ok()?;
    let own = if entries.is_empty() {
        datagram.len()
    } else {
        Writer::new(&header)?.seal(secret).len()
    };
    let kind = if header.anti_entropy.is_some() {
        COMPARISON
    } else if !header.members.is_empty() {
        INTRODUCTION
    } else if !header.swim.is_empty() {
        MEMBERSHIP
    } else {
        VERDICTS
    };
    Some(Parts {
        kind,
        own,
        verdicts: datagram.len().saturating_sub(own),
    })
}

/// The control side of one node.
pub struct Hollow {
    fleet: Fleet,
    draw: SeededRng,
    next_look: f64,
    next_judge: f64,
    condemned: BTreeSet<ServerInstance>,
    probes: BTreeSet<ServerInstance>,
}

impl Hollow {
    /// A node that knows nobody yet.
    ///
    /// # Errors
    /// If the fleet's key can't be made.
    pub fn new(setup: &Setup, seed: u64, now: f64) -> Result<Hollow, String> {
        let mut draw = SeededRng(seed);
        let config = Config {
            membership: MembershipConfig {
                size: setup.size,
                ..MembershipConfig::default()
            },
            seeds: setup.seeds.clone(),
            zone: setup.zone.clone(),
            ..Config::default()
        };
        let (tag, chance) = (draw.next_u64() | 1, draw.next_u64());
        let fleet = Fleet::new(
            &setup.name,
            setup.address,
            tag,
            config,
            secret()?,
            chance,
            now,
        );
        let (condemned, probes) = (BTreeSet::new(), BTreeSet::new());
        Ok(Hollow {
            fleet,
            draw,
            next_look: now,
            next_judge: now,
            condemned,
            probes,
        })
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: f64, datagram: &[u8]) {
        self.fleet.receive(now, datagram);
        while self.fleet.next_message().is_some() {}
    }

    /// Does what is due. Returns the servers that are newly out by hand.
    pub fn turn(&mut self, now: f64, listed: usize, failing: &[Failing]) -> Vec<String> {
        if now >= self.next_look {
            self.next_look = now + LOOK_EVERY;
            self.fleet.set_overdue(now, &[]);
        }
        self.fleet.tick(now, listed);
        let mut out = Vec::new();
        while let Some(event) = self.fleet.next_event() {
            if let FleetEvent::Updated(Key::Ban { server, .. }) = event {
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
        self.fleet
            .deadline()
            .min(self.next_look)
            .min(self.next_judge)
    }

    /// What is to be sent next, and where to.
    pub fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.fleet.next_datagram()
    }

    /// How many others are there.
    pub fn members(&self) -> usize {
        self.fleet.members().count()
    }

    /// An operator sends a server out for so many seconds; whether the node may say so.
    pub fn ban(&mut self, now: f64, server: &str, seconds: f64) -> bool {
        self.fleet
            .ban(now, server, "scale", Some(seconds))
            .is_some()
    }

    /// This node has taken in a list.
    pub fn saw_list(&mut self, now: f64, list: &str, index: u64) {
        self.fleet.publish_list_index(now, list, index);
    }

    fn judge(&mut self, now: f64, listed: usize) {
        let condemned = self.fleet.condemned_servers(now, listed);
        self.probes = condemned
            .iter()
            .filter(|c| c.is_prober)
            .map(|c| c.server.clone())
            .collect();
        self.condemned = condemned.into_iter().map(|c| c.server).collect();
    }

    /// Attempts at failing servers: none at one that is condemned, unless it is this node's turn to try it.
    fn attempt(&mut self, now: f64, failing: &[Failing]) {
        for server in failing {
            let server = ServerInstance {
                name: server.name.clone(),
                since: server.since,
            };
            let sends = if self.condemned.contains(&server) {
                self.probes.contains(&server)
            } else {
                self.draw.next_fraction() < ATTEMPTS * JUDGE_EVERY
            };
            if sends {
                self.fleet
                    .record_outcome(now, &server, AttemptOutcome::ServerError);
            }
        }
    }
}
