//! Management requests that concern all nodes of a fleet.

use super::fields::{decode_name, encode_name, require_method};
use super::http_target::HttpTarget;
use crate::error::RequestError;

/// The author of a request whose query names none.
const ANONYMOUS: &str = "operator";

/// A request that concerns all nodes of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRequest {
    /// List the members of the fleet.
    Members,
    /// List the unexpired entries of the fleet: reports, bans, departures and list indexes.
    Verdicts,
    /// Report what the nodes know of the server with this name.
    Explain(String),
    /// Ban a server on all nodes.
    Ban {
        /// The server.
        server: String,
        /// Duration of the ban, in seconds; `None` until it is lifted.
        seconds: Option<u32>,
        /// The author of the request.
        by: String,
    },
    /// Lift all bans of a server on all nodes.
    Lift {
        /// The server.
        server: String,
        /// The author of the request.
        by: String,
    },
    /// List the leases and their holders.
    Leases,
    /// Make the node that receives the request release a lease, so that another node can acquire it.
    Release {
        /// The name of the lease.
        lease: String,
        /// The reason, for the node's log.
        reason: String,
    },
}

impl FleetRequest {
    /// Formats the request as a method and a path.
    pub fn to_http(&self) -> HttpTarget {
        match self {
            Self::Members => HttpTarget::get("/-/fleet/members"),
            Self::Verdicts => HttpTarget::get("/-/fleet/verdicts"),
            Self::Explain(server) => {
                HttpTarget::get(format!("/-/fleet/servers/{}", encode_name(server)))
            }
            Self::Leases => HttpTarget::get("/-/fleet/leases"),
            Self::Release { lease, reason } => {
                let (lease, reason) = (encode_name(lease), encode_name(reason));
                HttpTarget::post(format!("/-/fleet/leases/{lease}/release?why={reason}"))
            }
            Self::Ban {
                server,
                seconds,
                by,
            } => {
                let (server, by) = (encode_name(server), encode_name(by));
                let duration =
                    seconds.map_or_else(String::new, |seconds| format!("&for={seconds}"));
                HttpTarget::post(format!("/-/fleet/servers/{server}/ban?by={by}{duration}"))
            }
            Self::Lift { server, by } => {
                let (server, by) = (encode_name(server), encode_name(by));
                HttpTarget::post(format!("/-/fleet/servers/{server}/lift?by={by}"))
            }
        }
    }

    /// Parses a request from the path after `/-/fleet/` and the query.
    pub(super) fn parse(method: &str, rest: &str, query: &str) -> Result<Self, RequestError> {
        match rest {
            "members" => return require_method(method, "GET").map(|()| Self::Members),
            "verdicts" => return require_method(method, "GET").map(|()| Self::Verdicts),
            "leases" => return require_method(method, "GET").map(|()| Self::Leases),
            _ => {}
        }
        if let Some(lease) = rest
            .strip_prefix("leases/")
            .and_then(|rest| rest.strip_suffix("/release"))
        {
            return Self::parse_release(method, lease, query);
        }
        let rest = rest
            .strip_prefix("servers/")
            .ok_or(RequestError::UnknownPath)?;
        match rest.split_once('/') {
            None => Self::parse_explain(method, rest),
            Some((server, "ban")) => Self::parse_ban(method, server, query),
            Some((server, "lift")) => Self::parse_lift(method, server, query),
            Some(_) => Err(RequestError::UnknownPath),
        }
    }

    fn parse_release(method: &str, lease: &str, query: &str) -> Result<Self, RequestError> {
        let reason = query_value(query, "why").map_or(Ok(String::new()), decode_name)?;
        let lease = decode_name(lease)?;
        require_method(method, "POST")?;
        Ok(Self::Release { lease, reason })
    }

    fn parse_explain(method: &str, server: &str) -> Result<Self, RequestError> {
        let server = decode_name(server)?;
        require_method(method, "GET")?;
        Ok(Self::Explain(server))
    }

    fn parse_ban(method: &str, server: &str, query: &str) -> Result<Self, RequestError> {
        let seconds = query_value(query, "for").map(str::parse::<u32>).transpose();
        let seconds = seconds.map_err(|_| RequestError::InvalidDuration)?;
        let server = decode_name(server)?;
        let by = parse_author(query)?;
        require_method(method, "POST")?;
        Ok(Self::Ban {
            server,
            seconds,
            by,
        })
    }

    fn parse_lift(method: &str, server: &str, query: &str) -> Result<Self, RequestError> {
        let server = decode_name(server)?;
        let by = parse_author(query)?;
        require_method(method, "POST")?;
        Ok(Self::Lift { server, by })
    }
}

/// The author in the query, or [`ANONYMOUS`].
fn parse_author(query: &str) -> Result<String, RequestError> {
    query_value(query, "by").map_or(Ok(ANONYMOUS.to_owned()), decode_name)
}

/// The first value of a parameter of the query, not decoded.
fn query_value<'a>(query: &'a str, parameter: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(name, _)| *name == parameter)
        .map(|(_, value)| value)
}
