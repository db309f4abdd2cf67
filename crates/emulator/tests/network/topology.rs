//! The placement of endpoints in racks, zones and regions.

use reelfall_emulator::control::topology::{Distance, Scope, Topology, TARGET_ZONES};

#[test]
fn endpoints_are_spread_evenly_over_all_zones() {
    let topology = Topology::even(&TARGET_ZONES, 6_000);
    assert_eq!((topology.len(), topology.zones()), (6_000, 13));
    for zone in 0..13 {
        assert!((461..=462).contains(&topology.endpoints(Scope::Zone(zone)).len()));
    }
    let size_of_region = |region| topology.endpoints(Scope::Region(region)).len();
    assert_eq!((0..4).map(size_of_region).sum::<usize>(), 6_000);
    assert!(size_of_region(0) > size_of_region(1));
    assert_eq!(
        topology.endpoints(Scope::Rack { zone: 0, rack: 0 }).len(),
        40
    );
    assert_eq!(topology.distance(0, 1), Some(Distance::WithinZone));
    assert_eq!(topology.distance(0, 600), Some(Distance::WithinRegion));
    assert_eq!(topology.distance(0, 5_999), Some(Distance::BetweenRegions));
    assert_eq!(topology.distance(0, 6_000), None);
}
