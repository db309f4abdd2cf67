//! Divides a limited resource among consumers by reservations, maxima and weighted fair shares.
//!
//! Each consumer has a [`Quota`]: a reservation, a maximum, and a weight. Its fair share is its reservation plus its
//! weighted share of the unreserved units. [`crate::limits`] has one budget for each resource.
//!
//! - The units in use never exceed the total.
//! - A unit within a reservation is always granted, whatever the other consumers use. For this, reserved units that
//!   are unused are kept free; only unreserved units can be borrowed.
//! - A consumer can borrow more than its fair share while there is no contention. Once a consumer below its own fair
//!   share has been denied, no consumer gets units beyond its fair share until that one is granted units or has not
//!   asked for [`CLAIM_TTL`]. Units in use are never revoked.
//!
//! The first rule holds while the total and the quotas stay the same. After [`Budget::set_total`] or
//! [`Budget::set_quota`], more units than the total can be in use; then only units within reservations are granted until
//! the excess is released.

use crate::Time;
use thiserror::Error;

/// The index of a consumer in its budget, returned by [`Budget::add`].
pub type ConsumerId = usize;

/// How long a denied consumer keeps others from borrowing beyond their fair shares, in seconds.
pub const CLAIM_TTL: Time = 1.0;

/// What a consumer may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The units that are always available to the consumer.
    pub reserved: u64,
    /// The maximum number of units in use.
    pub max: u64,
    /// The weight of its share of unreserved units.
    pub weight: u32,
}

impl Quota {
    /// No reservation, and no limit except the total.
    pub const UNLIMITED: Quota = Quota {
        reserved: 0,
        max: u64::MAX,
        weight: 1,
    };

    /// The quota of a removed consumer.
    const NONE: Quota = Quota {
        reserved: 0,
        max: 0,
        weight: 0,
    };
}

/// Why units were not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QuotaExceeded {
    /// The consumer would exceed its maximum.
    #[error("its own limit is reached")]
    OwnLimit,
    /// All unreserved units are in use.
    #[error("all unreserved units are in use")]
    Exhausted,
    /// The consumer would exceed its fair share while another one waits for units within its own.
    #[error("fair share exceeded while another consumer waits for its own")]
    OverFairShare,
}

/// Why quotas are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QuotaError {
    /// The sum of the reservations exceeds the total.
    #[error("{reserved} units are reserved, but the total is {total}")]
    OverTotal {
        /// The sum of the reservations.
        reserved: u64,
        /// The total.
        total: u64,
    },
    /// A reservation exceeds the maximum of its consumer.
    #[error("a reservation of {reserved} exceeds its maximum of {max}")]
    OverMax {
        /// The reservation.
        reserved: u64,
        /// The maximum.
        max: u64,
    },
}

/// A consumer, or a free index that can be reused.
#[derive(Clone, Debug)]
struct Consumer {
    quota: Quota,
    used: u64,
    /// When the consumer was last denied units within its fair share.
    claimed_at: Option<Time>,
    /// Whether the consumer was removed; its index is free once it uses no units.
    is_removed: bool,
}

impl Consumer {
    const fn new(quota: Quota) -> Self {
        Consumer {
            quota,
            used: 0,
            claimed_at: None,
            is_removed: false,
        }
    }

    /// Whether its index can be given to another consumer.
    fn is_free(&self) -> bool {
        self.is_removed && self.used == 0
    }

    /// The units that are unavailable to others: those in use or those reserved, whichever are more.
    fn committed(&self) -> u64 {
        self.used.max(self.quota.reserved)
    }

    /// Whether it was denied units within its fair share less than [`CLAIM_TTL`] ago, and was granted none since.
    fn has_claim(&self, now: Time) -> bool {
        self.claimed_at.is_some_and(|at| now - at < CLAIM_TTL)
    }
}

/// Sums over all consumers, updated incrementally so that no change has to iterate over all consumers.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    committed: u64,
    reserved: u64,
    weights: u64,
}

impl Sums {
    fn add(&mut self, consumer: &Consumer) {
        self.committed += consumer.committed();
        self.reserved += consumer.quota.reserved;
        self.weights += u64::from(consumer.quota.weight);
    }

    fn subtract(&mut self, consumer: &Consumer) {
        self.committed -= consumer.committed();
        self.reserved -= consumer.quota.reserved;
        self.weights -= u64::from(consumer.quota.weight);
    }
}

/// A limited resource and its consumers.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    total: u64,
    consumers: Vec<Consumer>,
    /// Indices of `consumers` that can be reused, without duplicates.
    free_ids: Vec<ConsumerId>,
    sums: Sums,
}

impl Budget {
    /// A budget of `total` units without consumers.
    pub fn new(total: u64) -> Self {
        Budget {
            total,
            ..Budget::default()
        }
    }

    /// The number of units that the consumers share.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The units in use by a consumer.
    pub fn used(&self, id: ConsumerId) -> u64 {
        self.consumers.get(id).map_or(0, |consumer| consumer.used)
    }

    /// The units in use by all consumers.
    pub fn used_by_all(&self) -> u64 {
        self.consumers.iter().map(|consumer| consumer.used).sum()
    }

    /// Validates quotas against a total.
    ///
    /// # Errors
    /// If a reservation exceeds its maximum, or all reservations exceed the total.
    pub fn check(total: u64, quotas: impl IntoIterator<Item = Quota>) -> Result<(), QuotaError> {
        let mut sum = 0u64;
        for Quota { reserved, max, .. } in quotas {
            if reserved > max {
                return Err(QuotaError::OverMax { reserved, max });
            }
            sum = sum.saturating_add(reserved);
        }
        if sum > total {
            return Err(QuotaError::OverTotal {
                reserved: sum,
                total,
            });
        }
        Ok(())
    }

    /// Changes the total. Units in use stay in use, even if they exceed it.
    pub fn set_total(&mut self, total: u64) {
        self.total = total;
    }

    /// Adds a consumer and returns its index, which may be that of a removed one.
    pub fn add(&mut self, quota: Quota) -> ConsumerId {
        let consumer = Consumer::new(quota);
        self.sums.add(&consumer);
        // A free index contributes nothing to the sums, so nothing is subtracted for it.
        let id = self.free_ids.pop().unwrap_or(self.consumers.len());
        match self.consumers.get_mut(id) {
            Some(slot) => *slot = consumer,
            None => self.consumers.push(consumer),
        }
        id
    }

    /// Changes the quota of a consumer, unless it was removed; units in use stay in use.
    pub fn set_quota(&mut self, id: ConsumerId, quota: Quota) {
        self.update(id, |consumer| {
            if !consumer.is_removed {
                consumer.quota = quota;
                consumer.claimed_at = None;
            }
        });
    }

    /// Removes a consumer. Units that it uses count as used until they are released.
    pub fn remove(&mut self, id: ConsumerId) {
        self.update(id, |consumer| {
            consumer.quota = Quota::NONE;
            consumer.claimed_at = None;
            consumer.is_removed = true;
        });
    }

    /// Changes a consumer, and updates the sums and the free indices.
    fn update(&mut self, id: ConsumerId, change: impl FnOnce(&mut Consumer)) {
        let Some(consumer) = self.consumers.get_mut(id) else {
            return;
        };
        let was_free = consumer.is_free();
        self.sums.subtract(consumer);
        change(consumer);
        self.sums.add(consumer);
        if consumer.is_free() && !was_free {
            self.free_ids.push(id);
        }
    }

    /// The reservation plus the weighted share of the unreserved units.
    fn fair_share(&self, quota: Quota) -> u64 {
        let unreserved = u128::from(self.total.saturating_sub(self.sums.reserved));
        let weights = u128::from(self.sums.weights.max(1));
        let share = unreserved * u128::from(quota.weight) / weights;
        quota
            .reserved
            .saturating_add(u64::try_from(share).unwrap_or(u64::MAX))
    }

    /// Acquires units for a consumer, all or none.
    ///
    /// # Errors
    /// Why the units are not available now.
    pub fn acquire(&mut self, now: Time, id: ConsumerId, units: u64) -> Result<(), QuotaExceeded> {
        let Some(consumer) = self.consumers.get(id) else {
            return Err(QuotaExceeded::OwnLimit);
        };
        let quota = consumer.quota;
        let used = consumer.used.saturating_add(units);
        if used > quota.max || consumer.is_removed {
            return Err(QuotaExceeded::OwnLimit);
        }
        let committed = self.sums.committed - consumer.committed() + used.max(quota.reserved);
        let fair_share = self.fair_share(quota);
        let denied = if used <= quota.reserved {
            None
        } else if committed > self.total {
            Some(QuotaExceeded::Exhausted)
        } else if used > fair_share && self.has_other_claim(now, id) {
            Some(QuotaExceeded::OverFairShare)
        } else {
            None
        };
        let Some(consumer) = self.consumers.get_mut(id) else {
            return Err(QuotaExceeded::OwnLimit);
        };
        match denied {
            None => {
                consumer.used = used;
                consumer.claimed_at = None;
                self.sums.committed = committed;
                Ok(())
            }
            Some(denied) => {
                if used <= fair_share {
                    consumer.claimed_at = Some(now);
                }
                Err(denied)
            }
        }
    }

    /// Whether another consumer has a claim.
    fn has_other_claim(&self, now: Time, id: ConsumerId) -> bool {
        self.consumers
            .iter()
            .enumerate()
            .any(|(other, consumer)| other != id && consumer.has_claim(now))
    }

    /// Releases units that a consumer has acquired.
    pub fn release(&mut self, id: ConsumerId, units: u64) {
        self.update(id, |consumer| {
            consumer.used = consumer.used.saturating_sub(units);
        });
    }
}
