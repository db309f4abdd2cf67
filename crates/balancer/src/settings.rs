//! The settings object and the names in it, read alike by the node and by the adapter.

use crate::interface::*;
use serde::Deserialize;
use std::collections::HashMap;

/// Retries earned by each first attempt where the settings state no other: a sick fleet gets at most this much on
/// top.
pub const RETRY_SHARE: f64 = 0.2;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Category {
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

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantInfo {
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct ExtraInfo {
    warm_keys: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct LimitInfo {
    max_attempts: u32,
    max_retry_after: f64,
    retry_after: bool,
    cancelling: bool,
    may_probe: bool,
    second_copies: bool,
    conn_idle: f64,
    connect_timeout: f64,
}

impl Default for LimitInfo {
    fn default() -> Self {
        LimitInfo {
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

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct RuleInfo {
    drain_grace: f64,
    cold_from: f64,
    warm_after: f64,
    overload_factor: f64,
    tip_after: f64,
    must_ask_in: f64,
    answer_slack: f64,
}

impl Default for RuleInfo {
    fn default() -> Self {
        RuleInfo {
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

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct PriceInfo {
    cross_zone: f64,
    waste: f64,
    probe: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct GoalInfo {
    whole: f64,
    worst_window: f64,
    worst_class: f64,
    worst_tenant: f64,
}

#[derive(Deserialize, Default)]
struct ReportInfo {
    #[serde(default)]
    via: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Info {
    categories: Vec<Category>,
    #[serde(default)]
    tenants: Vec<TenantInfo>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    extra: ExtraInfo,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    locality: Option<String>,
    #[serde(default)]
    limits: LimitInfo,
    #[serde(default)]
    rules: RuleInfo,
    #[serde(default)]
    prices: PriceInfo,
    #[serde(default)]
    goal: GoalInfo,
    #[serde(default)]
    report: ReportInfo,
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

fn one() -> f64 {
    1.0
}

fn one_node() -> u32 {
    1
}

fn millisecond() -> f64 {
    1e-3
}

/// FNV-1a: short names, and the same value on every node.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Gives names small dense numbers in the order of their first appearance.
#[derive(Default)]
pub struct Names {
    ids: HashMap<String, u32>,
    list: Vec<String>,
    free: Vec<u32>,
}

impl Names {
    fn of(items: impl IntoIterator<Item = String>) -> Self {
        let mut names = Names::default();
        for item in items {
            names.intern(&item);
        }
        names
    }

    /// The number of a name, new if it was not heard before, or that of one that was released.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.free.pop().unwrap_or(self.list.len() as u32);
        self.ids.insert(name.to_owned(), id);
        match self.list.get_mut(id as usize) {
            Some(place) => name.clone_into(place),
            None => self.list.push(name.to_owned()),
        }
        id
    }

    /// Forgets a name whose number nothing holds any more; a later name gets the number.
    pub fn release(&mut self, id: u32) {
        let name = self
            .list
            .get_mut(id as usize)
            .map(std::mem::take)
            .unwrap_or_default();
        if self.ids.remove(&name).is_some() {
            self.free.push(id);
        }
    }

    /// The number of a name of which there can be few, as a zone; past those, of the first.
    fn one_of_few(&mut self, name: &str) -> u16 {
        const FEW: usize = 1024;
        if self.list.len() >= FEW && !self.ids.contains_key(name) {
            return 0;
        }
        self.intern(name) as u16
    }

    /// The number of a name, if it was heard before.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// The name behind a number.
    pub fn name(&self, id: u32) -> Option<&str> {
        self.list.get(id as usize).map(String::as_str)
    }
}

/// Every name that one balancer has heard.
pub struct Vocabulary {
    /// Servers, by their names in the list.
    pub servers: Names,
    /// Classes, by their place in [`Settings::classes`].
    pub classes: Names,
    /// Tenants, by their place in [`Settings::tenants`].
    pub tenants: Names,
    zones: Names,
    kinds: Names,
}

/// One line of the server list, still in words.
pub struct Listed<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: Option<&'a str>,
    /// Its machine kind.
    pub kind: Option<&'a str>,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Listed weight.
    pub weight: Option<f64>,
    /// When it last started.
    pub ready_at: Option<f64>,
}

impl Vocabulary {
    /// The names of classes and tenants, in the order of the settings.
    pub fn new(
        classes: impl IntoIterator<Item = String>,
        tenants: impl IntoIterator<Item = String>,
    ) -> Self {
        Vocabulary {
            servers: Names::default(),
            classes: Names::of(classes),
            tenants: Names::of(tenants),
            zones: Names::default(),
            kinds: Names::default(),
        }
    }

    /// The number of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.zones.one_of_few(name)
    }

    /// A line of the list as the balancer takes it.
    pub fn entry(&mut self, line: &Listed) -> Entry {
        Entry {
            server: self.servers.intern(line.name),
            hash: stable_hash(line.name),
            zone: line.zone.map_or(0, |z| self.zones.one_of_few(z)),
            kind: line.kind.map_or(0, |k| self.kinds.one_of_few(k)),
            cell: line.cell,
            state: line.state,
            weight: line.weight.unwrap_or(1.0),
            ready_at: line.ready_at.unwrap_or(0.0),
            sharers: 1,
        }
    }

    /// The tenant of that name, if the settings name it.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(|t| t as TenantId)
    }
}

/// What concerns only a node on sockets.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A connection not up by then counts as not to be had.
    pub connect_timeout: Time,
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack: Time,
}

/// Whether a balancer can work with these settings from this moment on.
///
/// # Errors
/// Says which of them cannot be used.
pub(crate) fn check(settings: &Settings, now: Time) -> Result<(), String> {
    if settings.classes.is_empty() {
        return Err("there are no classes".into());
    }
    let fine = |x: f64| x.is_finite() && x > 0.0;
    if let Some(i) = settings
        .classes
        .iter()
        .position(|c| !fine(c.deadline) || !fine(c.aim))
    {
        return Err(format!("class {i} has no usable aim and deadline"));
    }
    if !now.is_finite() || settings.limits.max_attempts == 0 || settings.replicas == 0 {
        return Err("clock, attempts and replicas must be positive numbers".into());
    }
    Ok(())
}

/// Reads a settings object.
///
/// # Errors
/// Says what in it cannot be used.
pub fn read(json: &str) -> Result<(Settings, Vocabulary, Figures), String> {
    let info: Info = serde_json::from_str(json).map_err(|e| e.to_string())?;
    let mut zones = Names::of(info.failure_domains);
    let classes = info.categories.iter().map(|c| {
        let effect = match c.effect.as_str() {
            "idempotent" => Effect::Idempotent,
            "deduplicated" => Effect::Keyed {
                group: match c.key_scope.as_str() {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    _ => Group::Cell,
                },
                window: c.dedup_window,
            },
            _ => Effect::AtMostOnce,
        };
        Class {
            aim: c.promise,
            deadline: c.deadline,
            worth: c.worth,
            late_value: c.late_value,
            effect,
            streamed: c.streamed,
        }
    });
    let limits = Limits {
        max_attempts: info.limits.max_attempts,
        retry_share: RETRY_SHARE,
        max_retry_after: if info.limits.retry_after {
            info.limits.max_retry_after
        } else {
            0.0
        },
        cancelling: info.limits.cancelling,
        may_probe: info.limits.may_probe,
        second_copies: info.limits.second_copies,
        conn_idle: info.limits.conn_idle,
    };
    let r = info.rules;
    let settings = Settings {
        classes: classes.collect(),
        tenants: info
            .tenants
            .iter()
            .map(|t| Tenant { quota: t.quota_rps })
            .collect(),
        zone: info.locality.map(|z| zones.intern(&z) as ZoneId),
        replicas: info.replicas_of_me,
        number: info.my_number,
        discovery: if info.discovery == "ask" {
            Discovery::Ask
        } else {
            Discovery::Push
        },
        reports: match info.report.via.as_str() {
            "piggyback" => Reports::Piggyback,
            "pull" => Reports::Pull,
            _ => Reports::Silent,
        },
        limits,
        rules: Rules {
            drain_grace: r.drain_grace,
            cold_from: r.cold_from,
            warm_after: r.warm_after,
            overload_factor: r.overload_factor,
            tip_after: r.tip_after,
            must_ask_in: r.must_ask_in,
        },
        prices: Prices {
            cross_zone: info.prices.cross_zone,
            waste: info.prices.waste,
            probe: info.prices.probe,
            handshake: info.prices.handshake,
        },
        goal: Goal {
            overall: info.goal.whole + info.goal.worst_window,
            worst_class: info.goal.worst_class,
            worst_tenant: info.goal.worst_tenant,
        },
        over_share_worth: info.over_share_worth,
        worth_by_work: info.value_by == "work",
        warm_keys: info.extra.warm_keys,
        weighted: info.weight_kind != "silent",
        tick: info.tick,
    };
    let figures = Figures {
        connect_timeout: info.limits.connect_timeout,
        answer_slack: r.answer_slack,
    };
    let names = Vocabulary {
        servers: Names::default(),
        classes: Names::of(info.categories.into_iter().map(|c| c.name)),
        tenants: Names::of(info.tenants.into_iter().map(|t| t.name)),
        zones,
        kinds: Names::of(info.kinds),
    };
    Ok((settings, names, figures))
}
