//! Tests of `explain` on event subjects that are not resources, such as servers and groups.

use super::events::{ExplainTarget, related};
use dockwood_api::ResultCode;
use dockwood_api::event::{ClockStamp, Event, Subject};
use dockwood_api::resource::Kind;

fn event(subject: &str, reason: &str, message: &str) -> Event {
    let (kind, name) = subject.split_once('/').unwrap_or((subject, ""));
    Event {
        stamp: ClockStamp::default(),
        process: "e1".to_string(),
        sequence: 1,
        subject: Subject::new(kind, name),
        reason: reason.to_string(),
        message: message.to_string(),
        cause_revision: None,
        code: ResultCode::Ok,
    }
}

#[test]
fn explain_targets_are_parsed_as_subjects_or_resources() {
    let parse = |text: &str| ExplainTarget::parse(text).ok();
    assert_eq!(parse("instance/i-1"), Some(ExplainTarget::Subject("instance", "i-1".to_string())));
    assert_eq!(parse("group/g7"), Some(ExplainTarget::Subject("group", "g7".to_string())));
    assert_eq!(
        parse("replica/drafts-1"),
        Some(ExplainTarget::Resource(Kind::Replica, "drafts-1".to_string()))
    );
    assert_eq!(parse("instance/"), None);
    assert_eq!(parse("nothing/x"), None);
    assert_eq!(parse("i-1"), None);
}

#[test]
fn a_server_that_asked_for_a_pause_is_explained_with_its_group() {
    let asked = "asked for 3000 ms with 503, held back for 3120 ms; heads g7; request a-1";
    let events = [
        event("instance/i-1", "AskedForRest", asked),
        event("instance/i-2", "AskedForRest", "asked for 1000 ms with 503, held back for 1010 ms; heads g8"),
        event("group/g7", "Formed", "large on i-1 i-3; 2 free"),
        event("instance/i-1", "RestEnded", "took the first request after its rest; heads g7"),
    ];
    let explain = |text: &str| -> Vec<String> {
        let target = ExplainTarget::parse(text).ok();
        let selected = target.map(|target| related(&events, &target)).unwrap_or_default();
        selected.into_iter().map(|event| format!("{} {}", event.subject.name, event.reason)).collect()
    };
    assert_eq!(explain("instance/i-1"), ["i-1 AskedForRest", "g7 Formed", "i-1 RestEnded"]);
    assert_eq!(explain("group/g7"), ["i-1 AskedForRest", "g7 Formed", "i-1 RestEnded"]);
}
