//! Operator endpoints for requests and parts of prompts that crash servers: which are quarantined and why, and their
//! release.

use super::operator::{CHANGE_TIMEOUT, READ_OWN_WRITE_TIMEOUT, json_response, respond};
use super::{App, auth};
use crate::clock::wall_ms;
use crate::peer::submit;
use crate::settings::OperatorRole;
use dockwood_api::gateway::{Fingerprint, PartSet, PromptPart};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{
    CommandBody, CrashRow, Evidence, GatewayCommand, PartQuarantineRow, PromptSuspicionTable, QuarantineRow,
    SuspicionStatus, SuspicionTable,
};
use poem::http::StatusCode;
use poem::web::{Data, Path};
use poem::{Request, Response, handler};
use serde_json::{Value, json};

/// `GET /api/v1/quarantine`: the requests and the parts of prompts under quarantine or on probation.
#[handler]
pub fn list_quarantine(Data(app): Data<&App>, request: &Request) -> Response {
    let result = auth::authorize_operator(app, request, OperatorRole::Read).map(|()| {
        let tables = app.shared.tables();
        let (suspicion, prompt_suspicion) = (&tables.gateway.suspicion, &tables.gateway.prompt_suspicion);
        let now_ms = wall_ms();
        let items: Vec<Value> =
            suspicion.quarantined.values().map(|row| quarantine_json(row, now_ms)).collect();
        let parts: Vec<Value> =
            prompt_suspicion.quarantined.values().map(|row| part_quarantine_json(row, now_ms)).collect();
        let body = json!({
            "kind": "QuarantineList", "suspects": suspicion.suspect_count(), "items": items,
            "suspectedParts": prompt_suspicion.suspected_parts().count(), "parts": parts,
        });
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

/// `GET /api/v1/quarantine/parts/{part}`: the status of a part of prompts, and the server crashes in which it is suspected.
#[handler]
pub fn explain_part(Data(app): Data<&App>, request: &Request, Path(name): Path<String>) -> Response {
    let result = auth::authorize_operator(app, request, OperatorRole::Read).map(|()| {
        let tables = app.shared.tables();
        let body = part_status_json(&tables.gateway.prompt_suspicion, &PartSet::from_text(&name), wall_ms());
        json_response(StatusCode::OK, ResultCode::Ok, &body)
    });
    respond(app, result)
}

/// `DELETE /api/v1/quarantine/parts/{part}`: releases a part of prompts and clears the evidence against it.
#[handler]
pub async fn release_part(Data(app): Data<&App>, request: &Request, Path(name): Path<String>) -> Response {
    let parts = PartSet::from_text(&name);
    let reason = release_reason(app);
    let body = json!({ "part": parts.to_string(), "standing": "unsuspected" });
    let command = GatewayCommand::ReleaseParts { parts, reason };
    respond(app, submit_release(app, request, command, &body).await)
}

fn release_reason(app: &App) -> String {
    format!("released by an operator at {}", app.shared.settings.name)
}

async fn submit_release(
    app: &App,
    request: &Request,
    command: GatewayCommand,
    body: &Value,
) -> Result<Response, ApiError> {
    auth::authorize_operator(app, request, OperatorRole::Write)?;
    let (revision, _) = submit(&app.shared, CommandBody::Gateway(command), CHANGE_TIMEOUT).await?;
    app.shared.wait_for_revision(revision, READ_OWN_WRITE_TIMEOUT).await;
    Ok(json_response(StatusCode::OK, ResultCode::Accepted, body))
}

async fn release(app: &App, request: &Request, text: &str) -> Result<Response, ApiError> {
    auth::authorize_operator(app, request, OperatorRole::Write)?;
    let fingerprint = parse_fingerprint(text)?;
    let command = GatewayCommand::ClearRequest { fingerprint, reason: release_reason(app) };
    let body = json!({ "fingerprint": text, "standing": "unsuspected" });
    submit_release(app, request, command, &body).await
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
        "standing": quarantine_standing(row.period.is_active(now_ms)),
        "sinceMs": row.period.since_ms,
        "untilMs": row.period.until_ms,
        "offences": row.period.offences,
        "evidence": row.evidence.iter().map(evidence_json).collect::<Vec<Value>>(),
    })
}

fn quarantine_standing(is_active: bool) -> &'static str {
    if is_active { "quarantined" } else { "onProbation" }
}

fn part_quarantine_json(row: &PartQuarantineRow, now_ms: u64) -> Value {
    json!({
        "part": row.parts.to_string(),
        "standing": quarantine_standing(row.period.is_active(now_ms)),
        "sinceMs": row.period.since_ms,
        "untilMs": row.period.until_ms,
        "offences": row.period.offences,
        "crashes": row.crashes,
        "responses": row.responses,
        "evidence": row.evidence.iter().map(evidence_json).collect::<Vec<Value>>(),
    })
}

fn part_status_json(suspicion: &PromptSuspicionTable, parts: &PartSet, now_ms: u64) -> Value {
    if let Some(row) = suspicion.quarantined.get(parts) {
        return part_quarantine_json(row, now_ms);
    }
    let against: Vec<Value> = parts.parts().iter().map(|part| suspected_part_json(suspicion, part)).collect();
    let is_suspected = parts.parts().iter().any(|part| suspicion.crashes_involving(part).next().is_some());
    let standing = if is_suspected { "suspect" } else { "unsuspected" };
    json!({ "part": parts.to_string(), "standing": standing, "suspected": against })
}

/// What the crashes of servers say against one part.
fn suspected_part_json(suspicion: &PromptSuspicionTable, part: &PromptPart) -> Value {
    let crashes = suspicion.crashes_involving(part).map(|row| row.evidence_against(part));
    let evidence: Vec<Value> = crashes.map(|evidence| evidence_json(&evidence)).collect();
    let found = suspicion.evidence_against(part, u64::MAX);
    json!({
        "part": part.as_str(), "evidence": evidence, "crashes": found.crashes,
        "consecutiveCrashes": found.consecutive, "attempts": found.attempts, "requests": found.requests,
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
