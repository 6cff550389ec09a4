//! Output as tables, YAML and JSON.

use crate::exit::CommandError;
use comfy_table::{ContentArrangement, Table, presets};
use dockwood_api::resource::{Kind, ResourceView};
use serde::Serialize;

/// Prints a line to standard output. If the reader has closed the pipe, as `head` does, the process exits without an
/// error message.
pub fn print_line(line: impl std::fmt::Display) {
    use std::io::Write;
    if writeln!(std::io::stdout(), "{line}").is_err() {
        std::process::exit(0);
    }
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// A table with aligned columns.
    Table,
    Yaml,
    Json,
}

/// An empty table with a header.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_content_arrangement(ContentArrangement::Dynamic);
    table.set_header(header.iter().map(|name| name.to_uppercase()));
    table
}

/// Prints a value as YAML or JSON.
pub fn print_value(format: Format, value: &impl Serialize) -> Result<(), CommandError> {
    let text = match format {
        Format::Json => {
            serde_json::to_string_pretty(value).map_err(|error| CommandError::Malformed(error.to_string()))?
        }
        _ => serde_saphyr::to_string(value).map_err(|error| CommandError::Malformed(error.to_string()))?,
    };
    print_line(text.trim_end());
    Ok(())
}

/// Prints resources in an output format.
pub fn print_resources(format: Format, kind: Kind, items: &[ResourceView]) -> Result<(), CommandError> {
    if format != Format::Table {
        return print_value(format, &items);
    }
    let mut rows = table(&["name", "version", "generation", "in force", "condition", detail_column(kind)]);
    for item in items {
        let condition = item.status.conditions.first();
        let condition = condition
            .map(|condition| format!("{}={} {}", condition.aspect, condition.status, condition.reason));
        rows.add_row([
            item.metadata.name.clone(),
            item.metadata.resource_version.to_string(),
            item.metadata.generation.to_string(),
            if item.status.in_force { "yes".to_string() } else { "no".to_string() },
            condition.unwrap_or_default(),
            detail(item),
        ]);
    }
    print_line(rows);
    Ok(())
}

fn detail_column(kind: Kind) -> &'static str {
    match kind {
        Kind::Replica => "members",
        Kind::Server => "replica",
        Kind::Daemon => "zone",
        Kind::Deployment => "coordinator",
        Kind::Order => "server",
        _ => "detail",
    }
}

fn detail(item: &ResourceView) -> String {
    let detail = &item.status.detail;
    let text = |name: &str| detail[name].as_str().unwrap_or("").to_string();
    match item.kind {
        Kind::Replica => {
            let members = detail["members"].as_array().cloned().unwrap_or_default();
            let names: Vec<&str> = members.iter().filter_map(|member| member.as_str()).collect();
            format!("epoch {} {}: {}", detail["epoch"], text("domain"), names.join(" "))
        }
        Kind::Server => text("replica"),
        Kind::Daemon => text("zone"),
        Kind::Deployment => text("coordinator"),
        Kind::Order => text("server"),
        _ => String::new(),
    }
}
