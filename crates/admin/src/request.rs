//! Requests on the management address.

mod fields;
mod fleet;
mod http_target;

pub use crate::error::{RequestError, MAX_NAME_LEN};
pub use fleet::FleetRequest;
pub use http_target::HttpTarget;

use fields::{decode_name, encode_name, require_method};

/// The path below which all management requests are.
const ROOT: &str = "/-/";

/// A request on the management address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManagementRequest {
    /// Report whether the process can serve.
    Ready,
    /// Report the counts of events of requests.
    Metrics,
    /// Ban the server with this name at this node.
    Disable(String),
    /// Lift the ban of the server with this name at this node.
    Enable(String),
    /// Drain the node.
    Drain,
    /// End the drain.
    Resume,
    /// A request that concerns all nodes of a fleet.
    Fleet(FleetRequest),
}

impl ManagementRequest {
    /// Parses a request. `path` may have a query, which only fleet requests use.
    ///
    /// # Errors
    /// If the path is unknown, its method is another one, or a parameter is invalid.
    pub fn parse(method: &str, path: &str) -> Result<Self, RequestError> {
        let path_and_query = path;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let rest = path.strip_prefix(ROOT).ok_or(RequestError::UnknownPath)?;
        match rest {
            "ready" => return require_method(method, "GET").map(|()| Self::Ready),
            "metrics" => return require_method(method, "GET").map(|()| Self::Metrics),
            "drain" => return require_method(method, "POST").map(|()| Self::Drain),
            "resume" => return require_method(method, "POST").map(|()| Self::Resume),
            _ => {}
        }
        if let Some(rest) = rest.strip_prefix("fleet/") {
            let query = path_and_query
                .split_once('?')
                .map_or("", |(_, query)| query);
            return FleetRequest::parse(method, rest, query).map(Self::Fleet);
        }
        let rest = rest
            .strip_prefix("servers/")
            .ok_or(RequestError::UnknownPath)?;
        Self::parse_server_request(method, rest)
    }

    /// Parses what follows `/-/servers/`.
    fn parse_server_request(method: &str, rest: &str) -> Result<Self, RequestError> {
        // Split before decoding, so that a name may contain a slash, encoded as %2F.
        let (encoded_name, verb) = rest.rsplit_once('/').ok_or(RequestError::UnknownPath)?;
        let variant = match verb {
            "disable" => Self::Disable,
            "enable" => Self::Enable,
            _ => return Err(RequestError::UnknownPath),
        };
        if encoded_name.contains('/') {
            return Err(RequestError::UnknownPath);
        }
        require_method(method, "POST")?;
        decode_name(encoded_name).map(variant)
    }

    /// Formats the request as the method and path that [`ManagementRequest::parse`] accepts.
    pub fn to_http(&self) -> HttpTarget {
        match self {
            Self::Ready => HttpTarget::get("/-/ready"),
            Self::Metrics => HttpTarget::get("/-/metrics"),
            Self::Disable(name) => {
                HttpTarget::post(format!("/-/servers/{}/disable", encode_name(name)))
            }
            Self::Enable(name) => {
                HttpTarget::post(format!("/-/servers/{}/enable", encode_name(name)))
            }
            Self::Drain => HttpTarget::post("/-/drain"),
            Self::Resume => HttpTarget::post("/-/resume"),
            Self::Fleet(request) => request.to_http(),
        }
    }
}
