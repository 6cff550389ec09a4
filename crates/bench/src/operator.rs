//! Client of the resource API: applies resources and reads the status of the fleet.

use crate::topology::OPERATOR_TOKEN;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Calls the resource API at the first daemon that answers.
#[derive(Clone, Debug)]
pub struct Operator {
    http: reqwest::Client,
    daemons: Vec<SocketAddr>,
}

impl Operator {
    /// Creates an operator for these daemons.
    pub fn new(daemons: Vec<SocketAddr>) -> Operator {
        Operator { http: reqwest::Client::new(), daemons }
    }

    /// Reads a path of the resource API from the first daemon that answers.
    pub async fn read(&self, path: &str) -> io::Result<Value> {
        let mut last_error = io::Error::other("no daemon is configured");
        for daemon in &self.daemons {
            match self.read_at(*daemon, path).await {
                Ok(value) => return Ok(value),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Reads a path from one daemon.
    pub async fn read_at(&self, daemon: SocketAddr, path: &str) -> io::Result<Value> {
        let request = self.http.get(format!("http://{daemon}/api/v1/{path}")).bearer_auth(OPERATOR_TOKEN);
        let response = request.timeout(CALL_TIMEOUT).send().await.map_err(io::Error::other)?;
        response.error_for_status().map_err(io::Error::other)?.json().await.map_err(io::Error::other)
    }

    /// Applies one resource. Retries with the same change id until a daemon accepts it.
    pub async fn apply(&self, resource: &Value) -> io::Result<Value> {
        let text =
            |pointer: &str| resource.pointer(pointer).and_then(Value::as_str).unwrap_or("").to_string();
        let (kind, name) = (text("/kind"), text("/metadata/name"));
        let change_id = ulid::Ulid::new().to_string();
        let mut last_error = io::Error::other("no daemon is configured");
        for daemon in self.daemons.iter().cycle().take(self.daemons.len() * 3) {
            let request = self
                .http
                .put(format!("http://{daemon}/api/v1/{kind}/{name}"))
                .bearer_auth(OPERATOR_TOKEN)
                .header("change-id", &change_id)
                .timeout(CALL_TIMEOUT)
                .json(resource);
            match request.send().await {
                Ok(response) if response.status().is_server_error() => {
                    last_error = io::Error::other(format!("{}", response.status()));
                }
                Ok(response) if response.status().is_success() => {
                    return response.json().await.map_err(io::Error::other);
                }
                Ok(response) => {
                    let body = response.text().await.unwrap_or_default();
                    return Err(io::Error::other(format!("{kind}/{name}: {body}")));
                }
                Err(error) => last_error = io::Error::other(error),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(last_error)
    }

    /// Applies resources in order; consecutive resources of one kind are applied concurrently.
    pub async fn apply_all(&self, resources: &[Value]) -> io::Result<()> {
        const MAX_CONCURRENT: usize = 32;
        let mut start = 0;
        while start < resources.len() {
            let kind = &resources[start]["kind"];
            let end = resources[start..]
                .iter()
                .position(|resource| &resource["kind"] != kind)
                .map_or(resources.len(), |n| start + n);
            let applying = resources[start..end].iter().map(|resource| self.apply(resource));
            let results: Vec<io::Result<Value>> = futures::StreamExt::collect(futures::StreamExt::buffered(
                futures::stream::iter(applying),
                MAX_CONCURRENT,
            ))
            .await;
            results.into_iter().collect::<io::Result<Vec<Value>>>()?;
            start = end;
        }
        Ok(())
    }

    /// Reads the control leader's view of the fleet.
    pub async fn status(&self) -> io::Result<Value> {
        self.read("status").await
    }

    /// Waits until `condition` holds for the leader's view; `what` describes it in the error.
    pub async fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> io::Result<()> {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        let waiting = async {
            loop {
                if self.status().await.is_ok_and(|status| condition(&status)) {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(limit, waiting).await;
        waited.map_err(|_| io::Error::other(format!("timed out after {limit:?} waiting until {what}")))
    }
}

/// Number of replicas that are serving according to the leader's view.
pub fn serving_replicas(status: &Value) -> usize {
    let replicas = status["replicas"].as_array().map(Vec::as_slice).unwrap_or_default();
    replicas.iter().filter(|replica| replica["serving"] == Value::Bool(true)).count()
}

/// Number of live daemons that hold a lease according to the leader's view.
pub fn live_daemons(status: &Value) -> usize {
    let daemons = status["daemons"].as_array().map(Vec::as_slice).unwrap_or_default();
    daemons
        .iter()
        .filter(|daemon| daemon["holdsLease"] == Value::Bool(true) && daemon["liveness"] == "Live")
        .count()
}
