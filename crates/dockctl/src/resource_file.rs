//! Reads resource files: one or more YAML documents, from a file or from standard input.

use crate::exit::CommandError;
use dockwood_api::resource::ResourceView;
use std::io::Read;

/// Reads all documents of a file; `-` is standard input.
pub fn read_resources(path: &str) -> Result<Vec<ResourceView>, CommandError> {
    let text = if path == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        text
    } else {
        std::fs::read_to_string(path).map_err(|error| CommandError::Usage(format!("{path}: {error}")))?
    };
    parse_resources(path, &text)
}

fn parse_resources(path: &str, text: &str) -> Result<Vec<ResourceView>, CommandError> {
    let documents: Vec<ResourceView> =
        serde_saphyr::from_multiple(text).map_err(|error| CommandError::Usage(format!("{path}: {error}")))?;
    if documents.is_empty() {
        return Err(CommandError::Usage(format!("{path}: contains no document")));
    }
    Ok(documents)
}

/// The part of a resource that operators declare, as YAML, without the fields that the API sets.
pub fn declared_yaml(resource: &ResourceView) -> String {
    let mut view = resource.clone();
    view.metadata.uid.clear();
    view.metadata.resource_version = 0;
    view.metadata.generation = 0;
    view.metadata.created_ms = 0;
    let declared = serde_json::json!({
        "apiVersion": view.api_version, "kind": view.kind,
        "metadata": { "name": view.metadata.name, "labels": view.metadata.labels },
        "spec": view.spec,
    });
    serde_saphyr::to_string(&declared).unwrap_or_default()
}

/// Unified line diff of two texts; empty if they are equal.
pub fn diff(before: &str, after: &str) -> String {
    if before == after {
        return String::new();
    }
    similar::TextDiff::from_lines(before, after).unified_diff().header("now", "applied").to_string()
}

#[cfg(test)]
#[path = "resource_file_tests.rs"]
mod tests;
