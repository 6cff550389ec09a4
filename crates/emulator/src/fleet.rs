//! The emulated fleet: starts all machines, services and the admin port.

use crate::config::FleetConfig;
use crate::http;
use crate::ledger::LedgerWriter;
use crate::machine::Machine;
use crate::platform::PlatformList;
use crate::pushback::Pushback;
use crate::weights::WeightStore;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// State shared by all parts of the fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The fleet file.
    pub config: FleetConfig,
    /// Machines by name.
    pub machines: BTreeMap<String, Arc<Machine>>,
    /// Pushback of the servers of plain services, by server name.
    pub service_pushback: BTreeMap<String, Arc<Pushback>>,
    /// The weight store.
    pub weight_store: WeightStore,
    /// The platform's list of machines.
    pub platform: Arc<PlatformList>,
    /// The ledger.
    pub ledger: Arc<LedgerWriter>,
}

/// A running fleet, which stops when this handle is dropped.
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
    /// Starts the fleet. Returns once the listeners on all addresses are open.
    pub async fn start(config: FleetConfig) -> std::io::Result<FleetHandle> {
        let ledger = Arc::new(LedgerWriter::open(&config.ledger)?);
        let machines: BTreeMap<String, Arc<Machine>> = config
            .engines
            .iter()
            .map(|engine| (engine.name.clone(), Arc::new(Machine::new(engine.clone()))))
            .collect();
        let servers = config.services.iter().flat_map(|service| &service.servers);
        let service_pushback = servers.map(|server| (server.name.clone(), Arc::default())).collect();
        let fleet = Arc::new(Fleet {
            service_pushback,
            weight_store: WeightStore::new(config.store_mib_per_second),
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
