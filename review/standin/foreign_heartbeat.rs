//! A heartbeat of another writer bears the id of a sound server and names a service that the configuration doesn't have.
//! Not a case: see REPORT.md. Exits with 1 if requests were refused after it, 0 if they were served.

mod fleet;

use fleet::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

const OBSERVED: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(50);

fn main() {
    let record = Record::create(&record_path());
    let fleet = Fleet::start();
    fleet.configure(&configuration(1, 1_000));
    let handler = Arc::new(move |request: &Request, stream: &mut TcpStream| {
        let head = answer_head(request, "i-1", 2);
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(b"ok")).is_ok()
    });
    let server = Server::start("i-1", "tablero", "sanjose", &fleet, 0, handler);
    server.wait_until_registered();
    fleet.wait_until_served(0, "GET", "/tarifa/1");
    if has_trouble() {
        let body = format!(
            "{{\"service\":\"nobody\",\"address\":\"{}\",\"zone\":\"sanjose\",\"slots\":6,\"state\":\"ready\",\"sequence\":1000000}}",
            server.address
        );
        let headers = [("Content-Type", "application/json")];
        let answer = call(fleet.control(0), "PUT", "/api/instances/i-1", &headers, body.as_bytes(), SECOND);
        record.line(&format!("another writer's heartbeat for i-1: status {}", answer.map_or(0, |answer| answer.status)));
    }
    let since = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while since.elapsed() < OBSERVED {
        let answer = fleet.ask(0, "GET", "/tarifa/1", "r-1", 900, b"");
        let is_served = answer.is_ok_and(|answer| answer.status == 200);
        served += u32::from(is_served);
        refused += u32::from(!is_served);
        std::thread::sleep(PAUSE);
    }
    record.line(&format!("in the {} s after it, {served} requests were served and {refused} were not", OBSERVED.as_secs()));
    drop(fleet);
    std::process::exit(i32::from(refused > served));
}
