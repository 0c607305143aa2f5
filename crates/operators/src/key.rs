//! Keys, of which only the hashes are stored.

use std::fmt;

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Malformed,
};
use rand::TryRngCore;
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

/// A SHA-256 hash, serialised as 64 hexadecimal digits.
///
/// Keys are long and random, so that an unsalted hash can't be reversed by trying keys.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash([u8; 32]);

/// The number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// The number of hexadecimal digits in the fingerprint of a key.
pub const FINGERPRINT_DIGITS: usize = 12;

/// Returns a new key, in hexadecimal digits, from the system's random number generator.
///
/// # Errors
///
/// Returns [`Kind::Internal`] if the generator fails.
pub fn generate() -> Result<String> {
    let mut bytes = [0; KEY_BYTES];
    rand::rngs::OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| {
            Error::new(
                Kind::Internal,
                format!("the system's random number generator failed: {error}"),
            )
        })?;
    Ok(hex(&bytes))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Hash {
    /// Returns the hash of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the hash of a list of byte strings, each prefixed by its length.
    pub fn of_bytes(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Returns the all-zero hash, which the first audit entry has as its previous hash.
    pub fn zero() -> Self {
        Self([0; 32])
    }

    /// Returns the first digits of the hash, which identify a key without revealing it.
    pub fn fingerprint(&self) -> String {
        let mut digits = self.to_string();
        digits.truncate(FINGERPRINT_DIGITS);
        digits
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex(&self.0))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Hash({self})")
    }
}

impl From<Hash> for String {
    fn from(hash: Hash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for Hash {
    type Error = Malformed;

    fn try_from(text: String) -> std::result::Result<Self, Malformed> {
        let malformed = || Malformed {
            expected: "hash of a key",
            text: text.clone(),
        };
        let mut hash = [0; 32];
        if text.len() != 2 * hash.len() || !text.is_ascii() {
            return Err(malformed());
        }
        for (byte, digits) in hash.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| malformed())?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(Self(hash))
    }
}
