//! Operator endpoints for requests that crash servers: which requests are quarantined and why, and their release.

use super::operator::{CHANGE_TIMEOUT, READ_OWN_WRITE_TIMEOUT, json_response, respond};
use super::{App, auth};
use crate::clock::wall_ms;
use crate::peer::submit;
use crate::settings::OperatorRole;
use dockwood_api::gateway::Fingerprint;
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{
    CommandBody, CrashRow, Evidence, GatewayCommand, QuarantineRow, SuspicionStatus, SuspicionTable,
};
use poem::http::StatusCode;
use poem::web::{Data, Path};
use poem::{Request, Response, handler};
use serde_json::{Value, json};

/// `GET /api/v1/quarantine`: the requests under quarantine or on probation.
#[handler]
pub fn list_quarantine(Data(app): Data<&App>, request: &Request) -> Response {
    let result = auth::authorize_operator(app, request, OperatorRole::Read).map(|()| {
        let tables = app.shared.tables();
        let suspicion = &tables.gateway.suspicion;
        let now_ms = wall_ms();
        let items: Vec<Value> =
            suspicion.quarantined.values().map(|row| quarantine_json(row, now_ms)).collect();
        let body = json!({ "kind": "QuarantineList", "suspects": suspicion.suspect_count(), "items": items });
        json_response(StatusCode::OK, ResultCode::Ok, &body)
    });
    respond(app, result)
}

/// `GET /api/v1/quarantine/{fingerprint}`: the status of a request, and the server crashes attributed to it.
#[handler]
pub fn explain_request(Data(app): Data<&App>, request: &Request, Path(text): Path<String>) -> Response {
    let result = auth::authorize_operator(app, request, OperatorRole::Read).and_then(|()| {
        let fingerprint = parse_fingerprint(&text)?;
        let tables = app.shared.tables();
        let body = status_json(&tables.gateway.suspicion, fingerprint, wall_ms());
        Ok(json_response(StatusCode::OK, ResultCode::Ok, &body))
    });
    respond(app, result)
}

/// `DELETE /api/v1/quarantine/{fingerprint}`: releases a request and clears the evidence against it.
#[handler]
pub async fn release_request(Data(app): Data<&App>, request: &Request, Path(text): Path<String>) -> Response {
    respond(app, release(app, request, &text).await)
}

async fn release(app: &App, request: &Request, text: &str) -> Result<Response, ApiError> {
    auth::authorize_operator(app, request, OperatorRole::Write)?;
    let fingerprint = parse_fingerprint(text)?;
    let reason = format!("released by an operator at {}", app.shared.settings.name);
    let command = GatewayCommand::ClearRequest { fingerprint, reason };
    let (revision, _) = submit(&app.shared, CommandBody::Gateway(command), CHANGE_TIMEOUT).await?;
    app.shared.wait_for_revision(revision, READ_OWN_WRITE_TIMEOUT).await;
    let body = json!({ "fingerprint": text, "standing": "unsuspected" });
    Ok(json_response(StatusCode::OK, ResultCode::Accepted, &body))
}

fn parse_fingerprint(text: &str) -> Result<Fingerprint, ApiError> {
    let code = ResultCode::FingerprintMalformed;
    text.parse().map_err(|_| ApiError::new(code, code.meaning()))
}

fn quarantine_json(row: &QuarantineRow, now_ms: u64) -> Value {
    json!({
        "fingerprint": row.fingerprint.to_string(),
        "tenant": row.tenant,
        "route": row.route,
        "standing": if row.is_active(now_ms) { "quarantined" } else { "onProbation" },
        "sinceMs": row.since_ms,
        "untilMs": row.until_ms,
        "offences": row.offences,
        "evidence": row.evidence.iter().map(evidence_json).collect::<Vec<Value>>(),
    })
}

fn evidence_json(evidence: &Evidence) -> Value {
    let Evidence { instance, zone, at_ms, request, daemon } = evidence;
    json!({ "instance": instance, "zone": zone, "atMs": at_ms, "request": request, "toldBy": daemon })
}

fn status_json(suspicion: &SuspicionTable, fingerprint: Fingerprint, now_ms: u64) -> Value {
    if let Some(row) = suspicion.quarantined.get(&fingerprint) {
        return quarantine_json(row, now_ms);
    }
    let crashes = suspicion.attributed_crashes(fingerprint);
    let evidence = crashes.iter().filter_map(|row| crash_json(row, fingerprint)).collect::<Vec<Value>>();
    let standing = match suspicion.status(fingerprint, now_ms) {
        SuspicionStatus::Unsuspected => "unsuspected",
        SuspicionStatus::Suspect => "suspect",
        SuspicionStatus::Quarantined => "quarantined",
    };
    json!({ "fingerprint": fingerprint.to_string(), "standing": standing, "evidence": evidence })
}

fn crash_json(row: &CrashRow, fingerprint: Fingerprint) -> Option<Value> {
    let suspect = row.suspect(fingerprint)?;
    Some(json!({
        "instance": row.instance, "zone": row.zone, "atMs": row.at_ms, "request": suspect.tried.request,
        "toldBy": suspect.daemon, "otherSuspects": row.suspects.len() - 1,
    }))
}
