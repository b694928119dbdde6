//! Reads numbers that a template has filled in as texts, where the schema accepts them.
//!
//! A template can't leave out a key whose value is absent. Between quotes, an absent value is an
//! empty text, whereas without them it would be a syntax error.

use toml::Value;

use crate::check::schema::Schema;
use crate::check::schema::Shape;
use crate::check::schema::Type;

/// Replaces texts by the numbers that they contain, and removes keys with empty ones. The value has
/// passed the checks.
pub fn numbers(schema: &Schema, shape: &Shape, value: &mut Value) {
    let Some(Type::Object(shapes)) = schema.resolve(shape) else {
        return;
    };
    let Some(table) = value.as_table_mut() else {
        return;
    };
    table.retain(|key, value| {
        let Some(shape) = shapes.properties.get(key) else {
            return true;
        };
        numbers(schema, shape, value);
        let accepts_text = schema.resolve(shape).is_some_and(Type::accepts_text);
        match value.as_str().filter(|_| accepts_text).map(str::trim) {
            Some("") => return false,
            Some(text) => {
                if let Ok(number) = text.parse() {
                    *value = Value::Float(number);
                }
            }
            None => {}
        }
        true
    });
}
