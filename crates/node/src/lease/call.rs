//! A task under a lease: an address that the holder of the lease calls periodically for the whole fleet.
//!
//! Each call presents the lease's token. The resource keeps the highest token that it has seen and answers a lower one with
//! 409 or 412 (RFC 9110, sections 15.5.10 and 15.5.13): the holder was paused, and another node has the lease.

use super::Leases;
use crate::net::task::AbortOnDrop;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_config::model;
use reelfall_lease::token::LeaseName;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Maximum time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls for as long as it is polled.
pub async fn run(leases: Rc<Leases>, name: LeaseName, call: model::Call) {
    let interval = Duration::from_secs_f64(call.every);
    let mut next = Instant::now();
    loop {
        leases.until_held(&name).await;
        tokio::time::sleep_until(next.into()).await;
        let began = Instant::now();
        let timeout = interval.min(CALL_TIMEOUT);
        let answer = tokio::time::timeout(timeout, call_once(&leases, &name, &call)).await;
        next = began + interval;
        match answer {
            Ok(Ok(Some(StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED))) => {
                leases.log.write_line(format_args!(
                    "lease {name}: {} has seen a token of a later holder",
                    call.address
                ));
                leases.release_for_a_while(&name);
            }
            Ok(Ok(Some(status))) if !status.is_success() => {
                leases.log.write_line(format_args!(
                    "lease {name}: {} answers {status}",
                    call.address
                ));
            }
            // It succeeded, or the lease was lost meanwhile: then there is nothing to call.
            Ok(Ok(_)) => {}
            Ok(Err(e)) => leases
                .log
                .write_line(format_args!("lease {name}: {}: {e}", call.address)),
            Err(_) => leases.log.write_line(format_args!(
                "lease {name}: {} does not answer",
                call.address
            )),
        }
    }
}

/// Calls once, if the lease is held when the connection is ready; returns the answer's status.
async fn call_once(
    leases: &Leases,
    name: &LeaseName,
    call: &model::Call,
) -> Result<Option<StatusCode>, String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let stream = TcpStream::connect(call.address)
        .await
        .map_err(|e| text(&e))?;
    let (mut sender, connection) = Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| text(&e))?;
    // Ends with this call, also where that is abandoned: the resource may never answer.
    let _connection = AbortOnDrop(tokio::task::spawn_local(connection).abort_handle());
    let Some(operation) = leases.operation(name, call.path.as_str()) else {
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
        .body(Empty::<Bytes>::new())
        .map_err(|e| text(&e))?;
    let answer = sender.send_request(request).await.map_err(|e| text(&e))?;
    Ok(Some(answer.status()))
}
