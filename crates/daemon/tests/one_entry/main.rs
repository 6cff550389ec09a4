//! Tests of one entry within the test process. The tests publish the tables themselves, so that each step happens at a
//! known time.

mod cut_off;
mod cut_off_soak;
mod entry;
mod evacuation;
mod large_responses;
mod limits;
mod pushback;
mod scripted_server;
mod silent_servers;
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
mod unframed_responses;
