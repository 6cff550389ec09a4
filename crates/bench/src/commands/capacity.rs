//! `capacity`: what control costs a daemon at several sizes, and the slopes from which the design size is worked
//! out.

use super::demo::{out_argument, out_folder};
use crate::daemon_cost::{DaemonCost, DaemonRole, Slopes, measure};
use crate::fleet::RunningFleet;
use crate::topology::{Preset, Sizes, Topology, own_network};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Daemons and servers of each measured size: four with the design size's four servers to a daemon, and two with
/// more duties on each.
const MEASURED: [(usize, usize); 6] = [(10, 40), (20, 80), (40, 160), (60, 240), (10, 120), (10, 240)];
/// The size to design for.
const DESIGN: (f64, f64) = (330.0, 1_300.0);
const FORM_LIMIT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(3);

pub(super) fn command() -> Command {
    Command::new("capacity")
        .about("Measures what control costs at several sizes and works out the design size from the slopes")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("10")
                .help("Seconds measured at each size"),
        )
        .arg(out_argument("out/capacity"))
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Sample {
    daemons: usize,
    servers: usize,
    costs: BTreeMap<DaemonRole, DaemonCost>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Projection {
    role: DaemonRole,
    value: &'static str,
    driver: Driver,
    slopes: Slopes,
    at_design_size: f64,
}

async fn sample(size: (usize, usize), seconds: u64, folder: &Path) -> io::Result<Sample> {
    let (daemons, servers) = size;
    let folder = folder.join(format!("{daemons}-{servers}"));
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let sizes = Sizes { daemons, servers, machines_per_replica: 8, ..Sizes::default() };
    let fleet = RunningFleet::start(Topology::new(Preset::Unidos, sizes, own_network(), &folder)).await?;
    fleet.apply_resources(FORM_LIMIT).await?;
    tokio::time::sleep(SETTLE).await;
    let costs = measure(&fleet, Duration::from_secs(seconds)).await?;
    fleet.stop().await?;
    Ok(Sample { daemons, servers, costs })
}

/// What a value grows with besides the number of daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Driver {
    /// State on all servers is held here.
    Servers,
    /// Duties: servers are shared out over the daemons.
    ServersOfADaemon,
}

impl Driver {
    fn of(role: DaemonRole, value: &str) -> Driver {
        if role == DaemonRole::Leader || value.starts_with("memory") {
            Driver::Servers
        } else {
            Driver::ServersOfADaemon
        }
    }

    fn at(self, daemons: f64, servers: f64) -> f64 {
        match self {
            Driver::Servers => servers,
            Driver::ServersOfADaemon => servers / daemons,
        }
    }
}

type Value = (&'static str, fn(&DaemonCost) -> f64);

const VALUES: [Value; 4] = [
    ("cpu percent", |cost| cost.cpu_percent),
    ("memory MiB", |cost| cost.memory_mib),
    ("bytes/s", |cost| cost.bytes_per_second),
    ("frames/s", |cost| cost.frames_per_second),
];

pub(super) async fn run(matches: &ArgMatches) -> io::Result<bool> {
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or_default();
    let folder = out_folder(matches);
    let mut samples = Vec::new();
    for size in MEASURED {
        let sample = sample(size, seconds, &folder).await?;
        for (role, cost) in &sample.costs {
            println!(
                "{:>3} daemons {:>4} servers {role:<7?} cpu {:5.2}% memory {:5.1} MiB {:7.0} bytes/s {:6.1} frames/s",
                sample.daemons,
                sample.servers,
                cost.cpu_percent,
                cost.memory_mib,
                cost.bytes_per_second,
                cost.frames_per_second
            );
        }
        samples.push(sample);
    }
    let mut projections = Vec::new();
    for role in [DaemonRole::Leader, DaemonRole::Voter, DaemonRole::Entry] {
        for (value, of) in VALUES {
            let driver = Driver::of(role, value);
            let points: Vec<(f64, f64, f64)> = samples
                .iter()
                .filter_map(|sample| {
                    let (daemons, servers) = (sample.daemons as f64, sample.servers as f64);
                    Some((daemons, driver.at(daemons, servers), of(sample.costs.get(&role)?)))
                })
                .collect();
            let Some(slopes) = Slopes::fit(&points) else { continue };
            let at_design_size = slopes.at(DESIGN.0, driver.at(DESIGN.0, DESIGN.1));
            println!(
                "{role:<7?} {value:<12} = {:9.4} + {:9.5} × daemons + {:9.5} × {driver:?} → {at_design_size:10.2}",
                slopes.base, slopes.by_daemon, slopes.by_driver
            );
            projections.push(Projection { role, value, driver, slopes, at_design_size });
        }
    }
    std::fs::write(folder.join("capacity.json"), serde_json::to_vec_pretty(&(&samples, &projections))?)?;
    println!("{}", serde_json::to_string(&projections)?);
    Ok(true)
}
