//! The template of a gateway's settings with any values of the platform.
//!
//! Guards against units that are changed by text: the template once wrote `{{bounds.graceS}}000`,
//! which kept every host from starting as soon as the platform gave 7.5.

use std::time::Duration;

use masticmoor::check::Fault;
use masticmoor::gateway::cold_start;
use masticmoor::gateway::limit;
use masticmoor::gateway::limit::Bucket;
use masticmoor::gateway::retry_budget;
use masticmoor::options::Gateway;
use masticmoor::options::Options;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const TEMPLATE: &str = include_str!("../deploy/settings.toml");

/// Values for the placeholders that tests don't change.
const VALUES: [(&str, &str); 19] = [
    ("nodeName", "h1"),
    ("zone", "z1"),
    ("listen.front", "10.0.0.1:80"),
    ("listen.control", "10.0.0.1:81"),
    ("listen.ready", "10.0.0.1:82"),
    ("platform.address", "10.0.0.2:2379"),
    ("seeds|json", "[]"),
    ("portRange.0", "7401"),
    ("bounds.revokeMs", "5000"),
    ("bounds.graceS", "8"),
    ("bounds.retryRatio", "0.2"),
    ("bounds.retrySlack", "58"),
    ("bounds.retryWindowS", "10"),
    ("bounds.coldOverage", "1.5"),
    ("bounds.coldSlack", "5"),
    ("limits.linkMbps", "1000.0"),
    ("limits.memoryMb", "512"),
    ("limits.maxFds", "8192"),
    ("bootstrap|json", "false"),
];

/// The placeholders whose values are numbers of any kind, with the key that each sets and the values
/// that are accepted.
const NUMBERS: [(&str, &str, f64, f64); 8] = [
    ("bounds.revokeMs", "revocation_ms", 1_000.0, 3_600_000.0),
    ("bounds.graceS", "grace_s", 0.0, 3_600.0),
    ("bounds.retryRatio", "retry_ratio", 0.0, 1e6),
    ("bounds.retrySlack", "retry_slack", 0.0, 1e6),
    ("bounds.retryWindowS", "retry_window_s", 0.1, 3_600.0),
    ("bounds.coldOverage", "cold_overage", 0.0, 1e6),
    ("bounds.coldSlack", "cold_slack", 0.0, 1e6),
    ("limits.linkMbps", "link_mbps", 0.001, 1e6),
];

/// Fills in the template, with the given values in place of the usual ones.
fn fill(changed: &[(&str, &str)]) -> String {
    let values = VALUES.iter().map(|(name, usual)| {
        let value = changed.iter().find(|(other, _)| other == name);
        (name, value.map_or(*usual, |(_, value)| *value))
    });
    let text = values.fold(TEMPLATE.to_owned(), |text, (name, value)| {
        let placeholder = format!("{{{{{name}}}}}");
        assert!(text.contains(&placeholder), "{placeholder}");
        text.replace(&placeholder, value)
    });
    assert!(!text.contains("{{"), "{text}");
    text
}

fn parse(changed: &[(&str, &str)]) -> Result<Gateway, Vec<Fault>> {
    Options::parse(&fill(changed)).map(|options| options.gateway)
}

/// Returns the value that a key has in effect, in the unit of the key.
fn in_effect(gateway: &Gateway, key: &str) -> f64 {
    match key {
        "revocation_ms" => gateway.revocation.as_secs_f64() * 1_000.0,
        "grace_s" => gateway.grace.as_secs_f64(),
        "retry_ratio" => gateway.retry_ratio,
        "retry_slack" => gateway.retry_slack,
        "retry_window_s" => gateway.retry_window.as_secs_f64(),
        "cold_overage" => gateway.cold_overage,
        "cold_slack" => gateway.cold_slack,
        "link_mbps" => f64::from(gateway.link_mbps),
        other => panic!("no key {other}"),
    }
}

#[test]
fn the_usual_values_take_effect() {
    let gateway = parse(&[]).unwrap();
    let expected = Gateway {
        ready_path: "/masticmoor/readyz".to_owned(),
        revocation: Duration::from_secs(5),
        grace: Duration::from_secs(8),
        retry_slack: 58.0,
        cold_overage: 1.5,
        cold_slack: 5.0,
        ..Gateway::default()
    };
    assert_eq!(gateway, expected);
}

#[test]
fn each_value_is_read_or_refused_with_its_key_and_what_is_accepted() {
    let texts = [
        "0",
        "-0",
        "0.0",
        "7",
        "7.5",
        "0.25",
        "1e3",
        "1E+3",
        "12.000000001",
        "1000",
        "2500.5",
        "3600",
        "3600.5",
        "100000",
        "1e6",
        "1e7",
        "99999999999999999999999999",
        "1e308",
        "1e999",
        "-1",
        "-0.5",
        "-1e300",
        "5e-324",
        "NaN",
        "nan",
        "Infinity",
        "inf",
        "-inf",
        "true",
        "null",
        "soon",
        "7,5",
        "0x10",
        "7s",
    ];
    for (name, key, min, max) in NUMBERS {
        for text in texts {
            let number = text.parse::<f64>().ok();
            let accepted = number.filter(|number| (min..=max).contains(number));
            match (parse(&[(name, text)]), accepted) {
                (Ok(gateway), Some(number)) => {
                    let expected = match key {
                        "link_mbps" => number.round().max(1.0),
                        _ => number,
                    };
                    let value = in_effect(&gateway, key);
                    assert!((value - expected).abs() < 1e-6, "{key} {text}: {value}");
                }
                (Err(faults), None) => {
                    let [fault] = faults.as_slice() else {
                        panic!("{key} {text}: {faults:?}");
                    };
                    let value = number.map_or(text.to_owned(), |number| number.to_string());
                    let fault = fault.to_string();
                    for part in [format!("gateway: {key} "), value, max.to_string()] {
                        assert!(fault.contains(&part), "{key} {text}: {fault}");
                    }
                }
                (result, _) => panic!("{key} {text}: {result:?}"),
            }
        }
    }
}

/// Guards against a template that isn't TOML once a value is absent.
#[test]
fn an_absent_value_is_the_default() {
    let usual = parse(&[]).unwrap();
    for (name, key, _, _) in NUMBERS {
        for absent in ["", " "] {
            let gateway = parse(&[(name, absent)]).unwrap();
            let default = in_effect(&Gateway::default(), key);
            assert!((in_effect(&gateway, key) - default).abs() < 1e-9, "{key}");
        }
    }
    let absent: Vec<_> = NUMBERS.iter().map(|(name, ..)| (*name, "")).collect();
    let expected = Gateway {
        ready_path: usual.ready_path,
        ..Gateway::default()
    };
    assert_eq!(parse(&absent), Ok(expected));
}

#[rstest]
#[case(
    "grace_ms = 8000\ngrace_s = 8.0",
    "grace_s is given beside gateway.grace_ms"
)]
#[case(
    "retry_window_ms = 100\nretry_window_s = \"1\"",
    "retry_window_s is given beside"
)]
fn a_setting_in_two_units_is_refused(#[case] lines: &str, #[case] expected: &str) {
    let text = fill(&[]);
    let (head, _) = text.split_once("[gateway]").unwrap();
    let text = format!("{head}[gateway]\n{lines}");
    let faults = Options::parse(&text).unwrap_err();
    assert!(
        faults
            .iter()
            .any(|fault| fault.to_string().contains(expected)),
        "{faults:?}"
    );
}

/// Returns any number, with more of those at the limits of types and of what is accepted.
fn number() -> impl Strategy<Value = f64> {
    let limits = NUMBERS.iter().flat_map(|(_, _, min, max)| [*min, *max]);
    let limits: Vec<f64> = limits.collect();
    prop_oneof![
        any::<f64>(),
        prop::sample::select(limits),
        0.0..10.0_f64,
        0.0..4e6_f64,
        (-320..308_i32).prop_map(|exponent| 10.0_f64.powi(exponent)),
    ]
}

/// Makes the decisions that depend on the settings. They must not panic.
fn decide(gateway: &Gateway, hosts: usize, limit_per_second: f64) {
    let now = Instant::now();
    let later = now + gateway.retry_window + gateway.grace + gateway.revocation;
    assert!(gateway.key_age() <= gateway.revocation);
    let service = "s1".into();
    let limits = gateway.retries();
    let mut budget = retry_budget::Table::default();
    for at in [now, later] {
        budget.record_request(at, &service, &limits);
        budget.spend(at, &service, &limits, Some(hosts));
        budget.spend(at, &service, &limits, None);
    }
    let cold = limit_per_second * gateway.cold_overage + gateway.cold_slack;
    for limit in [cold, limit_per_second] {
        for rank in [0, 1, hosts] {
            cold_start::share(limit, Some(hosts), rank);
            cold_start::share(limit, None, rank);
            let rate = limit::share(limit, hosts, rank, false);
            let mut bucket = Bucket::new(now, limit, rate);
            bucket.take(now);
            let wait = bucket.wait(now).unwrap_or_default();
            bucket.available(now + wait);
            bucket.set_rate(now + wait, limit, rate / 2.0);
        }
    }
}

proptest! {
    #[test]
    fn no_accepted_value_panics(
        numbers in prop::collection::vec(number(), NUMBERS.len()),
        hosts in 0_usize..500,
        limit in number(),
    ) {
        let texts: Vec<String> = numbers.iter().map(f64::to_string).collect();
        // One value at a time, so that one that is refused doesn't hide the others.
        for ((name, ..), text) in NUMBERS.iter().zip(&texts) {
            if let Ok(gateway) = parse(&[(name, text)]) {
                decide(&gateway, hosts, limit.abs());
            }
        }
        let all: Vec<_> = NUMBERS.iter().zip(&texts).map(|((name, ..), text)| (*name, text.as_str())).collect();
        if let Ok(gateway) = parse(&all) {
            decide(&gateway, hosts, limit.abs());
        }
    }
}
