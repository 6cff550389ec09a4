//! Query parameters of lists: label selectors and paging.

use dockwood_api::resource::Metadata;
use dockwood_api::{ApiError, ResultCode};
use serde::Deserialize;

/// Page size if the query sets no limit.
const DEFAULT_LIMIT: usize = 500;
/// Maximum page size.
const MAX_LIMIT: usize = 5_000;

/// Query parameters of a list or watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListQuery {
    /// Maximum number of items to return.
    pub limit: Option<usize>,
    /// The page begins after this name.
    pub r#continue: Option<String>,
    /// Terms `key=value`, `key!=value` or `key`, separated by commas.
    pub label_selector: Option<String>,
    /// Watches for changes instead of listing.
    pub watch: bool,
    /// Revision after which a watch begins.
    pub resource_version: Option<u64>,
}

/// One term of a label selector.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SelectorTerm {
    Equals(String, String),
    NotEquals(String, String),
    Exists(String),
}

/// A parsed label selector. All terms must match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    terms: Vec<SelectorTerm>,
}

impl Selector {
    /// Parses a label selector.
    pub fn parse(text: &str) -> Result<Selector, ApiError> {
        let terms: Result<Vec<SelectorTerm>, ApiError> =
            text.split(',').map(str::trim).filter(|term| !term.is_empty()).map(parse_term).collect();
        Ok(Selector { terms: terms? })
    }

    /// Returns whether a resource with this metadata is selected.
    pub fn matches(&self, metadata: &Metadata) -> bool {
        self.terms.iter().all(|term| match term {
            SelectorTerm::Equals(key, value) => metadata.labels.get(key) == Some(value),
            SelectorTerm::NotEquals(key, value) => metadata.labels.get(key) != Some(value),
            SelectorTerm::Exists(key) => metadata.labels.contains_key(key),
        })
    }
}

fn parse_term(term: &str) -> Result<SelectorTerm, ApiError> {
    let trimmed = |key: &str, value: &str| (key.trim().to_string(), value.trim().to_string());
    let parsed = if let Some((key, value)) = term.split_once("!=") {
        let (key, value) = trimmed(key, value);
        SelectorTerm::NotEquals(key, value)
    } else if let Some((key, value)) = term.split_once('=') {
        let (key, value) = trimmed(key, value);
        SelectorTerm::Equals(key, value)
    } else {
        SelectorTerm::Exists(term.to_string())
    };
    let (SelectorTerm::Equals(key, _) | SelectorTerm::NotEquals(key, _) | SelectorTerm::Exists(key)) =
        &parsed;
    if key.is_empty() {
        return Err(ApiError::new(ResultCode::BadQuery, format!("labelSelector: '{term}' has no key")));
    }
    Ok(parsed)
}

impl ListQuery {
    /// Returns the page size.
    pub fn page_limit(&self) -> Result<usize, ApiError> {
        match self.limit {
            None => Ok(DEFAULT_LIMIT),
            Some(limit) if (1..=MAX_LIMIT).contains(&limit) => Ok(limit),
            Some(_) => {
                Err(ApiError::new(ResultCode::BadQuery, format!("limit: a number from 1 to {MAX_LIMIT}")))
            }
        }
    }

    /// Returns the label selector.
    pub fn selector(&self) -> Result<Selector, ApiError> {
        Selector::parse(self.label_selector.as_deref().unwrap_or(""))
    }
}
