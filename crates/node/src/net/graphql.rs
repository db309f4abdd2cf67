//! GraphQL over HTTP: what comes by a GraphQL service becomes one request of the module for each operation, and what
//! comes back becomes one answer to the client.
//!
//! What a request is, of which class, what may run when, and what an answer is, is told by [`reelfall_graphql`]; which
//! server and whether again, by the module. Here they meet the sockets.

use super::answer::{Answer, Reply, ResponseBody};
use super::body::Payload;
use super::client::{Client, Phase};
use super::front::{AdmittedRequest, Front, PendingRequest};
use super::message::{AnswerValidator, Arrival, Message, Waiter};
use super::operations::{GraphQl, Head, Ready};
use super::pool::Pool;
use super::shared::{MemoryPermit, Permit};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use reelfall_balancer::interface::{Outcome, Time};
use reelfall_graphql::answer;
use reelfall_graphql::batch::{refusable, Batch, Fate};
use reelfall_graphql::decode::{self, Asked};
use reelfall_graphql::document::Operation;
use reelfall_graphql::media::{self, Media};
use reelfall_graphql::{Fault, FaultKind};
use serde_json::Value;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// What an answer to an operation is.
struct IsAnswer(Rc<Operation>);

impl AnswerValidator for IsAnswer {
    /// A server may tell a client's mistakes with 4xx; those are answers, and say nothing against the server.
    fn may_answer(&self, status: StatusCode) -> bool {
        let transient = matches!(status.as_u16(), 408 | 425 | 429);
        status.is_client_error() && !transient
    }

    fn is_answer(&self, body: &[u8]) -> bool {
        answer::check(body, &self.0).is_ok()
    }
}

/// What an operation is sent under.
#[derive(Clone, Copy)]
struct OperationContext<'a> {
    graphql: &'a GraphQl,
    pool: &'a Rc<Pool>,
    head: &'a Head,
    /// The deadline of its batch.
    until: Option<Instant>,
}

/// What an operation holds of the service's limits.
struct HeldResources {
    held: Option<Rc<MemoryPermit>>,
    admitted: Option<Permit>,
}

type HttpResponse = Response<ResponseBody>;

/// The text of an entry's answer, and what it holds of the memory for answers until the batch is answered.
struct EntryAnswer {
    text: Bytes,
    _memory: Option<MemoryPermit>,
}

impl AsRef<[u8]> for EntryAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.text
    }
}

/// An answer of JSON text.
fn text(status: u16, media: Media, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(ResponseBody::from(body.into()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(media.content_type()),
    );
    response
}

fn fault_response(media: Media, fault: &Fault) -> HttpResponse {
    let mut response = text(
        media::status(media, fault.kind),
        media,
        answer::fault(fault).to_string(),
    );
    if fault.kind == FaultKind::Method {
        response
            .headers_mut()
            .insert(header::ALLOW, HeaderValue::from_static("POST"));
    }
    response
}

impl Front {
    /// Answers a request to a GraphQL service.
    pub(super) async fn graphql(
        self: &Rc<Self>,
        graphql: &GraphQl,
        chosen: AdmittedRequest,
        head: Parts,
        body: Incoming,
        client: &Rc<Client>,
    ) -> HttpResponse {
        let (body, held) = match self.buffer_body(body, chosen.service.member).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        client.set_phase(Phase::AwaitingAnswer);
        if client.has_left() {
            return text(400, Media::Json, Bytes::new());
        }
        let taken = Instant::now();
        let said = |name: &header::HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let media = match media::negotiate(said(&header::ACCEPT)) {
            Ok(media) => media,
            Err(fault) => return fault_response(Media::Json, &fault),
        };
        let asked = match head.method {
            Method::GET => decode::query(head.uri.query().unwrap_or_default()).map(Asked::One),
            Method::POST => media::check_body(said(&header::CONTENT_TYPE))
                .and_then(|()| decode::body(&body, &graphql.limits)),
            _ => {
                let fault = Fault::new(FaultKind::Method, "GraphQL is served by GET and POST");
                let mut response = fault_response(media, &fault);
                response
                    .headers_mut()
                    .insert(header::ALLOW, HeaderValue::from_static("GET, POST"));
                return response;
            }
        };
        let asked = match asked {
            Ok(asked) => asked,
            Err(fault) => return fault_response(media, &fault),
        };
        let (left, path) = match (
            super::front::time_left(&head.headers),
            head.uri.path_and_query(),
        ) {
            (Ok(left), Some(path)) => (left, path.clone()),
            (Err(mistake), _) => {
                return fault_response(media, &Fault::new(FaultKind::Request, mistake.trim()))
            }
            (_, None) => return fault_response(media, &Fault::new(FaultKind::Request, "no path")),
        };
        let get = head.method == Method::GET;
        let held = held.map(Rc::new);
        let waiter: Rc<dyn Waiter> = client.clone();
        let head = Head {
            headers: head.headers,
            path,
            get,
            left,
            taken,
            waiter,
        };
        match asked {
            Asked::One(params) => match graphql.ready(&params, (!get).then(|| body.clone()), &head)
            {
                Ok(ready) => {
                    self.answer_one(graphql, chosen, held, &head, ready, media)
                        .await
                }
                Err(fault) => fault_response(media, &fault),
            },
            Asked::Batch(entries) => {
                let texts = entries
                    .iter()
                    .map(|(params, text)| (params, body.slice_ref(text.as_bytes())));
                let ready = texts
                    .map(|(params, text)| graphql.ready(params, Some(text), &head))
                    .collect();
                drop(entries);
                self.answer_batch(graphql, chosen, held, &head, ready, media)
                    .await
            }
        }
    }

    /// Hands an operation to the module and waits for its end.
    async fn run_operation(
        self: &Rc<Self>,
        context: &OperationContext<'_>,
        ready: Ready,
        place: Option<usize>,
        holds: HeldResources,
    ) -> Result<Reply, &'static str> {
        let OperationContext {
            graphql,
            pool,
            head,
            until,
        } = *context;
        let HeldResources { held, admitted } = holds;
        let mut headers = head.headers.clone();
        let deadline = pool
            .classes
            .get(usize::from(ready.class))
            .map_or(0.0, |c| c.deadline);
        let left = head.left.map_or(deadline, |left| left.min(deadline));
        let from = if place.is_some() {
            Instant::now()
        } else {
            head.taken
        };
        let slack = pool.connection_settings.response_slack;
        let due = from + Duration::try_from_secs_f64(left - slack).unwrap_or_default();
        let due = until.map_or(due, |until| due.min(until));
        let id = self.claim_correlation_id(&mut headers, place)?;
        let hint = graphql.field_work * ready.operation.cost as f64;
        let arrival = Arrival {
            class: ready.class,
            hint: Some(hint),
            ..self.arrival(pool, &headers, due)
        };
        super::front::strip_hop_by_hop(&mut headers);
        // In the older type a server tells a client's mistakes with 200, which is plainly an answer.
        headers.insert(header::ACCEPT, HeaderValue::from_static("application/json"));
        if ready.method == Method::POST {
            headers.insert(
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            );
        }
        let Ready {
            method,
            path,
            body,
            operation,
            ..
        } = ready;
        let validator: Option<Box<dyn AnswerValidator>> = Some(Box::new(IsAnswer(operation)));
        let (body, waiter) = (Payload::Buffered(body), head.waiter.clone());
        let message = Message {
            method,
            path,
            headers,
            body,
            _held: held,
            _id: id,
            _admitted: admitted,
            validator,
            waiter,
        };
        let (request, answer) = pool.submit(message, arrival);
        let mut waiting = PendingRequest::new(pool, request);
        let guard = due + Duration::try_from_secs_f64(slack / 2.0).unwrap_or_default();
        match timeout_at(guard.into(), answer).await {
            Ok(Ok(reply)) => {
                waiting.answered();
                Ok(reply)
            }
            _ => Ok(Reply::Failed(Some(Outcome::TimedOut))),
        }
    }

    async fn answer_one(
        self: &Rc<Self>,
        graphql: &GraphQl,
        chosen: AdmittedRequest,
        held: Option<Rc<MemoryPermit>>,
        head: &Head,
        ready: Ready,
        media: Media,
    ) -> HttpResponse {
        let AdmittedRequest {
            service, admitted, ..
        } = chosen;
        let context = OperationContext {
            graphql,
            pool: &service.pool,
            head,
            until: None,
        };
        match self
            .run_operation(&context, ready, None, HeldResources { held, admitted })
            .await
        {
            Ok(reply) => single(reply, media),
            Err(mistake) => {
                let mut response =
                    fault_response(media, &Fault::new(FaultKind::Request, mistake.trim()));
                if mistake == super::front::ID_OPEN {
                    *response.status_mut() = StatusCode::CONFLICT;
                }
                response
            }
        }
    }

    /// Runs a batch: all under one deadline, and one answer.
    async fn answer_batch(
        self: &Rc<Self>,
        graphql: &GraphQl,
        chosen: AdmittedRequest,
        held: Option<Rc<MemoryPermit>>,
        head: &Head,
        ready: Vec<Result<Ready, Fault>>,
        media: Media,
    ) -> HttpResponse {
        let AdmittedRequest {
            service, admitted, ..
        } = chosen;
        let pool = &service.pool;
        // The batch has been admitted as one request: that goes to the entry that starts first.
        let mut first = Some(admitted);
        let longest = ready
            .iter()
            .filter_map(|r| pool.classes.get(usize::from(r.as_ref().ok()?.class)));
        let longest = longest.map(|c| c.deadline).fold(0.0, f64::max);
        let left = head.left.map_or(longest, |left| left.min(longest));
        let until = head.taken
            + Duration::try_from_secs_f64(left - pool.connection_settings.response_slack)
                .unwrap_or_default();
        let context = OperationContext {
            graphql,
            pool,
            head,
            until: Some(until),
        };
        let writes = ready.iter().map(|r| {
            r.as_ref()
                .is_ok_and(|r| !graphql.classes.safe(&r.operation))
        });
        let mut batch: Batch<EntryAnswer> =
            Batch::new(writes.collect::<Vec<_>>(), graphql.side_by_side);
        let mut ready: Vec<Option<Result<Ready, Fault>>> = ready.into_iter().map(Some).collect();
        // Dropped with the client's connection: whatever runs is given up, and nothing new starts.
        let mut running = FuturesUnordered::new();
        loop {
            for entry in batch.start() {
                match ready.get_mut(entry).and_then(Option::take) {
                    Some(Ok(ready)) => {
                        let admitted = match first.take() {
                            Some(admitted) => Ok(admitted),
                            None => service.member.map_or(Ok(None), |m| self.shared().admit(m)),
                        };
                        let Ok(admitted) = admitted else {
                            batch.done(entry, Fate::Refused(advice(service.max_retry_after.get())));
                            continue;
                        };
                        let holds = HeldResources {
                            held: held.clone(),
                            admitted,
                        };
                        let run = self.run_operation(&context, ready, Some(entry), holds);
                        running.push(async move { (entry, run.await) });
                    }
                    Some(Err(fault)) => batch.done(entry, entry_answer(&answer::fault(&fault))),
                    None => batch.done(entry, Fate::NeverRan),
                }
            }
            if batch.complete() {
                break;
            }
            if running.is_empty() {
                // What was refused at once made room for more.
                continue;
            }
            // The entries end by themselves at the deadline; this is for whatever does not.
            let guard = until
                + Duration::try_from_secs_f64(pool.connection_settings.response_slack / 2.0)
                    .unwrap_or_default();
            match timeout_at(guard.into(), running.next()).await {
                Ok(Some((entry, reply))) => batch.done(entry, fate(reply)),
                _ => {
                    batch.end();
                    break;
                }
            }
            if Instant::now() >= until {
                batch.end();
                break;
            }
        }
        drop(running);
        let fates = batch.fates();
        let refused = refusable(&fates);
        let mut response = text(if refused { 503 } else { 200 }, media, answer::merge(fates));
        if refused {
            retry_after(&mut response, advice(service.max_retry_after.get()));
        }
        response
    }
}

fn advice(most: Time) -> Option<Time> {
    (most > 0.0).then_some(most)
}

fn retry_after(response: &mut HttpResponse, after: Option<Time>) {
    if let Some(after) = after.and_then(|t| HeaderValue::try_from(format!("{t:.3}")).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
}

fn entry_answer(answer: &Value) -> Fate<EntryAnswer> {
    Fate::Answered(EntryAnswer {
        text: Bytes::from(answer.to_string()),
        _memory: None,
    })
}

fn fate(reply: Result<Reply, &'static str>) -> Fate<EntryAnswer> {
    match reply {
        // The attempt has found that it is an answer, so it is JSON.
        Ok(Reply::Served(answer)) => {
            let Answer { body, _memory, .. } = *answer;
            Fate::Answered(EntryAnswer {
                text: body,
                _memory,
            })
        }
        Ok(Reply::Rejected { retry_after }) => Fate::Refused(retry_after),
        Ok(Reply::Failed(_)) => Fate::Failed,
        Err(mistake) => entry_answer(&answer::fault(&Fault::new(
            FaultKind::Request,
            mistake.trim(),
        ))),
    }
}

fn single(reply: Reply, media: Media) -> HttpResponse {
    let (status, fate): (u16, Fate<()>) = match reply {
        Reply::Served(answer) => {
            // An answer without data is of a request that was not run; the newer type tells that by its status.
            let data = serde_json::from_slice::<Data>(&answer.body).is_ok_and(|d| d.data.is_some());
            let status = if media == Media::Response && !data {
                400
            } else {
                200
            };
            let mut response = text(status, media, Bytes::new());
            *response.body_mut() = ResponseBody::from(answer.body);
            return response;
        }
        Reply::Rejected { retry_after } => (503, Fate::Refused(retry_after)),
        Reply::Failed(Some(Outcome::TimedOut)) => (504, Fate::Failed),
        Reply::Failed(_) => (502, Fate::Failed),
    };
    let after = match fate {
        Fate::Refused(after) => after,
        _ => None,
    };
    let mut response = text(
        status,
        media,
        answer::made(&fate).unwrap_or_default().to_string(),
    );
    retry_after(&mut response, after);
    response
}

/// Whether an answer has `data`, be it null.
#[derive(serde::Deserialize)]
struct Data {
    #[serde(default, deserialize_with = "some")]
    data: Option<serde::de::IgnoredAny>,
}

fn some<'de, D: serde::Deserializer<'de>>(
    from: D,
) -> Result<Option<serde::de::IgnoredAny>, D::Error> {
    serde::Deserialize::deserialize(from).map(Some)
}
