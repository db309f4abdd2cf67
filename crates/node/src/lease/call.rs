//! An address that one node calls for all, again and again.
//!
//! Each call says by which lease it is made. Whoever is called keeps the highest token that it has seen and answers a lower
//! one with 409 or 412 (RFC 9110, sections 15.5.10 and 15.5.13): the holder stood still, and somebody else has the lease.

use super::Leases;
use crate::net::service::AbortOnDrop;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_conf::model;
use reelfall_lease::token::Name;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// What is called answers within this time at most.
const ANSWERS_WITHIN: Duration = Duration::from_secs(10);

/// Calls for as long as it is polled.
pub async fn run(leases: Rc<Leases>, name: Name, call: model::Call) {
    let every = Duration::from_secs_f64(call.every);
    let mut next = Instant::now();
    loop {
        leases.until_held(&name).await;
        tokio::time::sleep_until(next.into()).await;
        let began = Instant::now();
        let answer = tokio::time::timeout(every.min(ANSWERS_WITHIN), once(&leases, &name, &call)).await;
        next = began + every;
        match answer {
            Ok(Ok(Some(StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED))) => {
                leases.log.say(format_args!("lease {name}: a later holder was seen by {}", call.address));
                leases.give_back(&name);
            }
            Ok(Ok(Some(status))) if !status.is_success() => {
                leases.log.say(format_args!("lease {name}: {} answers {status}", call.address));
            }
            // It answered well, or the lease was lost meanwhile: then there is nothing to be called.
            Ok(Ok(_)) => {}
            Ok(Err(e)) => leases.log.say(format_args!("lease {name}: {}: {e}", call.address)),
            Err(_) => leases.log.say(format_args!("lease {name}: {} does not answer", call.address)),
        }
    }
}

/// Calls once, if the lease is held when all else is ready; the answer's status.
async fn once(leases: &Leases, name: &Name, call: &model::Call) -> Result<Option<StatusCode>, String> {
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let stream = TcpStream::connect(call.address).await.map_err(|e| said(&e))?;
    let (mut send, connection) =
        Builder::new().handshake(TokioIo::new(stream)).await.map_err(|e| said(&e))?;
    // Ends with this call, also where that is given up: what is called may never answer.
    let _connection = AbortOnDrop(tokio::task::spawn_local(connection).abort_handle());
    let Some(act) = leases.act(name, call.path.as_str()) else { return Ok(None) };
    let (claim, path) = act.into_parts();
    let request = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", call.address.to_string())
        .header("x-lease", claim.lease.as_str())
        .header("x-lease-token", claim.token)
        .header("x-lease-holder", leases.me().name)
        .body(Empty::<Bytes>::new())
        .map_err(|e| said(&e))?;
    let answer = send.send_request(request).await.map_err(|e| said(&e))?;
    Ok(Some(answer.status()))
}
