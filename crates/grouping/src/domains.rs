//! What the decisions on placement share: free servers by domain, and what their hosts have staged.

use crate::View;
use dockwood_api::gateway::InstanceState;
use dockwood_state::{GroupRow, InstanceRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A free server with what its host has staged.
#[derive(Clone, Debug)]
pub(crate) struct FreeServer {
    pub id: String,
    pub staged: Vec<String>,
}

/// Free servers of a service by domain.
pub(crate) fn free_by_domain(view: &View<'_>, service: &str) -> BTreeMap<String, Vec<FreeServer>> {
    let is_free =
        |row: &&Arc<InstanceRow>| is_usable(view, row, service) && view.tables.group_of(&row.id).is_none();
    let mut domains: BTreeMap<String, Vec<FreeServer>> = BTreeMap::new();
    for row in view.tables.instances.values().filter(is_free) {
        let Some(domain) = &row.domain else { continue };
        let staged = staged_at(view, &row.id).to_vec();
        domains.entry(domain.clone()).or_default().push(FreeServer { id: row.id.clone(), staged });
    }
    domains
}

fn is_usable(view: &View<'_>, row: &InstanceRow, service: &str) -> bool {
    let takes_work = row.service == service && row.state == InstanceState::Ready;
    takes_work && view.observations.was_heard(view.now, &row.id)
}

/// Models that an instance's host has staged.
pub(crate) fn staged_at<'a>(view: &View<'a>, instance: &str) -> &'a [String] {
    view.observations.instance(instance).map_or(&[], |seen| seen.staged.as_slice())
}

/// Whether an instance's host has a model staged.
pub(crate) fn has_staged(view: &View<'_>, instance: &str, model: &str) -> bool {
    staged_at(view, instance).iter().any(|staged| staged == model)
}

/// The domain of a group's members.
pub(crate) fn domain_of<'a>(view: &View<'a>, group: &GroupRow) -> Option<&'a str> {
    let head = group.members.first()?;
    view.tables.instances.get(head)?.domain.as_deref()
}
