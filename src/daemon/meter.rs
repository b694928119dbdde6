//! Maintains the measurements of the host and sends them to a StatsD server.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::lock::lock;
use crate::meter::statsd::Client;
use crate::meter::statsd::Error;
use crate::options;
use crate::state::State;

/// How often the busiest workspaces are determined again.
const RERANK_PERIOD: Duration = Duration::from_secs(10);

/// Assigns the rows to the busiest workspaces, until the process stops.
pub async fn rerank_rows(state: Arc<State>) {
    loop {
        sleep(RERANK_PERIOD).await;
        lock(&state.meter).rerank(Instant::now());
    }
}

/// Returns a client for the StatsD server, if the settings name one. Fails if
/// its socket can't be opened.
pub fn client(options: &options::Metric) -> Result<Option<Client>, Error> {
    let connect = |address| Client::new(address, &options.prefix);
    options.statsd.map(connect).transpose()
}

/// Sends the measurements of each period, until the process stops.
pub async fn send(state: Arc<State>, client: Client) {
    loop {
        sleep(state.options.metric.period).await;
        let now = Instant::now();
        let (period, snapshot) = {
            let mut meter = lock(&state.meter);
            (meter.take_period(now), meter.snapshot(now))
        };
        let lost = client.send(&period)
            + client.send_rows(&snapshot)
            + client.send_tokens(&state.issuer.counters());
        if lost > 0 || !client.flush() {
            tracing::warn!(lost, "meter: StatsD lines not sent");
        }
    }
}
