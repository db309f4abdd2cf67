//! The class of an operation: the strictest of its root fields.

use crate::document::{Kind, Operation};
use std::collections::HashMap;
use thiserror::Error;

/// A class's number, as the service has it.
pub type ClassId = u16;

/// What concerns the choice of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassInfo {
    /// A second run does no harm.
    pub safe: bool,
    /// Given up after, in seconds.
    pub deadline: f64,
}

/// Why a mapping can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapFault {
    /// Field and class.
    #[error("mutation field `{0}` is mapped to a class that is safe to repeat")]
    SafeMutation(String),
    /// The default for mutations.
    #[error("the class of mutations that are not mapped is safe to repeat")]
    SafeDefault,
    /// A number that no class has.
    #[error("there is no class {0}")]
    NoClass(ClassId),
}

/// Which root field is of which class.
#[derive(Clone, Debug, Default)]
pub struct Mapping {
    /// Fields of the query root.
    pub query: HashMap<String, ClassId>,
    /// Fields of the mutation root.
    pub mutation: HashMap<String, ClassId>,
    /// All other fields of the query root.
    pub other_query: ClassId,
    /// All other fields of the mutation root.
    pub other_mutation: ClassId,
}

/// A mapping that never takes a mutation for safe.
#[derive(Clone, Debug)]
pub struct Classes {
    mapping: Mapping,
    infos: Vec<ClassInfo>,
}

impl Classes {
    /// Checks a mapping against the classes.
    ///
    /// # Errors
    /// If it names none, or one that is safe for a mutation.
    pub fn new(mapping: Mapping, infos: Vec<ClassInfo>) -> Result<Classes, MapFault> {
        let info = |c: ClassId| {
            infos
                .get(usize::from(c))
                .copied()
                .ok_or(MapFault::NoClass(c))
        };
        for class in mapping.query.values().chain([&mapping.other_query]) {
            info(*class)?;
        }
        for (field, class) in &mapping.mutation {
            if info(*class)?.safe {
                return Err(MapFault::SafeMutation(field.clone()));
            }
        }
        if info(mapping.other_mutation)?.safe {
            return Err(MapFault::SafeDefault);
        }
        Ok(Classes { mapping, infos })
    }

    /// The class of an operation. One that runs nothing has the class of fields that are not mapped.
    pub fn of(&self, operation: &Operation) -> ClassId {
        let (fields, other) = match operation.kind {
            Kind::Query => (&self.mapping.query, self.mapping.other_query),
            Kind::Mutation => (&self.mapping.mutation, self.mapping.other_mutation),
        };
        // What every server answers about itself is no reason for a stricter class.
        let about_itself = |field: &str| matches!(field, "__typename" | "__schema" | "__type");
        let roots = operation
            .roots
            .iter()
            .filter(|r| operation.kind == Kind::Mutation || !about_itself(&r.field));
        let classes = roots.map(|r| fields.get(&r.field).copied().unwrap_or(other));
        classes.reduce(|a, b| self.stricter(a, b)).unwrap_or(other)
    }

    /// Unsafe before safe, then whichever is given up sooner.
    fn stricter(&self, a: ClassId, b: ClassId) -> ClassId {
        let rank = |c: ClassId| self.infos.get(usize::from(c)).map(|i| (i.safe, i.deadline));
        match (rank(a), rank(b)) {
            (Some(ra), Some(rb)) if rb < ra => b,
            _ => a,
        }
    }

    /// Whether a second run of an operation would do no harm.
    pub fn safe(&self, operation: &Operation) -> bool {
        operation.kind == Kind::Query
            && self
                .infos
                .get(usize::from(self.of(operation)))
                .is_some_and(|i| i.safe)
    }
}
