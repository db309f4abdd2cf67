//! Unit costs of resources, read from the inputs and used by all formulas of the model.

use crate::budget::inputs::Inputs;
use crate::budget::Error;

/// Defines [`Costs`] from rows of a field and the name of its input.
macro_rules! costs {
    ($($(#[$doc:meta])* $field:ident = $input:literal,)*) => {
        /// Unit costs of resources.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct Costs {
            $($(#[$doc])* pub $field: f64,)*
        }

        impl Costs {
            /// Takes the costs from the inputs.
            ///
            /// # Errors
            /// If an input is missing.
            pub fn from_inputs(inputs: &Inputs) -> Result<Costs, Error> {
                Ok(Costs {
                    $($field: inputs.value($input)?,)*
                })
            }
        }
    };
}

costs! {
    /// The settings file at the target, in bytes.
    settings_bytes = "settings_bytes",
    /// Reading and checking a file of `read_length`, in seconds.
    read_seconds = "read_seconds",
    /// The file length at which reading was measured, in bytes.
    read_length = "read_length",
    /// Memory while a file of `read_length` is read, in bytes.
    read_memory = "read_memory",
    /// One change of the settings, in bytes.
    change_bytes = "change_bytes",
    /// A route in a plan, in bytes.
    route_bytes = "route_bytes",
    /// A tenant in a plan and in a pool, in bytes.
    tenant_bytes = "tenant_bytes",
    /// An idle service with eight static servers, in bytes.
    pool_bytes = "pool_bytes",
    /// A server in one pool, in bytes.
    endpoint_bytes = "entry_bytes",
    /// Another node among the members, in bytes.
    peer_bytes = "peer_bytes",
    /// A route in one flat table, in bytes.
    compact_route_bytes = "compact_route_bytes",
    /// A tenant in one flat table, in bytes.
    compact_tenant_bytes = "compact_tenant_bytes",
    /// A server without traffic in one flat table, in bytes.
    compact_server_bytes = "compact_server_bytes",
    /// A line of an endpoint list, in bytes.
    list_line_bytes = "list_line_bytes",
    /// Changes of a list for each restart of a server.
    list_changes_per_restart = "list_changes_a_restart",
    /// Headers of IPv4 and TCP, in bytes.
    packet_overhead = "packet_overhead",
    /// Interval at which all entries of a registry are read, in seconds.
    registry_poll_interval = "reread_every",
    /// Reading one entry of a registry, in bytes.
    registry_entry_bytes = "entry_read_bytes",
    /// Reading one entry of a registry, in processor seconds.
    registry_entry_seconds = "entry_read_seconds",
    /// A heartbeat of a watch, in bytes.
    heartbeat_bytes = "beat_bytes",
    /// Interval of a watch's heartbeats, in seconds.
    heartbeat_interval = "beat_every",
    /// Idle time-out of a connection to a server, in seconds.
    idle_timeout = "idle_kept",
    /// Datagrams per second sent by a node without updates.
    gossip_datagram_rate = "gossip_datagrams",
    /// Bytes per second sent by a node without updates, among 300 nodes.
    gossip_traffic_300 = "gossip_bytes_300",
    /// Bytes per second sent by a node without updates, among 1,500 nodes.
    gossip_traffic_1500 = "gossip_bytes_1500",
    /// A ban in a datagram, in bytes.
    verdict_bytes = "verdict_bytes",
    /// A member update in a datagram, in bytes.
    member_update_bytes = "member_bytes",
    /// A datagram without updates, in bytes.
    header_bytes = "head_bytes",
    /// Applying a member update, in processor seconds for each member.
    member_update_seconds = "update_seconds",
    /// A gossip round with updates, in processor seconds for each member.
    sampling_seconds = "draw_seconds",
    /// An idle service with eight servers, in cores.
    idle_service_cores = "service_rest_cores",
    /// A node with one idle service, in cores.
    idle_node_cores = "rest_cores",
    /// The resident set of a node with one idle service, in bytes.
    idle_node_bytes = "rest_bytes",
    /// Scanning the listed states for expired ones, in processor seconds for each server.
    expiry_seconds = "lapse_seconds",
    /// Applying a verdict on one server to one pool, in processor seconds.
    verdict_seconds = "judge_seconds",
    /// Selecting among 1,000 servers, in seconds.
    selection_seconds_1000 = "choice_seconds_1000",
    /// Applying a list of 5,000 servers, in seconds.
    list_update_seconds_5000 = "join_seconds_5000",
    /// The duration of a lease, in seconds.
    lease_length = "lease_length",
    /// Keepers of leases.
    keepers = "keepers",
    /// A renewal of a lease, in bytes.
    lease_request_bytes = "lease_ask_bytes",
    /// The response to a renewal, in bytes.
    lease_response_bytes = "lease_said_bytes",
    /// A lease name with its promise, in bytes.
    lease_state_bytes = "lease_kept_bytes",
    /// Scanning for the next deadline, in processor seconds for each lease name.
    lease_scan_seconds = "lease_scan_seconds",
    /// A round trip within a zone, in seconds.
    rtt_zone = "rtt_zone",
    /// A round trip between zones of a region, in seconds.
    rtt_region = "rtt_region",
    /// Bandwidth of the link of a control machine, in bytes per second.
    machine_bandwidth = "machine_link",
}
