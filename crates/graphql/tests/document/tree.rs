//! Trees of random documents.

use proptest::prelude::{any, prop, prop_oneof, Just, Strategy};

/// Number of variables that each operation of a document defines.
pub const VARIABLES: usize = 3;

/// The value of an `@skip` or `@include` directive.
#[derive(Clone, Debug)]
pub enum Condition {
    /// There is no directive.
    Absent,
    /// A Boolean literal.
    Literal(bool),
    /// The variable with this index, which may have a value, a default, or neither.
    Variable(u8),
}

/// An element of a selection set.
#[derive(Clone, Debug)]
pub enum Selection {
    /// A field.
    Field {
        /// The alias, if there is one.
        alias: Option<&'static str>,
        /// The name of the field.
        name: &'static str,
        /// The `@skip` directive.
        skip: Condition,
        /// The `@include` directive.
        include: Condition,
        /// The selection set, empty if there is none.
        selections: Vec<Selection>,
    },
    /// A fragment spread.
    Spread {
        /// The index of the fragment.
        fragment: usize,
        /// The `@include` directive.
        include: Condition,
    },
    /// An inline fragment.
    InlineFragment {
        /// Whether the fragment has a type condition.
        has_type_condition: bool,
        /// The `@skip` directive.
        skip: Condition,
        /// The selection set.
        selections: Vec<Selection>,
    },
}

/// How an operation begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OperationForm {
    /// The keyword `query`.
    Query,
    /// The keyword `mutation`.
    Mutation,
    /// The query shorthand, without keyword, name and variables. It is valid only if the document has one operation;
    /// otherwise it is printed as a query.
    Shorthand,
}

/// An operation.
#[derive(Clone, Debug)]
pub struct OperationTree {
    /// How the operation begins.
    pub form: OperationForm,
    /// The selection set.
    pub selections: Vec<Selection>,
}

/// A document, and the request that runs one of its operations.
#[derive(Clone, Debug)]
pub struct Document {
    /// The operations, one at least.
    pub operations: Vec<OperationTree>,
    /// The selection sets of the fragments.
    pub fragments: Vec<Vec<Selection>>,
    /// The index of the operation that runs.
    pub chosen: usize,
    /// The values of the variables in the request.
    pub values: [Option<bool>; VARIABLES],
    /// The default values of the variables.
    pub defaults: [Option<bool>; VARIABLES],
    /// Whether comments and strings with brackets and keywords are inserted.
    pub has_noise: bool,
}

impl Document {
    /// The operation that runs.
    pub fn chosen_operation(&self) -> &OperationTree {
        &self.operations[self.chosen]
    }

    /// Whether the document has one operation, which needs no name.
    pub fn has_single_operation(&self) -> bool {
        self.operations.len() == 1
    }
}

fn condition() -> impl Strategy<Value = Condition> {
    prop_oneof![
        4 => Just(Condition::Absent),
        1 => any::<bool>().prop_map(Condition::Literal),
        2 => (0..VARIABLES as u8).prop_map(Condition::Variable),
    ]
}

fn leaf_field() -> impl Strategy<Value = Selection> {
    let name = prop_oneof![
        Just("evaluate"),
        Just("toggle"),
        Just("rollout"),
        Just("audit"),
        Just("__typename"),
        Just("mutation"),
        Just("query")
    ];
    let alias = prop::option::weighted(
        0.3,
        prop_oneof![Just("evaluate"), Just("x"), Just("toggle")],
    );
    (alias, name, condition(), condition()).prop_map(|(alias, name, skip, include)| {
        Selection::Field {
            alias,
            name,
            skip,
            include,
            selections: vec![],
        }
    })
}

/// A selection set that spreads the first `fragments` fragments.
fn selections(fragments: usize) -> impl Strategy<Value = Vec<Selection>> {
    let leaf = leaf_field();
    let spread = (0..fragments.max(1), condition())
        .prop_map(|(fragment, include)| Selection::Spread { fragment, include });
    let selection = if fragments == 0 {
        leaf.boxed()
    } else {
        prop_oneof![4 => leaf, 2 => spread].boxed()
    };
    let selection = selection.prop_recursive(3, 12, 3, |inner| {
        prop_oneof![
            (
                any::<bool>(),
                condition(),
                prop::collection::vec(inner.clone(), 1..3)
            )
                .prop_map(|(has_type_condition, skip, selections)| {
                    Selection::InlineFragment {
                        has_type_condition,
                        skip,
                        selections,
                    }
                }),
            prop::collection::vec(inner, 1..3).prop_map(|selections| Selection::Field {
                alias: None,
                name: "evaluate",
                skip: Condition::Absent,
                include: Condition::Absent,
                selections
            }),
        ]
    });
    prop::collection::vec(selection, 1..4)
}

fn operation() -> impl Strategy<Value = OperationTree> {
    let form = prop_oneof![
        3 => Just(OperationForm::Query),
        2 => Just(OperationForm::Mutation),
        1 => Just(OperationForm::Shorthand),
    ];
    (form, selections(3)).prop_map(|(form, selections)| OperationTree { form, selections })
}

/// A valid document.
pub fn document() -> impl Strategy<Value = Document> {
    // A fragment spreads only earlier ones, so that there are no cycles.
    let fragments = (selections(0), selections(1), selections(2))
        .prop_map(|(first, second, third)| vec![first, second, third]);
    let operations = prop::collection::vec(operation(), 1..4);
    let booleans = || prop::array::uniform3(prop::option::of(any::<bool>()));
    (
        operations,
        fragments,
        any::<usize>(),
        booleans(),
        booleans(),
        any::<bool>(),
    )
        .prop_map(
            |(operations, fragments, chosen, values, defaults, has_noise)| {
                let chosen = chosen % operations.len();
                Document {
                    operations,
                    fragments,
                    chosen,
                    values,
                    defaults,
                    has_noise,
                }
            },
        )
}
