//! Splits PostgreSQL SQL into tokens.

use super::error::{SqlError, SqlState};

/// Kind of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// A keyword or an unquoted identifier.
    Word,
    /// A double-quoted identifier; the text is its contents, with doubled quotes reduced to one.
    QuotedName,
    /// A numeric literal.
    Number,
    /// A string literal; the text is its unescaped contents.
    Text,
    /// `$n`; the text is the digits.
    Parameter,
    /// An operator or a punctuation mark.
    Symbol,
}

/// One token of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Kind of the token.
    pub kind: TokenKind,
    /// Source text of the token; for string literals and quoted identifiers, the decoded contents
    /// without quotes; for parameters, only the digits.
    pub text: String,
}

impl Token {
    /// Creates an unquoted word.
    pub fn word(text: &str) -> Self {
        Self {
            kind: TokenKind::Word,
            text: text.to_owned(),
        }
    }

    /// Creates an operator or punctuation mark.
    pub fn symbol(text: &str) -> Self {
        Self {
            kind: TokenKind::Symbol,
            text: text.to_owned(),
        }
    }

    /// Returns whether this is the unquoted word `word`, ignoring case.
    pub fn is_word(&self, word: &str) -> bool {
        self.kind == TokenKind::Word && self.text.eq_ignore_ascii_case(word)
    }

    /// Returns whether this is one of the unquoted words, ignoring case.
    pub fn is_any_word(&self, words: &[&str]) -> bool {
        words.iter().any(|word| self.is_word(word))
    }

    /// Returns whether this is the operator or punctuation mark `symbol`.
    pub fn is_symbol(&self, symbol: &str) -> bool {
        self.kind == TokenKind::Symbol && self.text == symbol
    }

    /// Returns whether this token can be the name of a table or a column.
    pub fn is_name(&self) -> bool {
        matches!(self.kind, TokenKind::Word | TokenKind::QuotedName)
    }

    /// Returns the identifier, folded to lower case if unquoted.
    pub fn name(&self) -> String {
        match self.kind {
            TokenKind::Word => self.text.to_lowercase(),
            _ => self.text.clone(),
        }
    }

    /// Returns the token in the syntax of the embedded engine.
    pub fn render(&self) -> String {
        match self.kind {
            TokenKind::QuotedName => format!("\"{}\"", self.text.replace('"', "\"\"")),
            TokenKind::Text => format!("'{}'", self.text.replace('\'', "''")),
            TokenKind::Parameter => format!("?{}", self.text),
            _ => self.text.clone(),
        }
    }
}

/// One statement: its original text and its tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawStatement {
    /// The text between semicolons, trimmed.
    pub text: String,
    /// Tokens of the statement, without comments.
    pub tokens: Vec<Token>,
}

/// Splits `sql` into statements at semicolons and drops empty statements.
pub fn split(sql: &str) -> Result<Vec<RawStatement>, SqlError> {
    let mut lexer = Lexer {
        bytes: sql.as_bytes(),
        sql,
        at: 0,
    };
    let mut statements = Vec::new();
    let mut tokens = Vec::new();
    let mut start = 0;
    loop {
        let token = lexer.next_token()?;
        let ends = match &token {
            None => true,
            Some(token) => token.is_symbol(";"),
        };
        if ends && !tokens.is_empty() {
            let end = if token.is_some() {
                lexer.at - 1
            } else {
                lexer.at
            };
            statements.push(RawStatement {
                text: sql[start..end].trim().to_owned(),
                tokens: std::mem::take(&mut tokens),
            });
        }
        match token {
            None => return Ok(statements),
            Some(_) if ends => start = lexer.at,
            Some(token) => tokens.push(token),
        }
    }
}

struct Lexer<'a> {
    bytes: &'a [u8],
    sql: &'a str,
    at: usize,
}

const OPERATOR_BYTES: &[u8] = b"+-*/<>=~!@#%^&|?";

impl Lexer<'_> {
    fn peek(&self, ahead: usize) -> Option<u8> {
        self.bytes.get(self.at + ahead).copied()
    }

    fn next_token(&mut self) -> Result<Option<Token>, SqlError> {
        self.skip_blanks()?;
        let Some(byte) = self.peek(0) else {
            return Ok(None);
        };
        let token = match byte {
            b'\'' => self.quoted_text(false)?,
            b'e' | b'E' if self.peek(1) == Some(b'\'') => {
                self.at += 1;
                self.quoted_text(true)?
            }
            b'"' => self.quoted_name()?,
            b'$' if self.peek(1).is_some_and(|next| next.is_ascii_digit()) => {
                self.at += 1;
                self.take_while(TokenKind::Parameter, |byte| byte.is_ascii_digit())
            }
            b'$' => self.dollar_text()?,
            b'0'..=b'9' => self.number(),
            b'.' if self.peek(1).is_some_and(|next| next.is_ascii_digit()) => self.number(),
            _ if is_word_start(byte) => self.take_while(TokenKind::Word, is_word_byte),
            b':' if self.peek(1) == Some(b':') => self.take(2),
            _ if OPERATOR_BYTES.contains(&byte) => self.operator(),
            _ if byte.is_ascii() => self.take(1),
            _ => return Err(unexpected(self.sql, self.at)),
        };
        Ok(Some(token))
    }

    fn skip_blanks(&mut self) -> Result<(), SqlError> {
        loop {
            match (self.peek(0), self.peek(1)) {
                (Some(byte), _) if byte.is_ascii_whitespace() => self.at += 1,
                (Some(b'-'), Some(b'-')) => {
                    while self.peek(0).is_some_and(|byte| byte != b'\n') {
                        self.at += 1;
                    }
                }
                (Some(b'/'), Some(b'*')) => self.skip_block_comment()?,
                _ => return Ok(()),
            }
        }
    }

    fn skip_block_comment(&mut self) -> Result<(), SqlError> {
        let mut depth = 0_usize;
        loop {
            match (self.peek(0), self.peek(1)) {
                (Some(b'/'), Some(b'*')) => {
                    depth += 1;
                    self.at += 2;
                }
                (Some(b'*'), Some(b'/')) => {
                    depth -= 1;
                    self.at += 2;
                    if depth == 0 {
                        return Ok(());
                    }
                }
                (Some(_), _) => self.at += 1,
                (None, _) => return Err(unterminated("/* comment")),
            }
        }
    }

    fn take(&mut self, length: usize) -> Token {
        let text = &self.sql[self.at..self.at + length];
        self.at += length;
        Token::symbol(text)
    }

    fn take_while(&mut self, kind: TokenKind, accept: fn(u8) -> bool) -> Token {
        let start = self.at;
        while self.peek(0).is_some_and(accept) {
            self.at += 1;
        }
        Token {
            kind,
            text: self.sql[start..self.at].to_owned(),
        }
    }

    fn number(&mut self) -> Token {
        let start = self.at;
        while let Some(byte) = self.peek(0) {
            let exponent_sign = matches!(byte, b'+' | b'-')
                && self.at > start
                && matches!(self.bytes[self.at - 1], b'e' | b'E');
            let accepted = byte.is_ascii_digit()
                || byte == b'.'
                || exponent_sign
                || (matches!(byte, b'e' | b'E')
                    && self
                        .peek(1)
                        .is_some_and(|next| next.is_ascii_digit() || matches!(next, b'+' | b'-')));
            if !accepted {
                break;
            }
            self.at += 1;
        }
        Token {
            kind: TokenKind::Number,
            text: self.sql[start..self.at].to_owned(),
        }
    }

    fn operator(&mut self) -> Token {
        let start = self.at;
        while let Some(byte) = self.peek(0) {
            let comment = (byte == b'-' && self.peek(1) == Some(b'-'))
                || (byte == b'/' && self.peek(1) == Some(b'*'));
            // A sign after another operator starts a new token, as in `a=-1`.
            let sign = self.at > start && matches!(byte, b'+' | b'-') && self.bytes[start] != b'-';
            if !OPERATOR_BYTES.contains(&byte) || comment || sign {
                break;
            }
            self.at += 1;
        }
        Token::symbol(&self.sql[start..self.at])
    }

    fn quoted_text(&mut self, escapes: bool) -> Result<Token, SqlError> {
        let mut contents = Vec::new();
        self.at += 1;
        loop {
            match (self.peek(0), self.peek(1)) {
                (Some(b'\''), Some(b'\'')) => {
                    contents.push(b'\'');
                    self.at += 2;
                }
                (Some(b'\''), _) => {
                    self.at += 1;
                    break;
                }
                (Some(b'\\'), Some(escaped)) if escapes => {
                    contents.push(unescape(escaped));
                    self.at += 2;
                }
                (Some(byte), _) => {
                    contents.push(byte);
                    self.at += 1;
                }
                (None, _) => return Err(unterminated("quoted string")),
            }
        }
        text_token(contents)
    }

    fn quoted_name(&mut self) -> Result<Token, SqlError> {
        let mut contents = Vec::new();
        self.at += 1;
        loop {
            match (self.peek(0), self.peek(1)) {
                (Some(b'"'), Some(b'"')) => {
                    contents.push(b'"');
                    self.at += 2;
                }
                (Some(b'"'), _) => {
                    self.at += 1;
                    break;
                }
                (Some(byte), _) => {
                    contents.push(byte);
                    self.at += 1;
                }
                (None, _) => return Err(unterminated("quoted identifier")),
            }
        }
        let mut token = text_token(contents)?;
        token.kind = TokenKind::QuotedName;
        Ok(token)
    }

    fn dollar_text(&mut self) -> Result<Token, SqlError> {
        let rest = &self.sql[self.at..];
        let tag_end = rest[1..]
            .find('$')
            .ok_or_else(|| unexpected(self.sql, self.at))?;
        let tag = &rest[..tag_end + 2];
        if !tag[1..tag.len() - 1].bytes().all(is_word_byte) {
            return Err(unexpected(self.sql, self.at));
        }
        let body = &rest[tag.len()..];
        let length = body
            .find(tag)
            .ok_or_else(|| unterminated("dollar-quoted string"))?;
        self.at += tag.len() + length + tag.len();
        text_token(body.as_bytes()[..length].to_vec())
    }
}

fn text_token(contents: Vec<u8>) -> Result<Token, SqlError> {
    let text = String::from_utf8(contents)
        .map_err(|_| SqlError::new(SqlState::SyntaxError, "invalid byte sequence for encoding"))?;
    Ok(Token {
        kind: TokenKind::Text,
        text,
    })
}

fn unescape(byte: u8) -> u8 {
    match byte {
        b'n' => b'\n',
        b't' => b'\t',
        b'r' => b'\r',
        other => other,
    }
}

fn is_word_start(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

fn is_word_byte(byte: u8) -> bool {
    is_word_start(byte) || byte.is_ascii_digit()
}

fn unterminated(what: &str) -> SqlError {
    SqlError::new(SqlState::SyntaxError, format!("unterminated {what}"))
}

fn unexpected(sql: &str, at: usize) -> SqlError {
    let rest: String = sql[at..].chars().take(20).collect();
    SqlError::new(
        SqlState::SyntaxError,
        format!("syntax error at or near \"{rest}\""),
    )
}
