//! A budget keeps its sums as its consumers change. What it grants is compared with a reference that walks all consumers for
//! each answer, and the cost of a change is held against the number of consumers.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routing::budget::{Budget, ConsumerId, Quota, QuotaExceeded, CLAIM_TTL};
use std::time::{Duration, Instant};

/// A consumer of the reference.
struct ReferenceConsumer {
    quota: Quota,
    used: u64,
    claimed_at: Option<f64>,
    is_removed: bool,
}

/// The same promises as [`Budget`], with every sum computed by a walk over all consumers.
struct ReferenceBudget {
    total: u64,
    consumers: Vec<ReferenceConsumer>,
}

impl ReferenceBudget {
    fn add(&mut self, quota: Quota) -> usize {
        self.consumers.push(ReferenceConsumer {
            quota,
            used: 0,
            claimed_at: None,
            is_removed: false,
        });
        self.consumers.len() - 1
    }

    fn set(&mut self, consumer: usize, quota: Quota) {
        let consumer = &mut self.consumers[consumer];
        if !consumer.is_removed {
            consumer.quota = quota;
            consumer.claimed_at = None;
        }
    }

    fn remove(&mut self, consumer: usize) {
        let consumer = &mut self.consumers[consumer];
        consumer.quota = Quota {
            reserved: 0,
            max: 0,
            weight: 0,
        };
        consumer.claimed_at = None;
        consumer.is_removed = true;
    }

    fn release(&mut self, consumer: usize, n: u64) {
        let consumer = &mut self.consumers[consumer];
        consumer.used = consumer.used.saturating_sub(n);
    }

    fn sum(&self, of: impl Fn(&ReferenceConsumer) -> u64) -> u64 {
        self.consumers.iter().map(of).sum()
    }

    fn fair_share(&self, quota: Quota) -> u64 {
        let reserved = self.sum(|p| p.quota.reserved);
        let weights = self.sum(|p| u64::from(p.quota.weight)).max(1);
        quota.reserved + self.total.saturating_sub(reserved) * u64::from(quota.weight) / weights
    }

    fn acquire(&mut self, now: f64, consumer: usize, n: u64) -> Result<(), QuotaExceeded> {
        let ReferenceConsumer {
            quota,
            used: before,
            is_removed,
            ..
        } = self.consumers[consumer];
        let used = before + n;
        if used > quota.max || is_removed {
            return Err(QuotaExceeded::OwnLimit);
        }
        let committed_by_others =
            self.sum(|p| p.used.max(p.quota.reserved)) - before.max(quota.reserved);
        let is_over_total = committed_by_others + used.max(quota.reserved) > self.total;
        let fair_share = self.fair_share(quota);
        let claims = |p: &ReferenceConsumer| p.claimed_at.is_some_and(|at| now - at < CLAIM_TTL);
        let is_claimed = self
            .consumers
            .iter()
            .enumerate()
            .any(|(n, p)| n != consumer && claims(p));
        let taken = match used {
            _ if used <= quota.reserved => Ok(()),
            _ if is_over_total => Err(QuotaExceeded::Exhausted),
            _ if used > fair_share && is_claimed => Err(QuotaExceeded::ReservedForOthers),
            _ => Ok(()),
        };
        let consumer = &mut self.consumers[consumer];
        match taken {
            Ok(()) => (consumer.used, consumer.claimed_at) = (used, None),
            Err(_) if used <= fair_share => consumer.claimed_at = Some(now),
            Err(_) => {}
        }
        taken
    }
}

/// One operation; consumers are picked among all that there have been, removed ones included.
#[derive(Clone, Debug)]
enum Operation {
    Add(Quota),
    Set(usize, Quota),
    Remove(usize),
    SetTotal(u64),
    Take(usize, u64),
    Give(usize, u64),
}

fn quota() -> impl Strategy<Value = Quota> {
    (0..8u64, 0..30u64, 0..4u32).prop_map(|(reserved, more, weight)| Quota {
        reserved,
        max: reserved + more,
        weight,
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => quota().prop_map(Operation::Add),
        1 => (any::<usize>(), quota()).prop_map(|(consumer, quota)| Operation::Set(consumer, quota)),
        1 => any::<usize>().prop_map(Operation::Remove),
        1 => (0..80u64).prop_map(Operation::SetTotal),
        8 => (any::<usize>(), 1..6u64).prop_map(|(consumer, n)| Operation::Take(consumer, n)),
        5 => (any::<usize>(), 1..8u64).prop_map(|(consumer, n)| Operation::Give(consumer, n)),
    ]
}

/// A budget and its reference, side by side.
struct Pair {
    budget: Budget,
    reference: ReferenceBudget,
    /// The ids of each consumer in both. The budget reuses the id of one that is gone.
    consumers: Vec<(ConsumerId, usize)>,
}

impl Pair {
    fn new(total: u64) -> Pair {
        let reference = ReferenceBudget {
            total,
            consumers: Vec::new(),
        };
        Pair {
            budget: Budget::new(total),
            reference,
            consumers: Vec::new(),
        }
    }

    /// The consumer that a draw picks. One that is gone has no id of its own any more.
    fn picked(&self, pick: usize) -> Option<(ConsumerId, usize)> {
        let (budget, reference) = *self
            .consumers
            .get(pick.checked_rem(self.consumers.len())?)?;
        let consumer = &self.reference.consumers[reference];
        (!consumer.is_removed || consumer.used > 0).then_some((budget, reference))
    }

    fn apply(&mut self, now: f64, operation: &Operation) -> Result<(), TestCaseError> {
        match *operation {
            Operation::Add(quota) => self
                .consumers
                .push((self.budget.add(quota), self.reference.add(quota))),
            Operation::SetTotal(total) => {
                self.budget.set_total(total);
                self.reference.total = total;
            }
            Operation::Set(pick, quota) => {
                let Some((budget, reference)) = self.picked(pick) else {
                    return Ok(());
                };
                self.budget.set(budget, quota);
                self.reference.set(reference, quota);
            }
            Operation::Remove(pick) => {
                let Some((budget, reference)) = self.picked(pick) else {
                    return Ok(());
                };
                self.budget.remove(budget);
                self.reference.remove(reference);
            }
            Operation::Take(pick, n) => {
                let Some((budget, reference)) = self.picked(pick) else {
                    return Ok(());
                };
                prop_assert_eq!(
                    self.budget.acquire(now, budget, n),
                    self.reference.acquire(now, reference, n)
                );
            }
            Operation::Give(pick, n) => {
                let Some((budget, reference)) = self.picked(pick) else {
                    return Ok(());
                };
                self.budget.release(budget, n);
                self.reference.release(reference, n);
            }
        }
        Ok(())
    }

    fn compare(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.budget.used_by_all(), self.reference.sum(|p| p.used));
        for (budget, reference) in &self.consumers {
            let consumer = &self.reference.consumers[*reference];
            if !consumer.is_removed || consumer.used > 0 {
                prop_assert_eq!(self.budget.used(*budget), consumer.used);
            }
        }
        Ok(())
    }
}

#[test]
fn kept_sums_grant_what_a_walk_over_all_parties_grants() {
    let operations = prop::collection::vec((0.0..0.4f64, operation()), 1..300);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&(0..80u64, operations), |(total, operations)| {
            let (mut pair, mut now) = (Pair::new(total), 0.0);
            for (after, operation) in &operations {
                now += after;
                pair.apply(now, operation)?;
                pair.compare()?;
            }
            Ok(())
        })
        .unwrap();
}

/// With so many consumers, a walk over all at each change takes minutes, and keeping the sums takes milliseconds.
const MANY_CONSUMERS: usize = 100_000;
/// Far from both.
const MAX_TIME: Duration = Duration::from_secs(15);

#[test]
fn the_cost_of_a_change_does_not_grow_with_the_number_of_parties() {
    let begun = Instant::now();
    let check_time = || {
        assert!(
            begun.elapsed() < MAX_TIME,
            "each change walks over all consumers"
        )
    };
    let mut budget = Budget::new(u64::MAX);
    let consumers: Vec<ConsumerId> = (0..MANY_CONSUMERS)
        .map(|_| {
            check_time();
            budget.add(Quota::UNLIMITED)
        })
        .collect();
    for consumer in &consumers {
        check_time();
        budget.set(
            *consumer,
            Quota {
                reserved: 1,
                ..Quota::UNLIMITED
            },
        );
    }
    for consumer in &consumers {
        check_time();
        budget.remove(*consumer);
    }
    for _ in &consumers {
        check_time();
        budget.add(Quota::UNLIMITED);
    }
}
