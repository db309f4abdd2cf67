//! A resource that holders of leases write to. For each lease it rejects fencing tokens lower than the highest one so far.
//!
//! Tests of leases start one and check the writes in the history.

use super::history::{Event, History, TimedEvent};
use crate::{spawn, AbortOnDrop, Result};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_lease::token::{Claim, Fence, LeaseName};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Number of leases whose tokens the resource tracks.
const FENCE_CAPACITY: usize = 1024;

/// An HTTP server that checks fencing tokens. It stops when this is dropped.
pub struct FencedResource {
    /// The address that it listens on.
    pub address: SocketAddr,
    _task: AbortOnDrop,
}

/// State that the connections of a resource share.
struct Shared {
    fence: Mutex<Fence>,
    history: Arc<History>,
}

impl FencedResource {
    /// Starts a resource that records each write in the history, admitted or not.
    ///
    /// # Errors
    /// Fails if the system has no port left.
    pub async fn start(history: Arc<History>) -> Result<FencedResource> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            fence: Mutex::new(Fence::new(FENCE_CAPACITY)),
            history,
        });
        let accept_task = spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        Ok(FencedResource {
            address,
            _task: accept_task,
        })
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let respond = service_fn(move |request: Request<Incoming>| {
        let status = shared.write(&request);
        async move {
            let mut response = Response::new(Empty::<Bytes>::new());
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), respond)
        .await;
}

impl Shared {
    fn write(&self, request: &Request<Incoming>) -> StatusCode {
        let (Some(claim), Some(holder)) = (claim(request), header(request, "x-lease-holder"))
        else {
            return StatusCode::BAD_REQUEST;
        };
        // Locked until the write is recorded, so that the history has the admitted writes in their order.
        let mut fence = self.fence.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = fence.admit(&claim).is_ok();
        self.history.record(Event::LeaseWrite {
            lease: claim.lease.as_str().to_owned(),
            token: claim.token,
            holder,
            admitted,
        });
        if admitted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        }
    }
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn claim(request: &Request<Incoming>) -> Option<Claim> {
    let lease = LeaseName::try_from(header(request, "x-lease")?).ok()?;
    let token = header(request, "x-lease-token")?.parse().ok()?;
    Some(Claim { lease, token })
}

/// A write that was admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedWrite {
    /// When it was admitted.
    pub at: Duration,
    /// The fencing token.
    pub token: u64,
    /// Name of the holder.
    pub holder: String,
}

/// The admitted writes by holders of a lease.
pub fn admitted_writes(events: &[TimedEvent], lease: &str) -> Vec<AdmittedWrite> {
    let admitted = |entry: &TimedEvent| match &entry.event {
        Event::LeaseWrite {
            lease: by,
            token,
            holder,
            admitted: true,
        } if by == lease => Some(AdmittedWrite {
            at: entry.at,
            token: *token,
            holder: holder.clone(),
        }),
        _ => None,
    };
    events.iter().filter_map(admitted).collect()
}

/// Number of writes that were rejected because a later holder had written before.
pub fn rejected_writes(events: &[TimedEvent]) -> usize {
    let is_rejected = |entry: &&TimedEvent| {
        matches!(
            entry.event,
            Event::LeaseWrite {
                admitted: false,
                ..
            }
        )
    };
    events.iter().filter(is_rejected).count()
}

/// Fencing violations among the admitted writes of a lease: a lower token after a higher one, or one token with two holders.
pub fn fencing_violations(events: &[TimedEvent], lease: &str) -> Vec<String> {
    let writes = admitted_writes(events, lease);
    let pairs = || writes.windows(2).map(|pair| (&pair[0], &pair[1]));
    let lower_tokens = pairs()
        .filter(|(earlier, later)| earlier.token > later.token)
        .map(|(earlier, later)| format!("{lease}: {later:?} after {earlier:?}"));
    let shared_tokens = pairs()
        .filter(|(earlier, later)| earlier.token == later.token && earlier.holder != later.holder)
        .map(|(earlier, later)| {
            format!("{lease}: two holders have the same token: [{earlier:?}, {later:?}]")
        });
    lower_tokens.chain(shared_tokens).collect()
}
