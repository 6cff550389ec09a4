//! The whole emulated fleet: starts every machine and service and the admin port.

use crate::config::FleetConfig;
use crate::http;
use crate::ledger::LedgerWriter;
use crate::machine::Machine;
use crate::manner::RequestManner;
use crate::platform::PlatformList;
use crate::weights::WeightStore;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// What all parts of the fleet share.
#[derive(Debug)]
pub struct Fleet {
    /// The fleet file.
    pub config: FleetConfig,
    /// Machines by name.
    pub machines: BTreeMap<String, Arc<Machine>>,
    /// How the servers of plain services treat calls, by name.
    pub plain_servers: BTreeMap<String, Arc<RequestManner>>,
    /// The weight store.
    pub store: WeightStore,
    /// The platform's list.
    pub platform: Arc<PlatformList>,
    /// The ledger.
    pub ledger: Arc<LedgerWriter>,
}

/// A running fleet; it stops when this is dropped.
#[derive(Debug)]
pub struct FleetHandle {
    /// The fleet.
    pub fleet: Arc<Fleet>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for FleetHandle {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Fleet {
    /// Starts everything; returns once every address is listened on.
    pub async fn start(config: FleetConfig) -> std::io::Result<FleetHandle> {
        let ledger = Arc::new(LedgerWriter::open(&config.ledger)?);
        let machines: BTreeMap<String, Arc<Machine>> = config
            .engines
            .iter()
            .map(|engine| (engine.name.clone(), Arc::new(Machine::new(engine.clone()))))
            .collect();
        let servers = config.services.iter().flat_map(|service| &service.servers);
        let plain_servers = servers.map(|server| (server.name.clone(), Arc::default())).collect();
        let fleet = Arc::new(Fleet {
            plain_servers,
            store: WeightStore::new(config.store_mib_per_second),
            platform: Arc::new(PlatformList::new(config.list_lag_ms)),
            ledger,
            machines,
            config,
        });
        let mut tasks =
            vec![tokio::spawn(fleet.platform.clone().run(fleet.machines.values().cloned().collect()))];
        for machine in fleet.machines.values() {
            tasks.push(http::serve_machine(fleet.clone(), machine.clone()).await?);
        }
        for service in &fleet.config.services {
            for server in &service.servers {
                tasks.push(http::serve_service(fleet.clone(), service, server).await?);
            }
        }
        tasks.push(http::serve_admin(fleet.clone()).await?);
        Ok(FleetHandle { fleet, tasks })
    }
}
