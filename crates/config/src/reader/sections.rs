//! Splits the text of a file into sections that [`super::parse_toml`] parses one by one, to save memory.
//!
//! The TOML parser builds a tree that takes more than thirty times the memory of a document's text. So each `[[service]]`
//! with its tables is parsed as a document of its own, and everything outside of services as another one. This bounds
//! the tree by the size of the largest of these documents.
//!
//! The text is split with the lexer of the TOML parser, so that strings, comments and multi-line values are distinguished
//! from headers exactly as the parser does. A file is parsed as a single document if its headers are not enough to find
//! the services: if a key is written with escapes, if `service` is not an array of tables, or if tables of a service are
//! separated from it by other tables.

use std::iter::Peekable;
use std::ops::Range;
use toml_parser::lexer::{Lexer, Token, TokenKind};
use toml_parser::Source;

/// The key of the array of tables that is parsed table by table.
const SERVICE_KEY: &str = "service";

/// A part of the text that consists of complete statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Section {
    /// The range of bytes in the text.
    pub(super) range: Range<usize>,
    /// The number of the first line in the file.
    pub(super) first_line: u32,
}

/// The sections of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Sections {
    /// The sections outside of services, which are parsed as one document.
    pub(super) main: Vec<Section>,
    /// The services, each of which is parsed as a document of its own.
    pub(super) services: Vec<Section>,
}

impl Sections {
    /// Splits a text; the result is a single section if the services can't be separated.
    pub(super) fn split(text: &str) -> Self {
        let starts = find_section_starts(text).unwrap_or_else(|| {
            vec![SectionStart {
                offset: 0,
                owner: Owner::Main,
            }]
        });
        let mut sections = Sections::default();
        let mut first_line = 1u32;
        let ends = starts
            .iter()
            .skip(1)
            .map(|start| start.offset)
            .chain([text.len()]);
        for (start, end) in starts.iter().zip(ends) {
            let range = start.offset..end;
            let line_count = count_newlines(text, &range);
            let section = Section { range, first_line };
            match start.owner {
                Owner::Main => sections.main.push(section),
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

/// Which document a section is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Main,
    Service,
}

/// The start of a section.
struct SectionStart {
    /// The offset in the text.
    offset: usize,
    owner: Owner,
}

/// The starts of all sections of a text, the first at offset 0; `None` if the services can't be separated.
fn find_section_starts(text: &str) -> Option<Vec<SectionStart>> {
    let mut owner = Owner::Main;
    let mut starts = vec![SectionStart { offset: 0, owner }];
    // The keys of the root table precede the first header.
    let mut in_root = true;
    for Statement { offset, kind, key } in Statements::of(text) {
        if kind == Kind::KeyValue && !in_root {
            continue;
        }
        in_root = in_root && kind == Kind::KeyValue;
        let is_service = match key {
            Key::Plain(name) => name == SERVICE_KEY,
            Key::Escaped => return None,
            Key::Missing => false,
        };
        let next = match (kind, is_service) {
            (Kind::KeyValue, false) => continue,
            (Kind::Table { is_nested: true } | Kind::ArrayTable { is_nested: true }, true)
                if owner == Owner::Service =>
            {
                continue
            }
            (Kind::ArrayTable { is_nested: false }, true) => Owner::Service,
            (_, true) => return None,
            (Kind::Table { .. } | Kind::ArrayTable { .. }, false) => Owner::Main,
        };
        if next == Owner::Service || owner == Owner::Service {
            starts.push(SectionStart {
                offset,
                owner: next,
            });
        }
        owner = next;
    }
    Some(starts)
}

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A key with its value.
    KeyValue,
    /// The header of a table: `[a]`, or `[a.b]` if it is nested.
    Table { is_nested: bool },
    /// The header of a table in an array: `[[a]]`, or `[[a.b]]` if it is nested.
    ArrayTable { is_nested: bool },
}

/// The first part of a statement's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Key<'a> {
    /// A bare or quoted key without escapes.
    Plain(&'a str),
    /// A quoted key with escapes, which the lexer does not decode.
    Escaped,
    /// There is no key: a syntax error, which the parser reports.
    Missing,
}

/// A key with its value, or a header.
struct Statement<'a> {
    /// The offset in the text.
    offset: usize,
    kind: Kind,
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

    /// Consumes tokens while they are of one of these kinds.
    fn skip(&mut self, kinds: &[TokenKind]) {
        while self
            .tokens
            .next_if(|token| kinds.contains(&token.kind()))
            .is_some()
        {}
    }

    /// Consumes the next token if it is of the given kind, and returns whether it was.
    fn consume(&mut self, kind: TokenKind) -> bool {
        self.tokens.next_if(|token| token.kind() == kind).is_some()
    }

    /// Reads the key at the next token without consuming it.
    fn peek_key(&mut self) -> Key<'a> {
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

    /// Reads the kind and the first key of a header after its first bracket.
    fn read_header(&mut self) -> (Kind, Key<'a>) {
        let is_array_table = self.consume(TokenKind::LeftSquareBracket);
        self.skip(&[TokenKind::Whitespace]);
        let key = self.peek_key();
        if key != Key::Missing {
            self.tokens.next();
        }
        self.skip(&[TokenKind::Whitespace]);
        let is_nested = self
            .tokens
            .peek()
            .is_some_and(|token| token.kind() == TokenKind::Dot);
        let kind = if is_array_table {
            Kind::ArrayTable { is_nested }
        } else {
            Kind::Table { is_nested }
        };
        (kind, key)
    }

    /// Consumes the rest of a statement up to the first line break outside of arrays and inline tables.
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
        let offset = first.span().start();
        let (kind, key) = if self.consume(TokenKind::LeftSquareBracket) {
            self.read_header()
        } else {
            (Kind::KeyValue, self.peek_key())
        };
        self.skip_to_end();
        Some(Statement { offset, kind, key })
    }
}

fn token_text<'a>(text: &'a str, token: &Token) -> &'a str {
    text.get(token.span().start()..token.span().end())
        .unwrap_or_default()
}
