//! Request identifiers in sqlcommenter comments, such as
//! `/*request_id='order%2F17'*/`.

use hookpoint_state::RequestId;

/// Key of the request identifier in a comment.
const REQUEST_ID_KEY: &str = "request_id";
/// Longest request identifier accepted, in bytes after percent-decoding.
pub(super) const MAXIMUM_REQUEST_ID_BYTES: usize = 1_024;

/// Returns the request identifier in the body of one comment, if there is one.
pub(super) fn request_id_of(comment: &str) -> Option<RequestId> {
    pairs(comment)
        .find(|(key, _)| *key == REQUEST_ID_KEY)
        .map(|(_, value)| RequestId::new(percent_decode(&value)))
}

/// Finds a request identifier in anything that looks like a block comment. Used for texts
/// that are not split into tokens.
pub(super) fn request_id_in_raw(sql: &str) -> Option<RequestId> {
    let mut rest = sql;
    while let Some((_, after)) = rest.split_once("/*") {
        let body = after.split_once("*/").map_or(after, |(body, _)| body);
        if let Some(id) = request_id_of(body) {
            return Some(id);
        }
        rest = after;
    }
    None
}

/// Iterates over the comma-separated pairs `key='value'`. A quote inside a value is
/// written `\'`.
fn pairs(comment: &str) -> impl Iterator<Item = (&str, String)> {
    let mut rest = comment;
    std::iter::from_fn(move || {
        let (key, after) = rest.split_once('=')?;
        let after = after.trim_start().strip_prefix('\'')?;
        let (value, length) = parse_quoted(after)?;
        rest = after.get(length..)?;
        Some((key.trim_matches([' ', ',', '\t', '\n', '\r']), value))
    })
}

/// Returns the unescaped text up to the closing quote, and the number of bytes that the
/// text and the quote occupy.
fn parse_quoted(text: &str) -> Option<(String, usize)> {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '\'' => return Some((value, index + 1)),
            '\\' => value.push(characters.next()?.1),
            other => value.push(other),
        }
    }
    None
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let pair = bytes.get(index + 1..index + 3);
        match (bytes[index], pair.and_then(hex_pair)) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_pair(pair: &[u8]) -> Option<u8> {
    let high = char::from(pair[0]).to_digit(16)?;
    let low = char::from(pair[1]).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}
