//! Conversion of messages to the control thread into inputs of the control node.

use super::outbox::decode_messages;
use super::{ControlMessage, Reply};
use crate::log_line::LineBody;
use crate::logging;
use dockwood_consensus::Message;
use dockwood_control::Input;

/// Decodes messages of the consensus group. Undecodable messages were not sent by a member of this version and are dropped;
/// the consensus protocol resends what is missing.
fn decode_or_drop(bytes: &[u8]) -> Vec<Message> {
    decode_messages(bytes).unwrap_or_else(|error| {
        let message = format!("dropping undecodable consensus messages: {error}");
        logging::write("", LineBody::Fault { message: &message });
        Vec::new()
    })
}

/// Converts a message to an input of the control node; `None` for messages that the thread handles itself.
pub(super) fn input_of(message: ControlMessage) -> Option<Input<Reply>> {
    Some(match message {
        ControlMessage::Consensus { messages } => Input::Consensus(decode_or_drop(&messages)),
        ControlMessage::Pulse => Input::Pulse,
        ControlMessage::FetchSnapshot { reply } => Input::FetchSnapshot(Reply::Snapshot(reply)),
        ControlMessage::Lease { request, reply } => Input::Lease(request, Reply::Lease(reply)),
        ControlMessage::Delegate { requests, reply } => Input::Delegate(requests, Reply::Delegation(reply)),
        ControlMessage::Delegated { number, answer } => Input::Delegated { number, answer },
        ControlMessage::Observe { term, observations, reply } => {
            Input::Observe(term, observations, Reply::Observe(reply))
        }
        ControlMessage::View { reply } => Input::View(Reply::View(reply)),
        ControlMessage::OrderAnswered { server, fence, done } => Input::OrderAnswered { server, fence, done },
        ControlMessage::Register { report, reply } => Input::Register(report, Reply::Submit(reply)),
        ControlMessage::ExchangeLoad { report, reply } => Input::ExchangeLoad(report, Reply::Load(reply)),
        ControlMessage::AssignPlace { request, reply } => Input::AssignPlace(request, Reply::Place(reply)),
        ControlMessage::ServerLimits(limits) => Input::ServerLimits(limits),
        ControlMessage::GroupOrderAnswered(order, answer) => Input::GroupOrderAnswered(*order, answer),
        ControlMessage::Probed { instance, result, slowness } => Input::Probed { instance, result, slowness },
        ControlMessage::AdmitVoter { id, address, zone, reply } => {
            Input::AdmitVoter { id, address, zone, reply: Reply::Admit(reply) }
        }
        ControlMessage::LearnVoters(voters) => Input::LearnVoters(voters),
        ControlMessage::ReadRevision { reply } => Input::ReadRevision(Reply::Read(reply)),
        ControlMessage::PlatformList(rows) => {
            let leaving_machines = rows.into_iter().filter(|row| row.leaving).map(|row| row.server).collect();
            Input::Leaving(leaving_machines)
        }
        ControlMessage::Submit { .. } | ControlMessage::LeaseGranted { .. } | ControlMessage::Stop => {
            return None;
        }
    })
}
