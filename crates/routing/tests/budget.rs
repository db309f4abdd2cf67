//! A budget keeps its sums as its parties change. What it grants is compared with a reference that walks all parties for
//! each answer, and the cost of a change is held against the number of parties.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_routing::budget::{Budget, Denied, Party, Share, CLAIM_LASTS};
use std::time::{Duration, Instant};

/// A party of the reference.
struct WalkedParty {
    share: Share,
    used: u64,
    claimed: Option<f64>,
    left: bool,
}

/// The same promises as [`Budget`], with every sum taken by a walk over all parties.
struct WalkedBudget {
    total: u64,
    parties: Vec<WalkedParty>,
}

impl WalkedBudget {
    fn add(&mut self, share: Share) -> usize {
        self.parties.push(WalkedParty {
            share,
            used: 0,
            claimed: None,
            left: false,
        });
        self.parties.len() - 1
    }

    fn set(&mut self, party: usize, share: Share) {
        let party = &mut self.parties[party];
        if !party.left {
            party.share = share;
            party.claimed = None;
        }
    }

    fn remove(&mut self, party: usize) {
        let party = &mut self.parties[party];
        party.share = Share {
            reserve: 0,
            most: 0,
            weight: 0,
        };
        party.claimed = None;
        party.left = true;
    }

    fn give(&mut self, party: usize, n: u64) {
        let party = &mut self.parties[party];
        party.used = party.used.saturating_sub(n);
    }

    fn sum(&self, of: impl Fn(&WalkedParty) -> u64) -> u64 {
        self.parties.iter().map(of).sum()
    }

    fn fair(&self, share: Share) -> u64 {
        let reserved = self.sum(|p| p.share.reserve);
        let weights = self.sum(|p| u64::from(p.share.weight)).max(1);
        share.reserve + self.total.saturating_sub(reserved) * u64::from(share.weight) / weights
    }

    fn take(&mut self, now: f64, party: usize, n: u64) -> Result<(), Denied> {
        let WalkedParty {
            share,
            used: before,
            left,
            ..
        } = self.parties[party];
        let used = before + n;
        if used > share.most || left {
            return Err(Denied::Most);
        }
        let held_by_others = self.sum(|p| p.used.max(p.share.reserve)) - before.max(share.reserve);
        let is_over_total = held_by_others + used.max(share.reserve) > self.total;
        let fair = self.fair(share);
        let claims = |p: &WalkedParty| p.claimed.is_some_and(|at| now - at < CLAIM_LASTS);
        let is_claimed = self
            .parties
            .iter()
            .enumerate()
            .any(|(n, p)| n != party && claims(p));
        let taken = match used {
            _ if used <= share.reserve => Ok(()),
            _ if is_over_total => Err(Denied::Total),
            _ if used > fair && is_claimed => Err(Denied::Claimed),
            _ => Ok(()),
        };
        let party = &mut self.parties[party];
        match taken {
            Ok(()) => (party.used, party.claimed) = (used, None),
            Err(_) if used <= fair => party.claimed = Some(now),
            Err(_) => {}
        }
        taken
    }
}

/// One operation; parties are picked among all that there have been, those that have left included.
#[derive(Clone, Debug)]
enum Operation {
    Add(Share),
    Set(usize, Share),
    Remove(usize),
    SetTotal(u64),
    Take(usize, u64),
    Give(usize, u64),
}

fn share() -> impl Strategy<Value = Share> {
    (0..8u64, 0..30u64, 0..4u32).prop_map(|(reserve, more, weight)| Share {
        reserve,
        most: reserve + more,
        weight,
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => share().prop_map(Operation::Add),
        1 => (any::<usize>(), share()).prop_map(|(party, share)| Operation::Set(party, share)),
        1 => any::<usize>().prop_map(Operation::Remove),
        1 => (0..80u64).prop_map(Operation::SetTotal),
        8 => (any::<usize>(), 1..6u64).prop_map(|(party, n)| Operation::Take(party, n)),
        5 => (any::<usize>(), 1..8u64).prop_map(|(party, n)| Operation::Give(party, n)),
    ]
}

/// A budget and its reference, side by side.
struct Pair {
    kept: Budget,
    walked: WalkedBudget,
    /// The numbers of each party in both. The budget gives the number of one that is gone to another.
    parties: Vec<(Party, usize)>,
}

impl Pair {
    fn new(total: u64) -> Pair {
        let walked = WalkedBudget {
            total,
            parties: Vec::new(),
        };
        Pair {
            kept: Budget::new(total),
            walked,
            parties: Vec::new(),
        }
    }

    /// The party that a draw picks. One that is gone for good has no number of its own any more.
    fn picked(&self, pick: usize) -> Option<(Party, usize)> {
        let (kept, walked) = *self.parties.get(pick.checked_rem(self.parties.len())?)?;
        let party = &self.walked.parties[walked];
        (!party.left || party.used > 0).then_some((kept, walked))
    }

    fn carry_out(&mut self, now: f64, operation: &Operation) -> Result<(), TestCaseError> {
        match *operation {
            Operation::Add(share) => self
                .parties
                .push((self.kept.add(share), self.walked.add(share))),
            Operation::SetTotal(total) => {
                self.kept.set_total(total);
                self.walked.total = total;
            }
            Operation::Set(pick, share) => {
                let Some((kept, walked)) = self.picked(pick) else {
                    return Ok(());
                };
                self.kept.set(kept, share);
                self.walked.set(walked, share);
            }
            Operation::Remove(pick) => {
                let Some((kept, walked)) = self.picked(pick) else {
                    return Ok(());
                };
                self.kept.remove(kept);
                self.walked.remove(walked);
            }
            Operation::Take(pick, n) => {
                let Some((kept, walked)) = self.picked(pick) else {
                    return Ok(());
                };
                prop_assert_eq!(
                    self.kept.take(now, kept, n),
                    self.walked.take(now, walked, n)
                );
            }
            Operation::Give(pick, n) => {
                let Some((kept, walked)) = self.picked(pick) else {
                    return Ok(());
                };
                self.kept.give(kept, n);
                self.walked.give(walked, n);
            }
        }
        Ok(())
    }

    fn compare(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.kept.used_by_all(), self.walked.sum(|p| p.used));
        for (kept, walked) in &self.parties {
            let party = &self.walked.parties[*walked];
            if !party.left || party.used > 0 {
                prop_assert_eq!(self.kept.used(*kept), party.used);
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
                pair.carry_out(now, operation)?;
                pair.compare()?;
            }
            Ok(())
        })
        .unwrap();
}

/// With so many parties, a walk over all at each change takes minutes, and keeping the sums takes milliseconds.
const MANY_PARTIES: usize = 100_000;
/// Far from both.
const IN_TIME: Duration = Duration::from_secs(15);

#[test]
fn the_cost_of_a_change_does_not_grow_with_the_number_of_parties() {
    let begun = Instant::now();
    let in_time = || {
        assert!(
            begun.elapsed() < IN_TIME,
            "each change walks over all parties"
        )
    };
    let mut budget = Budget::new(u64::MAX);
    let parties: Vec<Party> = (0..MANY_PARTIES)
        .map(|_| {
            in_time();
            budget.add(Share::OPEN)
        })
        .collect();
    for party in &parties {
        in_time();
        budget.set(
            *party,
            Share {
                reserve: 1,
                ..Share::OPEN
            },
        );
    }
    for party in &parties {
        in_time();
        budget.remove(*party);
    }
    for _ in &parties {
        in_time();
        budget.add(Share::OPEN);
    }
}
