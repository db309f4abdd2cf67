//! Checks registries, and the services whose servers they list.

use super::{Checker, MAX_NAME_LEN};
use crate::model::{Located, Model, NodeEntry, Registry, RegistrySource, Service, Source};
use std::collections::HashSet;

/// Checks all registries.
pub(super) fn registries(checker: &mut Checker, model: &Model) {
    checker.require_unique_names("registry", &model.registries, |r| &r.name);
    for registry in &model.registries {
        let name = &registry.name;
        checker.require(!registry.members.is_empty(), &registry.origin, || {
            format!("registry `{name}` has no members: add their addresses")
        });
        checker.require(
            (0.1..=600.0).contains(&registry.session_timeout),
            &registry.origin,
            || {
                format!(
                    "registry `{name}`: session is {}s, not between 100ms and 600s",
                    registry.session_timeout
                )
            },
        );
        checker.require(
            registry.connect_timeout > 0.0 && registry.connect_timeout <= registry.session_timeout,
            &registry.origin,
            || format!("registry `{name}`: connect is more than 0 and at most session"),
        );
        if let Some(entry) = &registry.entry {
            node_entry(checker, registry, entry);
        }
    }
}

/// Checks the entry of this node in a registry.
fn node_entry(checker: &mut Checker, registry: &Registry, entry: &Located<NodeEntry>) {
    let name = &registry.name;
    checker.require(is_registry_path(&entry.path), &entry.origin, || {
        format!(
            "`{}` is no path of a registry: write it as \"/nodes/n1\"",
            entry.path
        )
    });
    checker.require(
        !entry.guarded || registry.digest_file.is_some(),
        &entry.origin,
        || {
            format!(
                "registry `{name}`: a guarded entry needs digest_file, or nobody could change it"
            )
        },
    );
    checker.require(
        !entry.name.is_empty() && entry.name.len() <= MAX_NAME_LEN,
        &entry.origin,
        || {
            format!(
                "registry `{name}`: an entry needs the node's name, {MAX_NAME_LEN} bytes at most"
            )
        },
    );
}

/// Checks a service whose servers are listed by a registry; `registries` are the names of the existing ones.
pub(super) fn registry_source(
    checker: &mut Checker,
    registries: &HashSet<&str>,
    service: &Located<Service>,
) {
    let Source::Registry(RegistrySource {
        registry,
        path,
        follower,
        initial_servers,
    }) = &service.source
    else {
        return;
    };
    let name = &service.name;
    checker.require_unique_names("server", initial_servers, |s| &s.name);
    checker.require(
        registries.contains(registry.as_str()),
        &service.origin,
        || format!("service `{name}`: there is no registry `{registry}`"),
    );
    checker.require(is_registry_path(path), &service.origin, || {
        format!(
            "service `{name}`: `{path}` is no path of a registry: write it as \"/flags/evaluate\""
        )
    });
    checker.require(
        (1..=100_000).contains(&follower.max_entries),
        &service.origin,
        || {
            format!(
                "service `{name}`: entries is {}, not between 1 and 100000",
                follower.max_entries
            )
        },
    );
    checker.require(
        follower.reread_interval >= 1.0 && follower.stale_after >= 1.0,
        &service.origin,
        || format!("service `{name}`: reread and stale_after are 1s at least"),
    );
}

/// Whether a path is valid in a registry, and below its root.
fn is_registry_path(path: &str) -> bool {
    let is_valid_segment = |segment: &str| {
        !matches!(segment, "" | "." | "..") && !segment.chars().any(char::is_control)
    };
    path.strip_prefix('/')
        .is_some_and(|rest| rest.split('/').all(is_valid_segment))
}
