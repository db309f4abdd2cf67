//! Compares a roster after random updates with a reference that scans all entries.

use crate::entry;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::entry::{Entry, EntryError};
use reelfall_registry_client::roster::{Change, Roster, MAX_RETURN_DELAY};
use std::collections::{BTreeMap, BTreeSet};

/// One step of the random test.
#[derive(Clone, Debug)]
struct Step {
    child: u8,
    name: u8,
    port: u16,
    /// The time since the previous step, in seconds.
    after: f64,
    action: Action,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Remove,
    UpdateInvalid,
    /// Update the entry, then wait until no return is delayed.
    UpdateAndSettle,
    UpdateAndTick,
}

fn step() -> impl Strategy<Value = Step> {
    (0..6u8, 0..4u8, 0..4u16, 0.0..1.5f64, 0..4u8).prop_map(|(child, name, port, after, action)| {
        let action = match action {
            0 => Action::Remove,
            1 => Action::UpdateInvalid,
            2 => Action::UpdateAndSettle,
            _ => Action::UpdateAndTick,
        };
        Step {
            child,
            name,
            port,
            after,
            action,
        }
    })
}

/// A valid entry of the registry, and the transaction that created it.
struct RegisteredEntry {
    zxid: i64,
    entry: Entry,
}

/// A roster, the reference, and the servers according to the roster's changes.
#[derive(Default)]
struct ComparedRoster {
    roster: Roster,
    now: f64,
    zxid: i64,
    /// The valid entries of the registry by child.
    registered: BTreeMap<String, RegisteredEntry>,
    /// The servers by name, as listed and removed by the roster's changes.
    listed: BTreeMap<String, Entry>,
}

impl ComparedRoster {
    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        self.now += step.after;
        self.zxid += 1;
        self.update_registry(step);
        if step.action == Action::UpdateAndTick {
            self.roster.tick(self.now);
        }
        let effective = self.effective();
        self.check_servers(&effective)?;
        self.roster.tick(self.now);
        if step.action == Action::UpdateAndSettle {
            self.now += MAX_RETURN_DELAY + 1.0;
            self.roster.tick(self.now);
            prop_assert_eq!(
                self.roster.servers().count(),
                effective.len(),
                "an effective entry is still not listed after the maximum delay"
            );
        }
        for change in self.roster.take_changes() {
            match change {
                Change::Listed(entry) => drop(self.listed.insert(entry.name.clone(), entry)),
                Change::Removed(name) => drop(self.listed.remove(&name)),
            }
        }
        Ok(())
    }

    fn update_registry(&mut self, step: &Step) {
        let child = format!("c{}", step.child);
        let entry = entry(&format!("n{}", step.name), step.port + 1);
        match step.action {
            Action::Remove => {
                self.registered.remove(&child);
                self.roster.remove(self.now, &child);
            }
            Action::UpdateInvalid => {
                self.registered.remove(&child);
                let invalid = Err(EntryError::InvalidAddress);
                self.roster.update(self.now, &child, self.zxid, invalid);
            }
            Action::UpdateAndSettle | Action::UpdateAndTick => {
                let registered = RegisteredEntry {
                    zxid: self.zxid,
                    entry: entry.clone(),
                };
                self.registered.insert(child.clone(), registered);
                self.roster.update(self.now, &child, self.zxid, Ok(entry));
            }
        }
    }

    /// The entries by name that are the latest both of their name and of their address.
    fn effective(&self) -> BTreeMap<String, Entry> {
        let latest = |is_rival: &dyn Fn(&Entry) -> bool| {
            let rivals = self.registered.values();
            let rivals = rivals.filter(|registered| is_rival(&registered.entry));
            rivals.map(|registered| registered.zxid).max()
        };
        let effective = self.registered.values().filter(|registered| {
            let RegisteredEntry { zxid, entry } = registered;
            latest(&|other| other.name == entry.name) == Some(*zxid)
                && latest(&|other| other.address == entry.address) == Some(*zxid)
        });
        effective
            .map(|registered| (registered.entry.name.clone(), registered.entry.clone()))
            .collect()
    }

    /// Checks that each server of the roster has an effective entry, and that the roster's changes lead to the same
    /// list.
    fn check_servers(&mut self, effective: &BTreeMap<String, Entry>) -> Result<(), TestCaseError> {
        let servers = self.roster.servers();
        let servers: BTreeMap<String, Entry> = servers
            .map(|server| (server.name.clone(), server.clone()))
            .collect();
        for (name, entry) in &servers {
            prop_assert_eq!(
                effective.get(name),
                Some(entry),
                "a server is listed whose entry is not effective"
            );
        }
        for change in self.roster.take_changes() {
            match change {
                Change::Listed(entry) => drop(self.listed.insert(entry.name.clone(), entry)),
                Change::Removed(name) => {
                    prop_assert!(self.listed.remove(&name).is_some(), "removed twice")
                }
            }
        }
        prop_assert_eq!(&self.listed, &servers);
        let addresses: BTreeSet<_> = self.listed.values().map(|entry| entry.address).collect();
        prop_assert_eq!(
            addresses.len(),
            self.listed.len(),
            "two listed servers have the same address"
        );
        Ok(())
    }
}

/// For updates in any order, each listed server has an effective entry, and once no return is delayed, each effective
/// entry is listed.
#[test]
fn roster_converges_to_the_effective_entries() {
    let steps = prop::collection::vec(step(), 1..120);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut compared = ComparedRoster {
                now: 1000.0,
                ..ComparedRoster::default()
            };
            for step in &steps {
                compared.apply(step)?;
            }
            Ok(())
        })
        .unwrap();
}
