//! The admin port: the platform's list of machines, and fault injection.

use super::server::{listen, serve_until};
use crate::fleet::Fleet;
use crate::ledger::LedgerRecord;
use crate::machine::MachineStatus;
use crate::wall_ms;
use dockwood_api::engine::PlatformMachine;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Response, Route, get, handler, post};
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Step time of a slow machine, in percent of normal.
const SLOW_STEP_PERCENT: u64 = 500;

/// Changes of a machine's status, speed and shutdown announcement.
const MACHINE_CHANGES: &str = "kill restart start pause resume cut heal slow fast leave stay";
/// Changes of the pushback mode of a server; see `Pushback`.
const PUSHBACK_CHANGES: &str = "rest say-leaving limit-RATE serve";

/// Serves the admin port. The task never ends.
pub async fn serve_admin(fleet: Arc<Fleet>) -> std::io::Result<JoinHandle<()>> {
    let acceptor = listen(fleet.config.admin).await?;
    let routes = Route::new()
        .at("/platform/machines", get(list_machines))
        .at("/admin/machines/:name/:change", post(change_server))
        .data(fleet);
    Ok(tokio::spawn(serve_until(acceptor, routes, std::future::pending())))
}

#[handler]
async fn list_machines(Data(fleet): Data<&Arc<Fleet>>) -> Json<Vec<PlatformMachine>> {
    Json(fleet.platform.visible())
}

#[handler]
async fn change_server(
    Data(fleet): Data<&Arc<Fleet>>,
    Path((name, change)): Path<(String, String)>,
) -> Response {
    if let Some(pushback) = fleet.service_pushback.get(&name) {
        return match pushback.apply_change(&change) {
            true => record_change(fleet, name, change),
            false => unknown_change(&change, PUSHBACK_CHANGES),
        };
    }
    let Some(machine) = fleet.machines.get(&name) else {
        return Response::builder().status(StatusCode::NOT_FOUND).body(format!("no server '{name}'"));
    };
    match change.as_str() {
        "kill" => machine.set_status(MachineStatus::Stopped),
        "restart" => {
            machine.set_status(MachineStatus::Stopped);
            // The machine's server must notice the stop before the machine is started again.
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            machine.set_status(MachineStatus::Running);
        }
        "start" | "resume" | "heal" => machine.set_status(MachineStatus::Running),
        "pause" => machine.set_status(MachineStatus::Paused),
        "cut" => machine.set_status(MachineStatus::Disconnected),
        "slow" => machine.set_step_percent(SLOW_STEP_PERCENT),
        "fast" => machine.set_step_percent(100),
        "leave" => machine.set_leaving(true),
        "stay" => machine.set_leaving(false),
        _ if machine.pushback.apply_change(&change) => {}
        _ => return unknown_change(&change, &format!("{MACHINE_CHANGES} {PUSHBACK_CHANGES}")),
    }
    record_change(fleet, name, change)
}

fn record_change(fleet: &Fleet, server: String, change: String) -> Response {
    let record = LedgerRecord::MachineChanged { at_ms: wall_ms(), server, change };
    fleet.ledger.append(&record);
    Response::builder().status(StatusCode::NO_CONTENT).finish()
}

fn unknown_change(change: &str, known: &str) -> Response {
    let message = format!("no change '{change}'; there are: {known}");
    Response::builder().status(StatusCode::BAD_REQUEST).body(message)
}
