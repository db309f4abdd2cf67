//! Log lines of the fleet's events: a name conflict is logged even if member changes have reached the rate limit.

use super::FleetRuntime;
use crate::net::memory::MemoryPlan;
use crate::net::shared::Shared;
use reelfall_cluster::fleet::{Config, FleetEvent};
use reelfall_cluster::members::MemberEvent;
use reelfall_cluster::node::{Incarnation, Node};
use reelfall_config::model;
use reelfall_routing::limits::ProcessResources;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// More member changes than the log's rate limit admits in one window.
const MEMBER_CHANGES: u64 = 100;

fn open_fleet() -> Rc<FleetRuntime> {
    let resources = ProcessResources {
        open_requests: 1_000,
        connections: 1_000,
        memory_kib: 1_000,
    };
    let shared = Shared::for_services(
        resources,
        None,
        MemoryPlan::for_single_service(64 << 20, 100, 100),
    );
    let key_file = std::env::temp_dir().join(format!("reelfall-key-{}", std::process::id()));
    std::fs::write(&key_file, "the key of the fleet of a test").expect("a writable folder");
    let settings = model::Fleet {
        name: "fleet".to_owned(),
        node: "n1".to_owned(),
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        advertise: None,
        key_file: key_file.clone(),
        config: Config::default(),
        leases: None,
    };
    let runtime = FleetRuntime::open(&shared, &settings).expect("a fleet");
    std::fs::remove_file(key_file).expect("the key file");
    runtime
}

#[tokio::test]
async fn name_conflict_is_logged_although_the_rate_limit_is_reached() {
    let fleet = open_fleet();
    let claimed = |number| Node {
        name: "n1".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7)),
        incarnation: Incarnation { number, tag: 9 },
    };
    let changes = (0..MEMBER_CHANGES).map(|number| {
        let change = if number % 2 == 0 {
            MemberEvent::Up(claimed(number))
        } else {
            MemberEvent::Down(claimed(number))
        };
        FleetEvent::Member(change)
    });
    fleet.handle_events(&changes.collect::<Vec<_>>(), 1.0);
    assert!(
        fleet.shared.log.lines_in_window() < u32::try_from(MEMBER_CHANGES).expect("a small number"),
        "the log has no rate limit"
    );
    fleet.handle_events(&[FleetEvent::NameConflict], 1.0);
    assert_eq!(fleet.name_conflict_log.lines_in_window(), 1);
}
