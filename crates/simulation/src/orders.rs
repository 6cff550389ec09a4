//! Orders on their way to machines, as the daemon's order sender sends them.

use crate::check::Check;
use crate::events::{Event, ToDaemon};
use crate::fault::Defect;
use crate::machine::{JOIN_MS, LOAD_MS, OrderWork, Power};
use crate::network::Place;
use crate::stepping::Carried;
use crate::world::World;
use dockwood_api::engine::EngineOrder;
use dockwood_control::{Input, OrderToSend};

/// A pending order is given up by whoever follows it after this long, and sent anew.
const ORDER_TIMEOUT_MS: u64 = 3_000;

impl World {
    pub(crate) fn send_order(&mut self, from: usize, to_send: OrderToSend) -> Carried {
        let OrderToSend { order, lease_until, .. } = to_send;
        let Some(machine) = self.machines.iter().position(|machine| machine.name == order.server) else {
            return Carried::Done;
        };
        let from_incarnation = self.daemons[from].incarnation;
        self.followed.insert((from, order.server.clone(), order.fence));
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
            return Carried::Follow(Box::new(Input::OrderAnswered {
                server: order.server,
                fence: order.fence,
                done: true,
            }));
        }
        Carried::Done
    }

    /// As the daemon's order sender does: again and again, until the machine has answered or time runs out.
    pub(crate) fn repeat_order(
        &mut self,
        sender: (usize, u64),
        machine: usize,
        order: EngineOrder,
        lease_until: u64,
    ) {
        let (from, from_incarnation) = sender;
        const ASK_AGAIN_MS: u64 = 100;
        let name = self.machines[machine].name.clone();
        let may_send = self.machines[machine].checks_fences
            || self.daemons[from].moment(self.now).monotonic < lease_until;
        if !may_send || !self.followed.contains(&(from, name, order_number(&order.id))) {
            return;
        }
        for delay in self.network.delays(&mut self.random, Place::Daemon(from), Place::Machine(machine)) {
            let order = order.clone();
            self.queue.push(self.now + delay, Event::Order { machine, from, from_incarnation, order });
        }
        let again =
            Event::SendOrder { daemon: from, incarnation: from_incarnation, machine, order, lease_until };
        self.queue.push(self.now + ASK_AGAIN_MS, again);
    }

    pub(crate) fn take_order(
        &mut self,
        machine: usize,
        from: usize,
        from_incarnation: u64,
        order: EngineOrder,
    ) {
        let target = &mut self.machines[machine];
        if target.power != Power::On {
            return;
        }
        let machine_incarnation = target.incarnation;
        let refused = target.checks_fences && order.fence < target.highest_fence;
        if let Some(work) = target.take_order(&order) {
            let takes = match work {
                OrderWork::Join => JOIN_MS,
                OrderWork::Load => {
                    self.store_free_at = self.store_free_at.max(self.now) + LOAD_MS;
                    self.store_free_at - self.now
                }
            };
            let event = Event::OrderCarriedOut { machine, machine_incarnation, order_id: order.id.clone() };
            self.queue.push(self.now + takes, event);
        }
        let target = &self.machines[machine];
        let number = order_number(&order.id);
        let done = target.is_in_effect(&order) && target.highest_carried_out >= number;
        if done || refused {
            let message = ToDaemon::OrderAnswered { server: target.name.clone(), fence: number, done };
            self.transmit(Place::Machine(machine), from, Some(from_incarnation), message);
        }
    }

    pub(crate) fn order_carried_out(&mut self, index: usize, incarnation: u64, order_id: &str) {
        let machine = &mut self.machines[index];
        if machine.incarnation != incarnation || !machine.carry_out(order_id) {
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
