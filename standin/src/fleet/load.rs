//! A continuous load of requests on a fleet, and the results its callers saw.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::answer;
use crate::fleet::client;
use crate::sync::lock;

/// The pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);

/// The results of all callers.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The number of complete, correct responses.
    pub answered: u64,
    /// A description of every other result, which begins with the entry.
    pub failed: Vec<String>,
}

/// A request, and a text that only its own complete response contains.
struct Check {
    request: Request<Full<Bytes>>,
    expected: String,
}

/// Callers that send requests until they are stopped.
pub struct Load {
    report: Arc<Mutex<Report>>,
    stop: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts one caller at each entry that looks up seats.
    pub fn lookups(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self::start(entries, |sequence| {
            let seat = sequence % 500;
            let request = client::lookup(seat)?;
            let expected = format!("\"seat\":{seat},");
            Ok(Check { request, expected })
        })
    }

    /// Starts one caller at each entry that streams chats, a new one each time.
    pub fn chats(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self::start(entries, |sequence| {
            let (request, body) = client::chat(
                "school",
                &format!("c{sequence}"),
                &format!("hello {sequence}"),
                true,
            )?;
            let words = answer::words(&body);
            // Each word comes in its own event; matching the last one is enough.
            let last = words.last().cloned().unwrap_or_default();
            let expected = last.trim_end().to_owned();
            Ok(Check { request, expected })
        })
    }

    fn start(
        entries: impl IntoIterator<Item = SocketAddr>,
        next: fn(u64) -> Result<Check, client::Error>,
    ) -> Self {
        let report = Arc::new(Mutex::new(Report::default()));
        let stop = CancellationToken::new();
        let callers = entries
            .into_iter()
            .map(|entry| {
                let (report, stop) = (report.clone(), stop.clone());
                tokio::spawn(async move {
                    let mut sequence = u64::from(entry.port());
                    while !stop.is_cancelled() {
                        let result = send_one(entry, next(sequence)).await;
                        lock(&report).record(entry, result);
                        sequence += 1;
                        tokio::time::sleep(REQUEST_PAUSE).await;
                    }
                })
            })
            .collect();
        Self {
            report,
            stop,
            callers,
        }
    }

    /// Returns the results so far.
    pub fn report(&self) -> Report {
        lock(&self.report).clone()
    }

    /// Stops the callers after their current requests and returns all results.
    pub async fn finish(self) -> Report {
        self.stop.cancel();
        for caller in self.callers {
            if let Err(error) = caller.await {
                lock(&self.report).failed.push(error.to_string());
            }
        }
        lock(&self.report).clone()
    }
}

impl Report {
    fn record(&mut self, entry: SocketAddr, result: Result<(), String>) {
        match result {
            Ok(()) => self.answered += 1,
            Err(reason) => self.failed.push(format!("{entry}: {reason}")),
        }
    }
}

async fn send_one(entry: SocketAddr, check: Result<Check, client::Error>) -> Result<(), String> {
    let Check { request, expected } = check.map_err(|error| error.to_string())?;
    let answer = client::send(entry, request)
        .await
        .map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&answer.body);
    match answer.outcome() {
        "answered" if text.contains(&expected) => Ok(()),
        outcome => Err(format!("{outcome} {}: {text}", answer.status)),
    }
}
