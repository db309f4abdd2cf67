//! Splits the text of a file into documents that can be parsed one after the other, for [`super::parse_toml`].
//!
//! The TOML parser builds a tree that takes more than thirty times the memory of a document's text. Each `[[service]]`
//! with the tables below it is a document of its own, and so is all that belongs to no service; parsed one by one, the
//! tree is never larger than that of the largest service.
//!
//! The text is split with the TOML parser's own lexer, so strings, comments and values over several lines are told from
//! headers as the parser tells them. A file whose services can't be found by its headers alone is one document: where
//! a key is written with escapes, where `service` is not an array of tables, or where tables of a service stand apart
//! from it.

use std::iter::Peekable;
use std::ops::Range;
use toml_parser::lexer::{Lexer, Token, TokenKind};
use toml_parser::Source;

/// The array of tables that is parsed table by table.
const SERVICE_KEY: &str = "service";

/// Consecutive complete statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Section {
    /// Their bytes in the text.
    pub(super) range: Range<usize>,
    /// The number of their first line in the file.
    pub(super) first_line: u32,
}

/// The sections of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Sections {
    /// Those outside of services, which are parsed as one document.
    pub(super) rest: Vec<Section>,
    /// The services, each of which is parsed as a document.
    pub(super) services: Vec<Section>,
}

impl Sections {
    /// Splits a text.
    pub(super) fn of(text: &str) -> Self {
        let cuts = find_cuts(text).unwrap_or_else(|| {
            vec![Cut {
                start: 0,
                owner: Owner::Rest,
            }]
        });
        let mut sections = Sections::default();
        let mut first_line = 1u32;
        let ends = cuts.iter().skip(1).map(|cut| cut.start).chain([text.len()]);
        for (cut, end) in cuts.iter().zip(ends) {
            let range = cut.start..end;
            let line_count = count_newlines(text, &range);
            let section = Section { range, first_line };
            match cut.owner {
                Owner::Rest => sections.rest.push(section),
                Owner::Service => sections.services.push(section),
            }
            first_line = first_line.saturating_add(line_count);
        }
        sections
    }
}

fn count_newlines(text: &str, range: &Range<usize>) -> u32 {
    let bytes = text.as_bytes().get(range.clone()).unwrap_or_default();
    let count = bytes.iter().filter(|byte| **byte == b'\n').count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// What a section belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Rest,
    Service,
}

/// The start of a section.
struct Cut {
    /// Its offset in the text.
    start: usize,
    owner: Owner,
}

/// The starts of all sections of a text, the first at its beginning; `None` if it can't be split.
fn find_cuts(text: &str) -> Option<Vec<Cut>> {
    let mut owner = Owner::Rest;
    let mut cuts = vec![Cut { start: 0, owner }];
    // Keys of the root table stand before the first header.
    let mut in_root = true;
    for Statement { start, form, key } in Statements::of(text) {
        if form == Form::Pair && !in_root {
            continue;
        }
        in_root = in_root && form == Form::Pair;
        let is_service = match key {
            Key::Plain(name) => name == SERVICE_KEY,
            Key::Escaped => return None,
            Key::Missing => false,
        };
        let next = match (form, is_service) {
            (Form::Pair, false) => continue,
            (Form::Table { is_nested: true } | Form::ArrayTable { is_nested: true }, true)
                if owner == Owner::Service =>
            {
                continue
            }
            (Form::ArrayTable { is_nested: false }, true) => Owner::Service,
            (_, true) => return None,
            (Form::Table { .. } | Form::ArrayTable { .. }, false) => Owner::Rest,
        };
        if next == Owner::Service || owner == Owner::Service {
            cuts.push(Cut { start, owner: next });
        }
        owner = next;
    }
    Some(cuts)
}

/// The form of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// A key with its value.
    Pair,
    /// The header of a table: `[a]`, or `[a.b]` if it is nested.
    Table { is_nested: bool },
    /// The header of an array's table: `[[a]]`, or `[[a.b]]` if it is nested.
    ArrayTable { is_nested: bool },
}

/// The first key of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Key<'a> {
    /// One without escapes, bare or quoted.
    Plain(&'a str),
    /// One with escapes, which the lexer does not decode.
    Escaped,
    /// None: a syntax error, which the parser reports.
    Missing,
}

/// A key with its value, or a header.
struct Statement<'a> {
    /// Its offset in the text.
    start: usize,
    form: Form,
    key: Key<'a>,
}

/// Iterator over the statements of a text.
struct Statements<'a> {
    text: &'a str,
    tokens: Peekable<Lexer<'a>>,
}

impl<'a> Statements<'a> {
    fn of(text: &'a str) -> Self {
        Statements {
            text,
            tokens: Source::new(text).lex().peekable(),
        }
    }

    fn skip(&mut self, kinds: &[TokenKind]) {
        while self
            .tokens
            .next_if(|token| kinds.contains(&token.kind()))
            .is_some()
        {}
    }

    /// Consumes the next token if it is of a kind; returns whether it did.
    fn consume(&mut self, kind: TokenKind) -> bool {
        self.tokens.next_if(|token| token.kind() == kind).is_some()
    }

    fn key(&mut self) -> Key<'a> {
        let Some(token) = self.tokens.peek() else {
            return Key::Missing;
        };
        let source = token_text(self.text, token);
        match token.kind() {
            TokenKind::Atom => Key::Plain(source),
            TokenKind::LiteralString => Key::Plain(source.trim_matches('\'')),
            TokenKind::BasicString if !source.contains('\\') => {
                Key::Plain(source.trim_matches('"'))
            }
            TokenKind::BasicString => Key::Escaped,
            _ => Key::Missing,
        }
    }

    /// The form and the first key of a header whose first bracket is consumed.
    fn header(&mut self) -> (Form, Key<'a>) {
        let is_array_table = self.consume(TokenKind::LeftSquareBracket);
        self.skip(&[TokenKind::Whitespace]);
        let key = self.key();
        if key != Key::Missing {
            self.tokens.next();
        }
        self.skip(&[TokenKind::Whitespace]);
        let is_nested = self
            .tokens
            .peek()
            .is_some_and(|token| token.kind() == TokenKind::Dot);
        let form = if is_array_table {
            Form::ArrayTable { is_nested }
        } else {
            Form::Table { is_nested }
        };
        (form, key)
    }

    /// Consumes the rest of a statement, which ends at the first line break outside of arrays and inline tables.
    fn skip_to_end(&mut self) {
        let mut depth = 0usize;
        for token in self.tokens.by_ref() {
            match token.kind() {
                TokenKind::LeftSquareBracket | TokenKind::LeftCurlyBracket => depth += 1,
                TokenKind::RightSquareBracket | TokenKind::RightCurlyBracket => {
                    depth = depth.saturating_sub(1);
                }
                TokenKind::Newline if depth == 0 => return,
                _ => {}
            }
        }
    }
}

impl<'a> Iterator for Statements<'a> {
    type Item = Statement<'a>;

    fn next(&mut self) -> Option<Statement<'a>> {
        self.skip(&[
            TokenKind::Whitespace,
            TokenKind::Newline,
            TokenKind::Comment,
        ]);
        let first = self
            .tokens
            .peek()
            .filter(|token| token.kind() != TokenKind::Eof)?;
        let start = first.span().start();
        let (form, key) = if self.consume(TokenKind::LeftSquareBracket) {
            self.header()
        } else {
            (Form::Pair, self.key())
        };
        self.skip_to_end();
        Some(Statement { start, form, key })
    }
}

fn token_text<'a>(text: &'a str, token: &Token) -> &'a str {
    text.get(token.span().start()..token.span().end())
        .unwrap_or_default()
}
