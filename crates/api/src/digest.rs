//! Digests: of secrets, so that none is stored, and of content, so that two requests can be told apart.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh64::xxh64;

/// What a stored secret begins with.
pub const SECRET_PREFIX: &str = "sha256:";

/// The stored form of a secret. A value that already is one passes unchanged, so that an answer of the
/// resource API can be applied again.
pub fn secret_digest(secret: &str) -> String {
    if secret.starts_with(SECRET_PREFIX) {
        return secret.to_string();
    }
    hashed(secret)
}

/// The digest to compare a presented secret by. What is presented is always hashed, so a leaked digest opens
/// nothing.
pub fn presented_digest(presented: &str) -> String {
    hashed(presented)
}

fn hashed(secret: &str) -> String {
    let digest = Sha256::digest(secret.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{SECRET_PREFIX}{hex}")
}

/// A 64-bit digest of content; not for secrets.
pub fn content_digest(content: &[u8]) -> u64 {
    xxh64(content, 0)
}

/// Rendezvous weight of `candidate` for `key`: the candidate with the highest weight owns the key, and a
/// candidate that comes or goes moves only the keys it owns.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    xxh64(candidate.as_bytes(), xxh64(key.as_bytes(), 0))
}
