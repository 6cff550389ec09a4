//! Which servers report that they serve a group as its head.

use dockwood_api::gateway::{MembershipReport, MembershipState};
use std::collections::BTreeMap;

/// The heads of the groups that have opened, by epoch, according to their newest reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServingHeads {
    heads: BTreeMap<u64, String>,
}

impl ServingHeads {
    /// Records a server's newest report, which replaces the one of its `former` membership. A head that has closed is
    /// kept until it leaves, as an order to open that it has not answered may open it again.
    pub fn record(
        &mut self,
        instance: &str,
        former: Option<&MembershipReport>,
        current: Option<&MembershipReport>,
    ) {
        let is_in_former_group =
            former.zip(current).is_some_and(|(former, current)| former.epoch == current.epoch);
        if let Some(former) = former.filter(|_| !is_in_former_group) {
            self.remove(former.epoch, instance);
        }
        let Some(current) = current else { return };
        match current.state {
            MembershipState::Open | MembershipState::Closing => {
                self.heads.insert(current.epoch, instance.to_string());
            }
            MembershipState::Broken => self.remove(current.epoch, instance),
            MembershipState::Joining | MembershipState::Ready => {}
        }
    }

    /// Removes a server as the head of a group.
    pub fn remove(&mut self, epoch: u64, instance: &str) {
        if self.heads.get(&epoch).is_some_and(|head| head == instance) {
            self.heads.remove(&epoch);
        }
    }

    /// Whether a group may be serving.
    pub fn contains(&self, epoch: u64) -> bool {
        self.heads.contains_key(&epoch)
    }

    /// Removes the heads that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.heads.retain(|_, head| exists(head));
    }
}
