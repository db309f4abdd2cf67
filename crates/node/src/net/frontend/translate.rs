//! Translation of a client's request into a [`Message`] for servers and an [`Arrival`] for the engine.
//!
//! Called by `request`, and in parts by `graphql`, which translates each operation on its own.

use super::error::RequestError;
use super::headers::{
    affinity_key, correlation_id, header_text, strip_hop_by_hop, time_left, work_hint, ACCOUNT,
    CORRELATION_ID, IDEMPOTENCY_KEY, SERVICE_CLASS,
};
use super::request_body::RequestBody;
use super::Frontend;
use crate::net::body::Payload;
use crate::net::client::Client;
use crate::net::message::{Arrival, Message};
use crate::net::pool::Pool;
use crate::net::service::Service;
use crate::net::shared::{OpenId, Permit, Repeatability};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::Method;
use reelfall_balancer::interface::{ClassId, Idempotency, KeyScope, Time};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A streamed upload is aborted after this time, which is enough for 32 MB at the minimum rate of a request body. One that
/// its server holds up ends earlier.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(900);

/// A request that was admitted to its service.
pub(in crate::net) struct AdmittedRequest {
    pub service: Rc<Service>,
    /// The class that the route assigns.
    pub assigned_class: Option<ClassId>,
    /// Whether a route selected the service; without routes, the one service gets all requests.
    pub is_routed: bool,
    /// Counts it among the open requests of the service, if those are limited.
    pub admission: Option<Permit>,
}

/// A request as it is sent to servers, and as the engine sees it.
pub(super) struct TranslatedRequest {
    pub(super) message: Message,
    pub(super) arrival: Arrival,
}

impl Frontend {
    /// Translates a request whose body was buffered or is streamed.
    pub(super) fn translate(
        &self,
        admitted: AdmittedRequest,
        head: Parts,
        body: RequestBody,
        waiter: Rc<Client>,
    ) -> Result<TranslatedRequest, RequestError> {
        let RequestBody { payload, memory } = body;
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = head;
        if admitted.is_routed {
            self.ensure_correlation_id(&mut headers);
        }
        let pool = &admitted.service.pool;
        let class = find_class(&admitted, &headers).ok_or(RequestError::UnknownClass)?;
        let class_deadline =
            check_class_rules(pool, class, &method, &headers, &payload, admitted.is_routed)?;
        let client_time = time_left(&headers)?.map_or(class_deadline, |t| t.min(class_deadline));
        let time_for_answer = time_for_answer(pool, client_time);
        let time_after_upload = payload.streamed().map(|_| time_for_answer);
        let deadline =
            Instant::now() + time_after_upload.map_or(time_for_answer, |_| UPLOAD_TIMEOUT);
        let arrival = Arrival {
            class,
            time_after_upload,
            ..self.arrival(pool, &headers, deadline)
        };
        let path = uri
            .into_parts()
            .path_and_query
            .ok_or(RequestError::MissingPath)?;
        let id_claim = self
            .shared
            .claim_request_id(correlation_id(&headers)?, repeatability(pool, class))?;
        strip_hop_by_hop(&mut headers);
        let message = Message {
            method,
            path,
            headers,
            body: payload,
            _body_memory: memory.map(Rc::new),
            id_claim,
            _admission: admitted.admission,
            time_after_upload,
            validator: None,
            waiter,
        };
        Ok(TranslatedRequest { message, arrival })
    }

    /// What the engine learns about a request from its headers; the caller sets the class.
    pub(in crate::net) fn arrival(
        &self,
        pool: &Pool,
        headers: &HeaderMap,
        deadline: Instant,
    ) -> Arrival {
        Arrival {
            class: ClassId::MAX,
            tenant: header_text(headers, &ACCOUNT)
                .and_then(|name| pool.names.borrow().tenant(name)),
            work_hint: work_hint(headers),
            affinity_key: affinity_key(headers),
            deadline,
            time_after_upload: None,
        }
    }

    /// Generates an id for a request that has none.
    fn ensure_correlation_id(&self, headers: &mut HeaderMap) {
        if !headers.contains_key(&CORRELATION_ID) {
            if let Ok(id) = HeaderValue::try_from(format!("{:016x}", self.rng.next_u64())) {
                headers.insert(CORRELATION_ID, id);
            }
        }
    }

    /// Claims the id of a request. An entry of a batch gets an id of its own, derived from that of the batch.
    pub(in crate::net) fn claim_correlation_id(
        &self,
        headers: &mut HeaderMap,
        batch_entry: Option<usize>,
        repeatability: Repeatability,
    ) -> Result<OpenId, RequestError> {
        self.ensure_correlation_id(headers);
        if let Some(entry) = batch_entry {
            let batch_id = correlation_id(headers)?;
            let entry_id = [batch_id, format!(".{entry}").as_bytes()].concat();
            let entry_id = HeaderValue::from_bytes(&entry_id)
                .map_err(|_| RequestError::MissingCorrelationId)?;
            headers.insert(CORRELATION_ID, entry_id);
        }
        let id = correlation_id(headers)?;
        Ok(self.shared.claim_request_id(id, repeatability)?)
    }
}

/// Whether clients may repeat requests of a class: those that change nothing, and those that all servers would discard.
pub(in crate::net) fn repeatability(pool: &Pool, class: ClassId) -> Repeatability {
    let rules = pool.classes.get(usize::from(class));
    match rules.map(|rules| rules.idempotency) {
        Some(
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            },
        ) => Repeatability::Repeatable,
        _ => Repeatability::Unsafe,
    }
}

/// The class of a request: the one that its route assigns, the only one of the service, or the one that a header names.
fn find_class(admitted: &AdmittedRequest, headers: &HeaderMap) -> Option<ClassId> {
    if admitted.assigned_class.is_some() {
        return admitted.assigned_class;
    }
    let pool = &admitted.service.pool;
    if admitted.is_routed && pool.classes.len() == 1 && !headers.contains_key(&SERVICE_CLASS) {
        return Some(0);
    }
    let names = pool.names.borrow();
    header_text(headers, &SERVICE_CLASS)
        .and_then(|name| names.classes.get(name))
        .map(|class| class as ClassId)
}

/// Checks that a request conforms to the rules of its class. Returns the deadline of the class, in seconds.
fn check_class_rules(
    pool: &Pool,
    class: ClassId,
    method: &Method,
    headers: &HeaderMap,
    payload: &Payload,
    is_routed: bool,
) -> Result<Time, RequestError> {
    let rules = pool
        .classes
        .get(usize::from(class))
        .ok_or(RequestError::UnknownClass)?;
    if !is_method_allowed(method, rules.idempotency, is_routed) {
        return Err(RequestError::MethodMismatch);
    }
    if method == Method::GET && !payload.is_empty() {
        return Err(RequestError::GetWithBody);
    }
    correlation_id(headers)?;
    let needs_key = matches!(rules.idempotency, Idempotency::Keyed { .. });
    if needs_key && header_text(headers, &IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(rules.deadline)
}

/// The time within which servers have to answer so that the answer reaches the client in time. The slack covers the
/// transmission to the client and a late wake-up.
fn time_for_answer(pool: &Pool, client_time: Time) -> Duration {
    Duration::try_from_secs_f64(client_time - pool.connection_settings.response_slack)
        .unwrap_or_default()
}

/// Whether a class may be requested by this method. Without routes, the class determines the method. With routes, the
/// operators choose it, except that GET must be idempotent, since intermediaries may retry it.
fn is_method_allowed(method: &Method, idempotency: Idempotency, is_routed: bool) -> bool {
    match (idempotency, is_routed) {
        (Idempotency::Idempotent, true) => true,
        (_, true) => method != Method::GET,
        (Idempotency::Idempotent, false) => method == Method::GET,
        (_, false) => method == Method::POST,
    }
}
