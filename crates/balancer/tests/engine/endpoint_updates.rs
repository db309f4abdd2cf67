//! Addresses, connections and identifiers of servers that drain or are removed.

use crate::{classes, endpoint, settings, Commands, TestHost};
use reelfall_balancer::engine::{Command, Engine};
use reelfall_balancer::interface::{ServerId, ServerState, UpdateKind};
use reelfall_balancer::Balancer;

const MAX_ATTEMPTS: u32 = 4;

fn closes_connections(commands: &Commands, closed: ServerId) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::CloseConnections { server } if *server == closed))
}

fn releases_id(commands: &Commands, released: ServerId) -> bool {
    commands.iter().any(
        |command| matches!(command, Command::ReleaseServerId { server } if *server == released),
    )
}

#[test]
fn draining_and_removed_servers_lose_their_address_and_ids_are_quarantined() {
    let module = Balancer::new(settings(classes()), 1, 0.0).expect("valid settings");
    let mut engine: Engine<TestHost> = Engine::new(module, &classes(), MAX_ATTEMPTS);
    let mut commands = Commands::new();
    let up = vec![endpoint(1, ServerState::Up), endpoint(2, ServerState::Up)];
    engine.update_endpoints(0.0, UpdateKind::Snapshot, up, &mut commands);
    assert_eq!((engine.address(1), engine.address(2)), (Some(&1), Some(&2)));

    commands.clear();
    let draining = vec![endpoint(1, ServerState::Draining)];
    engine.update_endpoints(1.0, UpdateKind::Delta, draining.clone(), &mut commands);
    assert_eq!(engine.address(1), None);
    engine.update_endpoints(1.0, UpdateKind::Snapshot, draining, &mut commands);
    assert_eq!(engine.address(2), None);
    assert!(
        closes_connections(&commands, 1) && closes_connections(&commands, 2),
        "connections to a draining or removed server stay open"
    );

    engine.update_endpoints(30.0, UpdateKind::Delta, vec![], &mut commands);
    assert!(
        !releases_id(&commands, 2),
        "an identifier is released while an attempt can refer to it"
    );
    engine.update_endpoints(31.5, UpdateKind::Delta, vec![], &mut commands);
    assert!(
        releases_id(&commands, 2),
        "the identifier of a removed server is never released"
    );
}
