//! The subset of JSON Schema that the files under `schema/` use.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A schema with its definitions.
#[derive(Clone, Debug, Deserialize)]
pub struct Schema {
    /// The schema of the root table.
    #[serde(flatten)]
    pub root: Shape,
    /// The definitions by name.
    pub definitions: BTreeMap<String, Shape>,
}

/// A schema of a value.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Shape {
    /// A reference to a definition.
    Reference {
        /// The JSON pointer to the definition.
        #[serde(rename = "$ref")]
        pointer: String,
    },
    /// An inline schema.
    Inline(Type),
}

/// A schema by the type of its values.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Type {
    /// A table with known keys.
    Object(Table),
    /// A list.
    Array {
        /// The schema of each item.
        items: Box<Shape>,
        /// The minimum number of items.
        #[serde(default, rename = "minItems")]
        min_items: usize,
    },
    /// A string.
    String {
        /// The accepted strings; if there are none, any string is accepted.
        #[serde(default, rename = "enum")]
        accepted: Vec<String>,
        /// The format of the string, if it is restricted.
        format: Option<Format>,
    },
    /// An integer.
    Integer(Range),
    /// An integer or a float.
    Number(Range),
    /// A boolean.
    Boolean,
}

/// The schema of a table.
#[derive(Clone, Debug, Deserialize)]
pub struct Table {
    /// The known keys with the schemas of their values.
    pub properties: BTreeMap<String, Shape>,
    /// The required keys.
    #[serde(default)]
    pub required: Vec<String>,
}

/// The range of accepted numbers, including both ends.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Range {
    /// The smallest accepted number.
    pub minimum: f64,
    /// The largest accepted number.
    pub maximum: f64,
    /// Whether a text with a number in the range is accepted too, as a template may fill it in.
    /// An empty text then counts as if the key was not given.
    #[serde(default, rename = "x-text")]
    pub accepts_text: bool,
}

/// The format of a string.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// A positive number, or nothing if it is unknown.
    Amount,
    /// An IP address and port to connect to.
    Address,
    /// An IP address and port to listen on.
    Listen,
    /// A name of visible ASCII characters.
    Name,
    /// An absolute URL path.
    Path,
}

impl Schema {
    /// Parses a schema.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns whether any number may be given as a text.
    pub fn accepts_text(&self) -> bool {
        let tables = self.definitions.values().filter_map(|shape| match shape {
            Shape::Inline(Type::Object(table)) => Some(table),
            Shape::Inline(_) | Shape::Reference { .. } => None,
        });
        let mut shapes = tables.flat_map(|table| table.properties.values());
        shapes.any(|shape| matches!(shape, Shape::Inline(ty) if ty.accepts_text()))
    }

    /// Resolves references. Returns `None` if a definition is missing.
    pub fn resolve<'a>(&'a self, shape: &'a Shape) -> Option<&'a Type> {
        match shape {
            Shape::Inline(ty) => Some(ty),
            Shape::Reference { pointer } => {
                let name = pointer.strip_prefix("#/definitions/")?;
                self.resolve(self.definitions.get(name)?)
            }
        }
    }
}

impl Type {
    /// Returns whether a text may stand in place of a number.
    pub fn accepts_text(&self) -> bool {
        matches!(self, Self::Integer(range) | Self::Number(range) if range.accepts_text)
    }

    /// Returns the name of the type in TOML.
    pub fn type_name(&self) -> &'static str {
        match self {
            Self::Object(_) => "table",
            Self::Array { .. } => "array",
            Self::String { .. } => "string",
            Self::Integer(_) => "integer",
            Self::Number(_) => "float",
            Self::Boolean => "boolean",
        }
    }
}

impl Range {
    /// Returns whether a number is in the range. NaN never is.
    pub fn contains(self, value: f64) -> bool {
        (self.minimum..=self.maximum).contains(&value)
    }
}
