//! The settings of GraphQL services.

use crate::common::{CLASS, LISTENER, SERVER};
use crate::{assert_error, errors, NO_ERRORS, ROUTE};

/// A file with a GraphQL service: class `c` is idempotent, class `u` is not.
fn file_with_graphql(settings: &str) -> String {
    let unsafe_class = CLASS.replace("\"c\"", "\"u\"").replace("safe", "unsafe");
    let graphql =
        format!("[service.graphql]\nother_query = \"c\"\nother_mutation = \"u\"\n{settings}");
    format!("{LISTENER}[[service]]\nname = \"a\"\n{graphql}{CLASS}{unsafe_class}{SERVER}{ROUTE}")
}

#[test]
fn invalid_graphql_settings_are_rejected() {
    assert_eq!(
        errors(&file_with_graphql(
            "mutation = { toggle = \"u\" }\nquery = { evaluate = \"c\" }\n"
        )),
        NO_ERRORS
    );
    for (settings, expected) in [
        (
            "mutation = { toggle = \"c\" }\n",
            "f.toml:6: service `a`: mutation field `toggle` is mapped to a class that is safe to repeat",
        ),
        (
            "query = { evaluate = \"x\" }\n",
            "f.toml:6: service `a`: unknown class `x`",
        ),
        (
            "depth = 100\n",
            "f.toml:6: service `a`: depth is 100, not between 1 and 64",
        ),
        (
            "batch = 0\n",
            "f.toml:6: service `a`: batch must be 1 to 256, side_by_side 1 to 64",
        ),
    ] {
        assert_error(&file_with_graphql(settings), expected);
    }
}

#[test]
fn default_class_of_mutations_is_required_and_not_idempotent() {
    for (replacement, expected) in [
        (
            "other_mutation = \"c\"\n",
            "f.toml:6: service `a`: the class of mutations that are not mapped is safe to repeat",
        ),
        ("", "f.toml:6: missing field `other_mutation`"),
    ] {
        assert_error(
            &file_with_graphql("").replace("other_mutation = \"u\"\n", replacement),
            expected,
        );
    }
}
