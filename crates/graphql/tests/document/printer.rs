//! Prints the tree of a document as text.

use crate::tree::{Condition, Document, OperationForm, Selection};

/// A comment that contains a closing bracket and a mutation.
const NOISE_COMMENT: &str = " # } mutation { toggle }\n , ";

/// Arguments whose strings contain quotes, brackets and a mutation.
const NOISE_ARGUMENTS: &str =
    "(a: \"\"\"} mutation { \\\"\"\" toggle }\"\"\", b: \"} { \\\" mutation\")";

/// The text of a document, and the operation name of its request.
pub struct PrintedDocument {
    /// The text.
    pub text: String,
    /// The name of the operation that runs, if the document has several operations.
    pub operation_name: Option<String>,
}

/// Prints a document.
pub fn print(document: &Document) -> PrintedDocument {
    let mut text = String::new();
    let is_single = document.has_single_operation();
    for (index, operation) in document.operations.iter().enumerate() {
        if !(is_single && operation.form == OperationForm::Shorthand) {
            print_operation_head(&mut text, index, operation.form, document);
        }
        print_selections(&mut text, &operation.selections, document.has_noise);
    }
    for (index, selections) in document.fragments.iter().enumerate() {
        text += &format!("fragment F{index} on Query");
        print_selections(&mut text, selections, document.has_noise);
    }
    PrintedDocument {
        text,
        operation_name: (!is_single).then(|| format!("O{}", document.chosen)),
    }
}

fn print_operation_head(text: &mut String, index: usize, form: OperationForm, document: &Document) {
    *text += match form {
        OperationForm::Mutation => "mutation",
        OperationForm::Query | OperationForm::Shorthand => "query",
    };
    *text += &format!(" O{index}(");
    for (variable, default) in document.defaults.iter().enumerate() {
        *text += &match default {
            Some(default) => format!("$v{variable}: Boolean = {default} "),
            None => format!("$v{variable}: Boolean "),
        };
    }
    *text += ")";
}

fn print_selections(text: &mut String, selections: &[Selection], has_noise: bool) {
    *text += " {";
    for selection in selections {
        if has_noise {
            *text += NOISE_COMMENT;
        }
        print_selection(text, selection, has_noise);
    }
    *text += " }\n";
}

fn print_selection(text: &mut String, selection: &Selection, has_noise: bool) {
    match selection {
        Selection::Field {
            alias,
            name,
            skip,
            include,
            selections,
        } => {
            if let Some(alias) = alias {
                *text += &format!(" {alias}:");
            }
            *text += &format!(" {name}");
            if has_noise {
                *text += NOISE_ARGUMENTS;
            }
            print_directive(text, "skip", skip);
            print_directive(text, "include", include);
            if !selections.is_empty() {
                print_selections(text, selections, has_noise);
            }
        }
        Selection::Spread { fragment, include } => {
            *text += &format!(" ...F{fragment}");
            print_directive(text, "include", include);
        }
        Selection::InlineFragment {
            has_type_condition,
            skip,
            selections,
        } => {
            *text += if *has_type_condition {
                " ... on Query"
            } else {
                " ..."
            };
            print_directive(text, "skip", skip);
            print_selections(text, selections, has_noise);
        }
    }
}

fn print_directive(text: &mut String, name: &str, condition: &Condition) {
    match condition {
        Condition::Absent => {}
        Condition::Literal(value) => *text += &format!(" @{name}(if: {value})"),
        Condition::Variable(variable) => *text += &format!(" @{name} ( if : $v{variable} )"),
    }
}
