//! The settings object with the field names of the protocol. They occur only here; all other code uses the names of
//! [`crate::interface`].

use super::names::{NameRegistry, NameTable};
use super::{ConnectionSettings, SettingsError};
use crate::interface::{
    Class, Costs, Discovery, Idempotency, KeyScope, Limits, LoadReports, Objective, Rules,
    Settings, Tenant, ZoneId,
};
use serde::Deserialize;

/// Number of retries that each admitted request adds to the retry budget, unless configured otherwise.
pub const DEFAULT_RETRY_BUDGET_RATIO: f64 = 0.2;

/// Parses a settings object.
///
/// # Errors
/// If the text is not a valid settings object.
pub fn read(json: &str) -> Result<(Settings, NameRegistry, ConnectionSettings), SettingsError> {
    let object: SettingsObject = serde_json::from_str(json)?;
    let connections = ConnectionSettings {
        connect_timeout: object.limits.connect_timeout,
        response_slack: object.rules.answer_slack,
    };
    Ok(object.into_settings(connections))
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsObject {
    categories: Vec<ClassObject>,
    #[serde(default)]
    tenants: Vec<TenantObject>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    extra: ExtraObject,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    locality: Option<String>,
    #[serde(default)]
    limits: LimitsObject,
    #[serde(default)]
    rules: RulesObject,
    #[serde(default)]
    prices: CostsObject,
    #[serde(default)]
    goal: ObjectiveObject,
    #[serde(default)]
    report: LoadReportsObject,
    #[serde(default = "one_node")]
    replicas_of_me: u32,
    #[serde(default)]
    my_number: Option<u32>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    value_by: String,
    #[serde(default)]
    weight_kind: String,
    #[serde(default = "millisecond")]
    tick: f64,
}

impl SettingsObject {
    fn into_settings(
        self,
        connections: ConnectionSettings,
    ) -> (Settings, NameRegistry, ConnectionSettings) {
        let mut zones = NameTable::of(self.failure_domains);
        let settings = Settings {
            classes: self.categories.iter().map(ClassObject::to_class).collect(),
            tenants: self.tenants.iter().map(TenantObject::to_tenant).collect(),
            zone: self.locality.map(|zone| zones.intern(&zone) as ZoneId),
            node_count: self.replicas_of_me,
            node_index: self.my_number,
            discovery: match self.discovery.as_str() {
                "ask" => Discovery::Poll,
                _ => Discovery::Push,
            },
            load_reports: self.report.into_load_reports(),
            limits: self.limits.into_limits(),
            rules: self.rules.into_rules(),
            costs: self.prices.into_costs(),
            objective: self.goal.into_objective(),
            over_quota_weight: self.over_share_worth,
            weight_per_work: self.value_by == "work",
            has_key_affinity: self.extra.warm_keys,
            has_server_weights: self.weight_kind != "silent",
            clock_resolution: self.tick,
        };
        let names = NameRegistry {
            servers: NameTable::default(),
            classes: NameTable::of(self.categories.into_iter().map(|class| class.name)),
            tenants: NameTable::of(self.tenants.into_iter().map(|tenant| tenant.name)),
            zones,
            machine_types: NameTable::of(self.kinds),
        };
        (settings, names, connections)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassObject {
    name: String,
    promise: f64,
    deadline: f64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    late_value: f64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    dedup_window: f64,
    #[serde(default)]
    streamed: bool,
}

impl ClassObject {
    fn to_class(&self) -> Class {
        Class {
            latency_objective: self.promise,
            deadline: self.deadline,
            priority_weight: self.worth,
            late_response_weight: self.late_value,
            idempotency: self.idempotency(),
            streams_response: self.streamed,
        }
    }

    fn idempotency(&self) -> Idempotency {
        match self.effect.as_str() {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Keyed {
                scope: self.scope(),
                window: self.dedup_window,
            },
            _ => Idempotency::AtMostOnce,
        }
    }

    fn scope(&self) -> KeyScope {
        match self.key_scope.as_str() {
            "all" => KeyScope::All,
            "zone" => KeyScope::Zone,
            _ => KeyScope::Cell,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantObject {
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

impl TenantObject {
    fn to_tenant(&self) -> Tenant {
        Tenant {
            quota: self.quota_rps,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct ExtraObject {
    warm_keys: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct LimitsObject {
    max_attempts: u32,
    max_retry_after: f64,
    retry_after: bool,
    cancelling: bool,
    may_probe: bool,
    second_copies: bool,
    conn_idle: f64,
    connect_timeout: f64,
}

impl Default for LimitsObject {
    fn default() -> Self {
        LimitsObject {
            max_attempts: 1,
            max_retry_after: 0.0,
            retry_after: false,
            cancelling: false,
            may_probe: false,
            second_copies: false,
            conn_idle: 15.0,
            connect_timeout: 0.25,
        }
    }
}

impl LimitsObject {
    fn into_limits(self) -> Limits {
        Limits {
            max_attempts: self.max_attempts,
            retry_budget_ratio: DEFAULT_RETRY_BUDGET_RATIO,
            max_retry_after: if self.retry_after {
                self.max_retry_after
            } else {
                0.0
            },
            can_cancel: self.cancelling,
            can_health_check: self.may_probe,
            can_hedge: self.second_copies,
            idle_connection_timeout: self.conn_idle,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct RulesObject {
    drain_grace: f64,
    cold_from: f64,
    warm_after: f64,
    overload_factor: f64,
    tip_after: f64,
    must_ask_in: f64,
    answer_slack: f64,
}

impl Default for RulesObject {
    fn default() -> Self {
        RulesObject {
            drain_grace: 0.0,
            cold_from: 0.1,
            warm_after: 30.0,
            overload_factor: 2.0,
            tip_after: 1.0,
            must_ask_in: 10.0,
            answer_slack: 0.005,
        }
    }
}

impl RulesObject {
    fn into_rules(self) -> Rules {
        Rules {
            drain_grace: self.drain_grace,
            initial_capacity: self.cold_from,
            slow_start_duration: self.warm_after,
            overload_factor: self.overload_factor,
            overload_window: self.tip_after,
            max_poll_interval: self.must_ask_in,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct CostsObject {
    cross_zone: f64,
    waste: f64,
    probe: f64,
    handshake: f64,
}

impl CostsObject {
    fn into_costs(self) -> Costs {
        Costs {
            cross_zone: self.cross_zone,
            wasted_work: self.waste,
            health_check: self.probe,
            new_connection: self.handshake,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct ObjectiveObject {
    whole: f64,
    worst_window: f64,
    worst_class: f64,
    worst_tenant: f64,
}

impl ObjectiveObject {
    fn into_objective(self) -> Objective {
        Objective {
            overall: self.whole + self.worst_window,
            worst_class: self.worst_class,
            worst_tenant: self.worst_tenant,
        }
    }
}

#[derive(Deserialize, Default)]
struct LoadReportsObject {
    #[serde(default)]
    via: String,
}

impl LoadReportsObject {
    fn into_load_reports(self) -> LoadReports {
        match self.via.as_str() {
            "piggyback" => LoadReports::Piggybacked,
            "pull" => LoadReports::WithHealthChecks,
            _ => LoadReports::Absent,
        }
    }
}

fn one() -> f64 {
    1.0
}

fn one_node() -> u32 {
    1
}

fn millisecond() -> f64 {
    1e-3
}
