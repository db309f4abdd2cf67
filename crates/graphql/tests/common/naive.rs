//! A scanner of documents that knows only lexical tokens and brackets, as an oracle for tests and fuzzing. It was
//! written from section 2.1 of the specification, and shares no code with the package or its parser.

/// The keyword that a definition begins with (`query` for the shorthand), and the name of the definition.
#[derive(Debug, PartialEq, Eq)]
pub struct Definition {
    pub keyword: String,
    pub name: Option<String>,
}

#[derive(PartialEq)]
enum Token {
    Name(String),
    Bracket(char),
    Other,
}

/// The tokens of a document; `None` if a string is not terminated.
fn tokens(text: &str) -> Option<Vec<Token>> {
    let chars: Vec<char> = text.chars().collect();
    let at = |n: usize| chars.get(n).copied();
    let (mut tokens, mut n) = (Vec::new(), 0);
    while let Some(c) = at(n) {
        match c {
            '#' => {
                while at(n).is_some_and(|c| c != '\n' && c != '\r') {
                    n += 1;
                }
            }
            '"' if at(n + 1) == Some('"') && at(n + 2) == Some('"') => {
                n += 3;
                loop {
                    if at(n)? == '\\' && (n + 1..n + 4).all(|n| at(n) == Some('"')) {
                        n += 4;
                    } else if (n..n + 3).all(|n| at(n) == Some('"')) {
                        n += 3;
                        break;
                    } else {
                        n += 1;
                    }
                }
                tokens.push(Token::Other);
            }
            '"' => {
                n += 1;
                loop {
                    match at(n)? {
                        '"' => break,
                        '\n' | '\r' => return None,
                        '\\' => n += 2,
                        _ => n += 1,
                    }
                }
                n += 1;
                tokens.push(Token::Other);
            }
            '_' | 'a'..='z' | 'A'..='Z' => {
                let mut name = String::new();
                while let Some(c) = at(n).filter(|c| *c == '_' || c.is_ascii_alphanumeric()) {
                    name.push(c);
                    n += 1;
                }
                tokens.push(Token::Name(name));
            }
            ' ' | '\t' | '\n' | '\r' | ',' | '\u{feff}' => n += 1,
            c if "{}()[]".contains(c) => {
                tokens.push(Token::Bracket(c));
                n += 1;
            }
            _ => {
                tokens.push(Token::Other);
                n += 1;
            }
        }
    }
    Some(tokens)
}

/// The definitions of a document, in order; `None` if its tokens or brackets are invalid.
pub fn definitions(text: &str) -> Option<Vec<Definition>> {
    let tokens = tokens(text)?;
    let (mut definitions, mut depth, mut in_definition) = (Vec::new(), 0usize, false);
    for (n, token) in tokens.iter().enumerate() {
        if !in_definition {
            in_definition = true;
            match token {
                Token::Bracket('{') => definitions.push(Definition {
                    keyword: "query".to_owned(),
                    name: None,
                }),
                Token::Name(keyword) => {
                    let name = match tokens.get(n + 1) {
                        Some(Token::Name(name)) => Some(name.clone()),
                        _ => None,
                    };
                    definitions.push(Definition {
                        keyword: keyword.clone(),
                        name,
                    });
                }
                _ => return None,
            }
        }
        match token {
            Token::Bracket('{' | '(' | '[') => depth += 1,
            Token::Bracket(closing) => {
                depth = depth.checked_sub(1)?;
                in_definition = depth > 0 || *closing != '}';
            }
            _ => {}
        }
    }
    (depth == 0 && !in_definition).then_some(definitions)
}

/// The keyword of the operation that runs; `None` if there is no such operation or more than one.
pub fn keyword(text: &str, name: Option<&str>) -> Option<String> {
    let mut operations = definitions(text)?;
    operations.retain(|d| d.keyword != "fragment");
    match name {
        None if operations.len() == 1 => operations.pop().map(|d| d.keyword),
        None => None,
        Some(_) => {
            operations.retain(|d| d.name.as_deref() == name);
            operations
                .pop()
                .filter(|_| operations.is_empty())
                .map(|d| d.keyword)
        }
    }
}
