//! What one balancer hands over to the next. Two versions of the program may exchange it, so the serialized names stay.

use super::Time;
use serde::{Deserialize, Serialize};

/// What a balancer has learned about one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    /// As in [`Endpoint::hash`](super::Endpoint::hash).
    pub hash: u64,
    /// As in [`Endpoint::started_at`](super::Endpoint::started_at); what was learned of an earlier start does not apply.
    #[serde(rename = "ready_at")]
    pub started_at: Time,
    /// Its sending probability as a multiple of the mean.
    #[serde(rename = "share")]
    pub relative_probability: f64,
    /// Its running average of response times, in seconds.
    #[serde(rename = "average")]
    pub mean_response: Time,
    /// Work that it may still be sent during its slow start, in seconds on a standard core.
    #[serde(rename = "budget")]
    pub slow_start_credit: f64,
    /// For how much longer it is ejected, in seconds.
    #[serde(rename = "out_for")]
    pub ejected_for: Time,
}

/// What a balancer has learned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// About each server.
    pub servers: Vec<LearnedServer>,
    /// Typical work of a request by class, in seconds on a standard core.
    pub class_work: Vec<f64>,
    /// The same over all classes.
    #[serde(rename = "typical")]
    pub typical_work: f64,
    /// Mean response time of servers with short queues, in seconds.
    #[serde(rename = "base")]
    pub unloaded_response: Time,
    /// The greatest work per second that a warm server was seen to sustain.
    #[serde(rename = "bearable")]
    pub sustainable_work_rate: f64,
    /// Fraction of requests that are admitted.
    #[serde(rename = "admit")]
    pub admitted_fraction: f64,
    /// Weight of servers outside the node's zone.
    #[serde(rename = "spill")]
    pub zone_spill_weight: f64,
}
