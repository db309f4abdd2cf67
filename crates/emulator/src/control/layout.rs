//! Which endpoint is what: nodes, authors and relays, what each subscribes to and whom it follows.

use super::contents::{service_name, Resource};
use super::sizes::Sizes;
use super::topology::{Scope, Topology};
use reelfall_distribution::author::AuthorConfig;
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::log::Capacity;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::relay::RelayConfig;
use reelfall_distribution::resource::{Name, Selector};
use reelfall_distribution::subscriber::SubscriberConfig;
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_lease::token::LeaseName;

/// What an author keeps for taking changes back, in bytes.
const HISTORY: usize = 64 << 20;
/// How long an author waits at most for what others wrote, in seconds: longer than a follower waits for an answer
/// ([`UpstreamConfig::open_timeout`]); a first relay that is dead costs no more than [`UpstreamConfig::attempt_delay`].
pub const TAKEOVER: f64 = 3.0;
/// A node tells its standing so often at most, in seconds.
const STANDING_EVERY: f64 = 10.0;

/// See the module.
pub struct Layout {
    /// How large it is.
    pub sizes: Sizes,
    lease: LeaseName,
    authors: Vec<u32>,
    relays: Vec<u32>,
    /// The relays of each region.
    relays_of: Vec<Vec<PeerId>>,
    seed: u64,
}

impl Layout {
    /// Places nodes first, then authors, then relays; gives back where they are, too.
    ///
    /// # Errors
    /// If the lease's name is none, or there is nobody to write, to serve or to be served.
    pub fn new(sizes: Sizes, lease: &str, seed: u64) -> Result<(Layout, Topology), String> {
        if sizes.nodes == 0 || sizes.authors == 0 || sizes.relays == 0 || sizes.groups == 0 {
            return Err("nodes, authors, relays and groups: at least one of each".to_owned());
        }
        let lease = LeaseName::try_from(lease.to_owned()).map_err(|error| error.to_string())?;
        let mut topology = Topology::even(sizes.zones, sizes.nodes as usize);
        let regions = sizes.zones.len();
        let authors =
            (0..sizes.authors).map(|n| topology.add(zone_in(sizes.zones, n as usize % regions, 0)));
        let authors: Vec<u32> = authors.collect();
        let mut relays = Vec::new();
        let mut relays_of = vec![Vec::new(); regions];
        for n in 0..sizes.relays as usize {
            let region = n % regions;
            let relay = topology.add(zone_in(sizes.zones, region, n / regions));
            relays.push(relay);
            relays_of[region].push(PeerId(relay));
        }
        Ok((
            Layout {
                sizes,
                lease,
                authors,
                relays,
                relays_of,
                seed,
            },
            topology,
        ))
    }

    /// The lease of those who write.
    pub fn lease(&self) -> &LeaseName {
        &self.lease
    }

    /// All nodes.
    pub fn nodes(&self) -> std::ops::Range<u32> {
        0..self.sizes.nodes
    }

    /// Those that can write.
    pub fn authors(&self) -> &[u32] {
        &self.authors
    }

    /// Those that serve nodes.
    pub fn relays(&self) -> &[u32] {
        &self.relays
    }

    /// All control machines.
    pub fn control(&self) -> impl Iterator<Item = u32> + '_ {
        self.authors.iter().chain(&self.relays).copied()
    }

    /// The nodes of a set.
    pub fn nodes_in(&self, topology: &Topology, scope: Scope) -> Vec<u32> {
        let all = topology.endpoints(scope);
        all.into_iter()
            .filter(|endpoint| self.nodes().contains(endpoint))
            .collect()
    }

    /// The services of a node.
    pub fn services_of(&self, node: u32) -> impl Iterator<Item = u32> {
        let Sizes {
            services, groups, ..
        } = self.sizes;
        (node % groups..services).step_by(groups as usize)
    }

    /// The nodes of a service.
    pub fn nodes_of(&self, service: u32) -> impl Iterator<Item = u32> {
        let Sizes { nodes, groups, .. } = self.sizes;
        (service % groups..nodes).step_by(groups as usize)
    }

    /// What a node subscribes to.
    pub fn selectors_of(&self, node: u32) -> Vec<Selector> {
        let services = self
            .services_of(node)
            .map(|service| Selector::service(&service_name(service)));
        std::iter::once(Selector::common())
            .chain(services)
            .collect()
    }

    /// The resources that a node has once all are published, without tenants.
    pub fn resources_of(&self, node: u32) -> Vec<Name> {
        let of = |service| self.sizes.service_resources(service).map(Resource::name);
        self.services_of(node).flat_map(of).collect()
    }

    /// How an author begins.
    pub fn author_config(&self, endpoint: u32, now: f64) -> AuthorConfig {
        AuthorConfig {
            lease: self.lease.clone(),
            upstream: UpstreamConfig::relay(peers(&self.relays)),
            downstream: DownstreamConfig::default(),
            capacity: Capacity::CONTROL,
            history_bytes: HISTORY,
            takeover_timeout: TAKEOVER,
            seed: self.seed_of(endpoint, now),
        }
    }

    /// How a relay begins.
    pub fn relay_config(&self, endpoint: u32, now: f64) -> RelayConfig {
        RelayConfig {
            lease: self.lease.clone(),
            upstream: UpstreamConfig::relay(peers(&self.authors)),
            downstream: DownstreamConfig::default(),
            capacity: Capacity::CONTROL,
            seed: self.seed_of(endpoint, now),
        }
    }

    /// How a node of a region begins: it follows the relays of its region, and others where there is none.
    pub fn node_config(&self, endpoint: u32, region: u16, now: f64) -> SubscriberConfig {
        let near = self
            .relays_of
            .get(usize::from(region))
            .cloned()
            .unwrap_or_default();
        let far = self
            .relays
            .iter()
            .map(|relay| PeerId(*relay))
            .filter(|relay| !near.contains(relay));
        let fallbacks = far.collect();
        SubscriberConfig {
            node: PeerId(endpoint),
            lease: self.lease.clone(),
            upstream: UpstreamConfig {
                fallbacks,
                ..UpstreamConfig::node(near)
            },
            capacity: Capacity::NODE,
            acknowledgement_interval: STANDING_EVERY,
            seed: self.seed_of(endpoint, now),
        }
    }

    /// Another one at each start, as machines ask for it.
    fn seed_of(&self, endpoint: u32, now: f64) -> u64 {
        let start = now.to_bits().rotate_left(32) ^ (u64::from(endpoint) + 1);
        self.seed ^ start.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}

fn peers(endpoints: &[u32]) -> Vec<PeerId> {
    endpoints.iter().map(|endpoint| PeerId(*endpoint)).collect()
}

/// The number of a zone of a region; zones are taken in turn.
fn zone_in(zones: &[u16], region: usize, turn: usize) -> u16 {
    let before: u16 = zones.iter().take(region).sum();
    let count = zones.get(region).copied().unwrap_or(1).max(1);
    before + (turn % usize::from(count)) as u16
}
