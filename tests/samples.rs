//! The sample files, the schemas and the documentation of settings agree with the code.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::path::Path;

use masticmoor::border;
use masticmoor::check;
use masticmoor::check::Kind;
use masticmoor::class::Class;
use masticmoor::options::Options;
use masticmoor::options::log::Level;
use masticmoor::register::Register;
use masticmoor::register::parse::register;
use masticmoor::register::parse::workspaces;
use masticmoor::register::upstream::Pool;
use masticmoor::rules;
use masticmoor::rules::Load;
use masticmoor::rules::parse::rules;
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use strum::VariantNames;

const PAGE: &str = include_str!("../docs/OPERATORS-settings.md");
const SETTINGS: &str = include_str!("../settings/masticmoor.toml");
const REGISTER: &str = include_str!("../settings/register.toml");
const RULES: &str = include_str!("../settings/rules.toml");

/// The schema keywords that the checks or the type generator support.
const KEYWORDS: [&str; 17] = [
    "$ref",
    "$schema",
    "additionalProperties",
    "definitions",
    "description",
    "enum",
    "format",
    "items",
    "maximum",
    "minItems",
    "minimum",
    "properties",
    "required",
    "title",
    "type",
    "x-rust-type",
    "x-text",
];

#[test]
fn the_samples_have_no_faults() {
    let settings = Path::new("settings/masticmoor.toml");
    let register = Path::new("settings/register.toml");
    let rules = Path::new("settings/rules.toml");
    let report = check::run(Some(settings), Some(register), Some(rules));
    assert!(report.is_clean(), "{report}");
    assert_eq!(report.files.len(), 3);
}

#[test]
fn the_sample_settings_are_the_defaults() {
    let sample = Options::parse(SETTINGS).unwrap();
    let mut defaults = Options::new(sample.host.clone());
    defaults.platform.addresses = sample.platform.addresses.clone();
    assert_eq!(sample, defaults);
}

#[test]
fn the_sample_settings_contain_every_key() {
    let schema: Value = serde_json::from_str(include_str!("../schema/settings.json")).unwrap();
    let mut sample = SETTINGS.to_owned();
    for commented in ["statsd", "grace_s", "retry_window_s"] {
        sample = sample.replace(&format!("# {commented} ="), &format!("{commented} ="));
    }
    let sample: toml::Table = sample.parse().unwrap();
    for (section, reference) in schema["properties"].as_object().unwrap() {
        let pointer = &reference["$ref"].as_str().unwrap()[1..];
        let object = schema.pointer(pointer).unwrap();
        let keys = object["properties"].as_object().unwrap().keys();
        let sample_keys = sample[section].as_table().unwrap().keys();
        assert!(keys.eq(sample_keys), "{section}");
    }
}

#[test]
fn settings_override_the_defaults() {
    let other = include_str!("fixtures/other-settings.toml");
    let golden = include_str!("golden/other-settings.txt");
    assert_eq!(format!("{:#?}\n", Options::parse(other).unwrap()), golden);
}

#[test]
fn the_sample_register_and_rules_are_parsed_completely() {
    let register = register(REGISTER).unwrap();
    let rules = rules(RULES).unwrap();
    let golden = include_str!("golden/samples.txt");
    assert_eq!(format!("{register:#?}\n{rules:#?}\n"), golden);
}

#[test]
fn rules_without_load_have_the_default_limits() {
    let rules = rules("revision = 7").unwrap();
    assert_eq!(rules.load, Load::default());
    assert_eq!(rules::dangling(&rules, &Register::default()), []);
}

#[test]
fn a_value_that_lists_workspaces_is_parsed() {
    let list = workspaces("revision = 4\nworkspace = [{ name = \"s\", weight = 5 }]").unwrap();
    assert_eq!(list.revision.0, 4);
    assert_eq!(list.workspaces["s"].weight, 5);
}

/// Calls `check` with each schema object within a JSON schema.
fn visit(value: &Value, check: &mut impl FnMut(&Map<String, Value>)) {
    if let Some(object) = value.as_object() {
        check(object);
        let inner = ["properties", "definitions"].into_iter();
        let inner = inner.filter_map(|key| object.get(key)?.as_object());
        inner
            .flat_map(|map| map.values())
            .for_each(|value| visit(value, check));
        object
            .get("items")
            .into_iter()
            .for_each(|value| visit(value, check));
    }
}

#[rstest]
#[case(include_str!("../schema/settings.json"))]
#[case(include_str!("../schema/register.json"))]
#[case(include_str!("../schema/rules.json"))]
#[case(include_str!("../schema/workspaces.json"))]
fn the_checks_support_all_keywords_of_the_schemas(#[case] text: &str) {
    let schema: Value = serde_json::from_str(text).unwrap();
    visit(&schema, &mut |object| {
        let unknown = object.keys().find(|key| !KEYWORDS.contains(&key.as_str()));
        assert_eq!(unknown, None);
        let closed = object.get("additionalProperties") == Some(&false.into());
        assert_eq!(closed, object.contains_key("properties"));
        let pointer = object
            .get("$ref")
            .map(|pointer| &pointer.as_str().unwrap()[1..]);
        assert!(pointer.is_none_or(|pointer| schema.pointer(pointer).is_some()));
    });
}

#[test]
fn the_documentation_lists_every_kind_and_key() {
    for kind in Kind::VARIANTS {
        assert!(PAGE.contains(&format!("| `{kind}` |")), "{kind}");
    }
    for text in [SETTINGS, REGISTER, RULES] {
        let keys = text.lines().filter_map(|line| line.split_once(" = "));
        for (key, _) in keys.filter(|(key, _)| !key.starts_with([' ', '#'])) {
            assert!(PAGE.contains(&format!("`{key}`")), "{key}");
        }
    }
}

#[test]
fn settings_at_their_limits_are_accepted() {
    let edge = include_str!("fixtures/edge-settings.toml");
    assert_eq!(Options::parse(edge).err(), None);
}

#[test]
fn a_register_at_its_limits_is_accepted() {
    let register = register(include_str!("fixtures/edge-register.toml")).unwrap();
    assert_eq!(register.workspace_parts, 4);
    let classes = register.services.values().map(|service| service.class);
    let expected = [Class::Interactive, Class::Batch, Class::Interactive];
    assert!(classes.eq(expected));
    let door = Pool::Model("door".into());
    assert!(register.upstreams["a1"].serves(&door));
    assert!(!register.upstreams["a2"].serves(&door));
}

#[rstest]
#[case("error", Level::Error)]
#[case("warn", Level::Warn)]
#[case("info", Level::Info)]
#[case("debug", Level::Debug)]
#[case("trace", Level::Trace)]
fn each_level_is_parsed(#[case] name: &str, #[case] level: Level) {
    let settings = SETTINGS.replace("level = \"info\"", &format!("level = \"{name}\""));
    assert_eq!(Options::parse(&settings).unwrap().log.level, level);
}

/// Parses a text with the generated type and serializes it again.
fn reserialize<T: Serialize + DeserializeOwned>(text: &str) -> String {
    toml::to_string(&toml::from_str::<T>(text).unwrap()).unwrap()
}

#[test]
fn the_samples_are_unchanged_by_serialization() {
    let settings = reserialize::<border::settings::Settings>(SETTINGS);
    assert_eq!(Options::parse(&settings), Options::parse(SETTINGS));
    let written = reserialize::<border::register::Register>(REGISTER);
    assert_eq!(register(&written), register(REGISTER));
    let written = reserialize::<border::rules::Rules>(RULES);
    assert_eq!(rules(&written), rules(RULES));
}
