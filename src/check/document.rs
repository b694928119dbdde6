//! A TOML file that is checked against a schema and then converted to Rust types.

use serde::de::DeserializeOwned;

use crate::check::Fault;
use crate::check::Kind;
use crate::check::MAX_VALUE_BYTES;
use crate::check::schema::Schema;
use crate::check::tree::Node;
use crate::check::tree::Tree;
use crate::check::validate;

/// A parsed TOML text with the faults found so far.
#[derive(Clone, Debug)]
pub struct Document<'a> {
    tree: Tree<'a>,
    schema: Schema,
    faults: Vec<Fault>,
}

impl<'a> Document<'a> {
    /// Parses a text and checks it against a schema. For a text that is not valid TOML,
    /// only the syntax errors are returned: consequential faults would hide them.
    pub fn read(text: &'a str, schema: &str) -> Result<Self, Vec<Fault>> {
        let schema =
            Schema::parse(schema).map_err(|error| vec![schema_mismatch(&error.to_string())])?;
        let tree = Tree::parse(text)?;
        let faults = validate::check(&schema, &tree.root());
        Ok(Self {
            tree,
            schema,
            faults,
        })
    }

    /// Parses a value that is stored on the platform, which limits its size.
    pub fn read_value(text: &'a str, schema: &str) -> Result<Self, Vec<Fault>> {
        match text.len() {
            bytes if bytes > MAX_VALUE_BYTES => {
                let max = MAX_VALUE_BYTES;
                Err(vec![Fault::at_key("", Kind::ValueTooLong { bytes, max })])
            }
            _ => Self::read(text, schema),
        }
    }

    /// Returns the root table.
    pub fn root(&self) -> Node<'_> {
        self.tree.root()
    }

    /// Adds faults.
    pub fn add(&mut self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.extend(faults);
    }

    /// Converts the text if it has no faults. Otherwise returns the faults in the order
    /// of the text.
    pub fn convert<T: DeserializeOwned>(mut self) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            let converted = match self.schema.accepts_text() {
                true => self.tree.convert_filled(&self.schema),
                false => self.tree.convert(),
            };
            return converted.map_err(|error| vec![schema_mismatch(error.message())]);
        }
        self.faults.sort_by(|a, b| a.place.cmp(&b.place));
        Err(self.faults)
    }
}

fn schema_mismatch(message: &str) -> Fault {
    let message = message.to_owned();
    Fault::at_key("", Kind::SchemaMismatch { message })
}
