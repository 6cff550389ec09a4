//! A short version of the fault matrix with fixed seeds, and tests that its checks detect injected defects.

use dockwood_placement::PlacementPolicy;
use dockwood_simulation::{Check, Defect, Fault, RunPlan, RunResult, Step, run};
use yare::parameterized;

fn plan(seed: u64, step: Step, faults: &[Fault]) -> RunPlan {
    RunPlan { seed, step, faults: faults.to_vec(), defect: None, placement: PlacementPolicy::default() }
}

#[test]
fn every_fault_at_every_step_breaks_nothing() {
    let mut failed = Vec::new();
    for (position, step) in Step::ALL.into_iter().enumerate() {
        for (number, fault) in Fault::ALL.into_iter().enumerate() {
            let plan = plan((position * 100 + number) as u64, step, &[fault]);
            let result = run(&plan);
            if !result.violations.is_empty() || result.recovered_ms.is_none() {
                failed.push(format!("{plan:?}: {:?}", result.violations));
            }
        }
    }
    assert!(failed.is_empty(), "{} of 176 failed:\n{}", failed.len(), failed.join("\n"));
}

#[test]
fn the_same_plan_gives_the_same_run() {
    let plan = plan(7, Step::Repair, &[Fault::LossyNetwork, Fault::KillLeader]);
    let (first, second) = (run(&plan), run(&plan));
    assert_eq!(first.measures, second.measures);
    assert_eq!(first.recovered_ms, second.recovered_ms);
}

fn first_violated_check(defect: Defect, step: Step, faults: &[Fault]) -> Option<Check> {
    let results = (0..60).map(|seed| run(&RunPlan { defect: Some(defect), ..plan(seed, step, faults) }));
    results.filter_map(|result: RunResult| result.violations.first().map(|violation| violation.check)).next()
}

#[parameterized(
    lease_ignored = { Defect::LeaseIgnored, Step::Apply, &[Fault::CutOffLeader, Fault::RaceOperators] },
    fence_not_raised = { Defect::FenceNotRaised, Step::Load, &[Fault::PauseLeader, Fault::KillMachine] },
    sync_skipped = { Defect::SyncSkipped, Step::Apply, &[Fault::KillAllVoters] },
    vote_not_persisted = { Defect::VoteNotPersisted, Step::Elect, &[Fault::LossyNetwork, Fault::KillAllVoters] },
    gate_ignored = { Defect::GateIgnored, Step::Serve, &[Fault::SilenceMachine] },
    release_not_awaited = { Defect::ReleaseNotAwaited, Step::Repair, &[Fault::KillMachine] },
    change_ids_forgotten = { Defect::ChangeIdsForgotten, Step::Apply, &[Fault::LoseAnswers, Fault::RaceOperators] },
)]
fn a_seeded_defect_is_found(defect: Defect, step: Step, faults: &[Fault]) {
    assert!(first_violated_check(defect, step, faults).is_some());
}
