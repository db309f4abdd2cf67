//! What distribution costs without deltas: the whole settings file to each node at each change, and whole lists of
//! servers to each node that asks.
//!
//! Nothing is played here: all figures follow from sizes, the rate of changes and the bytes that a node may use.

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
/// A server of a list, as discovery answers.
const LISTED_ENTRY: &str =
    "{\"name\":\"server-12345\",\"address\":\"10.123.45.67:8080\",\"zone\":\"zone-07\",\"weight\":1.0},";

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// What there is to distribute.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contents {
    /// Servers of all services.
    pub servers: usize,
    /// Services.
    pub services: usize,
    /// Routes of all services.
    pub routes: usize,
    /// Tenants of all services.
    pub tenants: usize,
}

impl Contents {
    /// The target system's.
    pub const TARGET: Contents = Contents {
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

    /// Bytes of the whole lists of all services.
    pub fn list_bytes(&self) -> f64 {
        (self.servers * LISTED_ENTRY.len()) as f64
    }
}

/// What whole files and lists cost one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WholeCopies {
    /// What there is.
    pub contents: Contents,
    /// Configuration changes a second.
    pub changes: f64,
    /// Seconds between two whole lists that a node asks for; infinite if it asks for none.
    pub lists_every: f64,
    /// What a node's link has for control, in bytes a second.
    pub budget: f64,
}

/// How long a change takes to be in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InForce {
    /// Seconds at most: the file under way as the change comes has to end, then the next one holds it.
    Within {
        /// Seconds if no file is under way.
        least: f64,
        /// Seconds if one has just begun.
        most: f64,
    },
    /// More bytes are asked for than pass: what waits grows without a bound, unless changes are coalesced.
    Never,
}

impl WholeCopies {
    /// Bytes a second that a node would need to take in.
    pub fn demand(&self) -> f64 {
        self.contents.settings_bytes() * self.changes + self.list_demand()
    }

    fn list_demand(&self) -> f64 {
        self.contents.list_bytes() / self.lists_every
    }

    /// Bytes within 10 s that hold one change: the whole file, if it passes in that time.
    pub fn bytes_of_one_change(&self) -> f64 {
        self.contents.settings_bytes()
    }

    /// When a change is in force if each change is a file of its own.
    pub fn in_force(&self) -> InForce {
        if self.demand() >= self.budget {
            return InForce::Never;
        }
        self.in_force_coalesced()
    }

    /// When a change is in force if a node that is behind takes the newest file alone.
    pub fn in_force_coalesced(&self) -> InForce {
        let left = self.budget - self.list_demand();
        if left <= 0.0 {
            return InForce::Never;
        }
        let least = self.contents.settings_bytes() / left;
        InForce::Within {
            least,
            most: 2.0 * least,
        }
    }
}
