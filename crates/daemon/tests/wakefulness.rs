//! A process that stood still, by a clock that jumps.

use dockwood_daemon::wakefulness::{STOOD_STILL_MS, Wakefulness};

const START: u64 = 3_600_000;

#[test]
fn a_process_that_runs_without_a_break_never_wakes() {
    let wakefulness = Wakefulness::default();
    for turn in 0..100 {
        assert_eq!(wakefulness.observe(START + turn * (STOOD_STILL_MS - 1)), 0);
    }
    assert_eq!(wakefulness.take_untold(), None);
}

#[test]
fn the_first_look_after_a_jump_tells_when_it_woke_and_for_how_long_it_stood_still() {
    let wakefulness = Wakefulness::default();
    wakefulness.observe(START);
    let woke_at = START + 2_000;
    assert_eq!(wakefulness.observe(woke_at), woke_at);
    assert_eq!(wakefulness.observe(woke_at + 1), woke_at, "it is remembered");
    assert_eq!(wakefulness.take_untold(), Some(2_000));
    assert_eq!(wakefulness.take_untold(), None, "it is told once");
}

#[test]
fn each_jump_counts() {
    let wakefulness = Wakefulness::default();
    wakefulness.observe(START);
    wakefulness.observe(START + 1_000);
    assert_eq!(wakefulness.observe(START + 2_000), START + 2_000);
}

/// Threads look at the clock and then at what was seen, in any order.
#[test]
fn a_look_that_comes_late_changes_nothing() {
    let wakefulness = Wakefulness::default();
    wakefulness.observe(START + 100);
    assert_eq!(wakefulness.observe(START), 0);
    assert_eq!(wakefulness.observe(START + 100 + STOOD_STILL_MS - 1), 0);
}

#[tokio::test]
async fn whoever_waits_is_told_of_a_jump() {
    let wakefulness = Wakefulness::default();
    wakefulness.observe(START);
    wakefulness.observe(START + STOOD_STILL_MS);
    wakefulness.woken().await;
}
