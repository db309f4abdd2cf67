//! Acquires a connection for an attempt: an idle one if there is one, otherwise a new one as soon as the limits allow.

use super::attempt::Attempt;
use super::connection::{Connection, Target};
use super::AttemptContext;
use crate::net::shared::ConnectionPermit;
use reelfall_balancer::interface::Outcome;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::time::timeout_at;

impl<C: AttemptContext> Attempt<C> {
    /// A connection to the server, or the outcome of the attempt if there is none.
    ///
    /// If this node has reached its connection limit, the attempt waits for a connection: the limit says nothing about
    /// the server, and reporting failures would eject one server after the other.
    pub(super) async fn acquire(&self) -> Result<Connection, Outcome> {
        let pool = self.context.connections();
        let wait_until = self.connect_deadline();
        loop {
            if !self.context.is_answer_wanted(self.request) {
                return Err(Outcome::NotSent);
            }
            if let Some(connection) = pool.take(self.server) {
                return Ok(connection);
            }
            let Some(address) = self.context.address(self.server) else {
                return Err(Outcome::ConnectFailed);
            };
            if let Some(permit) = pool.reserve_connection(address) {
                return self.connect(address, permit).await;
            }
            self.wait_for_connection(wait_until).await?;
        }
    }

    /// The deadline of a connect that begins now.
    fn connect_deadline(&self) -> Instant {
        let connect_timeout = self.context.connections().connect_timeout;
        self.deadlines.send_by.min(Instant::now() + connect_timeout)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        permit: ConnectionPermit,
    ) -> Result<Connection, Outcome> {
        let deadline = self.connect_deadline();
        let target = Target {
            server: self.server,
            address,
            generation: self.context.connections().generation(self.server),
        };
        Connection::open(target, permit, deadline, &self.context.connections().shared)
            .await
            .ok_or(Outcome::ConnectFailed)
    }

    async fn wait_for_connection(&self, until: Instant) -> Result<(), Outcome> {
        let pool = self.context.connections();
        let _waiting = pool.shared.count_waiting_attempt();
        timeout_at(until.into(), pool.connection_available.notified())
            .await
            .map_err(|_| {
                pool.shared
                    .log
                    .write_line(format_args!("all connections to servers are in use"));
                Outcome::NotSent
            })
    }
}
