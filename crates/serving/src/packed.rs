//! Compression of values sent between nodes. Uncompressed, a configuration of a few thousand
//! routes would occupy a slow link for seconds and delay the requests queued behind it.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Maximum size of an unpacked value: a few hundred thousand routes.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// Error of packing or unpacking a value.
#[derive(Debug, Error)]
pub enum PackError {
    /// The value cannot be encoded, or the bytes are not a valid encoding of one.
    #[error("encoding: {0}")]
    Encoding(#[from] postcard::Error),
    /// The bytes are not valid compressed data.
    #[error("compression: {0}")]
    Compression(#[from] io::Error),
    /// The value exceeds the maximum size of values that are sent.
    #[error("the value is larger than {MAX_UNPACKED_BYTES} bytes")]
    TooLarge,
}

/// Encodes and compresses a value.
pub fn pack<T: Serialize>(value: &T) -> Result<Bytes, PackError> {
    let encoded = postcard::to_allocvec(value)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&encoded)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses and decodes a value produced by [`pack`].
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PackError> {
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES + 1);
    let length = decoder.read_to_end(&mut encoded)?;
    if u64::try_from(length).is_ok_and(|length| length > MAX_UNPACKED_BYTES) {
        return Err(PackError::TooLarge);
    }
    Ok(postcard::from_bytes(&encoded)?)
}
