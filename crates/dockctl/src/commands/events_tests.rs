//! What is told of a server or a group, which are no resources.

use super::events::{Explained, related};
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
fn servers_groups_and_resources_are_told_apart() {
    let read = |text: &str| Explained::read(text).ok();
    assert_eq!(read("instance/i-1"), Some(Explained::Subject("instance", "i-1".to_string())));
    assert_eq!(read("group/g7"), Some(Explained::Subject("group", "g7".to_string())));
    assert_eq!(read("replica/drafts-1"), Some(Explained::Resource(Kind::Replica, "drafts-1".to_string())));
    assert_eq!(read("instance/"), None);
    assert_eq!(read("nothing/x"), None);
    assert_eq!(read("i-1"), None);
}

#[test]
fn a_server_that_is_held_back_is_explained_by_what_it_asked_for() {
    let asked = "asked for 3000 ms with 503, held back for 3120 ms; heads g7; request a-1";
    let events = [
        event("instance/i-1", "AskedForRest", asked),
        event("instance/i-2", "AskedForRest", "asked for 1000 ms with 503, held back for 1010 ms; heads g8"),
        event("group/g7", "Formed", "large on i-1 i-3; 2 free"),
        event("instance/i-1", "RestEnded", "took the first request after its rest; heads g7"),
    ];
    let told = |text: &str| -> Vec<String> {
        let explained = Explained::read(text).ok();
        let chosen = explained.map(|explained| related(&events, &explained)).unwrap_or_default();
        chosen.into_iter().map(|event| format!("{} {}", event.subject.name, event.reason)).collect()
    };
    assert_eq!(told("instance/i-1"), ["i-1 AskedForRest", "g7 Formed", "i-1 RestEnded"]);
    assert_eq!(told("group/g7"), ["i-1 AskedForRest", "g7 Formed", "i-1 RestEnded"]);
}
