//! The operator API: resources, status, evacuations and events.

use super::list_query::ListQuery;
use super::refusal::{self, HEADER_RESULT_CODE};
use super::request_body::{ExpectedBody, read_body};
use super::watch::watch_stream;
use super::{App, auth};
use crate::clock::wall_ms;
use crate::gateway::set_evacuation;
use crate::peer::{control_view, submit};
use crate::settings::OperatorRole;
use dockwood_api::digest::{content_digest, secret_digest};
use dockwood_api::error::ErrorBody;
use dockwood_api::resource::{API_VERSION, Kind, Resource, ResourceKey, ResourceView, Spec, parse_resource};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::{ChangeAction, ChangeRequest, Command, CommandBody, Outcome, State, view};
use poem::http::StatusCode;
use poem::web::{Data, Path, Query};
use poem::{Body, Request, Response, handler};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::str::FromStr;
use std::time::Duration;

/// Header with the operator's change id.
const HEADER_CHANGE_ID: &str = "change-id";
/// Maximum length of a change id.
const MAX_CHANGE_ID_BYTES: usize = 128;
/// Maximum size of a resource, in bytes.
const MAX_RESOURCE_BYTES: usize = 1 << 20;
/// A resource is held as the bytes that were received and as what is decoded from them.
const RESOURCE_COPIES: usize = 2;
/// Time limit to commit a change.
pub(super) const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit to apply a committed change at this daemon, so that the operator can read it back.
pub(super) const READ_OWN_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the leader's view.
const VIEW_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct ChangeQuery {
    dry_run: bool,
    resource_version: u64,
}

pub(super) fn respond(app: &App, result: Result<Response, ApiError>) -> Response {
    result.unwrap_or_else(|error| refusal::operator_error(app, &error))
}

pub(super) fn json_response(status: StatusCode, code: ResultCode, body: &impl Serialize) -> Response {
    Response::builder()
        .status(status)
        .header(HEADER_RESULT_CODE, code.number().to_string())
        .content_type("application/json")
        .body(serde_json::to_vec(body).unwrap_or_default())
}

fn query<T: for<'de> Deserialize<'de>>(request: &Request) -> Result<T, ApiError> {
    let parsed = request.params::<T>();
    parsed.map_err(|error| ApiError::new(ResultCode::BadQuery, error.to_string()))
}

/// `GET /api/v1/{kind}`: returns a page of resources, or watches them.
#[handler]
pub fn list_resources(Data(app): Data<&App>, request: &Request, Path(kind): Path<String>) -> Response {
    respond(app, list_or_watch(app, request, &kind))
}

fn list_or_watch(app: &App, request: &Request, kind: &str) -> Result<Response, ApiError> {
    auth::authorize_operator(app, request, OperatorRole::Read)?;
    let kind = Kind::from_str(kind)?;
    let query: ListQuery = query(request)?;
    let selector = query.selector()?;
    if query.watch {
        let lines = watch_stream(app.shared.clone(), kind, selector, query.resource_version)?;
        return Ok(Response::builder()
            .content_type("application/x-ndjson")
            .body(Body::from_bytes_stream(lines)));
    }
    let limit = query.page_limit()?;
    let published = app.shared.published();
    let tables = &published.tables;
    let after = query.r#continue.unwrap_or_default();
    let names = view::names(tables, kind).into_iter().filter(|name| *name > after);
    let views = names
        .filter_map(|name| view::view(tables, published.in_force_revision, &ResourceKey::new(kind, name)));
    let mut selected = views.filter(|view| selector.matches(&view.metadata));
    let items: Vec<ResourceView> = selected.by_ref().take(limit).collect();
    let has_more = selected.next().is_some();
    let next = items.last().filter(|_| has_more).map(|view| view.metadata.name.clone());
    let body = json!({
        "apiVersion": API_VERSION, "kind": format!("{kind}List"), "resourceVersion": tables.revision,
        "continue": next, "items": items,
    });
    Ok(json_response(StatusCode::OK, ResultCode::Ok, &body))
}

/// `GET /api/v1/{kind}/{name}`: returns a resource.
#[handler]
pub fn read_resource(
    Data(app): Data<&App>,
    request: &Request,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    let result = auth::authorize_operator(app, request, OperatorRole::Read).and_then(|()| {
        let key = ResourceKey::new(Kind::from_str(&kind)?, name);
        let published = app.shared.published();
        let view = view::view(&published.tables, published.in_force_revision, &key);
        view.ok_or_else(|| ApiError::new(ResultCode::NotFound, format!("{key} does not exist")))
    });
    respond(app, result.map(|view| json_response(StatusCode::OK, ResultCode::Ok, &view)))
}

/// `POST /api/v1/{kind}`: creates a resource.
#[handler]
pub async fn create_resource(
    Data(app): Data<&App>,
    request: &Request,
    Path(kind): Path<String>,
    body: Body,
) -> Response {
    respond(app, change(app, request, &kind, None, body, ChangeAction::Create).await)
}

/// `PUT /api/v1/{kind}/{name}`: replaces the version given in the body. Without a version, creates or replaces.
#[handler]
pub async fn replace_resource(
    Data(app): Data<&App>,
    request: &Request,
    Path((kind, name)): Path<(String, String)>,
    body: Body,
) -> Response {
    let action = |resource: Resource| match resource.metadata.resource_version {
        0 => ChangeAction::Apply(resource),
        _ => ChangeAction::Update(resource),
    };
    respond(app, change(app, request, &kind, Some(&name), body, action).await)
}

/// `DELETE /api/v1/{kind}/{name}`: deletes a resource.
#[handler]
pub async fn delete_resource(
    Data(app): Data<&App>,
    request: &Request,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<ChangeQuery>,
) -> Response {
    let result = async {
        auth::authorize_operator(app, request, OperatorRole::Write)?;
        let kind = writable(&kind)?;
        let key = ResourceKey::new(kind, name);
        let action = ChangeAction::Delete { key, resource_version: query.resource_version };
        commit(app, request, action, query.dry_run).await
    };
    respond(app, result.await)
}

fn writable(kind: &str) -> Result<Kind, ApiError> {
    let kind = Kind::from_str(kind)?;
    if kind.is_writable() {
        return Ok(kind);
    }
    Err(ApiError::new(ResultCode::ReadOnlyKind, format!("{kind} is written by dockwood alone")))
}

async fn change(
    app: &App,
    request: &Request,
    kind: &str,
    name: Option<&str>,
    body: Body,
    action: impl FnOnce(Resource) -> ChangeAction,
) -> Result<Response, ApiError> {
    auth::authorize_operator(app, request, OperatorRole::Write)?;
    let kind = writable(kind)?;
    let query: ChangeQuery = query(request)?;
    let expected = ExpectedBody {
        max_bytes: MAX_RESOURCE_BYTES,
        copies: RESOURCE_COPIES,
        unreadable: ResultCode::BadResource,
        // A change that is sent again is recognized by its change id.
        may_have_run: false,
    };
    let bytes = read_body(app, body, expected).await?;
    let mut resource = parse_resource(&bytes)?;
    let key = resource.key();
    if key.kind != kind || name.is_some_and(|name| name != key.name) {
        let message = format!("the path names {kind} {}, the body {key}", name.unwrap_or(""));
        return Err(ApiError::new(ResultCode::NameMismatch, message));
    }
    hash_tenant_keys(&mut resource);
    commit(app, request, action(resource), query.dry_run).await
}

/// Replaces tenant keys by their digests: only the digests are stored.
fn hash_tenant_keys(resource: &mut Resource) {
    if let Spec::Tenant(spec) = &mut resource.spec {
        spec.keys = spec.keys.iter().map(|key| secret_digest(key)).collect();
    }
}

async fn commit(
    app: &App,
    request: &Request,
    action: ChangeAction,
    dry_run: bool,
) -> Result<Response, ApiError> {
    let change_id = change_id(request)?;
    let content = postcard::to_stdvec(&action).unwrap_or_default();
    let body =
        CommandBody::Change(ChangeRequest { change_id, content_digest: content_digest(&content), action });
    if dry_run {
        return Ok(change_response(app, dry_run_outcome(app, body)));
    }
    let (revision, outcome) = submit(&app.shared, body, CHANGE_TIMEOUT).await?;
    app.shared.wait_for_revision(revision, READ_OWN_WRITE_TIMEOUT).await;
    Ok(change_response(app, outcome))
}

fn change_id(request: &Request) -> Result<String, ApiError> {
    match request.header(HEADER_CHANGE_ID) {
        None => Ok(ulid::Ulid::new().to_string()),
        Some(id) if !id.is_empty() && id.len() <= MAX_CHANGE_ID_BYTES => Ok(id.to_string()),
        Some(_) => {
            let message = format!("Change-Id: 1 to {MAX_CHANGE_ID_BYTES} characters");
            Err(ApiError::new(ResultCode::BadQuery, message))
        }
    }
}

/// Applies a change to a copy of the state, and returns its outcome.
fn dry_run_outcome(app: &App, body: CommandBody) -> Outcome {
    let mut copy = State { tables: app.shared.tables().as_ref().clone(), ..State::default() };
    copy.apply(&Command { at_ms: wall_ms(), body }).outcome
}

fn change_response(app: &App, outcome: Outcome) -> Response {
    match outcome {
        Outcome::Resent(first) => {
            let mut response = change_response(app, *first);
            if response.status().is_success()
                && let Ok(code) = ResultCode::Resent.number().to_string().parse()
            {
                response.headers_mut().insert(HEADER_RESULT_CODE, code);
            }
            response
        }
        Outcome::Stored { resource, changed } => {
            let published = app.shared.published();
            let view = view::view_of_stored(&published.tables, published.in_force_revision, &resource);
            let (status, code) = match (changed, resource.metadata.generation) {
                (true, 1) => (StatusCode::CREATED, ResultCode::Accepted),
                (true, _) => (StatusCode::OK, ResultCode::Accepted),
                (false, _) => (StatusCode::OK, ResultCode::Ok),
            };
            json_response(status, code, &view)
        }
        Outcome::Deleted(key) => {
            let body = json!({ "deleted": key.to_string() });
            json_response(StatusCode::OK, ResultCode::Accepted, &body)
        }
        Outcome::Conflict(current) => {
            let published = app.shared.published();
            let message = format!("the resource is at resourceVersion {}", current.metadata.resource_version);
            let error = ApiError::new(ResultCode::Conflict, message);
            let mut body = ErrorBody::new(&error);
            let view = view::view_of_stored(&published.tables, published.in_force_revision, &current);
            body.error.current = serde_json::to_value(view).ok();
            app.shared.metrics.operator_refusals.with_label_values(&["4005"]).inc();
            refusal::error_response(error.code(), &body)
        }
        Outcome::Refused(error) => refusal::operator_error(app, &error),
        Outcome::Applied | Outcome::Claims(_) => refusal::operator_error(
            app,
            &ApiError::new(ResultCode::ProposalDropped, "the log gave no answer"),
        ),
    }
}

/// `GET /api/v1/status`: the control leader's view of the system.
#[handler]
pub async fn read_status(Data(app): Data<&App>, request: &Request) -> Response {
    let result = async {
        auth::authorize_operator(app, request, OperatorRole::Read)?;
        control_view(&app.shared, VIEW_TIMEOUT).await
    };
    let json_view = |view: Vec<u8>| Response::builder().content_type("application/json").body(view);
    respond(app, result.await.map(json_view))
}

/// `PUT /api/v1/evacuations/{zone}`: evacuates a zone, so that its servers receive no requests.
#[handler]
pub async fn evacuate_zone(Data(app): Data<&App>, request: &Request, Path(zone): Path<String>) -> Response {
    respond(app, change_evacuation(app, request, zone, true).await)
}

/// `DELETE /api/v1/evacuations/{zone}`: ends the evacuation of a zone, so that its servers receive requests again.
#[handler]
pub async fn withdraw_evacuation(
    Data(app): Data<&App>,
    request: &Request,
    Path(zone): Path<String>,
) -> Response {
    respond(app, change_evacuation(app, request, zone, false).await)
}

async fn change_evacuation(
    app: &App,
    request: &Request,
    zone: String,
    evacuated: bool,
) -> Result<Response, ApiError> {
    auth::authorize_operator(app, request, OperatorRole::Write)?;
    let body = json!({ "zone": zone, "evacuated": evacuated });
    set_evacuation(&app.shared, zone, evacuated, CHANGE_TIMEOUT).await?;
    Ok(json_response(StatusCode::OK, ResultCode::Accepted, &body))
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct EventsQuery {
    after: u64,
}

/// `GET /api/v1/events`: the events recorded at this daemon.
#[handler]
pub fn list_events(Data(app): Data<&App>, request: &Request) -> Response {
    let result = auth::authorize_operator(app, request, OperatorRole::Read)
        .and_then(|()| query::<EventsQuery>(request));
    respond(
        app,
        result.map(|query| {
            let items = app.shared.timeline.since(query.after);
            json_response(StatusCode::OK, ResultCode::Ok, &json!({ "kind": "EventList", "items": items }))
        }),
    )
}
