//! Translation between the heads of requests and the terms of the engine.

use super::Front;
use crate::net::body::Payload;
use crate::net::client::Client;
use crate::net::message::{Arrival, Message};
use crate::net::pool::Pool;
use crate::net::service::Service;
use crate::net::shared::{MemoryPermit, OpenId, Permit};
use crate::net::upstream::TIME_LEFT;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use reelfall_balancer::interface::{ClassId, Idempotency, Time};
use reelfall_balancer::settings::stable_hash;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A body that flows is given up after this time: the largest at the slowest, and a little.
const FLOW_WITHIN: Duration = Duration::from_secs(900);

const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
pub(super) const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that concern one connection or one message's framing; they end here, either way.
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
/// What is said of an id that is taken.
pub(in crate::net) const ID_OPEN: &str = "a request with this id is open\n";

/// A request's service, class and place among the open requests.
pub(in crate::net) struct AdmittedRequest {
    pub service: Rc<Service>,
    /// The class that the route assigns.
    pub assign: Option<ClassId>,
    /// It came by a route; on the platform, the one service has all.
    pub routed: bool,
    pub admitted: Option<Permit>,
}

impl Front {
    /// Puts a request's head into the module's terms.
    pub(super) fn translate(
        &self,
        chosen: AdmittedRequest,
        head: Parts,
        body: Payload,
        held: Option<MemoryPermit>,
        waiter: Rc<Client>,
    ) -> Result<(Message, Arrival), (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let AdmittedRequest {
            service,
            assign,
            routed,
            admitted,
        } = chosen;
        let pool = &service.pool;
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = head;
        if routed {
            self.ensure_correlation_id(&mut headers);
        }
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let names = pool.names.borrow();
        // A service with one class has no other; where there are more, a request that states none is not guessed at.
        let only = (routed && pool.classes.len() == 1 && !headers.contains_key(&SERVICE_CLASS))
            .then_some(0);
        let stated = || {
            text(&SERVICE_CLASS)
                .and_then(|name| names.classes.get(name))
                .map(|c| c as ClassId)
        };
        let class = assign
            .or(only)
            .or_else(stated)
            .ok_or(bad("unknown class\n"))?;
        let rules = pool
            .classes
            .get(usize::from(class))
            .ok_or(bad("unknown class\n"))?;
        if !method_fits(&method, rules.idempotency, routed) {
            return Err((
                StatusCode::METHOD_NOT_ALLOWED,
                "the class wants another method\n",
            ));
        }
        if method == Method::GET && !matches!(&body, Payload::Buffered(held) if held.is_empty()) {
            return Err(bad("a GET with a body\n"));
        }
        correlation_id(&headers).map_err(bad)?;
        if matches!(rules.idempotency, Idempotency::Keyed { .. })
            && text(&IDEMPOTENCY_KEY).is_none_or(str::is_empty)
        {
            return Err(bad("no Idempotency-Key\n"));
        }
        let left = time_left(&headers)
            .map_err(bad)?
            .map_or(rules.deadline, |left| left.min(rules.deadline));
        // The answer has to be back before the client's time is up: the slack that answers have in the rules
        // is what the way back and a late wake-up may take.
        let left = Duration::try_from_secs_f64(left - pool.connection_settings.response_slack)
            .unwrap_or_default();
        drop(names);
        let flows = body.streamed().map(|_| left);
        let due = Instant::now() + flows.map_or(left, |_| FLOW_WITHIN);
        let arrival = Arrival {
            class,
            flows,
            ..self.arrival(pool, &headers, due)
        };
        let path = uri.into_parts().path_and_query.ok_or(bad("no path\n"))?;
        let id = correlation_id(&headers).map_err(bad)?;
        let id = self
            .shared
            .claim_request_id(id)
            .ok_or((StatusCode::CONFLICT, ID_OPEN))?;
        strip_hop_by_hop(&mut headers);
        let message = Message {
            method,
            path,
            headers,
            body,
            _held: held.map(Rc::new),
            _id: id,
            _admitted: admitted,
            validator: None,
            waiter,
        };
        Ok((message, arrival))
    }

    /// What the module is told of a request by its headers; its class is the caller's to say.
    pub(in crate::net) fn arrival(
        &self,
        pool: &Pool,
        headers: &HeaderMap,
        deadline: Instant,
    ) -> Arrival {
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        Arrival {
            class: ClassId::MAX,
            tenant: text(&ACCOUNT).and_then(|name| pool.names.borrow().tenant(name)),
            hint: text(&WEIGHT_HINT)
                .and_then(|t| t.trim().parse::<f64>().ok())
                .map(|us| us / 1e6),
            key: headers
                .get_all(header::COOKIE)
                .iter()
                .find_map(routing_key)
                .map(stable_hash),
            deadline,
            flows: None,
        }
    }

    /// Gives a request an id if it came without.
    fn ensure_correlation_id(&self, headers: &mut HeaderMap) {
        if !headers.contains_key(&CORRELATION_ID) {
            if let Ok(id) = HeaderValue::try_from(format!("{:016x}", self.rng.next_u64())) {
                headers.insert(CORRELATION_ID, id);
            }
        }
    }

    /// Takes the id of a request, or of one entry of several, which has one made from it.
    pub(in crate::net) fn claim_correlation_id(
        &self,
        headers: &mut HeaderMap,
        place: Option<usize>,
    ) -> Result<OpenId, &'static str> {
        self.ensure_correlation_id(headers);
        if let Some(place) = place {
            let id = correlation_id(headers)?;
            let id = [id, format!(".{place}").as_bytes()].concat();
            let id = HeaderValue::from_bytes(&id).map_err(|_| "no X-Correlation-Id\n")?;
            headers.insert(CORRELATION_ID, id);
        }
        self.shared
            .claim_request_id(correlation_id(headers)?)
            .ok_or(ID_OPEN)
    }
}

/// The id of a request.
fn correlation_id(headers: &HeaderMap) -> Result<&[u8], &'static str> {
    let mut ids = headers.get_all(&CORRELATION_ID).iter();
    let id = ids
        .next()
        .map(HeaderValue::as_bytes)
        .filter(|id| !id.is_empty());
    match (id, ids.next()) {
        (Some(id), None) => Ok(id),
        (_, Some(_)) => Err("more than one X-Correlation-Id\n"),
        (None, None) => Err("no X-Correlation-Id\n"),
    }
}

/// How long a client waits, if it says so, in seconds.
pub(in crate::net) fn time_left(headers: &HeaderMap) -> Result<Option<Time>, &'static str> {
    let Some(left) = headers.get(TIME_LEFT) else {
        return Ok(None);
    };
    let left = left
        .to_str()
        .ok()
        .and_then(|t| t.trim().parse::<f64>().ok());
    left.filter(|t| t.is_finite() && *t >= 0.0)
        .map(Some)
        .ok_or("X-Time-Left is no time\n")
}

/// Whether a method goes with what a second run would do. On the platform the method follows from the class; by a
/// route it is the operators', but for a GET: whoever stands between may repeat it, so it must be harmless.
fn method_fits(method: &Method, effect: Idempotency, routed: bool) -> bool {
    match (effect, routed) {
        (Idempotency::Idempotent, true) => true,
        (_, true) => method != Method::GET,
        (Idempotency::Idempotent, false) => method == Method::GET,
        (_, false) => method == Method::POST,
    }
}

/// The cookie that says what a request is about.
fn routing_key(cookies: &HeaderValue) -> Option<&str> {
    let mut pairs = cookies
        .to_str()
        .ok()?
        .split(';')
        .filter_map(|pair| pair.trim().split_once('='));
    pairs
        .find(|(name, _)| *name == "key")
        .map(|(_, value)| value)
}

pub(in crate::net) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CORRELATION_ID && *name != IDEMPOTENCY_KEY)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// A request whose answer is awaited; the client has left if this is dropped before.
pub(in crate::net) struct PendingRequest<'a> {
    pool: &'a Rc<Pool>,
    id: Option<u32>,
}

impl<'a> PendingRequest<'a> {
    pub fn new(pool: &'a Rc<Pool>, id: u32) -> Self {
        PendingRequest { pool, id: Some(id) }
    }

    /// The answer has come.
    pub fn answered(&mut self) {
        self.id = None;
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.pool.cancel(id);
        }
    }
}
