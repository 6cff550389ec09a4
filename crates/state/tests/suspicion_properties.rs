//! Properties of the suspicion table that hold for any sequence of reports.

use dockwood_api::gateway::{Fingerprint, RequestIdentity};
use dockwood_state::{
    Command, CommandBody, CrashReport, GatewayCommand, State, SuspectAttempt, SuspicionStatus, TrialRequest,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const REQUESTS: u8 = 8;
const SERVERS: u8 = 6;
/// Minimum number of crashes before a request may be quarantined.
const MIN_CRASHES: usize = 3;

/// A report or call of a daemon, or the passage of time.
#[derive(Clone, Debug)]
enum Step {
    Crash { server: u8, requests: Vec<u8>, daemon: u8 },
    Trial { request: u8, server: u8, may_share: bool },
    Response { request: u8 },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let requests = prop::collection::vec(0..REQUESTS, 1..4);
    prop_oneof![
        4 => (0..SERVERS, requests, 0..3_u8)
            .prop_map(|(server, requests, daemon)| Step::Crash { server, requests, daemon }),
        3 => (0..REQUESTS, 0..SERVERS, any::<bool>())
            .prop_map(|(request, server, may_share)| Step::Trial { request, server, may_share }),
        1 => (0..REQUESTS).prop_map(|request| Step::Response { request }),
        3 => (1..5_000_u64).prop_map(|ms| Step::Wait { ms }),
        1 => (500_000..2_000_000_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

fn fingerprint(request: u8) -> Fingerprint {
    let body = [request];
    Fingerprint::of(&RequestIdentity { tenant: None, method: "POST", host: "h", path: "/", body: &body })
}

/// A voter and a non-voter that apply the same steps.
#[derive(Default)]
struct Harness {
    voter: State,
    non_voter: State,
    now_ms: u64,
    steps: u64,
    /// Number of crash reports that listed each request since its last complete response.
    reports: BTreeMap<u8, usize>,
}

impl Harness {
    fn apply(&mut self, command: GatewayCommand) {
        let command = Command { at_ms: self.now_ms, body: CommandBody::Gateway(command) };
        self.voter.apply(&command);
        if let Some(sent) = command.for_non_voters(&self.voter.tables) {
            self.non_voter.apply(&sent);
        }
    }

    fn run(&mut self, step: Step) {
        self.steps += 1;
        let at_ms = self.now_ms;
        match step {
            Step::Crash { server, requests, daemon } => {
                requests.iter().for_each(|request| *self.reports.entry(*request).or_default() += 1);
                let number = self.steps;
                let tries = requests.iter().map(|request| SuspectAttempt {
                    fingerprint: fingerprint(*request),
                    request: format!("try-{number}"),
                    tenant: None,
                    route: "r".to_string(),
                });
                let (instance, zone) = (format!("s-{server}"), format!("z-{}", server % 2));
                let (daemon, tries) = (format!("d-{daemon}"), tries.collect());
                self.apply(GatewayCommand::ServerEnded(CrashReport { instance, zone, at_ms, daemon, tries }));
            }
            Step::Trial { request, server, may_share } => {
                let (fingerprint, trial) = (fingerprint(request), self.steps);
                let instance = format!("s-{server}");
                let trial_request = TrialRequest { fingerprint, trial, instance, may_share, at_ms };
                self.apply(GatewayCommand::BeginTrial(trial_request));
            }
            Step::Response { request } => {
                self.reports.remove(&request);
                let (fingerprint, reason) = (fingerprint(request), String::new());
                self.apply(GatewayCommand::ClearRequest { fingerprint, reason });
                let status = self.voter.tables.gateway.suspicion.status(fingerprint, at_ms);
                assert_eq!(
                    status,
                    SuspicionStatus::Unsuspected,
                    "a complete response clears the request immediately"
                );
            }
            Step::Wait { ms } => {
                self.now_ms += ms;
                self.apply(GatewayCommand::ExpireSuspicions { at_ms: self.now_ms });
            }
        }
    }

    fn check(&self) {
        let voter = &self.voter.tables.gateway.suspicion;
        let non_voter = &self.non_voter.tables.gateway.suspicion;
        assert_eq!(voter.crashes, non_voter.crashes);
        assert_eq!(voter.quarantined, non_voter.quarantined);
        for request in 0..REQUESTS {
            let fingerprint = fingerprint(request);
            let status = voter.status(fingerprint, self.now_ms);
            assert_eq!(status, non_voter.status(fingerprint, self.now_ms));
            let reports = self.reports.get(&request).copied().unwrap_or(0);
            if status == SuspicionStatus::Quarantined {
                assert!(reports >= MIN_CRASHES, "request {request} was listed in only {reports} reports");
            }
        }
        let decoded = State::decode(&self.voter.encode()).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(&decoded.tables.gateway.suspicion, voter, "decoding restores the whole table");
    }
}

proptest! {
    #[test]
    fn voters_and_non_voters_agree_and_few_crashes_quarantine_nothing(steps in prop::collection::vec(step(), 1..120)) {
        let mut harness = Harness::default();
        for step in steps {
            harness.run(step);
            harness.check();
        }
    }
}
