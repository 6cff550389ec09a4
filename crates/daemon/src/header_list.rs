//! Headers whose values are lists (RFC 9110, section 5.6.1).

use hyper::header::{HeaderMap, HeaderName};

/// Returns the items of a list that may extend over several lines. A line that is no text is an empty item.
pub fn list_items(headers: &HeaderMap, name: HeaderName) -> impl Iterator<Item = &str> {
    let lines = headers.get_all(name).into_iter().map(|line| line.to_str().unwrap_or_default());
    lines.flat_map(|line| line.split(',').map(str::trim))
}
