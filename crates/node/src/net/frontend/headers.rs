//! The headers of requests that the node reads, sets or removes.

use super::error::RequestError;
pub(super) use crate::net::message::CORRELATION_ID;
use crate::net::upstream::TIME_LEFT;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use reelfall_balancer::interface::Time;
use reelfall_balancer::settings::stable_hash;

pub(super) const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
pub(super) const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// The cookie that holds the affinity key of a request.
const AFFINITY_COOKIE: &str = "key";
/// Headers that concern one connection or the framing of one message; they are not forwarded, in either direction.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// The value of a header as text; `None` if it is absent or not visible ASCII.
pub(in crate::net) fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The id of a request.
pub(super) fn correlation_id(headers: &HeaderMap) -> Result<&[u8], RequestError> {
    let mut ids = headers.get_all(&CORRELATION_ID).iter();
    let id = ids
        .next()
        .map(HeaderValue::as_bytes)
        .filter(|id| !id.is_empty());
    match (id, ids.next()) {
        (Some(id), None) => Ok(id),
        (_, Some(_)) => Err(RequestError::RepeatedCorrelationId),
        (None, None) => Err(RequestError::MissingCorrelationId),
    }
}

/// How long the client still waits, in seconds, if a header states it.
pub(in crate::net) fn time_left(headers: &HeaderMap) -> Result<Option<Time>, RequestError> {
    let Some(time_left) = headers.get(TIME_LEFT) else {
        return Ok(None);
    };
    let seconds = time_left
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    seconds
        .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)
        .map(Some)
        .ok_or(RequestError::InvalidTimeLeft)
}

/// The client's estimate of the work, in seconds; the header states microseconds.
pub(super) fn work_hint(headers: &HeaderMap) -> Option<Time> {
    header_text(headers, &WEIGHT_HINT)
        .and_then(|text| text.trim().parse::<f64>().ok())
        .map(|microseconds| microseconds / 1e6)
}

/// The hash of the affinity key, if a cookie holds one.
pub(super) fn affinity_key(headers: &HeaderMap) -> Option<u64> {
    headers
        .get_all(header::COOKIE)
        .iter()
        .find_map(affinity_cookie)
        .map(stable_hash)
}

fn affinity_cookie(cookies: &HeaderValue) -> Option<&str> {
    let mut pairs = cookies
        .to_str()
        .ok()?
        .split(';')
        .filter_map(|pair| pair.trim().split_once('='));
    pairs
        .find(|(name, _)| *name == AFFINITY_COOKIE)
        .map(|(_, value)| value)
}

/// Removes the headers that concern one connection only, including those that `Connection` names.
pub(in crate::net) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CORRELATION_ID && *name != IDEMPOTENCY_KEY)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}
