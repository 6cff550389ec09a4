//! Detection of pauses of the process, which appear as jumps of the clock.

use dockwood_daemon::pause_detector::{PAUSE_THRESHOLD_MS, PauseDetector};

const START: u64 = 3_600_000;

#[test]
fn a_process_that_runs_continuously_never_resumes() {
    let detector = PauseDetector::default();
    for turn in 0..100 {
        assert_eq!(detector.observe(START + turn * (PAUSE_THRESHOLD_MS - 1)), 0);
    }
    assert_eq!(detector.take_unreported_pause(), None);
}

#[test]
fn the_first_observation_after_a_pause_detects_its_end_and_duration() {
    let detector = PauseDetector::default();
    detector.observe(START);
    let resumed_at = START + 2_000;
    assert_eq!(detector.observe(resumed_at), resumed_at);
    assert_eq!(detector.observe(resumed_at + 1), resumed_at, "the end of the pause was not kept");
    assert_eq!(detector.take_unreported_pause(), Some(2_000));
    assert_eq!(detector.take_unreported_pause(), None, "the pause was reported twice");
}

#[test]
fn each_pause_is_detected() {
    let detector = PauseDetector::default();
    detector.observe(START);
    detector.observe(START + 1_000);
    assert_eq!(detector.observe(START + 2_000), START + 2_000);
}

/// Threads read the clock before they record the observation, so that observations may arrive out of order.
#[test]
fn a_late_observation_changes_nothing() {
    let detector = PauseDetector::default();
    detector.observe(START + 100);
    assert_eq!(detector.observe(START), 0);
    assert_eq!(detector.observe(START + 100 + PAUSE_THRESHOLD_MS - 1), 0);
}

#[tokio::test]
async fn a_waiter_is_notified_of_a_pause() {
    let detector = PauseDetector::default();
    detector.observe(START);
    detector.observe(START + PAUSE_THRESHOLD_MS);
    detector.resumed().await;
}
