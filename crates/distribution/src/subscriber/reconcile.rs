//! Compares what is applied with what the log says, and asks the driver for the difference.

use super::{applied_change, Subscriber};
use crate::applied::SlotVersions;
use crate::output::Output;
use crate::report::{self, Report};
use crate::resource::{Change, Content, Key, Name, Slot, Version};

impl Subscriber {
    /// The driver has put the change of this version in force.
    pub fn accepted(&mut self, version: Version, outputs: &mut Vec<Output>) {
        for change in self.applied.take_answered(version) {
            let name = change.key.name.clone();
            self.applied.mark_applied(change, outputs);
            self.reconcile(&name, outputs);
        }
    }

    /// The driver can't use the change of this version: the last good one stays in force, and the author hears of it.
    pub fn rejected(&mut self, version: Version, reason: &str, outputs: &mut Vec<Output>) {
        for change in self.applied.take_answered(version) {
            let name = change.key.name.clone();
            let slot = self.slot_of(&name, version);
            let key = Key {
                name: name.clone(),
                slot,
            };
            let reason = report::truncate_reason(reason);
            self.upstream.queue_report(Report::Rejected {
                node: self.config.node,
                key,
                version,
                reason,
            });
            self.reconcile(&name, outputs);
        }
    }

    pub(super) fn slot_of(&self, name: &Name, version: Version) -> Slot {
        let trial = Key {
            name: name.clone(),
            slot: Slot::Canary,
        };
        let on_trial = self
            .log
            .get(&trial)
            .is_some_and(|trial| trial.version == version);
        if on_trial {
            Slot::Canary
        } else {
            Slot::Stable
        }
    }

    /// What a resource is to be here by the log.
    pub(super) fn desired_change(&self, name: &Name) -> (Change, SlotVersions) {
        let get = |slot| {
            self.log.get(&Key {
                name: name.clone(),
                slot,
            })
        };
        let (whole, trial) = (get(Slot::Stable), get(Slot::Canary));
        let on_trial = trial.filter(|trial| !trial.is_removal());
        let on_trial =
            on_trial.filter(|trial| whole.is_none_or(|whole| whole.version < trial.version));
        let basis = SlotVersions {
            stable: whole.map(|c| c.version),
            canary: trial.map(|c| c.version),
        };
        let version = basis.stable.max(basis.canary).unwrap_or(Version::ZERO);
        let content = match on_trial.or(whole) {
            Some(change) => change.content.clone(),
            None => Content::Removed,
        };
        (applied_change(name, version, content), basis)
    }

    /// Asks the driver for what a resource is to be, if it is another than what is in force.
    pub(super) fn reconcile(&mut self, name: &Name, outputs: &mut Vec<Output>) {
        let (wanted, basis) = self.desired_change(name);
        self.applied.request(wanted, basis, outputs);
        if basis == SlotVersions::default() {
            self.applied.remove_if_idle(name);
        }
    }
}
