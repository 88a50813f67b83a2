//! The content digest that identifies a config version or a program.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

/// A 128-bit content digest, written as 32 hex digits. It is not cryptographic: it tells different contents apart, but does not protect
/// against somebody who constructs a collision.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(u128);

/// The text is not a digest; contains its first 64 characters.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid digest {0:?}: expected 32 hex digits")]
pub struct ParseDigestError(String);

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(bytes);
        Digest(hasher.finish128().as_u128())
    }

    /// A digest from its bytes, in big-endian order.
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Digest(u128::from_be_bytes(bytes))
    }

    /// The first eight digits, for display to operators.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.short())
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;
    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let is_hex = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let read = is_hex.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        read.map(Digest).ok_or_else(|| ParseDigestError(text.chars().take(64).collect()))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseDigestError;
    fn try_from(text: String) -> Result<Self, ParseDigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
