//! Machines and replicas: invariants that hold for any sequence of commands.

mod common;

use common::{apply, confirm_orders, fleet, form, machines};
use dockwood_api::ResultCode;
use dockwood_state::{CommandBody, Outcome, ReplicaPhase, State, Tables};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn refusal(outcome: &Outcome) -> Option<ResultCode> {
    match outcome {
        Outcome::Refused(error) => Some(error.code()),
        _ => None,
    }
}

fn reform(replica: &str, epoch: u64, numbers: impl IntoIterator<Item = usize>) -> CommandBody {
    let members = machines(numbers);
    CommandBody::ReformReplica { replica: replica.to_string(), epoch, members, reason: "test".to_string() }
}

#[test]
fn a_replica_serves_once_every_machine_confirmed_its_order() {
    let mut state = fleet(8);
    form(&mut state, 0..4);
    for server in machines(0..3) {
        apply(&mut state, CommandBody::OrderDone { server, fence: 1 });
    }
    assert_eq!(state.tables.replicas["d-1"].phase, ReplicaPhase::Loading);
    apply(&mut state, CommandBody::OrderDone { server: "m-3".to_string(), fence: 1 });
    assert_eq!(state.tables.replicas["d-1"].phase, ReplicaPhase::Serving);
}

#[test]
fn a_machine_in_one_replica_is_not_assigned_to_another() {
    let mut state = fleet(8);
    form(&mut state, 0..4);
    let refused = form(&mut state, 3..7).outcome;
    assert_eq!(refusal(&refused), Some(ResultCode::MachineInOtherReplica));
}

#[test]
fn a_released_machine_is_not_assigned_before_it_confirmed_its_release() {
    let mut state = fleet(8);
    form(&mut state, 0..4);
    confirm_orders(&mut state);
    apply(&mut state, reform("d-1", 1, [0, 1, 2, 4]));
    assert_eq!(refusal(&form(&mut state, [3, 5, 6, 7]).outcome), Some(ResultCode::MachineInOtherReplica));
    let fence = state.tables.machines["m-3"].fence;
    apply(&mut state, CommandBody::OrderDone { server: "m-3".to_string(), fence: fence - 1 });
    assert!(!state.tables.is_free("m-3"), "the confirmation of an older order must not count");
    apply(&mut state, CommandBody::OrderDone { server: "m-3".to_string(), fence });
    assert_eq!(refusal(&form(&mut state, [3, 5, 6, 7]).outcome), None);
}

#[test]
fn a_command_for_an_old_epoch_is_refused() {
    let mut state = fleet(8);
    form(&mut state, 0..4);
    apply(&mut state, reform("d-1", 1, [0, 1, 2, 4]));
    let stale = apply(&mut state, reform("d-1", 1, [0, 1, 2, 5])).outcome;
    assert_eq!(refusal(&stale), Some(ResultCode::EpochStale));
}

#[test]
fn members_share_one_domain_and_match_the_declared_count() {
    let mut state = fleet(16);
    assert_eq!(refusal(&form(&mut state, 6..10).outcome), Some(ResultCode::ValidationFailed));
    assert_eq!(refusal(&form(&mut state, 0..3).outcome), Some(ResultCode::ValidationFailed));
    assert_eq!(refusal(&form(&mut state, [0, 0, 1, 2]).outcome), Some(ResultCode::ValidationFailed));
}

#[test]
fn a_machine_that_lost_its_state_reloads_under_a_higher_fence() {
    let mut state = fleet(8);
    form(&mut state, 0..4);
    confirm_orders(&mut state);
    apply(&mut state, CommandBody::RepeatOrder { server: "m-2".to_string(), fence: 1 });
    assert_eq!(state.tables.replicas["d-1"].phase, ReplicaPhase::Loading);
    assert_eq!(state.tables.machines["m-2"].fence, 2);
    confirm_orders(&mut state);
    assert_eq!(state.tables.replicas["d-1"].phase, ReplicaPhase::Serving);
}

/// Arbitrary commands, as a faulty controller might send them.
fn any_command() -> impl Strategy<Value = CommandBody> {
    let replica = || (1_u64..5).prop_map(|number| format!("d-{number}"));
    let server = || (0_usize..16).prop_map(|number| format!("m-{number}"));
    let members = || {
        (0_usize..4, proptest::collection::vec(0_usize..8, 4))
            .prop_map(|(domain, picks)| machines(picks.into_iter().map(move |pick| (domain / 2) * 8 + pick)))
    };
    let reason = String::new;
    prop_oneof![
        3 => members().prop_map(move |members| CommandBody::FormReplica { deployment: "d".to_string(), members, reason: reason() }),
        3 => (replica(), 1_u64..4, members()).prop_map(move |(replica, epoch, members)| {
            CommandBody::ReformReplica { replica, epoch, members, reason: reason() }
        }),
        1 => (replica(), 1_u64..4).prop_map(move |(replica, epoch)| CommandBody::DrainReplica { replica, epoch, reason: reason() }),
        1 => (replica(), 1_u64..4).prop_map(move |(replica, epoch)| CommandBody::DissolveReplica { replica, epoch, reason: reason() }),
        6 => (server(), 1_u64..6).prop_map(|(server, fence)| CommandBody::OrderDone { server, fence }),
        1 => (server(), 1_u64..6).prop_map(|(server, fence)| CommandBody::RepeatOrder { server, fence }),
    ]
}

fn holders(tables: &Tables) -> BTreeMap<&str, Vec<&str>> {
    let mut holders: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for replica in tables.replicas.values() {
        for member in &replica.members {
            holders.entry(member).or_default().push(&replica.name);
        }
    }
    holders
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn no_sequence_of_commands_assigns_a_machine_to_two_replicas(commands in proptest::collection::vec(any_command(), 1..60)) {
        let mut state: State = fleet(16);
        for command in commands {
            let before = state.tables.clone();
            apply(&mut state, command);
            let tables = &state.tables;
            for (machine, replicas) in holders(tables) {
                prop_assert_eq!(replicas.len(), 1, "{} is in {:?}", machine, replicas);
                let holder = tables.machines[machine].holder.as_ref().map(|holder| holder.replica.as_str());
                prop_assert_eq!(holder, Some(replicas[0]));
            }
            for (server, machine) in &tables.machines {
                prop_assert!(machine.fence >= before.machines.get(server).map_or(0, |row| row.fence));
                if let Some(holder) = &machine.holder {
                    prop_assert!(tables.replicas[&holder.replica].members.contains(server));
                }
            }
            for (name, replica) in &tables.replicas {
                prop_assert!(replica.epoch >= before.replicas.get(name).map_or(0, |row| row.epoch));
            }
            prop_assert_eq!(tables.revision, before.revision + 1);
            let decoded = State::decode(&state.encode());
            prop_assert_eq!(decoded.as_ref(), Ok(&state));
        }
    }

    #[test]
    fn decoding_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = State::decode(&bytes);
        let _ = dockwood_state::decode_command(&bytes);
        let _ = dockwood_state::decode_outcome(&bytes);
    }
}
