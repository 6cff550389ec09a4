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
mod tunnels;
mod unframed_responses;
