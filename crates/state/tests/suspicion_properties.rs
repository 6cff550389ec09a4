//! What holds of the table of suspicions whatever daemons tell, in whatever order.

use dockwood_api::gateway::{Fingerprint, RequestIdentity};
use dockwood_state::{
    Command, CommandBody, GatewayCommand, ServerEnd, Standing, State, SuspectTry, TrialRequest,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const REQUESTS: u8 = 8;
const SERVERS: u8 = 6;
/// Servers that must have ended under a request before it may come under quarantine.
const LEAST_CRASHES: usize = 3;

/// What a daemon tells or asks.
#[derive(Clone, Debug)]
enum Step {
    Ended { server: u8, requests: Vec<u8>, daemon: u8 },
    Tries { request: u8, server: u8, may_share: bool },
    Answered { request: u8 },
    Passes { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let requests = prop::collection::vec(0..REQUESTS, 1..4);
    prop_oneof![
        4 => (0..SERVERS, requests, 0..3_u8)
            .prop_map(|(server, requests, daemon)| Step::Ended { server, requests, daemon }),
        3 => (0..REQUESTS, 0..SERVERS, any::<bool>())
            .prop_map(|(request, server, may_share)| Step::Tries { request, server, may_share }),
        1 => (0..REQUESTS).prop_map(|request| Step::Answered { request }),
        3 => (1..5_000_u64).prop_map(|ms| Step::Passes { ms }),
        1 => (500_000..2_000_000_u64).prop_map(|ms| Step::Passes { ms }),
    ]
}

fn fingerprint(request: u8) -> Fingerprint {
    let body = [request];
    Fingerprint::of(&RequestIdentity { tenant: None, method: "POST", host: "h", path: "/", body: &body })
}

/// A voter and a follower that take the same steps.
#[derive(Default)]
struct World {
    voter: State,
    follower: State,
    now_ms: u64,
    steps: u64,
    /// Reports that named each request since it was last answered.
    ends: BTreeMap<u8, usize>,
}

impl World {
    fn apply(&mut self, command: GatewayCommand) {
        let command = Command { at_ms: self.now_ms, body: CommandBody::Gateway(command) };
        self.voter.apply(&command);
        if let Some(told) = command.for_followers(&self.voter.tables) {
            self.follower.apply(&told);
        }
    }

    fn take(&mut self, step: Step) {
        self.steps += 1;
        let at_ms = self.now_ms;
        match step {
            Step::Ended { server, requests, daemon } => {
                requests.iter().for_each(|request| *self.ends.entry(*request).or_default() += 1);
                let number = self.steps;
                let tries = requests.iter().map(|request| SuspectTry {
                    fingerprint: fingerprint(*request),
                    request: format!("try-{number}"),
                    tenant: None,
                    route: "r".to_string(),
                });
                let (instance, zone) = (format!("s-{server}"), format!("z-{}", server % 2));
                let (daemon, tries) = (format!("d-{daemon}"), tries.collect());
                self.apply(GatewayCommand::ServerEnded(ServerEnd { instance, zone, at_ms, daemon, tries }));
            }
            Step::Tries { request, server, may_share } => {
                let (fingerprint, trial) = (fingerprint(request), self.steps);
                let instance = format!("s-{server}");
                let asked = TrialRequest { fingerprint, trial, instance, may_share, at_ms };
                self.apply(GatewayCommand::BeginTrial(asked));
            }
            Step::Answered { request } => {
                self.ends.remove(&request);
                let (fingerprint, reason) = (fingerprint(request), String::new());
                self.apply(GatewayCommand::ClearRequest { fingerprint, reason });
                let standing = self.voter.tables.gateway.suspicion.standing(fingerprint, at_ms);
                assert_eq!(standing, Standing::Unsuspected, "an answer clears at once");
            }
            Step::Passes { ms } => {
                self.now_ms += ms;
                self.apply(GatewayCommand::ExpireSuspicions { at_ms: self.now_ms });
            }
        }
    }

    fn check(&self) {
        let voter = &self.voter.tables.gateway.suspicion;
        let follower = &self.follower.tables.gateway.suspicion;
        assert_eq!(voter.crashes, follower.crashes);
        assert_eq!(voter.quarantined, follower.quarantined);
        for request in 0..REQUESTS {
            let fingerprint = fingerprint(request);
            let standing = voter.standing(fingerprint, self.now_ms);
            assert_eq!(standing, follower.standing(fingerprint, self.now_ms));
            let ends = self.ends.get(&request).copied().unwrap_or(0);
            if standing == Standing::Quarantined {
                assert!(ends >= LEAST_CRASHES, "request {request} was at {ends} ends only");
            }
        }
        let read = State::decode(&self.voter.encode()).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(&read.tables.gateway.suspicion, voter, "what is stored is all there is");
    }
}

proptest! {
    #[test]
    fn daemons_agree_answers_clear_and_few_ends_condemn_nothing(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::default();
        for step in steps {
            world.take(step);
            world.check();
        }
    }
}
