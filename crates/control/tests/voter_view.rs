//! Voters and their zones as shown to operators.

mod common;

use common::leader::Leader;
use common::record;
use dockwood_api::peer::{ControlAnswer, DaemonRecord};
use dockwood_control::{Input, Options, Output};
use dockwood_state::{Command, CommandBody, encode_command};
use serde_json::Value;
use std::net::SocketAddr;

const TICK_MS: u64 = 20;

fn add_leader_daemon(leader: &mut Leader) {
    let record = DaemonRecord { zone: "a-1".to_string(), ..record("leader") };
    let body = CommandBody::JoinDaemon { record, incarnation: 1 };
    let command = encode_command(&Command { at_ms: 0, body });
    leader.step(Input::Submit(vec![(command, "caller".to_string())]));
}

/// Reasons of the events recorded during a time span, with their times.
fn recorded_reasons(leader: &mut Leader, span_ms: u64) -> Vec<(u64, String)> {
    let mut recorded_reasons = Vec::new();
    for _ in 0..span_ms / TICK_MS {
        leader.now += TICK_MS;
        for output in leader.node.step(leader.moment(), Input::Tick) {
            if let Output::Record { event, .. } = output {
                recorded_reasons.push((leader.now, event.reason));
            }
        }
    }
    recorded_reasons
}

#[test]
fn the_view_contains_each_voters_zone() {
    let mut leader = Leader::elected();
    add_leader_daemon(&mut leader);
    let outputs = leader.node.step(leader.moment(), Input::View("operator".to_string()));
    let view = outputs.into_iter().find_map(|output| match output {
        Output::ViewReply(_, ControlAnswer::View(view)) => serde_json::from_slice::<Value>(&view).ok(),
        _ => None,
    });
    let voters = view.map(|view| view["voters"].clone()).unwrap_or_default();
    let address = SocketAddr::from(([127, 0, 0, 1], 1)).to_string();
    assert_eq!(voters, serde_json::json!([{ "address": address, "zone": "a-1", "silentMs": 0 }]));
    let counts = leader.node.voters_by_zone();
    assert_eq!((counts.in_zone("a-1"), counts.total(), counts.unknown), (1, 1, 0));
}

#[test]
fn an_overfull_zone_is_reported_once_and_only_if_zone_loss_is_to_be_tolerated() {
    let mut leader = Leader::elected();
    add_leader_daemon(&mut leader);
    assert!(recorded_reasons(&mut leader, 10_000).iter().all(|(_, reason)| reason != "ZoneTooFull"));
    leader.node = leader.node.with_options(Options { tolerates_zone_loss: true, ..Options::default() });
    let start = leader.now;
    let recorded_reasons = recorded_reasons(&mut leader, 20_000);
    let events: Vec<u64> = recorded_reasons
        .iter()
        .filter(|(_, reason)| reason == "ZoneTooFull")
        .map(|(at, _)| at - start)
        .collect();
    assert!(matches!(events[..], [at] if (5_000..6_000).contains(&at)), "{events:?}");
}
