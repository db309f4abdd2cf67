//! The state that one balancer hands over to its successor. Different versions of the program exchange it, so the
//! serialized names must not change.

use super::Time;
use serde::{Deserialize, Serialize};

/// What a balancer has learned about one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    /// Identifies the server, as [`Endpoint::hash`](super::Endpoint::hash) does.
    pub hash: u64,
    /// As [`Endpoint::started_at`](super::Endpoint::started_at). What was learned about one start of a server does not
    /// apply to another.
    #[serde(rename = "ready_at")]
    pub started_at: Time,
    /// Its probability in the automaton, as a multiple of the mean.
    #[serde(rename = "share")]
    pub relative_probability: f64,
    /// Its running average of response times, in seconds.
    #[serde(rename = "average")]
    pub mean_response: Time,
    /// Work that it may still be sent during its slow start, in seconds on a standard core.
    #[serde(rename = "budget")]
    pub slow_start_credit: f64,
    /// How much longer it is ejected, in seconds; 0 if it is not.
    #[serde(rename = "out_for")]
    pub ejected_for: Time,
}

/// What a balancer has learned about its servers and requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// The state of each listed server.
    pub servers: Vec<LearnedServer>,
    /// Typical work of a request by class, in seconds on a standard core.
    pub class_work: Vec<f64>,
    /// Typical work of a request over all classes, in seconds on a standard core.
    #[serde(rename = "typical")]
    pub typical_work: f64,
    /// Mean response time of servers with short queues, in seconds.
    #[serde(rename = "base")]
    pub unloaded_response: Time,
    /// The greatest work rate that a warm server has recently sustained, in standard cores.
    #[serde(rename = "bearable")]
    pub sustainable_work_rate: f64,
    /// Fraction of the offered work that is admitted.
    #[serde(rename = "admit")]
    pub admitted_fraction: f64,
    /// Weight of servers in other zones, relative to servers in the node's zone.
    #[serde(rename = "spill")]
    pub zone_spill_weight: f64,
}
