//! The class of an operation: the strictest class of its root fields.

use crate::document::{Operation, OperationKind};
use std::collections::HashMap;
use thiserror::Error;

/// The id of a class: its index among those of the service.
pub type ClassId = u16;

/// The properties by which classes are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassInfo {
    /// Whether requests of the class may be retried.
    pub is_idempotent: bool,
    /// The time after which a request of the class fails, in seconds.
    pub deadline: f64,
}

/// Why a mapping is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MappingError {
    /// A field of the mutation root has a class that allows retries.
    #[error("mutation field `{0}` is mapped to a class that is safe to repeat")]
    SafeMutation(String),
    /// The default class of mutations allows retries.
    #[error("the class of mutations that are not mapped is safe to repeat")]
    SafeDefault,
    /// The service has no class with this id.
    #[error("there is no class {0}")]
    NoClass(ClassId),
}

/// The configured classes of root fields.
#[derive(Clone, Debug, Default)]
pub struct Mapping {
    /// The classes of query fields, by field name.
    pub query: HashMap<String, ClassId>,
    /// The classes of mutation fields, by field name.
    pub mutation: HashMap<String, ClassId>,
    /// The class of query fields that are not mapped.
    pub other_query: ClassId,
    /// The class of mutation fields that are not mapped.
    pub other_mutation: ClassId,
}

/// A valid mapping: no class of a mutation allows retries.
#[derive(Clone, Debug)]
pub struct Classes {
    mapping: Mapping,
    infos: Vec<ClassInfo>,
}

impl Classes {
    /// Validates a mapping. `infos` has the properties of each class, indexed by its id.
    ///
    /// # Errors
    /// If a class does not exist, or the class of a mutation allows retries.
    pub fn new(mapping: Mapping, infos: Vec<ClassInfo>) -> Result<Classes, MappingError> {
        let info = |class: ClassId| {
            infos
                .get(usize::from(class))
                .copied()
                .ok_or(MappingError::NoClass(class))
        };
        for class in mapping.query.values().chain([&mapping.other_query]) {
            info(*class)?;
        }
        for (field, class) in &mapping.mutation {
            if info(*class)?.is_idempotent {
                return Err(MappingError::SafeMutation(field.clone()));
            }
        }
        if info(mapping.other_mutation)?.is_idempotent {
            return Err(MappingError::SafeDefault);
        }
        Ok(Classes { mapping, infos })
    }

    /// The class of an operation. Without root fields, it is the class of fields that are not mapped.
    pub fn class_of(&self, operation: &Operation) -> ClassId {
        let (fields, other) = match operation.kind {
            OperationKind::Query => (&self.mapping.query, self.mapping.other_query),
            OperationKind::Mutation => (&self.mapping.mutation, self.mapping.other_mutation),
        };
        // Introspection fields of a query do not make its class stricter.
        let is_introspection = |field: &str| matches!(field, "__typename" | "__schema" | "__type");
        operation
            .roots
            .iter()
            .filter(|root| {
                operation.kind == OperationKind::Mutation || !is_introspection(&root.field)
            })
            .map(|root| fields.get(&root.field).copied().unwrap_or(other))
            .reduce(|first, second| self.stricter(first, second))
            .unwrap_or(other)
    }

    /// The stricter of two classes: the one that does not allow retries, or else the one with the shorter deadline.
    fn stricter(&self, first: ClassId, second: ClassId) -> ClassId {
        let rank = |class: ClassId| {
            let info = self.infos.get(usize::from(class))?;
            Some((info.is_idempotent, info.deadline))
        };
        match (rank(first), rank(second)) {
            (Some(first_rank), Some(second_rank)) if second_rank < first_rank => second,
            _ => first,
        }
    }

    /// Whether an operation may be retried.
    pub fn is_idempotent(&self, operation: &Operation) -> bool {
        operation.kind == OperationKind::Query
            && self
                .infos
                .get(usize::from(self.class_of(operation)))
                .is_some_and(|info| info.is_idempotent)
    }
}
