//! Validation of mappings of fields to classes.

use reelfall_graphql::class::{ClassId, ClassInfo, Classes, Mapping, MappingError};

const IDEMPOTENT: ClassId = 0;
const NOT_IDEMPOTENT: ClassId = 1;
const UNKNOWN: ClassId = 7;

/// A mapping with these classes of mutation fields.
fn mutation_mapping(fields: &[(&str, ClassId)], other_mutation: ClassId) -> Mapping {
    Mapping {
        mutation: fields
            .iter()
            .map(|(field, class)| ((*field).to_owned(), *class))
            .collect(),
        other_mutation,
        ..Mapping::default()
    }
}

/// Validates a mapping for two classes, of which the first is idempotent.
fn validate(mapping: Mapping) -> Result<(), MappingError> {
    let info = |is_idempotent| ClassInfo {
        is_idempotent,
        deadline: 1.0,
    };
    Classes::new(mapping, vec![info(true), info(false)]).map(|_| ())
}

#[test]
fn mutation_with_an_idempotent_class_is_rejected() {
    assert_eq!(
        validate(mutation_mapping(&[("touch", IDEMPOTENT)], NOT_IDEMPOTENT)).unwrap_err(),
        MappingError::SafeMutation("touch".to_owned())
    );
    assert_eq!(
        validate(mutation_mapping(&[], IDEMPOTENT)).unwrap_err(),
        MappingError::SafeDefault
    );
    assert_eq!(
        validate(mutation_mapping(&[("touch", UNKNOWN)], NOT_IDEMPOTENT)).unwrap_err(),
        MappingError::NoClass(UNKNOWN)
    );
    assert!(validate(mutation_mapping(
        &[("touch", NOT_IDEMPOTENT)],
        NOT_IDEMPOTENT
    ))
    .is_ok());
}
