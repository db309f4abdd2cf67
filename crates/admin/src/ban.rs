//! Servers that operators have banned.
//!
//! A ban is independent of the endpoint lists and of the balancer: neither can end it. It applies to the name of a
//! server, not to its address, and stays when a list removes the server, reports a new start or changes the address.
//!
//! | state of a name | owner | ends |
//! | --- | --- | --- |
//! | banned | [`Bans`] | when the ban is lifted |
//! | lifted | [`Bans`] | when [`MAX_LIFTED_BANS`] other bans were lifted after it, or the server is banned again; a later start in a list takes precedence |

use crate::Time;
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Maximum number of servers that can be banned at once.
pub const MAX_BANS: usize = 4096;
/// Maximum number of lifted bans that are kept.
pub const MAX_LIFTED_BANS: usize = 1024;

/// The maximum number of servers is banned already.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{MAX_BANS} servers are out by hand, and no more can be")]
pub struct TooManyBans;

/// A ban that was lifted.
#[derive(Clone, Debug, PartialEq)]
pub struct LiftedBan {
    /// The name of the server.
    pub name: String,
    /// When the server was banned.
    pub banned_at: Time,
    /// When the ban was lifted.
    pub lifted_at: Time,
}

/// The status of a server once the bans are applied to its entry in a list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BanStatus {
    /// Whether it must not be sent new requests.
    pub is_banned: bool,
    /// When it counts as started; slow start begins there.
    pub started_at: Time,
}

/// The servers that operators have banned, and the bans that they have lifted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bans {
    /// When each server was banned, by its name.
    banned: BTreeMap<String, Time>,
    /// The most recently lifted ban is the last.
    lifted: VecDeque<LiftedBan>,
}

impl Bans {
    /// Bans a server. Does nothing if it is banned already, so that one call of [`Bans::lift`] ends the ban.
    ///
    /// # Errors
    /// If too many servers are banned already.
    pub fn ban(&mut self, name: &str, now: Time) -> Result<(), TooManyBans> {
        if self.banned.contains_key(name) {
            return Ok(());
        }
        if self.banned.len() >= MAX_BANS {
            return Err(TooManyBans);
        }
        self.banned.insert(name.to_owned(), now);
        self.lifted.retain(|ban| ban.name != name);
        Ok(())
    }

    /// Lifts the ban of a server. Returns whether it was banned.
    pub fn lift(&mut self, name: &str, now: Time) -> bool {
        let Some(banned_at) = self.banned.remove(name) else {
            return false;
        };
        self.lifted.retain(|ban| ban.name != name);
        if self.lifted.len() >= MAX_LIFTED_BANS {
            self.lifted.pop_front();
        }
        self.lifted.push_back(LiftedBan {
            name: name.to_owned(),
            banned_at,
            lifted_at: now,
        });
        true
    }

    /// Applies the bans to a server that started at `started_at` according to its list.
    ///
    /// A server whose ban was lifted counts as started at that moment, and so goes through slow start, unless the list
    /// has a later start: operators restart servers while they are banned, and a list may report the restart late or
    /// never.
    pub fn status(&self, name: &str, started_at: Time) -> BanStatus {
        if self.is_banned(name) {
            return BanStatus {
                is_banned: true,
                started_at,
            };
        }
        let lifted = self.lifted.iter().find(|ban| ban.name == name);
        let lifted = lifted.filter(|ban| started_at <= ban.lifted_at);
        BanStatus {
            is_banned: false,
            started_at: lifted.map_or(started_at, |ban| ban.lifted_at),
        }
    }

    /// Whether a server is banned.
    pub fn is_banned(&self, name: &str) -> bool {
        self.banned.contains_key(name)
    }

    /// The servers that are banned, with the times of their bans.
    pub fn banned(&self) -> impl Iterator<Item = (&str, Time)> {
        self.banned
            .iter()
            .map(|(name, banned_at)| (name.as_str(), *banned_at))
    }

    /// The bans that were lifted, in the order in which that happened.
    pub fn lifted(&self) -> impl Iterator<Item = &LiftedBan> {
        self.lifted.iter()
    }

    /// Restores bans that another process or an earlier run has stored. Those beyond the limits are dropped.
    pub fn from_parts(banned: BTreeMap<String, Time>, lifted: Vec<LiftedBan>) -> Self {
        let banned: BTreeMap<String, Time> = banned.into_iter().take(MAX_BANS).collect();
        let excess = lifted.len().saturating_sub(MAX_LIFTED_BANS);
        let recent = lifted.into_iter().skip(excess);
        let lifted = recent
            .filter(|ban| !banned.contains_key(&ban.name))
            .collect();
        Bans { banned, lifted }
    }

    /// The names of the servers whose bans differ from `other`.
    pub fn changed_servers(&self, other: &Bans) -> Vec<String> {
        let mine = self
            .banned
            .keys()
            .filter(|name| !other.banned.contains_key(*name));
        let theirs = other
            .banned
            .keys()
            .filter(|name| !self.banned.contains_key(*name));
        let mut names: Vec<String> = mine.chain(theirs).cloned().collect();
        names.extend(self.lifted_only_here(other));
        names.extend(other.lifted_only_here(self));
        names.sort_unstable();
        names.dedup();
        names
    }

    fn lifted_only_here<'a>(&'a self, other: &'a Bans) -> impl Iterator<Item = String> + 'a {
        self.lifted
            .iter()
            .filter(|ban| !other.lifted.contains(ban))
            .map(|ban| ban.name.clone())
    }
}
