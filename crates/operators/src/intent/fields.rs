//! Reads the fields of a table and collects the errors in them.

use std::ops::Range;

use basilbridge_common::{
    id::Name,
    job::Kind, //
};
use bytesize::ByteSize;

use super::{
    IntentError,
    tree::{
        Field,
        Node,
        Value, //
    },
};

const MIB_BYTES: u64 = 1024 * 1024;
const MILLIS_PER_CORE: f64 = 1000.0;
const MAX_NAME_BYTES: usize = 64;
const MAX_CPU_MILLIS: f64 = 1e9;

/// The fields of one table; those that are never read are reported as unknown.
pub(super) struct Fields<'a, 'f> {
    span: Range<usize>,
    fields: &'a [Field],
    taken: Vec<&'static str>,
    pub(super) errors: &'f mut Vec<IntentError>,
}

impl<'a, 'f> Fields<'a, 'f> {
    pub(super) fn new(node: &'a Node, errors: &'f mut Vec<IntentError>) -> Self {
        let fields = match &node.value {
            Value::Table(fields) => fields.as_slice(),
            _ => {
                errors.push(IntentError::new(node.span.clone(), "expected a table"));
                &[]
            }
        };
        Self {
            span: node.span.clone(),
            fields,
            taken: Vec::new(),
            errors,
        }
    }

    pub(super) fn add_error(&mut self, span: Range<usize>, message: &str) {
        self.errors.push(IntentError::new(span, message));
    }

    /// Returns a field without marking it as read.
    pub(super) fn find(&self, name: &str) -> Option<&'a Field> {
        self.fields.iter().find(|field| field.name == name)
    }

    /// Returns a field and marks it as read.
    pub(super) fn take(&mut self, name: &'static str) -> Option<&'a Node> {
        self.taken.push(name);
        self.find(name).map(|field| &field.node)
    }

    /// Returns a field, and adds an error if it is missing.
    pub(super) fn require(&mut self, name: &'static str) -> Option<&'a Node> {
        let node = self.take(name);
        // The fields of an empty table are missing because it is no table at all.
        if node.is_none() {
            self.add_error(self.span.clone(), &format!("`{name}` is missing"));
        }
        node
    }

    pub(super) fn tables(&mut self, name: &'static str) -> &'a [Node] {
        self.list_of(name, "tables")
    }

    pub(super) fn names(&mut self, name: &'static str) -> &'a [Node] {
        self.list_of(name, "names")
    }

    fn list_of(&mut self, name: &'static str, items: &str) -> &'a [Node] {
        match self.take(name) {
            None => &[],
            Some(Node {
                value: Value::List(nodes),
                ..
            }) => nodes,
            Some(node) => {
                self.add_error(
                    node.span.clone(),
                    &format!("`{name}` must be a list of {items}"),
                );
                &[]
            }
        }
    }

    pub(super) fn table(&mut self, name: &'static str) -> Option<&'a Node> {
        self.take(name)
    }

    pub(super) fn text(&mut self, name: &'static str) -> Option<(String, Range<usize>)> {
        let node = self.take(name)?;
        match &node.value {
            Value::Text(text) => Some((text.clone(), node.span.clone())),
            _ => {
                self.add_error(node.span.clone(), &format!("`{name}` must be a string"));
                None
            }
        }
    }

    pub(super) fn required_text(&mut self, name: &'static str) -> Option<String> {
        if self.find(name).is_none() {
            self.require(name);
            return None;
        }
        self.text(name).map(|(text, _)| text)
    }

    /// Reads the required field `name` and checks its length and characters.
    pub(super) fn name(&mut self) -> Option<(Name, Range<usize>)> {
        if self.find("name").is_none() {
            self.require("name");
            return None;
        }
        let (text, span) = self.text("name")?;
        let name = self.check_name(&text, span.clone())?;
        Some((name, span))
    }

    /// Reads an element of a list of names.
    pub(super) fn list_name(&mut self, node: &Node) -> Option<Name> {
        match &node.value {
            Value::Text(text) => self.check_name(text, node.span.clone()),
            _ => {
                self.add_error(node.span.clone(), "a name must be a string");
                None
            }
        }
    }

    /// Checks the length and characters of a name.
    fn check_name(&mut self, text: &str, span: Range<usize>) -> Option<Name> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
            let message = format!(
                "a name must be 1 to {MAX_NAME_BYTES} letters, digits, dashes, dots or underscores"
            );
            self.add_error(span, &message);
            return None;
        }
        Some(text.into())
    }

    pub(super) fn number(&mut self, name: &'static str) -> Option<(f64, Range<usize>)> {
        let node = self.require(name)?;
        match node.value {
            Value::Number(number) => Some((number, node.span.clone())),
            _ => {
                self.add_error(node.span.clone(), &format!("`{name}` must be a number"));
                None
            }
        }
    }

    /// Reads an integer in `range`; a missing field is an error if there is no default.
    pub(super) fn integer(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u32>,
        default: Option<u32>,
    ) -> Option<u32> {
        if self.find(name).is_none()
            && let Some(default) = default
        {
            self.taken.push(name);
            return Some(default);
        }
        let (number, span) = self.number(name)?;
        let is_integer = number.fract() == 0.0;
        let (lower, upper) = (f64::from(*range.start()), f64::from(*range.end()));
        if !is_integer || !(lower..=upper).contains(&number) {
            let message = format!("`{name}` must be an integer from {lower} to {upper}");
            self.add_error(span, &message);
            return None;
        }
        Some(number as u32)
    }

    /// Reads a number of cores and returns it in thousandths of a core.
    pub(super) fn cpu_millis(&mut self, name: &'static str) -> Option<u64> {
        let (number, span) = self.number(name)?;
        let millis = (number * MILLIS_PER_CORE).round();
        if !(1.0..=MAX_CPU_MILLIS).contains(&millis) {
            self.add_error(span, &format!("`{name}` must be at least 0.001"));
            return None;
        }
        Some(millis as u64)
    }

    /// Reads a size in bytes and returns it in MiB, rounded up.
    pub(super) fn memory_mib(&mut self, name: &'static str) -> Option<u64> {
        let span = self.require(name)?.span.clone();
        let (text, _) = self.text(name)?;
        let mebibytes = text
            .parse::<ByteSize>()
            .map(|size| size.as_u64().div_ceil(MIB_BYTES));
        match mebibytes {
            Ok(mebibytes) if mebibytes > 0 => Some(mebibytes),
            _ => {
                self.add_error(span, &format!("`{name}` must be a size such as \"512MiB\""));
                None
            }
        }
    }

    pub(super) fn boolean(&mut self, name: &'static str, default: bool) -> Option<bool> {
        let Some(node) = self.take(name) else {
            return Some(default);
        };
        match node.value {
            Value::Boolean(value) => Some(value),
            _ => {
                self.add_error(
                    node.span.clone(),
                    &format!("`{name}` must be true or false"),
                );
                None
            }
        }
    }

    pub(super) fn kind(&mut self) -> Option<Kind> {
        let span = self.require("kind")?.span.clone();
        let (text, _) = self.text("kind")?;
        match text.as_str() {
            "service" => Some(Kind::Service),
            "batch" => Some(Kind::Batch),
            "gang" => Some(Kind::Gang),
            _ => {
                self.add_error(span, "`kind` must be service, batch or gang");
                None
            }
        }
    }

    /// Adds an error for each field that was not read.
    pub(super) fn finish(self) {
        for field in self.fields {
            if !self.taken.contains(&field.name.as_str()) {
                let known = self.taken.join(", ");
                let message = format!("unknown field `{}`, expected one of {known}", field.name);
                self.errors
                    .push(IntentError::new(field.name_span.clone(), &message));
            }
        }
    }
}
