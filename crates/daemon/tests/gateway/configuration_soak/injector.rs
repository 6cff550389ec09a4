//! Injects the faults of a schedule, and records the times at which processes were disrupted.

use super::links::{Host, Links};
use super::schedule::{Disks, ENTRIES, Fault, LOSSES_TOLERATED, LastFault, MEMBERS};
use crate::configuration_changes::{Disruption, Operator, Process};
use crate::fixture::{Daemon, Fleet};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
/// A process that is told to stop and has not ended after this time is killed; it has 8 s (`stopLimitSeconds` of the fixture).
const KILLED_AFTER: Duration = Duration::from_secs(9);
/// A process that has just been started is not sent SIGHUP for this time: until its handler is installed, the signal ends it.
const HANDLES_SIGNALS_WITHIN: Duration = Duration::from_secs(1);
/// A member whose disk was lost counts as lost until nothing has disrupted the control group for this time.
const CAUGHT_UP_WITHIN: Duration = Duration::from_secs(6);
/// An armed fault that waits for an accepted configuration is dropped after this time.
const ARMED_FOR: Duration = Duration::from_secs(3);

/// What is to be done later. The numbers are those of disruptions.
enum Pending {
    Start(usize),
    Continue(usize),
    /// The process is stopping, and is started again after this time.
    AwaitExit(usize, Duration),
    Heal(Vec<usize>),
}

/// A fault that waits for the next accepted configuration.
struct ArmedKill {
    is_wiped: bool,
    for_ms: u64,
    until: Instant,
}

/// The faults in progress.
pub struct Injector {
    pub fleet: Fleet,
    links: Arc<Links>,
    operator: Arc<Operator>,
    pending: Vec<(Instant, Pending)>,
    armed: Option<ArmedKill>,
    /// Members whose disks were lost and that may not have caught up.
    wiped: BTreeSet<usize>,
    pub disruptions: Vec<Disruption>,
    /// Descriptions of processes that ended by themselves or did not stop in time.
    pub faulty_exits: Vec<String>,
    /// Descriptions of the faults that were injected.
    pub injected: Vec<String>,
}

fn host_of(process: Process) -> Host {
    match process {
        Process::Member(member) => member,
        Process::Entry(entry) => MEMBERS + entry,
    }
}

fn hosts_of(processes: &[Process]) -> BTreeSet<Host> {
    processes.iter().map(|process| host_of(*process)).collect()
}

fn process_at(host: Host) -> Process {
    if host < MEMBERS { Process::Member(host) } else { Process::Entry(host - MEMBERS) }
}

impl Injector {
    pub fn new(fleet: Fleet, links: Arc<Links>, operator: Arc<Operator>) -> Injector {
        Injector {
            fleet,
            links,
            operator,
            pending: Vec::new(),
            armed: None,
            wiped: BTreeSet::new(),
            disruptions: Vec::new(),
            faulty_exits: Vec::new(),
            injected: Vec::new(),
        }
    }

    /// Starts all processes for the first time, and waits until they run. Only then may the members found a control group.
    pub async fn start_all(&mut self) {
        (0..MEMBERS + ENTRIES).for_each(|host| self.start(process_at(host)));
        for host in 0..MEMBERS + ENTRIES {
            while self.fleet.metric_at(host as u8, "dockwood_is_leader").await.is_err() {
                tokio::time::sleep(STEP).await;
            }
        }
        self.fleet.end_founding();
    }

    fn daemon(&mut self, process: Process) -> &mut Daemon {
        match process {
            Process::Member(member) => &mut self.fleet.members[member],
            Process::Entry(entry) => &mut self.fleet.entries[entry],
        }
    }

    fn start(&mut self, process: Process) {
        let daemon = self.daemon(process);
        daemon.start();
        let id = daemon.process_id();
        self.links.set_process(host_of(process), id);
    }

    fn kill(&mut self, process: Process) {
        self.daemon(process).kill();
        self.links.set_process(host_of(process), None);
    }

    /// Injects the faults until `until`, and returns when all of them have ended.
    pub async fn execute(&mut self, started: Instant, faults: &[(u64, Fault)], until: Instant) {
        let mut next = faults.iter().peekable();
        while Instant::now() < until || !self.pending.is_empty() {
            let now = Instant::now();
            let due: Vec<(Instant, Pending)> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
            due.into_iter().for_each(|(_, pending)| self.end_fault(pending));
            while let Some((_, fault)) = next.next_if(|(at, _)| started + Duration::from_millis(*at) <= now) {
                self.injected.push(format!("{:?} ms: {fault:?}", started.elapsed().as_millis()));
                self.begin_fault(fault);
            }
            self.kill_acceptor_if_armed();
            self.check_processes(started);
            tokio::time::sleep(STEP).await;
        }
    }

    fn defer(&mut self, after_ms: u64, pending: Pending) {
        self.pending.push((Instant::now() + Duration::from_millis(after_ms), pending));
    }

    fn begin_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill { processes, wiped, for_ms } => self.kill_for(processes, wiped, *for_ms),
            Fault::KillAcceptor { is_wiped, for_ms } => {
                let _ = self.operator.take_last_acceptor();
                let until = Instant::now() + ARMED_FOR;
                self.armed = Some(ArmedKill { is_wiped: *is_wiped, for_ms: *for_ms, until });
            }
            Fault::Suspend { processes, for_ms } => {
                for process in processes {
                    let Some(disruption) = self.begin_disruption(*process, false) else { continue };
                    self.daemon(*process).signal("-STOP");
                    self.defer(*for_ms, Pending::Continue(disruption));
                }
            }
            Fault::Terminate { process, for_ms } => {
                if let Some(disruption) = self.begin_disruption(*process, true) {
                    self.daemon(*process).terminate();
                    self.defer(0, Pending::AwaitExit(disruption, Duration::from_millis(*for_ms)));
                }
            }
            Fault::Hangup { processes } => {
                for process in processes {
                    if !self.is_disrupted(*process) && !self.has_just_started(*process) {
                        self.daemon(*process).signal("-HUP");
                    }
                }
            }
            Fault::Split { side, for_ms } => {
                let (side_hosts, others) = (hosts_of(side), self.other_hosts(side));
                self.disrupt_links(side, *for_ms, |links| {
                    links.hold(&side_hosts, &others);
                    links.hold(&others, &side_hosts);
                });
            }
            Fault::OneWay { senders, for_ms } => {
                let (hosts, others) = (hosts_of(senders), self.other_hosts(senders));
                self.disrupt_links(senders, *for_ms, |links| links.hold(&hosts, &others));
            }
            Fault::Delay { process, delay_ms, for_ms } => {
                let (host, delay) = (host_of(*process), Duration::from_millis(*delay_ms));
                self.disrupt_links(&[*process], *for_ms, |links| links.delay(host, delay));
            }
            Fault::ResetConnections { processes } => {
                let hosts = hosts_of(processes);
                self.disrupt_links(processes, 0, |links| links.reset(hosts));
            }
        }
    }

    fn other_hosts(&self, processes: &[Process]) -> BTreeSet<Host> {
        let hosts = hosts_of(processes);
        (0..MEMBERS + ENTRIES).filter(|host| !hosts.contains(host)).collect()
    }

    /// Disrupts links, unless others are disrupted already.
    fn disrupt_links(&mut self, processes: &[Process], for_ms: u64, disrupt: impl FnOnce(&Links)) {
        if self.pending.iter().any(|(_, pending)| matches!(pending, Pending::Heal(_))) {
            return;
        }
        disrupt(&self.links);
        let first = self.disruptions.len();
        let from = Instant::now();
        self.disruptions.extend(processes.iter().map(|process| Disruption {
            process: *process,
            ends_process: false,
            from,
            until: None,
        }));
        self.defer(for_ms, Pending::Heal((first..self.disruptions.len()).collect()));
    }

    fn kill_for(&mut self, processes: &[Process], wiped: &BTreeSet<usize>, for_ms: u64) {
        let wiped = self.affordable_losses(wiped);
        for process in processes {
            let Some(disruption) = self.begin_disruption(*process, true) else { continue };
            self.kill(*process);
            if let Process::Member(member) = process
                && wiped.contains(member)
            {
                self.wipe(*member);
            }
            self.defer(for_ms, Pending::Start(disruption));
        }
    }

    /// Of these members, as many as may lose their disks now.
    fn affordable_losses(&mut self, wanted: &BTreeSet<usize>) -> BTreeSet<usize> {
        let is_recent = |disruption: &Disruption| {
            let is_member = matches!(disruption.process, Process::Member(_));
            is_member && disruption.until.is_none_or(|until| until.elapsed() < CAUGHT_UP_WITHIN)
        };
        if !self.disruptions.iter().any(is_recent) {
            self.wiped.clear();
        }
        let left = LOSSES_TOLERATED.saturating_sub(self.wiped.len());
        wanted.iter().copied().filter(|member| !self.wiped.contains(member)).take(left).collect()
    }

    fn wipe(&mut self, member: usize) {
        self.wiped.insert(member);
        if let Err(error) = self.fleet.members[member].wipe_disk() {
            self.faulty_exits.push(format!("the disk of member {member} could not be wiped: {error}"));
        }
    }

    fn kill_acceptor_if_armed(&mut self) {
        let Some(armed) = &self.armed else { return };
        if Instant::now() >= armed.until {
            self.armed = None;
            return;
        }
        let Some(acceptor) = self.operator.take_last_acceptor() else { return };
        let (is_wiped, for_ms) = (armed.is_wiped, armed.for_ms);
        self.armed = None;
        let member = self.operator.operators.iter().position(|address| *address == acceptor);
        let Some(member) = member else { return };
        let wiped = if is_wiped { BTreeSet::from([member]) } else { BTreeSet::new() };
        self.kill_for(&[Process::Member(member)], &wiped, for_ms);
    }

    /// Whether a fault of the process itself is in progress.
    fn is_disrupted(&self, process: Process) -> bool {
        self.pending.iter().any(|(_, pending)| match pending {
            Pending::Start(number) | Pending::Continue(number) | Pending::AwaitExit(number, _) => {
                self.disruptions[*number].process == process
            }
            Pending::Heal(_) => false,
        })
    }

    fn has_just_started(&self, process: Process) -> bool {
        let is_this = |disruption: &&Disruption| disruption.process == process && disruption.ends_process;
        let starts = self.disruptions.iter().filter(is_this).filter_map(|disruption| disruption.until);
        starts.max().is_some_and(|started| started.elapsed() < HANDLES_SIGNALS_WITHIN)
    }

    /// Records a new disruption; `None` if the process is disrupted already.
    fn begin_disruption(&mut self, process: Process, ends_process: bool) -> Option<usize> {
        if self.is_disrupted(process) {
            return None;
        }
        self.disruptions.push(Disruption { process, ends_process, from: Instant::now(), until: None });
        Some(self.disruptions.len() - 1)
    }

    fn end_fault(&mut self, pending: Pending) {
        match pending {
            Pending::Start(number) => {
                self.start(self.disruptions[number].process);
                self.disruptions[number].until = Some(Instant::now());
            }
            Pending::Continue(number) => {
                let process = self.disruptions[number].process;
                self.daemon(process).signal("-CONT");
                self.disruptions[number].until = Some(Instant::now());
            }
            Pending::AwaitExit(number, restarts_after) => self.await_exit(number, restarts_after),
            Pending::Heal(numbers) => {
                self.links.heal();
                for number in numbers {
                    self.disruptions[number].until = Some(Instant::now());
                }
            }
        }
    }

    fn await_exit(&mut self, number: usize, restarts_after: Duration) {
        let Disruption { process, from, .. } = self.disruptions[number];
        let has_exited = self.daemon(process).has_exited();
        if !has_exited && from.elapsed() < KILLED_AFTER {
            return self.defer(0, Pending::AwaitExit(number, restarts_after));
        }
        if !has_exited {
            self.faulty_exits.push(format!("{process:?} has not stopped after {:?}", from.elapsed()));
        }
        self.kill(process);
        self.defer(restarts_after.as_millis() as u64, Pending::Start(number));
    }

    /// Records processes that have ended by themselves, and starts them again.
    pub fn check_processes(&mut self, started: Instant) {
        for process in (0..MEMBERS + ENTRIES).map(process_at) {
            if !self.is_disrupted(process) && self.daemon(process).has_exited() {
                let after = started.elapsed();
                self.faulty_exits.push(format!("{process:?} has ended by itself after {after:?}"));
                self.kill(process);
                self.start(process);
            }
        }
    }

    fn damage_disks(&mut self, disks: &Disks) {
        match disks {
            Disks::Lost(members) => {
                let members = self.affordable_losses(members);
                members.into_iter().for_each(|member| self.wipe(member));
            }
            Disks::AllLost => (0..MEMBERS).for_each(|member| self.wipe(member)),
            Disks::Outdated => self.copy_disks(Daemon::restore_disk),
        }
    }

    /// Keeps a copy of each member's disk, for [`Disks::Outdated`].
    pub fn save_disks(&mut self) {
        self.copy_disks(Daemon::save_disk);
    }

    fn copy_disks(&mut self, copy: impl Fn(&Daemon) -> std::io::Result<()>) {
        let errors = self.fleet.members.iter().map(copy).filter_map(Result::err);
        self.faulty_exits.extend(errors.map(|error| error.to_string()));
    }

    /// Kills all processes at once, and starts them again. Returns when the last one was started.
    pub async fn execute_last(&mut self, fault: &LastFault) -> Instant {
        if fault.after_acceptance {
            let _ = self.operator.take_last_acceptor();
            let waited_since = Instant::now();
            while self.operator.take_last_acceptor().is_none() && waited_since.elapsed() < ARMED_FOR {
                tokio::time::sleep(STEP).await;
            }
        }
        self.injected.push(format!("last: {fault:?}"));
        let first = self.disruptions.len();
        for process in (0..MEMBERS + ENTRIES).map(process_at) {
            self.disruptions.push(Disruption {
                process,
                ends_process: true,
                from: Instant::now(),
                until: None,
            });
            self.daemon(process).signal("-KILL");
        }
        (0..MEMBERS + ENTRIES).map(process_at).for_each(|process| self.kill(process));
        self.damage_disks(&fault.disks);
        let killed_at = Instant::now();
        let returns_ms = |host: Host| fault.returns_ms.get(host).or(fault.returns_ms.first()).copied();
        let mut order: Vec<(u64, Host)> =
            (0..MEMBERS + ENTRIES).map(|host| (returns_ms(host).unwrap_or(0), host)).collect();
        order.sort();
        for (after_ms, host) in order {
            tokio::time::sleep_until((killed_at + Duration::from_millis(after_ms)).into()).await;
            self.start(process_at(host));
            self.disruptions[first + host].until = Some(Instant::now());
        }
        Instant::now()
    }
}
