//! Tests of resource files.

use super::{diff, parse_resources};
use yare::parameterized;

const TWO_DOCUMENTS: &str = "apiVersion: dockwood/v1\nkind: Tenant\nmetadata: {name: a}\nspec: {tier: 0, keys: [k]}\n---\n\
                   kind: Model\nmetadata: {name: b}\nspec: {}\n";

#[test]
fn many_documents_are_read_in_order() {
    let names: Vec<String> = parse_resources("f", TWO_DOCUMENTS)
        .map(|all| all.into_iter().map(|one| one.metadata.name).collect())
        .unwrap_or_default();
    assert_eq!(names, ["a", "b"]);
}

#[parameterized(
    empty = { "" },
    unknown_field = { "kind: Tenant\nmetadata: {name: a}\nspecs: {}\n" },
    unknown_kind = { "kind: Tenent\nmetadata: {name: a}\nspec: {}\n" },
    not_yaml = { "kind: [" },
)]
fn an_invalid_document_is_refused(text: &str) {
    assert_eq!(parse_resources("f", text).map(|_| ()).map_err(|error| error.exit_code()), Err(2));
}

#[test]
fn a_diff_shows_removed_and_added_lines() {
    let shown = diff("a\nb\n", "a\nc\n");
    assert!(shown.contains("-b") && shown.contains("+c"), "{shown}");
    assert_eq!(diff("a\n", "a\n"), "");
}
