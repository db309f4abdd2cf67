//! Clients on their way from one process of a node to its successor. Used by [`super::Takeover`].

use super::exchange::{Exchange, ExchangeError, ReceivedFrame};
use crate::net::frontend::{Frontend, Handover};
use futures_util::FutureExt;
use reelfall_admin::takeover::Frame;
use std::os::fd::AsFd;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Accepts the clients that the predecessor hands over, until its connection ends.
pub(super) async fn accept_clients(exchange: &mut Exchange, frontend: &Rc<Frontend>) {
    while let Ok(received) = exchange.receive().await {
        if !accept_client(received, frontend) {
            return;
        }
    }
}

/// Accepts the clients that the predecessor has sent already.
pub(super) fn accept_sent_clients(exchange: &mut Exchange, frontend: &Rc<Frontend>) {
    while let Some(Ok(received)) = exchange.receive().now_or_never() {
        if !accept_client(received, frontend) {
            return;
        }
    }
}

/// Accepts the client in a frame; returns whether there is one.
fn accept_client(received: ReceivedFrame, frontend: &Rc<Frontend>) -> bool {
    let Frame::Client { listener } = received.frame else {
        return false;
    };
    for descriptor in received.descriptors {
        frontend.accept_handover(descriptor.into(), &listener);
    }
    true
}

/// Sends clients to the successor until it is lost, and returns why it is.
pub(super) async fn send_clients(
    exchange: &mut Exchange,
    handovers: &mut UnboundedReceiver<Handover>,
) -> ExchangeError {
    loop {
        let handover = tokio::select! {
            received = exchange.receive() => {
                return received.err().unwrap_or(ExchangeError::ProtocolViolation);
            }
            Some(handover) = handovers.recv() => handover,
        };
        if let Err(error) = send_client(exchange, handover).await {
            return error;
        }
    }
}

async fn send_client(exchange: &Exchange, handover: Handover) -> Result<(), ExchangeError> {
    let Handover {
        stream,
        listener,
        done,
    } = handover;
    let client = Frame::Client { listener };
    let sent = exchange.send(&client, &[stream.as_fd()]).await;
    // The task that waits for the result may have ended.
    let _ = done.send(if sent.is_ok() { Ok(()) } else { Err(stream) });
    sent
}

/// Returns the clients that have not been sent; this process continues to serve them.
pub(super) fn return_clients(mut handovers: UnboundedReceiver<Handover>) {
    handovers.close();
    while let Ok(Handover { stream, done, .. }) = handovers.try_recv() {
        let _ = done.send(Err(stream));
    }
}
