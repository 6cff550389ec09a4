//! The answer of a member that does not lead to a process that asks to become a voter.

use dockwood_api::peer::AdmitAnswer;
use dockwood_consensus::{Body, Message, Node, Probe, Recovered, Settings};
use dockwood_control::{ControlNode, Input, Moment, Output};
use dockwood_state::State;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const OWN: u64 = 1;
const LEADER: u64 = 2;

fn address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], id as u16))
}

fn follower() -> ControlNode<&'static str> {
    let settings = Settings {
        id: OWN,
        voters: vec![OWN, LEADER, 3],
        election_timeout_ms: 500,
        heartbeat_ms: 100,
        max_message_bytes: 1 << 20,
        seed: 1,
    };
    let core = Node::new(settings, Recovered::default(), 0);
    let addresses =
        [OWN, LEADER, 3].into_iter().map(|id| (id, address(id))).collect::<BTreeMap<u64, SocketAddr>>();
    ControlNode::voter("follower", State::default(), core, addresses)
}

fn answer(node: &mut ControlNode<&'static str>, moment: Moment) -> Option<AdmitAnswer> {
    let outputs =
        node.step(moment, Input::AdmitVoter { id: 9, address: address(9), zone: "z".into(), reply: "asker" });
    outputs.into_iter().find_map(|output| match output {
        Output::AdmitReply("asker", answer) => Some(answer),
        _ => None,
    })
}

/// Regression (norrstrom-klubb-grown, trouble-2): a voter that had lost its disk asked only the daemons in
/// its settings, none of which led. It was never admitted, and the loss of two more disks left no majority.
#[test]
fn a_follower_names_the_leader() {
    let mut node = follower();
    let moment = Moment { monotonic: 10, wall_ms: 10 };
    assert_eq!(
        answer(&mut node, moment),
        Some(AdmitAnswer::NotLeader { leader: None }),
        "no leader is known yet"
    );
    let heartbeat = Body::Append {
        previous_index: 0,
        previous_term: 0,
        entries: Vec::new(),
        commit: 0,
        probe: Probe::default(),
    };
    node.step(moment, Input::Consensus(vec![Message { from: LEADER, to: OWN, term: 1, body: heartbeat }]));
    let expected = AdmitAnswer::NotLeader { leader: Some(address(LEADER)) };
    assert_eq!(answer(&mut node, moment), Some(expected));
}
