//! Clients that exceed what they may send: many at once that stop in the middle, or that send far too much. Daemons run as
//! processes with the limits of the smallest machine. Checked is only what does not depend on the machine's speed: that each
//! process lives, that its memory and its descriptors stay below those limits, and that an ordinary request is answered.

#[allow(dead_code, unused_imports, reason = "shared with the tests of the gateway, which use all of it")]
#[path = "../gateway/behavior.rs"]
mod behavior;
mod crowd;
#[allow(dead_code, unused_imports, reason = "shared with the tests of the gateway, which use all of it")]
#[path = "../gateway/event_stream.rs"]
mod event_stream;
#[allow(dead_code, unused_imports, reason = "shared with the tests of the gateway, which use all of it")]
#[path = "../gateway/fixture/mod.rs"]
mod fixture;
mod queued_bytes;
#[allow(dead_code, unused_imports, reason = "shared with the tests of the gateway, which use all of it")]
#[path = "../gateway/servers.rs"]
mod servers;
mod withstanding;

use crowd::Script;
use servers::Behavior;
use tokio::sync::Mutex;
use withstanding::{Listener, SmallFleet};
use yare::parameterized;

/// Held during each test, so that no other one uses the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Maximum size of a body in the tests' configuration.
const MAX_BODY_BYTES: usize = 2 << 20;
/// Number of clients whose bodies of that size are larger together than the memory of a process.
const LARGE_BODIES: usize = 80;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
const SMALL_CHUNK_BYTES: usize = 64;
/// A body of this size is part of the way.
const PART_BYTES: usize = 128 << 10;
/// Number of clients whose parts are larger together than the memory of a process.
const PARTS: usize = 1_200;
/// Size of a body that is far above the limit.
const EXCESSIVE_BYTES: usize = 12 << 20;
/// Larger than any head that a listener needs, and than the default of the HTTP library.
const HEAD_BYTES: usize = 390_000;
const LARGE_HEADS: usize = 400;
/// Just within the limit of the frontend.
const ALLOWED_HEAD_BYTES: usize = 16_000;
const ALLOWED_HEADS: usize = 2_600;
/// Larger than a part of a configuration, and within the operators' limit.
const OPERATOR_BODY_BYTES: usize = 7 << 20;
const OPERATOR_BODIES: usize = 24;
const FRAME_BYTES: usize = 4 << 20;
const FRAMES: usize = 40;

const REQUEST: &str = "POST /plain/1 HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\n\
     dockwood-attempt: crowd\r\ndockwood-model: m\r\n";
const OPERATOR_CALL: &str = "PUT /v1/gateway/configuration HTTP/1.1\r\nhost: h\r\n";
const CHAT_REQUEST: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n";
const SERVICE_CALL: &str = "POST /services/board/x HTTP/1.1\r\nhost: h\r\n";

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.unwrap_or_else(|error| panic!("{error}"));
    runtime.block_on(async {
        let _alone = ONE_AT_A_TIME.lock().await;
        test.await
    })
}

async fn assert_withstands(listener: Listener, clients: usize, script: Script) {
    let mut fleet = SmallFleet::start().await;
    fleet.assert_withstands(listener, clients, script).await;
}

#[parameterized(
    large_chunks_without_an_end = { Script::open_chunks(REQUEST, LARGE_CHUNK_BYTES, MAX_BODY_BYTES - LARGE_CHUNK_BYTES), LARGE_BODIES },
    small_chunks_without_an_end = { Script::open_chunks(REQUEST, SMALL_CHUNK_BYTES, MAX_BODY_BYTES - LARGE_CHUNK_BYTES), LARGE_BODIES },
    announced_without_the_last_byte = { Script::announced(REQUEST, MAX_BODY_BYTES, 1), LARGE_BODIES },
    parts = { Script::open_chunks(REQUEST, LARGE_CHUNK_BYTES, PART_BYTES), PARTS },
    excessive_and_unannounced = { Script::open_chunks(REQUEST, LARGE_CHUNK_BYTES, EXCESSIVE_BYTES), LARGE_BODIES },
)]
fn bodies_of_requests(script: Script, clients: usize) {
    run(assert_withstands(Listener::Frontend, clients, script));
}

#[test]
fn whole_requests_at_a_server_that_does_not_respond() {
    run(async {
        let mut fleet = SmallFleet::start().await;
        fleet.server.set_behavior(Behavior::NeverResponds);
        let script = Script::announced(REQUEST, MAX_BODY_BYTES, 0);
        let crowd = fleet.send(Listener::Frontend, LARGE_BODIES, script).await;
        fleet.server.set_behavior(Behavior::Normal);
        fleet.assert_serves(Listener::Frontend).await;
        fleet.assert_sound();
        drop(crowd);
    });
}

#[parameterized(
    frontend = { Listener::Frontend, ALLOWED_HEAD_BYTES, ALLOWED_HEADS },
    directory = { Listener::Directory, HEAD_BYTES, LARGE_HEADS },
    readiness = { Listener::Readiness, HEAD_BYTES, LARGE_HEADS },
    operators = { Listener::Operators, HEAD_BYTES, LARGE_HEADS },
    resource_api = { Listener::ResourceApi, HEAD_BYTES, LARGE_HEADS },
)]
fn heads_without_an_end(listener: Listener, bytes: usize, clients: usize) {
    run(assert_withstands(listener, clients, Script::endless_head(bytes)));
}

#[parameterized(
    large_chunks = { Script::open_chunks(OPERATOR_CALL, LARGE_CHUNK_BYTES, OPERATOR_BODY_BYTES) },
    announced = { Script::announced(OPERATOR_CALL, OPERATOR_BODY_BYTES, 1) },
)]
fn bodies_of_operators_calls(script: Script) {
    run(assert_withstands(Listener::Operators, OPERATOR_BODIES, script));
}

#[parameterized(
    chat = { Script::open_chunks(CHAT_REQUEST, LARGE_CHUNK_BYTES, MAX_BODY_BYTES), LARGE_BODIES },
    service = { Script::announced(SERVICE_CALL, 2 * PART_BYTES, PART_BYTES / 2), PARTS },
)]
fn bodies_without_a_key_at_the_resource_api(script: Script, clients: usize) {
    run(assert_withstands(Listener::ResourceApi, clients, script));
}

#[test]
fn frames_between_daemons() {
    run(assert_withstands(Listener::Peer, FRAMES, Script::incomplete_frame(FRAME_BYTES)));
}

#[parameterized(
    frontend = { Listener::Frontend },
    directory = { Listener::Directory },
    readiness = { Listener::Readiness },
    operators = { Listener::Operators },
    resource_api = { Listener::ResourceApi },
)]
fn silent_connections(listener: Listener) {
    run(async {
        let mut fleet = SmallFleet::start_with_descriptors(withstanding::FEW_DESCRIPTORS).await;
        fleet.assert_withstands(listener, 2 * withstanding::FEW_DESCRIPTORS, Script::silent()).await;
    });
}
