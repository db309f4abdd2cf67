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
    pub const OPEN: Share = Share {
        reserve: 0,
        most: u64::MAX,
        weight: 1,
    };
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

impl Account {
    const fn new(share: Share) -> Self {
        Account {
            share,
            used: 0,
            claimed: None,
            left: false,
        }
    }

    /// Whether another party may have its place.
    fn is_free(&self) -> bool {
        self.left && self.used == 0
    }

    /// What the party holds or has reserved, whichever is more.
    fn held(&self) -> u64 {
        self.used.max(self.share.reserve)
    }
}

/// Sums over all parties. They are kept up to date account by account, so that no change costs a walk over the parties.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    /// What the parties hold or have reserved, whichever is more for each.
    held: u64,
    reserved: u64,
    weights: u64,
}

impl Sums {
    fn add(&mut self, account: &Account) {
        self.held += account.held();
        self.reserved += account.share.reserve;
        self.weights += u64::from(account.share.weight);
    }

    fn subtract(&mut self, account: &Account) {
        self.held -= account.held();
        self.reserved -= account.share.reserve;
        self.weights -= u64::from(account.share.weight);
    }
}

/// The books of one limited thing.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    total: u64,
    parties: Vec<Account>,
    /// Places of parties that have left and hold nothing. Each is here once.
    free: Vec<Party>,
    sums: Sums,
}

impl Budget {
    /// So many units and no parties yet.
    pub fn new(total: u64) -> Self {
        Budget {
            total,
            ..Budget::default()
        }
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
        (reserved <= total)
            .then_some(())
            .ok_or(Misfit::Reserved { reserved, total })
    }

    /// Changes the total; what is held stays held.
    pub fn set_total(&mut self, total: u64) {
        self.total = total;
    }

    /// A new party.
    pub fn add(&mut self, share: Share) -> Party {
        let account = Account::new(share);
        self.sums.add(&account);
        // A free place counts for nothing in the sums.
        let party = self.free.pop().unwrap_or(self.parties.len());
        match self.parties.get_mut(party) {
            Some(place) => *place = account,
            None => self.parties.push(account),
        }
        party
    }

    /// Changes what a party may hold; what it holds stays held. One that has left gets nothing.
    pub fn set(&mut self, party: Party, share: Share) {
        self.change(party, |account| {
            if !account.left {
                account.share = share;
                account.claimed = None;
            }
        });
    }

    /// A party leaves. What it holds it gives back in its own time; until then it counts.
    pub fn remove(&mut self, party: Party) {
        self.change(party, |account| {
            account.share = Share {
                reserve: 0,
                most: 0,
                weight: 0,
            };
            account.claimed = None;
            account.left = true;
        });
    }

    /// Changes an account, and the sums and the free places with it.
    fn change(&mut self, party: Party, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.parties.get_mut(party) else {
            return;
        };
        let was_free = account.is_free();
        self.sums.subtract(account);
        change(account);
        self.sums.add(account);
        if account.is_free() && !was_free {
            self.free.push(party);
        }
    }

    fn fair(&self, share: Share) -> u64 {
        let open = u128::from(self.total.saturating_sub(self.sums.reserved));
        let part = open * u128::from(share.weight) / u128::from(self.sums.weights.max(1));
        share
            .reserve
            .saturating_add(u64::try_from(part).unwrap_or(u64::MAX))
    }

    /// Takes `n` units for a party, all or none.
    ///
    /// # Errors
    /// Says why they are not to be had now.
    pub fn take(&mut self, now: Time, party: Party, n: u64) -> Result<(), Denied> {
        let Some(account) = self.parties.get(party) else {
            return Err(Denied::Most);
        };
        let (share, used) = (account.share, account.used.saturating_add(n));
        if used > share.most || account.left {
            return Err(Denied::Most);
        }
        let held = self.sums.held - account.held() + used.max(share.reserve);
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
        let Some(account) = self.parties.get_mut(party) else {
            return Err(Denied::Most);
        };
        match denied {
            None => {
                account.used = used;
                account.claimed = None;
                self.sums.held = held;
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
        self.parties
            .iter()
            .enumerate()
            .any(|(n, a)| n != party && lives(a))
    }

    /// Gives back `n` units of a party.
    pub fn give(&mut self, party: Party, n: u64) {
        self.change(party, |account| {
            account.used = account.used.saturating_sub(n)
        });
    }
}
