//! Units of something limited, shared by parties.
//!
//! Each party has a reservation that is its own, a most, and a fair share: its reservation and its part, by weight,
//! of what nobody reserved. Three promises:
//!
//! - what is held together is never over the total;
//! - a unit within a reservation is always granted, whatever the others hold. For this the reservations of all are
//!   kept free, used or not; what may be borrowed is what no reservation covers;
//! - a party may borrow more than its fair share while nobody else asks. Once one that is under its own fair share
//!   has asked in vain, nothing more is lent beyond fair shares until it has been served or has stopped asking.
//!   Nothing that is held is taken away.
//!
//! The first holds as long as the shape is left alone. [`Budget::set`] may leave more held than the new total; then
//! nothing but reservations is granted until that is given back.

use crate::Time;
use thiserror::Error;

/// A party's number, given by [`Budget::add`].
pub type Party = usize;

/// How long a request in vain keeps others from borrowing, in seconds.
pub const CLAIM_LASTS: Time = 1.0;

/// What a party may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Its own, whatever the others hold.
    pub reserve: u64,
    /// Never more than this.
    pub most: u64,
    /// Its part of what nobody reserved, against those of the others.
    pub weight: u32,
}

impl Share {
    /// No reservation and no bound but the total.
    pub const OPEN: Share = Share { reserve: 0, most: u64::MAX, weight: 1 };
}

/// Why a unit was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Denied {
    /// The party holds the most that it may.
    #[error("its own bound is reached")]
    Most,
    /// Nothing is left that may be borrowed.
    #[error("nothing is left to borrow")]
    Total,
    /// It has its fair share, and another is waiting for its own.
    #[error("another is waiting for its share")]
    Claimed,
}

/// Shares that do not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Misfit {
    /// Together, the reservations are more than there is.
    #[error("{reserved} units are reserved of {total}")]
    Reserved {
        /// The sum of the reservations.
        reserved: u64,
        /// What there is.
        total: u64,
    },
    /// A reservation is larger than what its party may hold.
    #[error("a reservation of {reserve} is over its bound of {most}")]
    OverMost {
        /// The reservation.
        reserve: u64,
        /// The bound.
        most: u64,
    },
}

#[derive(Clone, Debug)]
struct Account {
    share: Share,
    used: u64,
    /// When it last asked in vain while it was under its fair share.
    claimed: Option<Time>,
    /// It has left, and its place is free once it holds nothing.
    left: bool,
}

/// The books of one limited thing.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    total: u64,
    parties: Vec<Account>,
    /// The sum over the parties of what they hold or have reserved, whichever is more.
    held: u64,
    reserved: u64,
    weights: u64,
}

impl Budget {
    /// So many units and no parties yet.
    pub fn new(total: u64) -> Self {
        Budget { total, ..Budget::default() }
    }

    /// What there is.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// What a party holds.
    pub fn used(&self, party: Party) -> u64 {
        self.parties.get(party).map_or(0, |a| a.used)
    }

    /// What all parties hold.
    pub fn used_by_all(&self) -> u64 {
        self.parties.iter().map(|a| a.used).sum()
    }

    /// Checks shares against a total without changing anything.
    ///
    /// # Errors
    /// Says what does not fit.
    pub fn check(total: u64, shares: impl IntoIterator<Item = Share>) -> Result<(), Misfit> {
        let mut reserved = 0u64;
        for Share { reserve, most, .. } in shares {
            if reserve > most {
                return Err(Misfit::OverMost { reserve, most });
            }
            reserved = reserved.saturating_add(reserve);
        }
        (reserved <= total).then_some(()).ok_or(Misfit::Reserved { reserved, total })
    }

    /// Changes the total; what is held stays held.
    pub fn set_total(&mut self, total: u64) {
        self.total = total;
    }

    /// A new party.
    pub fn add(&mut self, share: Share) -> Party {
        let account = Account { share, used: 0, claimed: None, left: false };
        let free = self.parties.iter().position(|a| a.left && a.used == 0);
        let party = match free {
            Some(party) => {
                if let Some(old) = self.parties.get_mut(party) {
                    *old = account;
                }
                party
            }
            None => {
                self.parties.push(account);
                self.parties.len() - 1
            }
        };
        self.sum();
        party
    }

    /// Changes what a party may hold; what it holds stays held.
    pub fn set(&mut self, party: Party, share: Share) {
        if let Some(account) = self.parties.get_mut(party) {
            account.share = share;
            account.claimed = None;
        }
        self.sum();
    }

    /// A party leaves. What it holds it gives back in its own time; until then it counts.
    pub fn remove(&mut self, party: Party) {
        if let Some(account) = self.parties.get_mut(party) {
            account.share = Share { reserve: 0, most: 0, weight: 0 };
            account.claimed = None;
            account.left = true;
        }
        self.sum();
    }

    fn sum(&mut self) {
        let present = || self.parties.iter().filter(|a| !a.left || a.used > 0);
        self.held = present().map(|a| a.used.max(a.share.reserve)).sum();
        self.reserved = present().map(|a| a.share.reserve).sum();
        self.weights = present().map(|a| u64::from(a.share.weight)).sum();
    }

    fn fair(&self, share: Share) -> u64 {
        let open = u128::from(self.total.saturating_sub(self.reserved));
        let part = open * u128::from(share.weight) / u128::from(self.weights.max(1));
        share.reserve.saturating_add(u64::try_from(part).unwrap_or(u64::MAX))
    }

    /// Takes `n` units for a party, all or none.
    ///
    /// # Errors
    /// Says why they are not to be had now.
    pub fn take(&mut self, now: Time, party: Party, n: u64) -> Result<(), Denied> {
        let Some(account) = self.parties.get(party) else { return Err(Denied::Most) };
        let (share, used) = (account.share, account.used.saturating_add(n));
        if used > share.most || account.left {
            return Err(Denied::Most);
        }
        let held = self.held - account.used.max(share.reserve) + used.max(share.reserve);
        let fair = self.fair(share);
        let denied = if used <= share.reserve {
            None
        } else if held > self.total {
            Some(Denied::Total)
        } else if used > fair && self.claimed_by_others(now, party) {
            Some(Denied::Claimed)
        } else {
            None
        };
        let Some(account) = self.parties.get_mut(party) else { return Err(Denied::Most) };
        match denied {
            None => {
                account.used = used;
                account.claimed = None;
                self.held = held;
                Ok(())
            }
            Some(denied) => {
                if used <= fair {
                    account.claimed = Some(now);
                }
                Err(denied)
            }
        }
    }

    fn claimed_by_others(&self, now: Time, party: Party) -> bool {
        let lives = |a: &Account| a.claimed.is_some_and(|at| now - at < CLAIM_LASTS);
        self.parties.iter().enumerate().any(|(n, a)| n != party && lives(a))
    }

    /// Gives back `n` units of a party.
    pub fn give(&mut self, party: Party, n: u64) {
        let Some(account) = self.parties.get_mut(party) else { return };
        let used = account.used.saturating_sub(n);
        let reserve = account.share.reserve;
        self.held = self.held - account.used.max(reserve) + used.max(reserve);
        account.used = used;
    }
}
