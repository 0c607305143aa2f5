//! A common syntax tree of TOML and JSON documents, with the position of each value.

use std::{
    collections::BTreeMap,
    ops::Range, //
};

use serde_json::value::RawValue;
use serde_spanned::Spanned;
use toml::de::{
    DeTable,
    DeValue, //
};

use super::IntentError;

/// The maximum nesting depth of a JSON document.
const MAX_DEPTH: usize = 16;

/// A value and its byte range in the document.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Node {
    pub(super) span: Range<usize>,
    pub(super) value: Value,
}

/// A value of a TOML or JSON document.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Value {
    Text(String),
    Number(f64),
    Boolean(bool),
    List(Vec<Node>),
    Table(Vec<Field>),
    /// A value that no field accepts, such as a date.
    Other,
}

/// A field of a table.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Field {
    pub(super) name: String,
    /// The byte range of the name; that of the value in JSON, whose parser gives none for names.
    pub(super) name_span: Range<usize>,
    pub(super) node: Node,
}

/// Parses a TOML document as far as possible and returns all syntax errors.
pub(super) fn from_toml(text: &str) -> (Node, Vec<IntentError>) {
    let (table, errors) = DeTable::parse_recoverable(text);
    let errors = errors.iter().map(|error| {
        let span = error.span().unwrap_or(0..0);
        IntentError::new(span, error.message())
    });
    let node = Node {
        span: table.span(),
        value: Value::Table(toml_fields(table.get_ref())),
    };
    (node, errors.collect())
}

fn toml_fields(table: &DeTable<'_>) -> Vec<Field> {
    let fields = table.iter().map(|(name, value)| Field {
        name: name.get_ref().to_string(),
        name_span: name.span(),
        node: toml_node(value),
    });
    fields.collect()
}

fn toml_node(value: &Spanned<DeValue<'_>>) -> Node {
    let number = |text: &str| text.parse().map_or(Value::Other, Value::Number);
    let content = match value.get_ref() {
        DeValue::String(text) => Value::Text(text.to_string()),
        DeValue::Integer(integer) if integer.radix() == 10 => number(integer.as_str()),
        DeValue::Float(float) => number(float.as_str()),
        DeValue::Boolean(boolean) => Value::Boolean(*boolean),
        DeValue::Array(list) => Value::List(list.iter().map(toml_node).collect()),
        DeValue::Table(table) => Value::Table(toml_fields(table)),
        DeValue::Integer(_) | DeValue::Datetime(_) => Value::Other,
    };
    Node {
        span: value.span(),
        value: content,
    }
}

/// Parses a JSON document.
///
/// # Errors
///
/// Returns the first syntax error, or an error if the document is nested too deeply.
pub(super) fn from_json(text: &str) -> Result<Node, IntentError> {
    let raw: &RawValue = serde_json::from_str(text).map_err(|error| {
        let offset = byte_offset(text, error.line(), error.column());
        IntentError::new(offset..offset, &error.to_string())
    })?;
    json_node(text, raw, 0)
}

fn json_node(text: &str, raw: &RawValue, depth: usize) -> Result<Node, IntentError> {
    let content = raw.get();
    // `RawValue` borrows from `text`, so the difference of the addresses is the position.
    let start = content.as_ptr().addr() - text.as_ptr().addr();
    let span = start..start + content.len();
    let malformed = |error: serde_json::Error| IntentError::new(span.clone(), &error.to_string());
    if depth > MAX_DEPTH {
        return Err(IntentError::new(span, "the document is nested too deeply"));
    }
    let value = match content.as_bytes().first() {
        Some(b'{') => {
            let fields: BTreeMap<String, &RawValue> =
                serde_json::from_str(content).map_err(malformed)?;
            let fields = fields.into_iter().map(|(name, raw)| {
                let node = json_node(text, raw, depth + 1)?;
                Ok(Field {
                    name,
                    name_span: node.span.clone(),
                    node,
                })
            });
            Value::Table(fields.collect::<Result<_, _>>()?)
        }
        Some(b'[') => {
            let list: Vec<&RawValue> = serde_json::from_str(content).map_err(malformed)?;
            let nodes = list.into_iter().map(|raw| json_node(text, raw, depth + 1));
            Value::List(nodes.collect::<Result<_, _>>()?)
        }
        Some(b'"') => Value::Text(serde_json::from_str(content).map_err(malformed)?),
        Some(b't' | b'f') => Value::Boolean(content == "true"),
        Some(b'n') | None => Value::Other,
        Some(_) => Value::Number(serde_json::from_str(content).map_err(malformed)?),
    };
    Ok(Node { span, value })
}

fn byte_offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    (before + column.saturating_sub(1)).min(text.len())
}
