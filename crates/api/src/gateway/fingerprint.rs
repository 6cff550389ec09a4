//! What makes two tries the same request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Bytes of a fingerprint: half of the digest, which leaves collisions out of reach also for a caller that looks for
/// one, at half the size in tables and logs.
const BYTES: usize = 16;

/// What a request is recognised by when it comes again.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Name of the tenant, which stays when its key is rotated; `None` on an anonymous route.
    pub tenant: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Host, as the route names it.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Digest of a request's identity: the same for each try of it at any daemon, whatever its id, deadline, headers and the
/// event at which it resumes. No caller can make the fingerprint of another tenant's request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of a request. Each part is preceded by its length, so that no two identities run together.
    pub fn of(identity: &RequestIdentity<'_>) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(identity.tenant.is_some())]);
        let texts = [identity.tenant.unwrap_or_default(), identity.method, identity.host, identity.path];
        for part in texts.map(str::as_bytes).into_iter().chain([identity.body]) {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest[..BYTES]);
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

/// A text is no fingerprint: one has 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoFingerprint;

impl FromStr for Fingerprint {
    type Err = NoFingerprint;

    fn from_str(text: &str) -> Result<Fingerprint, NoFingerprint> {
        if text.len() != 2 * BYTES || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(NoFingerprint);
        }
        let mut bytes = [0; BYTES];
        for (position, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| NoFingerprint)?;
        }
        Ok(Fingerprint(bytes))
    }
}
