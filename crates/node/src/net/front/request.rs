//! One request of a client: its service, its body, its way through the engine, its answer.

use super::reply::{plain, respond, with_reason};
use super::translate::{AdmittedRequest, PendingRequest, SERVICE_CLASS};
use super::Front;
use crate::net::answer::ResponseBody;
use crate::net::body::{Payload, StreamedBody};
use crate::net::client::{Client, Phase};
use crate::net::message::Waiter;
use crate::net::pool::Pool;
use crate::net::service::{RouteMatch, Routing, Table};
use crate::net::shared::MemoryPermit;
use crate::net::{kib_permits, MAX_BUFFERED_BODY_BYTES, UNRESERVED_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use reelfall_balancer::interface::Time;
use reelfall_routing::limits::{Denial, Member};
use reelfall_routing::table::{ListenerId, Query};
use reelfall_routing::target;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// What health says of a node that is being emptied.
const DRAINED: &str = "drained by hand\n";
/// What nobody reads.
const LEFT: &str = "the client has left\n";

impl Front {
    pub(super) async fn request(
        self: Rc<Self>,
        request: Request<Incoming>,
        client: Rc<Client>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let (head, body) = request.into_parts();
        let routing = self.routing.borrow().clone();
        let mut response = match &*routing {
            Routing::Single(service) => match head.uri.path() {
                "/_health" if self.shared.is_draining() => {
                    plain(StatusCode::SERVICE_UNAVAILABLE, DRAINED)
                }
                "/_health" if service.pool.is_ready.get() => plain(StatusCode::OK, ""),
                "/_health" => plain(StatusCode::SERVICE_UNAVAILABLE, "no server list yet\n"),
                path if path == "/api" || path.starts_with("/api/") => {
                    let service = service.clone();
                    let chosen = AdmittedRequest {
                        service,
                        assign: None,
                        routed: false,
                        admitted: None,
                    };
                    drop(routing);
                    self.forward(chosen, head, body, &client).await
                }
                _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
            },
            Routing::Table(table) => match head.uri.path().strip_prefix("/_health") {
                Some(name) if name.is_empty() || name.starts_with('/') => {
                    if self.shared.is_draining() {
                        plain(StatusCode::SERVICE_UNAVAILABLE, DRAINED)
                    } else {
                        health(table, name)
                    }
                }
                _ => match self.admit(table, &head, &client) {
                    Ok(chosen) => {
                        drop(routing);
                        self.forward(chosen, head, body, &client).await
                    }
                    Err(response) => {
                        drop(routing);
                        match discard(body).await {
                            Ok(()) => *response,
                            Err(response) => response,
                        }
                    }
                },
            },
        };
        // Whoever sends what can't be used has to connect anew for more of it.
        let routed = matches!(&**self.routing.borrow(), Routing::Table(_));
        // By routes, one connection can be for several services, of which one may be gone or over its rate.
        let elsewhere = matches!(
            response.status(),
            StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS
        );
        let unusable = response.status().is_client_error() && !(routed && elsewhere);
        if self.stopping.get()
            || self.shared.is_draining()
            || unusable
            || client.close_when_idle.get()
        {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let flows = response.body().open_flag();
        client.is_streaming.set(flows.is_some());
        client.answer_open.replace(flows);
        client.set_phase(Phase::Answering);
        Ok(response)
    }

    /// Finds the service of a request and its place among the open ones.
    fn admit(
        self: &Rc<Self>,
        table: &Table,
        head: &Parts,
        client: &Client,
    ) -> Result<AdmittedRequest, Box<Response<ResponseBody>>> {
        let mut hosts = head.headers.get_all(header::HOST).iter();
        let said = target::Said {
            scheme: head.uri.scheme_str(),
            authority: head.uri.authority().map(|a| a.as_str()),
            path: head.uri.path(),
            host: hosts.next().map(HeaderValue::as_bytes),
            more_hosts: hosts.next().is_some(),
        };
        let target = target::read(said)
            .map_err(|fault| Box::new(with_reason(StatusCode::BAD_REQUEST, &fault)))?;
        let class = head
            .headers
            .get(&SERVICE_CLASS)
            .and_then(|v| v.to_str().ok());
        let query = Query {
            listener: client.listener_tag.id.get().unwrap_or(ListenerId::MAX),
            host: &target.host,
            path: target.path,
            method: head.method.as_str(),
            class,
        };
        let found = table
            .find(&query)
            .ok_or_else(|| Box::new(plain(StatusCode::NOT_FOUND, "no such route\n")))?;
        let RouteMatch {
            service,
            class: assign,
        } = found;
        if service.is_draining.get() {
            let most = service.max_retry_after.get();
            return Err(Box::new(self.refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                "draining\n",
                most,
                most,
            )));
        }
        let admitted = match service.member.map(|member| self.shared.admit(member)) {
            None => None,
            Some(Ok(admitted)) => admitted,
            // Nothing of the request has run: trying again is harmless, as both say.
            Some(Err(denial)) => {
                let most = service.max_retry_after.get();
                return Err(Box::new(match denial {
                    Denial::Rate(wait) => self.refusal(
                        StatusCode::TOO_MANY_REQUESTS,
                        "over the rate of this service\n",
                        wait,
                        most,
                    ),
                    Denial::Held(..) => {
                        let text = "this service has all the requests that it may hold\n";
                        self.refusal(StatusCode::SERVICE_UNAVAILABLE, text, most / 2.0, most)
                    }
                }));
            }
        };
        Ok(AdmittedRequest {
            service,
            assign,
            routed: true,
            admitted,
        })
    }

    /// A refusal with advice on when to come back: about `wait`, spread so that not all come back together, and no
    /// longer than `most`; none if that is 0.
    fn refusal(
        &self,
        status: StatusCode,
        text: &'static str,
        wait: Time,
        most: Time,
    ) -> Response<ResponseBody> {
        let mut response = plain(status, text);
        if most > 0.0 {
            let spread = 1.0 + self.rng.next_fraction();
            let after = (wait * spread).clamp(0.001, most);
            if let Ok(after) = HeaderValue::try_from(format!("{after:.3}")) {
                response.headers_mut().insert(header::RETRY_AFTER, after);
            }
        }
        response
    }

    async fn forward(
        self: &Rc<Self>,
        chosen: AdmittedRequest,
        head: Parts,
        body: Incoming,
        client: &Rc<Client>,
    ) -> Response<ResponseBody> {
        let pool = chosen.service.pool.clone();
        let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        let graphql = chosen.service.graphql.borrow().clone();
        if let Some(graphql) = graphql {
            let mut response = self.graphql(&graphql, chosen, head, body, client).await;
            if chunked {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            return response;
        }
        // A fault in the head is told only when the body is in: an answer beside unread data may be lost.
        let (body, held) = match self.buffer_or_stream(body, chosen.service.member).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let flow = body.streamed().cloned();
        client.set_phase(if flow.is_some() {
            Phase::Streaming
        } else {
            Phase::AwaitingAnswer
        });
        let mut response = self.submit(&pool, chosen, head, body, held, client).await;
        let unread = flow.is_some_and(|flow| !flow.is_done());
        if unread {
            // The rest of the body is for nobody; what follows it can't be told apart.
            client.answered_early.set(true);
        }
        if chunked || unread {
            // Nothing behind a body of no stated length was looked at by the gate.
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Hands a request to the module and waits for its one answer.
    async fn submit(
        self: &Rc<Self>,
        pool: &Rc<Pool>,
        chosen: AdmittedRequest,
        head: Parts,
        body: Payload,
        held: Option<MemoryPermit>,
        client: &Rc<Client>,
    ) -> Response<ResponseBody> {
        let (message, arrival) = match self.translate(chosen, head, body, held, client.clone()) {
            Ok(request) => request,
            Err((status, text)) => return plain(status, text),
        };
        if client.has_left() {
            return plain(StatusCode::BAD_REQUEST, LEFT);
        }
        let deadline = arrival.deadline;
        let (id, answer) = pool.submit(message, arrival);
        let mut waiting = PendingRequest::new(pool, id);
        // The guard: attempts end at the deadline and bring an answer; if nothing has, this is it.
        let guard = deadline
            + Duration::try_from_secs_f64(pool.connection_settings.response_slack / 2.0)
                .unwrap_or_default();
        match timeout_at(guard.into(), answer).await {
            Ok(Ok(reply)) => {
                waiting.answered();
                respond(reply)
            }
            _ => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
        }
    }

    /// Reads a body whole if it is small enough and finds room; else it flows, with what has been read of it.
    async fn buffer_or_stream(
        &self,
        mut body: Incoming,
        member: Option<Member>,
    ) -> Result<(Payload, Option<MemoryPermit>), Response<ResponseBody>> {
        let size = body.size_hint().exact();
        if size.is_some_and(|size| size > MAX_BUFFERED_BODY_BYTES as u64) {
            return Ok((
                Payload::Streamed(StreamedBody::new(Bytes::new(), body, size)),
                None,
            ));
        }
        let stated = size.map_or(MAX_BUFFERED_BODY_BYTES, |n| n as usize);
        let (mut data, mut held) = (BytesMut::new(), None);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(plain(StatusCode::BAD_REQUEST, "half a body\n"));
            };
            let Ok(part) = frame.into_data() else {
                continue;
            };
            data.extend_from_slice(&part);
            if data.len() > UNRESERVED_BODY_BYTES && held.is_none() {
                // The largest that it can be, taken once: bodies that grow must not wait for each other.
                held = self.shared.reserve_body(member, kib_permits(stated));
            }
            if data.len() > MAX_BUFFERED_BODY_BYTES
                || (data.len() > UNRESERVED_BODY_BYTES && held.is_none())
            {
                return Ok((
                    Payload::Streamed(StreamedBody::new(data.freeze(), body, size)),
                    held,
                ));
            }
        }
        Ok((Payload::Buffered(data.freeze()), held))
    }

    /// Reads a body whole. What finds no room is still read to its end before it is answered.
    pub(in crate::net) async fn buffer_body(
        &self,
        mut body: Incoming,
        member: Option<Member>,
    ) -> Result<(Bytes, Option<MemoryPermit>), Response<ResponseBody>> {
        let stated = body
            .size_hint()
            .exact()
            .map_or(MAX_BUFFERED_BODY_BYTES, |n| n as usize);
        let mut held: Option<MemoryPermit> = None;
        let (mut data, mut size, mut granted, mut room) =
            (BytesMut::new(), 0, UNRESERVED_BODY_BYTES, true);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(plain(StatusCode::BAD_REQUEST, "half a body\n"));
            };
            let Ok(part) = frame.into_data() else {
                continue;
            };
            size += part.len();
            if size > MAX_BUFFERED_BODY_BYTES {
                return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "too large a body\n"));
            }
            if room && size > granted {
                // The largest that it can be, taken once: bodies that grow must not wait for each other.
                match self.shared.reserve_body(member, kib_permits(stated)) {
                    Some(leave) => (held, granted) = (Some(leave), MAX_BUFFERED_BODY_BYTES),
                    None => (data, room) = (BytesMut::new(), false),
                }
            }
            if room {
                data.extend_from_slice(&part);
            }
        }
        if room {
            Ok((data.freeze(), held))
        } else {
            Err(plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n"))
        }
    }
}

/// How the process, or the service that the path names, stands.
fn health(table: &Table, path: &str) -> Response<ResponseBody> {
    let services = table.services();
    let unready = match path.strip_prefix('/') {
        // One that drains on purpose does not make the process unready.
        None => services
            .iter()
            .filter(|s| !s.is_draining.get())
            .find_map(|s| s.unavailable_reason()),
        Some(name) => match services.iter().find(|s| s.name == name) {
            Some(service) => service.unavailable_reason(),
            None => return plain(StatusCode::NOT_FOUND, "no such service\n"),
        },
    };
    if let Some(why) = unready {
        return plain(StatusCode::SERVICE_UNAVAILABLE, why);
    }
    let named = path
        .strip_prefix('/')
        .and_then(|name| services.iter().find(|s| s.name == name));
    let mut response = plain(StatusCode::OK, "");
    if let Some(age) = named.and_then(|s| s.pool.list_age()) {
        *response.body_mut() =
            ResponseBody::from(Bytes::from(format!("registry heard {age:.1} s ago\n")));
    }
    response
}

/// Reads a body to its end without keeping it: an answer beside unread data may be lost.
async fn discard(mut body: Incoming) -> Result<(), Response<ResponseBody>> {
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(plain(StatusCode::BAD_REQUEST, "half a body\n"));
        };
        size += frame.data_ref().map_or(0, Bytes::len);
        if size > MAX_BUFFERED_BODY_BYTES {
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "too large a body\n"));
        }
    }
    Ok(())
}
