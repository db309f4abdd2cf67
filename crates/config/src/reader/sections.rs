//! Splits a file's text into documents that can be read one after the other.
//!
//! The TOML reader makes a tree of a document that takes more than thirty times the memory of its text. Each
//! `[[service]]` with the tables below it is a document of its own, and so is all that belongs to no service; read one
//! by one, the tree is never larger than that of the largest service.
//!
//! The text is taken apart by the TOML reader's own lexer, so strings, comments and values over several lines are
//! told from headers as the reader tells them. A file whose services can't be told from its headers alone is one
//! document: where a key is written with escapes, where `service` is not a list of tables, or where tables of a service
//! stand apart from it.

use std::iter::Peekable;
use std::ops::Range;
use toml_parser::lexer::{Lexer, Token, TokenKind};
use toml_parser::Source;

/// The list that is read table by table.
const SERVICE: &str = "service";

/// A run of whole statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Section {
    /// Where in the text.
    pub(super) range: Range<usize>,
    /// The number of its first line.
    pub(super) first_line: u32,
}

/// A text's sections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Sections {
    /// What belongs to no service, to be read as one document.
    pub(super) rest: Vec<Section>,
    /// The services, each to be read as a document.
    pub(super) services: Vec<Section>,
}

impl Sections {
    /// Splits a text.
    pub(super) fn of(text: &str) -> Self {
        let cuts = cuts(text).unwrap_or_else(|| {
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
            let lines = newlines(text, &range);
            let section = Section { range, first_line };
            match cut.owner {
                Owner::Rest => sections.rest.push(section),
                Owner::Service => sections.services.push(section),
            }
            first_line = first_line.saturating_add(lines);
        }
        sections
    }
}

fn newlines(text: &str, range: &Range<usize>) -> u32 {
    let bytes = text.as_bytes().get(range.clone()).unwrap_or_default();
    let count = bytes.iter().filter(|byte| **byte == b'\n').count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Whom a section belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Rest,
    Service,
}

/// Where a section begins.
struct Cut {
    start: usize,
    owner: Owner,
}

/// Where the sections of a text begin, the first at its start; `None` if it can't be split.
fn cuts(text: &str) -> Option<Vec<Cut>> {
    let mut owner = Owner::Rest;
    let mut cuts = vec![Cut { start: 0, owner }];
    let mut in_root = true;
    for Statement { start, form, key } in Statements::of(text) {
        if form == Form::Pair && !in_root {
            continue;
        }
        in_root = in_root && form == Form::Pair;
        let of_service = match key {
            Key::Plain(name) => name == SERVICE,
            Key::Escaped => return None,
            Key::Missing => false,
        };
        let next = match (form, of_service) {
            (Form::Pair, false) => continue,
            (Form::Table { below: true } | Form::Item { below: true }, true)
                if owner == Owner::Service =>
            {
                continue
            }
            (Form::Item { below: false }, true) => Owner::Service,
            (_, true) => return None,
            (Form::Table { .. } | Form::Item { .. }, false) => Owner::Rest,
        };
        if next == Owner::Service || owner == Owner::Service {
            cuts.push(Cut { start, owner: next });
        }
        owner = next;
    }
    Some(cuts)
}

/// What kind of statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// A key with its value.
    Pair,
    /// The header of a table: `[a]`, or `[a.b]` if it is below another.
    Table { below: bool },
    /// The header of a list's item: `[[a]]`, or `[[a.b]]` if it is below another table.
    Item { below: bool },
}

/// The first key of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Key<'a> {
    /// One that stands as it is meant, bare or quoted.
    Plain(&'a str),
    /// One that is written with escapes.
    Escaped,
    /// A mistake that the reader tells.
    Missing,
}

/// A key with its value, or a header.
struct Statement<'a> {
    start: usize,
    form: Form,
    key: Key<'a>,
}

/// The statements of a text, one after the other.
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

    /// Takes the next token if it is of a kind.
    fn took(&mut self, kind: TokenKind) -> bool {
        self.tokens.next_if(|token| token.kind() == kind).is_some()
    }

    fn key(&mut self) -> Key<'a> {
        let Some(token) = self.tokens.peek() else {
            return Key::Missing;
        };
        let written = part(self.text, token);
        match token.kind() {
            TokenKind::Atom => Key::Plain(written),
            TokenKind::LiteralString => Key::Plain(written.trim_matches('\'')),
            TokenKind::BasicString if !written.contains('\\') => {
                Key::Plain(written.trim_matches('"'))
            }
            TokenKind::BasicString => Key::Escaped,
            _ => Key::Missing,
        }
    }

    /// The form and the first key of a header, behind its first bracket.
    fn header(&mut self) -> (Form, Key<'a>) {
        let item = self.took(TokenKind::LeftSquareBracket);
        self.skip(&[TokenKind::Whitespace]);
        let key = self.key();
        if key != Key::Missing {
            self.tokens.next();
        }
        self.skip(&[TokenKind::Whitespace]);
        let below = self
            .tokens
            .peek()
            .is_some_and(|token| token.kind() == TokenKind::Dot);
        let form = if item {
            Form::Item { below }
        } else {
            Form::Table { below }
        };
        (form, key)
    }

    /// Goes on to the end of a statement: the first line break outside of arrays and inline tables.
    fn finish(&mut self) {
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
        let (form, key) = match self.took(TokenKind::LeftSquareBracket) {
            true => self.header(),
            false => (Form::Pair, self.key()),
        };
        self.finish();
        Some(Statement { start, form, key })
    }
}

fn part<'a>(text: &'a str, token: &Token) -> &'a str {
    text.get(token.span().start()..token.span().end())
        .unwrap_or_default()
}
