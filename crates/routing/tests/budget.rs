//! Compares a budget, which updates its sums incrementally, with a reference that recomputes each sum, and checks that
//! the cost of a change does not depend on the number of consumers.

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

/// An implementation of the rules of [`Budget`] that computes every sum over all consumers.
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

    fn release(&mut self, consumer: usize, amount: u64) {
        let consumer = &mut self.consumers[consumer];
        consumer.used = consumer.used.saturating_sub(amount);
    }

    fn sum(&self, value: impl Fn(&ReferenceConsumer) -> u64) -> u64 {
        self.consumers.iter().map(value).sum()
    }

    fn fair_share(&self, quota: Quota) -> u64 {
        let reserved = self.sum(|consumer| consumer.quota.reserved);
        let weights = self.sum(|consumer| u64::from(consumer.quota.weight)).max(1);
        quota.reserved + self.total.saturating_sub(reserved) * u64::from(quota.weight) / weights
    }

    fn acquire(&mut self, now: f64, consumer: usize, amount: u64) -> Result<(), QuotaExceeded> {
        let ReferenceConsumer {
            quota,
            used: used_before,
            is_removed,
            ..
        } = self.consumers[consumer];
        let used = used_before + amount;
        if used > quota.max || is_removed {
            return Err(QuotaExceeded::OwnLimit);
        }
        let committed_by_others = self.sum(|consumer| consumer.used.max(consumer.quota.reserved))
            - used_before.max(quota.reserved);
        let is_over_total = committed_by_others + used.max(quota.reserved) > self.total;
        let fair_share = self.fair_share(quota);
        let is_claimed_by_other = self.is_claimed_by_other(now, consumer);
        let result = match used {
            _ if used <= quota.reserved => Ok(()),
            _ if is_over_total => Err(QuotaExceeded::Exhausted),
            _ if used > fair_share && is_claimed_by_other => Err(QuotaExceeded::OverFairShare),
            _ => Ok(()),
        };
        let consumer = &mut self.consumers[consumer];
        match result {
            Ok(()) => {
                consumer.used = used;
                consumer.claimed_at = None;
            }
            Err(_) if used <= fair_share => consumer.claimed_at = Some(now),
            Err(_) => {}
        }
        result
    }

    /// Whether a consumer other than the given one has a valid claim.
    fn is_claimed_by_other(&self, now: f64, consumer: usize) -> bool {
        let mut others = self.consumers.iter().enumerate();
        others.any(|(index, other)| {
            let is_valid = other
                .claimed_at
                .is_some_and(|claimed_at| now - claimed_at < CLAIM_TTL);
            index != consumer && is_valid
        })
    }
}

/// An operation. Its first `usize` selects a consumer among all that were added, including removed ones.
#[derive(Clone, Debug)]
enum Operation {
    Add(Quota),
    Set(usize, Quota),
    Remove(usize),
    SetTotal(u64),
    Acquire(usize, u64),
    Release(usize, u64),
}

fn quota() -> impl Strategy<Value = Quota> {
    (0..8u64, 0..30u64, 0..4u32).prop_map(|(reserved, unreserved, weight)| Quota {
        reserved,
        max: reserved + unreserved,
        weight,
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => quota().prop_map(Operation::Add),
        1 => (any::<usize>(), quota()).prop_map(|(pick, quota)| Operation::Set(pick, quota)),
        1 => any::<usize>().prop_map(Operation::Remove),
        1 => (0..80u64).prop_map(Operation::SetTotal),
        8 => (any::<usize>(), 1..6u64).prop_map(|(pick, amount)| Operation::Acquire(pick, amount)),
        5 => (any::<usize>(), 1..8u64).prop_map(|(pick, amount)| Operation::Release(pick, amount)),
    ]
}

/// A consumer of a budget and of its reference. The budget reuses the ids of removed consumers.
#[derive(Clone, Copy)]
struct ComparedConsumer {
    budget: ConsumerId,
    reference: usize,
}

/// A budget and the reference that it is compared with.
struct ComparedBudget {
    budget: Budget,
    reference: ReferenceBudget,
    consumers: Vec<ComparedConsumer>,
}

impl ComparedBudget {
    fn new(total: u64) -> ComparedBudget {
        let reference = ReferenceBudget {
            total,
            consumers: Vec::new(),
        };
        ComparedBudget {
            budget: Budget::new(total),
            reference,
            consumers: Vec::new(),
        }
    }

    /// The consumer that a random number selects; `None` if its id is no longer valid.
    fn picked(&self, pick: usize) -> Option<ComparedConsumer> {
        let index = pick.checked_rem(self.consumers.len())?;
        let consumer = self.consumers[index];
        self.has_valid_id(consumer).then_some(consumer)
    }

    /// Whether the id still belongs to the consumer: the budget may reuse it once a removed consumer uses no units.
    fn has_valid_id(&self, consumer: ComparedConsumer) -> bool {
        let consumer = &self.reference.consumers[consumer.reference];
        !consumer.is_removed || consumer.used > 0
    }

    fn apply(&mut self, now: f64, operation: &Operation) -> Result<(), TestCaseError> {
        match *operation {
            Operation::Add(quota) => self.consumers.push(ComparedConsumer {
                budget: self.budget.add(quota),
                reference: self.reference.add(quota),
            }),
            Operation::SetTotal(total) => {
                self.budget.set_total(total);
                self.reference.total = total;
            }
            Operation::Set(pick, quota) => {
                let Some(ComparedConsumer { budget, reference }) = self.picked(pick) else {
                    return Ok(());
                };
                self.budget.set_quota(budget, quota);
                self.reference.set(reference, quota);
            }
            Operation::Remove(pick) => {
                let Some(ComparedConsumer { budget, reference }) = self.picked(pick) else {
                    return Ok(());
                };
                self.budget.remove(budget);
                self.reference.remove(reference);
            }
            Operation::Acquire(pick, amount) => {
                let Some(ComparedConsumer { budget, reference }) = self.picked(pick) else {
                    return Ok(());
                };
                prop_assert_eq!(
                    self.budget.acquire(now, budget, amount),
                    self.reference.acquire(now, reference, amount)
                );
            }
            Operation::Release(pick, amount) => {
                let Some(ComparedConsumer { budget, reference }) = self.picked(pick) else {
                    return Ok(());
                };
                self.budget.release(budget, amount);
                self.reference.release(reference, amount);
            }
        }
        Ok(())
    }

    fn compare(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(
            self.budget.used_by_all(),
            self.reference.sum(|consumer| consumer.used)
        );
        for consumer in &self.consumers {
            if self.has_valid_id(*consumer) {
                let expected = self.reference.consumers[consumer.reference].used;
                prop_assert_eq!(self.budget.used(consumer.budget), expected);
            }
        }
        Ok(())
    }
}

#[test]
fn budget_agrees_with_reference() {
    let operations = prop::collection::vec((0.0..0.4f64, operation()), 1..300);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&(0..80u64, operations), |(total, operations)| {
            let mut compared = ComparedBudget::new(total);
            let mut now = 0.0;
            for (delay, operation) in &operations {
                now += delay;
                compared.apply(now, operation)?;
                compared.compare()?;
            }
            Ok(())
        })
        .unwrap();
}

/// With this number of consumers, recomputing each sum takes minutes, and incremental updates take milliseconds.
const MANY_CONSUMERS: usize = 100_000;
/// Far above the time of incremental updates, and far below that of recomputed sums.
const MAX_TIME: Duration = Duration::from_secs(15);

#[test]
fn cost_of_a_change_is_independent_of_consumer_count() {
    let started_at = Instant::now();
    let check_time = || {
        assert!(
            started_at.elapsed() < MAX_TIME,
            "the cost of a change depends on the number of consumers"
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
        budget.set_quota(
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
