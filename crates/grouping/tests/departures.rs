//! How long a group goes on taking requests once one of its members says that it leaves.

mod common;

use common::{SMALL, World};
use dockwood_api::gateway::{GroupCommand, InstanceState};
use dockwood_grouping::{Observations, OrderBook, ProbeResult, Scrutiny, advance_groups, departing_groups};
use dockwood_state::{GatewayCommand, GroupPhase, InstanceRow};

const HEAD: &str = "d0-s0";
const MEMBER: &str = "d0-s1";
/// When the fleets of these tests begin.
const START_MS: u64 = 15_000;
/// Well before and after the last moment at which a group that a member leaves takes requests.
const EARLY_MS: u64 = 1_900;
const LATE_MS: u64 = 2_500;

fn world() -> (World, u64) {
    let mut world = World::new(1, 2);
    let epoch = world.open_group(SMALL, &[HEAD, MEMBER]);
    (world, epoch)
}

fn say_leaving(world: &mut World, id: &str) {
    let membership = world.observations.instance(id).and_then(|seen| seen.membership.clone());
    let mut report = world.report(id, membership, &[SMALL]);
    report.state = InstanceState::Draining;
    world.apply(GatewayCommand::Register(InstanceRow::from(&report)));
    world.hear(report);
    world.observations.note_departures(world.now, &world.tables);
}

fn sign_off(world: &mut World, id: &str) {
    world.apply(GatewayCommand::SignOff { id: id.to_string() });
    world.observations.note_departures(world.now, &world.tables);
}

fn phase_after(world: &mut World, epoch: u64, span_ms: u64) -> Option<GroupPhase> {
    world.now += span_ms;
    let commands = advance_groups(&world.view(), Scrutiny::All, |_| START_MS);
    world.apply_all(commands);
    world.phase(epoch)
}

#[test]
fn a_group_that_a_member_leaves_takes_requests_until_the_last_moment() {
    let (mut world, epoch) = world();
    say_leaving(&mut world, MEMBER);
    assert_eq!(phase_after(&mut world, epoch, EARLY_MS), Some(GroupPhase::Open));
    assert_eq!(departing_groups(&world.tables), 1);
    assert_eq!(phase_after(&mut world, epoch, LATE_MS - EARLY_MS), Some(GroupPhase::Draining));
    assert_eq!(world.tables.groups[&epoch].reason, "its member d0-s1 is leaving");
    assert_eq!(departing_groups(&world.tables), 0);
}

#[test]
fn saying_it_again_puts_nothing_off() {
    let (mut world, epoch) = world();
    say_leaving(&mut world, MEMBER);
    assert_eq!(phase_after(&mut world, epoch, EARLY_MS), Some(GroupPhase::Open));
    say_leaving(&mut world, MEMBER);
    assert_eq!(phase_after(&mut world, epoch, LATE_MS - EARLY_MS), Some(GroupPhase::Draining));
}

#[test]
fn a_group_that_its_head_leaves_takes_nothing_new() {
    let (mut world, epoch) = world();
    say_leaving(&mut world, HEAD);
    assert_eq!(phase_after(&mut world, epoch, 0), Some(GroupPhase::Draining));
    assert_eq!(world.tables.groups[&epoch].reason, "its head d0-s0 is leaving");
}

#[test]
fn a_head_that_leaves_after_a_member_ends_the_wait() {
    let (mut world, epoch) = world();
    say_leaving(&mut world, MEMBER);
    assert_eq!(phase_after(&mut world, epoch, 500), Some(GroupPhase::Open));
    say_leaving(&mut world, HEAD);
    assert_eq!(phase_after(&mut world, epoch, 0), Some(GroupPhase::Draining));
}

#[test]
fn a_member_that_signs_off_without_a_word_serves_on_as_long() {
    let (mut world, epoch) = world();
    sign_off(&mut world, MEMBER);
    assert_eq!(phase_after(&mut world, epoch, EARLY_MS), Some(GroupPhase::Open));
    assert_eq!(phase_after(&mut world, epoch, LATE_MS - EARLY_MS), Some(GroupPhase::Draining));
}

#[test]
fn a_member_that_signs_off_after_it_had_said_that_it_leaves_ends_the_wait() {
    let (mut world, epoch) = world();
    say_leaving(&mut world, MEMBER);
    assert_eq!(phase_after(&mut world, epoch, 500), Some(GroupPhase::Open));
    sign_off(&mut world, MEMBER);
    assert_eq!(phase_after(&mut world, epoch, 0), Some(GroupPhase::Draining));
}

#[test]
fn a_new_leader_that_cannot_tell_since_when_a_member_leaves_waits_for_nothing() {
    let (mut world, epoch) = world();
    say_leaving(&mut world, MEMBER);
    world.observations = Observations::default();
    world.observations.assume_present(world.now, world.tables.instances.keys().cloned());
    assert_eq!(phase_after(&mut world, epoch, 500), Some(GroupPhase::Draining));
}

#[test]
fn a_leaving_member_that_is_lost_is_lost() {
    let (mut world, epoch) = world();
    say_leaving(&mut world, MEMBER);
    world.observations.record_probe(world.now, MEMBER, ProbeResult::Silent);
    world.load("entry", epoch, 1, true, false, true);
    assert_eq!(phase_after(&mut world, epoch, 500), Some(GroupPhase::Cutting));
}

/// The survivors of a head that ends without having told that it has closed are told to leave, and need not wait for
/// it.
#[test]
fn a_head_that_signed_off_and_is_silent_holds_up_its_group_only_while_requests_run() {
    let (mut world, epoch) = world();
    sign_off(&mut world, HEAD);
    assert_eq!(phase_after(&mut world, epoch, 0), Some(GroupPhase::Draining));
    world.now += 3_900;
    world.hear_again(MEMBER);
    world.load("entry", epoch, 1, false, false, true);
    assert_eq!(phase_after(&mut world, epoch, 200), Some(GroupPhase::Draining), "a request is running");
    world.load("entry", epoch, 0, false, false, true);
    assert_eq!(phase_after(&mut world, epoch, 0), Some(GroupPhase::Cutting));
    let orders = OrderBook::default().to_send(&world.view(), 1);
    let told: Vec<_> = orders.iter().map(|order| (order.instance.as_str(), &order.command)).collect();
    assert!(told.contains(&(MEMBER, &GroupCommand::Leave)), "{told:?}");
}
