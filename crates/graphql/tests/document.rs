//! Which operation runs, against a naive evaluator that never sees a parser: documents are made from a tree, the tree is
//! evaluated, and the text of it is read.

mod common;

use common::naive;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_graphql::class::{ClassInfo, Classes, Mapping, MappingError};
use reelfall_graphql::document::{parse_operation, Operation, OperationKind};
use reelfall_graphql::{GraphQlErrorKind, Limits, Location};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

fn read(
    text: &str,
    name: Option<&str>,
    variables: Value,
) -> Result<Operation, (GraphQlErrorKind, String)> {
    let variables = variables.as_object().cloned().unwrap_or_default();
    parse_operation(text, name, &variables, &Limits::default()).map_err(|f| (f.kind, f.message))
}

fn classes() -> Classes {
    let mapping = Mapping {
        query: [("evaluate".to_owned(), 0), ("audit".to_owned(), 1)].into(),
        mutation: [("toggle".to_owned(), 1), ("rollout".to_owned(), 2)].into(),
        other_query: 0,
        other_mutation: 1,
    };
    let info = |safe, deadline| ClassInfo {
        is_idempotent: safe,
        deadline,
    };
    Classes::new(
        mapping,
        vec![info(true, 0.6), info(false, 0.6), info(false, 0.5)],
    )
    .unwrap()
}

// ---- the tree ----

#[derive(Clone, Debug)]
enum Condition {
    No,
    Literal(bool),
    /// Given, defaulted, or neither.
    Variable(u8),
}

#[derive(Clone, Debug)]
enum Node {
    Field {
        alias: Option<&'static str>,
        name: &'static str,
        skip: Condition,
        include: Condition,
        set: Vec<Node>,
    },
    Spread {
        to: usize,
        include: Condition,
    },
    Inline {
        on: bool,
        skip: Condition,
        set: Vec<Node>,
    },
}

#[derive(Clone, Debug)]
struct Document {
    /// `Some(true)` for a mutation, `None` for the shorthand.
    operations: Vec<(Option<bool>, Vec<Node>)>,
    fragments: Vec<Vec<Node>>,
    chosen: usize,
    given: [Option<bool>; 3],
    defaults: [Option<bool>; 3],
    noise: bool,
}

fn condition() -> impl Strategy<Value = Condition> {
    prop_oneof![4 => Just(Condition::No), 1 => any::<bool>().prop_map(Condition::Literal), 2 => (0..3u8).prop_map(Condition::Variable)]
}

fn nodes(fragments: usize) -> impl Strategy<Value = Vec<Node>> {
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
    let leaf = (alias, name, condition(), condition()).prop_map(|(alias, name, skip, include)| {
        Node::Field {
            alias,
            name,
            skip,
            include,
            set: vec![],
        }
    });
    let spread =
        (0..fragments.max(1), condition()).prop_map(|(to, include)| Node::Spread { to, include });
    let node = if fragments == 0 {
        leaf.boxed()
    } else {
        prop_oneof![4 => leaf, 2 => spread].boxed()
    };
    let node = node.prop_recursive(3, 12, 3, |inner| {
        prop_oneof![
            (
                any::<bool>(),
                condition(),
                prop::collection::vec(inner.clone(), 1..3)
            )
                .prop_map(|(on, skip, set)| Node::Inline { on, skip, set }),
            prop::collection::vec(inner, 1..3).prop_map(|set| Node::Field {
                alias: None,
                name: "evaluate",
                skip: Condition::No,
                include: Condition::No,
                set
            }),
        ]
    });
    prop::collection::vec(node, 1..4)
}

fn doc() -> impl Strategy<Value = Document> {
    // A fragment spreads only those before it, so that none leads back to itself.
    let fragments = (nodes(0), nodes(1), nodes(2)).prop_map(|(a, b, c)| vec![a, b, c]);
    let kind = prop_oneof![3 => Just(Some(false)), 2 => Just(Some(true)), 1 => Just(None)];
    let operations = prop::collection::vec((kind, nodes(3)), 1..4);
    let booleans = || prop::array::uniform3(prop::option::of(any::<bool>()));
    (
        operations,
        fragments,
        any::<usize>(),
        booleans(),
        booleans(),
        any::<bool>(),
    )
        .prop_map(|(operations, fragments, chosen, given, defaults, noise)| {
            let chosen = chosen % operations.len();
            Document {
                operations,
                fragments,
                chosen,
                given,
                defaults,
                noise,
            }
        })
}

// ---- its text ----

fn print_condition(out: &mut String, name: &str, condition: &Condition) {
    match condition {
        Condition::No => {}
        Condition::Literal(b) => *out += &format!(" @{name}(if: {b})"),
        Condition::Variable(v) => *out += &format!(" @{name} ( if : $v{v} )"),
    }
}

fn print_set(out: &mut String, set: &[Node], noise: bool) {
    *out += " {";
    for node in set {
        if noise {
            *out += " # } mutation { toggle }\n , ";
        }
        match node {
            Node::Field {
                alias,
                name,
                skip,
                include,
                set,
            } => {
                if let Some(alias) = alias {
                    *out += &format!(" {alias}:");
                }
                *out += &format!(" {name}");
                if noise {
                    *out +=
                        "(a: \"\"\"} mutation { \\\"\"\" toggle }\"\"\", b: \"} { \\\" mutation\")";
                }
                print_condition(out, "skip", skip);
                print_condition(out, "include", include);
                if !set.is_empty() {
                    print_set(out, set, noise);
                }
            }
            Node::Spread { to, include } => {
                *out += &format!(" ...F{to}");
                print_condition(out, "include", include);
            }
            Node::Inline { on, skip, set } => {
                *out += if *on { " ... on Query" } else { " ..." };
                print_condition(out, "skip", skip);
                print_set(out, set, noise);
            }
        }
    }
    *out += " }\n";
}

fn print(doc: &Document) -> (String, Option<String>) {
    let mut out = String::new();
    let single = doc.operations.len() == 1;
    for (n, (kind, set)) in doc.operations.iter().enumerate() {
        match kind {
            None if single => {}
            kind => {
                out += if *kind == Some(true) {
                    "mutation"
                } else {
                    "query"
                };
                out += &format!(" O{n}");
                let variable = |(v, d): (usize, &Option<bool>)| match d {
                    Some(d) => format!("$v{v}: Boolean = {d} "),
                    None => format!("$v{v}: Boolean "),
                };
                out += &format!(
                    "({})",
                    doc.defaults
                        .iter()
                        .enumerate()
                        .map(variable)
                        .collect::<String>()
                );
            }
        }
        print_set(&mut out, set, doc.noise);
    }
    for (n, set) in doc.fragments.iter().enumerate() {
        out += &format!("fragment F{n} on Query");
        print_set(&mut out, set, doc.noise);
    }
    let name = (!single).then(|| format!("O{}", doc.chosen));
    (out, name)
}

// ---- its meaning ----

/// Root fields that may run, by key and name; `shorthand` operations define no variables.
fn naive(doc: &Document) -> (bool, BTreeMap<(String, String), ()>) {
    let (kind, set) = &doc.operations[doc.chosen];
    let shorthand = kind.is_none() && doc.operations.len() == 1;
    let value = |condition: &Condition| match condition {
        Condition::No => None,
        Condition::Literal(b) => Some(*b),
        Condition::Variable(_) if shorthand => None,
        Condition::Variable(v) => doc.given[usize::from(*v)].or(doc.defaults[usize::from(*v)]),
    };
    let mut found = BTreeMap::new();
    let mut open: Vec<&Node> = set.iter().collect();
    while let Some(node) = open.pop() {
        match node {
            Node::Field {
                alias,
                name,
                skip,
                include,
                ..
            } => {
                if value(skip) != Some(true) && value(include) != Some(false) {
                    found.insert((alias.unwrap_or(name).to_owned(), (*name).to_owned()), ());
                }
            }
            Node::Spread { to, include } => {
                if value(include) != Some(false) {
                    open.extend(&doc.fragments[*to]);
                }
            }
            Node::Inline { skip, set, .. } => {
                if value(skip) != Some(true) {
                    open.extend(set);
                }
            }
        }
    }
    (*kind == Some(true), found)
}

fn check(doc: &Document) {
    let (text, name) = print(doc);
    let given: Map<String, Value> = doc
        .given
        .iter()
        .enumerate()
        .filter_map(|(v, b)| Some((format!("v{v}"), Value::Bool((*b)?))))
        .collect();
    let limits = Limits {
        depth: 64,
        aliases: 100_000,
        cost: 100_000,
        ..Limits::default()
    };
    let read = parse_operation(&text, name.as_deref(), &given, &limits)
        .unwrap_or_else(|f| panic!("{f:?} for\n{text}"));
    let (writes, roots) = naive(doc);
    assert_eq!(read.kind == OperationKind::Mutation, writes, "{text}");
    let found: BTreeMap<_, _> = read
        .roots
        .iter()
        .map(|r| ((r.key.clone(), r.field.clone()), ()))
        .collect();
    assert_eq!(found, roots, "{text}");
    let classes = classes();
    assert!(
        !(writes && classes.is_idempotent(&read)),
        "a mutation counts as safe: {text}"
    );
    let fields = |name: &str| roots.keys().any(|(_, f)| f == name);
    let class = match writes {
        true if fields("rollout") => 2,
        true => 1,
        false if fields("audit") => 1,
        false => 0,
    };
    assert_eq!(classes.class_of(&read), class, "{text}");
}

/// How many documents are made of each kind.
fn documents() -> u32 {
    std::env::var("DOCUMENTS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(2_000)
}

#[test]
fn random_documents_mean_what_the_naive_evaluator_says() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    );
    let strategy = doc();
    for _ in 0..documents() {
        check(
            &strategy
                .new_tree(&mut runner)
                .expect("a document")
                .current(),
        );
    }
}

#[test]
fn spoilt_documents_never_make_a_mutation_safe_and_never_panic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    );
    let spoil = (
        doc(),
        prop::collection::vec((any::<usize>(), any::<u8>(), 0..3u8), 1..6),
    );
    let mut read = 0;
    for _ in 0..documents() {
        let (doc, spots) = spoil.new_tree(&mut runner).expect("a document").current();
        let (text, name) = print(&doc);
        let mut bytes = text.into_bytes();
        for (at, with, how) in spots {
            let at = at % bytes.len();
            match how {
                0 => bytes[at] = with % 128,
                1 => drop(bytes.remove(at)),
                _ => bytes.insert(at, b"{}()@\"#\\\r\n :$."[usize::from(with) % 14]),
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Ok(operation) =
            parse_operation(&text, name.as_deref(), &Map::new(), &Limits::default())
        {
            read += 1;
            let keyword = naive::keyword(&text, name.as_deref());
            let kind = keyword.as_deref().map(|k| {
                if k == "mutation" {
                    OperationKind::Mutation
                } else {
                    OperationKind::Query
                }
            });
            assert_eq!(
                kind,
                Some(operation.kind),
                "{keyword:?} is read otherwise: {text}"
            );
            assert!(
                !classes().is_idempotent(&operation) || keyword.as_deref() == Some("query"),
                "{text}"
            );
        }
    }
    assert!(
        read > documents() / 10,
        "hardly anything is read at all: {read}"
    );
}

// ---- by hand ----

#[test]
fn the_operation_is_chosen_as_the_specification_has_it() {
    let two = "query A { evaluate } mutation B { toggle }";
    let kind = |text, name| read(text, name, json!({})).map(|o| o.kind);
    assert_eq!(kind("{ evaluate }", None), Ok(OperationKind::Query));
    assert_eq!(
        kind("mutation { toggle }", None),
        Ok(OperationKind::Mutation)
    );
    assert_eq!(kind(two, Some("A")), Ok(OperationKind::Query));
    assert_eq!(kind(two, Some("B")), Ok(OperationKind::Mutation));
    for (text, name) in [
        (two, None),
        (two, Some("C")),
        ("{ evaluate }", Some("A")),
        ("{ evaluate } mutation B { toggle }", Some("B")),
        ("query A { evaluate } mutation A { toggle }", Some("A")),
        ("fragment F on Query { evaluate }", None),
        ("{ evaluate } type Query { a: Int }", None),
        (
            "{ ...F } fragment F on Query { evaluate } fragment F on Mutation { toggle }",
            None,
        ),
        ("{ ...G }", None),
        ("{ ...F } fragment F on Query { ...F }", None),
        (
            "{ evaluate } fragment F on Query { ...G } fragment G on Query { a { ...F } }",
            None,
        ),
        (
            "query ($a: Boolean = true, $a: Boolean = false) { evaluate @skip(if: $a) }",
            None,
        ),
    ] {
        assert_eq!(
            kind(text, name).map_err(|f| f.0),
            Err(GraphQlErrorKind::Validation),
            "{text} {name:?}"
        );
    }
    assert_eq!(
        kind("subscription { a }", None).map_err(|f| f.0),
        Err(GraphQlErrorKind::Subscription)
    );
    for text in [
        "",
        "{",
        "{}",
        "{ evaluate",
        "query",
        "mutation { toggle } }",
        "{ evaluate(a: ) }",
        "{ \"a\" }",
        "{ a:b:c }",
    ] {
        assert!(kind(text, None).is_err(), "{text}");
    }
}

#[test]
fn a_mistake_is_told_with_its_place() {
    let fault = parse_operation(
        "{ evaluate }\n# é\n  { toggle }",
        None,
        &Map::new(),
        &Limits::default(),
    )
    .unwrap_err();
    assert_eq!(fault.location, Some(Location { line: 1, column: 1 }));
    let fault = parse_operation("{ a\n  é }", None, &Map::new(), &Limits::default()).unwrap_err();
    assert_eq!(
        (fault.kind, fault.location),
        (
            GraphQlErrorKind::Syntax,
            Some(Location { line: 2, column: 3 })
        )
    );
}

#[test]
fn what_readers_could_take_for_a_line_end_hides_nothing() {
    for text in [
        "#\rmutation Q { toggle } #\nquery Q { evaluate }",
        "\u{feff}{ evaluate }",
        "{ evaluate }\0mutation { toggle }",
        "{ evaluate \u{85} }",
        "{ evaluate \u{1b} }",
        "query Q { evaluate(a: \"\n\") }",
        "query Q { evaluate(a: \"\n} mutation M { toggle(a: \"\n\") }",
    ] {
        assert_eq!(
            read(text, None, json!({})).map_err(|f| f.0),
            Err(GraphQlErrorKind::Syntax),
            "{text:?}"
        );
    }
    assert!(read("# a\r\n{\r\n\tevaluate }", None, json!({})).is_ok());
}

#[test]
fn hostile_documents_end_soon_at_the_bound_that_they_break() {
    let names = |text: &str, bound: &str| {
        let begun = std::time::Instant::now();
        let (kind, mistake) = read(text, None, json!({})).unwrap_err();
        assert_eq!(kind, GraphQlErrorKind::Limit, "{mistake}");
        assert!(mistake.contains(bound), "{mistake} instead of {bound}");
        assert!(begun.elapsed().as_secs() < 5, "it takes too long");
    };
    names(&"{a".repeat(1_000), "depth of a document");
    names(&"{a".repeat(30_000), "tokens of a document");
    names(
        &format!("{{a(x:{}1{})}}", "[".repeat(2_000), "]".repeat(2_000)),
        "depth of a document",
    );
    names(&"{".repeat(100_000), "bytes of a document");
    names(
        &format!("{{ a(x: \"{}\") }}", "x".repeat(1 << 20)),
        "bytes of a document",
    );
    names(
        &format!("{{ {} }}", "a ".repeat(9_000)),
        "tokens of a document",
    );
    names(
        &format!(
            "{{ {} }}",
            (0..1_000).map(|n| format!("a{n}:a ")).collect::<String>()
        ),
        "aliases of an operation",
    );
    names(
        &format!(
            "{{ {} }}",
            (0..60).map(|n| format!("a{n} ")).collect::<String>()
        ),
        "root fields of an operation",
    );
    let fragments: String = (0..200)
        .map(|n| format!("fragment F{n} on Q{{a}} "))
        .collect();
    names(&format!("{{a}} {fragments}"), "fragments of a document");
    // Each fragment spreads the next twice: 2 to the 30th fields.
    let doubling: String = (0..30)
        .map(|n| format!("fragment F{n} on Q{{...F{m} ...F{m}}} ", m = n + 1))
        .collect();
    names(
        &format!("{{...F0}} {doubling} fragment F30 on Q{{a}}"),
        "cost: fields of an operation",
    );
}

#[test]
fn no_mapping_makes_a_mutation_safe() {
    let info = |safe| ClassInfo {
        is_idempotent: safe,
        deadline: 1.0,
    };
    let infos = vec![info(true), info(false)];
    let mapping = |mutation: &[(&str, u16)], other| Mapping {
        mutation: mutation
            .iter()
            .map(|(f, c)| ((*f).to_owned(), *c))
            .collect(),
        other_mutation: other,
        ..Mapping::default()
    };
    let fault = |m| Classes::new(m, infos.clone()).map(|_| ()).unwrap_err();
    assert_eq!(
        fault(mapping(&[("touch", 0)], 1)),
        MappingError::SafeMutation("touch".to_owned())
    );
    assert_eq!(fault(mapping(&[], 0)), MappingError::SafeDefault);
    assert_eq!(fault(mapping(&[("touch", 7)], 1)), MappingError::NoClass(7));
    assert!(Classes::new(mapping(&[("touch", 1)], 1), infos.clone()).is_ok());
}
