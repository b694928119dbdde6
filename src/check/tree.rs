//! A TOML text as a tree whose values know their positions.

use serde::de::DeserializeOwned;
use serde_spanned::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::check::Fault;
use crate::check::Kind;
use crate::check::Place;
use crate::check::fill;
use crate::check::lines::Lines;
use crate::check::schema::Schema;

/// The keys whose value names an item of a list.
const NAME_KEYS: [&str; 2] = ["name", "upstream"];
/// The maximum length of a name that is shown in a label.
const MAX_LABEL_NAME_BYTES: usize = 64;

/// The maximum number of syntax errors that are reported. A file that was never meant to
/// be TOML has one at each byte.
const MAX_SYNTAX_FAULTS: usize = 100;

/// A parsed TOML text.
#[derive(Clone, Debug)]
pub struct Tree<'a> {
    lines: Lines,
    root: Spanned<DeValue<'a>>,
}

/// A value of a tree, with the keys that lead to it.
#[derive(Clone, Debug)]
pub struct Node<'t> {
    lines: &'t Lines,
    label: String,
    value: &'t Spanned<DeValue<'t>>,
}

impl<'a> Tree<'a> {
    /// Parses a text. Returns the syntax errors if there are any.
    pub fn parse(text: &'a str) -> Result<Self, Vec<Fault>> {
        let lines = Lines::new(text);
        let (table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let errors = errors.iter().take(MAX_SYNTAX_FAULTS);
            return Err(errors.map(|error| syntax_fault(&lines, error)).collect());
        }
        let span = table.span();
        let root = Spanned::new(span, DeValue::Table(table.into_inner()));
        Ok(Self { lines, root })
    }

    /// Converts the text to a Rust type, after numbers that are given as texts were read.
    pub fn convert_filled<T: DeserializeOwned>(
        self,
        schema: &Schema,
    ) -> Result<T, toml::de::Error> {
        let mut value: toml::Value = self.convert()?;
        fill::numbers(schema, &schema.root, &mut value);
        T::deserialize(value)
    }

    /// Returns the root table.
    pub fn root(&self) -> Node<'_> {
        Node {
            lines: &self.lines,
            label: String::new(),
            value: &self.root,
        }
    }

    /// Converts the text to a Rust type.
    pub fn convert<T: DeserializeOwned>(self) -> Result<T, toml::de::Error> {
        T::deserialize(toml::de::ValueDeserializer::from(self.root))
    }
}

fn syntax_fault(lines: &Lines, error: &toml::de::Error) -> Fault {
    let byte = error.span().map_or(0, |span| span.start);
    let (line, column) = lines.position(byte);
    let key = String::new();
    let message = error.message().replace('\n', " ");
    Fault {
        place: Place { line, column, key },
        kind: Kind::Syntax { message },
    }
}

impl<'t> Node<'t> {
    /// Returns the value.
    pub fn value(&self) -> &'t DeValue<'t> {
        self.value.get_ref()
    }

    /// Returns the keys that lead to the value, such as `upstream a1: zone`.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// Returns the value of a key of this table.
    pub fn get(&self, key: &str) -> Option<Self> {
        let value = self.value().as_table()?.get(key)?;
        Some(self.with(self.join(key), value))
    }

    /// Returns the keys of this table; none if it is not a table.
    pub fn keys(&self) -> impl Iterator<Item = &'t Spanned<toml::de::DeString<'t>>> + use<'t> {
        let table = self.value().as_table();
        table.into_iter().flat_map(|table| table.keys())
    }

    /// Returns the items of this list; none if it is not a list.
    pub fn items(&self) -> Vec<Self> {
        let list = self.value().as_array().map(|list| list.iter());
        let numbered = list.into_iter().flatten().zip(1..);
        numbered
            .map(|(value, number)| self.with(self.label_item(value.get_ref(), number), value))
            .collect()
    }

    /// Returns the items of the list at a key; none if it is missing or not a list.
    pub fn list(&self, key: &str) -> Vec<Self> {
        self.get(key).map(|list| list.items()).unwrap_or_default()
    }

    /// Returns the value if it is a string.
    pub fn text(&self) -> Option<&'t str> {
        self.value().as_str()
    }

    /// Returns the value if it is an integer from 0 to `u64::MAX`.
    pub fn integer(&self) -> Option<u64> {
        let integer = self.value().as_integer()?;
        u64::from_str_radix(integer.as_str(), integer.radix()).ok()
    }

    /// Returns the line of the value, from 1.
    pub fn line(&self) -> usize {
        self.lines.position(self.value.span().start).0
    }

    /// Creates a fault at this value.
    pub fn fault(&self, kind: Kind) -> Fault {
        let place = self.place(self.value.span().start, self.label.clone());
        Fault { place, kind }
    }

    /// Creates a fault at a key of this table.
    pub fn fault_at(&self, key: &Spanned<toml::de::DeString<'t>>, kind: Kind) -> Fault {
        let place = self.place(key.span().start, self.join(key.get_ref()));
        Fault { place, kind }
    }

    /// Creates a fault for a key that is missing in this table.
    pub fn fault_missing(&self, key: &str) -> Fault {
        let place = self.place(self.value.span().start, self.join(key));
        let kind = Kind::MissingKey;
        Fault { place, kind }
    }

    fn with(&self, label: String, value: &'t Spanned<DeValue<'t>>) -> Self {
        let lines = self.lines;
        Self {
            lines,
            label,
            value,
        }
    }

    fn place(&self, byte: usize, key: String) -> Place {
        let (line, column) = self.lines.position(byte);
        Place { line, column, key }
    }

    fn join(&self, key: &str) -> String {
        match self.label.as_str() {
            "" => key.escape_debug().to_string(),
            label => format!("{label}: {}", key.escape_debug()),
        }
    }

    fn label_item(&self, item: &DeValue<'_>, number: usize) -> String {
        let name = NAME_KEYS
            .iter()
            .find_map(|key| item.get(*key)?.get_ref().as_str());
        match name {
            _ if !item.is_table() => self.label.clone(),
            Some(name) if is_showable(name) => format!("{} {name}", self.label),
            _ => format!("{} {number}", self.label),
        }
    }
}

fn is_showable(name: &str) -> bool {
    (1..=MAX_LABEL_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_graphic())
}
