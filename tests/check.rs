//! Faults in settings, register and rules, and robustness of the parsers against any text.

#![expect(
    clippy::indexing_slicing,
    clippy::unwrap_used,
    reason = "a test may panic"
)]

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use masticmoor::check;
use masticmoor::check::Fault;
use masticmoor::check::Kind;
use masticmoor::options;
use masticmoor::options::Options;
use masticmoor::register::parse::register;
use masticmoor::register::parse::workspaces;
use masticmoor::rules::parse::rules;
use proptest::prelude::*;
use rstest::rstest;
use strum::VariantNames;

const SETTINGS: &str = include_str!("../settings/masticmoor.toml");
const REGISTER: &str = include_str!("../settings/register.toml");
const RULES: &str = include_str!("../settings/rules.toml");
const FAULTS: &str = include_str!("golden/faults.txt");

/// Kinds without a file under `tests/fixtures/invalid`; each has a test below.
const TESTED_BELOW: [&str; 3] = ["unreadable", "value-too-long", "other-zone"];
/// Kinds that only a bug in this crate can cause.
const INTERNAL: [&str; 1] = ["form"];

type Parse = fn(&str) -> Vec<Fault>;

fn settings_faults(text: &str) -> Vec<Fault> {
    Options::parse(text).err().unwrap_or_default()
}

fn register_faults(text: &str) -> Vec<Fault> {
    register(text).err().unwrap_or_default()
}

fn rules_faults(text: &str) -> Vec<Fault> {
    rules(text).err().unwrap_or_default()
}

fn workspaces_faults(text: &str) -> Vec<Fault> {
    workspaces(text).err().unwrap_or_default()
}

/// Returns a line for each file of a directory, with its only fault.
fn table(directory: &str, parse: Parse) -> String {
    let entries = fs::read_dir(format!("tests/fixtures/invalid/{directory}")).unwrap();
    let paths: BTreeSet<_> = entries.map(|entry| entry.unwrap().path()).collect();
    let mut table = String::new();
    for path in paths {
        let name = path.file_stem().unwrap().to_str().unwrap();
        let faults = parse(&fs::read_to_string(&path).unwrap());
        assert_eq!(faults.len(), 1, "{directory}/{name}: {faults:?}");
        let kind: &str = (&faults[0].kind).into();
        writeln!(table, "{directory}/{name} {kind} {}", faults[0]).unwrap();
    }
    table
}

#[rstest]
#[case("settings", settings_faults)]
#[case("register", register_faults)]
#[case("rules", rules_faults)]
#[case("workspaces", workspaces_faults)]
fn each_invalid_file_has_exactly_its_fault(#[case] directory: &str, #[case] parse: Parse) {
    let lines = FAULTS.lines().filter(|line| line.starts_with(directory));
    let expected: String = lines.flat_map(|line| [line, "\n"]).collect();
    assert_eq!(table(directory, parse), expected);
}

#[test]
fn each_kind_of_fault_is_covered() {
    let covered = FAULTS.lines().filter_map(|line| line.split(' ').nth(1));
    let covered: BTreeSet<_> = covered.chain(TESTED_BELOW).chain(INTERNAL).collect();
    let kinds: BTreeSet<_> = Kind::VARIANTS.iter().copied().collect();
    assert_eq!(covered, kinds);
}

#[test]
fn all_faults_of_a_file_are_reported_at_once() {
    let path = Path::new("tests/fixtures/many-faults.toml");
    let report = check::run(None, Some(path), None);
    assert!(!report.is_clean());
    let expected = include_str!("golden/many-faults.txt");
    assert_eq!(report.to_string(), expected);
}

#[test]
fn settings_and_rules_are_checked_against_the_register() {
    let settings = Path::new("tests/fixtures/dangling/settings.toml");
    let register = Path::new("settings/register.toml");
    let rules = Path::new("tests/fixtures/dangling/rules.toml");
    let report = check::run(Some(settings), Some(register), Some(rules));
    let expected = include_str!("golden/dangling.txt");
    assert_eq!(report.to_string(), expected);
}

#[test]
fn a_host_in_another_zone_is_a_fault() {
    let settings = SETTINGS.replace("mandeville", "may-pen");
    let options = Options::parse(&settings).unwrap();
    let fault = options::dangling(&options, &register(REGISTER).unwrap()).unwrap();
    let listed = "mandeville".to_owned();
    assert_eq!(fault.kind, Kind::OtherZone { listed });
}

#[test]
fn a_missing_file_is_a_fault() {
    let report = check::run(None, None, Some(Path::new("tests/fixtures/none.toml")));
    let kind = &report.files[0].faults[0].kind;
    assert!(matches!(kind, Kind::Unreadable { .. }), "{report}");
}

#[rstest]
#[case(register_faults)]
#[case(rules_faults)]
#[case(workspaces_faults)]
fn a_value_over_a_megabyte_is_a_fault(#[case] parse: Parse) {
    let text = format!("revision = 1\n#{}", "-".repeat(check::MAX_VALUE_BYTES));
    let bytes = text.len();
    let max = check::MAX_VALUE_BYTES;
    let faults = parse(&text);
    assert_eq!(faults[0].kind, Kind::ValueTooLong { bytes, max });
    assert_eq!(parse(&text[..max]), []);
}

/// Generates copies of a sample with a range of it overwritten.
fn damaged(sample: &'static str) -> impl Strategy<Value = String> {
    let text = prop_oneof![
        "[ -~\n]{0,6}",
        "\\PC{0,4}",
        Just("[[upstream]]\n".to_owned())
    ];
    (0..sample.len(), 0usize..12, text).prop_map(move |(from, length, text)| {
        let to = (from + length).min(sample.len());
        format!("{}{text}{}", &sample[..from], &sample[to..])
    })
}

fn any_text() -> impl Strategy<Value = String> {
    prop_oneof![
        ".{0,200}",
        damaged(SETTINGS),
        damaged(REGISTER),
        damaged(RULES)
    ]
}

// A parser that recurses would overflow the stack on deep nesting, and one fault per byte
// would flood the report.
#[rstest]
#[case("[", "")]
#[case("a.", "a = 1")]
#[case("{a=", "")]
#[case("=", "")]
fn deeply_nested_or_invalid_text_gives_a_limited_number_of_faults(
    #[case] repeated: &str,
    #[case] end: &str,
) {
    let text = format!("{}{end}", repeated.repeat(200_000));
    let faults = register_faults(&text);
    assert!((1..=100).contains(&faults.len()));
    let is_syntax = |fault: &Fault| matches!(fault.kind, Kind::Syntax { .. });
    assert!(faults.iter().all(is_syntax));
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_gives_faults_with_a_line(text in any_text()) {
        let lines = text.split('\n').count();
        for parse in [settings_faults, register_faults, rules_faults, workspaces_faults] {
            let faults = parse(&text);
            prop_assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.place.line)));
            prop_assert!(faults.iter().all(|fault| !fault.to_string().contains('\n')));
        }
    }

    #[test]
    fn an_accepted_register_is_consistent(text in damaged(REGISTER)) {
        let Ok(register) = register(&text) else { return Ok(()) };
        prop_assert!(register.hosts.values().all(|host| register.zones.contains_key(&host.zone)));
        for upstream in register.upstreams.values() {
            prop_assert!(register.zones.contains_key(&upstream.zone));
            prop_assert!((1..=upstream.slots).contains(&upstream.cold_slots));
        }
    }
}
