//! Replicas, machines and orders. These invariants hold whatever a controller requests: a machine is held by at most
//! one replica; epochs and fences only increase; a released machine is not assigned again before it has confirmed that
//! it unloaded.

use crate::command::Outcome;
use crate::machine::Applied;
use crate::tables::{Holder, MachineRow, OrderRow, OrderState, ReplicaPhase, ReplicaRow, Tables};
use dockwood_api::engine::{LoadPlan, Member, OrderAction};
use dockwood_api::resource::{Kind, ResourceKey};
use dockwood_api::{ApiError, ResultCode};
use std::sync::Arc;

/// A replica's next epoch, validated.
struct ReplicaPlan {
    row: ReplicaRow,
    weights_mib: u64,
}

impl Tables {
    pub(crate) fn form_replica(&mut self, deployment: &str, members: &[String], reason: &str) -> Applied {
        let name = format!("{deployment}-{}", self.next_replica + 1);
        match self.plan(&name, 1, deployment, members, reason) {
            Err(error) => Applied::refused(error.code(), error.message()),
            Ok(plan) => {
                self.next_replica += 1;
                Applied::with_changes(self.apply_plan(plan, &[]))
            }
        }
    }

    pub(crate) fn reform_replica(
        &mut self,
        replica: &str,
        epoch: u64,
        members: &[String],
        reason: &str,
    ) -> Applied {
        let current = match self.replica_at_epoch(replica, epoch) {
            Err(error) => return Applied::outcome(Outcome::Refused(error)),
            Ok(current) => current,
        };
        match self.plan(replica, epoch + 1, &current.deployment, members, reason) {
            Err(error) => Applied::refused(error.code(), error.message()),
            Ok(mut plan) => {
                plan.row.watcher = current.watcher.clone();
                Applied::with_changes(self.apply_plan(plan, &current.members))
            }
        }
    }

    pub(crate) fn drain_replica(&mut self, replica: &str, epoch: u64, reason: &str) -> Applied {
        let current = match self.replica_at_epoch(replica, epoch) {
            Err(error) => return Applied::outcome(Outcome::Refused(error)),
            Ok(current) => current,
        };
        let row = ReplicaRow {
            phase: ReplicaPhase::Draining,
            revision: self.revision,
            since_ms: self.now_ms,
            reason: reason.to_string(),
            ..ReplicaRow::clone(&current)
        };
        self.replicas.insert(replica.to_string(), Arc::new(row));
        Applied::with_changes(vec![replica_key(replica)])
    }

    pub(crate) fn dissolve_replica(&mut self, replica: &str, epoch: u64) -> Applied {
        let current = match self.replica_at_epoch(replica, epoch) {
            Err(error) => return Applied::outcome(Outcome::Refused(error)),
            Ok(current) => current,
        };
        let mut changed_keys = vec![replica_key(replica)];
        for server in &current.members {
            self.release(server, &mut changed_keys);
        }
        self.replicas.remove(replica);
        Applied::with_changes(changed_keys)
    }

    pub(crate) fn order_done(&mut self, server: &str, fence: u64) -> Applied {
        let Some(order) = self.orders.get(server).filter(|order| order.fence == fence).cloned() else {
            let message = format!("order {fence} is not the newest to server '{server}'");
            return Applied::refused(ResultCode::EpochStale, message);
        };
        if order.state == OrderState::Done {
            return Applied::with_changes(Vec::new());
        }
        let row = OrderRow { state: OrderState::Done, revision: self.revision, ..OrderRow::clone(&order) };
        let mut changed_keys = vec![order_key(&row.id)];
        let loaded_for = match &row.action {
            OrderAction::Load(plan) => Some((plan.replica.clone(), plan.epoch)),
            OrderAction::Unload => None,
        };
        self.orders.insert(server.to_string(), Arc::new(row));
        if let Some((replica, epoch)) = loaded_for {
            self.mark_serving_if_loaded(&replica, epoch, &mut changed_keys);
        }
        Applied::with_changes(changed_keys)
    }

    pub(crate) fn repeat_order(&mut self, server: &str, fence: u64) -> Applied {
        let Some(order) = self.orders.get(server).filter(|order| order.fence == fence).cloned() else {
            let message = format!("order {fence} is not the newest to server '{server}'");
            return Applied::refused(ResultCode::EpochStale, message);
        };
        let mut changed_keys = Vec::new();
        if let OrderAction::Load(plan) = &order.action
            && let Some(replica) = self.replicas.get(&plan.replica).cloned()
            && replica.epoch == plan.epoch
            && replica.phase == ReplicaPhase::Serving
        {
            let row = ReplicaRow {
                phase: ReplicaPhase::Loading,
                revision: self.revision,
                since_ms: self.now_ms,
                reason: format!("server {server} lost its state and loads again"),
                ..ReplicaRow::clone(&replica)
            };
            changed_keys.push(replica_key(&row.name));
            self.replicas.insert(row.name.clone(), Arc::new(row));
        }
        self.issue_order(server, order.action.clone(), &mut changed_keys);
        Applied::with_changes(changed_keys)
    }

    /// Removes the order of a deleted server; [`Tables::dependants_of`] has ensured that no replica holds the server.
    pub(crate) fn remove_order(&mut self, key: &ResourceKey) {
        if key.kind == Kind::Server {
            // The machine row with its fence stays: a server recreated under this name must continue from that fence.
            self.orders.remove(&key.name);
        }
    }

    fn replica_at_epoch(&self, replica: &str, epoch: u64) -> Result<Arc<ReplicaRow>, ApiError> {
        let Some(current) = self.replicas.get(replica) else {
            return Err(ApiError::new(ResultCode::NotFound, format!("there is no replica '{replica}'")));
        };
        if current.epoch != epoch {
            let message = format!("replica '{replica}' is at epoch {}, not {epoch}", current.epoch);
            return Err(ApiError::new(ResultCode::EpochStale, message));
        }
        Ok(current.clone())
    }

    fn plan(
        &self,
        replica: &str,
        epoch: u64,
        deployment: &str,
        members: &[String],
        reason: &str,
    ) -> Result<ReplicaPlan, ApiError> {
        let not_found = |message: String| ApiError::new(ResultCode::NotFound, message);
        let spec =
            self.deployment(deployment).ok_or_else(|| not_found(format!("no deployment '{deployment}'")))?;
        let version =
            self.model(&spec.model).and_then(|model| model.versions.iter().find(|v| v.name == spec.version));
        let version =
            version.ok_or_else(|| not_found(format!("no version '{}' of '{}'", spec.version, spec.model)))?;
        self.check_members(replica, spec.machines_per_replica, members)?;
        let head =
            self.server(&members[0]).ok_or_else(|| not_found(format!("no server '{}'", members[0])))?;
        let row = ReplicaRow {
            name: replica.to_string(),
            deployment: deployment.to_string(),
            role: spec.role,
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapters: spec.adapters.clone(),
            epoch,
            members: members.to_vec(),
            domain: head.domain.clone(),
            zone: head.zone.clone(),
            phase: ReplicaPhase::Loading,
            watcher: None,
            revision: self.revision,
            since_ms: self.now_ms,
            reason: reason.to_string(),
        };
        Ok(ReplicaPlan { row, weights_mib: version.weights_mib.div_ceil(members.len() as u64) })
    }

    fn check_members(&self, replica: &str, wanted: u32, members: &[String]) -> Result<(), ApiError> {
        let invalid = |message: String| Err(ApiError::new(ResultCode::ValidationFailed, message));
        if members.len() != wanted as usize {
            return invalid(format!("{} members where the deployment wants {wanted}", members.len()));
        }
        let domain = self.server(&members[0]).map(|server| server.domain.as_str());
        for (position, name) in members.iter().enumerate() {
            let Some(server) = self.server(name) else {
                return invalid(format!("there is no server '{name}'"));
            };
            if members[..position].contains(name) {
                return invalid(format!("server '{name}' stands twice"));
            }
            if Some(server.domain.as_str()) != domain {
                return invalid(format!("server '{name}' is in another domain, '{}'", server.domain));
            }
            self.check_available(replica, name)?;
        }
        Ok(())
    }

    /// Checks that no other replica holds the server, and that it has confirmed its release by the last one.
    fn check_available(&self, replica: &str, server: &str) -> Result<(), ApiError> {
        let holder = self.machines.get(server).and_then(|machine| machine.holder.as_ref());
        match holder {
            Some(holder) if holder.replica == replica => Ok(()),
            Some(holder) => {
                let message = format!("server '{server}' is in replica '{}'", holder.replica);
                Err(ApiError::new(ResultCode::MachineInOtherReplica, message))
            }
            None if self.is_free(server) => Ok(()),
            None => {
                let message = format!("server '{server}' has not confirmed its release");
                Err(ApiError::new(ResultCode::MachineInOtherReplica, message))
            }
        }
    }

    fn apply_plan(&mut self, plan: ReplicaPlan, former_members: &[String]) -> Vec<ResourceKey> {
        let mut changed_keys = vec![replica_key(&plan.row.name)];
        for server in former_members {
            if !plan.row.members.contains(server) {
                self.release(server, &mut changed_keys);
            }
        }
        let members = self.member_addresses(&plan.row.members);
        for server in &plan.row.members {
            let holder = Holder { replica: plan.row.name.clone(), epoch: plan.row.epoch };
            self.machines.entry(server.clone()).or_default().holder = Some(holder);
            let load = LoadPlan {
                replica: plan.row.name.clone(),
                epoch: plan.row.epoch,
                model: plan.row.model.clone(),
                version: plan.row.version.clone(),
                adapters: plan.row.adapters.clone(),
                weights_mib: plan.weights_mib,
                role: plan.row.role,
                members: members.clone(),
            };
            self.issue_order(server, OrderAction::Load(load), &mut changed_keys);
        }
        self.replicas.insert(plan.row.name.clone(), Arc::new(plan.row));
        changed_keys
    }

    fn member_addresses(&self, members: &[String]) -> Vec<Member> {
        let with_address = |name: &String| {
            let server = self.server(name)?;
            Some(Member { server: name.clone(), address: server.address })
        };
        members.iter().filter_map(with_address).collect()
    }

    fn release(&mut self, server: &str, changed_keys: &mut Vec<ResourceKey>) {
        self.machines.entry(server.to_string()).or_default().holder = None;
        self.issue_order(server, OrderAction::Unload, changed_keys);
    }

    fn issue_order(&mut self, server: &str, action: OrderAction, changed_keys: &mut Vec<ResourceKey>) {
        let machine: &mut MachineRow = self.machines.entry(server.to_string()).or_default();
        machine.fence += 1;
        let row = OrderRow {
            id: format!("{server}-{}", machine.fence),
            server: server.to_string(),
            fence: machine.fence,
            action,
            state: OrderState::Pending,
            revision: self.revision,
            issued_ms: self.now_ms,
        };
        changed_keys.push(order_key(&row.id));
        self.orders.insert(server.to_string(), Arc::new(row));
    }

    fn mark_serving_if_loaded(&mut self, replica: &str, epoch: u64, changed_keys: &mut Vec<ResourceKey>) {
        let Some(current) = self.replicas.get(replica).filter(|row| row.epoch == epoch).cloned() else {
            return;
        };
        let is_loaded = |server: &String| {
            self.orders.get(server).is_some_and(|order| {
                let loads_epoch = matches!(&order.action, OrderAction::Load(plan) if plan.epoch == epoch);
                loads_epoch && order.state == OrderState::Done
            })
        };
        if current.phase == ReplicaPhase::Loading && current.members.iter().all(is_loaded) {
            let row = ReplicaRow {
                phase: ReplicaPhase::Serving,
                revision: self.revision,
                since_ms: self.now_ms,
                ..ReplicaRow::clone(&current)
            };
            changed_keys.push(replica_key(replica));
            self.replicas.insert(replica.to_string(), Arc::new(row));
        }
    }
}

fn replica_key(name: &str) -> ResourceKey {
    ResourceKey::new(Kind::Replica, name)
}

fn order_key(id: &str) -> ResourceKey {
    ResourceKey::new(Kind::Order, id)
}
