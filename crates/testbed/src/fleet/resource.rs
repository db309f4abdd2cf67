//! What holders of leases act on: it keeps the highest token of each lease and refuses lower ones.

use super::history::{Event, History};
use crate::{spawn, AbortOnDrop, Result};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_lease::token::{Claim, Fence, LeaseName};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;

/// See the module. It ends when this is dropped.
pub struct Resource {
    /// Where it is called.
    pub address: SocketAddr,
    _task: AbortOnDrop,
}

impl Resource {
    /// Starts one. What is done to it goes to the history, let by or not.
    ///
    /// # Errors
    /// If no address is to be had.
    pub async fn start(history: Arc<History>) -> Result<Resource> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fence = Arc::new(Mutex::new(Fence::new(1024)));
        let accepting = spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (fence, history) = (fence.clone(), history.clone());
                tokio::spawn(async move {
                    let answer = service_fn(move |request: Request<Incoming>| {
                        let status = acted(&request, &fence, &history);
                        async move {
                            let mut response = Response::new(Empty::<Bytes>::new());
                            *response.status_mut() = status;
                            Ok::<_, Infallible>(response)
                        }
                    });
                    let connection = hyper::server::conn::http1::Builder::new();
                    let _ = connection
                        .serve_connection(TokioIo::new(stream), answer)
                        .await;
                });
            }
        });
        Ok(Resource {
            address,
            _task: accepting,
        })
    }
}

fn acted(request: &Request<Incoming>, fence: &Mutex<Fence>, history: &History) -> StatusCode {
    let said = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let claim = || {
        let lease = LeaseName::try_from(said("x-lease")?).ok()?;
        Some(Claim {
            lease,
            token: said("x-lease-token")?.parse().ok()?,
        })
    };
    let (Some(claim), Some(by)) = (claim(), said("x-lease-holder")) else {
        return StatusCode::BAD_REQUEST;
    };
    // Held while it is written down, so that the history has the order of what was let by.
    let mut fence = fence.lock().unwrap_or_else(PoisonError::into_inner);
    let let_by = fence.admit(&claim).is_ok();
    history.add(Event::Acted {
        lease: claim.lease.as_str().to_owned(),
        token: claim.token,
        by,
        let_by,
    });
    if let_by {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    }
}

/// An act that was let by.
#[derive(Clone, Debug, PartialEq)]
pub struct Let {
    /// When.
    pub at: Duration,
    /// By which token.
    pub token: u64,
    /// By whom.
    pub by: String,
}

/// The acts by a lease that were let by.
pub fn acts(happened: &[(Duration, Event)], lease: &str) -> Vec<Let> {
    let of = |(at, event): &(Duration, Event)| match event {
        Event::Acted {
            lease: l,
            token,
            by,
            let_by: true,
        } if l == lease => Some(Let {
            at: *at,
            token: *token,
            by: by.clone(),
        }),
        _ => None,
    };
    happened.iter().filter_map(of).collect()
}

/// How many acts were refused, as a later holder had acted.
pub fn stale(happened: &[(Duration, Event)]) -> usize {
    happened
        .iter()
        .filter(|(_, e)| matches!(e, Event::Acted { let_by: false, .. }))
        .count()
}

/// What is wrong with the acts by a lease: a lower token after a higher one, or one token of two holders.
pub fn broken(happened: &[(Duration, Event)], lease: &str) -> Vec<String> {
    let acts = acts(happened, lease);
    let lower = acts.windows(2).filter(|two| two[0].token > two[1].token);
    let mut broken: Vec<String> = lower
        .map(|two| format!("{lease}: {:?} after {:?}", two[1], two[0]))
        .collect();
    let two = acts
        .windows(2)
        .filter(|two| two[0].token == two[1].token && two[0].by != two[1].by);
    broken.extend(two.map(|two| format!("{lease}: one token of two holders: {two:?}")));
    broken
}
