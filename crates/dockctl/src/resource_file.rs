//! Resource files: one or many YAML documents, from a file or from standard input.

use crate::exit::CommandError;
use dockwood_api::resource::ResourceView;
use std::io::Read;

/// Reads all documents; `-` is standard input.
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
        return Err(CommandError::Usage(format!("{path}: no document")));
    }
    Ok(documents)
}

/// The part of a resource that an operator writes, as YAML.
pub fn written_part(resource: &ResourceView) -> String {
    let mut view = resource.clone();
    view.metadata.uid.clear();
    view.metadata.resource_version = 0;
    view.metadata.generation = 0;
    view.metadata.created_ms = 0;
    let shown = serde_json::json!({
        "apiVersion": view.api_version, "kind": view.kind,
        "metadata": { "name": view.metadata.name, "labels": view.metadata.labels },
        "spec": view.spec,
    });
    serde_saphyr::to_string(&shown).unwrap_or_default()
}

/// A line diff from one text to another; empty if they are equal.
pub fn diff(before: &str, after: &str) -> String {
    if before == after {
        return String::new();
    }
    similar::TextDiff::from_lines(before, after).unified_diff().header("now", "applied").to_string()
}

#[cfg(test)]
#[path = "resource_file_tests.rs"]
mod tests;
