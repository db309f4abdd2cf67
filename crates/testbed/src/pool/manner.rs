//! How a server treats its requests.

use hyper::http::request::Parts;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// How a server treats its requests; each part can be changed while it runs.
#[derive(Clone, Debug)]
pub struct Manner {
    /// How long a request occupies a worker.
    pub service: Duration,
    /// Share of requests that are answered with 500 at once, after their effect.
    pub fail: f64,
    /// Share that are turned away unseen: 503 with `X-Unprocessed`.
    pub shed: f64,
    /// Share whose connection is closed before any effect.
    pub die_before: f64,
    /// Share whose connection is closed after the effect, without an answer.
    pub die_after: f64,
    /// Nothing goes on while this is set.
    pub frozen: bool,
    /// Bytes of an answer's body beyond the id.
    pub padding: usize,
    /// Share of answers that are spoilt, after their effect.
    pub spoilt: f64,
    /// How they are spoilt.
    pub spoil: Spoil,
}

/// Ways to spoil an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// Half of it, plainly framed.
    Half,
    /// Something else that is no answer.
    Noise,
    /// An answer that somebody else asked for.
    Other,
}

/// What an application makes of a request.
pub struct Done {
    /// Ids of the effects that it has.
    pub effects: Vec<String>,
    /// The status of its answer.
    pub status: StatusCode,
    /// Its body.
    pub body: String,
    /// What becomes of it.
    pub end: End,
}

/// What becomes of a request, where its application decides that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As the server's manner has it.
    Manner,
    /// The connection is closed before any effect.
    DieBefore,
    /// It is closed after the effect, without an answer.
    DieAfter,
    /// It is closed after the effect and half of the answer.
    CutAnswer,
}

/// What runs on a server: from the head and the body of a request to what is done.
pub type App = Arc<dyn Fn(&Parts, &[u8]) -> Done + Send + Sync>;

impl Manner {
    /// Serves each request in this time and never fails.
    pub fn good(service: Duration) -> Manner {
        Manner {
            service,
            fail: 0.0,
            shed: 0.0,
            die_before: 0.0,
            die_after: 0.0,
            frozen: false,
            padding: 0,
            spoilt: 0.0,
            spoil: Spoil::Half,
        }
    }
}
