//! The servers of the three services, the settings of a node in front of them, and their load. Used by the scenario, its
//! tests and the demo `services`.

use crate::load::Workload;
use crate::pool::{Pool, ServerBehavior};
use crate::Result;
use std::time::Duration;

/// The rate limit of the service `evaluate`, in requests per second.
pub(super) const EVALUATE_RATE_LIMIT: f64 = 150.0;
/// How long a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(600);
const EVALUATE_HOST: &str = "flags.example.org";
const TOGGLE_HOST: &str = "admin.example.org";
const ROLLOUT_HOST: &str = "rollout.example.org";
const RESERVED_LIMITS: &str = "limits = { open_reserved = 40, connections_reserved = 40 }\n";

/// The servers of the three services.
pub struct ServicePools {
    /// Evaluation: 4 servers, 200 requests per second.
    pub evaluate: Pool,
    /// Toggles: 3 servers, 100 requests per second.
    pub toggle: Pool,
    /// Rollouts: 3 servers, 85 requests per second.
    pub rollout: Pool,
}

impl ServicePools {
    /// Starts all servers.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(seed: u64) -> Result<ServicePools> {
        let healthy = |ms| ServerBehavior::healthy(Duration::from_millis(ms));
        Ok(ServicePools {
            evaluate: Pool::start("eval", 4, healthy(20), seed).await?,
            toggle: Pool::start("admin", 3, healthy(30), seed + 10).await?,
            rollout: Pool::start("approver", 3, healthy(35), seed + 20).await?,
        })
    }

    /// The number of request ids that took effect more than once, of requests that must not.
    pub fn duplicate_effects(&self) -> usize {
        self.toggle.duplicate_effects() + self.rollout.duplicate_effects()
    }

    /// The settings file of a node in front of them.
    pub fn settings(&self, listen: &str) -> String {
        let evaluate = service_settings(&ServiceSettings {
            name: "evaluate",
            retry_safety: "safe",
            host: EVALUATE_HOST,
            method: "GET",
            limits: &format!(
                "limits = {{ open = 80, open_reserved = 40, rate = \"{EVALUATE_RATE_LIMIT}/s\", burst = 20, connections_reserved = 40 }}\n"
            ),
            pool: &self.evaluate,
        });
        let toggle = service_settings(&ServiceSettings {
            name: "toggle",
            retry_safety: "unsafe",
            host: TOGGLE_HOST,
            method: "POST",
            limits: RESERVED_LIMITS,
            pool: &self.toggle,
        });
        let rollout = service_settings(&ServiceSettings {
            name: "rollout",
            retry_safety: "unsafe",
            host: ROLLOUT_HOST,
            method: "POST",
            limits: RESERVED_LIMITS,
            pool: &self.rollout,
        });
        format!(
            "[process]\ndescriptors = 512\nmemory = \"128MiB\"\n\n\
             [[listener]]\nname = \"client\"\naddress = \"{listen}\"\n\n{evaluate}{toggle}{rollout}"
        )
    }
}

/// A service of a settings file.
pub(super) struct ServiceSettings<'a> {
    pub(super) name: &'a str,
    /// The value of `repeat`.
    pub(super) retry_safety: &'a str,
    pub(super) host: &'a str,
    pub(super) method: &'a str,
    /// Lines with the limits of the service.
    pub(super) limits: &'a str,
    pub(super) pool: &'a Pool,
}

/// The section of a service.
pub(super) fn service_settings(service: &ServiceSettings) -> String {
    let ServiceSettings {
        name,
        retry_safety,
        host,
        method,
        limits,
        pool,
    } = service;
    format!(
        "[[service]]\nname = \"{name}\"\n{limits}\n\
         [[service.class]]\nname = \"{name}\"\nrepeat = \"{retry_safety}\"\naim = \"200ms\"\ndeadline = \"600ms\"\n\n\
         [[service.route]]\nhost = \"{host}\"\npath = \"/api\"\nmethods = [\"{method}\"]\nassign = \"{name}\"\n\n{}\n",
        pool.server_settings()
    )
}

/// The load of one service; the ids of its requests begin with `run`.
pub fn workload(run: &str, service: &str, rate: f64) -> Workload {
    let (host, method) = match service {
        "evaluate" => (EVALUATE_HOST, "GET"),
        "toggle" => (TOGGLE_HOST, "POST"),
        _ => (ROLLOUT_HOST, "POST"),
    };
    Workload {
        name: format!("{run}-{service}"),
        host: host.to_owned(),
        method,
        path: "/api/flags".to_owned(),
        headers: Vec::new(),
        body: None,
        deadline: DEADLINE,
        rate,
    }
}
