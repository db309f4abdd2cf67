//! Registries, and the services that follow them.

use super::{Checker, NAME_MOST};
use crate::model::{Located, Model, RegistrySource, Service, Source};
use std::collections::HashSet;

pub(super) fn registries(c: &mut Checker, model: &Model) {
    c.names("registry", &model.registries, |r| &r.name);
    for registry in &model.registries {
        let name = &registry.name;
        c.want(!registry.members.is_empty(), &registry.origin, || {
            format!("registry `{name}` has no members: add their addresses")
        });
        c.want(
            (0.1..=600.0).contains(&registry.session_timeout),
            &registry.origin,
            || {
                format!(
                    "registry `{name}`: session is {}s, not between 100ms and 600s",
                    registry.session_timeout
                )
            },
        );
        c.want(
            registry.connect_timeout > 0.0 && registry.connect_timeout <= registry.session_timeout,
            &registry.origin,
            || format!("registry `{name}`: connect is more than 0 and at most session"),
        );
        if let Some(entry) = &registry.entry {
            c.want(registry_path(&entry.path), &entry.origin, || {
                format!(
                    "`{}` is no path of a registry: write it as \"/nodes/n1\"",
                    entry.path
                )
            });
            c.want(!entry.guarded || registry.digest_file.is_some(), &entry.origin, || {
                format!("registry `{name}`: a guarded entry needs digest_file, or nobody could change it")
            });
            c.want(!entry.name.is_empty() && entry.name.len() <= NAME_MOST, &entry.origin, || {
                format!("registry `{name}`: an entry needs the node's name, {NAME_MOST} bytes at most")
            });
        }
    }
}

/// What a service says of the registry that it follows, if it does; `registries` are the names of those that are there.
pub(super) fn followed(c: &mut Checker, registries: &HashSet<&str>, service: &Located<Service>) {
    let Source::Registry(RegistrySource {
        registry,
        path,
        limits,
        initial_servers: known,
    }) = &service.source
    else {
        return;
    };
    let name = &service.name;
    c.names("server", known, |s| &s.name);
    c.want(
        registries.contains(registry.as_str()),
        &service.origin,
        || format!("service `{name}`: there is no registry `{registry}`"),
    );
    c.want(registry_path(path), &service.origin, || {
        format!(
            "service `{name}`: `{path}` is no path of a registry: write it as \"/flags/evaluate\""
        )
    });
    c.want(
        (1..=100_000).contains(&limits.entries),
        &service.origin,
        || {
            format!(
                "service `{name}`: entries is {}, not between 1 and 100000",
                limits.entries
            )
        },
    );
    c.want(
        limits.reread >= 1.0 && limits.stale_after >= 1.0,
        &service.origin,
        || format!("service `{name}`: reread and stale_after are 1s at least"),
    );
}

/// Whether a path can be one of a registry's, below its root.
fn registry_path(path: &str) -> bool {
    let segment =
        |s: &str| !s.is_empty() && s != "." && s != ".." && !s.chars().any(char::is_control);
    path.strip_prefix('/')
        .is_some_and(|rest| rest.split('/').all(segment))
}
