//! A voter process whose files may not grow beyond a limit: writes beyond it are refused as on a full disk.

use reqwest::Client;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Maximum file size in units of 512 bytes.
const FILE_LIMIT_BLOCKS: usize = 2_048;
/// Generous time limit of what must succeed.
const LIMIT: Duration = Duration::from_secs(30);
/// Time in which a change that can't be stored must not be acknowledged.
const REFUSAL_TIME: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(50);

/// The only voter of a group.
struct Voter {
    settings: PathBuf,
    operators: SocketAddr,
    http: Client,
    process: Option<Child>,
}

impl Drop for Voter {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Voter {
    fn new(folder: &Path) -> Result<Voter> {
        let host = (std::process::id() % 250) as u8 + 1;
        let address = |port: u16| SocketAddr::from(([127, 93, host, 1], port));
        let settings = json!({
            "name": "voter", "region": "r", "zone": "z",
            "listen": { "peer": address(7_100), "http": address(7_101) },
            "control": {
                "voters": [{ "id": 1, "name": "voter", "peer": address(7_100) }],
                "dataFolder": folder.join("data"),
            },
            "gateway": { "operators": address(7_200), "stallMs": 1_000, "stopLimitSeconds": 4, "zones": { "z": "r" } },
            "traffic": { "threads": 1 },
        });
        let path = folder.join("voter.yaml");
        std::fs::write(&path, settings.to_string())?;
        let http = Client::builder().pool_max_idle_per_host(0).build()?;
        Ok(Voter { settings: path, operators: address(7_200), http, process: None })
    }

    fn start(&mut self, file_limit: Option<usize>) -> Result<()> {
        let limit = file_limit.map_or("unlimited".to_string(), |blocks| blocks.to_string());
        let script = format!("trap '' XFSZ; ulimit -f {limit}; exec \"$0\" --settings \"$1\"");
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(script).arg(env!("CARGO_BIN_EXE_dockwoodd")).arg(&self.settings);
        self.process = Some(shell.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?);
        Ok(())
    }

    fn process(&mut self) -> Result<&mut Child> {
        Ok(self.process.as_mut().ok_or("not started")?)
    }

    /// Asks the process to end, and waits for that.
    async fn stop(&mut self) -> Result<ExitStatus> {
        let process = self.process()?;
        Command::new("kill").arg("-TERM").arg(process.id().to_string()).status()?;
        let started = Instant::now();
        while started.elapsed() < LIMIT {
            if let Some(status) = process.try_wait()? {
                self.process = None;
                return Ok(status);
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err("the process does not end".into())
    }

    fn url(&self) -> String {
        format!("http://{}/v1/gateway/configuration", self.operators)
    }

    /// Sends a configuration until it is acknowledged; false if that takes longer than `limit`.
    async fn configure(&self, configuration: &Value, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let call = self.http.put(self.url()).body(configuration.to_string()).timeout(limit);
            if call.send().await.is_ok_and(|answer| answer.status().is_success()) {
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    /// The version of the configuration that is read back.
    async fn version(&self) -> Result<Value> {
        let started = Instant::now();
        while started.elapsed() < LIMIT {
            let answer = self.http.get(self.url()).timeout(LIMIT).send().await;
            if let Ok(answer) = answer
                && answer.status().is_success()
            {
                let read: Value = serde_json::from_slice(&answer.bytes().await?)?;
                return Ok(read["version"].clone());
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err("the configuration is not read back".into())
    }
}

fn configuration(version: u64, routes: usize) -> Value {
    let route = |number: usize| {
        json!({
            "name": format!("route-{number}"), "host": "h.example", "path_prefix": format!("/v{version}/{number}/"),
            "kind": "Repeatable", "services": [{ "service": "board", "weight": 1 }], "timeout_ms": 20_000,
            "target_latency_ms": 400, "target_gap_ms": 0, "max_attempts": 2, "priority": 1, "anonymous": true,
            "resumable": false,
        })
    };
    json!({
        "version": version,
        "routes": (0..routes).map(route).collect::<Vec<Value>>(),
        "services": [{ "name": "board", "health_path": "/", "max_connections": 100, "engine": null }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000, "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000 },
        "tenants": [], "document": [],
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_without_room_for_its_log_goes_on_and_acknowledges_only_what_it_stored() -> Result<()> {
    const CHANGES: u64 = 12;
    const ROUTES: usize = 600;
    const TOO_MANY_ROUTES: usize = 6_000;
    let sent = configuration(1, ROUTES).to_string().len() * CHANGES as usize;
    assert!(sent > FILE_LIMIT_BLOCKS * 512, "the log would have room for {sent} bytes");
    let folder = TempDir::new()?;
    let mut voter = Voter::new(folder.path())?;
    voter.start(Some(FILE_LIMIT_BLOCKS))?;
    for version in 1..=CHANGES {
        assert!(voter.configure(&configuration(version, ROUTES), LIMIT).await, "version {version}");
    }
    assert_eq!(voter.version().await?, json!(CHANGES));
    let too_large = configuration(CHANGES + 1, TOO_MANY_ROUTES);
    assert!(!voter.configure(&too_large, REFUSAL_TIME).await, "acknowledged without being stored");
    assert_eq!(voter.process()?.try_wait()?, None, "the process ended by itself");
    assert!(voter.stop().await?.success(), "a full disk does not prevent a planned stop");
    voter.start(None)?;
    assert_eq!(voter.version().await?, json!(CHANGES));
    assert!(voter.configure(&too_large, LIMIT).await);
    Ok(())
}
