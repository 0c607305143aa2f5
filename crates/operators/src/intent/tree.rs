//! Documents in TOML or JSON as one tree that remembers where each value stands.

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

use super::Fault;

/// How deep a document may be nested.
const MAX_DEPTH: usize = 16;

/// A value and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Node {
    pub(super) span: Range<usize>,
    pub(super) value: Value,
}

/// A value of either kind of document.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Value {
    Text(String),
    Number(f64),
    Flag(bool),
    List(Vec<Node>),
    Table(Vec<Field>),
    /// What no field takes, such as a date.
    Other,
}

/// A field of a table.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Field {
    pub(super) name: String,
    /// Where the name stands, or the value where the library does not tell.
    pub(super) name_span: Range<usize>,
    pub(super) node: Node,
}

/// Reads a TOML document as far as it goes, with all faults of its form.
pub(super) fn from_toml(text: &str) -> (Node, Vec<Fault>) {
    let (table, errors) = DeTable::parse_recoverable(text);
    let faults = errors.iter().map(|error| {
        let span = error.span().unwrap_or(0..0);
        Fault::new(span, error.message())
    });
    let node = Node {
        span: table.span(),
        value: Value::Table(toml_fields(table.get_ref())),
    };
    (node, faults.collect())
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
    let inner = match value.get_ref() {
        DeValue::String(text) => Value::Text(text.to_string()),
        DeValue::Integer(integer) if integer.radix() == 10 => number(integer.as_str()),
        DeValue::Float(float) => number(float.as_str()),
        DeValue::Boolean(flag) => Value::Flag(*flag),
        DeValue::Array(list) => Value::List(list.iter().map(toml_node).collect()),
        DeValue::Table(table) => Value::Table(toml_fields(table)),
        DeValue::Integer(_) | DeValue::Datetime(_) => Value::Other,
    };
    Node {
        span: value.span(),
        value: inner,
    }
}

/// Reads a JSON document; only the first fault of its form is known.
pub(super) fn from_json(text: &str) -> Result<Node, Fault> {
    let raw: &RawValue = serde_json::from_str(text).map_err(|error| {
        let offset = offset(text, error.line(), error.column());
        Fault::new(offset..offset, &error.to_string())
    })?;
    json_node(text, raw, 0)
}

fn json_node(text: &str, raw: &RawValue, depth: usize) -> Result<Node, Fault> {
    let inner = raw.get();
    // The library hands out parts of `text` itself, so that their addresses tell where they stand.
    let start = inner.as_ptr().addr() - text.as_ptr().addr();
    let span = start..start + inner.len();
    let malformed = |error: serde_json::Error| Fault::new(span.clone(), &error.to_string());
    if depth > MAX_DEPTH {
        return Err(Fault::new(span, "the document is nested too deeply"));
    }
    let value = match inner.as_bytes().first() {
        Some(b'{') => {
            let fields: BTreeMap<String, &RawValue> =
                serde_json::from_str(inner).map_err(malformed)?;
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
            let list: Vec<&RawValue> = serde_json::from_str(inner).map_err(malformed)?;
            let nodes = list.into_iter().map(|raw| json_node(text, raw, depth + 1));
            Value::List(nodes.collect::<Result<_, _>>()?)
        }
        Some(b'"') => Value::Text(serde_json::from_str(inner).map_err(malformed)?),
        Some(b't' | b'f') => Value::Flag(inner == "true"),
        Some(b'n') | None => Value::Other,
        Some(_) => Value::Number(serde_json::from_str(inner).map_err(malformed)?),
    };
    Ok(Node { span, value })
}

fn offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    (before + column.saturating_sub(1)).min(text.len())
}
