//! Requesting, publishing and reverting changes of resources, by the publisher that holds the lease.

use super::World;
use crate::control::errors::WriteError;
use crate::control::invariants::ViolationKind;
use crate::control::resources::Resource;
use rand::Rng;
use reelfall_distribution::output::Output;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::publisher::Publisher;
use reelfall_distribution::resource::{Draft, Selector, Version};
use reelfall_lease::token::Claim;

/// A change that has not been published yet.
pub(super) struct RequestedChange {
    resource: Resource,
    requested_at: f64,
}

impl World {
    /// Selects a service at random.
    pub fn sample_service(&mut self) -> u32 {
        self.rng.random_range(0..self.layout.sizes.services)
    }

    /// Requests a change of a random resource of a random service.
    pub fn request_random_change(&mut self) {
        let service = self.sample_service();
        let index = self
            .rng
            .random_range(0..self.layout.sizes.resources_of_service(service));
        self.request_change(self.layout.sizes.resource(service, index));
    }

    /// Requests a change of a resource. It is published as soon as a publisher is ready.
    pub fn request_change(&mut self, resource: Resource) {
        self.requested.push_back(RequestedChange {
            resource,
            requested_at: self.network.now(),
        });
        self.publish_requested();
    }

    pub(super) fn publish_requested(&mut self) {
        while self.ready_publisher().is_some() {
            let Some(requested) = self.requested.pop_front() else {
                return;
            };
            let RequestedChange {
                resource,
                requested_at,
            } = requested;
            let draft = self.draft(resource);
            let published = self.write(|publisher, now, claim, outputs| {
                publisher.publish(now, claim, vec![draft], outputs)
            });
            match published {
                Ok(version) => self.track(resource, version, requested_at),
                Err(error) => {
                    let now = self.network.now();
                    self.checker
                        .record(now, ViolationKind::ChangeRejected(error));
                }
            }
        }
    }

    /// Publishes new bodies of resources in one batch, without tracking when nodes apply them.
    ///
    /// # Errors
    /// If there is no publisher that is ready, or it rejects the batch.
    pub fn publish(&mut self, resources: &[Resource]) -> Result<(), WriteError> {
        let drafts = resources
            .iter()
            .map(|resource| self.draft(*resource))
            .collect();
        self.write(|publisher, now, claim, outputs| publisher.publish(now, claim, drafts, outputs))
            .map(drop)
    }

    /// Reverts a change, and tracks the reverting change.
    ///
    /// # Errors
    /// If there is no publisher that is ready, or it rejects the request.
    pub fn revert(&mut self, resource: Resource, version: Version) -> Result<(), WriteError> {
        let requested_at = self.network.now();
        let reverted = self.write(|publisher, now, claim, outputs| {
            publisher.revert(now, claim, version, outputs)
        })?;
        self.track(resource, reverted, requested_at);
        Ok(())
    }

    /// Delivers a request of a random tenant to a node, which subscribes to the tenant if this is its first request.
    pub fn request_random_tenant(&mut self, node: u32) {
        let tenant = self.rng.random_range(0..self.layout.sizes.tenants.max(1));
        let now = self.network.now();
        if !self.tenant_subscriptions.record_request(node, tenant, now) {
            return;
        }
        let selector = Selector::Group(Resource::Tenant(tenant).name().group);
        let subscribed = self.network.with(node, |machine, now, outgoing| {
            machine.subscribe(now, selector.clone(), outgoing)
        });
        if let Some(Err(error)) = subscribed {
            let kind = ViolationKind::SubscriptionRejected {
                node,
                tenant,
                error,
            };
            self.checker.record(now, kind);
        }
    }

    fn draft(&mut self, resource: Resource) -> Draft {
        self.bodies += 1;
        let mut body = vec![0; resource.body_bytes()];
        // Random bytes are incompressible, so that the size on links does not depend on compression.
        self.rng.fill(body.as_mut_slice());
        body[..8].copy_from_slice(&self.bodies.to_be_bytes());
        Draft::put(resource.name(), &body)
    }

    /// Calls the publisher that holds the lease with its claim.
    fn write(
        &mut self,
        call: impl FnOnce(
            &mut Publisher,
            f64,
            &Claim,
            &mut Vec<Output>,
        ) -> Result<Version, PublishError>,
    ) -> Result<Version, WriteError> {
        let holder = self.leader().ok_or(WriteError::NoLeaseHolder)?;
        let claim = self.claim();
        let written = self.network.with(holder, |machine, now, outgoing| {
            machine.with_publisher(now, outgoing, |publisher, local, outputs| {
                call(publisher, local, &claim, outputs)
            })
        });
        let result = written.flatten().ok_or(WriteError::PublisherNotRunning)?;
        Ok(result?)
    }
}
