//! Checks that the body of a response is in a coding that its request accepts (RFC 9110, section 8.4).

use crate::header_list::list_items;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap};

/// Returns whether the request accepts each coding of the response's body by name. A request that names none expects the
/// body without a coding.
pub fn is_coding_accepted(request: &HeaderMap, response: &HeaderMap) -> bool {
    let accepted: Vec<&str> = list_items(request, ACCEPT_ENCODING).filter_map(accepted_coding).collect();
    let is_accepted = |coding: &str| accepted.iter().any(|name| name.eq_ignore_ascii_case(coding));
    list_items(response, CONTENT_ENCODING).all(is_accepted)
}

/// Returns the name of a coding, unless it is excluded by a weight of 0.
fn accepted_coding(item: &str) -> Option<&str> {
    let (coding, parameter) = item.split_once(';').unwrap_or((item, ""));
    let weight = parameter.trim().strip_prefix("q=").and_then(|weight| weight.parse::<f32>().ok());
    let coding = coding.trim();
    (!coding.is_empty() && weight != Some(0.0)).then_some(coding)
}
