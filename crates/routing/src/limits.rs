//! Admission: what all services together hold, and whether one more request of a service fits.

use crate::budget::{Budget, Denied, Misfit, Party, Share};
use crate::rate::Rate;
use crate::Time;
use thiserror::Error;

/// What one service may hold and take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// Requests that have no final answer yet, or an attempt that is still out.
    pub open: Share,
    /// Connections to servers.
    pub connections: Share,
    /// KiB of bodies, of requests and of large answers.
    pub memory: Share,
    /// Requests a second and how many at once; `None` for no bound.
    pub rate: Option<(f64, f64)>,
}

impl Allowed {
    /// No bounds but those of the process.
    pub const OPEN: Allowed = Allowed {
        open: Share::OPEN,
        connections: Share::OPEN,
        memory: Share::OPEN,
        rate: None,
    };
}

/// What the process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Totals {
    /// Requests that have no final answer yet, or an attempt that is still out.
    pub open: u64,
    /// Connections to servers.
    pub connections: u64,
    /// KiB of bodies, of requests and of large answers.
    pub memory: u64,
}

/// Something limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests that have no final answer yet, or an attempt that is still out.
    Open,
    /// Connections to servers.
    Connections,
    /// KiB of bodies, of requests and of large answers.
    Memory,
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Kind::Open => "open requests",
            Kind::Connections => "connections",
            Kind::Memory => "memory",
        })
    }
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum Denial {
    /// Too many requests a second; the next fits after this time.
    #[error("over its rate")]
    Rate(Time),
    /// Too many at once.
    #[error("{0}: {1}")]
    Held(Kind, Denied),
}

/// Shares that do not fit, and what of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{kind}: {misfit}")]
pub struct Unfit {
    /// What there is too little of.
    pub kind: Kind,
    /// Why.
    pub misfit: Misfit,
}

/// A service's number here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    open: Party,
    connections: Party,
    memory: Party,
    rate: usize,
}

/// The books of a process with several services.
#[derive(Debug)]
pub struct Limits {
    open: Budget,
    connections: Budget,
    memory: Budget,
    rates: Vec<Option<Rate>>,
    free: Vec<usize>,
}

impl Limits {
    /// No services yet.
    pub fn new(totals: Totals) -> Self {
        Limits {
            open: Budget::new(totals.open),
            connections: Budget::new(totals.connections),
            memory: Budget::new(totals.memory),
            rates: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Checks what is to be allowed against what there is.
    ///
    /// # Errors
    /// Says what does not fit.
    pub fn check(totals: Totals, allowed: &[Allowed]) -> Result<(), Unfit> {
        let fits = |kind, total, share: fn(&Allowed) -> Share| {
            Budget::check(total, allowed.iter().map(share)).map_err(|misfit| Unfit { kind, misfit })
        };
        fits(Kind::Open, totals.open, |a| a.open)?;
        fits(Kind::Connections, totals.connections, |a| a.connections)?;
        fits(Kind::Memory, totals.memory, |a| a.memory)
    }

    /// Changes what there is; what is held stays held.
    pub fn set_totals(&mut self, totals: Totals) {
        self.open.set_total(totals.open);
        self.connections.set_total(totals.connections);
        self.memory.set_total(totals.memory);
    }

    /// A new service.
    pub fn add(&mut self, now: Time, allowed: &Allowed) -> Member {
        let rate = allowed
            .rate
            .map(|(rate, burst)| Rate::new(now, rate, burst));
        let at = self.free.pop().unwrap_or(self.rates.len());
        match self.rates.get_mut(at) {
            Some(place) => *place = rate,
            None => self.rates.push(rate),
        }
        Member {
            open: self.open.add(allowed.open),
            connections: self.connections.add(allowed.connections),
            memory: self.memory.add(allowed.memory),
            rate: at,
        }
    }

    /// Changes what a service is allowed; what it holds stays held.
    pub fn set(&mut self, now: Time, member: Member, allowed: &Allowed) {
        self.open.set(member.open, allowed.open);
        self.connections
            .set(member.connections, allowed.connections);
        self.memory.set(member.memory, allowed.memory);
        if let Some(rate) = self.rates.get_mut(member.rate) {
            match (rate.as_mut(), allowed.rate) {
                (Some(rate), Some((per_second, burst))) => rate.set(now, per_second, burst),
                (_, new) => {
                    *rate = new.map(|(per_second, burst)| Rate::new(now, per_second, burst))
                }
            }
        }
    }

    /// A service leaves; what it holds it gives back in its own time. Call it once, when nothing asks for it.
    pub fn remove(&mut self, member: Member) {
        self.open.remove(member.open);
        self.connections.remove(member.connections);
        self.memory.remove(member.memory);
        if let Some(rate) = self.rates.get_mut(member.rate) {
            *rate = None;
            self.free.push(member.rate);
        }
    }

    /// Takes one request in; [`Limits::give`] of one [`Kind::Open`] is owed for it.
    ///
    /// # Errors
    /// Says which limit it is over. Nothing is taken then.
    pub fn admit(&mut self, now: Time, member: Member) -> Result<(), Denial> {
        self.open
            .take(now, member.open, 1)
            .map_err(|d| Denial::Held(Kind::Open, d))?;
        let rate = self.rates.get_mut(member.rate).and_then(Option::as_mut);
        rate.map_or(Ok(()), |r| r.take(now)).map_err(|wait| {
            self.open.give(member.open, 1);
            Denial::Rate(wait)
        })
    }

    /// Takes units of something for a service.
    ///
    /// # Errors
    /// Says why they are not to be had now.
    pub fn take(&mut self, now: Time, member: Member, kind: Kind, n: u64) -> Result<(), Denied> {
        let (budget, party) = self.book(member, kind);
        budget.take(now, party, n)
    }

    /// Gives units back.
    pub fn give(&mut self, member: Member, kind: Kind, n: u64) {
        let (budget, party) = self.book(member, kind);
        budget.give(party, n);
    }

    /// What a service holds.
    pub fn used(&self, member: Member, kind: Kind) -> u64 {
        match kind {
            Kind::Open => self.open.used(member.open),
            Kind::Connections => self.connections.used(member.connections),
            Kind::Memory => self.memory.used(member.memory),
        }
    }

    fn book(&mut self, member: Member, kind: Kind) -> (&mut Budget, Party) {
        match kind {
            Kind::Open => (&mut self.open, member.open),
            Kind::Connections => (&mut self.connections, member.connections),
            Kind::Memory => (&mut self.memory, member.memory),
        }
    }
}
