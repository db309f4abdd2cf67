//! Checks GraphQL settings: the classes of root fields, and the limits of requests.

use super::{indices, Checker};
use crate::model::{Class, GraphQl, Located, RetrySafety, Service};
use reelfall_balancer::interface as core;
use reelfall_graphql::class::{ClassInfo, Classes, Mapping};
use std::collections::{BTreeMap, HashMap};
use thiserror::Error;

/// Checks the GraphQL settings of a service, if it has any.
pub(super) fn check_graphql(checker: &mut Checker, service: &Located<Service>) {
    let Some(graphql) = &service.graphql else {
        return;
    };
    let name = &service.name;
    if let Err(error) = graphql_classes(service, graphql) {
        checker.report(&graphql.origin, format!("service `{name}`: {error}"));
    }
    let limits = &graphql.limits;
    checker.require((1..=64).contains(&limits.depth), &graphql.origin, || {
        format!(
            "service `{name}`: depth is {}, not between 1 and 64",
            limits.depth
        )
    });
    checker.require(
        (1..=256).contains(&limits.batch) && (1..=64).contains(&graphql.max_parallel_reads),
        &graphql.origin,
        || format!("service `{name}`: batch must be 1 to 256, side_by_side 1 to 64"),
    );
}

/// Why the classes of GraphQL root fields are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GraphQlClassesError {
    /// A field is mapped to a class that the service does not have.
    #[error("unknown class `{name}`")]
    UnknownClass {
        /// The unknown name.
        name: String,
    },
    /// A class is not permitted for its fields.
    #[error(transparent)]
    Invalid(#[from] reelfall_graphql::class::MappingError),
}

/// Maps the root fields of a service to its classes.
///
/// # Errors
/// If a class is unknown, or a mutation is mapped to an idempotent class.
pub fn graphql_classes(
    service: &Service,
    graphql: &GraphQl,
) -> Result<Classes, GraphQlClassesError> {
    let ids = indices(service.classes.iter().map(|class| class.name.as_str()));
    let mapping = Mapping {
        query: field_classes(&ids, &graphql.query_classes)?,
        mutation: field_classes(&ids, &graphql.mutation_classes)?,
        other_query: class_id(&ids, &graphql.default_query_class)?,
        other_mutation: class_id(&ids, &graphql.default_mutation_class)?,
    };
    let info = |class: &Located<Class>| ClassInfo {
        is_idempotent: class.retry_safety == RetrySafety::Idempotent,
        deadline: class.deadline,
    };
    let classes = service.classes.iter().map(info).collect();
    Ok(Classes::new(mapping, classes)?)
}

/// The class id of each field.
fn field_classes(
    ids: &HashMap<&str, usize>,
    fields: &BTreeMap<String, String>,
) -> Result<HashMap<String, core::ClassId>, GraphQlClassesError> {
    fields
        .iter()
        .map(|(field, class)| Ok((field.clone(), class_id(ids, class)?)))
        .collect()
}

fn class_id(ids: &HashMap<&str, usize>, name: &str) -> Result<core::ClassId, GraphQlClassesError> {
    ids.get(name)
        .and_then(|index| core::ClassId::try_from(*index).ok())
        .ok_or_else(|| GraphQlClassesError::UnknownClass {
            name: name.to_owned(),
        })
}
