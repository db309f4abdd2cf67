//! GraphQL over HTTP: the classes of root fields, and the bounds of a request.

use super::{numbers, Checker};
use crate::model::{Class, GraphQl, Located, RetrySafety, Service};
use reelfall_balancer::interface as core;
use reelfall_graphql::class::{ClassInfo, Classes, Mapping};
use std::collections::{BTreeMap, HashMap};

/// What a service says of GraphQL, if it does.
pub(super) fn graphql(c: &mut Checker, service: &Located<Service>) {
    let Some(graphql) = &service.graphql else {
        return;
    };
    let name = &service.name;
    if let Err(fault) = graphql_classes(service, graphql) {
        c.say(&graphql.origin, format!("service `{name}`: {fault}"));
    }
    let GraphQl {
        limits,
        max_parallel_reads: side_by_side,
        ..
    } = &graphql.value;
    c.want((1..=64).contains(&limits.depth), &graphql.origin, || {
        format!(
            "service `{name}`: depth is {}, not between 1 and 64",
            limits.depth
        )
    });
    c.want(
        (1..=256).contains(&limits.batch) && (1..=64).contains(side_by_side),
        &graphql.origin,
        || format!("service `{name}`: batch is 1 to 256, side_by_side 1 to 64"),
    );
}

/// The classes of a service's root fields.
///
/// # Errors
/// If a name is that of no class, or a mutation would count as safe.
pub fn graphql_classes(service: &Service, graphql: &GraphQl) -> Result<Classes, String> {
    let numbers = numbers(service.classes.iter().map(|c| c.name.as_str()));
    let class = |name: &String| {
        let at = numbers.get(name.as_str()).copied();
        at.and_then(|at| core::ClassId::try_from(at).ok())
            .ok_or_else(|| format!("there is no class `{name}`"))
    };
    let fields =
        |fields: &BTreeMap<String, String>| -> Result<HashMap<String, core::ClassId>, String> {
            fields
                .iter()
                .map(|(field, name)| Ok((field.clone(), class(name)?)))
                .collect()
        };
    let mapping = Mapping {
        query: fields(&graphql.query)?,
        mutation: fields(&graphql.mutation)?,
        other_query: class(&graphql.other_query)?,
        other_mutation: class(&graphql.other_mutation)?,
    };
    let info = |c: &Located<Class>| ClassInfo {
        safe: c.retry_safety == RetrySafety::Idempotent,
        deadline: c.deadline,
    };
    Classes::new(mapping, service.classes.iter().map(info).collect()).map_err(|e| e.to_string())
}
