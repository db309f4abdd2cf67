//! Admitting a request to the service that its route leads to, or rejecting it.

use super::error::{AdmissionError, RetryAdvice};
use super::headers::{header_text, SERVICE_CLASS};
use super::reply::set_retry_after;
use super::text_response::error_response;
use super::translate::AdmittedRequest;
use super::Frontend;
use crate::net::answer::ResponseBody;
use crate::net::client::Client;
use crate::net::service::{RouteMatch, Service, Table};
use crate::net::shared::Permit;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::Response;
use reelfall_balancer::interface::Time;
use reelfall_routing::limits::LimitExceeded;
use reelfall_routing::table::{ListenerId, RouteQuery};
use reelfall_routing::target;
use std::rc::Rc;

/// The shortest delay that `Retry-After` can state, in seconds, since it is written with three decimals.
const MIN_RETRY_AFTER: Time = 0.001;

impl Frontend {
    /// Finds the service of a request and admits the request to it.
    pub(super) fn admit(
        self: &Rc<Self>,
        table: &Table,
        head: &Parts,
        client: &Client,
    ) -> Result<AdmittedRequest, AdmissionError> {
        let RouteMatch {
            service,
            class: route_class,
        } = find_route(table, head, client)?;
        if service.is_draining.get() {
            let max_retry_after = service.max_retry_after.get();
            return Err(AdmissionError::Draining { max_retry_after });
        }
        let admission = self.admit_to_service(&service)?;
        Ok(AdmittedRequest {
            service,
            assigned_class: route_class,
            is_routed: true,
            admission,
        })
    }

    /// Counts the request among the open requests of a service, if those are limited.
    fn admit_to_service(
        self: &Rc<Self>,
        service: &Service,
    ) -> Result<Option<Permit>, AdmissionError> {
        let Some(service_id) = service.service_id else {
            return Ok(None);
        };
        self.shared.admit(service_id).map_err(|denial| {
            let max_retry_after = service.max_retry_after.get();
            match denial {
                LimitExceeded::RateExceeded(next_slot_in) => AdmissionError::RateLimited {
                    next_slot_in,
                    max_retry_after,
                },
                LimitExceeded::NotAvailable(..) => {
                    AdmissionError::AtRequestLimit { max_retry_after }
                }
            }
        })
    }

    /// The answer to a request that was not admitted.
    pub(super) fn admission_error_response(&self, error: AdmissionError) -> Response<ResponseBody> {
        let mut response = error_response(error.status(), &error);
        if let Some(advice) = error.retry_advice() {
            let retry_after = self.jitter_retry_delay(advice);
            set_retry_after(&mut response, retry_after);
        }
        response
    }

    /// The delay before a retry, in seconds, with random jitter so that clients do not all retry at the same time.
    fn jitter_retry_delay(&self, advice: RetryAdvice) -> Option<Time> {
        let RetryAdvice { delay, max_delay } = advice;
        (max_delay > 0.0).then(|| {
            let factor = 1.0 + self.rng.next_fraction();
            (delay * factor).clamp(MIN_RETRY_AFTER, max_delay)
        })
    }
}

fn find_route(table: &Table, head: &Parts, client: &Client) -> Result<RouteMatch, AdmissionError> {
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let target = target::parse(target::ReceivedTarget {
        scheme: head.uri.scheme_str(),
        authority: head
            .uri
            .authority()
            .map(hyper::http::uri::Authority::as_str),
        path: head.uri.path(),
        host: hosts.next().map(HeaderValue::as_bytes),
        has_multiple_hosts: hosts.next().is_some(),
    })?;
    let query = RouteQuery {
        listener: client.listener_tag.id.get().unwrap_or(ListenerId::MAX),
        host: &target.host,
        path: target.path,
        method: head.method.as_str(),
        class: header_text(&head.headers, &SERVICE_CLASS),
    };
    table.find(&query).ok_or(AdmissionError::NoRoute)
}
