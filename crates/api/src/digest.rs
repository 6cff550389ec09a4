//! Digests of secrets, which are never stored in plain text, and of content, to tell requests apart.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh64::xxh64;

/// Prefix of a stored secret.
pub const SECRET_PREFIX: &str = "sha256:";

/// Returns the form in which a secret is stored. A value that is already in this form is returned unchanged,
/// so that a resource read from the resource API can be applied again.
pub fn secret_digest(secret: &str) -> String {
    if secret.starts_with(SECRET_PREFIX) {
        return secret.to_string();
    }
    sha256_digest(secret)
}

/// Returns the digest of a secret that a client presents, to compare with the stored one. The value is always
/// hashed, so that a leaked digest can't be used as a secret.
pub fn presented_digest(presented: &str) -> String {
    sha256_digest(presented)
}

fn sha256_digest(secret: &str) -> String {
    let digest = Sha256::digest(secret.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{SECRET_PREFIX}{hex}")
}

/// Returns a 64-bit digest of content. Not cryptographic, and not suitable for secrets.
pub fn content_digest(content: &[u8]) -> u64 {
    xxh64(content, 0)
}

/// Returns the weight of `candidate` for `key` in rendezvous hashing. The candidate with the highest weight
/// owns the key; adding or removing a candidate only moves the keys that this candidate owns.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh64(candidate.as_bytes(), xxh64(key.as_bytes(), 0))
}
