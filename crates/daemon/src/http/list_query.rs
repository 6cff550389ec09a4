//! Queries of lists: label selection and paging.

use dockwood_api::resource::Metadata;
use dockwood_api::{ApiError, ResultCode};
use serde::Deserialize;

/// Items of a page where the query names no limit.
const DEFAULT_LIMIT: usize = 500;
/// Items of a page, at most.
const MAX_LIMIT: usize = 5_000;

/// Query of a list or watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListQuery {
    /// Items of the page.
    pub limit: Option<usize>,
    /// Name after which the page begins.
    pub r#continue: Option<String>,
    /// Terms `key=value`, `key!=value` or `key`, separated by commas.
    pub label_selector: Option<String>,
    /// Watch instead of listing.
    pub watch: bool,
    /// Where a watch begins.
    pub resource_version: Option<u64>,
}

/// One term of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Term {
    Equals(String, String),
    Differs(String, String),
    Present(String),
}

/// A parsed selector; all terms must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    terms: Vec<Term>,
}

impl Selector {
    /// Parses a selector.
    pub fn parse(text: &str) -> Result<Selector, ApiError> {
        let terms: Result<Vec<Term>, ApiError> =
            text.split(',').map(str::trim).filter(|term| !term.is_empty()).map(parse_term).collect();
        Ok(Selector { terms: terms? })
    }

    /// Whether a resource is selected.
    pub fn selects(&self, metadata: &Metadata) -> bool {
        self.terms.iter().all(|term| match term {
            Term::Equals(key, value) => metadata.labels.get(key) == Some(value),
            Term::Differs(key, value) => metadata.labels.get(key) != Some(value),
            Term::Present(key) => metadata.labels.contains_key(key),
        })
    }
}

fn parse_term(term: &str) -> Result<Term, ApiError> {
    let own = |key: &str, value: &str| (key.trim().to_string(), value.trim().to_string());
    let parsed = if let Some((key, value)) = term.split_once("!=") {
        let (key, value) = own(key, value);
        Term::Differs(key, value)
    } else if let Some((key, value)) = term.split_once('=') {
        let (key, value) = own(key, value);
        Term::Equals(key, value)
    } else {
        Term::Present(term.to_string())
    };
    let (Term::Equals(key, _) | Term::Differs(key, _) | Term::Present(key)) = &parsed;
    if key.is_empty() {
        return Err(ApiError::new(ResultCode::BadQuery, format!("labelSelector: '{term}' has no key")));
    }
    Ok(parsed)
}

impl ListQuery {
    /// The page size.
    pub fn page_limit(&self) -> Result<usize, ApiError> {
        match self.limit {
            None => Ok(DEFAULT_LIMIT),
            Some(limit) if (1..=MAX_LIMIT).contains(&limit) => Ok(limit),
            Some(_) => {
                Err(ApiError::new(ResultCode::BadQuery, format!("limit: a number from 1 to {MAX_LIMIT}")))
            }
        }
    }

    /// The selector.
    pub fn selector(&self) -> Result<Selector, ApiError> {
        Selector::parse(self.label_selector.as_deref().unwrap_or(""))
    }
}
