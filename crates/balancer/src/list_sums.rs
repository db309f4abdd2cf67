//! Sums over the endpoint list for its updates, so that no endpoint of an update needs an iteration over the list. They
//! are recomputed for each update, so that rounding errors do not accumulate.

use crate::floored::{FlooredVector, Groups};
use crate::interface::MachineTypeId;
use crate::sums::RunningMean;

/// The values of one listed server that the sums contain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedServer {
    /// Whether it is in the subset that this node prefers.
    pub(crate) is_in_subset: bool,
    /// Its machine type.
    pub(crate) machine_type: MachineTypeId,
    /// Its listed weight.
    pub(crate) weight: f64,
    /// The running average of its response times, in seconds.
    pub(crate) mean_response: f64,
    /// Whether it is ejected.
    pub(crate) is_ejected: bool,
}

impl ListedServer {
    fn groups(&self) -> Groups {
        [
            subset_group(self.is_in_subset),
            type_group(self.is_in_subset, self.machine_type),
        ]
    }
}

/// The group in the probability vector of the servers in the subset, or of those outside it.
fn subset_group(is_in_subset: bool) -> usize {
    usize::from(is_in_subset)
}

/// The group of the servers with one machine type in the subset, or of those outside it.
fn type_group(is_in_subset: bool, machine_type: MachineTypeId) -> usize {
    2 + 2 * usize::from(machine_type) + usize::from(is_in_subset)
}

/// The means over the servers with one machine type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TypeMeans {
    /// The mean probability.
    pub(crate) probability: f64,
    /// The mean of the running averages of response times, in seconds.
    pub(crate) response: f64,
}

/// Sums over the endpoint list. Positions are those of the list.
#[derive(Debug)]
pub(crate) struct ListSums {
    /// The probability vector.
    pub(crate) probability: FlooredVector,
    servers: Vec<ListedServer>,
    response_by_type: Vec<RunningMean>,
    /// The running averages of the servers that are not ejected.
    response: RunningMean,
    weight: RunningMean,
}

impl ListSums {
    /// The sums over a list with its probability vector, whose floors sum to `total_floor`.
    pub(crate) fn new(total_floor: f64, probability: &[f64], servers: Vec<ListedServer>) -> Self {
        let groups = servers.iter().map(ListedServer::groups);
        let probability = FlooredVector::new(total_floor, probability.iter().copied().zip(groups));
        let mut sums = ListSums {
            probability,
            servers: Vec::with_capacity(servers.len()),
            response_by_type: Vec::new(),
            response: RunningMean::default(),
            weight: RunningMean::default(),
        };
        for server in servers {
            sums.add(&server);
            sums.servers.push(server);
        }
        sums
    }

    /// Adds a server at the end.
    pub(crate) fn push(&mut self, probability: f64, server: ListedServer) {
        self.probability.push(probability, server.groups());
        self.add(&server);
        self.servers.push(server);
    }

    /// Removes a server; the last one takes its position.
    pub(crate) fn swap_remove(&mut self, position: usize) {
        self.probability.swap_remove(position);
        let server = self.servers.swap_remove(position);
        self.subtract(&server);
    }

    /// Changes the machine type and the weight of a server.
    pub(crate) fn update(&mut self, position: usize, machine_type: MachineTypeId, weight: f64) {
        let old = self.servers[position];
        if old.machine_type == machine_type && old.weight == weight {
            return;
        }
        let new = ListedServer {
            machine_type,
            weight,
            ..old
        };
        self.subtract(&old);
        self.add(&new);
        self.servers[position] = new;
        self.probability.set_groups(position, new.groups());
    }

    /// The mean probability in the subset, or outside it.
    pub(crate) fn mean_of_subset(&self, is_in_subset: bool) -> Option<f64> {
        self.probability.mean(subset_group(is_in_subset))
    }

    /// The means of a machine type in the subset, or outside it.
    pub(crate) fn means_of_type(
        &self,
        is_in_subset: bool,
        machine_type: MachineTypeId,
    ) -> Option<TypeMeans> {
        let group = type_group(is_in_subset, machine_type);
        let probability = self.probability.mean(group)?;
        let response = self
            .response_by_type
            .get(group)
            .and_then(RunningMean::value)?;
        Some(TypeMeans {
            probability,
            response,
        })
    }

    /// The mean of the running averages of the servers that are not ejected, in seconds.
    pub(crate) fn mean_response(&self) -> Option<f64> {
        self.response.value()
    }

    /// The mean listed weight.
    pub(crate) fn mean_weight(&self) -> Option<f64> {
        self.weight.value()
    }

    fn add(&mut self, server: &ListedServer) {
        let group = type_group(server.is_in_subset, server.machine_type);
        if self.response_by_type.len() <= group {
            self.response_by_type
                .resize(group + 1, RunningMean::default());
        }
        self.response_by_type[group].add(server.mean_response);
        self.weight.add(server.weight);
        if !server.is_ejected {
            self.response.add(server.mean_response);
        }
    }

    fn subtract(&mut self, server: &ListedServer) {
        let group = type_group(server.is_in_subset, server.machine_type);
        self.response_by_type[group].remove(server.mean_response);
        self.weight.remove(server.weight);
        if !server.is_ejected {
            self.response.remove(server.mean_response);
        }
    }
}
