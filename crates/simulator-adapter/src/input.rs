//! Parses input lines. Their field names and keywords are those of the protocol; no other module depends on them.

use reelfall_balancer::interface::{LoadReport, Outcome, ServerState, Time, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use serde::Deserialize;
use std::borrow::Cow;
use thiserror::Error;

/// Why an input line was rejected.
#[derive(Debug, Error)]
pub enum InputError {
    /// The line is not valid JSON, or a field has the wrong type.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The line is outside of a batch.
    #[error("`{0}` before `tick`")]
    OutsideBatch(String),
    /// A batch starts inside another one.
    #[error("`tick` inside a batch")]
    NestedBatch,
    /// A field that this kind of line requires is missing.
    #[error("field `{0}` is missing")]
    MissingField(&'static str),
    /// The server was in none of the endpoint lists received so far.
    #[error("unknown server")]
    UnknownServer,
    /// The kind of a list update is unknown.
    #[error("unknown list kind `{0}`")]
    UnknownUpdateKind(String),
    /// The outcome of an attempt is unknown.
    #[error("unknown outcome `{0}`")]
    UnknownOutcome(String),
}

/// A string that borrows from its line unless it contains escapes.
#[derive(Deserialize)]
pub(crate) struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl Text<'_> {
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

/// The kind of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// The first line of a batch, with its time.
    BatchStart,
    /// The last line of a batch.
    BatchEnd,
    /// Creates a balancer.
    InstanceStart,
    /// Removes a balancer.
    InstanceEnd,
    EndpointUpdate,
    Request,
    AttemptEnded,
    ResponseStarted,
    ClientGone,
    Timer,
    HealthChecked,
}

impl LineKind {
    /// Parses the keyword of a kind; `None` for an unknown one. Later protocol versions may add kinds, which are ignored.
    pub(crate) fn parse(keyword: &str) -> Option<Self> {
        Some(match keyword {
            "tick" => LineKind::BatchStart,
            "commit" => LineKind::BatchEnd,
            "power-on" => LineKind::InstanceStart,
            "destroy" => LineKind::InstanceEnd,
            "members" => LineKind::EndpointUpdate,
            "req" => LineKind::Request,
            "report-back" => LineKind::AttemptEnded,
            "first-byte" => LineKind::ResponseStarted,
            "left" => LineKind::ClientGone,
            "fired" => LineKind::Timer,
            "probed" => LineKind::HealthChecked,
            _ => return None,
        })
    }

    /// The kind of a line whose other fields may be invalid.
    pub(crate) fn of_malformed(line: &str) -> Result<Option<Self>, serde_json::Error> {
        #[derive(Deserialize)]
        struct KindOnly<'a> {
            #[serde(borrow)]
            what: Text<'a>,
        }
        let line: KindOnly = serde_json::from_str(line)?;
        Ok(Self::parse(line.what.as_str()))
    }
}

/// A line of any kind; which fields are present depends on the kind.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Line<'a> {
    #[serde(borrow, rename = "what")]
    kind: Text<'a>,
    at_time: Option<Time>,
    node: Option<u32>,
    salt: Option<u64>,
    #[serde(borrow)]
    info: Option<&'a serde_json::value::RawValue>,
    how: Option<Text<'a>>,
    records: Option<Vec<Record<'a>>>,
    id: Option<u32>,
    expected: Option<f64>,
    #[serde(rename = "kind")]
    class: Option<Text<'a>>,
    client_group: Option<serde_json::Value>,
    left: Option<Time>,
    affinity: Option<Text<'a>>,
    attempt: Option<u32>,
    server: Option<Text<'a>>,
    status: Option<Text<'a>>,
    wait_time: Option<Time>,
    #[serde(default)]
    ended: bool,
    metrics: Option<Metrics>,
    tag: Option<Text<'a>>,
}

fn required<'a, T>(field: &'a Option<T>, name: &'static str) -> Result<&'a T, InputError> {
    field.as_ref().ok_or(InputError::MissingField(name))
}

impl Line<'_> {
    pub(crate) fn kind_keyword(&self) -> &str {
        self.kind.as_str()
    }

    pub(crate) fn time(&self) -> Result<Time, InputError> {
        required(&self.at_time, "at-time").copied()
    }

    pub(crate) fn instance(&self) -> Result<u32, InputError> {
        required(&self.node, "node").copied()
    }

    pub(crate) fn settings(&self) -> Result<&str, InputError> {
        required(&self.info, "info").map(|object| object.get())
    }

    pub(crate) fn seed(&self) -> Result<u64, InputError> {
        required(&self.salt, "salt").copied()
    }

    pub(crate) fn update_kind(&self) -> Result<UpdateKind, InputError> {
        match required(&self.how, "how")?.as_str() {
            "delta" => Ok(UpdateKind::Delta),
            "full" => Ok(UpdateKind::Snapshot),
            "cached" => Ok(UpdateKind::Cached),
            "failed" => Ok(UpdateKind::Failed),
            other => Err(InputError::UnknownUpdateKind(other.to_owned())),
        }
    }

    pub(crate) fn endpoints(&self) -> impl Iterator<Item = ListedEndpoint<'_>> {
        self.records.iter().flatten().map(Record::to_endpoint)
    }

    pub(crate) fn request(&self) -> Result<u32, InputError> {
        required(&self.id, "id").copied()
    }

    pub(crate) fn class(&self) -> Result<&str, InputError> {
        required(&self.class, "kind").map(Text::as_str)
    }

    pub(crate) fn tenant(&self) -> Option<&str> {
        self.client_group.as_ref().and_then(|group| group.as_str())
    }

    pub(crate) fn work_hint(&self) -> Option<f64> {
        self.expected
    }

    pub(crate) fn affinity_key(&self) -> Option<&str> {
        self.affinity.as_ref().map(Text::as_str)
    }

    pub(crate) fn remaining(&self) -> Result<Time, InputError> {
        required(&self.left, "left").copied()
    }

    pub(crate) fn attempt(&self) -> Result<u32, InputError> {
        required(&self.attempt, "attempt").copied()
    }

    pub(crate) fn server(&self) -> Result<&str, InputError> {
        required(&self.server, "server").map(Text::as_str)
    }

    pub(crate) fn outcome(&self) -> Result<Outcome, InputError> {
        match required(&self.status, "status")?.as_str() {
            "delivered" => Ok(Outcome::Served),
            "app_error" => Ok(Outcome::Error),
            "shed" => Ok(Outcome::Rejected),
            "expired" => Ok(Outcome::TimedOut),
            "dial_failed" => Ok(Outcome::ConnectFailed),
            "dropped" => Ok(Outcome::ConnectionLost),
            "revoked" => Ok(Outcome::Cancelled),
            "unused" => Ok(Outcome::NotSent),
            other => Err(InputError::UnknownOutcome(other.to_owned())),
        }
    }

    pub(crate) fn latency(&self) -> Result<Time, InputError> {
        required(&self.wait_time, "wait-time").copied()
    }

    pub(crate) fn request_ended(&self) -> bool {
        self.ended
    }

    pub(crate) fn load(&self) -> Option<LoadReport> {
        self.metrics.as_ref().map(Metrics::to_load_report)
    }

    /// The tag of a timer; `None` if it is not a number, since no balancer sets such a timer.
    pub(crate) fn timer_tag(&self) -> Result<Option<u64>, InputError> {
        Ok(required(&self.tag, "tag")?.as_str().parse().ok())
    }
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Record<'a> {
    #[serde(borrow)]
    server: Text<'a>,
    rack_zone: Option<Text<'a>>,
    generation_hw: Option<Text<'a>>,
    #[serde(default)]
    cluster: u32,
    mode: Option<Text<'a>>,
    capacity_hint: Option<f64>,
    ready_at: Option<Time>,
}

impl Record<'_> {
    fn to_endpoint(&self) -> ListedEndpoint<'_> {
        ListedEndpoint {
            name: self.server.as_str(),
            zone: self.rack_zone.as_ref().map(Text::as_str),
            machine_type: self.generation_hw.as_ref().map(Text::as_str),
            cell: self.cluster,
            state: match self.mode.as_ref().map(Text::as_str) {
                Some("L") => ServerState::Draining,
                Some("D") => ServerState::Removed,
                _ => ServerState::Up,
            },
            weight: self.capacity_hint,
            started_at: self.ready_at,
        }
    }
}

/// A load report of a server.
#[derive(Deserialize)]
struct Metrics {
    active: Option<f64>,
    waiting: Option<f64>,
    cpu: Option<f64>,
    avg_ms: Option<f64>,
}

impl Metrics {
    fn to_load_report(&self) -> LoadReport {
        const MILLISECONDS_PER_SECOND: f64 = 1e3;
        LoadReport {
            in_flight: self.active,
            queued: self.waiting,
            utilization: self.cpu,
            service_time: self.avg_ms.map(|time| time / MILLISECONDS_PER_SECOND),
        }
    }
}
