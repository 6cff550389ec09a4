//! The admin port: the platform's list, and faults on demand.

use super::server::{listen, serve_until};
use crate::fleet::Fleet;
use crate::ledger::LedgerRecord;
use crate::machine::Power;
use crate::wall_ms;
use dockwood_api::engine::PlatformMachine;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Response, Route, get, handler, post};
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Step time of a machine that was slowed down, in percent of normal.
const SLOW_PERCENT: u64 = 500;

/// Changes of a machine's power and pace.
const KNOWN_POWERS: &str = "kill restart start pause resume cut heal slow fast leave stay";
/// Changes of how a server treats requests; see `RequestManner`.
const KNOWN_MANNERS: &str = "rest say-leaving limit-RATE serve";

/// Serves the admin port for ever.
pub async fn serve_admin(fleet: Arc<Fleet>) -> std::io::Result<JoinHandle<()>> {
    let acceptor = listen(fleet.config.admin).await?;
    let routes = Route::new()
        .at("/platform/machines", get(machines))
        .at("/admin/machines/:name/:change", post(change))
        .data(fleet);
    Ok(tokio::spawn(serve_until(acceptor, routes, std::future::pending())))
}

#[handler]
async fn machines(Data(fleet): Data<&Arc<Fleet>>) -> Json<Vec<PlatformMachine>> {
    Json(fleet.platform.shown())
}

#[handler]
async fn change(Data(fleet): Data<&Arc<Fleet>>, Path((name, change)): Path<(String, String)>) -> Response {
    if let Some(server) = fleet.plain_servers.get(&name) {
        return match server.change(&change) {
            true => changed(fleet, name, change),
            false => unknown_change(&change, KNOWN_MANNERS),
        };
    }
    let Some(machine) = fleet.machines.get(&name) else {
        return Response::builder().status(StatusCode::NOT_FOUND).body(format!("no server '{name}'"));
    };
    match change.as_str() {
        "kill" => machine.set_power(Power::Off),
        "restart" => {
            machine.set_power(Power::Off);
            // The server must have seen the machine off before it is on again.
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            machine.set_power(Power::On);
        }
        "start" | "resume" | "heal" => machine.set_power(Power::On),
        "pause" => machine.set_power(Power::Paused),
        "cut" => machine.set_power(Power::Cut),
        "slow" => machine.set_slow(SLOW_PERCENT),
        "fast" => machine.set_slow(100),
        "leave" => machine.set_leaving(true),
        "stay" => machine.set_leaving(false),
        _ if machine.manner.change(&change) => {}
        _ => return unknown_change(&change, &format!("{KNOWN_POWERS} {KNOWN_MANNERS}")),
    }
    changed(fleet, name, change)
}

fn changed(fleet: &Fleet, server: String, made: String) -> Response {
    let record = LedgerRecord::MachineChanged { at_ms: wall_ms(), server, change: made };
    fleet.ledger.append(&record);
    Response::builder().status(StatusCode::NO_CONTENT).finish()
}

fn unknown_change(asked: &str, known: &str) -> Response {
    let message = format!("no change '{asked}'; there are: {known}");
    Response::builder().status(StatusCode::BAD_REQUEST).body(message)
}
