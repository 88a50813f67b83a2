//! A digest of a request's id, of fixed size.

use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;

/// Length of an encoded digest in bytes.
pub(crate) const DIGEST_BYTES: usize = 16;

/// Stands for a request's id. It is the same in each version of the program, since two of them may share their claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Returns the digest of an id.
    pub fn of(id: &[u8]) -> Self {
        let mut hasher = SipHasher24::new();
        hasher.write(id);
        RequestDigest(hasher.finish128().as_u128())
    }

    pub(crate) fn to_bytes(self) -> [u8; DIGEST_BYTES] {
        self.0.to_be_bytes()
    }

    pub(crate) fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        RequestDigest(u128::from_be_bytes(bytes))
    }
}
