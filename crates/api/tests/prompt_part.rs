//! Names of the parts of prompts.

use dockwood_api::gateway::{PartSet, PromptPart};

fn parts(ids: &[&str]) -> Vec<PromptPart> {
    ids.iter().map(|id| PromptPart::from_id(id)).collect()
}

#[test]
fn the_last_part_and_repetitions_are_not_shared() {
    assert_eq!(PromptPart::shared(parts(&["a", "b", "a", "own"])), parts(&["a", "b"]));
    assert_eq!(PromptPart::shared(parts(&["own"])), []);
    assert_eq!(PromptPart::shared(Vec::new()), []);
}

/// Names appear in log lines and in paths of operators' calls, whatever callers send.
#[yare::parameterized(
    long = { "a-name-that-is-longer-than-the-names-of-any-caller" },
    with_a_separator = { "a/b" },
    with_a_line_break = { "a\nb" },
    empty = { "" },
)]
fn ids_that_are_not_plain_are_replaced_by_their_digest(id: &str) {
    let name = PromptPart::from_id(id);
    assert_eq!(name.as_str().len(), 32);
    assert!(name.as_str().bytes().all(|byte| byte.is_ascii_hexdigit()));
    assert_eq!(name, PromptPart::from_id(id));
    assert_ne!(name, PromptPart::from_id("another/id"));
}

#[test]
fn a_prompt_contributes_a_bounded_number_of_parts() {
    let many = (0..1_000).map(|number| PromptPart::from_id(&format!("p{number}"))).collect();
    assert_eq!(PromptPart::shared(many).len(), 16);
}

#[test]
fn a_set_of_parts_is_read_back_from_its_text() {
    let set = PartSet::new(parts(&["b", "a", "b"]));
    assert_eq!(set.to_string(), "a+b");
    assert_eq!(PartSet::from_text("a+b"), set);
    assert!(set.is_contained_in(&parts(&["a", "x", "b"])));
    assert!(!set.is_contained_in(&parts(&["a", "x"])));
    assert!(!PartSet::new([]).is_contained_in(&parts(&["a"])));
}
