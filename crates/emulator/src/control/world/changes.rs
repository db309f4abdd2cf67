//! Changes: asked for, published, and followed until all nodes that need them have them.

use super::{Tracked, Waiting, World};
use crate::control::contents::Resource;
use crate::control::machine::Machine;
use crate::control::times::Times;
use rand::Rng;
use reelfall_distribution::author::Author;
use reelfall_distribution::output::Output;
use reelfall_distribution::resource::{Draft, Selector, Version};
use reelfall_lease::token::Claim;
use std::collections::BTreeSet;

impl World {
    pub(super) fn draft(&mut self, resource: Resource) -> Draft {
        self.bodies += 1;
        let mut body = vec![0; resource.body_bytes()];
        // Bytes that no codec could shorten: sizes on links are then those of any body of this length.
        self.draw.fill(body.as_mut_slice());
        body[..8].copy_from_slice(&self.bodies.to_be_bytes());
        Draft::put(resource.name(), &body)
    }

    pub(super) fn write<E: std::fmt::Display>(
        &mut self,
        act: impl FnOnce(&mut Author, f64, &Claim, &mut Vec<Output>) -> Result<Version, E>,
    ) -> Result<Version, String> {
        let leader = self.leader.ok_or("nobody holds the lease")?;
        let claim = self.claim();
        let written = self.network.with(leader, |machine, now, sends| {
            machine.with_author(now, sends, |author, local, outputs| {
                act(author, local, &claim, outputs)
            })
        });
        match written {
            Some(Some(result)) => result.map_err(|error| error.to_string()),
            _ => Err("the author does not run".to_owned()),
        }
    }

    /// A service is drawn.
    pub fn draw_service(&mut self) -> u32 {
        self.draw.random_range(0..self.layout.sizes.services)
    }

    /// A change of a drawn resource of a drawn service is asked for.
    pub fn change(&mut self) {
        let service = self.draw_service();
        let number = self
            .draw
            .random_range(0..self.layout.sizes.resources_of_service(service));
        self.change_of(self.layout.sizes.resource(service, number));
    }

    /// A change of a resource is asked for. It is published once there is an author that writes.
    pub fn change_of(&mut self, resource: Resource) {
        self.waiting.push_back(Waiting {
            resource,
            asked_at: self.network.now(),
        });
        self.publish_waiting();
    }

    pub(super) fn publish_waiting(&mut self) {
        while self.writer().is_some() {
            let Some(waiting) = self.waiting.pop_front() else {
                return;
            };
            let draft = self.draft(waiting.resource);
            let published = self.write(|author, now, claim, outputs| {
                author.publish(now, claim, vec![draft], outputs)
            });
            match published {
                Ok(version) => self.track(waiting.resource, version, waiting.asked_at),
                Err(error) => {
                    let now = self.network.now();
                    self.checker
                        .fault(now, format!("a change was refused: {error}"));
                }
            }
        }
    }

    /// Takes a change back.
    ///
    /// # Errors
    /// Says why it could not be.
    pub fn take_back(&mut self, resource: Resource, version: Version) -> Result<(), String> {
        let asked_at = self.network.now();
        let reverted =
            self.write(|author, now, claim, outputs| author.revert(now, claim, version, outputs))?;
        self.track(resource, reverted, asked_at);
        Ok(())
    }

    pub(super) fn track(&mut self, resource: Resource, version: Version, asked_at: f64) {
        let missing = self.holders(resource);
        let published_at = self.network.now();
        let tracked = Tracked {
            resource,
            version,
            asked_at,
            published_at,
            missing,
            times: Vec::new(),
        };
        self.tracked
            .entry(resource.name())
            .or_default()
            .push(tracked);
    }

    /// The nodes that run and need a resource.
    pub(super) fn holders(&self, resource: Resource) -> BTreeSet<u32> {
        let runs = |node: &u32| self.network.endpoint(*node).is_some();
        match resource {
            Resource::Settings(service)
            | Resource::Servers(service)
            | Resource::Route(service, _) => self.layout.nodes_of(service).filter(runs).collect(),
            Resource::Tenant(tenant) => {
                let asked = |node: &u32| self.demands.of(*node).any(|other| other == tenant);
                self.running_nodes().filter(asked).collect()
            }
        }
    }

    /// The latest change that is followed.
    pub fn latest(&self) -> Option<Tracked> {
        let all = self.tracked.values().flatten().chain(&self.followed);
        all.max_by_key(|tracked| tracked.version).cloned()
    }

    /// A drawn tenant's request comes to a node, which asks for the tenant if it has not before.
    pub fn meet_tenant(&mut self, node: u32) {
        let tenant = self.draw.random_range(0..self.layout.sizes.tenants.max(1));
        let now = self.network.now();
        if !self.demands.meet(node, tenant, now) {
            return;
        }
        let selector = Selector::Group(Resource::Tenant(tenant).name().group);
        let asked = self.network.with(node, |machine, now, sends| {
            machine.subscribe(now, selector.clone(), sends)
        });
        if let Some(Err(error)) = asked {
            self.checker.fault(
                now,
                format!("node {node} could not ask for tenant {tenant}: {error}"),
            );
        }
    }

    /// The times of all changes that were followed, and how often a node lacks one still; begins anew.
    ///
    /// A change that was replaced by what a node has already, as one of an author that was cut off, is not lacking there.
    pub fn take_times(&mut self) -> (Option<Times>, usize) {
        let open = std::mem::take(&mut self.tracked).into_values().flatten();
        let all: Vec<Tracked> = open.chain(std::mem::take(&mut self.followed)).collect();
        let missing = all.iter().map(|tracked| self.lacking(tracked)).sum();
        (
            Times::of(all.into_iter().flat_map(|tracked| tracked.times).collect()),
            missing,
        )
    }

    pub(super) fn lacking(&self, tracked: &Tracked) -> usize {
        let name = tracked.resource.name();
        let lacks = |node: &&u32| {
            let machine = self.network.endpoint(**node).and_then(Machine::as_node);
            let change = machine.and_then(|node| node.subscriber.applied_change(&name));
            change.is_none_or(|change| change.version < tracked.version)
        };
        tracked.missing.iter().filter(lacks).count()
    }
}
