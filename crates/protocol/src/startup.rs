//! Packets that a client sends before its session starts. They have a length field but
//! no tag.

use std::collections::BTreeMap;

use bytes::Bytes;
use thiserror::Error;

use crate::extended::take_string;

/// Longest start-up packet accepted, in bytes; PostgreSQL's own limit.
pub const MAXIMUM_STARTUP_LENGTH: usize = 10_000;
/// Protocol version 3.0.
pub const PROTOCOL_3_0: u32 = 196_608;

const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const TLS_REQUEST_CODE: u32 = 80_877_103;
const GSS_REQUEST_CODE: u32 = 80_877_104;
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";

/// A packet at the start of a client connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// `SSLRequest`: the client requests TLS.
    Tls,
    /// `GSSENCRequest`: the client requests GSSAPI encryption.
    Gss,
    /// `CancelRequest`: the client requests that another session's statement is cancelled.
    Cancel {
        /// Process number of the session to cancel, from its `BackendKeyData`.
        process: u32,
        /// Secret of the session to cancel, from its `BackendKeyData`.
        secret: u32,
    },
    /// `StartupMessage`: the client starts a session.
    Session(SessionParameters),
}

/// Parameters of a session, as given in the start-up message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionParameters {
    /// Requested protocol version: major version in the upper 16 bits, minor in the lower.
    pub version: u32,
    /// Names of the requested protocol options (`_pq_.*`); none of them is supported.
    pub protocol_options: Vec<String>,
    /// User name.
    pub user: String,
    /// Database name; the user name when the client gave none.
    pub database: String,
    /// Whether the client requested a replication connection.
    pub replication: bool,
    /// Run-time parameters, including those given in `options`, keyed by lower-case name.
    pub settings: BTreeMap<String, String>,
}

/// Why a start-up packet was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StartupError {
    /// The length field is below 8 or above [`MAXIMUM_STARTUP_LENGTH`].
    #[error("the start-up packet has the impossible length {length}")]
    BadLength {
        /// Length field as received.
        length: u32,
    },
    /// The packet does not have the layout required by its request code.
    #[error("the start-up packet is malformed")]
    Malformed,
    /// The protocol's major version is not 3.
    #[error("protocol version {major}.{minor} is not supported")]
    UnsupportedVersion {
        /// Requested major version.
        major: u32,
        /// Requested minor version.
        minor: u32,
    },
    /// The packet has no user name.
    #[error("the start-up packet names no user")]
    NoUser,
    /// An `options` value holds something other than `-c name=value`.
    #[error("the start-up option `{option}` is not supported")]
    BadOption {
        /// The option, cut to 64 characters.
        option: String,
    },
}

/// Returns the number of bytes that follow the length field of a start-up packet, given
/// the value of that field.
///
/// # Errors
/// [`StartupError::BadLength`] when the length is out of bounds.
pub fn body_length(length: u32) -> Result<usize, StartupError> {
    let total = length as usize;
    if (8..=MAXIMUM_STARTUP_LENGTH).contains(&total) {
        Ok(total - 4)
    } else {
        Err(StartupError::BadLength { length })
    }
}

impl StartupPacket {
    /// Parses a packet without its length field.
    ///
    /// # Errors
    /// Any [`StartupError`] except [`StartupError::BadLength`].
    pub fn read(mut body: Bytes) -> Result<Self, StartupError> {
        let code = take_u32(&mut body)?;
        match code {
            TLS_REQUEST_CODE => Ok(Self::Tls),
            GSS_REQUEST_CODE => Ok(Self::Gss),
            CANCEL_REQUEST_CODE => Ok(Self::Cancel {
                process: take_u32(&mut body)?,
                secret: take_u32(&mut body)?,
            }),
            version if version >> 16 == 3 => {
                Ok(Self::Session(SessionParameters::read(version, body)?))
            }
            version => Err(StartupError::UnsupportedVersion {
                major: version >> 16,
                minor: version & 0xFFFF,
            }),
        }
    }
}

impl SessionParameters {
    fn read(version: u32, mut body: Bytes) -> Result<Self, StartupError> {
        let mut parameters = Self {
            version,
            ..Self::default()
        };
        loop {
            let name = take_startup_string(&mut body)?;
            if name.is_empty() {
                break;
            }
            let value = take_startup_string(&mut body)?;
            parameters.set_parameter(name, value)?;
        }
        if parameters.user.is_empty() {
            return Err(StartupError::NoUser);
        }
        if parameters.database.is_empty() {
            parameters.database = parameters.user.clone();
        }
        Ok(parameters)
    }

    fn set_parameter(&mut self, name: String, value: String) -> Result<(), StartupError> {
        match name.as_str() {
            "user" => self.user = value,
            "database" => self.database = value,
            "replication" => self.replication = !is_false(&value),
            "options" => self.settings.extend(parse_options(&value)?),
            _ if name.starts_with(PROTOCOL_OPTION_PREFIX) => self.protocol_options.push(name),
            _ => {
                self.settings.insert(name.to_ascii_lowercase(), value);
            }
        }
        Ok(())
    }
}

fn is_false(value: &str) -> bool {
    matches!(
        value.to_ascii_lowercase().as_str(),
        "" | "0" | "f" | "n" | "no" | "off" | "false"
    )
}

fn take_u32(body: &mut Bytes) -> Result<u32, StartupError> {
    if body.len() < 4 {
        return Err(StartupError::Malformed);
    }
    let bytes = body.split_to(4);
    Ok(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
}

fn take_startup_string(body: &mut Bytes) -> Result<String, StartupError> {
    take_string(0, body).map_err(|_| StartupError::Malformed)
}

/// Parses an `options` value: `-c name=value`, `-cname=value` and `--name=value`,
/// separated by white space. A backslash escapes the next character.
fn parse_options(text: &str) -> Result<BTreeMap<String, String>, StartupError> {
    let mut settings = BTreeMap::new();
    let mut words = split_words(text).into_iter();
    while let Some(word) = words.next() {
        let assignment = if word == "-c" {
            words.next().unwrap_or_default()
        } else if let Some(rest) = word.strip_prefix("--") {
            rest.to_owned()
        } else if let Some(rest) = word.strip_prefix("-c") {
            rest.to_owned()
        } else {
            return Err(bad_option(&word));
        };
        let (name, value) = assignment
            .split_once('=')
            .ok_or_else(|| bad_option(&word))?;
        let name = name.replace('-', "_").to_ascii_lowercase();
        settings.insert(name, value.to_owned());
    }
    Ok(settings)
}

fn bad_option(word: &str) -> StartupError {
    StartupError::BadOption {
        option: word.chars().take(64).collect(),
    }
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.extend(characters.next()),
            space if space.is_ascii_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            other => word.push(other),
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}
