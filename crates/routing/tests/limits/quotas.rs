//! Checks that a budget keeps the guarantees of its quotas, on random schedules in virtual time.

use crate::quota;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, prop_oneof, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use reelfall_routing::budget::{Budget, ConsumerId, Quota, QuotaError, QuotaExceeded, CLAIM_TTL};

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    TestRunner::new_with_rng(
        Config {
            cases: 500,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    )
}

/// An operation of the consumer whose index is `consumer` modulo the number of consumers.
#[derive(Clone, Debug)]
enum Operation {
    Acquire {
        consumer: usize,
        units: u64,
    },
    /// Releases the acquired amount whose index is `index` modulo the number of amounts that the consumer has.
    Release {
        consumer: usize,
        index: usize,
    },
}

/// An operation.
#[derive(Clone, Debug)]
struct Step {
    /// The time since the previous operation, in seconds.
    delay: f64,
    operation: Operation,
}

#[derive(Clone, Debug)]
struct Schedule {
    quotas: Vec<Quota>,
    /// The units of the budget that no consumer has reserved.
    unreserved: u64,
    steps: Vec<Step>,
}

fn any_quota() -> impl Strategy<Value = Quota> {
    (0..20u64, 0..60u64, 1..4u32).prop_map(|(reserved, unreserved_max, weight)| Quota {
        reserved,
        max: reserved + unreserved_max,
        weight,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let operation = prop_oneof![
        3 => (0..5usize, 1..6u64)
            .prop_map(|(consumer, units)| Operation::Acquire { consumer, units }),
        2 => (0..5usize, any::<usize>())
            .prop_map(|(consumer, index)| Operation::Release { consumer, index }),
    ];
    (0.0..0.4f64, operation).prop_map(|(delay, operation)| Step { delay, operation })
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let quotas = prop::collection::vec(any_quota(), 1..5);
    let steps = prop::collection::vec(step(), 1..200);
    (quotas, 0..40u64, steps).prop_map(|(quotas, unreserved, steps)| Schedule {
        quotas,
        unreserved,
        steps,
    })
}

/// A consumer of a budget, with the amounts that it has acquired and not released.
struct Consumer {
    id: ConsumerId,
    quota: Quota,
    acquired: Vec<u64>,
}

/// A budget whose guarantees are checked after every operation.
struct CheckedBudget {
    budget: Budget,
    total: u64,
    consumers: Vec<Consumer>,
}

impl CheckedBudget {
    fn new(quotas: &[Quota], unreserved: u64) -> CheckedBudget {
        let total = quotas.iter().map(|quota| quota.reserved).sum::<u64>() + unreserved;
        Budget::check(total, quotas.iter().copied()).expect("the reservations exceed the total");
        let mut budget = Budget::new(total);
        let consumers = quotas
            .iter()
            .map(|quota| Consumer {
                id: budget.add(*quota),
                quota: *quota,
                acquired: vec![],
            })
            .collect();
        CheckedBudget {
            budget,
            total,
            consumers,
        }
    }

    fn apply(&mut self, now: f64, operation: &Operation) -> Result<(), TestCaseError> {
        match *operation {
            Operation::Acquire { consumer, units } => self.acquire(now, consumer, units)?,
            Operation::Release { consumer, index } => self.release(consumer, index),
        }
        let used: u64 = self
            .consumers
            .iter()
            .flat_map(|consumer| &consumer.acquired)
            .sum();
        prop_assert!(used <= self.total, "{used} used of {}", self.total);
        prop_assert_eq!(used, self.budget.used_by_all());
        Ok(())
    }

    fn acquire(&mut self, now: f64, consumer: usize, units: u64) -> Result<(), TestCaseError> {
        let index = consumer % self.consumers.len();
        let consumer = &mut self.consumers[index];
        let used: u64 = consumer.acquired.iter().sum();
        let result = self.budget.acquire(now, consumer.id, units);
        prop_assert!(
            result.is_ok() || used + units > consumer.quota.reserved,
            "units within a reservation were denied"
        );
        prop_assert!(
            result.is_err() || used + units <= consumer.quota.max,
            "units beyond the maximum were granted"
        );
        if result.is_ok() {
            consumer.acquired.push(units);
        }
        Ok(())
    }

    fn release(&mut self, consumer: usize, index: usize) {
        let consumer_index = consumer % self.consumers.len();
        let consumer = &mut self.consumers[consumer_index];
        if !consumer.acquired.is_empty() {
            let units = consumer
                .acquired
                .swap_remove(index % consumer.acquired.len());
            self.budget.release(consumer.id, units);
        }
    }

    fn release_all(&mut self) -> Result<(), TestCaseError> {
        for consumer in &mut self.consumers {
            for units in consumer.acquired.drain(..) {
                self.budget.release(consumer.id, units);
            }
        }
        prop_assert_eq!(self.budget.used_by_all(), 0);
        Ok(())
    }

    /// Checks that, with nothing in use, each consumer can acquire its maximum at once, except for units that are reserved
    /// for the others.
    fn check_maxima(&mut self, now: f64) -> Result<(), TestCaseError> {
        let reserved: u64 = self
            .consumers
            .iter()
            .map(|consumer| consumer.quota.reserved)
            .sum();
        for consumer in &self.consumers {
            let reserved_for_others = reserved - consumer.quota.reserved;
            let units = consumer.quota.max.min(self.total - reserved_for_others);
            prop_assert_eq!(self.budget.acquire(now, consumer.id, units), Ok(()));
            self.budget.release(consumer.id, units);
        }
        Ok(())
    }
}

#[test]
fn budget_grants_reservations_and_stays_within_its_total() {
    runner()
        .run(&schedule(), |schedule| {
            let mut checked = CheckedBudget::new(&schedule.quotas, schedule.unreserved);
            let mut now = 0.0;
            for step in schedule.steps {
                now += step.delay;
                checked.apply(now, &step.operation)?;
            }
            checked.release_all()?;
            checked.check_maxima(now + CLAIM_TTL)
        })
        .unwrap();
}

#[test]
fn unused_units_are_borrowed_and_released_units_go_to_a_consumer_below_its_fair_share() {
    let mut budget = Budget::new(30);
    let (first, second) = (budget.add(quota(5, 100)), budget.add(quota(5, 100)));
    // Twenty units are unreserved: a single consumer gets all of them, but not the reservation of the other.
    for _ in 0..25 {
        assert_eq!(budget.acquire(0.0, first, 1), Ok(()));
    }
    assert_eq!(budget.acquire(0.0, first, 1), Err(QuotaExceeded::Exhausted));
    // The other consumer gets its reservation at once, and no more.
    for _ in 0..5 {
        assert_eq!(budget.acquire(1.0, second, 1), Ok(()));
    }
    assert_eq!(
        budget.acquire(1.0, second, 1),
        Err(QuotaExceeded::Exhausted)
    );
    // From now on, released units go to the consumer that is below its fair share of fifteen.
    for index in 0..10 {
        let now = 1.0 + f64::from(index) * 0.5;
        budget.release(first, 1);
        assert_eq!(
            budget.acquire(now, first, 1),
            Err(QuotaExceeded::OverFairShare),
            "borrowed beyond the fair share while another consumer waits"
        );
        assert_eq!(budget.acquire(now, second, 1), Ok(()));
        assert_eq!(
            budget.acquire(now, second, 1),
            Err(QuotaExceeded::Exhausted)
        );
    }
    assert_eq!((budget.used(first), budget.used(second)), (15, 15));
    // A consumer at its fair share has no claim, and a claim that is not renewed expires.
    budget.release(second, 10);
    assert_eq!(budget.acquire(5.9, first, 1), Ok(()));
}

#[test]
fn claim_expires_unless_it_is_renewed() {
    let mut budget = Budget::new(10);
    let (user, claimant) = (budget.add(Quota::UNLIMITED), budget.add(Quota::UNLIMITED));
    assert_eq!(budget.acquire(0.0, user, 10), Ok(()));
    assert_eq!(
        budget.acquire(0.0, claimant, 1),
        Err(QuotaExceeded::Exhausted)
    );
    budget.release(user, 1);
    assert_eq!(
        budget.acquire(0.9, user, 1),
        Err(QuotaExceeded::OverFairShare)
    );
    assert_eq!(budget.acquire(1.1, user, 1), Ok(()));
}

#[test]
fn removed_consumer_counts_until_it_has_released_all() {
    let mut budget = Budget::new(10);
    let removed = budget.add(quota(4, 10));
    budget.acquire(0.0, removed, 6).unwrap();
    budget.remove(removed);
    assert_eq!(
        budget.acquire(0.0, removed, 1),
        Err(QuotaExceeded::OwnLimit)
    );
    let other = budget.add(quota(4, 10));
    assert_ne!(
        removed, other,
        "the id of a consumer that still uses units was reused"
    );
    assert_eq!(budget.acquire(0.0, other, 5), Err(QuotaExceeded::Exhausted));
    assert_eq!(budget.acquire(0.0, other, 4), Ok(()));
    budget.release(removed, 6);
    assert_eq!(budget.acquire(0.0, other, 6), Ok(()));
    budget.release(other, 10);
    assert_eq!(
        budget.add(quota(1, 1)),
        removed,
        "the id of a removed consumer that uses nothing was not reused"
    );
}

#[test]
fn invalid_quotas_are_reported() {
    let over_total = QuotaError::OverTotal {
        reserved: 12,
        total: 10,
    };
    assert_eq!(
        Budget::check(10, [quota(6, 9), quota(6, 9)]),
        Err(over_total)
    );
    assert_eq!(
        Budget::check(10, [quota(6, 5)]),
        Err(QuotaError::OverMax {
            reserved: 6,
            max: 5
        })
    );
    assert_eq!(
        Budget::check(u64::MAX, [quota(u64::MAX, u64::MAX), quota(0, 1)]),
        Ok(())
    );
}
