//! Management requests that concern all nodes of a fleet.

use super::fields::{decode_name, encode_name, require_method};
use super::http_target::HttpTarget;
use crate::error::RequestError;

/// The author of a request that names none.
const ANONYMOUS: &str = "operator";

/// A request that concerns all nodes of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRequest {
    /// The members of the fleet.
    Members,
    /// The entries that hold.
    Verdicts,
    /// What is known of this server, and which node reported it.
    Explain(String),
    /// Ban this server on all nodes.
    Ban {
        /// The server.
        server: String,
        /// How long the ban holds; until it is lifted if none.
        seconds: Option<u32>,
        /// The author of the request.
        by: String,
    },
    /// Lift the bans of this server on all nodes.
    Lift {
        /// The server.
        server: String,
        /// The author of the request.
        by: String,
    },
    /// The holders of all leases.
    Leases,
    /// The node that receives this releases a lease, for another one to acquire it.
    Release {
        /// The lease.
        lease: String,
        /// Why it is released.
        reason: String,
    },
}

impl FleetRequest {
    /// The method and path of the request.
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

    /// Parses what follows `/-/fleet/`.
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

/// The author of the request, by its query.
fn parse_author(query: &str) -> Result<String, RequestError> {
    query_value(query, "by").map_or(Ok(ANONYMOUS.to_owned()), decode_name)
}

/// The first value of a parameter of the query, still encoded.
fn query_value<'a>(query: &'a str, parameter: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(name, _)| *name == parameter)
        .map(|(_, value)| value)
}
