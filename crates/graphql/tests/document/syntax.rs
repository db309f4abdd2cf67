//! Syntax errors: their locations, and characters that other parsers may take for the end of a line.

use crate::parse;
use reelfall_graphql::{GraphQlErrorKind, Location};

#[test]
fn error_has_its_location() {
    let error = parse("{ evaluate }\n# é\n  { toggle }", None).unwrap_err();
    assert_eq!(error.location, Some(Location { line: 1, column: 1 }));
    let error = parse("{ a\n  é }", None).unwrap_err();
    assert_eq!(
        (error.kind, error.location),
        (
            GraphQlErrorKind::Syntax,
            Some(Location { line: 2, column: 3 })
        )
    );
}

#[test]
fn ambiguous_line_ends_are_rejected() {
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
            parse(text, None).map_err(|error| error.kind),
            Err(GraphQlErrorKind::Syntax),
            "{text:?}"
        );
    }
    assert!(parse("# a\r\n{\r\n\tevaluate }", None).is_ok());
}
