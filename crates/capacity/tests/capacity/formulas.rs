//! The formulas of the capacity model, against results calculated by hand from round costs.

use crate::{assert_near, recorded_costs};
use reelfall_capacity::budget::model;
use reelfall_capacity::budget::model::costs::Costs;
use reelfall_capacity::scale::report::Size;

/// Costs in round figures, so that results can be calculated by hand.
fn round_costs() -> Costs {
    Costs {
        settings_bytes: 39e6,
        read_seconds: 80.0,
        read_length: 4e6,
        read_memory: 150e6,
        route_bytes: 1000.0,
        tenant_bytes: 100.0,
        pool_bytes: 20_000.0,
        endpoint_bytes: 2000.0,
        peer_bytes: 500.0,
        list_line_bytes: 200.0,
        list_changes_per_restart: 3.0,
        packet_overhead: 50.0,
        heartbeat_bytes: 6.0,
        heartbeat_interval: 2.0,
        idle_timeout: 12.0,
        gossip_datagram_rate: 3.5,
        verdict_bytes: 100.0,
        member_update_bytes: 40.0,
        header_bytes: 100.0,
        lease_length: 5.0,
        keepers: 5.0,
        lease_request_bytes: 100.0,
        lease_response_bytes: 150.0,
        machine_bandwidth: 1e9,
        idle_node_cores: 0.004,
        idle_service_cores: 1e-4,
        idle_node_bytes: 6e6,
        expiry_seconds: 1e-8,
        verdict_seconds: 1e-7,
        member_update_seconds: 1e-9,
        sampling_seconds: 1e-7,
        lease_scan_seconds: 1e-7,
        registry_poll_interval: 30.0,
        registry_entry_bytes: 210.0,
        registry_entry_seconds: 60e-6,
        ..recorded_costs()
    }
}

#[test]
fn smaller_sizes_are_proportional_to_the_target() {
    let small = model::scaled_size(300);
    assert_eq!(
        (small.servers, small.services, small.routes, small.tenants),
        (2500, 130, 3700, 28_000)
    );
    assert_eq!((small.changes, small.restarts), (650, 900));
    assert_eq!(model::scaled_size(6000), Size::TARGET);
    assert_near(model::request_rate(&small), 85_000.0);
}

#[test]
fn settings_costs() {
    let costs = round_costs();
    let target = Size::TARGET;
    assert_eq!(model::settings::entries(&target), 686_600.0);
    assert_near(model::settings::file_bytes(&costs, &target), 39e6);
    assert_near(
        model::settings::file_bytes(&costs, &model::scaled_size(1500)),
        9.75e6,
    );
    assert_near(model::settings::change_rate(&target), 13_000.0 / 86_400.0);
    assert_near(model::settings::read_seconds(&costs, 40e6), 800.0);
    assert_near(model::settings::read_memory(&costs, 40e6), 1.5e9);
    assert_near(
        39e6 * model::settings::change_rate(&target),
        5_868_055.555_555,
    );
}

#[test]
fn endpoint_list_costs() {
    let costs = round_costs();
    let target = Size::TARGET;
    assert_near(
        model::endpoint_lists::heartbeat_traffic(&costs, &target),
        1300.0 * 106.0,
    );
    assert_near(model::endpoint_lists::list_bytes(&costs, 50_000.0), 1e7);
    assert_eq!(model::endpoint_lists::max_list_servers(&costs), 20_971.0);
    assert_near(model::endpoint_lists::change_traffic(&costs, 2.5), 2250.0);
    let polling = model::endpoint_lists::registry_polling(&costs, &target);
    assert_near(polling.traffic, 350_000.0);
    assert_near(polling.cores, 0.1);
}

#[test]
fn node_memory() {
    let memory = model::node::memory(&round_costs(), &Size::TARGET);
    assert_near(memory.routes, 74e6);
    assert_near(memory.tenants, 56e6);
    assert_near(memory.pools, 2600.0 * 4000.0);
    assert_near(memory.servers, 100e6);
    assert_near(memory.peers, 2_999_500.0);
}

#[test]
fn processor_time() {
    let costs = round_costs();
    let target = Size::TARGET;
    assert_near(model::node::idle_cores(&costs, &target), 0.264);
    assert_near(model::node::expiry_cores(&costs, &target), 0.002);
    assert_near(
        model::node::verdict_cores(&costs, &target),
        10.0 * 2730.0 * 2600.0 * 1e-7,
    );
    assert_near(model::gossip::member_update_seconds(&costs, 6000.0), 6e-6);
    assert_near(model::gossip::sampling_cores(&costs, 6000.0), 0.006);
    assert_near(
        model::leases::keeper_scan_cores(&costs, &target),
        20_280.0 * 33_800.0 * 1e-7,
    );
}

#[test]
fn server_connections() {
    let costs = round_costs();
    let target = Size::TARGET;
    assert_near(
        model::connections::request_rate_to_server(&target),
        1.7e6 / 3e8,
    );
    // 1 - e^-0.068
    assert_near(
        model::connections::idle_ratio(&costs, &target),
        0.065_739_526_42,
    );
    assert_near(
        model::connections::servers_at_warm_rate(&target),
        850.0 / 6.0,
    );
}

#[test]
fn gossip_costs() {
    let costs = round_costs();
    let target = Size::TARGET;
    assert_eq!(model::gossip::transmissions(6000.0), 16.0);
    assert_near(model::gossip::max_traffic(), 72_000.0);
    // A datagram carries eleven verdicts.
    assert_near(
        model::gossip::spread_seconds(&costs, 3300.0, 6000.0),
        3300.0 * 16.0 / 11.0 / 30.0,
    );
    // 1 - e^(-420 / 5999)
    assert_near(
        model::gossip::recent_echo_ratio(&costs, &target),
        0.067_617_059_77,
    );
    assert_near(model::gossip::node_restart_rate(&target, 2.8), 0.3);
    assert_near(
        model::gossip::membership_traffic(&costs, &target, 2.8),
        2.0 * 14.4 * 140.0,
    );
    assert_eq!(model::node::max_ejected_servers(&target), 2730.0);
    assert_eq!(
        model::node::max_ejected_servers(&model::scaled_size(300)),
        500.0
    );
}

#[test]
fn lease_costs() {
    let costs = round_costs();
    let target = Size::TARGET;
    assert_eq!(model::leases::names(&target), 33_800.0);
    assert_near(model::leases::renewal_rate(&costs, &target), 20_280.0);
    assert_near(model::leases::keeper_traffic(&costs, &target), 5_070_000.0);
    assert_near(model::leases::requester_traffic(&costs, &target), 650_000.0);
}

#[test]
fn tenant_quotas_and_machine_bandwidth() {
    let costs = round_costs();
    let target = Size::TARGET;
    // e^(-17,000 / 560,000)
    assert_near(
        model::tenants::uncached_request_ratio(&target, 60.0),
        0.970_099_007_74,
    );
    assert_eq!(model::tenants::over_quota_burst(&target), 18_000.0);
    assert_near(
        model::distribution::nodes_per_machine(&target, 13.0),
        461.538_461_538,
    );
    assert_near(
        model::distribution::transfer_seconds(&costs, 39e6, 1500.0, 4.5),
        13.0,
    );
}
