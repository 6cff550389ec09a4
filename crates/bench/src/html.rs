//! HTML helpers shared by all report pages.

/// The start of a page: its style, title and heading.
pub fn page_header(title: &str) -> String {
    let title = escape(title);
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><style>body{font:14px sans-serif;margin:2em;max-width:60em}",
    );
    page.push_str(
        "table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}",
    );
    page.push_str(
        "td:first-child,th:first-child{text-align:left}.bad{background:#fdd}pre{font-size:12px}</style>",
    );
    page.push_str(&format!("<title>{title}</title><h1>{title}</h1>"));
    page
}

/// Escapes text for use in HTML content.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
