//! Losses of members of the control group that the fleet tolerates: some pause, then others lose their disks.

use super::schedule::{LOSSES_TOLERATED, MEMBERS};
use crate::fixture::{Fleet, FleetOptions, LIMIT, configuration, eventually};
use std::collections::BTreeSet;
use std::io::{Error, Result};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Service may pause for this time after all members are back.
const RECOVERED_WITHIN: Duration = Duration::from_secs(15);
/// As many voters as keep a majority after the losses.
const VOTERS: usize = 2 * LOSSES_TOLERATED + 1;

/// Returns the voters according to a member's newest log line on them.
fn voters_at(fleet: &Fleet, member: usize) -> BTreeSet<usize> {
    let lines = fleet.members[member].log_lines();
    let newest = lines.iter().rfind(|line| line["reason"] == "VotersChanged");
    let addresses = newest.and_then(|line| line["message"].as_str()).unwrap_or_default();
    let is_listed = |member: &usize| {
        let (known, _) = fleet.peer_addresses(*member as u8);
        addresses.split(' ').any(|address| address == known.to_string())
    };
    (0..MEMBERS).filter(is_listed).collect()
}

async fn leader(fleet: &Fleet) -> Result<usize> {
    let started = Instant::now();
    while started.elapsed() < LIMIT {
        for member in 0..MEMBERS {
            if fleet.is_leader(member as u8).await && voters_at(fleet, member).len() == VOTERS {
                return Ok(member);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::other("no leader has all voters"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_configuration_returns_after_two_members_have_paused_and_two_others_lose_their_disks()
-> Result<()> {
    let mut fleet = Fleet::start_with(FleetOptions {
        members: MEMBERS as u8,
        entries: 1,
        losses_tolerated: LOSSES_TOLERATED as u8,
        ..FleetOptions::default()
    });
    fleet.configure(&configuration(1)).await;
    let leader = leader(&fleet).await?;
    let voters = voters_at(&fleet, leader);
    fleet.end_founding();
    let others: Vec<usize> = voters.iter().copied().filter(|voter| *voter != leader).collect();
    let (paused, lost) = (&others[..LOSSES_TOLERATED], [leader, others[LOSSES_TOLERATED]]);
    paused.iter().for_each(|member| fleet.members[*member].signal("-STOP"));
    // The member on standby takes the place of a silent one.
    eventually("no voter is replaced", || !voters_at(&fleet, leader).is_subset(&voters)).await;
    fleet.configure(&configuration(2)).await;
    fleet.members.iter_mut().for_each(|member| member.kill());
    for member in lost {
        fleet.members[member].wipe_disk()?;
    }
    fleet.members.iter_mut().for_each(|member| member.start());
    let read = tokio::time::timeout(RECOVERED_WITHIN, fleet.settled_version()).await;
    assert_eq!(read.ok().flatten(), Some(2));
    Ok(())
}
