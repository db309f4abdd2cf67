//! Answers to health checks of the node and of its services.

use super::text_response::text_response;
use super::Frontend;
use crate::net::answer::ResponseBody;
use crate::net::service::{Service, Table};
use bytes::Bytes;
use hyper::{Response, StatusCode};

/// Path of health checks; with routes, the name of a service may follow it.
pub(super) const HEALTH_PATH: &str = "/_health";
/// The answer of a node that is being drained.
const DRAINED: &str = "drained by hand\n";

impl Frontend {
    /// The health of a node that serves one service without routes.
    pub(super) fn platform_health(&self, service: &Service) -> Response<ResponseBody> {
        if self.shared.is_draining() {
            text_response(StatusCode::SERVICE_UNAVAILABLE, DRAINED)
        } else if service.pool.is_ready.get() {
            text_response(StatusCode::OK, "")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "no server list yet\n")
        }
    }

    /// The health of a node that serves by routes, or of the service that follows [`HEALTH_PATH`].
    pub(super) fn routed_health(&self, table: &Table, path: &str) -> Response<ResponseBody> {
        if self.shared.is_draining() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, DRAINED);
        }
        match path.strip_prefix('/') {
            None => all_services_health(table),
            Some(name) => match table.services().iter().find(|s| s.name == name) {
                Some(service) => service_health(service),
                None => text_response(StatusCode::NOT_FOUND, "no such service\n"),
            },
        }
    }
}

fn all_services_health(table: &Table) -> Response<ResponseBody> {
    // A service that is drained on purpose does not make the process unready.
    let unready = table
        .services()
        .iter()
        .filter(|service| !service.is_draining.get())
        .find_map(|service| service.unavailable_reason());
    match unready {
        Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, reason),
        None => text_response(StatusCode::OK, ""),
    }
}

fn service_health(service: &Service) -> Response<ResponseBody> {
    if let Some(reason) = service.unavailable_reason() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    }
    let mut response = text_response(StatusCode::OK, "");
    if let Some(age) = service.pool.list_age() {
        let text = Bytes::from(format!("registry heard {age:.1} s ago\n"));
        *response.body_mut() = ResponseBody::from(text);
    }
    response
}
