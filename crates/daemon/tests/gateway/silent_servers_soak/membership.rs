//! The group membership of a model server, and its orders.

use super::records::lock;
use super::server::SoakServer;
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipReport, MembershipState};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time that a member takes to load its weights.
const LOAD_TIME: Duration = Duration::from_millis(100);
const BEGUN: &str = "202 Accepted";
const HOLDS_ALREADY: &str = "200 OK";
const DOES_NOT_FIT: &str = "409 Conflict";
const OUTDATED: &str = "412 Precondition Failed";

/// The requests that the head of a group works on.
struct GroupWork {
    members: Vec<String>,
    is_truncated: AtomicBool,
}

struct Held {
    report: MembershipReport,
    work: Arc<GroupWork>,
}

#[derive(Default)]
struct MembershipData {
    held: Option<Held>,
    staged: BTreeSet<String>,
    newest_epoch: u64,
    newest_fence: u64,
}

/// The group membership of a server.
#[derive(Default)]
pub struct Membership {
    data: Mutex<MembershipData>,
}

/// A request that the head of a group works on.
pub struct WorkGuard {
    work: Arc<GroupWork>,
}

impl WorkGuard {
    /// Returns the ids of all members of the group.
    pub fn members(&self) -> &[String] {
        &self.work.members
    }

    /// Returns whether the group was ordered to abort its requests.
    pub fn is_truncated(&self) -> bool {
        self.work.is_truncated.load(Ordering::SeqCst)
    }
}

impl Membership {
    pub fn staged(&self) -> Vec<String> {
        lock(&self.data).staged.iter().cloned().collect()
    }

    pub fn report(&self) -> Option<MembershipReport> {
        lock(&self.data).held.as_ref().map(|held| held.report.clone())
    }

    pub fn is_open(&self) -> bool {
        self.report().is_some_and(|report| report.state == MembershipState::Open)
    }

    pub fn is_same_group(&self, other: &Membership) -> bool {
        let group_of =
            |membership: &Membership| membership.report().map(|report| (report.group, report.epoch));
        group_of(self) == group_of(other)
    }

    /// Records that the group works on a request; `None` if there is no group.
    pub fn begin_work(&self) -> Option<WorkGuard> {
        lock(&self.data).held.as_ref().map(|held| WorkGuard { work: held.work.clone() })
    }

    pub fn set_broken(&self) {
        if let Some(held) = lock(&self.data).held.as_mut() {
            held.report.state = MembershipState::Broken;
        }
    }

    /// Changes the state of a group if it is still in the state `from`.
    fn change_state(&self, epoch: u64, from: MembershipState, to: MembershipState) {
        let mut data = lock(&self.data);
        let held = data.held.as_mut().map(|held| &mut held.report);
        if let Some(report) = held.filter(|report| report.epoch == epoch && report.state == from) {
            report.state = to;
        }
    }

    /// Returns whether no request is worked on.
    fn is_idle(&self) -> bool {
        lock(&self.data).held.as_ref().is_none_or(|held| Arc::strong_count(&held.work) == 1)
    }

    fn join(&self, order: &GroupOrder, members: Vec<String>) -> &'static str {
        let mut data = lock(&self.data);
        if order.epoch < data.newest_epoch {
            return OUTDATED;
        }
        let is_same = |held: &Held| held.report.group == order.group && held.report.epoch == order.epoch;
        if data.held.as_ref().is_some_and(is_same) {
            return HOLDS_ALREADY;
        }
        data.newest_epoch = order.epoch;
        let report = MembershipReport {
            group: order.group.clone(),
            epoch: order.epoch,
            state: MembershipState::Joining,
        };
        let work = Arc::new(GroupWork { members, is_truncated: AtomicBool::new(false) });
        data.held = Some(Held { report, work });
        BEGUN
    }

    /// Executes an order to the group that the server is in.
    fn execute_in_group(&self, order: &GroupOrder) -> &'static str {
        let mut data = lock(&self.data);
        let is_same = |held: &&mut Held| held.report.group == order.group && held.report.epoch == order.epoch;
        let Some(held) = data.held.as_mut().filter(is_same) else { return DOES_NOT_FIT };
        match (&order.command, held.report.state) {
            (GroupCommand::Open, MembershipState::Open) => HOLDS_ALREADY,
            (GroupCommand::Open, MembershipState::Ready) => {
                held.report.state = MembershipState::Open;
                BEGUN
            }
            (GroupCommand::Open, _) => DOES_NOT_FIT,
            (GroupCommand::Close { truncate: true }, _) => {
                held.work.is_truncated.store(true, Ordering::SeqCst);
                held.report.state = MembershipState::Ready;
                BEGUN
            }
            (GroupCommand::Close { truncate: false }, MembershipState::Open) => {
                held.report.state = MembershipState::Closing;
                BEGUN
            }
            (GroupCommand::Leave, _) => {
                data.held = None;
                BEGUN
            }
            _ => HOLDS_ALREADY,
        }
    }

    /// Rejects an order of an earlier leader.
    fn is_outdated(&self, fence: u64) -> bool {
        let mut data = lock(&self.data);
        let is_outdated = fence < data.newest_fence;
        data.newest_fence = data.newest_fence.max(fence);
        is_outdated
    }
}

impl SoakServer {
    /// Executes an order, and returns the status of the response.
    pub fn execute(self: Arc<Self>, order: GroupOrder) -> &'static str {
        if self.membership.is_outdated(order.fence) {
            return OUTDATED;
        }
        let epoch = order.epoch;
        match &order.command {
            GroupCommand::Stage { model } => {
                lock(&self.membership.data).staged.insert(model.clone());
                BEGUN
            }
            GroupCommand::Join { members, .. } => {
                let status = self.membership.join(&order, members.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(LOAD_TIME).await;
                    self.membership.change_state(epoch, MembershipState::Joining, MembershipState::Ready);
                });
                status
            }
            _ => {
                let status = self.membership.execute_in_group(&order);
                if order.command == (GroupCommand::Close { truncate: false }) {
                    tokio::spawn(async move {
                        while !self.membership.is_idle() {
                            tokio::time::sleep(LOAD_TIME).await;
                        }
                        self.membership.change_state(epoch, MembershipState::Closing, MembershipState::Ready);
                    });
                }
                status
            }
        }
    }
}
