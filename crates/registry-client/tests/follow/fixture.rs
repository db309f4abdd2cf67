//! A fake registry, and a follower with a connection to it.

use crate::fake_registry::FakeRegistry;
use crate::PATH;
use reelfall_registry_client::follow::{Follower, FollowerConfig};
use reelfall_registry_client::session::Event;
use std::collections::BTreeSet;

/// A server in the follower's list.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedServer {
    /// The name of the server.
    pub name: String,
    /// The port that the server listens on.
    pub port: u16,
}

impl ListedServer {
    /// A server with this name and port.
    pub fn new(name: &str, port: u16) -> ListedServer {
        ListedServer {
            name: name.to_owned(),
            port,
        }
    }
}

/// A registry and its follower.
pub struct Fixture {
    /// The registry.
    pub registry: FakeRegistry,
    /// The follower.
    pub follower: Follower,
}

impl Fixture {
    /// A fixture without a connection.
    pub fn disconnected(has_persistent_watches: bool, config: FollowerConfig, now: f64) -> Fixture {
        Fixture {
            registry: FakeRegistry::new(has_persistent_watches),
            follower: Follower::new(PATH, config, now),
        }
    }

    /// A fixture with a connection, whose follower has read the empty list.
    pub fn connected(config: FollowerConfig) -> Fixture {
        let mut fixture = Fixture::disconnected(true, config, 0.0);
        fixture.connect(0.0);
        fixture.settle(0.0);
        fixture
    }

    /// See [`FakeRegistry::connect`].
    pub fn connect(&mut self, now: f64) {
        self.registry.connect(&mut self.follower, now);
    }

    /// See [`FakeRegistry::drop_connection`].
    pub fn drop_connection(&mut self, now: f64) {
        self.registry.drop_connection(&mut self.follower, now);
    }

    /// See [`FakeRegistry::receive_requests`].
    pub fn receive_requests(&mut self) {
        self.registry.receive_requests(&mut self.follower);
    }

    /// See [`FakeRegistry::settle`].
    pub fn settle(&mut self, now: f64) {
        self.registry.settle(&mut self.follower, now);
    }

    /// Advances the follower's time, then settles.
    pub fn tick_and_settle(&mut self, now: f64) {
        self.follower.tick(now);
        self.settle(now);
    }

    /// Delivers the oldest event, if there is one, and returns it.
    pub fn deliver_event(&mut self, now: f64) -> Option<Event> {
        let event = self.registry.events.pop_front()?;
        self.follower.handle_event(now, &event);
        Some(event)
    }

    /// The servers in the follower's list.
    pub fn listed_servers(&self) -> BTreeSet<ListedServer> {
        self.follower
            .roster()
            .servers()
            .map(|entry| ListedServer::new(&entry.name, entry.address.port()))
            .collect()
    }
}
