//! Checks a tree against a schema: keys, types, ranges and formats of strings.

use toml::de::DeFloat;
use toml::de::DeInteger;
use toml::de::DeValue;

use crate::check::Fault;
use crate::check::Kind;
use crate::check::schema::Range;
use crate::check::schema::Schema;
use crate::check::schema::Shape;
use crate::check::schema::Table;
use crate::check::schema::Type;
use crate::check::text;
use crate::check::tree::Node;

/// Returns all faults of a tree with respect to a schema.
pub fn check(schema: &Schema, root: &Node<'_>) -> Vec<Fault> {
    let mut visitor = Visitor {
        schema,
        faults: Vec::new(),
    };
    visitor.visit(&schema.root, root);
    visitor.faults
}

struct Visitor<'s> {
    schema: &'s Schema,
    faults: Vec<Fault>,
}

impl Visitor<'_> {
    fn visit(&mut self, shape: &Shape, node: &Node<'_>) {
        let schema = self.schema;
        let Some(ty) = schema.resolve(shape) else {
            let message = "the schema does not define its type".to_owned();
            return self
                .faults
                .push(node.fault(Kind::SchemaMismatch { message }));
        };
        match (ty, node.value()) {
            (Type::Object(table), DeValue::Table(_)) => self.visit_table(table, node),
            (Type::Array { items, min_items }, DeValue::Array(_)) => {
                self.visit_list(items, *min_items, node)
            }
            (ty, value) => {
                let kind = scalar_fault(ty, value);
                self.faults.extend(kind.map(|kind| node.fault(kind)));
            }
        }
    }

    fn visit_table(&mut self, table: &Table, node: &Node<'_>) {
        for key in node.keys() {
            let name = key.get_ref();
            match (table.properties.get(name.as_ref()), node.get(name)) {
                (Some(shape), Some(value)) => self.visit(shape, &value),
                _ => self.faults.push(node.fault_at(key, Kind::UnknownKey)),
            }
        }
        let missing = table.required.iter().filter(|key| node.get(key).is_none());
        let missing = missing.map(|key| node.fault_missing(key));
        self.faults.extend(missing);
    }

    fn visit_list(&mut self, items: &Shape, min_items: usize, node: &Node<'_>) {
        let list = node.items();
        if list.len() < min_items {
            self.faults.push(node.fault(Kind::Empty));
        }
        for item in &list {
            self.visit(items, item);
        }
    }
}

fn scalar_fault(ty: &Type, value: &DeValue<'_>) -> Option<Kind> {
    match (ty, value) {
        (Type::String { accepted, format }, DeValue::String(found)) => {
            let unknown = !accepted.is_empty() && !accepted.iter().any(|text| text == found);
            match format {
                _ if unknown => Some(Kind::NotOneOf {
                    value: found.to_string(),
                    accepted: accepted.clone(),
                }),
                Some(format) => text::fault(*format, found),
                None => None,
            }
        }
        (Type::Integer(range) | Type::Number(range), DeValue::Integer(found)) => {
            range_fault(*range, integer(found))
        }
        (Type::Number(range), DeValue::Float(found)) => range_fault(*range, float(found)),
        (Type::Number(range), DeValue::String(found)) if range.accepts_text => {
            text_fault(*range, found)
        }
        (Type::Boolean, DeValue::Boolean(_)) => None,
        (ty, value) => Some(Kind::WrongType {
            found: value.type_str(),
            expected: ty.type_name(),
        }),
    }
}

fn text_fault(range: Range, found: &str) -> Option<Kind> {
    match found.trim() {
        "" => None,
        text => match text.parse() {
            Ok(value) => range_fault(range, value),
            Err(_) => Some(Kind::NotANumber {
                value: found.to_owned(),
                min: range.minimum,
                max: range.maximum,
            }),
        },
    }
}

fn range_fault(range: Range, value: f64) -> Option<Kind> {
    match range.contains(value) {
        true => None,
        false => Some(Kind::OutOfRange {
            value,
            min: range.minimum,
            max: range.maximum,
        }),
    }
}

/// Converts an integer to a float. All ranges lie within the integers that a float
/// represents exactly.
fn integer(found: &DeInteger<'_>) -> f64 {
    i128::from_str_radix(found.as_str(), found.radix()).map_or(f64::INFINITY, |value| value as f64)
}

fn float(found: &DeFloat<'_>) -> f64 {
    found.as_str().parse().unwrap_or(f64::NAN)
}
