//! A round-robin proxy that uses the same HTTP library as the node, but has no load-balancing logic. Its cost is the
//! baseline of the measurement `services`.

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

/// Forwards requests to `servers` in turn, for as long as the future is polled.
///
/// # Errors
/// Fails if accepting a connection fails.
pub async fn serve(listener: TcpListener, servers: Vec<SocketAddr>) -> Result<()> {
    let clients: Arc<Vec<Client>> = Arc::new(servers.into_iter().map(Client::new).collect());
    let next = Arc::new(AtomicUsize::new(0));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let (clients, next) = (clients.clone(), next.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| relay(clients.clone(), next.clone(), request));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn relay(
    clients: Arc<Vec<Client>>,
    next: Arc<AtomicUsize>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let response = forward(&clients, &next, request).await;
    Ok(response.unwrap_or_else(bad_gateway))
}

/// Forwards a request to the next server; `None` if there is no complete response.
async fn forward(
    clients: &[Client],
    next: &AtomicUsize,
    request: Request<Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?;
    let index = next.fetch_add(1, Ordering::Relaxed) % clients.len().max(1);
    let request = Request::from_parts(head, Full::new(body.to_bytes()));
    let received = clients.get(index)?.send(request).await.ok()?;
    let mut response = Response::new(Full::new(received.body));
    *response.status_mut() = received.status;
    Some(response)
}

fn bad_gateway() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}
