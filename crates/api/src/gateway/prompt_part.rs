//! Parts of prompts, by which requests that share a part are recognized.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::fmt;

/// Maximum length of an id that is kept as it is, in bytes.
const MAX_ID_BYTES: usize = 40;
/// Maximum number of shared parts per request that are considered.
const MAX_SHARED_PARTS: usize = 16;

/// Separates the names of the parts of a set. No name contains it.
const SET_SEPARATOR: char = '+';

/// Names a part of a prompt, such as a system prompt or a turn of a session. Two prompts that contain the same part
/// contain the same name, whoever sends them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptPart(String);

impl PromptPart {
    /// Creates the name of a part from the id that a caller gave it. An id that is long, or contains other characters than
    /// letters, digits, `-` and `_`, is replaced by its digest, because names appear in log lines and paths.
    pub fn from_id(id: &str) -> PromptPart {
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_plain) {
            return PromptPart(id.to_string());
        }
        PromptPart::from_text(id)
    }

    /// Creates the name of a part from its text.
    pub fn from_text(text: &str) -> PromptPart {
        let digest = Sha256::digest(text.as_bytes());
        let half = &digest[..digest.len() / 2];
        PromptPart(half.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Returns the parts of a prompt that other requests may share, in order and each once: all but the last, which belongs
    /// to the request itself.
    pub fn shared(mut parts: Vec<PromptPart>) -> Vec<PromptPart> {
        parts.pop();
        let mut shared: Vec<PromptPart> = Vec::new();
        for part in parts {
            if shared.len() < MAX_SHARED_PARTS && !shared.contains(&part) {
                shared.push(part);
            }
        }
        shared
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Parts that have only occurred together, so that it is not known which of them matters. Usually a single one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartSet(Vec<PromptPart>);

impl PartSet {
    /// Creates the set of these parts.
    pub fn new(parts: impl IntoIterator<Item = PromptPart>) -> PartSet {
        let sorted: BTreeSet<PromptPart> = parts.into_iter().collect();
        PartSet(sorted.into_iter().collect())
    }

    /// Creates a set from its text, in which a separator follows each part but the last.
    pub fn from_text(text: &str) -> PartSet {
        PartSet::new(text.split(SET_SEPARATOR).map(PromptPart::from_id))
    }

    /// The parts.
    pub fn parts(&self) -> &[PromptPart] {
        &self.0
    }

    /// Whether a prompt contains all parts of the set; `false` for the empty set.
    pub fn is_contained_in(&self, prompt: &[PromptPart]) -> bool {
        !self.0.is_empty() && self.0.iter().all(|part| prompt.contains(part))
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            if index > 0 {
                write!(f, "{SET_SEPARATOR}")?;
            }
            write!(f, "{part}")?;
        }
        Ok(())
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
