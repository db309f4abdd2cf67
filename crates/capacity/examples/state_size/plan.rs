//! Memory of routes and tenants in a plan, for the commands `routes` and `tenants`.

use crate::error::{Error, Result};
use crate::measure::{memory_figure, resident_bytes, Figures, THIS_PROCESS};
use reelfall_config::model::{Located, Model, Route, Tenant};
use reelfall_config::{check, reader, Plan};
use reelfall_routing::table::HostPattern;
use std::hint::black_box;

/// Number of routes of each host.
const ROUTES_PER_HOST: usize = 28;
/// The name of the settings in error messages.
const SETTINGS_NAME: &str = "state_size";
const SETTINGS: &str = r#"
[[listener]]
name = "public"
address = "127.0.0.1:8443"

[[service]]
name = "evaluate"

[[service.class]]
name = "evaluate"
repeat = "safe"
aim = "150ms"
deadline = "600ms"

[[service.member]]
name = "tenant"
quota = "3/s"

[[service.route]]
host = "flags.example.org"
path = "/api"
methods = ["GET"]
assign = "evaluate"

[[service.server]]
name = "flag-1"
address = "127.0.0.1:9001"
"#;

fn model() -> Result<Model> {
    Ok(reader::parse_toml(SETTINGS_NAME, SETTINGS)?)
}

/// Measures the memory of a plan with `size` routes.
pub fn routes(size: usize) -> Result<Figures> {
    let mut model = model()?;
    let service = model
        .services
        .first_mut()
        .ok_or(Error::MissingFixture("service"))?;
    let template = service.value.routes.first().cloned();
    let template = template.ok_or(Error::MissingFixture("route"))?;
    let before = resident_bytes(THIS_PROCESS)?;
    service.value.routes = (0..size)
        .map(|number| numbered_route(&template, number))
        .collect();
    let plan = check(model)?;
    let after = resident_bytes(THIS_PROCESS)?;
    black_box(&plan);
    Ok(memory_figure(after - before))
}

fn numbered_route(template: &Located<Route>, number: usize) -> Located<Route> {
    let host = format!("service-{}.example.org", number / ROUTES_PER_HOST);
    Located {
        value: Route {
            host: HostPattern::Exact(host.into()),
            path_prefix: format!("/v1/resource-{number}").into(),
            ..template.value.clone()
        },
        origin: template.origin.clone(),
    }
}

/// Measures the memory of `size` tenants in a plan, in the settings of the pool, in the key that identifies the pool and in the
/// levels of its decision module.
pub fn tenants(size: usize) -> Result<Figures> {
    let mut model = model()?;
    let service = model
        .services
        .first_mut()
        .ok_or(Error::MissingFixture("service"))?;
    let template = service.value.tenants.first().cloned();
    let template = template.ok_or(Error::MissingFixture("tenant"))?;
    let before = resident_bytes(THIS_PROCESS)?;
    service.value.tenants = (0..size)
        .map(|number| numbered_tenant(&template, number))
        .collect();
    let plan: Plan = check(model)?;
    let service = plan.model.services.first();
    let service = service.ok_or(Error::MissingFixture("service"))?;
    let config = plan.balancer_config(service);
    // The key that a pool is compared by, and the tenants' levels in its decision module.
    let pool_key = service.tenants.clone();
    let levels = vec![(f64::NAN, 0.0); size];
    let after = resident_bytes(THIS_PROCESS)?;
    black_box((&config, &pool_key, &levels));
    Ok(memory_figure(after - before))
}

fn numbered_tenant(template: &Located<Tenant>, number: usize) -> Located<Tenant> {
    Located {
        value: Tenant {
            name: format!("tenant-{number:07}"),
            ..template.value.clone()
        },
        origin: template.origin.clone(),
    }
}
