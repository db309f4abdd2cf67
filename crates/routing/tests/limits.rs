//! Budgets and rates against their promises, on random schedules in virtual time.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routing::budget::{Budget, Quota, QuotaError, QuotaExceeded, CLAIM_TTL};
use reelfall_routing::limits::{LimitExceeded, Limits, ProcessResources, Resource, ServiceLimits};
use reelfall_routing::rate::{RateLimit, TokenBucket};

fn quota(reserved: u64, max: u64) -> Quota {
    Quota {
        reserved,
        max,
        weight: 1,
    }
}

fn rate_limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit { per_second, burst }
}

#[derive(Clone, Debug)]
enum Step {
    Take(usize, u64),
    Give(usize, usize),
}

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

#[test]
fn never_over_the_total_reservations_always_granted_and_all_returned() {
    let quotas = prop::collection::vec((0..20u64, 0..60u64, 1..4u32), 1..5);
    let step = prop_oneof![
        3 => (0..5usize, 1..6u64).prop_map(|(p, n)| Step::Take(p, n)),
        2 => (0..5usize, any::<usize>()).prop_map(|(p, pick)| Step::Give(p, pick)),
    ];
    let steps = prop::collection::vec((0.0..0.4f64, step), 1..200);
    runner()
        .run(&(quotas, 0..40u64, steps), |(quotas, extra, steps)| {
            let quotas: Vec<Quota> = quotas
                .into_iter()
                .map(|(reserved, more, weight)| Quota {
                    reserved,
                    max: reserved + more,
                    weight,
                })
                .collect();
            let total = quotas.iter().map(|s| s.reserved).sum::<u64>() + extra;
            Budget::check(total, quotas.iter().copied()).expect("quotas that fit");
            let mut budget = Budget::new(total);
            let consumers: Vec<_> = quotas.iter().map(|s| budget.add(*s)).collect();
            let mut held: Vec<Vec<u64>> = vec![vec![]; consumers.len()];
            let mut now = 0.0;
            for (after, step) in steps {
                now += after;
                match step {
                    Step::Take(p, n) => {
                        let p = p % consumers.len();
                        let used: u64 = held[p].iter().sum();
                        let taken = budget.acquire(now, consumers[p], n);
                        prop_assert!(
                            taken.is_ok() || used + n > quotas[p].reserved,
                            "a reservation was denied"
                        );
                        prop_assert!(
                            taken.is_err() || used + n <= quotas[p].max,
                            "more than the most"
                        );
                        if taken.is_ok() {
                            held[p].push(n);
                        }
                    }
                    Step::Give(p, pick) => {
                        let p = p % consumers.len();
                        if !held[p].is_empty() {
                            let at = pick % held[p].len();
                            budget.release(consumers[p], held[p].swap_remove(at));
                        }
                    }
                }
                let all: u64 = held.iter().flatten().sum();
                prop_assert!(all <= total, "{all} held of {total}");
                prop_assert_eq!(all, budget.used_by_all());
            }
            for (p, held) in held.iter_mut().enumerate() {
                held.drain(..).for_each(|n| budget.release(consumers[p], n));
            }
            prop_assert_eq!(budget.used_by_all(), 0);
            // With nothing held, all that a party may have is to be had at once.
            for (p, quota) in quotas.iter().enumerate() {
                let others: u64 = quotas
                    .iter()
                    .enumerate()
                    .filter(|(q, _)| *q != p)
                    .map(|(_, s)| s.reserved)
                    .sum();
                let n = quota.max.min(total - others);
                prop_assert_eq!(budget.acquire(now + CLAIM_TTL, consumers[p], n), Ok(()));
                budget.release(consumers[p], n);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn what_is_idle_is_lent_and_comes_back_to_whoever_asks() {
    let mut budget = Budget::new(30);
    let (a, b) = (budget.add(quota(5, 100)), budget.add(quota(5, 100)));
    // Twenty units are nobody's; alone, one party has them all, but never the other's reservation.
    for _ in 0..25 {
        assert_eq!(budget.acquire(0.0, a, 1), Ok(()));
    }
    assert_eq!(budget.acquire(0.0, a, 1), Err(QuotaExceeded::Exhausted));
    // The other's reservation is there at once, and nothing beyond it.
    for _ in 0..5 {
        assert_eq!(budget.acquire(1.0, b, 1), Ok(()));
    }
    assert_eq!(budget.acquire(1.0, b, 1), Err(QuotaExceeded::Exhausted));
    // From here on what comes back goes to the one that is short of its fair share of fifteen.
    for n in 0..10 {
        let now = 1.0 + f64::from(n) * 0.5;
        budget.release(a, 1);
        assert_eq!(
            budget.acquire(now, a, 1),
            Err(QuotaExceeded::ReservedForOthers),
            "lent again while another waits"
        );
        assert_eq!(budget.acquire(now, b, 1), Ok(()));
        assert_eq!(budget.acquire(now, b, 1), Err(QuotaExceeded::Exhausted));
    }
    assert_eq!((budget.used(a), budget.used(b)), (15, 15));
    // At its fair share it has no claim any more, and a claim that nobody renews lapses.
    budget.release(b, 10);
    assert_eq!(budget.acquire(5.9, a, 1), Ok(()));
}

#[test]
fn a_claim_that_is_not_renewed_lapses() {
    let mut budget = Budget::new(10);
    let (a, b) = (budget.add(Quota::UNLIMITED), budget.add(Quota::UNLIMITED));
    assert_eq!(budget.acquire(0.0, a, 10), Ok(()));
    assert_eq!(budget.acquire(0.0, b, 1), Err(QuotaExceeded::Exhausted));
    budget.release(a, 1);
    assert_eq!(
        budget.acquire(0.9, a, 1),
        Err(QuotaExceeded::ReservedForOthers)
    );
    assert_eq!(budget.acquire(1.1, a, 1), Ok(()));
}

#[test]
fn a_party_that_left_counts_until_it_has_given_all_back() {
    let mut budget = Budget::new(10);
    let a = budget.add(quota(4, 10));
    budget.acquire(0.0, a, 6).unwrap();
    budget.remove(a);
    assert_eq!(budget.acquire(0.0, a, 1), Err(QuotaExceeded::OwnLimit));
    let b = budget.add(quota(4, 10));
    assert_ne!(a, b, "a place that is still in use was given away");
    assert_eq!(budget.acquire(0.0, b, 5), Err(QuotaExceeded::Exhausted));
    assert_eq!(budget.acquire(0.0, b, 4), Ok(()));
    budget.release(a, 6);
    assert_eq!(budget.acquire(0.0, b, 6), Ok(()));
    budget.release(b, 10);
    assert_eq!(
        budget.add(quota(1, 1)),
        a,
        "the places of those who left pile up"
    );
}

#[test]
fn shares_that_do_not_fit_are_named() {
    let fault = QuotaError::OverTotal {
        reserved: 12,
        total: 10,
    };
    assert_eq!(Budget::check(10, [quota(6, 9), quota(6, 9)]), Err(fault));
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

#[test]
fn a_rate_lets_through_its_burst_and_then_its_figure() {
    let mut rate = TokenBucket::new(0.0, rate_limit(10.0, 5.0));
    let at_once = (0..20).filter(|_| rate.take(0.0).is_ok()).count();
    assert_eq!(at_once, 5);
    let wait = rate.take(0.0).unwrap_err().retry_after;
    assert!((wait - 0.1).abs() < 1e-9, "{wait}");
    let passed = (0..1000)
        .filter(|n| rate.take(f64::from(*n) * 0.01).is_ok())
        .count();
    assert!((99..=100).contains(&passed), "{passed} in ten seconds");
    // A clock that steps back and forth gives nothing away.
    let mut rate = TokenBucket::new(100.0, rate_limit(10.0, 1.0));
    assert!(rate.take(100.0).is_ok());
    let passed = (0..100)
        .filter(|n| rate.take(if n % 2 == 0 { 99.0 } else { 100.05 }).is_ok())
        .count();
    assert_eq!(passed, 0);
}

#[test]
fn a_refused_request_takes_nothing() {
    let totals = ProcessResources {
        open: 10,
        connections: 10,
        memory: 10,
    };
    let allowed = ServiceLimits {
        rate: Some(rate_limit(1.0, 2.0)),
        open: quota(0, 3),
        ..ServiceLimits::UNLIMITED
    };
    let mut limits = Limits::new(totals);
    let s = limits.add(0.0, &allowed);
    assert_eq!(limits.admit(0.0, s), Ok(()));
    assert_eq!(limits.admit(0.0, s), Ok(()));
    assert!(
        matches!(limits.admit(0.0, s), Err(LimitExceeded::RateExceeded(wait)) if (wait - 1.0).abs() < 1e-9)
    );
    assert_eq!(
        limits.used(s, Resource::Open),
        2,
        "a request over its rate is counted as open"
    );
    assert_eq!(limits.admit(1.0, s), Ok(()));
    // Over its bound, a request leaves the rate alone.
    assert_eq!(
        limits.admit(2.0, s),
        Err(LimitExceeded::NotAvailable(
            Resource::Open,
            QuotaExceeded::OwnLimit
        ))
    );
    limits.release(s, Resource::Open, 1);
    assert_eq!(limits.admit(2.0, s), Ok(()));
}

#[test]
fn a_flood_on_one_service_leaves_the_reservation_of_another() {
    let totals = ProcessResources {
        open: 100,
        connections: 100,
        memory: 1000,
    };
    let mut limits = Limits::new(totals);
    let flood = limits.add(
        0.0,
        &ServiceLimits {
            open: Quota {
                reserved: 40,
                max: 80,
                weight: 3,
            },
            ..ServiceLimits::UNLIMITED
        },
    );
    let rollout = limits.add(
        0.0,
        &ServiceLimits {
            open: quota(20, 40),
            ..ServiceLimits::UNLIMITED
        },
    );
    let taken = (0..400)
        .filter(|_| limits.admit(0.0, flood).is_ok())
        .count();
    assert_eq!(taken, 80);
    assert_eq!(
        (0..25)
            .filter(|_| limits.admit(0.0, rollout).is_ok())
            .count(),
        20
    );
}
