//! Compares random documents, valid and corrupted, with the reference evaluator and with a scanner of lexical tokens.

use crate::common::naive;
use crate::printer::{print, PrintedDocument};
use crate::reference::{evaluate, RootField};
use crate::tree::{document, Document};
use proptest::prelude::{any, prop, Strategy};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_graphql::class::{ClassId, ClassInfo, Classes, Mapping};
use reelfall_graphql::document::{parse_operation, OperationKind};
use reelfall_graphql::Limits;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

const IDEMPOTENT: ClassId = 0;
const NOT_IDEMPOTENT: ClassId = 1;
/// The strictest class: it is not idempotent, and has the shortest deadline.
const SHORT_DEADLINE: ClassId = 2;

/// Number of documents of each test, unless the environment variable `DOCUMENTS` is set.
const DEFAULT_DOCUMENTS: u32 = 2_000;

/// The bytes that a corruption can insert.
const INSERTED_BYTES: &[u8; 14] = b"{}()@\"#\\\r\n :$.";

fn classes() -> Classes {
    let mapping = Mapping {
        query: [
            ("evaluate".to_owned(), IDEMPOTENT),
            ("audit".to_owned(), NOT_IDEMPOTENT),
        ]
        .into(),
        mutation: [
            ("toggle".to_owned(), NOT_IDEMPOTENT),
            ("rollout".to_owned(), SHORT_DEADLINE),
        ]
        .into(),
        other_query: IDEMPOTENT,
        other_mutation: NOT_IDEMPOTENT,
    };
    let info = |is_idempotent, deadline| ClassInfo {
        is_idempotent,
        deadline,
    };
    Classes::new(
        mapping,
        vec![info(true, 0.6), info(false, 0.6), info(false, 0.5)],
    )
    .unwrap()
}

/// Limits that no generated document exceeds.
fn wide_limits() -> Limits {
    Limits {
        depth: 64,
        aliases: 100_000,
        cost: 100_000,
        ..Limits::default()
    }
}

fn document_count() -> u32 {
    std::env::var("DOCUMENTS")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(DEFAULT_DOCUMENTS)
}

fn runner(seed: [u8; 32]) -> TestRunner {
    TestRunner::new_with_rng(
        Config {
            failure_persistence: None,
            ..Config::default()
        },
        TestRng::from_seed(RngAlgorithm::ChaCha, &seed),
    )
}

fn assert_matches_reference(document: &Document) {
    let PrintedDocument {
        text,
        operation_name,
    } = print(document);
    let variables: Map<String, Value> = document
        .values
        .iter()
        .enumerate()
        .filter_map(|(index, value)| Some((format!("v{index}"), Value::Bool((*value)?))))
        .collect();
    let operation = parse_operation(&text, operation_name.as_deref(), &variables, &wide_limits())
        .unwrap_or_else(|error| panic!("{error:?} for\n{text}"));
    let expected = evaluate(document);
    let is_mutation = expected.is_mutation;
    assert_eq!(
        operation.kind == OperationKind::Mutation,
        is_mutation,
        "{text}"
    );
    let roots: BTreeSet<RootField> = operation
        .roots
        .iter()
        .map(|root| RootField {
            key: root.key.clone(),
            field: root.field.clone(),
        })
        .collect();
    assert_eq!(roots, expected.roots, "{text}");
    let classes = classes();
    assert!(
        !(is_mutation && classes.is_idempotent(&operation)),
        "a mutation counts as idempotent: {text}"
    );
    let expected_class = match is_mutation {
        true if expected.has_field("rollout") => SHORT_DEADLINE,
        true => NOT_IDEMPOTENT,
        false if expected.has_field("audit") => NOT_IDEMPOTENT,
        false => IDEMPOTENT,
    };
    assert_eq!(classes.class_of(&operation), expected_class, "{text}");
}

#[test]
fn valid_documents_match_the_reference_evaluator() {
    let mut runner = runner([4; 32]);
    let strategy = document();
    for _ in 0..document_count() {
        let tree = strategy.new_tree(&mut runner).expect("a document");
        assert_matches_reference(&tree.current());
    }
}

/// A change of one byte of a document.
#[derive(Clone, Debug)]
struct Corruption {
    /// The place, modulo the length of the document.
    position: usize,
    /// Selects the new byte.
    byte: u8,
    kind: CorruptionKind,
}

#[derive(Clone, Copy, Debug)]
enum CorruptionKind {
    Replace,
    Remove,
    Insert,
}

fn corruption() -> impl Strategy<Value = Corruption> {
    (any::<usize>(), any::<u8>(), 0..3u8).prop_map(|(position, byte, kind)| Corruption {
        position,
        byte,
        kind: match kind {
            0 => CorruptionKind::Replace,
            1 => CorruptionKind::Remove,
            _ => CorruptionKind::Insert,
        },
    })
}

impl Corruption {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let position = self.position % bytes.len();
        match self.kind {
            CorruptionKind::Replace => bytes[position] = self.byte % 128,
            CorruptionKind::Remove => drop(bytes.remove(position)),
            CorruptionKind::Insert => {
                let inserted = INSERTED_BYTES[usize::from(self.byte) % INSERTED_BYTES.len()];
                bytes.insert(position, inserted);
            }
        }
    }
}

/// Checks the operation of a corrupted document if it can be parsed; returns whether it can.
fn check_corrupted(text: &str, operation_name: Option<&str>) -> bool {
    let Ok(operation) = parse_operation(text, operation_name, &Map::new(), &Limits::default())
    else {
        return false;
    };
    let keyword = naive::keyword(text, operation_name);
    let expected_kind = keyword.as_deref().map(|keyword| {
        if keyword == "mutation" {
            OperationKind::Mutation
        } else {
            OperationKind::Query
        }
    });
    assert_eq!(
        expected_kind,
        Some(operation.kind),
        "the scanner finds the keyword {keyword:?}: {text}"
    );
    assert!(
        !classes().is_idempotent(&operation) || keyword.as_deref() == Some("query"),
        "{text}"
    );
    true
}

#[test]
fn corrupted_documents_never_make_a_mutation_idempotent() {
    let mut runner = runner([6; 32]);
    let strategy = (document(), prop::collection::vec(corruption(), 1..6));
    let mut parsed = 0;
    for _ in 0..document_count() {
        let tree = strategy.new_tree(&mut runner).expect("a document");
        let (document, corruptions) = tree.current();
        let PrintedDocument {
            text,
            operation_name,
        } = print(&document);
        let mut bytes = text.into_bytes();
        for corruption in corruptions {
            corruption.apply(&mut bytes);
        }
        let text = String::from_utf8_lossy(&bytes);
        if check_corrupted(&text, operation_name.as_deref()) {
            parsed += 1;
        }
    }
    assert!(
        parsed > document_count() / 10,
        "too few of the documents parse: {parsed}"
    );
}
