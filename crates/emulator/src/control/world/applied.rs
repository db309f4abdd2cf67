//! What nodes have applied, and the ages that they state, collected as time runs.

use super::World;
use crate::control::machine::Machine;

impl World {
    pub(super) fn collect(&mut self) {
        let nodes: Vec<u32> = self.running_nodes().collect();
        nodes
            .into_iter()
            .for_each(|node| self.collect_applied(node));
        self.finish_tracked();
    }

    pub(super) fn collect_applied(&mut self, node: u32) {
        let idle = |machine: &Machine| machine.as_node().is_none_or(|node| node.applied.is_empty());
        if self.network.endpoint(node).is_none_or(idle) {
            return;
        }
        let applied = self
            .network
            .with(node, |machine, _, _| machine.take_applied())
            .unwrap_or_default();
        for applied in applied {
            self.checker.applied(node, &applied);
            self.demands.applied(node, &applied.name, applied.at);
            let Some(tracked) = self.tracked.get_mut(&applied.name) else {
                continue;
            };
            for tracked in tracked
                .iter_mut()
                .filter(|tracked| tracked.version <= applied.version)
            {
                if tracked.missing.remove(&node) {
                    tracked.times.push(applied.at - tracked.asked_at);
                }
            }
        }
    }

    pub(super) fn finish_tracked(&mut self) {
        let followed = &mut self.followed;
        self.tracked.retain(|_, all| {
            followed.extend(all.extract_if(.., |tracked| tracked.missing.is_empty()));
            !all.is_empty()
        });
    }

    /// No node states an age that is less than the time since a change was written that it lacks.
    pub(super) fn compare_ages(&mut self) {
        let Some(mut ages) = self.ages else { return };
        let now = self.network.now();
        for tracked in self.tracked.values().flatten() {
            let truth = now - tracked.published_at;
            for node in &tracked.missing {
                let Some(stated) = self
                    .network
                    .endpoint(*node)
                    .and_then(|machine| machine.staleness(now))
                else {
                    continue;
                };
                let margin = stated - truth;
                ages.least_margin = if ages.compared == 0 {
                    margin
                } else {
                    ages.least_margin.min(margin)
                };
                ages.compared += 1;
                ages.oldest = ages.oldest.max(truth);
                if margin < 0.0 {
                    self.checker.fault(
                        now,
                        format!("node {node} states an age of {stated} s, it is {truth} s"),
                    );
                }
            }
        }
        self.ages = Some(ages);
    }
}
