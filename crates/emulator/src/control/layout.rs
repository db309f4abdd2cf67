//! The layout of a system: which endpoints are nodes, publishers or relays, and their configuration, subscriptions and
//! upstream peers.

use super::resources::{service_name, Resource};
use super::sizes::Sizes;
use super::topology::{Scope, Topology};
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::log::Capacity;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publisher::PublisherConfig;
use reelfall_distribution::relay::RelayConfig;
use reelfall_distribution::resource::{Name, Selector};
use reelfall_distribution::subscriber::SubscriberConfig;
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_lease::token::{InvalidLeaseName, LeaseName};
use thiserror::Error;

/// Size of the replaced contents that a publisher retains so that changes can be reverted, in bytes.
const REVERT_HISTORY_BYTES: usize = 64 << 20;
/// How long a new publisher waits for the changes of earlier publishers, in seconds. It is longer than a follower waits for a
/// session to open ([`UpstreamConfig::open_timeout`]); a dead first relay costs at most [`UpstreamConfig::attempt_delay`].
pub const TAKEOVER_TIMEOUT: f64 = 3.0;
/// Minimum time between two acknowledgements of a node, in seconds.
const ACKNOWLEDGEMENT_INTERVAL: f64 = 10.0;

/// The endpoints of a system by role.
pub struct Layout {
    /// The sizes of the system.
    pub sizes: Sizes,
    lease: LeaseName,
    publishers: Vec<u32>,
    relays: Vec<u32>,
    relays_by_region: Vec<Vec<PeerId>>,
    seed: u64,
}

/// A layout together with the sites of its endpoints.
pub struct PlacedLayout {
    /// The endpoints by role.
    pub layout: Layout,
    /// The sites of the endpoints.
    pub topology: Topology,
}

/// Why the endpoints of a system can't be placed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LayoutError {
    /// There are no nodes, publishers, relays or groups.
    #[error("a system needs at least one node, publisher, relay and group")]
    Empty,
    /// The name of the lease is invalid.
    #[error(transparent)]
    LeaseName(#[from] InvalidLeaseName),
}

impl Layout {
    /// Places the endpoints of a system: numbers are assigned to nodes first, then to publishers, then to relays.
    ///
    /// # Errors
    /// If the name of the lease is invalid, or there are no nodes, publishers, relays or groups.
    pub fn place(sizes: Sizes, lease: &str, seed: u64) -> Result<PlacedLayout, LayoutError> {
        if sizes.nodes == 0 || sizes.publishers == 0 || sizes.relays == 0 || sizes.groups == 0 {
            return Err(LayoutError::Empty);
        }
        let lease = LeaseName::try_from(lease.to_owned())?;
        let mut topology = Topology::even(sizes.zones, sizes.nodes as usize);
        let regions = sizes.zones.len();
        let publishers = (0..sizes.publishers as usize)
            .map(|publisher| topology.add(zone_in(sizes.zones, publisher % regions, 0)))
            .collect();
        let mut relays = Vec::new();
        let mut relays_by_region = vec![Vec::new(); regions];
        for index in 0..sizes.relays as usize {
            let region = index % regions;
            let relay = topology.add(zone_in(sizes.zones, region, index / regions));
            relays.push(relay);
            relays_by_region[region].push(PeerId(relay));
        }
        let layout = Layout {
            sizes,
            lease,
            publishers,
            relays,
            relays_by_region,
            seed,
        };
        Ok(PlacedLayout { layout, topology })
    }

    /// The lease of the publishers.
    pub fn lease(&self) -> &LeaseName {
        &self.lease
    }

    /// All nodes.
    pub fn nodes(&self) -> std::ops::Range<u32> {
        0..self.sizes.nodes
    }

    /// All publishers.
    pub fn publishers(&self) -> &[u32] {
        &self.publishers
    }

    /// All relays.
    pub fn relays(&self) -> &[u32] {
        &self.relays
    }

    /// All publishers and relays.
    pub fn control_machines(&self) -> impl Iterator<Item = u32> + '_ {
        self.publishers.iter().chain(&self.relays).copied()
    }

    /// The nodes within a set of endpoints.
    pub fn nodes_in(&self, topology: &Topology, scope: Scope) -> Vec<u32> {
        let all = topology.endpoints(scope);
        all.into_iter()
            .filter(|endpoint| self.nodes().contains(endpoint))
            .collect()
    }

    /// The services that a node serves.
    pub fn services_of(&self, node: u32) -> impl Iterator<Item = u32> {
        let Sizes {
            services, groups, ..
        } = self.sizes;
        (node % groups..services).step_by(groups as usize)
    }

    /// The nodes that serve a service.
    pub fn nodes_of(&self, service: u32) -> impl Iterator<Item = u32> {
        let Sizes { nodes, groups, .. } = self.sizes;
        (service % groups..nodes).step_by(groups as usize)
    }

    /// The selectors to which a node subscribes: common resources and those of its services.
    pub fn selectors_of(&self, node: u32) -> Vec<Selector> {
        let services = self
            .services_of(node)
            .map(|service| Selector::service(&service_name(service)));
        std::iter::once(Selector::common())
            .chain(services)
            .collect()
    }

    /// The resources of a node's services.
    pub fn resources_of(&self, node: u32) -> Vec<Name> {
        let names = |service| self.sizes.service_resources(service).map(Resource::name);
        self.services_of(node).flat_map(names).collect()
    }

    /// The configuration of a publisher that starts.
    pub fn publisher_config(&self, endpoint: u32, now: f64) -> PublisherConfig {
        PublisherConfig {
            lease: self.lease.clone(),
            upstream: UpstreamConfig::relay(peers(&self.relays)),
            downstream: DownstreamConfig::default(),
            capacity: Capacity::CONTROL,
            history_bytes: REVERT_HISTORY_BYTES,
            takeover_timeout: TAKEOVER_TIMEOUT,
            seed: self.seed_of(endpoint, now),
        }
    }

    /// The configuration of a relay that starts.
    pub fn relay_config(&self, endpoint: u32, now: f64) -> RelayConfig {
        RelayConfig {
            lease: self.lease.clone(),
            upstream: UpstreamConfig::relay(peers(&self.publishers)),
            downstream: DownstreamConfig::default(),
            capacity: Capacity::CONTROL,
            seed: self.seed_of(endpoint, now),
        }
    }

    /// The configuration of a node that starts: it follows the relays of its region and falls back to the others.
    pub fn node_config(&self, endpoint: u32, region: u16, now: f64) -> SubscriberConfig {
        let regional_relays = self
            .relays_by_region
            .get(usize::from(region))
            .cloned()
            .unwrap_or_default();
        let fallbacks = self
            .relays
            .iter()
            .map(|relay| PeerId(*relay))
            .filter(|relay| !regional_relays.contains(relay))
            .collect();
        SubscriberConfig {
            node: PeerId(endpoint),
            lease: self.lease.clone(),
            upstream: UpstreamConfig {
                fallbacks,
                ..UpstreamConfig::node(regional_relays)
            },
            capacity: Capacity::NODE,
            acknowledgement_interval: ACKNOWLEDGEMENT_INTERVAL,
            seed: self.seed_of(endpoint, now),
        }
    }

    /// The seed of an endpoint's random numbers, which differs between starts.
    fn seed_of(&self, endpoint: u32, now: f64) -> u64 {
        let start = now.to_bits().rotate_left(32) ^ (u64::from(endpoint) + 1);
        self.seed ^ start.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}

fn peers(endpoints: &[u32]) -> Vec<PeerId> {
    endpoints.iter().map(|endpoint| PeerId(*endpoint)).collect()
}

/// The zone of a region for the machine with this index; zones are assigned in round-robin order.
fn zone_in(zones: &[u16], region: usize, index: usize) -> u16 {
    let before: u16 = zones.iter().take(region).sum();
    let count = zones.get(region).copied().unwrap_or(1).max(1);
    before + (index % usize::from(count)) as u16
}
