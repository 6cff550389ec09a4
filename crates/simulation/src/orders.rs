//! Delivery of orders to machines, as done by the daemon's order sender.

use crate::check::Check;
use crate::events::{DaemonMessage, Event};
use crate::fault::Defect;
use crate::machine::{JOIN_MS, LOAD_MS, MachineStatus, OrderWork};
use crate::network::Endpoint;
use crate::node_driver::OutputEffect;
use crate::world::World;
use dockwood_api::engine::EngineOrder;
use dockwood_control::{Input, OrderToSend};

/// Time limit for the answer to an order. After that the sender reports to the control node that the order is
/// not done, and the control node sends it again.
const ORDER_TIMEOUT_MS: u64 = 3_000;

impl World {
    pub(crate) fn send_order(&mut self, from: usize, to_send: OrderToSend) -> OutputEffect {
        let OrderToSend { order, lease_until, .. } = to_send;
        let Some(machine) = self.machines.iter().position(|machine| machine.name == order.server) else {
            return OutputEffect::Done;
        };
        let from_incarnation = self.daemons[from].incarnation;
        self.awaited_orders.insert((from, order.server.clone(), order.fence));
        let timeout = Event::OrderTimeout {
            daemon: from,
            incarnation: from_incarnation,
            server: order.server.clone(),
            fence: order.fence,
        };
        self.queue.push(self.now + ORDER_TIMEOUT_MS, timeout);
        let fence = if self.defect == Some(Defect::FenceNotRaised) { 1 } else { order.fence };
        let engine_order = EngineOrder { id: order.id.clone(), fence, action: order.action.clone() };
        let event = Event::SendOrder {
            daemon: from,
            incarnation: from_incarnation,
            machine,
            order: engine_order,
            lease_until,
        };
        self.queue.push(self.now, event);
        if self.defect == Some(Defect::ReleaseNotAwaited) {
            return OutputEffect::NextInput(Box::new(Input::OrderAnswered {
                server: order.server,
                fence: order.fence,
                done: true,
            }));
        }
        OutputEffect::Done
    }

    /// Sends an order repeatedly until the machine has answered or the time limit has passed, as the daemon's
    /// order sender does.
    pub(crate) fn send_order_until_answered(
        &mut self,
        sender: (usize, u64),
        machine: usize,
        order: EngineOrder,
        lease_until: u64,
    ) {
        let (from, from_incarnation) = sender;
        const RESEND_INTERVAL_MS: u64 = 100;
        let name = self.machines[machine].name.clone();
        let may_send = self.machines[machine].checks_fences
            || self.daemons[from].moment(self.now).monotonic < lease_until;
        if !may_send || !self.awaited_orders.contains(&(from, name, order_number(&order.id))) {
            return;
        }
        for delay in
            self.network.delivery_delays(&mut self.random, Endpoint::Daemon(from), Endpoint::Machine(machine))
        {
            let order = order.clone();
            self.queue.push(self.now + delay, Event::Order { machine, from, from_incarnation, order });
        }
        let again =
            Event::SendOrder { daemon: from, incarnation: from_incarnation, machine, order, lease_until };
        self.queue.push(self.now + RESEND_INTERVAL_MS, again);
    }

    pub(crate) fn receive_order(
        &mut self,
        machine: usize,
        from: usize,
        from_incarnation: u64,
        order: EngineOrder,
    ) {
        let target = &mut self.machines[machine];
        if target.status != MachineStatus::On {
            return;
        }
        let machine_incarnation = target.incarnation;
        let is_refused = target.checks_fences && order.fence < target.highest_fence;
        if let Some(work) = target.accept_order(&order) {
            let duration = match work {
                OrderWork::Join => JOIN_MS,
                OrderWork::Load => {
                    self.store_free_at = self.store_free_at.max(self.now) + LOAD_MS;
                    self.store_free_at - self.now
                }
            };
            let event = Event::OrderCarriedOut { machine, machine_incarnation, order_id: order.id.clone() };
            self.queue.push(self.now + duration, event);
        }
        let target = &self.machines[machine];
        let number = order_number(&order.id);
        let done = target.satisfies(&order) && target.highest_carried_out >= number;
        if done || is_refused {
            let message = DaemonMessage::OrderAnswered { server: target.name.clone(), fence: number, done };
            self.send_to_daemon(Endpoint::Machine(machine), from, Some(from_incarnation), message);
        }
    }

    pub(crate) fn order_carried_out(&mut self, index: usize, incarnation: u64, order_id: &str) {
        let machine = &mut self.machines[index];
        if machine.incarnation != incarnation || !machine.finish_order(order_id) {
            return;
        }
        let number = order_number(order_id);
        if number < machine.highest_carried_out && machine.checks_fences {
            let detail =
                format!("{} carried out order {number} after {}", machine.name, machine.highest_carried_out);
            self.checker.fail(Check::FencesGrow, self.now, detail);
            return;
        }
        machine.highest_carried_out = machine.highest_carried_out.max(number);
    }
}

fn order_number(id: &str) -> u64 {
    id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}
