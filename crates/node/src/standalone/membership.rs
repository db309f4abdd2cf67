//! The node's membership in a fleet, with its leases. It lasts as long as the process: a reload does not change it.

use crate::fleet::FleetRuntime;
use crate::lease::{LeaseError, Leases};
use crate::net::management::ManagementResponse;
use crate::net::shared::Shared;
use hyper::StatusCode;
use reelfall_admin::request::FleetRequest;
use reelfall_config::model;
use std::future::Future;
use std::rc::Rc;

/// A node's part in its fleet: gossip, verdicts and leases.
pub struct Membership {
    fleet: Rc<FleetRuntime>,
    /// `None` if the settings file has no leases.
    leases: Option<Rc<Leases>>,
}

impl Membership {
    /// Joins the fleet, and starts the leases if the settings have any.
    ///
    /// # Errors
    /// If the leases can't be started.
    pub fn join(
        fleet: Rc<FleetRuntime>,
        settings: &model::Fleet,
        shared: &Shared,
    ) -> Result<Rc<Membership>, LeaseError> {
        shared.set_fleet_observer(fleet.clone());
        tokio::task::spawn_local(fleet.clone().run());
        let start_leases = |leases| Leases::start(&fleet, settings, leases);
        let leases = settings.leases.as_ref().map(start_leases).transpose()?;
        Ok(Rc::new(Membership { fleet, leases }))
    }

    /// Releases all leases and leaves the fleet, as the node shuts down; `exit` completes when the process is about to end. A
    /// lease whose call is still in progress then is not released, as the resource may work on: it expires.
    pub async fn leave(&self, exit: impl Future<Output = ()>) {
        if let Some(leases) = &self.leases {
            tokio::select! {
                biased;
                () = leases.leave() => {}
                () = exit => {}
            }
        }
        // Only now: a node that has left can't renew its leases.
        self.fleet.leave();
    }

    /// Answers a management request that concerns the fleet or its leases.
    pub fn handle_request(&self, request: &FleetRequest) -> ManagementResponse {
        match (request, &self.leases) {
            (FleetRequest::Leases, Some(leases)) => leases.report(),
            (FleetRequest::Release { lease, reason }, Some(leases)) => {
                leases.release(lease, reason)
            }
            (FleetRequest::Leases | FleetRequest::Release { .. }, None) => {
                let text = "this node has no [fleet.leases]\n";
                ManagementResponse::new(StatusCode::NOT_FOUND, text)
            }
            (request, _) => self.fleet.handle_request(request),
        }
    }
}
