//! The messages before a session has begun: they have a length but no tag.

use std::collections::BTreeMap;

use bytes::Bytes;
use thiserror::Error;

use crate::extended::take_string;

/// Longest start-up packet accepted, in bytes; PostgreSQL's own limit.
pub const MAXIMUM_STARTUP_LENGTH: usize = 10_000;
/// Protocol version 3.0.
pub const PROTOCOL_3_0: u32 = 196_608;

const CANCEL_CODE: u32 = 80_877_102;
const TLS_CODE: u32 = 80_877_103;
const GSS_CODE: u32 = 80_877_104;
const OPTION_PREFIX: &str = "_pq_.";

/// A packet at the beginning of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// The client asks for TLS.
    Tls,
    /// The client asks for GSSAPI encryption.
    Gss,
    /// The client wants another session's request cancelled.
    Cancel {
        /// Process number of that session.
        process: u32,
        /// Its secret.
        secret: u32,
    },
    /// The client begins a session.
    Session(SessionParameters),
}

/// What a client says of the session it begins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionParameters {
    /// Protocol version asked for.
    pub version: u32,
    /// Protocol options asked for; none is known here.
    pub protocol_options: Vec<String>,
    /// User name.
    pub user: String,
    /// Database name; the user name where none was given.
    pub database: String,
    /// Whether a replication connection was asked for.
    pub replication: bool,
    /// Run-time parameters, those inside `options` included; names in lower case.
    pub settings: BTreeMap<String, String>,
}

/// Why a start-up packet was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StartupError {
    /// The length field is impossible or over the limit.
    #[error("the start-up packet has the impossible length {length}")]
    BadLength {
        /// Length field as received.
        length: u32,
    },
    /// The packet does not have the form its code asks for.
    #[error("the start-up packet is malformed")]
    Malformed,
    /// The protocol's major version is not 3.
    #[error("protocol version {major}.{minor} is not supported")]
    UnsupportedVersion {
        /// Major version asked for.
        major: u32,
        /// Minor version asked for.
        minor: u32,
    },
    /// No user name was given.
    #[error("the start-up packet names no user")]
    NoUser,
    /// An `options` value holds something other than `-c name=value`.
    #[error("the start-up option `{option}` is not supported")]
    BadOption {
        /// The option, shortened.
        option: String,
    },
}

/// How many bytes follow a start-up packet's length field.
///
/// # Errors
/// [`StartupError::BadLength`].
pub fn body_length(length: u32) -> Result<usize, StartupError> {
    let total = length as usize;
    if (8..=MAXIMUM_STARTUP_LENGTH).contains(&total) {
        Ok(total - 4)
    } else {
        Err(StartupError::BadLength { length })
    }
}

impl StartupPacket {
    /// Reads what follows the length field.
    ///
    /// # Errors
    /// A [`StartupError`] that says what is wrong.
    pub fn read(mut body: Bytes) -> Result<Self, StartupError> {
        let code = take_number(&mut body)?;
        match code {
            TLS_CODE => Ok(Self::Tls),
            GSS_CODE => Ok(Self::Gss),
            CANCEL_CODE => Ok(Self::Cancel {
                process: take_number(&mut body)?,
                secret: take_number(&mut body)?,
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
            let name = take_text(&mut body)?;
            if name.is_empty() {
                break;
            }
            let value = take_text(&mut body)?;
            parameters.take(name, value)?;
        }
        if parameters.user.is_empty() {
            return Err(StartupError::NoUser);
        }
        if parameters.database.is_empty() {
            parameters.database = parameters.user.clone();
        }
        Ok(parameters)
    }

    fn take(&mut self, name: String, value: String) -> Result<(), StartupError> {
        match name.as_str() {
            "user" => self.user = value,
            "database" => self.database = value,
            "replication" => self.replication = !is_false(&value),
            "options" => self.settings.extend(parse_options(&value)?),
            _ if name.starts_with(OPTION_PREFIX) => self.protocol_options.push(name),
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

fn take_number(body: &mut Bytes) -> Result<u32, StartupError> {
    if body.len() < 4 {
        return Err(StartupError::Malformed);
    }
    let bytes = body.split_to(4);
    Ok(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
}

fn take_text(body: &mut Bytes) -> Result<String, StartupError> {
    take_string(0, body).map_err(|_| StartupError::Malformed)
}

/// Reads `-c name=value`, `-cname=value` and `--name=value`, separated by blanks; a
/// backslash takes the next character as it is.
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
            blank if blank.is_ascii_whitespace() => {
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
