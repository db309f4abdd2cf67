//! Regions, zones and racks, and the site of each endpoint. They determine delays and partitions of a network.

/// Maximum number of endpoints in a rack.
pub const RACK_SIZE: usize = 40;

/// Number of zones of each region of the target system: 13 in 4 regions.
pub const TARGET_ZONES: [u16; 4] = [4, 3, 3, 3];

/// The site of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Site {
    /// Index of the region.
    pub region: u16,
    /// Index of the zone, over all regions.
    pub zone: u16,
    /// Index of the rack, within the zone.
    pub rack: u16,
}

/// How far apart two endpoints are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the same zone.
    WithinZone,
    /// In different zones of the same region.
    WithinRegion,
    /// In different regions.
    BetweenRegions,
}

/// A set of endpoints, by site or number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All endpoints.
    All,
    /// The endpoints of a region.
    Region(u16),
    /// The endpoints of a zone.
    Zone(u16),
    /// The endpoints of a rack.
    Rack {
        /// The zone of the rack.
        zone: u16,
        /// Index of the rack within the zone.
        rack: u16,
    },
    /// A single endpoint.
    Endpoint(u32),
}

impl Scope {
    /// Whether an endpoint, which is at this site, belongs to the set.
    pub fn contains(self, endpoint: u32, site: Site) -> bool {
        match self {
            Scope::All => true,
            Scope::Region(region) => site.region == region,
            Scope::Zone(zone) => site.zone == zone,
            Scope::Rack { zone, rack } => site.zone == zone && site.rack == rack,
            Scope::Endpoint(number) => endpoint == number,
        }
    }
}

/// The sites of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// The region of each zone.
    regions: Vec<u16>,
    sites: Vec<Site>,
    /// Number of endpoints of each zone.
    populations: Vec<usize>,
}

impl Topology {
    /// Creates a topology without endpoints, in which each region has the given number of zones.
    pub fn new(zones_of_regions: &[u16]) -> Topology {
        let mut regions = Vec::new();
        for (region, zones) in (0u16..).zip(zones_of_regions) {
            regions.extend((0..*zones).map(|_| region));
        }
        let populations = vec![0; regions.len()];
        Topology {
            regions,
            sites: Vec::new(),
            populations,
        }
    }

    /// Creates a topology whose endpoints are spread evenly over the zones, in blocks of consecutive numbers.
    pub fn even(zones_of_regions: &[u16], endpoints: usize) -> Topology {
        let mut topology = Topology::new(zones_of_regions);
        let zones = topology.regions.len().max(1);
        for endpoint in 0..endpoints {
            topology.add((endpoint * zones / endpoints) as u16);
        }
        topology
    }

    /// Adds an endpoint to a zone; returns its number.
    pub fn add(&mut self, zone: u16) -> u32 {
        let region = self
            .regions
            .get(usize::from(zone))
            .copied()
            .unwrap_or_default();
        let mut rack = 0;
        if let Some(population) = self.populations.get_mut(usize::from(zone)) {
            rack = (*population / RACK_SIZE) as u16;
            *population += 1;
        }
        self.sites.push(Site { region, zone, rack });
        (self.sites.len() - 1) as u32
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.sites.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// Number of zones.
    pub fn zones(&self) -> usize {
        self.regions.len()
    }

    /// The site of an endpoint; `None` if there is no such endpoint.
    pub fn site(&self, endpoint: u32) -> Option<Site> {
        self.sites.get(endpoint as usize).copied()
    }

    /// The endpoints of a set.
    pub fn endpoints(&self, scope: Scope) -> Vec<u32> {
        let numbered = (0u32..).zip(&self.sites);
        numbered
            .filter(|(number, site)| scope.contains(*number, **site))
            .map(|(number, _)| number)
            .collect()
    }

    /// How far apart two endpoints are; `None` if either does not exist.
    pub fn distance(&self, one: u32, other: u32) -> Option<Distance> {
        let (one, other) = (self.site(one)?, self.site(other)?);
        Some(match (one.region == other.region, one.zone == other.zone) {
            (true, true) => Distance::WithinZone,
            (true, false) => Distance::WithinRegion,
            _ => Distance::BetweenRegions,
        })
    }
}
