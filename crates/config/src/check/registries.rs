//! Checks registries, and the services that follow them.

use super::{Checker, MAX_NAME_LEN};
use crate::model::{ListSource, Located, Model, NodeEntry, Registry, RegistrySource, Service};
use std::collections::HashSet;

/// Checks the settings of all registries.
pub(super) fn check_registries(checker: &mut Checker, model: &Model) {
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
            || format!("registry `{name}`: connect must be more than 0 and at most session"),
        );
        if let Some(entry) = &registry.entry {
            check_node_entry(checker, registry, entry);
        }
    }
}

/// Checks the entry of this node in a registry.
fn check_node_entry(checker: &mut Checker, registry: &Registry, entry: &Located<NodeEntry>) {
    let name = &registry.name;
    checker.require(is_registry_path(&entry.path), &entry.origin, || {
        format!(
            "invalid registry path `{}`: write an absolute path, such as \"/nodes/n1\"",
            entry.path
        )
    });
    checker.require(
        !entry.is_guarded || registry.digest_file.is_some(),
        &entry.origin,
        || {
            format!(
                "registry `{name}`: a guarded entry requires digest_file; without it, no one could change the entry"
            )
        },
    );
    checker.require(
        !entry.name.is_empty() && entry.name.len() <= MAX_NAME_LEN,
        &entry.origin,
        || {
            format!(
                "registry `{name}`: the name of this node's entry must have 1 to {MAX_NAME_LEN} bytes"
            )
        },
    );
}

/// Checks the settings of a service that follows a registry; `registries` are the names of all registries.
pub(super) fn check_registry_source(
    checker: &mut Checker,
    registries: &HashSet<&str>,
    service: &Located<Service>,
) {
    let ListSource::Registry(RegistrySource {
        registry,
        path,
        follower,
        initial_servers,
    }) = &service.list_source
    else {
        return;
    };
    let name = &service.name;
    checker.require_unique_names("server", initial_servers, |s| &s.name);
    checker.require(
        registries.contains(registry.as_str()),
        &service.origin,
        || format!("service `{name}`: unknown registry `{registry}`"),
    );
    checker.require(is_registry_path(path), &service.origin, || {
        format!(
            "service `{name}`: invalid registry path `{path}`: write an absolute path, such as \"/flags/evaluate\""
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
        || format!("service `{name}`: reread and stale_after must be at least 1s"),
    );
}

/// Whether a text is a valid path of a registry entry: absolute, and not the root.
fn is_registry_path(path: &str) -> bool {
    let is_valid_segment = |segment: &str| {
        !matches!(segment, "" | "." | "..") && !segment.chars().any(char::is_control)
    };
    path.strip_prefix('/')
        .is_some_and(|rest| rest.split('/').all(is_valid_segment))
}
