//! A file on its way from text to the types inside, with the faults found.

use serde::de::DeserializeOwned;

use crate::check::Fault;
use crate::check::Kind;
use crate::check::MAX_VALUE_BYTES;
use crate::check::form;
use crate::check::schema::Schema;
use crate::check::tree::Node;
use crate::check::tree::Tree;

/// A TOML text with the faults found so far.
#[derive(Clone, Debug)]
pub struct Document<'a> {
    tree: Tree<'a>,
    faults: Vec<Fault>,
}

impl<'a> Document<'a> {
    /// Reads a text and checks its form against a schema. A text that is not
    /// TOML has no further faults: what follows from a typo would hide it.
    pub fn read(text: &'a str, schema: &str) -> Result<Self, Vec<Fault>> {
        let schema = Schema::parse(schema).map_err(|error| vec![form(&error.to_string())])?;
        let tree = Tree::parse(text)?;
        let faults = form::check(&schema, &tree.root());
        Ok(Self { tree, faults })
    }

    /// Reads a value that the platform keeps.
    pub fn read_value(text: &'a str, schema: &str) -> Result<Self, Vec<Fault>> {
        match text.len() {
            bytes if bytes > MAX_VALUE_BYTES => {
                let most = MAX_VALUE_BYTES;
                Err(vec![Fault::at_key("", Kind::ValueTooLong { bytes, most })])
            }
            _ => Self::read(text, schema),
        }
    }

    /// Returns the value of the whole text.
    pub fn root(&self) -> Node<'_> {
        self.tree.root()
    }

    /// Adds faults.
    pub fn add(&mut self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.extend(faults);
    }

    /// Converts the text if nothing is wrong with it, else returns all faults
    /// in the order of the text.
    pub fn convert<T: DeserializeOwned>(mut self) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            return self
                .tree
                .convert()
                .map_err(|error| vec![form(error.message())]);
        }
        self.faults.sort_by(|a, b| a.place.cmp(&b.place));
        Err(self.faults)
    }
}

fn form(message: &str) -> Fault {
    let message = message.to_owned();
    Fault::at_key("", Kind::Form { message })
}
