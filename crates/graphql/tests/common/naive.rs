//! A reader of documents that knows lexical tokens and brackets and nothing else, written from the specification's section
//! 2.1 and sharing no line with the package or its parser: an oracle for tests and for fuzzing.

/// What a definition begins with, and its name.
#[derive(Debug, PartialEq, Eq)]
pub struct Defined {
    pub keyword: String,
    pub name: Option<String>,
}

#[derive(PartialEq)]
enum Token {
    Name(String),
    Mark(char),
    Other,
}

/// The tokens of a document; `None` where it has none that can be told.
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
                tokens.push(Token::Mark(c));
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

/// The definitions of a document, in their order; `None` where they can't be told.
pub fn definitions(text: &str) -> Option<Vec<Defined>> {
    let tokens = tokens(text)?;
    let (mut found, mut depth, mut within) = (Vec::new(), 0usize, false);
    for (n, token) in tokens.iter().enumerate() {
        if !within {
            within = true;
            match token {
                Token::Mark('{') => found.push(Defined {
                    keyword: "query".to_owned(),
                    name: None,
                }),
                Token::Name(keyword) => {
                    let name = match tokens.get(n + 1) {
                        Some(Token::Name(name)) => Some(name.clone()),
                        _ => None,
                    };
                    found.push(Defined {
                        keyword: keyword.clone(),
                        name,
                    });
                }
                _ => return None,
            }
        }
        match token {
            Token::Mark('{' | '(' | '[') => depth += 1,
            Token::Mark(closing) => {
                depth = depth.checked_sub(1)?;
                within = depth > 0 || *closing != '}';
            }
            _ => {}
        }
    }
    (depth == 0 && !within).then_some(found)
}

/// The keyword of the operation that runs; `None` where that can't be told.
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
