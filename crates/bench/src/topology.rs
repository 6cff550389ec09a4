//! Layout of a fleet: daemons, machines, services and tenants, and the resources that declare them.

use dockwood_emulator::{EngineConfig, EngineModel, FleetConfig, ServiceConfig, ServiceServerConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

const HTTP_PORT: u16 = 7_000;
const PEER_PORT: u16 = 7_001;
const ENGINE_PORT: u16 = 8_000;
const SERVICE_PORT: u16 = 9_000;
const ADMIN_PORT: u16 = 9_900;

/// The operator token of every fleet that the bench starts.
pub const OPERATOR_TOKEN: &str = "bench-operator-token";

/// The user whose fleet is modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Taxi dispatch in valle-central.
    Unidos,
    /// Order checks in Prague.
    Brokerage,
}

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct Sizes {
    /// Number of daemons, spread over the zones.
    pub daemons: usize,
    /// Number of voters of the control group.
    pub voters: usize,
    /// Number of machines, spread over the fabric domains.
    pub servers: usize,
    /// Machines per fabric domain.
    pub domain_machines: usize,
    /// Machines per replica.
    pub machines_per_replica: usize,
    /// Number of servers of the plain service.
    pub plain_servers: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Throughput of the weight store, in MiB per second.
    pub store_mib_per_second: u64,
    /// Size of the model weights, in MiB.
    pub weights_mib: u64,
    /// One in this many machines does not check fences; 0 if all check them.
    pub unfenced_every: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes {
            daemons: 9,
            voters: 3,
            servers: 60,
            domain_machines: 10,
            machines_per_replica: 4,
            plain_servers: 3,
            tenants: 10,
            store_mib_per_second: 40_960,
            weights_mib: 8_192,
            unfenced_every: 5,
        }
    }
}

/// Resource names of a preset.
struct PresetNames {
    region: &'static str,
    zones: [&'static str; 3],
    model: &'static str,
    deployments: [&'static str; 2],
    service: &'static str,
}

fn preset_names(preset: Preset) -> PresetNames {
    match preset {
        Preset::Unidos => PresetNames {
            region: "valle-central",
            zones: ["sanjose", "heredia", "cartago"],
            model: "redactor",
            deployments: ["drafts", "summaries"],
            service: "tablero",
        },
        Preset::Brokerage => PresetNames {
            region: "prague",
            zones: ["sal-karlin", "sal-chodov", "sal-holesovice"],
            model: "modelova-farma",
            deployments: ["order-checks", "settlement"],
            service: "prikazova-brana",
        },
    }
}

/// A daemon of the fleet.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for peer daemons.
    pub peer: SocketAddr,
    /// Voter id, from 1, if it is a voter.
    pub voter: Option<u64>,
}

/// A tenant of the fleet.
#[derive(Clone, Debug)]
pub struct TenantPlan {
    /// Name.
    pub name: String,
    /// API key of its callers.
    pub key: String,
    /// Tier.
    pub tier: u8,
    /// Share of the load, from 0 to 1.
    pub share: f64,
}

/// A deployment of the fleet.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Name.
    pub name: String,
    /// Name of the model that callers request.
    pub model: String,
    /// Number of declared replicas.
    pub replicas: usize,
}

/// The layout of a whole fleet.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Preset.
    pub preset: Preset,
    /// Sizes.
    pub sizes: Sizes,
    /// Daemons.
    pub daemons: Vec<DaemonPlan>,
    /// Deployments.
    pub deployments: Vec<DeploymentPlan>,
    /// Tenants, largest first.
    pub tenants: Vec<TenantPlan>,
    /// Name of the plain service.
    pub service: String,
    /// Emulated machines and services.
    pub emulator: FleetConfig,
    /// Folder for settings, data, logs and the ledger.
    pub folder: PathBuf,
    region: String,
}

/// A loopback address of a run, in `127.NETWORK.0.0/16`.
fn loopback(network: u8, third: u8, fourth: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, third, fourth)), port)
}

/// A loopback network for this process; concurrent runs are unlikely to use the same one.
pub fn own_network() -> u8 {
    const FIRST: u32 = 16;
    const COUNT: u32 = 200;
    (FIRST + std::process::id() % COUNT) as u8
}

fn numbered(prefix: &str, index: usize) -> String {
    format!("{prefix}-{:02}", index + 1)
}

impl Topology {
    /// Creates the layout of a fleet.
    pub fn new(preset: Preset, sizes: Sizes, network: u8, folder: &Path) -> Topology {
        let names = preset_names(preset);
        let host = |index: usize, base: u8| (base + (index / 250) as u8, (index % 250 + 1) as u8);
        let daemons = (0..sizes.daemons)
            .map(|index| {
                let (third, fourth) = host(index, 1);
                DaemonPlan {
                    name: numbered("entry", index),
                    zone: names.zones[index % names.zones.len()].to_string(),
                    http: loopback(network, third, fourth, HTTP_PORT),
                    peer: loopback(network, third, fourth, PEER_PORT),
                    voter: (index < sizes.voters).then_some(index as u64 + 1),
                }
            })
            .collect();
        let engines: Vec<EngineConfig> = (0..sizes.servers)
            .map(|index| {
                let domain = index / sizes.domain_machines;
                let (third, fourth) = host(index, 10);
                EngineConfig {
                    name: numbered("machine", index),
                    address: loopback(network, third, fourth, ENGINE_PORT),
                    domain: numbered("domain", domain),
                    zone: names.zones[domain % names.zones.len()].to_string(),
                    checks_fences: sizes.unfenced_every == 0 || index % sizes.unfenced_every != 0,
                }
            })
            .collect();
        let service = ServiceConfig {
            name: names.service.to_string(),
            call_ms: 5,
            servers: (0..sizes.plain_servers)
                .map(|index| ServiceServerConfig {
                    name: numbered("plain", index),
                    address: loopback(network, 30, index as u8 + 1, SERVICE_PORT),
                    zone: names.zones[index % names.zones.len()].to_string(),
                })
                .collect(),
        };
        let emulator = FleetConfig {
            seed: 1,
            admin: loopback(network, 31, 1, ADMIN_PORT),
            ledger: folder.join("ledger.jsonl"),
            store_mib_per_second: sizes.store_mib_per_second,
            list_lag_ms: 1_500,
            model: EngineModel::default(),
            engines,
            services: vec![service],
        };
        let deployments = deployments(&names, &sizes);
        Topology {
            preset,
            sizes,
            daemons,
            deployments,
            tenants: tenants(sizes.tenants),
            service: names.service.to_string(),
            emulator,
            folder: folder.to_path_buf(),
            region: names.region.to_string(),
        }
    }

    /// The settings of one daemon, as YAML.
    pub fn settings(&self, daemon: &DaemonPlan) -> String {
        let voters: Vec<Value> = self
            .daemons
            .iter()
            .filter_map(|daemon| {
                daemon
                    .voter
                    .map(|id| json!({ "id": id, "name": daemon.name, "peer": daemon.peer.to_string() }))
            })
            .collect();
        let mut control = json!({ "voters": voters });
        if daemon.voter.is_some() {
            control["dataFolder"] = json!(self.folder.join("data").join(&daemon.name));
        }
        let settings = json!({
            "name": daemon.name, "region": self.region, "zone": daemon.zone,
            "listen": { "http": daemon.http.to_string(), "peer": daemon.peer.to_string() },
            "control": control,
            "tokens": [{ "name": "bench", "role": "write", "token": OPERATOR_TOKEN }],
            "platform": self.emulator.admin.to_string(),
            "traffic": { "entryLifetimeSeconds": 2 },
            "log": { "level": "info", "file": self.folder.join("logs").join(format!("{}.log", daemon.name)) },
        });
        serde_saphyr::to_string(&settings).unwrap_or_default()
    }

    /// All resources, ordered so that each follows the ones it refers to.
    pub fn resources(&self) -> Vec<Value> {
        let resource = |kind: &str, name: &str, spec: Value| json!({ "apiVersion": "dockwood/v1", "kind": kind, "metadata": { "name": name }, "spec": spec });
        let mut resources = Vec::new();
        for tenant in &self.tenants {
            let spec = json!({ "tier": tenant.tier, "keys": [tenant.key] });
            resources.push(resource("Tenant", &tenant.name, spec));
        }
        for engine in &self.emulator.engines {
            let spec = json!({
                "address": engine.address.to_string(), "domain": engine.domain, "zone": engine.zone,
                "checksFences": engine.checks_fences,
            });
            resources.push(resource("Server", &engine.name, spec));
        }
        for service in &self.emulator.services {
            let servers: Vec<Value> = service
                .servers
                .iter()
                .map(|server| json!({ "name": server.name, "address": server.address.to_string(), "zone": server.zone }))
                .collect();
            resources.push(resource("Service", &service.name, json!({ "servers": servers })));
        }
        for deployment in &self.deployments {
            let versions = json!([{ "name": "v1", "weightsMib": self.sizes.weights_mib }, { "name": "v2", "weightsMib": self.sizes.weights_mib }]);
            let spec = json!({ "versions": versions, "contextTokens": 32_768 });
            resources.push(resource("Model", &deployment.model, spec));
            let adapter = format!("{}-style", deployment.name);
            let spec = json!({ "model": deployment.model, "version": "v1", "sizeMib": 64 });
            resources.push(resource("Adapter", &adapter, spec));
            let spec = json!({
                "model": deployment.model, "version": "v1", "adapters": [adapter], "role": "unified",
                "replicas": deployment.replicas, "machinesPerReplica": self.sizes.machines_per_replica,
            });
            resources.push(resource("Deployment", &deployment.name, spec));
        }
        resources
    }

    /// Number of declared replicas of all deployments.
    pub fn declared_replicas(&self) -> usize {
        self.deployments.iter().map(|deployment| deployment.replicas).sum()
    }
}

/// Two deployments, sized three to one. They leave at least one spare machine in each domain where possible.
fn deployments(names: &PresetNames, sizes: &Sizes) -> Vec<DeploymentPlan> {
    const MAX_REPLICAS: usize = 16;
    let domains = sizes.servers / sizes.domain_machines.max(1);
    let per_domain = sizes.domain_machines.saturating_sub(1) / sizes.machines_per_replica.max(1);
    let total = (domains * per_domain).max(1);
    let large = (total * 3 / 4).clamp(1, MAX_REPLICAS);
    let small = (total - large.min(total)).min(MAX_REPLICAS);
    let plan = |index: usize, replicas: usize| DeploymentPlan {
        name: names.deployments[index].to_string(),
        model: format!("{}-{}", names.model, names.deployments[index]),
        replicas,
    };
    let mut plans = vec![plan(0, large)];
    if small > 0 {
        plans.push(plan(1, small));
    }
    // Replicas beyond the size limit of one pool go into further deployments.
    let mut remaining = total.saturating_sub(large + small);
    while remaining > 0 {
        let replicas = remaining.min(MAX_REPLICAS);
        let number = plans.len();
        plans.push(DeploymentPlan {
            name: format!("{}-{number}", names.deployments[0]),
            model: format!("{}-{}-{number}", names.model, names.deployments[0]),
            replicas,
        });
        remaining -= replicas;
    }
    plans
}

/// A few large tenants and many small ones; every third one is in tier 0.
fn tenants(count: usize) -> Vec<TenantPlan> {
    let weights: Vec<f64> = (0..count).map(|index| 1.0 / (index + 1) as f64).collect();
    let total: f64 = weights.iter().sum();
    weights
        .into_iter()
        .enumerate()
        .map(|(index, weight)| TenantPlan {
            name: numbered("tenant", index),
            key: format!("key-of-tenant-{:02}", index + 1),
            tier: if index % 3 == 0 { 0 } else { 1 },
            share: weight / total,
        })
        .collect()
}
