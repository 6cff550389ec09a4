//! Tests of one entry within the test process. The tests publish the tables themselves, so that each step happens at a
//! known time.

mod broken_heads;
mod broken_heads_of_calls;
mod cut_off;
mod cut_off_soak;
mod endless_responses;
mod entry;
mod evacuation;
mod head_cases;
mod large_responses;
mod limits;
mod log_capture;
mod pushback;
mod refusals;
mod scripted_server;
mod server_calls;
mod signed_responses;
mod stopped_clients;
mod stream_alternatives;
mod stream_caller;
mod stream_closed_groups;
mod stream_contention;
mod stream_fleet;
mod stream_server;
mod stream_soak;
mod stream_soak_checks;
mod streams;
mod tunnels;
mod unanswered;
mod unframed_responses;
mod unreadable_heads;
