//! Reconciles the applied changes with the log, and handles the driver's answers.

use super::{applied_change, Subscriber};
use crate::applied::SlotVersions;
use crate::output::Output;
use crate::report::{self, Report};
use crate::resource::{Change, Content, Key, Name, Slot, Version};

impl Subscriber {
    /// The driver's answer that it has applied the change of this version.
    pub fn accepted(&mut self, version: Version, outputs: &mut Vec<Output>) {
        for change in self.applied.take_answered(version) {
            let name = change.key.name.clone();
            self.applied.mark_applied(change, outputs);
            self.reconcile(&name, outputs);
        }
    }

    /// The driver's answer that it rejects the change of this version: the last applied change stays, and the rejection
    /// is reported.
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
        let canary = Key {
            name: name.clone(),
            slot: Slot::Canary,
        };
        let active_canary = self
            .log
            .get(&canary)
            .is_some_and(|canary| canary.version == version);
        if active_canary {
            Slot::Canary
        } else {
            Slot::Stable
        }
    }

    /// The change to apply according to the log, and the versions from which it was chosen.
    pub(super) fn desired_change(&self, name: &Name) -> (Change, SlotVersions) {
        let get = |slot| {
            self.log.get(&Key {
                name: name.clone(),
                slot,
            })
        };
        let (stable, canary) = (get(Slot::Stable), get(Slot::Canary));
        let active_canary = canary.filter(|canary| !canary.is_removal());
        let active_canary = active_canary
            .filter(|canary| stable.is_none_or(|stable| stable.version < canary.version));
        let versions = SlotVersions {
            stable: stable.map(|change| change.version),
            canary: canary.map(|change| change.version),
        };
        let version = versions
            .stable
            .max(versions.canary)
            .unwrap_or(Version::ZERO);
        let content = match active_canary.or(stable) {
            Some(change) => change.content.clone(),
            None => Content::Removed,
        };
        (applied_change(name, version, content), versions)
    }

    /// Requests the desired change from the driver, if it differs from what is applied.
    pub(super) fn reconcile(&mut self, name: &Name, outputs: &mut Vec<Output>) {
        let (desired, versions) = self.desired_change(name);
        self.applied.request(desired, versions, outputs);
        if versions == SlotVersions::default() {
            self.applied.remove_if_idle(name);
        }
    }
}
