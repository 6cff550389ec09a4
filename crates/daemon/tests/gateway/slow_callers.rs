//! Callers that read large responses slowly: what an entry holds for them does not grow with the responses.

use super::planned_stop::{Caller, RESPONSE_BYTES, with_large_responses};
use std::io::Result;
use std::time::Duration;

const CALLERS: usize = 24;
/// Maximum growth of an entry's memory; the responses together are four times as large.
const MAX_GROWTH_BYTES: u64 = 48 << 20;
/// Time in which an entry that reads without regard to its callers has read all responses.
const READ_AHEAD_TIME: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_memory_of_an_entry_is_bounded_while_callers_read_slowly() -> Result<()> {
    let (fleet, _servers) = with_large_responses().await;
    let before = fleet.entries[0].resident_bytes();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = Caller::connect(fleet.frontend(0)).await?;
        caller.send(&format!("slow-{number}")).await?;
        caller.read_head().await?;
        callers.push(caller);
    }
    tokio::time::sleep(READ_AHEAD_TIME).await;
    let growth = fleet.entries[0].resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "the memory has grown by {growth} bytes");
    let reading = callers.into_iter().map(|mut caller| async move { caller.read_body().await });
    for received in futures::future::join_all(reading).await {
        assert_eq!(received, RESPONSE_BYTES);
    }
    Ok(())
}
