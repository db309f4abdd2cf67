//! Updates of the endpoint list: servers that are added, changed and removed.

use super::automaton::{initial_probability, TOTAL_FLOOR};
use super::departed::DepartedServer;
use super::servers::{relative_size, Server};
use super::{Balancer, WATCH_TIMER};
use crate::interface::{Action, Endpoint, ServerId, ServerState, Time, UpdateKind};
use crate::list_sums::{ListSums, ListedServer};

/// A server that was missing from the list for at most this time, in seconds, keeps its running average.
const FLAP_TIME: Time = 0.5;
/// Backoff before the list is watched again after the first failure, in seconds.
const MIN_BACKOFF: Time = 1.0;
/// The longest backoff, in seconds.
const MAX_BACKOFF: Time = 2.0;

/// The subscription to the endpoint list.
pub(super) struct Watch {
    is_active: bool,
    backoff: Time,
}

impl Default for Watch {
    fn default() -> Self {
        Watch {
            is_active: false,
            backoff: MIN_BACKOFF,
        }
    }
}

impl Watch {
    /// Whether the watch is established, so that updates arrive.
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    fn record_success(&mut self) {
        self.is_active = true;
        self.backoff = MIN_BACKOFF;
    }

    /// Records that the watch has failed; returns the backoff in seconds, with jitter by a random fraction.
    fn record_failure(&mut self, random: f64) -> Time {
        self.is_active = false;
        let after = self.backoff * (0.5 + 0.5 * random);
        self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF);
        after
    }
}

/// The initial values of a server that joins the list.
struct InitialEstimate {
    relative_probability: f64,
    mean_response: Time,
}

impl Balancer {
    /// Handles an update of the endpoint list.
    pub(super) fn update_endpoints(
        &mut self,
        now: Time,
        kind: UpdateKind,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == UpdateKind::Failed {
            let after = self.watch.record_failure(self.random.fraction());
            actions.push(Action::StartTimer {
                after,
                tag: WATCH_TIMER,
            });
            return;
        }
        if kind != UpdateKind::Cached {
            self.watch.record_success();
        }
        let mut sums = self.list_sums(now);
        if kind != UpdateKind::Delta {
            self.remove_missing(now, &endpoints, &mut sums);
        }
        let nothing_learned = self.servers.is_empty() && self.departed.is_empty();
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint, &mut sums);
        }
        self.automaton.probability = sums.probability.values();
        self.update_subset(nothing_learned);
        let capacity = self.servers.capacity(&self.settings.rules, now);
        self.admission.set_capacity(capacity);
    }

    fn list_sums(&self, now: Time) -> ListSums {
        let listed = |(server, mean_response): (&Server, &f64)| ListedServer {
            is_in_subset: server.is_in_subset,
            machine_type: server.endpoint.machine_type,
            weight: server.endpoint.weight,
            mean_response: *mean_response,
            is_ejected: server.health.is_ejected(now),
        };
        let servers = self
            .servers
            .iter()
            .zip(&self.automaton.mean_response)
            .map(listed)
            .collect();
        ListSums::new(TOTAL_FLOOR, &self.automaton.probability, servers)
    }

    fn remove_missing(&mut self, now: Time, endpoints: &[Endpoint], sums: &mut ListSums) {
        let mut listed: Vec<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        listed.sort_unstable();
        for position in (0..self.servers.len()).rev() {
            let server = self.servers[position].endpoint.server;
            if listed.binary_search(&server).is_err() {
                self.remove_server(now, position, sums);
            }
        }
    }

    /// Handles one entry of an update. A draining server is removed at once, as its attempts in flight do not need its
    /// list entry.
    fn update_endpoint(&mut self, now: Time, endpoint: Endpoint, sums: &mut ListSums) {
        let is_up = endpoint.state == ServerState::Up;
        let Some(position) = self.servers.position(endpoint.server) else {
            if is_up {
                self.add_server(now, endpoint, sums);
            }
            return;
        };
        let has_restarted = self.servers[position].endpoint.started_at < endpoint.started_at;
        if !is_up {
            self.remove_server(now, position, sums);
        } else if has_restarted {
            self.remove_server(now, position, sums);
            self.add_server(now, endpoint, sums);
        } else {
            sums.update(position, endpoint.machine_type, endpoint.weight);
            self.servers[position].endpoint = endpoint;
        }
    }

    fn remove_server(&mut self, now: Time, position: usize, sums: &mut ListSums) {
        let relative_probability = sums.probability.value(position) * self.servers.len() as f64;
        sums.swap_remove(position);
        let mean_response = self.automaton.mean_response.swap_remove(position);
        let removed = self.servers.swap_remove(position);
        self.departed.add(DepartedServer {
            hash: removed.endpoint.hash,
            started_at: removed.endpoint.started_at,
            departed_at: now,
            relative_probability,
            mean_response,
            credit: removed.credit.level,
        });
    }

    fn add_server(&mut self, now: Time, endpoint: Endpoint, sums: &mut ListSums) {
        let servers = self.servers.len();
        let nodes_per_server = self.subset.nodes_per_server(servers as f64 + 1.0);
        let is_in_subset = self.subset.contains(endpoint.hash, nodes_per_server);
        let departed = self.departed.take(now, endpoint.hash, endpoint.started_at);
        let estimate = match &departed {
            Some(departed) => self.restored_estimate(now, departed, sums),
            None => self.estimate_by_peers(&endpoint, is_in_subset, sums),
        };
        let probability = initial_probability(estimate.relative_probability, servers);
        let listed = ListedServer {
            is_in_subset,
            machine_type: endpoint.machine_type,
            weight: endpoint.weight,
            mean_response: estimate.mean_response,
            is_ejected: false,
        };
        sums.push(probability, listed);
        self.automaton.mean_response.push(estimate.mean_response);
        let random = f64::from(is_in_subset) * self.random.fraction();
        let initial_credit = random * self.work.typical();
        let credit = departed.map_or(initial_credit, |old| old.credit.min(initial_credit));
        self.servers
            .push(Server::new(endpoint, now, is_in_subset, credit));
    }

    /// The initial values of an unknown server: the means of its machine type, or, if there are none, values by its
    /// listed weight.
    fn estimate_by_peers(
        &self,
        endpoint: &Endpoint,
        is_in_subset: bool,
        sums: &ListSums,
    ) -> InitialEstimate {
        let servers = self.servers.len() as f64;
        if let Some(means) = sums.means_of_type(is_in_subset, endpoint.machine_type) {
            return InitialEstimate {
                relative_probability: servers * means.probability,
                mean_response: means.response,
            };
        }
        let means = sums.mean_of_subset(is_in_subset).zip(sums.mean_weight());
        let relative_probability = means.map_or(1.0, |(probability, mean_weight)| {
            let has_weights = self.settings.has_server_weights;
            servers * probability * relative_size(has_weights, endpoint.weight / mean_weight)
        });
        InitialEstimate {
            relative_probability,
            mean_response: self.work.typical(),
        }
    }

    /// The initial values of a server that returns: those that were learned before. It may have left because it was
    /// slow for a reason that no longer holds, so a running average above the mean is kept only after a short absence.
    fn restored_estimate(
        &self,
        now: Time,
        departed: &DepartedServer,
        sums: &ListSums,
    ) -> InitialEstimate {
        let was_short = now - departed.departed_at <= FLAP_TIME;
        let max = if self.servers.is_empty() || was_short {
            departed.mean_response
        } else {
            sums.mean_response().unwrap_or(self.work.typical())
        };
        InitialEstimate {
            relative_probability: departed.relative_probability,
            mean_response: departed.mean_response.min(max),
        }
    }
}
