//! One entry within this process, with tables that the test publishes itself, so that each step happens at a known moment.

mod entry;
mod evacuation;
mod limits;
mod pushback;
mod scripted_server;
