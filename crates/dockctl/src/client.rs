//! HTTP client of the resource API. It tries the configured addresses in turn; all retries of a change carry the same
//! change id.

use crate::exit::CommandError;
use backon::{BackoffBuilder, ExponentialBuilder};
use dockwood_api::error::ErrorBody;
use dockwood_api::resource::{API_PREFIX, Kind, ResourceView};
use reqwest::{Method, StatusCode};
use serde_json::Value;
use std::time::Duration;

/// Time limit of a request to one daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Time limit for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Retries over all addresses after the first round has failed.
const MAX_RETRY_ROUNDS: usize = 3;

pub struct Client {
    http: reqwest::Client,
    servers: Vec<String>,
    token: String,
}

/// A request to the resource API, independent of the daemon that it is sent to.
struct Call<'a> {
    method: Method,
    path: &'a str,
    change_id: Option<&'a str>,
    body: Option<&'a ResourceView>,
}

impl Client {
    /// Creates a client for these daemons; addresses without a scheme are taken as HTTP.
    pub fn new(servers: Vec<String>, token: String) -> Result<Client, CommandError> {
        if servers.is_empty() {
            return Err(CommandError::Usage(
                "no daemon addresses; set --servers or DOCKWOOD_SERVERS".to_string(),
            ));
        }
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).build();
        let http = http.map_err(|error| CommandError::Usage(error.to_string()))?;
        let with_scheme =
            |server: String| if server.contains("://") { server } else { format!("http://{server}") };
        Ok(Client { http, servers: servers.into_iter().map(with_scheme).collect(), token })
    }

    /// URLs of the configured daemons.
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Reads a path below the API prefix from the first daemon that answers.
    pub async fn read(&self, path: &str) -> Result<Value, CommandError> {
        self.call(&Call { method: Method::GET, path, change_id: None, body: None }).await
    }

    /// Reads a path below the API prefix from one daemon, without retries.
    pub async fn read_from(&self, server: &str, path: &str) -> Result<Value, CommandError> {
        let call = Call { method: Method::GET, path, change_id: None, body: None };
        self.send_to(server, &call).await?
    }

    /// Reads one resource.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<ResourceView, CommandError> {
        let value = self.read(&format!("{}/{name}", kind.plural())).await?;
        serde_json::from_value(value).map_err(|error| CommandError::Malformed(error.to_string()))
    }

    /// Reads one resource, or `None` if it does not exist.
    pub async fn find(&self, kind: Kind, name: &str) -> Result<Option<ResourceView>, CommandError> {
        match self.get(kind, name).await {
            Ok(view) => Ok(Some(view)),
            Err(CommandError::Refused(body)) if body.error.code == 4004 => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads all resources of a kind that match a label selector, page by page.
    pub async fn list(&self, kind: Kind, selector: &str) -> Result<Vec<ResourceView>, CommandError> {
        let mut items = Vec::new();
        let mut after = String::new();
        loop {
            let path = format!("{}?continue={after}&labelSelector={selector}", kind.plural());
            let page = self.read(&path).await?;
            let page_items: Vec<ResourceView> = serde_json::from_value(page["items"].clone())
                .map_err(|error| CommandError::Malformed(error.to_string()))?;
            items.extend(page_items);
            match page["continue"].as_str() {
                Some(next) => after = next.to_string(),
                None => return Ok(items),
            }
        }
    }

    /// Creates or replaces a resource.
    pub async fn put(&self, resource: &ResourceView, dry_run: bool) -> Result<ResourceView, CommandError> {
        let path = format!("{}/{}?dryRun={dry_run}", resource.kind.plural(), resource.metadata.name);
        let change_id = ulid::Ulid::new().to_string();
        let call =
            Call { method: Method::PUT, path: &path, change_id: Some(&change_id), body: Some(resource) };
        let value = self.call(&call).await?;
        serde_json::from_value(value).map_err(|error| CommandError::Malformed(error.to_string()))
    }

    /// Deletes a resource.
    pub async fn delete(&self, kind: Kind, name: &str) -> Result<(), CommandError> {
        let path = format!("{}/{name}", kind.plural());
        let change_id = ulid::Ulid::new().to_string();
        let call = Call { method: Method::DELETE, path: &path, change_id: Some(&change_id), body: None };
        self.call(&call).await.map(|_| ())
    }

    /// Evacuates a zone, or ends its evacuation. There is no change id: the daemon that receives a retry evaluates
    /// it anew.
    pub async fn set_evacuation(&self, zone: &str, evacuated: bool) -> Result<(), CommandError> {
        let path = format!("evacuations/{zone}");
        let method = if evacuated { Method::PUT } else { Method::DELETE };
        self.call(&Call { method, path: &path, change_id: None, body: None }).await.map(|_| ())
    }

    /// Releases a request or a part of prompts from quarantine, by its path below the list.
    pub async fn release(&self, quarantined: &str) -> Result<(), CommandError> {
        let path = format!("quarantine/{quarantined}");
        let call = Call { method: Method::DELETE, path: &path, change_id: None, body: None };
        self.call(&call).await.map(|_| ())
    }

    /// Opens a watch stream at the first daemon that answers.
    pub async fn watch(&self, kind: Kind, from: Option<u64>) -> Result<reqwest::Response, CommandError> {
        let from = from.map(|revision| format!("&resourceVersion={revision}")).unwrap_or_default();
        let path = format!("{}?watch=true{from}", kind.plural());
        let mut last_error = CommandError::Unreachable("no daemon is configured".to_string());
        for server in &self.servers {
            let url = format!("{server}{API_PREFIX}/{path}");
            match self.http.get(url).bearer_auth(&self.token).send().await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => return Err(error_from_response(response).await),
                Err(error) => last_error = CommandError::Unreachable(error.to_string()),
            }
        }
        Err(last_error)
    }

    async fn call(&self, call: &Call<'_>) -> Result<Value, CommandError> {
        let mut delays = ExponentialBuilder::default().with_jitter().with_max_times(MAX_RETRY_ROUNDS).build();
        loop {
            let mut last_error = CommandError::Unreachable("no daemon is configured".to_string());
            for server in &self.servers {
                match self.send_to(server, call).await {
                    Ok(result) => return result,
                    Err(error) => last_error = error,
                }
            }
            match delays.next() {
                Some(delay) => tokio::time::sleep(delay).await,
                None => return Err(last_error),
            }
        }
    }

    /// Sends one request to one daemon. The outer error can be retried at another daemon, the inner one is final.
    async fn send_to(
        &self,
        server: &str,
        call: &Call<'_>,
    ) -> Result<Result<Value, CommandError>, CommandError> {
        let url = format!("{server}{API_PREFIX}/{}", call.path);
        let mut request =
            self.http.request(call.method.clone(), url).bearer_auth(&self.token).timeout(CALL_TIMEOUT);
        if let Some(change_id) = call.change_id {
            request = request.header("change-id", change_id);
        }
        if let Some(body) = call.body {
            request = request.json(body);
        }
        let response = request.send().await.map_err(|error| CommandError::Unreachable(error.to_string()))?;
        if response.status().is_success() {
            let value =
                response.json().await.map_err(|error| CommandError::Unreachable(error.to_string()))?;
            return Ok(Ok(value));
        }
        let status = response.status();
        let error = error_from_response(response).await;
        // Another daemon may know the leader. Retrying is safe because the change id makes changes idempotent.
        if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT {
            return Err(error);
        }
        Ok(Err(error))
    }
}

async fn error_from_response(response: reqwest::Response) -> CommandError {
    let status = response.status();
    match response.json::<ErrorBody>().await {
        Ok(body) => CommandError::Refused(Box::new(body)),
        Err(_) => CommandError::Malformed(format!("status {status}")),
    }
}
