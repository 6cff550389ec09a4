//! The operator takes the last key away by removing the last tenant.

mod fleet;

use fleet::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const TIMEOUT_MS: u64 = 1_000;
/// `revoke_ms` of the settings is 5,000; requests are sent later than that after the acknowledgement.
const AFTER_ACKNOWLEDGEMENT: Duration = Duration::from_millis(6_000);
const REQUESTS: usize = 20;

fn main() {
    let record = Record::create(&record_path());
    let fleet = Fleet::start();
    let runs = Arc::new(AtomicU32::new(0));
    let (server_runs, server_record) = (runs.clone(), record.clone());
    let handler = Arc::new(move |request: &Request, stream: &mut TcpStream| {
        let id = request.header("x-attempt-id");
        if request.method == "POST" {
            server_runs.fetch_add(1, Ordering::SeqCst);
            server_record.line(&format!("server ran {id} for tenant '{}'", request.header("x-tenant")));
        }
        let body = vec![b'x'; 800];
        let answer = answer_head(request, "i-1", body.len());
        stream.write_all(answer.as_bytes()).and_then(|()| stream.write_all(&body)).is_ok()
    });
    let first = configuration(1, TIMEOUT_MS);
    fleet.configure(&first);
    let server = Server::start("i-1", "tablero", "sanjose", &fleet, 0, handler);
    server.wait_until_registered();
    (0..3).for_each(|machine| fleet.wait_until_served(machine, "GET", "/tarifa/1"));
    record.line("version 1 with tenant coop and its key key-1 is in force at all entries");
    let before = ask_all(&fleet, &record, "before", "key-1");
    record.line(&format!("{before} of {REQUESTS} requests with key-1 were served"));
    if before == 0 {
        could_not_run("nothing was served before the change");
    }
    let second = configuration(2, TIMEOUT_MS);
    if has_trouble() {
        let tenant = "{\"name\":\"coop\",\"api_keys\":[\"key-1\"],\"priority\":1}";
        fleet.configure(&second.replace(tenant, ""));
        record.line("version 2, \"tenants\":[], was acknowledged: key-1 is taken away");
    } else {
        fleet.configure(&second);
        record.line("version 2 with the same tenant and key was acknowledged");
    }
    std::thread::sleep(AFTER_ACKNOWLEDGEMENT);
    let before_runs = runs.load(Ordering::SeqCst);
    let served = ask_all(&fleet, &record, "after", "key-1");
    let ran = runs.load(Ordering::SeqCst) - before_runs;
    // Not judged: shows that any key passes then.
    let served_made_up = ask_all(&fleet, &record, "made-up", "key-that-no-configuration-held");
    record.line(&format!("{served_made_up} of {REQUESTS} requests with a key that no configuration ever held were served"));
    record.line(&format!("sent {} ms after the acknowledgement: {REQUESTS} requests with key-1, {ran} ran, {served} were served", AFTER_ACKNOWLEDGEMENT.as_millis()));
    drop(fleet);
    let is_broken = if has_trouble() { ran > 0 } else { ran == 0 };
    std::process::exit(i32::from(is_broken));
}

/// Sends requests that carry the key to all entries in turn; returns how many were answered with 200.
fn ask_all(fleet: &Fleet, record: &Record, name: &str, key: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let machine = (number % 3) as u8;
        let id = format!("{name}-{number}");
        let answer = fleet.ask_with_key(key, machine, "POST", "/estado/1", &id, TIMEOUT_MS, b"order");
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("caller sent {id} to {} with {key}: status {status}", fleet.entries[machine as usize].name));
        served += usize::from(status == 200);
    }
    served
}
