//! Splitting of a text into statements, each a list of tokens.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, TokenizerError, Whitespace};

/// One statement, split into tokens.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementTokens {
    /// Tokens of the statement, without white space, comments and the semicolon.
    pub(super) tokens: Vec<Token>,
}

/// A text split into statements.
#[derive(Clone, Debug, Default)]
pub(super) struct SplitText {
    /// Statements in order, without empty ones.
    pub(super) statements: Vec<StatementTokens>,
    /// Bodies of the block comments of the text.
    pub(super) comments: Vec<String>,
}

/// Splits `sql` at its semicolons.
pub(super) fn split(sql: &str) -> Result<SplitText, TokenizerError> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize()?;
    let mut result = SplitText::default();
    let mut current = StatementTokens::default();
    for token in tokens {
        match token {
            Token::SemiColon => result.push(std::mem::take(&mut current)),
            Token::Whitespace(Whitespace::MultiLineComment(body)) => result.comments.push(body),
            Token::Whitespace(_) | Token::EOF => {}
            token => current.tokens.push(token),
        }
    }
    result.push(current);
    Ok(result)
}

impl SplitText {
    fn push(&mut self, statement: StatementTokens) {
        if !statement.tokens.is_empty() {
            self.statements.push(statement);
        }
    }
}

impl StatementTokens {
    /// Returns the unquoted word at `index` in lower case; empty if the token at `index` is
    /// anything else.
    pub(super) fn word(&self, index: usize) -> String {
        match self.tokens.get(index) {
            Some(Token::Word(word)) if word.quote_style.is_none() => word.value.to_lowercase(),
            _ => String::new(),
        }
    }

    /// Returns whether the statement starts with these unquoted words.
    pub(super) fn starts_with(&self, words: &[&str]) -> bool {
        words
            .iter()
            .enumerate()
            .all(|(index, word)| self.word(index) == *word)
    }

    /// Returns whether these unquoted words occur anywhere next to each other.
    pub(super) fn contains(&self, words: &[&str]) -> bool {
        (0..self.tokens.len()).any(|start| {
            words
                .iter()
                .enumerate()
                .all(|(index, word)| self.word(start + index) == *word)
        })
    }

    /// Iterates over the names that are followed by a parenthesis, as in a function call.
    /// Quoted names are included; all are in lower case.
    pub(super) fn called_names(&self) -> impl Iterator<Item = String> {
        self.tokens.windows(2).filter_map(|pair| match pair {
            [Token::Word(word), Token::LParen] => Some(word.value.to_lowercase()),
            _ => None,
        })
    }
}
