//! Fingerprints, which identify repeated attempts of the same request.

use super::prompt_part::PartSet;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Length of a fingerprint in bytes. Half of the SHA-256 digest is enough to make collisions infeasible even for a
/// caller that searches for one, and takes half the space in tables and logs.
const FINGERPRINT_BYTES: usize = 16;

/// Begins the input of the digest of parts of prompts; that of a request begins with 0 or 1.
const PARTS_PREFIX: [u8; 1] = [2];

/// The parts of a request that identify it when it is sent again.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Name of the tenant, which doesn't change when its key is rotated; `None` on an anonymous route.
    pub tenant: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host, as written in the route.
    pub host: &'a str,
    /// Path including the query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Digest of a request's identity: the same for all attempts on all daemons, regardless of the request id, the
/// deadline, the headers and the event from which a stream is resumed. A caller can't produce the fingerprint of
/// another tenant's request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request. Each part is preceded by its length, so that two identities with
    /// different boundaries between their parts never have the same encoding.
    pub fn of(identity: &RequestIdentity<'_>) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(identity.tenant.is_some())]);
        let texts = [identity.tenant.unwrap_or_default(), identity.method, identity.host, identity.path];
        for part in texts.map(str::as_bytes).into_iter().chain([identity.body]) {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint::truncated(hasher)
    }

    /// Computes the fingerprint under which requests whose prompts share these parts are tried one at a time. It differs from
    /// the fingerprints of requests.
    pub fn of_parts(parts: &PartSet) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update(PARTS_PREFIX);
        hasher.update(parts.to_string());
        Fingerprint::truncated(hasher)
    }

    fn truncated(hasher: Sha256) -> Fingerprint {
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Fingerprint(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Error for a text that is not a fingerprint, which consists of 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseFingerprintError> {
        if text.len() != 2 * FINGERPRINT_BYTES || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (position, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseFingerprintError)?;
        }
        Ok(Fingerprint(bytes))
    }
}
