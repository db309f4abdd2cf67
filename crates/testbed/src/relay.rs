//! A proxy that decides nothing: the same library as the node, one request at a time to each server in turn. What it
//! costs is what a request costs before anything is decided; the node is measured against it.

use crate::client::Client;
use crate::Result;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::net::TcpListener;

/// Serves until it is dropped.
///
/// # Errors
/// If the listener breaks.
pub async fn serve(listener: TcpListener, to: Vec<SocketAddr>) -> Result<()> {
    let clients: Arc<Vec<Client>> = Arc::new(to.into_iter().map(Client::new).collect());
    let next = Arc::new(AtomicUsize::new(0));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let (clients, next) = (clients.clone(), next.clone());
        tokio::spawn(async move {
            let answer = service_fn(|request| relay(clients.clone(), next.clone(), request));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer)
                .await;
        });
    }
}

async fn relay(
    clients: Arc<Vec<Client>>,
    next: Arc<AtomicUsize>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let bad = || {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        Ok(response)
    };
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return bad();
    };
    let at = next.fetch_add(1, Ordering::Relaxed) % clients.len().max(1);
    let Some(client) = clients.get(at) else {
        return bad();
    };
    match client
        .send(Request::from_parts(head, Full::new(body.to_bytes())))
        .await
    {
        Ok(got) => {
            let mut response = Response::new(Full::new(got.body));
            *response.status_mut() = got.status;
            Ok(response)
        }
        Err(_) => bad(),
    }
}
