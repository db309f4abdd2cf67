//! Start of a fleet: servers, network, discovery services, links and settings, then the processes of the nodes.

use super::datagrams::DatagramNetwork;
use super::history::{Event, History};
use super::node_settings::{fleet_section, node_settings, server_list, ListSource};
use super::{server_name, FleetNode, FleetSpec, TestFleet};
use crate::discovery::{Discovery, ListedServer};
use crate::link::Link;
use crate::node::{wait_for_health, Folder};
use crate::pool::{RequestEvent, Server, ServerBehavior};
use crate::scripted::Program;
use crate::Result;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// Number of requests that a server processes at the same time.
const SERVER_WORKERS: usize = 16;

impl TestFleet {
    /// Starts a fleet, and waits until every node is healthy.
    ///
    /// # Errors
    /// Fails if a part of it does not start.
    pub async fn start(program: &Program, spec: &FleetSpec) -> Result<TestFleet> {
        TestFleet::start_with_history(program, spec, Arc::new(History::start())).await
    }

    /// Like [`TestFleet::start`], with a history that others record events in, too.
    ///
    /// # Errors
    /// Fails if a part of it does not start.
    pub async fn start_with_history(
        program: &Program,
        spec: &FleetSpec,
        history: Arc<History>,
    ) -> Result<TestFleet> {
        let servers = start_servers(spec, &history).await?;
        let folder = Folder::new()?;
        let key_file = write_key(folder.path())?;
        let network = DatagramNetwork::open(spec.node_count).await?;
        let discoveries = start_discoveries(spec, &servers).await?;
        let mut nodes = Vec::with_capacity(spec.node_count);
        for node in 0..spec.node_count {
            let server_links = start_links(&servers).await?;
            let source = list_source(node, spec, &discoveries, &server_links);
            let fleet_settings = spec.fleet_settings.as_ref();
            let fleet_section =
                fleet_settings.map(|extra| fleet_section(node, spec, &network, &key_file, extra));
            nodes.push(FleetNode {
                settings: node_settings(
                    node,
                    spec,
                    &source,
                    fleet_section.as_deref().unwrap_or(""),
                ),
                process: None,
                server_links,
            });
        }
        let mut fleet = TestFleet {
            program: program.clone(),
            nodes,
            servers,
            discoveries,
            network,
            addresses: Arc::new(Mutex::new(vec![None; spec.node_count])),
            history,
            folder,
        };
        fleet.start_all_nodes().await?;
        Ok(fleet)
    }

    async fn start_all_nodes(&mut self) -> Result<()> {
        for node in 0..self.node_count() {
            self.start_node(node).await?;
        }
        for node in 0..self.node_count() {
            if let Some(address) = self.address(node) {
                wait_for_health(address, "/_health", true).await?;
            }
        }
        Ok(())
    }
}

async fn start_servers(spec: &FleetSpec, history: &Arc<History>) -> Result<Vec<Server>> {
    let mut servers = Vec::with_capacity(spec.server_count);
    for server in 0..spec.server_count {
        let name = server_name(server);
        let behavior = ServerBehavior::healthy(spec.service_time);
        let started = Server::start(&name, SERVER_WORKERS, behavior, server as u64).await?;
        let history = history.clone();
        started.set_observer(Arc::new(move |id, event| {
            let id = id.to_owned();
            history.record(match event {
                RequestEvent::Received => Event::AttemptReceived { server, id },
                RequestEvent::EffectApplied => Event::Executed { server, id },
            });
        }));
        servers.push(started);
    }
    Ok(servers)
}

/// Writes the file with the key that the nodes of the fleet share.
fn write_key(folder: &Path) -> Result<PathBuf> {
    let key_file = folder.join("fleet.key");
    std::fs::write(&key_file, "key of the testbed's fleets, not a secret")?;
    Ok(key_file)
}

async fn start_discoveries(spec: &FleetSpec, servers: &[Server]) -> Result<Vec<Discovery>> {
    let list: Vec<ListedServer> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| ListedServer::active(&server_name(index), server.address))
        .collect();
    let mut discoveries = Vec::with_capacity(spec.discovery_count);
    for _ in 0..spec.discovery_count {
        discoveries.push(Discovery::start(list.clone()).await?);
    }
    Ok(discoveries)
}

async fn start_links(servers: &[Server]) -> Result<Vec<Link>> {
    let mut links = Vec::with_capacity(servers.len());
    for server in servers {
        links.push(Link::start(server.address).await?);
    }
    Ok(links)
}

fn list_source(
    node: usize,
    spec: &FleetSpec,
    discoveries: &[Discovery],
    server_links: &[Link],
) -> ListSource {
    match discoveries.get(node % discoveries.len().max(1)) {
        Some(discovery) => {
            ListSource::Discovery(format!("discovery = \"{}\"\n", discovery.address))
        }
        None => ListSource::List(server_list(spec, server_links)),
    }
}
