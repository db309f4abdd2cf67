//! Clients on sockets with properties that loopback TCP sockets do not have.

use super::frontend::{Frontend, ListenSocket};
use super::pool::{ListOrigin, Pool, PoolConfig};
use super::service::{Routing, Service};
use super::shared::Shared;
use super::task::AbortOnDrop;
use super::ResourceLimits;
use reelfall_balancer::settings;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SETTINGS: &str = r#"{"categories":[{"name":"read","promise":1.5,"deadline":6.0,"worth":1.0,"effect":"idempotent"}],
    "limits":{"conn-idle":5.0,"connect-timeout":0.5,"max-attempts":4}}"#;

/// A frontend whose one pool has no list yet.
pub(super) fn frontend() -> Rc<Frontend> {
    let (settings, names, connection_settings) = settings::read(SETTINGS).expect("usable settings");
    let shared = Shared::for_single_service(ResourceLimits::for_process(256, 64));
    let pool = Pool::new(PoolConfig {
        settings,
        names,
        connection_settings,
        seed: 1,
        list_origin: ListOrigin::Discovered,
        shared: shared.clone(),
        service_id: None,
    })
    .expect("a pool");
    let follow = AbortOnDrop(tokio::task::spawn_local(std::future::pending::<()>()).abort_handle());
    Frontend::new(
        shared,
        Routing::Single(Service::single(pool, follow)),
        16,
        1,
    )
}

async fn get_health(
    client: OwnedFd,
    frontend: &Rc<Frontend>,
    mut remote: tokio::net::UnixStream,
) -> io::Result<String> {
    frontend.accept_handover(client.into(), "client");
    remote
        .write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n")
        .await?;
    let mut answer = String::new();
    remote.read_to_string(&mut answer).await?;
    Ok(answer)
}

#[test]
fn connection_whose_socket_rejects_tcp_nodelay_is_served() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let frontend = frontend();
        let address = "127.0.0.1:0".parse().expect("an address");
        frontend.set_listeners(vec![
            ListenSocket::bind("client", address, 16, false).expect("a listener")
        ]);
        // A Unix stream socket does not support TCP_NODELAY.
        let (local, remote) = std::os::unix::net::UnixStream::pair().expect("a pair");
        remote.set_nonblocking(true).expect("a socket");
        let remote = tokio::net::UnixStream::from_std(remote).expect("a socket");
        let answer = get_health(local.into(), &frontend, remote)
            .await
            .expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    });
}
