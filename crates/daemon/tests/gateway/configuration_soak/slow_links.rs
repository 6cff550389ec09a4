//! Changes of the configuration over slow links.

use super::schedule::MEMBERS;
use super::{BOUNDS, LinkThreads, start_fleet};
use crate::configuration_changes::{Change, Defect, Operator};
use crate::fixture::configuration;
use std::io::{Error, Result};
use std::sync::Arc;
use std::time::Duration;

/// Delay of each part of 64 KiB that a member sends or receives: 1.6 MB/s.
const DELAY: Duration = Duration::from_millis(40);
/// As many as make a configuration that takes 1.4 s over such a link.
const ROUTES: usize = 5_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_configuration_is_accepted_by_a_member_with_a_slow_link() -> Result<()> {
    let threads = LinkThreads::start()?;
    let (mut fleet, links) = start_fleet(&threads).await?;
    for (host, daemon) in fleet.members.iter_mut().chain(&mut fleet.entries).enumerate() {
        daemon.start();
        links.set_process(host, daemon.process_id());
    }
    fleet.configure(&configuration(1)).await;
    let mut slow = None;
    for member in 0..MEMBERS {
        if !fleet.is_leader(member as u8).await {
            slow = Some(member);
        }
    }
    let slow = slow.ok_or_else(|| Error::other("all members lead"))?;
    links.delay(slow, DELAY);
    let operators = vec![fleet.operators()[slow]];
    let operator = Arc::new(Operator::new(fleet.http.clone(), operators, configuration(1), Defect::None));
    let accepted = operator.submit(Change::ManyRoutes(ROUTES)).await;
    assert_eq!(accepted, Some(2), "within {:?} and 3 ms for each route", BOUNDS.accepted_within);
    Ok(())
}
