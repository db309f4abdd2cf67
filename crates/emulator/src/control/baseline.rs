//! What distribution costs without deltas, by formulas: the whole settings file to each node at each change, and whole
//! endpoint lists to each node that polls. The scale runs print it beside the figures of the distribution.

/// A server of a settings file, as operators write it.
const SERVER_ENTRY: &str =
    "[[service.server]]\nname = \"server-12345\"\naddress = \"10.123.45.67:8080\"\nzone = \"zone-07\"\n\n";
/// A route of a settings file.
const ROUTE_ENTRY: &str =
    "[[service.route]]\nhost = \"service-1234.example.org\"\npath = \"/path-12\"\nassign = \"default\"\n\n";
/// A service of a settings file with its class, without its servers and routes.
const SERVICE_ENTRY: &str =
    "[[service]]\nname = \"service-1234\"\nlimits = { open = 250, open_reserved = 100 }\n\n\
    [[service.class]]\nname = \"default\"\nrepeat = \"safe\"\naim = \"150ms\"\ndeadline = \"600ms\"\n\n";
/// A tenant and its quota, as the platform's configuration has it.
const TENANT_ENTRY: &str = "{\"name\":\"tenant-123456\",\"quota-rps\":20.0},";
/// A server of an endpoint list, in a response of discovery.
const LISTED_ENTRY: &str =
    "{\"name\":\"server-12345\",\"address\":\"10.123.45.67:8080\",\"zone\":\"zone-07\",\"weight\":1.0},";

/// Seconds of a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// The amount of configuration of a system.
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
    /// The target system's.
    pub const TARGET: ConfigurationSize = ConfigurationSize {
        servers: 50_000,
        services: 2_600,
        routes: 74_000,
        tenants: 560_000,
    };

    /// Bytes of the whole settings, tenants included.
    pub fn settings_bytes(&self) -> f64 {
        let bytes = self.servers * SERVER_ENTRY.len()
            + self.routes * ROUTE_ENTRY.len()
            + self.services * SERVICE_ENTRY.len()
            + self.tenants * TENANT_ENTRY.len();
        bytes as f64
    }

    /// Bytes of the endpoint lists of all services.
    pub fn list_bytes(&self) -> f64 {
        (self.servers * LISTED_ENTRY.len()) as f64
    }
}

/// Distribution by full snapshots, as one node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullSnapshots {
    /// The amount of configuration.
    pub size: ConfigurationSize,
    /// Configuration changes per second.
    pub changes_per_second: f64,
    /// Seconds between two polls for the whole endpoint lists; infinite if the node does not poll.
    pub list_interval: f64,
    /// What a node's link has for control traffic, in bytes per second.
    pub bandwidth: f64,
}

/// Time from a change until a node has applied it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ApplyTime {
    /// The transfer in progress has to end before the next file, which contains the change, is sent.
    Within {
        /// Seconds if no transfer is in progress.
        min: f64,
        /// Seconds if a transfer has just begun.
        max: f64,
    },
    /// Demand exceeds the bandwidth: the backlog grows without a bound, unless changes are coalesced.
    Never,
}

impl FullSnapshots {
    /// Bytes per second that a node would have to receive.
    pub fn bandwidth_demand(&self) -> f64 {
        self.size.settings_bytes() * self.changes_per_second + self.list_demand()
    }

    fn list_demand(&self) -> f64 {
        self.size.list_bytes() / self.list_interval
    }

    /// Bytes that a node receives for one change: the whole file.
    pub fn bytes_per_change(&self) -> f64 {
        self.size.settings_bytes()
    }

    /// When a change is applied if a file is sent for each.
    pub fn apply_time(&self) -> ApplyTime {
        if self.bandwidth_demand() >= self.bandwidth {
            return ApplyTime::Never;
        }
        self.apply_time_coalesced()
    }

    /// When a change is applied if a node that is behind is sent the newest file alone.
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
