//! Sends a probe to an instance, and finds out why it gets no answer.

use crate::framed_response::{CallFault, FramedResponse, send_request};
use crate::server_dialer::ServerDialer;
use crate::suspects::{ProcessCheck, check_process};
use dockwood_control::ProbeResult;
use reqwest::RequestBuilder;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// Time limit for an instance to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// If an instance has not answered after this time, it is checked whether its machine accepts connections: the request may
/// wait on a connection that was established earlier. The rest of the time limit suffices for the check.
const CHECK_DELAY: Duration = Duration::from_millis(150);

/// Sends a probe to the instance at `address`.
///
/// # Errors
/// The result of the probe if there was no response whose head can be used.
pub async fn probe_instance(
    dialer: &dyn ServerDialer,
    request: RequestBuilder,
    address: SocketAddr,
) -> Result<FramedResponse, ProbeResult> {
    let mut answer = pin!(send_request(request.timeout(PROBE_TIMEOUT)));
    match tokio::time::timeout(CHECK_DELAY, answer.as_mut()).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(fault)) if is_refused(&fault) => Err(ProbeResult::Refused),
        Ok(Err(_)) => Err(failure(&check_process(dialer, address).await)),
        Err(_) => match tokio::join!(answer, check_process(dialer, address)) {
            (Ok(response), _) => Ok(response),
            (Err(fault), _) if is_refused(&fault) => Err(ProbeResult::Refused),
            (Err(_), check) => Err(failure(&check)),
        },
    }
}

fn is_refused(fault: &CallFault) -> bool {
    fault.is_connect() && !fault.is_timeout()
}

/// The result of a probe without a response, given what a new connection showed.
fn failure(check: &ProcessCheck) -> ProbeResult {
    match check {
        ProcessCheck::Exited => ProbeResult::Refused,
        ProcessCheck::Connected(_) => ProbeResult::Unresponsive,
        ProcessCheck::Unreachable => ProbeResult::Silent,
    }
}
