//! A runner fails a purchase that it has begun, and its consumer is told that nothing has run.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::*;
use crate::*;

/// A consumer's request: its id, the purchase that it asks for, and the answer's status.
type Sent = (String, String, u16);

/// A runner fails part of its requests: it begins to work on them, and answers 503 without
/// `X-Not-Executed`. Consumers buy, and try once more after a status that promises that the request
/// has not run.
pub fn play(fleet: &Fleet, has_trouble: bool) -> io::Result<bool> {
    let record = &fleet.record;
    fleet.store.put("op/config", config(7));
    let mut _runners = Vec::new();
    for index in 1..=4 {
        let manner = match has_trouble && index == 1 {
            true => "plain:work=30,fails=45,after=3000,for=6500",
            false => "plain:work=30",
        };
        let runner = Runner {
            service: "wuno96b".into(),
            slots: 6,
            ..describe(fleet, index, 1, manner)
        };
        _runners.push(fleet.runner(&runner)?);
    }
    let _gateways = gateways(fleet, 9)?;
    let until = Instant::now() + Duration::from_secs(5);
    let consumers: Vec<_> = (0..18u32)
        .map(|consumer| {
            let record = record.clone();
            let gateway = |number: u32| fleet.address(11 + (number % 9) as u8, 0);
            let gateways = [gateway(consumer), gateway(consumer + 1)];
            thread::spawn(move || {
                let mut sent: Vec<Sent> = Vec::new();
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let purchase = format!("seat-{consumer}-{number}");
                    for (retry, gateway) in gateways.iter().enumerate() {
                        let attempt = format!("9c41d07b{consumer:02}{number:04}{retry}0");
                        let status = buy(&record, *gateway, &attempt, &purchase);
                        sent.push((attempt, purchase.clone(), status));
                        if !matches!(status, 408 | 421 | 429 | 503) {
                            break;
                        }
                    }
                    thread::sleep(Duration::from_millis(150));
                }
                sent
            })
        })
        .collect();
    let mut sent = Vec::new();
    for consumer in consumers {
        sent.extend(
            consumer
                .join()
                .map_err(|_| io::Error::other("a consumer failed"))?,
        );
    }
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for (_, text) in fleet.runs() {
        if let Some((_, rest)) = text.split_once(" runs ") {
            let attempt = rest.split(' ').next().unwrap_or_default();
            *runs.entry(attempt.to_owned()).or_default() += 1;
        }
    }
    let mut refused = 0;
    let mut purchases: BTreeMap<&str, u32> = BTreeMap::new();
    for (attempt, purchase, status) in &sent {
        let count = runs.get(attempt).copied().unwrap_or_default();
        *purchases.entry(purchase).or_default() += count;
        if count > 0 && matches!(status, 408 | 421 | 429 | 503) {
            refused += 1;
            record.line(format!(
                "{attempt} for {purchase} was answered {status}, and has run"
            ));
        }
    }
    let twice = purchases.values().filter(|count| **count > 1).count();
    record.line(format!(
        "of {} requests, answered with a promise that they haven't run, and run: {refused}; \
         purchases that ran twice in consequence: {twice}",
        sent.len()
    ));
    Ok(refused > 0)
}

/// Sends a purchase on a new connection, and returns the status of the answer, 0 if there is none.
fn buy(record: &Record, gateway: SocketAddr, attempt: &str, purchase: &str) -> u16 {
    record.line(format!("consumer sends {attempt} for {purchase}"));
    let ended = match Connection::open(gateway) {
        Ok(mut it) => it.request("POST", PURCHASE, attempt, 2_500, "", purchase.as_bytes()),
        Err(error) => Ended {
            error: Some(error.to_string()),
            ..Ended::default()
        },
    };
    let stamp = ended
        .headers
        .iter()
        .find(|(name, _)| name == "x-server-stamp");
    record.line(format!(
        "consumer's {attempt} ends: status {}, stamp {:?}, {:?}",
        ended.status,
        stamp.map(|(_, value)| value),
        ended.error
    ));
    ended.status
}
