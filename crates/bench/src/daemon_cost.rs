//! What daemons spend: processor time, memory, and messages between daemons, over a time without load.

use crate::fleet::RunningFleet;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

/// Bytes of TCP and IP headers of one frame, with its share of acknowledgements.
const HEADER_BYTES: f64 = 72.0;

/// A daemon's part in control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DaemonRole {
    /// Leads the control group.
    Leader,
    /// Another voter.
    Voter,
    /// No voter.
    Entry,
}

/// What one daemon spends.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DaemonCost {
    /// Share of one core, in percent.
    pub cpu_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
    /// Bytes a second to and from other daemons, with headers.
    pub bytes_per_second: f64,
    /// Frames a second to and from other daemons.
    pub frames_per_second: f64,
}

/// One reading of a daemon.
struct Reading {
    at: Instant,
    cpu_seconds: f64,
    memory_bytes: u64,
    bytes: f64,
    frames: f64,
}

/// Values of one metric family, summed.
fn sum_of(metrics: &str, family: &str, label: &str) -> f64 {
    let rows = metrics.lines().filter(|line| line.starts_with(family) && line.contains(label));
    rows.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn read(fleet: &RunningFleet, index: usize) -> io::Result<Reading> {
    let url = format!("http://{}/metrics", fleet.entry_addresses()[index]);
    let text = reqwest::get(url).await.map_err(io::Error::other)?.text().await.map_err(io::Error::other)?;
    let usage = fleet.daemon_usage(index)?;
    Ok(Reading {
        at: Instant::now(),
        cpu_seconds: usage.cpu_seconds,
        memory_bytes: usage.resident_bytes,
        bytes: sum_of(&text, "dockwood_peer_volume", "unit=\"bytes\""),
        frames: sum_of(&text, "dockwood_peer_volume", "unit=\"frames\""),
    })
}

/// Measures every daemon for a while; means by role.
pub async fn measure(fleet: &RunningFleet, length: Duration) -> io::Result<BTreeMap<DaemonRole, DaemonCost>> {
    const MIB: f64 = (1 << 20) as f64;
    let leader = fleet.operator.status().await?["leader"].as_str().unwrap_or("").to_string();
    let count = fleet.topology.daemons.len();
    let mut before = Vec::new();
    for index in 0..count {
        before.push(read(fleet, index).await?);
    }
    tokio::time::sleep(length).await;
    let mut sums: BTreeMap<DaemonRole, (f64, DaemonCost)> = BTreeMap::new();
    for (index, before) in before.into_iter().enumerate() {
        let after = read(fleet, index).await?;
        let plan = &fleet.topology.daemons[index];
        let role = match plan.voter {
            Some(_) if plan.name == leader => DaemonRole::Leader,
            Some(_) => DaemonRole::Voter,
            None => DaemonRole::Entry,
        };
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let frames = (after.frames - before.frames) / seconds;
        let (daemons, sum) = sums.entry(role).or_default();
        *daemons += 1.0;
        sum.cpu_percent += 100.0 * (after.cpu_seconds - before.cpu_seconds) / seconds;
        sum.memory_mib += after.memory_bytes as f64 / MIB;
        sum.frames_per_second += frames;
        sum.bytes_per_second += (after.bytes - before.bytes) / seconds + frames * HEADER_BYTES;
    }
    let mean = |(daemons, sum): (f64, DaemonCost)| DaemonCost {
        cpu_percent: sum.cpu_percent / daemons,
        memory_mib: sum.memory_mib / daemons,
        bytes_per_second: sum.bytes_per_second / daemons,
        frames_per_second: sum.frames_per_second / daemons,
    };
    Ok(sums.into_iter().map(|(role, sums)| (role, mean(sums))).collect())
}

/// A plane through samples: `base + by_daemon × daemons + by_driver × driver`, by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Slopes {
    /// Value where both variables are 0.
    pub base: f64,
    /// Added by each daemon.
    pub by_daemon: f64,
    /// Added by each unit of the other variable.
    pub by_driver: f64,
}

impl Slopes {
    /// Fits samples of (daemons, driver, value); `None` if they don't span a plane.
    pub fn fit(samples: &[(f64, f64, f64)]) -> Option<Slopes> {
        let mut rows = [[0.0_f64; 4]; 3];
        for (daemons, driver, value) in samples {
            let terms = [1.0, *daemons, *driver];
            for (row, left) in rows.iter_mut().zip(terms) {
                for (cell, right) in row.iter_mut().zip([terms[0], terms[1], terms[2], *value]) {
                    *cell += left * right;
                }
            }
        }
        let solved = solve(rows)?;
        Some(Slopes { base: solved[0], by_daemon: solved[1], by_driver: solved[2] })
    }

    /// The value at a size.
    pub fn at(&self, daemons: f64, driver: f64) -> f64 {
        self.base + self.by_daemon * daemons + self.by_driver * driver
    }
}

/// Gaussian elimination with pivoting.
fn solve(mut rows: [[f64; 4]; 3]) -> Option<[f64; 3]> {
    const SINGULAR: f64 = 1e-9;
    for column in 0..3 {
        let pivot = (column..3).max_by(|a, b| rows[*a][column].abs().total_cmp(&rows[*b][column].abs()))?;
        rows.swap(column, pivot);
        if rows[column][column].abs() < SINGULAR {
            return None;
        }
        for row in 0..3 {
            if row != column {
                let factor = rows[row][column] / rows[column][column];
                let pivot_row = rows[column];
                rows[row].iter_mut().zip(pivot_row).for_each(|(cell, pivot)| *cell -= factor * pivot);
            }
        }
    }
    Some([rows[0][3] / rows[0][0], rows[1][3] / rows[1][1], rows[2][3] / rows[2][2]])
}
