//! Requests to the management addresses of a fleet's nodes, as operators send them.

use super::error::FleetError;
use super::history::Event;
use super::{server_name, TestFleet};
use crate::client::Client;
use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::time::Duration;

/// Longest time for the response of a management address.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The response of a node to an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagementResponse {
    /// Status code.
    pub status: u16,
    /// Body, as text.
    pub body: String,
}

impl ManagementResponse {
    fn into_result(self) -> Result<()> {
        if self.status == 200 {
            Ok(())
        } else {
            Err(FleetError::Rejected {
                status: self.status,
                body: self.body,
            }
            .into())
        }
    }
}

impl TestFleet {
    /// Sends a request to the management address of a node.
    ///
    /// # Errors
    /// Fails if the node has no management address or does not respond within two seconds.
    pub async fn call_management(
        &self,
        node: usize,
        method: &str,
        path: &str,
    ) -> Result<ManagementResponse> {
        let address = self.management(node).ok_or(FleetError::MissingManagement)?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "node")
            .body(Full::new(Bytes::new()))?;
        let client = Client::new(address);
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, client.send(request)).await??;
        Ok(ManagementResponse {
            status: response.status.as_u16(),
            body: String::from_utf8_lossy(&response.body).into_owned(),
        })
    }

    /// Bans a server through a node, for some seconds or as long as possible. Recorded in the history once the node has
    /// accepted the ban.
    ///
    /// # Errors
    /// Fails if the node rejects it.
    pub async fn ban_server(&self, node: usize, server: usize, seconds: Option<u32>) -> Result<()> {
        let query = seconds.map_or(String::new(), |seconds| format!("?for={seconds}"));
        let path = format!("/-/fleet/servers/{}/ban{query}", server_name(server));
        let response = self.call_management(node, "POST", &path).await?;
        response.into_result()?;
        self.history.record(Event::Banned {
            node,
            server,
            seconds,
        });
        Ok(())
    }

    /// Lifts the ban of a server through a node. Recorded in the history before the request is sent.
    ///
    /// # Errors
    /// Fails if the node rejects it.
    pub async fn lift_ban(&self, node: usize, server: usize) -> Result<()> {
        self.history.record(Event::BanLifted { node, server });
        let path = format!("/-/fleet/servers/{}/lift", server_name(server));
        let response = self.call_management(node, "POST", &path).await?;
        response.into_result()
    }

    /// Whether each running node lists as many members as there are running nodes.
    pub async fn is_converged(&self) -> bool {
        let running = self.running_nodes();
        for node in &running {
            let response = self.call_management(*node, "GET", "/-/fleet/members").await;
            let Ok(ManagementResponse { status: 200, body }) = response else {
                return false;
            };
            let is_member = |line: &&str| line.contains(", life ");
            if body.lines().filter(is_member).count() != running.len() {
                return false;
            }
        }
        true
    }
}
