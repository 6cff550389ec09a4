//! Injects the faults of a schedule, and records the times at which processes and servers were disrupted.

use super::schedule::{ENTRIES, Fault, MODEL_SERVERS, PLAIN_SERVERS};
use super::server::{ServerContext, SoakServer};
use crate::fixture::Fleet;
use std::io::Result;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
/// A planned stop takes this time at most (`stopLimitSeconds` of the fixture).
pub const STOP_LIMIT: Duration = Duration::from_secs(8);
/// A process that has not ended after this time is killed.
const KILLED_AFTER: Duration = Duration::from_secs(9);

/// A server goes on for this time at least before it pauses again.
const MIN_TIME_BETWEEN_PAUSES: Duration = Duration::from_millis(200);
/// A process that has just been started is not sent SIGHUP for this time: until its handler is installed, the signal ends it.
const HANDLES_SIGNALS_WITHIN: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    Killed,
    Terminated,
    /// Told to stop, and killed as it had not ended in time.
    TerminatedAndKilled,
    Suspended,
}

/// A time in which an entry was disrupted.
#[derive(Clone, Debug)]
pub struct Outage {
    pub entry: usize,
    pub kind: OutageKind,
    pub from: Instant,
    /// When the process had ended, if it did.
    pub ended_at: Option<Instant>,
    /// When it was started again or went on.
    pub until: Option<Instant>,
}

/// The end of a server's process.
#[derive(Clone, Debug)]
pub struct ServerCrash {
    pub service: &'static str,
    pub at: Instant,
}

/// What is to be done later.
enum Pending {
    Resume(usize),
    RestartServer(usize),
    /// The entry of this outage is started again.
    RestartEntry(usize),
    /// The entry of this outage goes on.
    Continue(usize),
    /// The entry of this outage is stopping, and is started again after this time.
    AwaitExit(usize, Duration),
}

/// The servers of a run, and the faults in progress.
pub struct Injector {
    pub fleet: Fleet,
    context: Arc<ServerContext>,
    servers: Vec<Arc<SoakServer>>,
    restarts: usize,
    started: Instant,
    paused: Vec<bool>,
    /// The end of the newest pause of each server.
    resumed_at: Vec<Option<Instant>>,
    pending: Vec<(Instant, Pending)>,
    pub outages: Vec<Outage>,
    pub crashes: Vec<ServerCrash>,
    pub last_disruption_end: Instant,
    /// Descriptions of processes that ended by themselves.
    pub unexpected_exits: Vec<String>,
}

fn service_of(server: usize) -> &'static str {
    if server < MODEL_SERVERS { "writer" } else { "board" }
}

impl Injector {
    /// Starts all servers.
    pub async fn start(fleet: Fleet, context: Arc<ServerContext>) -> Result<Injector> {
        let mut injector = Injector {
            fleet,
            context,
            servers: Vec::new(),
            restarts: 0,
            started: Instant::now(),
            paused: vec![false; MODEL_SERVERS + PLAIN_SERVERS],
            resumed_at: vec![None; MODEL_SERVERS + PLAIN_SERVERS],
            pending: Vec::new(),
            outages: Vec::new(),
            crashes: Vec::new(),
            last_disruption_end: Instant::now(),
            unexpected_exits: Vec::new(),
        };
        for number in 0..MODEL_SERVERS + PLAIN_SERVERS {
            let server = injector.start_server(number).await?;
            injector.servers.push(server);
        }
        Ok(injector)
    }

    async fn start_server(&self, number: usize) -> Result<Arc<SoakServer>> {
        let id = format!("{}-{number}-{}", service_of(number), self.restarts);
        let domain = (service_of(number) == "writer").then_some("d");
        let address = self.fleet.server_address(number as u8);
        SoakServer::start(self.context.clone(), id, address, domain).await
    }

    /// Injects the faults, and returns when all of them have ended.
    pub async fn execute(&mut self, started: Instant, faults: &[(u64, Fault)]) -> Result<()> {
        self.started = started;
        let mut next = faults.iter().peekable();
        while next.peek().is_some() || !self.pending.is_empty() {
            let now = Instant::now();
            let due: Vec<(Instant, Pending)> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, pending) in due {
                self.end_fault(pending).await?;
            }
            while let Some((_, fault)) = next.next_if(|(at, _)| started + Duration::from_millis(*at) <= now) {
                self.begin_fault(fault);
            }
            self.check_processes();
            tokio::time::sleep(STEP).await;
        }
        Ok(())
    }

    fn defer(&mut self, after_ms: u64, pending: Pending) {
        self.pending.push((Instant::now() + Duration::from_millis(after_ms), pending));
    }

    fn begin_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Pause { servers, for_ms } => {
                for server in servers {
                    // Overlapping series do not make a pause longer.
                    if self.may_pause(*server) {
                        self.paused[*server] = true;
                        self.servers[*server].set_paused(true);
                        self.defer(*for_ms, Pending::Resume(*server));
                    }
                }
            }
            Fault::CrashServer { server, for_ms } => {
                if !self.servers[*server].has_crashed() {
                    self.crashes.push(ServerCrash { service: service_of(*server), at: Instant::now() });
                    self.servers[*server].crash();
                    self.defer(*for_ms, Pending::RestartServer(*server));
                }
            }
            Fault::Hangup { entries } => {
                for entry in entries.iter().filter(|entry| !self.has_just_started(**entry)) {
                    self.fleet.entries[*entry].signal("-HUP");
                }
            }
            Fault::KillEntry { entry, for_ms } => {
                if let Some(outage) = self.begin_outage(*entry, OutageKind::Killed) {
                    self.fleet.entries[*entry].kill();
                    self.outages[outage].ended_at = Some(Instant::now());
                    self.defer(*for_ms, Pending::RestartEntry(outage));
                }
            }
            Fault::TerminateEntry { entry, for_ms } => {
                if let Some(outage) = self.begin_outage(*entry, OutageKind::Terminated) {
                    self.fleet.entries[*entry].terminate();
                    self.defer(0, Pending::AwaitExit(outage, Duration::from_millis(*for_ms)));
                }
            }
            Fault::StopEntry { entry, for_ms } => {
                if let Some(outage) = self.begin_outage(*entry, OutageKind::Suspended) {
                    self.fleet.entries[*entry].signal("-STOP");
                    self.defer(*for_ms, Pending::Continue(outage));
                }
            }
        }
    }

    fn may_pause(&self, server: usize) -> bool {
        let has_gone_on = self.resumed_at[server].is_none_or(|at| at.elapsed() >= MIN_TIME_BETWEEN_PAUSES);
        has_gone_on && !self.paused[server]
    }

    /// Returns whether an entry may not handle signals yet.
    fn has_just_started(&self, entry: usize) -> bool {
        let starts =
            self.outages.iter().filter(|outage| outage.entry == entry).filter_map(|outage| outage.until);
        starts.max().is_some_and(|started| started.elapsed() < HANDLES_SIGNALS_WITHIN)
    }

    /// Records entries that have ended by themselves, and starts them again.
    fn check_processes(&mut self) {
        for entry in 0..ENTRIES {
            let is_disrupted =
                self.outages.iter().any(|outage| outage.entry == entry && outage.until.is_none());
            if !is_disrupted && self.fleet.entries[entry].has_exited() {
                let after = self.started.elapsed();
                self.unexpected_exits.push(format!("the process of entry {entry} has ended after {after:?}"));
                self.fleet.entries[entry].kill();
                self.fleet.entries[entry].start();
            }
        }
    }

    /// Records a new outage; `None` if the entry is disrupted already.
    fn begin_outage(&mut self, entry: usize, kind: OutageKind) -> Option<usize> {
        if self.outages.iter().any(|outage| outage.entry == entry && outage.until.is_none()) {
            return None;
        }
        self.outages.push(Outage { entry, kind, from: Instant::now(), ended_at: None, until: None });
        Some(self.outages.len() - 1)
    }

    fn end_outage(&mut self, outage: usize) {
        let now = Instant::now();
        self.outages[outage].until = Some(now);
        self.last_disruption_end = now;
    }

    async fn end_fault(&mut self, pending: Pending) -> Result<()> {
        match pending {
            Pending::Resume(server) => {
                self.paused[server] = false;
                self.resumed_at[server] = Some(Instant::now());
                self.servers[server].set_paused(false);
            }
            Pending::RestartServer(server) => {
                self.restarts += 1;
                self.servers[server] = self.start_server(server).await?;
                self.servers[server].set_paused(self.paused[server]);
                self.last_disruption_end = Instant::now();
            }
            Pending::Continue(outage) => {
                let entry = self.outages[outage].entry;
                self.fleet.entries[entry].signal("-CONT");
                self.end_outage(outage);
            }
            Pending::RestartEntry(outage) => {
                let entry = self.outages[outage].entry;
                self.fleet.entries[entry].start();
                self.end_outage(outage);
            }
            Pending::AwaitExit(outage, restarts_after) => self.await_exit(outage, restarts_after),
        }
        Ok(())
    }

    fn await_exit(&mut self, outage: usize, restarts_after: Duration) {
        let Outage { entry, from, .. } = self.outages[outage];
        let has_exited = self.fleet.entries[entry].has_exited();
        if !has_exited && from.elapsed() < KILLED_AFTER {
            return self.defer(0, Pending::AwaitExit(outage, restarts_after));
        }
        if !has_exited {
            self.outages[outage].kind = OutageKind::TerminatedAndKilled;
        }
        self.fleet.entries[entry].kill();
        self.outages[outage].ended_at = Some(Instant::now());
        self.defer(restarts_after.as_millis() as u64, Pending::RestartEntry(outage));
    }
}
