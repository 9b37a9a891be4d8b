//! JSON encoding of protocol-buffer scalars: bytes as base64, 64-bit integers as
//! strings, default values omitted.

/// Returns whether a field has its default value and is therefore omitted.
pub fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Encoding of bytes as base64 text.
pub mod base64_bytes {
    use base64::Engine;
    use base64::alphabet::STANDARD as STANDARD_ALPHABET;
    use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    const ENGINE: GeneralPurpose = GeneralPurpose::new(
        &STANDARD_ALPHABET,
        GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
    );

    /// Serializes the bytes as base64 with padding.
    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&ENGINE.encode(bytes))
    }

    /// Deserializes base64, standard or URL-safe, with or without padding.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        let standard = text.replace('-', "+").replace('_', "/");
        ENGINE.decode(standard).map_err(D::Error::custom)
    }
}

/// Encoding of a list of byte strings, each as base64 text.
pub mod base64_list {
    use super::base64_bytes;
    use serde::{Serialize, Serializer, ser::SerializeSeq};

    #[derive(Serialize)]
    struct Item<'a>(#[serde(with = "base64_bytes")] &'a [u8]);

    /// Serializes the list as base64 strings.
    pub fn serialize<S: Serializer>(list: &[Vec<u8>], serializer: S) -> Result<S::Ok, S::Error> {
        let mut sequence = serializer.serialize_seq(Some(list.len()))?;
        for bytes in list {
            sequence.serialize_element(&Item(bytes))?;
        }
        sequence.end()
    }
}

/// Encoding of a 64-bit integer as a JSON string.
pub mod int64 {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Number(i64),
        Text(String),
    }

    /// Serializes the number as a string.
    pub fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    /// Deserializes a string or a plain number.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match Form::deserialize(deserializer)? {
            Form::Number(value) => Ok(value),
            Form::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}
