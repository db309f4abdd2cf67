//! The operation that a request runs, with its root fields.
//!
//! The parser is a library's and bounds tokens and depth. What is read off its tree is kept apart from it, so that the
//! rest of this package knows nothing of it.
//!
//! Source: GraphQL, October 2021: 2.2 to 2.8 (documents), 5.2 and 5.5 (operations, fragments), 6.1 (which operation
//! runs), 6.3.2 (collecting fields).

use crate::{Fault, FaultKind, Limits, Location};
use apollo_parser::cst::{self, CstNode};
use apollo_parser::Parser;
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

/// What kind of operation it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It reads.
    Query,
    /// It writes.
    Mutation,
}

/// A field of an operation's root.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Root {
    /// Its name in the schema.
    pub field: String,
    /// Its key in the answer: the alias, if there is one.
    pub key: String,
}

/// The operation that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// What kind it is.
    pub kind: Kind,
    /// Its name, if it has one.
    pub name: Option<String>,
    /// Its root fields, in their order, without those that are surely left out.
    pub roots: Vec<Root>,
    /// Its fields at all depths, fragments counted as often as they are used.
    pub cost: usize,
}

/// A value that a condition can have.
#[derive(Clone, Debug)]
enum Condition {
    Known(bool),
    Variable(String),
    /// Something else: no server takes it, so nothing is concluded from it.
    Other,
}

#[derive(Clone, Debug)]
struct Conditions {
    skip: Vec<Condition>,
    include: Vec<Condition>,
}

#[derive(Debug)]
enum Selection {
    Field {
        field: String,
        alias: Option<String>,
        conditions: Conditions,
        set: Vec<Selection>,
    },
    /// `at` is a byte of the text: its line and column are of use to mistakes alone, and counting them for every
    /// selection would take time that grows with the square of a document.
    Spread {
        name: String,
        conditions: Conditions,
        at: usize,
    },
    Inline {
        conditions: Conditions,
        set: Vec<Selection>,
    },
}

#[derive(Debug)]
struct Definition {
    kind: Option<Kind>,
    name: Option<String>,
    /// Defaults of its Boolean variables.
    defaults: HashMap<String, Option<bool>>,
    set: Vec<Selection>,
    /// A byte of the text.
    at: usize,
}

/// Reads a document and finds the operation that runs.
///
/// # Errors
/// If it can't be parsed, is not valid as far as that can be told without a schema, or is over a bound.
pub fn operation(
    text: &str,
    name: Option<&str>,
    variables: &Map<String, Value>,
    limits: &Limits,
) -> Result<Operation, Fault> {
    if text.len() > limits.document {
        return Err(Fault::limit("bytes of a document", limits.document));
    }
    plain(text)?;
    let reader = Reader { text, limits };
    let (operations, fragments) = reader.read()?;
    let chosen = choose(text, &operations, name)?;
    let Some(kind) = chosen.kind else {
        return Err(fault(
            FaultKind::Subscription,
            "subscriptions are not served here",
            location(text, chosen.at),
        ));
    };
    let mut walk = Walk {
        text,
        fragments: &fragments,
        variables,
        defaults: &chosen.defaults,
        limits,
        cost: 0,
        aliases: 0,
    };
    walk.check_cycles()?;
    walk.weigh(&chosen.set)?;
    let mut roots = Vec::new();
    walk.collect(&chosen.set, &mut HashSet::new(), &mut roots)?;
    Ok(Operation {
        kind,
        name: chosen.name.clone(),
        roots,
        cost: walk.cost,
    })
}

/// Refuses characters that end a line, a text or a token for some readers and not for others: a carriage return alone,
/// control characters, a byte order mark.
///
/// Guards against an operation that hides in what one reader takes for a comment. Harm: a document with line ends of
/// carriage returns alone, or with a byte order mark, has to be sent without.
fn plain(text: &str) -> Result<(), Fault> {
    let mut characters = text.chars().peekable();
    while let Some(c) = characters.next() {
        let fits = match c {
            '\r' => characters.peek() == Some(&'\n'),
            '\t' | '\n' => true,
            c => !c.is_control() && c != '\u{feff}',
        };
        if !fits {
            let mistake = format!(
                "the document holds U+{:04X}, which readers take differently",
                c as u32
            );
            return Err(Fault::new(FaultKind::Syntax, mistake));
        }
    }
    Ok(())
}

fn fault(kind: FaultKind, mistake: impl Into<String>, at: Location) -> Fault {
    Fault {
        kind,
        mistake: mistake.into(),
        at: Some(at),
    }
}

/// Which operation runs (6.1). Where the document is not valid, nothing is chosen: servers could choose differently.
fn choose<'a>(
    text: &str,
    operations: &'a [Definition],
    name: Option<&str>,
) -> Result<&'a Definition, Fault> {
    let validation =
        |mistake: String, at: usize| fault(FaultKind::Validation, mistake, location(text, at));
    let mut names = HashSet::new();
    for operation in operations {
        match &operation.name {
            None if operations.len() > 1 => {
                let mistake = "an operation without a name beside others".to_owned();
                return Err(validation(mistake, operation.at));
            }
            Some(name) if !names.insert(name) => {
                return Err(validation(
                    format!("two operations are named `{name}`"),
                    operation.at,
                ));
            }
            _ => {}
        }
    }
    match (name, operations) {
        (_, []) => Err(Fault::new(
            FaultKind::Validation,
            "the document has no operation",
        )),
        (None, [only]) => Ok(only),
        (None, _) => Err(Fault::new(
            FaultKind::Validation,
            "several operations and no `operationName`",
        )),
        (Some(name), _) => operations
            .iter()
            .find(|o| o.name.as_deref() == Some(name))
            .ok_or_else(|| {
                Fault::new(
                    FaultKind::Validation,
                    format!("there is no operation `{name}`"),
                )
            }),
    }
}

type Fragments = HashMap<String, Vec<Selection>>;

/// The byte at which a node begins.
fn start(node: &impl CstNode) -> usize {
    node.syntax().text_range().start().into()
}

/// The line and column of a byte, from 1.
fn location(text: &str, byte: usize) -> Location {
    let before = text.get(..byte.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    Location { line, column }
}

struct Reader<'a> {
    text: &'a str,
    limits: &'a Limits,
}

impl Reader<'_> {
    fn mistake(&self, kind: FaultKind, mistake: impl Into<String>, node: &impl CstNode) -> Fault {
        fault(kind, mistake, location(self.text, start(node)))
    }

    fn read(&self) -> Result<(Vec<Definition>, Fragments), Fault> {
        // The bounds guard time and the stack: 100,000 nested braces end at the first past the bound.
        let parser = Parser::new(self.text)
            .recursion_limit(self.limits.depth)
            .token_limit(self.limits.tokens);
        let tree = parser.parse();
        if tree.errors().any(apollo_parser::Error::is_limit) {
            let tokens = tree.token_limit().high > self.limits.tokens;
            return Err(match tokens {
                true => Fault::limit("tokens of a document", self.limits.tokens),
                false => Fault::limit("depth of a document", self.limits.depth),
            });
        }
        if let Some(error) = tree.errors().next() {
            return Err(fault(
                FaultKind::Syntax,
                format!("syntax error: {}", error.message()),
                location(self.text, error.index()),
            ));
        }
        self.check_strings(&tree)?;
        let (mut operations, mut fragments) = (Vec::new(), Fragments::new());
        for definition in tree.document().definitions() {
            match &definition {
                cst::Definition::OperationDefinition(o) => operations.push(self.operation(o)?),
                cst::Definition::FragmentDefinition(f) => {
                    let name = f
                        .fragment_name()
                        .and_then(|n| n.name())
                        .map(|n| n.text().to_string());
                    let name = name.ok_or_else(|| {
                        self.mistake(FaultKind::Syntax, "a fragment without a name", f)
                    })?;
                    let set = self.set(f.selection_set())?;
                    if fragments.insert(name.clone(), set).is_some() {
                        let mistake = format!("two fragments are named `{name}`");
                        return Err(self.mistake(FaultKind::Validation, mistake, f));
                    }
                    if fragments.len() > self.limits.fragments {
                        return Err(Fault::limit(
                            "fragments of a document",
                            self.limits.fragments,
                        ));
                    }
                }
                _ => {
                    let mistake = "a document that is run holds operations and fragments only";
                    return Err(self.mistake(FaultKind::Validation, mistake, &definition));
                }
            }
        }
        Ok((operations, fragments))
    }

    /// Refuses a line end in a string that is no block string (2.9.4 has none; the parser lets it pass).
    ///
    /// Guards against an operation that hides behind a quote: a server that ends the string with its line reads on
    /// where this reader still is inside of it. Harm: none to documents that follow the specification.
    fn check_strings(&self, tree: &apollo_parser::SyntaxTree) -> Result<(), Fault> {
        let document = tree.document();
        for token in document
            .syntax()
            .descendants_with_tokens()
            .filter_map(|t| t.into_token())
        {
            let text = token.text();
            if text.starts_with('"') && !text.starts_with("\"\"\"") && text.contains('\n') {
                let at = location(self.text, token.text_range().start().into());
                return Err(fault(
                    FaultKind::Syntax,
                    "a string runs past the end of its line",
                    at,
                ));
            }
        }
        Ok(())
    }

    fn operation(&self, o: &cst::OperationDefinition) -> Result<Definition, Fault> {
        let kind = match o.operation_type() {
            None => Some(Kind::Query),
            Some(t) if t.query_token().is_some() => Some(Kind::Query),
            Some(t) if t.mutation_token().is_some() => Some(Kind::Mutation),
            Some(_) => None,
        };
        let mut defaults = HashMap::new();
        for v in o
            .variable_definitions()
            .iter()
            .flat_map(|v| v.variable_definitions())
        {
            let Some(name) = v.variable().and_then(|v| v.name()) else {
                continue;
            };
            let default = match v.default_value().and_then(|d| d.value()) {
                Some(cst::Value::BooleanValue(b)) => Some(b.true_token().is_some()),
                _ => None,
            };
            if defaults.insert(name.text().to_string(), default).is_some() {
                let mistake = format!("two variables are named `{}`", name.text());
                return Err(self.mistake(FaultKind::Validation, mistake, &v));
            }
        }
        let set = self.set(o.selection_set())?;
        let name = o.name().map(|n| n.text().to_string());
        Ok(Definition {
            kind,
            name,
            defaults,
            set,
            at: start(o),
        })
    }

    fn set(&self, set: Option<cst::SelectionSet>) -> Result<Vec<Selection>, Fault> {
        set.iter()
            .flat_map(|s| s.selections())
            .map(|s| self.selection(&s))
            .collect()
    }

    fn selection(&self, selection: &cst::Selection) -> Result<Selection, Fault> {
        let unnamed = || self.mistake(FaultKind::Syntax, "a name is missing", selection);
        Ok(match selection {
            cst::Selection::Field(f) => Selection::Field {
                field: f.name().ok_or_else(unnamed)?.text().to_string(),
                alias: f
                    .alias()
                    .and_then(|a| a.name())
                    .map(|n| n.text().to_string()),
                conditions: conditions(f.directives()),
                set: self.set(f.selection_set())?,
            },
            cst::Selection::FragmentSpread(s) => Selection::Spread {
                name: s
                    .fragment_name()
                    .and_then(|n| n.name())
                    .ok_or_else(unnamed)?
                    .text()
                    .to_string(),
                conditions: conditions(s.directives()),
                at: start(s),
            },
            cst::Selection::InlineFragment(i) => Selection::Inline {
                conditions: conditions(i.directives()),
                set: self.set(i.selection_set())?,
            },
        })
    }
}

fn conditions(directives: Option<cst::Directives>) -> Conditions {
    let mut found = Conditions {
        skip: Vec::new(),
        include: Vec::new(),
    };
    for directive in directives.iter().flat_map(|d| d.directives()) {
        let name = directive
            .name()
            .map(|n| n.text().to_string())
            .unwrap_or_default();
        let to = match name.as_str() {
            "skip" => &mut found.skip,
            "include" => &mut found.include,
            _ => continue,
        };
        let mut condition = Condition::Other;
        for argument in directive.arguments().iter().flat_map(|a| a.arguments()) {
            if argument.name().is_some_and(|n| n.text() == "if") {
                condition = match argument.value() {
                    Some(cst::Value::BooleanValue(b)) => Condition::Known(b.true_token().is_some()),
                    Some(cst::Value::Variable(v)) => v.name().map_or(Condition::Other, |n| {
                        Condition::Variable(n.text().to_string())
                    }),
                    _ => Condition::Other,
                };
            }
        }
        to.push(condition);
    }
    found
}

struct Walk<'a> {
    text: &'a str,
    fragments: &'a Fragments,
    variables: &'a Map<String, Value>,
    defaults: &'a HashMap<String, Option<bool>>,
    limits: &'a Limits,
    cost: usize,
    aliases: usize,
}

impl Walk<'_> {
    /// What a condition surely is; `None` where that can't be told.
    fn value(&self, condition: &Condition) -> Option<bool> {
        match condition {
            Condition::Known(b) => Some(*b),
            Condition::Variable(name) => {
                // A variable that the operation does not define is a mistake that only the server can tell.
                let default = self.defaults.get(name)?;
                match self.variables.get(name) {
                    Some(value) => value.as_bool(),
                    None => *default,
                }
            }
            Condition::Other => None,
        }
    }

    /// Whether a selection is surely left out (6.3.2). Where that can't be told it is kept: a field too many can only
    /// make an operation count as less safe than it is.
    fn left_out(&self, c: &Conditions) -> bool {
        c.skip.iter().any(|s| self.value(s) == Some(true))
            || c.include.iter().any(|i| self.value(i) == Some(false))
    }

    /// Fragments must not lead back to themselves (5.5.2.2): whoever followed them would not come to an end.
    fn check_cycles(&self) -> Result<(), Fault> {
        fn visit<'a>(
            text: &str,
            name: &'a str,
            set: &'a [Selection],
            fragments: &'a Fragments,
            open: &mut Vec<&'a str>,
            done: &mut HashSet<&'a str>,
        ) -> Result<(), Fault> {
            open.push(name);
            let mut sets = vec![set];
            while let Some(set) = sets.pop() {
                for selection in set {
                    match selection {
                        Selection::Field { set, .. } | Selection::Inline { set, .. } => {
                            sets.push(set)
                        }
                        Selection::Spread { name, at, .. } => {
                            if open.contains(&name.as_str()) {
                                let mistake = format!("fragment `{name}` leads back to itself");
                                return Err(fault(
                                    FaultKind::Validation,
                                    mistake,
                                    location(text, *at),
                                ));
                            }
                            if let Some(set) = fragments
                                .get(name)
                                .filter(|_| !done.contains(name.as_str()))
                            {
                                visit(text, name, set, fragments, open, done)?;
                            }
                        }
                    }
                }
            }
            open.pop();
            done.insert(name);
            Ok(())
        }
        let mut done = HashSet::new();
        for (name, set) in self.fragments {
            if !done.contains(name.as_str()) {
                // No deeper than there are fragments, which are bounded.
                visit(
                    self.text,
                    name,
                    set,
                    self.fragments,
                    &mut Vec::new(),
                    &mut done,
                )?;
            }
        }
        Ok(())
    }

    /// Counts fields and aliases with fragments as often as they are used, up to the bounds.
    fn weigh(&mut self, set: &[Selection]) -> Result<(), Fault> {
        let fragments = self.fragments;
        for selection in set {
            match selection {
                Selection::Field { alias, set, .. } => {
                    self.cost += 1;
                    self.aliases += usize::from(alias.is_some());
                    if self.cost > self.limits.cost {
                        return Err(Fault::limit(
                            "cost: fields of an operation",
                            self.limits.cost,
                        ));
                    }
                    if self.aliases > self.limits.aliases {
                        return Err(Fault::limit("aliases of an operation", self.limits.aliases));
                    }
                    self.weigh(set)?;
                }
                Selection::Inline { set, .. } => self.weigh(set)?,
                Selection::Spread { name, at, .. } => {
                    // A spread counts too: fragments of fragments of nothing must come to an end as well.
                    self.cost += 1;
                    if self.cost > self.limits.cost {
                        return Err(Fault::limit(
                            "cost: fields of an operation",
                            self.limits.cost,
                        ));
                    }
                    let set = fragments.get(name).ok_or_else(|| {
                        let mistake = format!("there is no fragment `{name}`");
                        fault(FaultKind::Validation, mistake, location(self.text, *at))
                    })?;
                    self.weigh(set)?;
                }
            }
        }
        Ok(())
    }

    /// Collects the root fields (6.3.2). Type conditions are not looked at: without a schema nobody can say which of
    /// them hold, and a field too many is on the safe side.
    fn collect<'a>(
        &'a self,
        set: &'a [Selection],
        seen: &mut HashSet<&'a str>,
        roots: &mut Vec<Root>,
    ) -> Result<(), Fault> {
        for selection in set {
            match selection {
                Selection::Field { conditions, .. } | Selection::Inline { conditions, .. }
                    if self.left_out(conditions) => {}
                Selection::Spread { conditions, .. } if self.left_out(conditions) => {}
                Selection::Field { field, alias, .. } => {
                    let root = Root {
                        field: field.clone(),
                        key: alias.clone().unwrap_or_else(|| field.clone()),
                    };
                    if !roots.contains(&root) {
                        roots.push(root);
                    }
                    if roots.len() > self.limits.root_fields {
                        return Err(Fault::limit(
                            "root fields of an operation",
                            self.limits.root_fields,
                        ));
                    }
                }
                Selection::Inline { set, .. } => self.collect(set, seen, roots)?,
                Selection::Spread { name, .. } => {
                    if let Some((name, set)) = self.fragments.get_key_value(name) {
                        if seen.insert(name) {
                            self.collect(set, seen, roots)?;
                        }
                    }
                }
            }
        }
        Ok(())
    }
}
