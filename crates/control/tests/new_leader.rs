//! A new leader whose own entry is not committed yet does not know which entries of its log earlier leaders committed.

mod common;

use common::{request, server_report_command};
use dockwood_api::gateway::{GroupCommand, GroupOrder, InstanceState, OrderAnswer};
use dockwood_api::peer::{DelegatedRequest, DelegationAnswer, LeaseAnswer};
use dockwood_consensus::{Body, Entry, HardState, Message, Node, Payload, Probe, Recovered, Settings};
use dockwood_control::{ControlNode, Input, Moment, Output};
use dockwood_state::{
    Command, CommandBody, GatewayCommand, GroupPhase, GroupPurpose, InstanceRow, State, encode_command,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use yare::parameterized;

const TICK_MS: u64 = 20;
const OWN_ID: u64 = 1;
const OTHERS: [u64; 2] = [2, 3];

/// A member whose log holds the commands of an earlier term. The other members grant it their votes and answer its heartbeats,
/// but lack its entries until they are told to have them.
struct Member {
    node: ControlNode<&'static str>,
    now: u64,
    others_have_entries: bool,
    answers: Vec<(&'static str, LeaseAnswer)>,
    delegations: Vec<DelegationAnswer>,
    /// The most commands that it has applied between two occasions to send heartbeats.
    most_applied_at_once: u64,
    /// How many orders the servers were sent; they refuse all of them.
    group_orders: usize,
}

impl Member {
    fn with_log(commands: Vec<Vec<u8>>) -> Member {
        let entries = commands.into_iter().zip(1..);
        let entries: Vec<Entry> = entries
            .map(|(command, index)| Entry { index, term: 1, payload: Payload::Command(command) })
            .collect();
        let hard_state = HardState { term: 1, voted_for: None };
        let recovered = Recovered { hard_state, entries, ..Recovered::default() };
        let settings = Settings {
            id: OWN_ID,
            voters: [OWN_ID].into_iter().chain(OTHERS).collect(),
            election_timeout_ms: 500,
            heartbeat_ms: 100,
            max_message_bytes: 1 << 20,
            seed: 1,
        };
        let address = |id: u64| SocketAddr::from(([127, 0, 0, 1], id as u16));
        let addresses = BTreeMap::from_iter(settings.voters.iter().map(|id| (*id, address(*id))));
        let node =
            ControlNode::voter("member", State::default(), Node::new(settings, recovered, 0), addresses);
        Member {
            node,
            now: 0,
            others_have_entries: false,
            answers: Vec::new(),
            delegations: Vec::new(),
            most_applied_at_once: 0,
            group_orders: 0,
        }
    }

    /// Elected, with a lease, while the others lack the entries of its log.
    fn elected(commands: Vec<Vec<u8>>) -> Member {
        let mut member = Member::with_log(commands);
        member.advance(2_000);
        assert!(member.node.leads(member.moment()), "the others vote for it and answer its heartbeats");
        member
    }

    fn moment(&self) -> Moment {
        Moment { monotonic: self.now, wall_ms: self.now }
    }

    fn advance(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.now += TICK_MS;
            self.step(Input::Tick);
        }
    }

    fn step(&mut self, input: Input<&'static str>) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let revision = self.node.tables().revision;
            let outputs = self.node.step(self.moment(), input);
            let applied = self.node.tables().revision - revision;
            self.most_applied_at_once = self.most_applied_at_once.max(applied);
            for output in outputs {
                match output {
                    Output::Persist { entries, .. } => {
                        let last = entries.last().map(|last| (last.index, last.term));
                        inputs.extend(last.map(|(index, term)| Input::Persisted { index, term }));
                    }
                    Output::Send(message) => {
                        inputs.extend(self.answer_to(&message).map(|answer| Input::Consensus(vec![answer])))
                    }
                    Output::LeaseReply(name, answer) => self.answers.push((name, answer)),
                    Output::DelegationReply(_, answer) => self.delegations.push(answer),
                    Output::SendGroupOrder(order) => {
                        self.group_orders += 1;
                        inputs.push(Input::GroupOrderAnswered(*order, OrderAnswer::Unfit));
                    }
                    _ => {}
                }
            }
        }
    }

    fn answer_to(&self, message: &Message) -> Option<Message> {
        let body = match &message.body {
            Body::VoteRequest { binding, .. } => Body::VoteReply { binding: *binding, granted: true },
            Body::Append { previous_index, entries, probe, .. } => {
                self.append_reply(*previous_index, entries, *probe)
            }
            _ => return None,
        };
        Some(Message { from: message.to, to: message.from, term: message.term, body })
    }

    fn append_reply(&self, previous_index: u64, entries: &[Entry], probe: Probe) -> Body {
        match self.others_have_entries {
            true => Body::AppendReply { matched: true, index: previous_index + entries.len() as u64, probe },
            false => Body::AppendReply { matched: false, index: 0, probe },
        }
    }

    fn granted(&self) -> Vec<u64> {
        let revision = |(_, answer): &(&str, LeaseAnswer)| match answer {
            LeaseAnswer::Granted { revision, .. } => Some(*revision),
            LeaseAnswer::NotLeader { .. } => None,
        };
        self.answers.iter().filter_map(revision).collect()
    }
}

/// A command of about this size, in bytes.
fn large_command(number: u64, bytes: usize) -> Vec<u8> {
    let row = InstanceRow {
        id: format!("server-{number}"),
        started_ms: None,
        service: "s".repeat(bytes),
        address: SocketAddr::from(([127, 0, 0, 9], number as u16)),
        zone: "z".to_string(),
        slots: 1,
        state: InstanceState::Ready,
        is_cold: false,
        domain: None,
    };
    encode_command(&Command { at_ms: number, body: CommandBody::Gateway(GatewayCommand::Register(row)) })
}

fn commands(count: u64) -> Vec<Vec<u8>> {
    (0..count).map(|number| server_report_command(number, number)).collect()
}

#[test]
fn a_new_leader_grants_no_lease_on_a_state_that_lacks_committed_entries() {
    let mut member = Member::elected(commands(3));
    member.step(Input::Lease(request("entry", 0), "entry"));
    member.advance(1_000);
    assert_eq!(member.granted(), Vec::<u64>::new(), "the state may lack what earlier leaders committed");
    member.others_have_entries = true;
    member.advance(500);
    member.step(Input::Lease(request("entry", 0), "entry"));
    member.advance(500);
    assert_eq!(member.granted().first(), Some(&3));
}

#[test]
fn a_new_leader_lets_no_voter_grant_leases_on_such_a_state() {
    let mut member = Member::elected(commands(3));
    let delegated = DelegatedRequest {
        daemon: "entry".to_string(),
        record: None,
        incarnation: 1,
        applied_revision: 0,
        leaving: false,
        in_flight: 0,
    };
    member.step(Input::Delegate(vec![delegated], "voter"));
    assert!(
        matches!(member.delegations[..], [DelegationAnswer::NotLeader { .. }]),
        "{:?}",
        member.delegations
    );
}

#[parameterized(
    large_commands = { 40, 512 << 10, 3 },
    small_commands = { 3_000, 10, 600 },
)]
fn a_new_leader_sends_heartbeats_while_it_applies_a_long_log(count: u64, bytes: usize, most_at_once: u64) {
    let commands = (0..count).map(|number| large_command(number, bytes)).collect();
    let mut member = Member::elected(commands);
    member.others_have_entries = true;
    member.advance(4_000);
    assert_eq!(member.node.tables().revision, count);
    assert!(member.most_applied_at_once <= most_at_once, "{} at once", member.most_applied_at_once);
}

fn encoded(command: GatewayCommand) -> Vec<u8> {
    encode_command(&Command { at_ms: 1, body: CommandBody::Gateway(command) })
}

/// Commands of an earlier leader: a group of one server was formed, and is being closed.
fn closing_group() -> Vec<Vec<u8>> {
    let form = GatewayCommand::Form {
        service: "s".to_string(),
        model: "m".to_string(),
        purpose: GroupPurpose::Serve,
        members: vec!["plain".to_string()],
        reason: String::new(),
    };
    let phases = [GroupPhase::Opening, GroupPhase::Open, GroupPhase::Cutting];
    let phases = phases.map(|phase| GatewayCommand::SetPhase { epoch: 1, phase, reason: String::new() });
    let later = std::iter::once(form).chain(phases).map(encoded);
    std::iter::once(server_report_command(0, 0)).chain(later).collect()
}

/// Regression: a new leader ended a group although its head might still execute an order to join of the leader before.
#[parameterized(
    not_known_to_be_answered = { Vec::new(), true },
    answered = { vec![GatewayCommand::SettleJoins { epoch: 1 }], false },
)]
fn a_new_leader_ends_no_group_while_its_head_may_execute_an_earlier_order_to_join(
    later: Vec<GatewayCommand>,
    waits: bool,
) {
    let mut commands = closing_group();
    commands.extend(later.into_iter().map(encoded));
    let mut member = Member::elected(commands);
    member.others_have_entries = true;
    let has_group = |member: &Member| member.node.tables().gateway.groups.contains_key(&1);
    member.advance(4_000);
    assert!(member.group_orders >= 2, "the head refused to close and to leave");
    assert_eq!(has_group(&member), waits);
    member.advance(13_000);
    assert!(!has_group(&member));
}

/// Outputs may be carried out late, for example behind a slow write to the disk.
#[test]
fn orders_are_not_sent_once_another_node_may_lead() {
    let mut member = Member::elected(commands(1));
    let term = member.node.core().expect("a voter").term();
    let order = |fence| GroupOrder {
        instance: "i-1".to_string(),
        address: SocketAddr::from(([127, 0, 0, 9], 1)),
        group: "g1".to_string(),
        epoch: 1,
        fence,
        command: GroupCommand::Leave,
    };
    assert!(member.node.may_send_group_order(member.moment(), &order(term)));
    assert!(!member.node.may_send_group_order(member.moment(), &order(term - 1)), "of an earlier term");
    member.now += 1_000;
    assert!(!member.node.may_send_group_order(member.moment(), &order(term)), "its lease has expired");
}
