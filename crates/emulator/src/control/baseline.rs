//! The cost of configuration distribution by full snapshots, by formulas: each node receives the whole settings file at each
//! change, and whole endpoint lists at each poll. The scale runs print it for comparison with the actual distribution.

/// A server entry of a settings file.
const SERVER_ENTRY: &str =
    "[[service.server]]\nname = \"server-12345\"\naddress = \"10.123.45.67:8080\"\nzone = \"zone-07\"\n\n";
/// A route entry of a settings file.
const ROUTE_ENTRY: &str =
    "[[service.route]]\nhost = \"service-1234.example.org\"\npath = \"/path-12\"\nassign = \"default\"\n\n";
/// A service entry of a settings file with its class, without servers and routes.
const SERVICE_ENTRY: &str =
    "[[service]]\nname = \"service-1234\"\nlimits = { open = 250, open_reserved = 100 }\n\n\
    [[service.class]]\nname = \"default\"\nrepeat = \"safe\"\naim = \"150ms\"\ndeadline = \"600ms\"\n\n";
/// A tenant with its quota, in the format of the platform's configuration.
const TENANT_ENTRY: &str = "{\"name\":\"tenant-123456\",\"quota-rps\":20.0},";
/// A server of an endpoint list, in the format of a discovery response.
const LISTED_ENTRY: &str =
    "{\"name\":\"server-12345\",\"address\":\"10.123.45.67:8080\",\"zone\":\"zone-07\",\"weight\":1.0},";

/// Number of seconds per day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// The number of configuration entries of a system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfigurationSize {
    /// Servers of all services.
    pub servers: usize,
    /// Services.
    pub services: usize,
    /// Routes of all services.
    pub routes: usize,
    /// Tenants of all services.
    pub tenants: usize,
}

impl ConfigurationSize {
    /// The configuration of the target system.
    pub const TARGET: ConfigurationSize = ConfigurationSize {
        servers: 50_000,
        services: 2_600,
        routes: 74_000,
        tenants: 560_000,
    };

    /// Size of all settings, including tenants, in bytes.
    pub fn settings_bytes(&self) -> f64 {
        let bytes = self.servers * SERVER_ENTRY.len()
            + self.routes * ROUTE_ENTRY.len()
            + self.services * SERVICE_ENTRY.len()
            + self.tenants * TENANT_ENTRY.len();
        bytes as f64
    }

    /// Size of the endpoint lists of all services, in bytes.
    pub fn list_bytes(&self) -> f64 {
        (self.servers * LISTED_ENTRY.len()) as f64
    }
}

/// Parameters of distribution by full snapshots to one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullSnapshots {
    /// The number of configuration entries.
    pub size: ConfigurationSize,
    /// Configuration changes per second.
    pub changes_per_second: f64,
    /// Interval between polls for endpoint lists, in seconds; infinite if the node does not poll.
    pub list_interval: f64,
    /// Bandwidth of a node's link for control traffic, in bytes per second.
    pub bandwidth: f64,
}

/// The time from a change until a node has applied it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ApplyTime {
    /// It is bounded: the file that contains the change is sent after the transfer in progress, if any.
    Within {
        /// Seconds if no transfer is in progress.
        min: f64,
        /// Seconds if a transfer has just begun.
        max: f64,
    },
    /// It is unbounded: demand exceeds the bandwidth, so that the backlog keeps growing.
    Never,
}

impl FullSnapshots {
    /// Traffic that a node has to receive, in bytes per second.
    pub fn bandwidth_demand(&self) -> f64 {
        self.size.settings_bytes() * self.changes_per_second + self.list_demand()
    }

    fn list_demand(&self) -> f64 {
        self.size.list_bytes() / self.list_interval
    }

    /// Bytes that a node receives for one change: the size of the whole file.
    pub fn bytes_per_change(&self) -> f64 {
        self.size.settings_bytes()
    }

    /// Apply time if a file is sent for every change.
    pub fn apply_time(&self) -> ApplyTime {
        if self.bandwidth_demand() >= self.bandwidth {
            return ApplyTime::Never;
        }
        self.apply_time_coalesced()
    }

    /// Apply time if changes are coalesced: a node that is behind receives only the newest file.
    pub fn apply_time_coalesced(&self) -> ApplyTime {
        let bandwidth_for_settings = self.bandwidth - self.list_demand();
        if bandwidth_for_settings <= 0.0 {
            return ApplyTime::Never;
        }
        let min = self.size.settings_bytes() / bandwidth_for_settings;
        ApplyTime::Within {
            min,
            max: 2.0 * min,
        }
    }
}
