//! A periodic HTTP call that a lease guards: the holder of the lease makes it on behalf of the whole fleet.
//!
//! Each call presents the lease's token as a fencing token. The resource stores the highest token that it has seen and
//! answers a lower one with 409 or 412 (RFC 9110, sections 15.5.10 and 15.5.13). That means that the holder was paused
//! and another node has acquired the lease.

use super::Leases;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_config::model;
use reelfall_lease::token::LeaseName;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a call; the interval if that is shorter.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call failed without an answer.
#[derive(Debug, Error)]
enum CallError {
    #[error("{0}")]
    Connect(#[source] io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("no answer within the timeout")]
    TimedOut,
}

/// Makes the call periodically while the lease is active, for as long as it is polled.
pub async fn run(leases: Rc<Leases>, name: LeaseName, call: model::Call) {
    let interval = Duration::from_secs_f64(call.interval);
    let mut next = Instant::now();
    loop {
        leases.wait_until_active(&name).await;
        tokio::time::sleep_until(next.into()).await;
        next = Instant::now() + interval;
        let answer = timeout(interval.min(CALL_TIMEOUT), call_once(&leases, &name, &call));
        let answer = answer.await.unwrap_or(Err(CallError::TimedOut));
        leases.end_call(&name);
        handle_answer(&leases, &name, &call, answer);
    }
}

fn handle_answer(
    leases: &Leases,
    name: &LeaseName,
    call: &model::Call,
    answer: Result<Option<StatusCode>, CallError>,
) {
    let (log, address) = (&leases.log, call.address);
    match answer {
        Ok(Some(StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED)) => {
            log.write_line(format_args!(
                "lease {name}: {address} has seen a token of a later holder"
            ));
            leases.release_temporarily(name);
        }
        Ok(Some(status)) if !status.is_success() => {
            log.write_line(format_args!("lease {name}: {address} answered {status}"));
        }
        // The call succeeded, or was not made because the lease was lost meanwhile.
        Ok(_) => {}
        Err(CallError::TimedOut) => {
            log.write_line(format_args!(
                "lease {name}: {address} did not answer in time"
            ));
        }
        Err(error) => log.write_line(format_args!("lease {name}: {address}: {error}")),
    }
}

/// Makes one call and returns the status of the answer; `None` if the lease is no longer active once the connection is
/// established.
async fn call_once(
    leases: &Leases,
    name: &LeaseName,
    call: &model::Call,
) -> Result<Option<StatusCode>, CallError> {
    let stream = TcpStream::connect(call.address)
        .await
        .map_err(CallError::Connect)?;
    let (mut sender, connection) = Builder::new().handshake(TokioIo::new(stream)).await?;
    let Some(operation) = leases.begin_call(name, call.path.as_str()) else {
        return Ok(None);
    };
    let (claim, path) = operation.into_parts();
    let request = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", call.address.to_string())
        .header("x-lease", claim.lease.as_str())
        .header("x-lease-token", claim.token)
        .header("x-lease-holder", leases.client_id().name)
        .body(Empty::<Bytes>::new())?;
    let mut answer = pin!(sender.send_request(request));
    // The connection is closed with this call, also when that times out: another node may call as soon as it has ended.
    let answer = tokio::select! {
        biased;
        answer = answer.as_mut() => answer,
        _ = connection => answer.await,
    };
    Ok(Some(answer?.status()))
}
